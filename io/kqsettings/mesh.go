package kqsettings

import (
	"fmt"
	"time"

	"kumquatlink/core/kqclass"
)

// Defaults of a mesh node.
const (
	defaultRepeatRatio  = 0.2
	defaultRepeatWindow = 10 * time.Second
	defaultRepeatSlack  = 48
	defaultShutdownTime = 6 * time.Second
	defaultDrainTime    = 2500 * time.Millisecond
)

// Mesh are the settings of a node for fleets that are found through the store.
type Mesh struct {
	// NodeID names the node, and Region and FailureDomain say where its host
	// stands.
	NodeID        string
	Region        string
	FailureDomain string
	// Service is the service of the backend server on this host, which takes
	// requests at BackendAddress.
	Service        string
	BackendAddress string
	// CallerAddress takes requests, NoticeAddress what the backend server says
	// of itself, ReadyAddress the question whether the node is ready, and
	// PeerAddress the calls of other nodes.
	CallerAddress string
	NoticeAddress string
	ReadyAddress  string
	PeerAddress   string
	// AdvertisedAddress is where other nodes reach PeerAddress, when that is
	// another address.
	AdvertisedAddress string `json:",omitempty"`
	// MetricsAddress serves the metrics, or is empty.
	MetricsAddress string `json:",omitempty"`
	// StoreAddress is the TCP address of the object API.
	StoreAddress string
	// RepeatRatio, RepeatWindow and RepeatSlack bound how often the whole fleet
	// hands requests of one service to a second backend server: at most the
	// ratio of the requests in a window, plus the slack. Defaults 0.2, "10s", 48.
	RepeatRatio  float64          `json:",omitempty"`
	RepeatWindow kqclass.Duration `json:",omitempty"`
	RepeatSlack  float64          `json:",omitempty"`
	// ShutdownTime is how long a node that was told to end may take, and
	// DrainTime how long a backend server serves after it said that it drains.
	// Defaults "6s", "2.5s".
	ShutdownTime kqclass.Duration `json:",omitempty"`
	DrainTime    kqclass.Duration `json:",omitempty"`
	// FirstStart is whether the backend server starts with the node, so that
	// it need not be asked for its health.
	FirstStart bool `json:",omitempty"`
}

// ReadMesh reads and checks the settings of a mesh node.
func ReadMesh(path string) (*Mesh, error) {
	m := &Mesh{
		RepeatRatio: defaultRepeatRatio, RepeatWindow: kqclass.Duration(defaultRepeatWindow), RepeatSlack: defaultRepeatSlack,
		ShutdownTime: kqclass.Duration(defaultShutdownTime), DrainTime: kqclass.Duration(defaultDrainTime),
	}
	return m, read(path, m, m.Check)
}

// Check lists every fault of the settings.
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
	return faults
}
