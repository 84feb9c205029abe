// Package kqsettings reads and validates the JSON settings files of the
// commands. It reports all faults of a file at once.
//
// # Usage
//
//	settings, err := kqsettings.ReadNode("node.json")
//	var faulty *kqsettings.ValidationError
//	if errors.As(err, &faulty) { ... } // faulty.Faults lists every fault
//
// Field names are in Pascal case, and durations are text such as "250ms". Unknown
// fields are faults, so that a misspelt name is not silently ignored.
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

// Default settings of the backend server stand-in.
const (
	defaultSlots       = 36
	defaultServiceTime = 5 * time.Millisecond
)

// ErrRead marks files that can't be opened or don't contain one JSON object.
var ErrRead = errors.New("settings file can't be read")

// ValidationError lists all faults of a settings file.
type ValidationError struct {
	Faults []kqclass.Fault
}

// Error returns all faults, one a line.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Node holds the settings of a node whose calls to other nodes travel over UDP.
// [Mesh] holds those of a mesh node.
type Node struct {
	// NodeID is the name of the node. Its certificate is issued to this name.
	NodeID string
	// Region and FailureDomain are those of the host.
	Region        string
	FailureDomain string
	// CallerAddress is the address of the listener for HTTP calls of callers, or
	// empty for none.
	CallerAddress string `json:",omitempty"`
	// BackendAddress is the address at which the backend server on this host
	// registers and makes its onward calls. It should be reachable only from
	// this host.
	BackendAddress string
	// PeerAddress is the UDP address of the listener for calls of other nodes.
	PeerAddress string
	// OperatorAddress is the address that serves status, explain and metrics, or
	// empty for none.
	OperatorAddress string `json:",omitempty"`
	// StoreAddress is the TCP address of the object API.
	StoreAddress string
	// RegionLinkBytesPerSecond limits the bytes of calls and answers that this
	// node exchanges with each other region. Default 131072.
	RegionLinkBytesPerSecond int `json:",omitempty"`
	// Peers are addresses of other nodes through which the node joins the fleet.
	Peers []string `json:",omitempty"`
	// CertificateFile, KeyFile and AuthorityFile are paths of PEM files with the
	// node's certificate, its private key and the certificate of the authority.
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
	// LogLevel is the minimum level of logged events: "debug", "info", "warn" or
	// "error". Default "info".
	LogLevel string `json:",omitempty"`
}

// DefaultRegionLinkBytesPerSecond limits the 720 nodes of a region together to a
// fifth of a link of 4,000 Mbit/s.
const DefaultRegionLinkBytesPerSecond = 128 << 10

// Store holds the settings of the object API stand-in.
type Store struct {
	// Address is the TCP address of the listener.
	Address string
}

// Backend holds the settings of the backend server stand-in.
type Backend struct {
	// Service is the name of the service that the backend server provides.
	Service string
	// Address is the TCP address of its listener.
	Address string
	// NodeAddress is the BackendAddress of the node on its host.
	NodeAddress string
	// Slots is the number of calls that run concurrently. Default 36.
	Slots int `json:",omitempty"`
	// ServiceTime is how long a call occupies a slot. Default "5ms".
	ServiceTime kqclass.Duration `json:",omitempty"`
	// Onward lists the services that the backend server calls during each call.
	Onward []string `json:",omitempty"`
}

// ReadNode reads and validates the settings of a node. Errors are marked
// [ErrRead] or are a [ValidationError].
func ReadNode(path string) (*Node, error) {
	n := &Node{LogLevel: "info", RegionLinkBytesPerSecond: DefaultRegionLinkBytesPerSecond}
	return n, read(path, n, n.Check)
}

// ReadStore reads and validates the settings of a store stand-in. Errors are
// marked [ErrRead] or are a [ValidationError].
func ReadStore(path string) (*Store, error) {
	s := &Store{}
	return s, read(path, s, s.Check)
}

// ReadBackend reads and validates the settings of a backend server stand-in.
// Errors are marked [ErrRead] or are a [ValidationError].
func ReadBackend(path string) (*Backend, error) {
	b := &Backend{Slots: defaultSlots, ServiceTime: kqclass.Duration(defaultServiceTime)}
	return b, read(path, b, b.Check)
}

// read decodes a file into value and returns all faults that decode and check
// found in one [ValidationError].
func read(path string, value any, check func() []kqclass.Fault) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "open settings"), ErrRead)
	}
	faults, err := decode(data, value)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "decode settings %s", path), ErrRead)
	}
	faults = firstPerField(append(faults, check()...))
	if len(faults) > 0 {
		return &ValidationError{Faults: faults}
	}
	return nil
}

// firstPerField keeps the first fault of each field. A field that could not be
// decoded keeps its default, which is often empty, so check reports it again.
func firstPerField(faults []kqclass.Fault) []kqclass.Fault {
	seen := map[string]bool{}
	return slices.DeleteFunc(faults, func(f kqclass.Fault) bool {
		duplicate := seen[f.Field]
		seen[f.Field] = true
		return duplicate
	})
}

// Check returns all faults of the settings.
func (s *Store) Check() []kqclass.Fault {
	return checkAddress(nil, "Address", s.Address)
}

// Check returns all faults of the settings.
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

// Check returns all faults of the settings.
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

// checkName appends a fault if value is not a valid name.
func checkName(faults []kqclass.Fault, field, value string) []kqclass.Fault {
	if kqclass.ValidName(value) {
		return faults
	}
	return append(faults, kqclass.Fault{Field: field, Value: fmt.Sprintf("%q", value), Expect: fmt.Sprintf("1 to %d of a-z, 0-9 and '-'", kqclass.MaxNameLength)})
}

// checkAddress appends a fault if value is not an IP address with a port.
func checkAddress(faults []kqclass.Fault, field, value string) []kqclass.Fault {
	host, port, err := net.SplitHostPort(value)
	if err == nil && net.ParseIP(host) != nil && port != "" {
		return faults
	}
	return append(faults, kqclass.Fault{Field: field, Value: fmt.Sprintf("%q", value), Expect: "an IP number and a port such as \"127.0.0.1:8080\""})
}

// checkPresent appends a fault if value, the path of a file, is empty.
func checkPresent(faults []kqclass.Fault, field, value string) []kqclass.Fault {
	if value != "" {
		return faults
	}
	return append(faults, kqclass.Fault{Field: field, Value: "empty", Expect: "a file's path"})
}
