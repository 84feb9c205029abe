// Package kqsettings reads and checks the JSON settings of every command.
//
// # Usage
//
//	settings, err := kqsettings.ReadNode("node.json")
//	var faulty *kqsettings.ValidationError
//	if errors.As(err, &faulty) { ... } // faulty.Faults lists every fault
//
// Fields are in Pascal case, durations are text such as "250ms", and unknown
// fields are refused, so that a misspelt setting never passes unseen.
package kqsettings

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqclass"
)

// Defaults of the backend server stand-in.
const (
	defaultSlots       = 36
	defaultServiceTime = 5 * time.Millisecond
)

// ErrRead marks files that can't be read at all.
var ErrRead = errors.New("settings can't be read")

// ValidationError lists every fault of a settings file.
type ValidationError struct {
	Faults []kqclass.Fault
}

// Error gives all faults, one a line.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Node are the settings of a node.
type Node struct {
	// NodeID names the node; its certificate is issued to this name.
	NodeID string
	// Region and FailureDomain say where the host stands.
	Region        string
	FailureDomain string
	// CallerAddress is where callers' HTTP calls are taken, or empty.
	CallerAddress string `json:",omitempty"`
	// BackendAddress is where the backend server on this host announces
	// itself and makes its onward calls. Only that host should reach it.
	BackendAddress string
	// PeerAddress is the UDP address where other nodes' calls are taken.
	PeerAddress string
	// OperatorAddress serves status, explain and metrics, or empty.
	OperatorAddress string `json:",omitempty"`
	// StoreAddress is the TCP address of the object API.
	StoreAddress string
	// RegionLinkBytesPerSecond is how many bytes of calls and answers this
	// node exchanges with each other region. Default 131072.
	RegionLinkBytesPerSecond int `json:",omitempty"`
	// Peers are addresses of other nodes to start from.
	Peers []string `json:",omitempty"`
	// CertificateFile, KeyFile and AuthorityFile hold PEM.
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
	// LogLevel is the lowest level that is logged: "debug", "info", "warn" or
	// "error". Default "info".
	LogLevel string `json:",omitempty"`
}

// DefaultRegionLinkBytesPerSecond keeps 720 nodes of a region at a fifth of a
// link of 4,000 Mbit/s.
const DefaultRegionLinkBytesPerSecond = 128 << 10

// Store are the settings of the object API stand-in.
type Store struct {
	Address string
}

// Backend are the settings of the backend server stand-in.
type Backend struct {
	Service     string
	Address     string
	NodeAddress string
	// Slots is how many calls run at once. Default 36.
	Slots int `json:",omitempty"`
	// ServiceTime is how long a call holds a slot. Default "5ms".
	ServiceTime kqclass.Duration `json:",omitempty"`
	// Onward lists services called while a call runs.
	Onward []string `json:",omitempty"`
}

// ReadNode reads and checks a node's settings.
func ReadNode(path string) (*Node, error) {
	n := &Node{LogLevel: "info", RegionLinkBytesPerSecond: DefaultRegionLinkBytesPerSecond}
	return n, read(path, n, n.Check)
}

// ReadStore reads and checks a store stand-in's settings.
func ReadStore(path string) (*Store, error) {
	s := &Store{}
	return s, read(path, s, s.Check)
}

// ReadBackend reads and checks a backend server stand-in's settings.
func ReadBackend(path string) (*Backend, error) {
	b := &Backend{Slots: defaultSlots, ServiceTime: kqclass.Duration(defaultServiceTime)}
	return b, read(path, b, b.Check)
}

// read reads a file into value and gives every fault of it in one error.
func read(path string, value any, check func() []kqclass.Fault) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "read settings"), ErrRead)
	}
	faults, err := decode(data, value)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "read settings %s", path), ErrRead)
	}
	faults = withoutRepeats(append(faults, check()...))
	if len(faults) > 0 {
		return &ValidationError{Faults: faults}
	}
	return nil
}

// withoutRepeats keeps the first fault of each field: a field that could not
// be read is also empty.
func withoutRepeats(faults []kqclass.Fault) []kqclass.Fault {
	seen := map[string]bool{}
	return slices.DeleteFunc(faults, func(f kqclass.Fault) bool {
		repeated := seen[f.Field]
		seen[f.Field] = true
		return repeated
	})
}

// Check lists every fault of the settings.
func (s *Store) Check() []kqclass.Fault {
	return checkAddress(nil, "Address", s.Address)
}

// Check lists every fault of the settings.
func (n *Node) Check() []kqclass.Fault {
	var faults []kqclass.Fault
	faults = checkName(faults, "NodeID", n.NodeID)
	faults = checkName(faults, "Region", n.Region)
	faults = checkName(faults, "FailureDomain", n.FailureDomain)
	faults = checkAddress(faults, "BackendAddress", n.BackendAddress)
	faults = checkAddress(faults, "PeerAddress", n.PeerAddress)
	faults = checkAddress(faults, "StoreAddress", n.StoreAddress)
	if n.CallerAddress != "" {
		faults = checkAddress(faults, "CallerAddress", n.CallerAddress)
	}
	if n.OperatorAddress != "" {
		faults = checkAddress(faults, "OperatorAddress", n.OperatorAddress)
	}
	for i, p := range n.Peers {
		faults = checkAddress(faults, fmt.Sprintf("Peers[%d]", i), p)
	}
	faults = checkPresent(faults, "CertificateFile", n.CertificateFile)
	faults = checkPresent(faults, "KeyFile", n.KeyFile)
	faults = checkPresent(faults, "AuthorityFile", n.AuthorityFile)
	if n.RegionLinkBytesPerSecond < 1 {
		faults = append(faults, kqclass.Fault{Field: "RegionLinkBytesPerSecond", Value: fmt.Sprint(n.RegionLinkBytesPerSecond), Expect: "at least 1"})
	}
	switch n.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		faults = append(faults, kqclass.Fault{Field: "LogLevel", Value: fmt.Sprintf("%q", n.LogLevel), Expect: "debug, info, warn or error"})
	}
	return faults
}

// Check lists every fault of the settings.
func (b *Backend) Check() []kqclass.Fault {
	var faults []kqclass.Fault
	faults = checkName(faults, "Service", b.Service)
	faults = checkAddress(faults, "Address", b.Address)
	faults = checkAddress(faults, "NodeAddress", b.NodeAddress)
	if b.ServiceTime < 0 {
		faults = append(faults, kqclass.Fault{Field: "ServiceTime", Value: time.Duration(b.ServiceTime).String(), Expect: "no negative duration"})
	}
	if b.Slots < 1 {
		faults = append(faults, kqclass.Fault{Field: "Slots", Value: fmt.Sprint(b.Slots), Expect: "at least 1"})
	}
	for i, s := range b.Onward {
		faults = checkName(faults, fmt.Sprintf("Onward[%d]", i), s)
	}
	return faults
}

func checkName(faults []kqclass.Fault, field, value string) []kqclass.Fault {
	if kqclass.ValidName(value) {
		return faults
	}
	return append(faults, kqclass.Fault{Field: field, Value: fmt.Sprintf("%q", value), Expect: fmt.Sprintf("1 to %d of a-z, 0-9 and '-'", kqclass.MaxNameLength)})
}

func checkAddress(faults []kqclass.Fault, field, value string) []kqclass.Fault {
	host, port, err := net.SplitHostPort(value)
	if err == nil && net.ParseIP(host) != nil && port != "" {
		return faults
	}
	return append(faults, kqclass.Fault{Field: field, Value: fmt.Sprintf("%q", value), Expect: "an IP number and a port such as \"127.0.0.1:8080\""})
}

func checkPresent(faults []kqclass.Fault, field, value string) []kqclass.Fault {
	if value != "" {
		return faults
	}
	return append(faults, kqclass.Fault{Field: field, Value: "empty", Expect: "a file's path"})
}
