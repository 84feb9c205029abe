package kqspread_test

import (
	"fmt"
	"testing"
	"time"

	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqvirtual"
)

// Shape of the fleets under test.
const (
	regionCount      = 3
	domainsPerRegion = 2
	convergeLimit    = 3 * time.Minute
)

// seeds are fixed, so that every run gives the same verdict.
var seeds = []uint64{1, 2, 3}

// record gives the record of the i-th node, dealt out over failure domains.
func record(i int) kqmember.Record {
	domain := i % (regionCount * domainsPerRegion)
	return kqmember.Record{
		NodeID: fmt.Sprintf("node-%04d", i), Address: fmt.Sprintf("10.0.0.1:%d", 1+i),
		FailureDomain: fmt.Sprintf("domain-%d", domain), Region: fmt.Sprintf("region-%d", domain/domainsPerRegion),
		Life: kqmember.LifeServing, Service: fmt.Sprintf("service-%d", i%10),
	}
}

func contacts() []string {
	return []string{record(0).Address, record(1).Address, record(2).Address}
}

// startFleet starts count nodes that know a few contacts, and waits until all
// views are one.
func startFleet(t *testing.T, seed uint64, count int) *kqvirtual.Fleet {
	t.Helper()
	f := kqvirtual.New(seed)
	f.Fault = latency(f)
	f.Started = func(n *kqvirtual.Node) { watchVersions(t, n) }
	for i := range count {
		f.Start(record(i), contacts())
	}
	converge(t, f, "start")
	return f
}

// latency delivers within and between regions as the platform does.
func latency(f *kqvirtual.Fleet) func(from, to *kqvirtual.Node) kqvirtual.Fate {
	return func(from, to *kqvirtual.Node) kqvirtual.Fate {
		delay := 500 * time.Microsecond
		if from.Record.Region != to.Record.Region {
			delay = 20 * time.Millisecond
		}
		return kqvirtual.Fate{Delay: delay + time.Duration(f.Random().Int64N(int64(time.Millisecond)))}
	}
}

// checkModel compares every view with the naive model, in which all nodes know
// at once who runs: each live node is alive with its newest record, and each
// other one is removed or unknown.
func checkModel(t *testing.T, f *kqvirtual.Fleet) {
	t.Helper()
	for _, n := range f.Nodes {
		for _, held := range n.View.Members() {
			live := f.Nodes[held.Record.NodeID]
			if live == nil && held.Status < kqmember.StatusRemoved {
				t.Errorf("%s keeps %s, which is dead, as %d", n.Record.NodeID, held.Record.NodeID, held.Status)
			}
			if live != nil && (held.Status != kqmember.StatusAlive || held.Record != live.View.Own()) {
				t.Errorf("%s holds %s as %d %+v, want alive %+v", n.Record.NodeID, held.Record.NodeID, held.Status, held.Record, live.View.Own())
			}
		}
		for id := range f.Nodes {
			if n.View.Find(id) == nil {
				t.Errorf("%s lacks %s", n.Record.NodeID, id)
			}
		}
	}
}

// matches is checkModel as a condition.
func matches(f *kqvirtual.Fleet) bool {
	for _, n := range f.Nodes {
		found := 0
		for _, held := range n.View.Members() {
			live := f.Nodes[held.Record.NodeID]
			switch {
			case live == nil && held.Status < kqmember.StatusRemoved:
				return false
			case live != nil && (held.Status != kqmember.StatusAlive || held.Record != live.View.Own()):
				return false
			case live != nil:
				found++
			}
		}
		if found != len(f.Nodes) {
			return false
		}
	}
	return true
}

// converge runs until every view matches the model.
func converge(t *testing.T, f *kqvirtual.Fleet, phase string) {
	t.Helper()
	if !f.RunUntil(convergeLimit, time.Second, func() bool { return matches(f) }) {
		checkModel(t, f)
		t.Fatalf("%s: views differ after %v", phase, convergeLimit)
	}
}

// watchVersions fails the test when what a node holds of another goes back,
// other than by being forgotten.
func watchVersions(t *testing.T, n *kqvirtual.Node) {
	t.Helper()
	observe := n.View.OnChange
	n.View.OnChange = func(before, after *kqmember.Member) {
		if before != nil && after != nil && after.Stamp().Less(before.Stamp()) {
			t.Errorf("%s went back on %s from %+v to %+v", n.Record.NodeID, after.Record.NodeID, before.Stamp(), after.Stamp())
		}
		observe(before, after)
	}
}
