package kqspread_test

import (
	"fmt"
	"testing"
	"time"

	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqvirtual"
)

// Shape and limits of the simulated fleets.
const (
	regionCount      = 3
	domainsPerRegion = 2
	convergeLimit    = 3 * time.Minute
)

// seeds are fixed, so that every run has the same result.
var seeds = []uint64{1, 2, 3}

// record returns the record of the i-th node. Nodes are assigned to failure
// domains in turn.
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

// startFleet starts count nodes that know a few contacts, and runs until all
// views are equal.
func startFleet(t *testing.T, seed uint64, count int) *kqvirtual.Fleet {
	t.Helper()
	f := kqvirtual.New(seed)
	f.Fault = latency(f)
	f.OnStart = func(n *kqvirtual.Node) { failOnRegression(t, n) }
	for i := range count {
		f.Start(record(i), contacts())
	}
	converge(t, f, "start")
	return f
}

// latency returns a network without faults that has the delays of the platform,
// within and between regions.
func latency(f *kqvirtual.Fleet) func(from, to *kqvirtual.Node) kqvirtual.Delivery {
	return func(from, to *kqvirtual.Node) kqvirtual.Delivery {
		delay := 500 * time.Microsecond
		if from.Record.Region != to.Record.Region {
			delay = 20 * time.Millisecond
		}
		return kqvirtual.Delivery{Delay: delay + time.Duration(f.Random().Int64N(int64(time.Millisecond)))}
	}
}

// checkViews compares every view with the reference model, in which all nodes
// know at once which nodes run: each live node is alive with its newest record,
// and each other one is removed or unknown.
func checkViews(t *testing.T, f *kqvirtual.Fleet) {
	t.Helper()
	for _, n := range f.Nodes {
		for _, held := range n.View.Members() {
			live := f.Nodes[held.Record.NodeID]
			if live == nil && held.Status < kqmember.StatusRemoved {
				t.Errorf("%s holds %s, which does not run, with status %d, want removed or unknown", n.Record.NodeID, held.Record.NodeID, held.Status)
			}
			if live != nil && (held.Status != kqmember.StatusAlive || held.Record != live.View.Own()) {
				t.Errorf("%s holds %s with status %d and record %+v, want alive with %+v", n.Record.NodeID, held.Record.NodeID, held.Status, held.Record, live.View.Own())
			}
		}
		for id := range f.Nodes {
			if n.View.Find(id) == nil {
				t.Errorf("view of %s lacks %s", n.Record.NodeID, id)
			}
		}
	}
}

// viewsMatch reports whether checkViews would find no difference.
func viewsMatch(f *kqvirtual.Fleet) bool {
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

// converge runs until every view matches the reference model.
func converge(t *testing.T, f *kqvirtual.Fleet, phase string) {
	t.Helper()
	if !f.RunUntil(convergeLimit, time.Second, func() bool { return viewsMatch(f) }) {
		checkViews(t, f)
		t.Fatalf("phase %s: views differ from the reference model after %v", phase, convergeLimit)
	}
}

// failOnRegression fails the test if what a node holds of another is replaced
// by an older state. A node may forget another one altogether.
func failOnRegression(t *testing.T, n *kqvirtual.Node) {
	t.Helper()
	observe := n.View.OnChange
	n.View.OnChange = func(before, after *kqmember.Member) {
		if before != nil && after != nil && after.Stamp().Less(before.Stamp()) {
			t.Errorf("%s replaced the state of %s by an older one: from %+v to %+v", n.Record.NodeID, after.Record.NodeID, before.Stamp(), after.Stamp())
		}
		observe(before, after)
	}
}
