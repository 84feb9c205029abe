package kqsettings

import (
	"fmt"
	"time"

	"kumquatlink/core/kqclass"
)

// Default settings of a mesh node.
const (
	defaultRepeatRatio  = 0.2
	defaultRepeatWindow = 10 * time.Second
	defaultRepeatSlack  = 48
	defaultShutdownTime = 6 * time.Second
	defaultDrainTime    = 2500 * time.Millisecond
	// minMemoryMegabytes is the least memory in which a node serves.
	minMemoryMegabytes = 96
)

// DefaultMemoryMegabytes is the memory in MiB of the smallest hosts.
const DefaultMemoryMegabytes = 284

// Mesh holds the settings of a mesh node, which finds the other nodes through the
// store.
type Mesh struct {
	// NodeID is the name of the node. Region and FailureDomain are those of its
	// host.
	NodeID        string
	Region        string
	FailureDomain string
	// Service is the name of the service that the backend server on this host
	// provides, and BackendAddress the address at which it receives requests.
	Service        string
	BackendAddress string
	// CallerAddress is the address of the listener for requests of callers,
	// NoticeAddress for status reports of the backend server, ReadyAddress for
	// readiness probes, and PeerAddress for calls of other nodes.
	CallerAddress string
	NoticeAddress string
	ReadyAddress  string
	PeerAddress   string
	// AdvertisedAddress is the address at which other nodes reach PeerAddress, or
	// empty if they use PeerAddress itself.
	AdvertisedAddress string `json:",omitempty"`
	// MetricsAddress is the address that serves the metrics, or empty for none.
	MetricsAddress string `json:",omitempty"`
	// StoreAddress is the TCP address of the object API.
	StoreAddress string
	// RepeatRatio, RepeatWindow and RepeatSlack are the budget of repeats: how
	// many requests of one service the whole fleet may send to a second backend
	// server. The limit is the ratio of the requests in a window, plus the
	// slack. Defaults 0.2, "10s", 48.
	RepeatRatio  float64          `json:",omitempty"`
	RepeatWindow kqclass.Duration `json:",omitempty"`
	RepeatSlack  float64          `json:",omitempty"`
	// ShutdownTime is the maximum duration of the node's shutdown. DrainTime is
	// how long a backend server continues to serve after it reported that it is
	// draining. Defaults "6s", "2.5s".
	ShutdownTime kqclass.Duration `json:",omitempty"`
	DrainTime    kqclass.Duration `json:",omitempty"`
	// MemoryMegabytes is the memory in MiB that the node's process may take on its
	// host. Default 284.
	MemoryMegabytes int `json:",omitempty"`
	// FirstStart reports whether the whole fleet starts for the first time. Then
	// the first routes may be read from a stale replica of the store, and the
	// budget of repeats has its slack from the start.
	FirstStart bool `json:",omitempty"`
}

// ReadMesh reads and validates the settings of a mesh node. Errors are marked
// [ErrRead] or are a [ValidationError].
func ReadMesh(path string) (*Mesh, error) {
	m := &Mesh{
		RepeatRatio: defaultRepeatRatio, RepeatWindow: kqclass.Duration(defaultRepeatWindow), RepeatSlack: defaultRepeatSlack,
		ShutdownTime: kqclass.Duration(defaultShutdownTime), DrainTime: kqclass.Duration(defaultDrainTime),
		MemoryMegabytes: DefaultMemoryMegabytes,
	}
	return m, read(path, m, m.Check)
}

// Check returns all faults of the settings.
func (m *Mesh) Check() []kqclass.Fault {
	var faults []kqclass.Fault
	for _, f := range []struct{ field, value string }{
		{"NodeID", m.NodeID}, {"Region", m.Region}, {"FailureDomain", m.FailureDomain}, {"Service", m.Service},
	} {
		faults = checkName(faults, f.field, f.value)
	}
	for _, f := range []struct {
		field, value string
		optional     bool
	}{
		{"BackendAddress", m.BackendAddress, false},
		{"CallerAddress", m.CallerAddress, false},
		{"NoticeAddress", m.NoticeAddress, false},
		{"ReadyAddress", m.ReadyAddress, false},
		{"PeerAddress", m.PeerAddress, false},
		{"StoreAddress", m.StoreAddress, false},
		{"AdvertisedAddress", m.AdvertisedAddress, true},
		{"MetricsAddress", m.MetricsAddress, true},
	} {
		if f.value != "" || !f.optional {
			faults = checkAddress(faults, f.field, f.value)
		}
	}
	for _, f := range []struct {
		field string
		value float64
	}{{"RepeatRatio", m.RepeatRatio}, {"RepeatSlack", m.RepeatSlack}} {
		if f.value < 0 {
			faults = append(faults, kqclass.Fault{Field: f.field, Value: fmt.Sprint(f.value), Expect: "at least 0"})
		}
	}
	for _, f := range []struct {
		field string
		value kqclass.Duration
	}{{"RepeatWindow", m.RepeatWindow}, {"ShutdownTime", m.ShutdownTime}, {"DrainTime", m.DrainTime}} {
		if f.value <= 0 {
			faults = append(faults, kqclass.Fault{Field: f.field, Value: f.value.Value().String(), Expect: "a duration above 0"})
		}
	}
	if m.MemoryMegabytes < minMemoryMegabytes {
		faults = append(faults, kqclass.Fault{Field: "MemoryMegabytes", Value: fmt.Sprint(m.MemoryMegabytes), Expect: fmt.Sprintf("at least %d", minMemoryMegabytes)})
	}
	return faults
}
