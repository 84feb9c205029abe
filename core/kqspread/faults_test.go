package kqspread_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqspread"
	"kumquatlink/core/kqvirtual"
)

// hostileNetwork loses, duplicates and delays messages, so that they also arrive
// out of order, and counts how many.
type hostileNetwork struct {
	lost, duplicated, delayed int
}

func (h *hostileNetwork) inject(f *kqvirtual.Fleet, lossPercent int) func(from, to *kqvirtual.Node) kqvirtual.Delivery {
	deliver := latency(f)
	return func(from, to *kqvirtual.Node) kqvirtual.Delivery {
		fate := deliver(from, to)
		if f.Random().IntN(100) < lossPercent {
			h.lost++
			fate.Lost = true
		}
		if f.Random().IntN(100) < 5 {
			h.duplicated++
			fate.Duplicate = true
		}
		if f.Random().IntN(100) < 10 {
			h.delayed++
			fate.Delay += time.Duration(f.Random().Int64N(int64(time.Second)))
		}
		return fate
	}
}

// drawClock draws the clock of a host: any offset, and a rate that deviates by
// up to 5 %.
func drawClock(t *rapid.T) kqvirtual.Option {
	offset := time.Duration(rapid.Int64Range(0, int64(24*time.Hour)).Draw(t, "offset"))
	rate := 1 + float64(rapid.IntRange(-50, 50).Draw(t, "rate"))/1000
	return kqvirtual.WithClock(offset, rate)
}

// faultStep applies one fault of a random history.
type faultStep func(t *rapid.T, f *kqvirtual.Fleet, h *hostileNetwork)

const drawnFleetSize = 18

func drawNode(t *rapid.T) kqmember.Record {
	return record(rapid.IntRange(0, drawnFleetSize-1).Draw(t, "node"))
}

func stopNode(t *rapid.T, f *kqvirtual.Fleet, _ *hostileNetwork) {
	r := drawNode(t)
	if f.Nodes[r.NodeID] != nil && len(f.Nodes) > 3 {
		f.Stop(r.NodeID)
	}
}

func startNode(t *rapid.T, f *kqvirtual.Fleet, _ *hostileNetwork) {
	r := drawNode(t)
	r.Life = kqmember.LifeJoining
	f.Start(r, contacts(), drawClock(t))
}

func pauseNode(t *rapid.T, f *kqvirtual.Fleet, _ *hostileNetwork) {
	if id := drawNode(t).NodeID; f.Nodes[id] != nil {
		f.Pause(id, time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds"))*time.Second)
	}
}

func partition(_ *rapid.T, f *kqvirtual.Fleet, _ *hostileNetwork) {
	partitionRegions(f)
}

func loseMessages(t *rapid.T, f *kqvirtual.Fleet, h *hostileNetwork) {
	f.Fault = h.inject(f, rapid.IntRange(0, 25).Draw(t, "loss"))
}

func publishItem(t *rapid.T, f *kqvirtual.Fleet, _ *hostileNetwork) {
	n := f.Nodes[drawNode(t).NodeID]
	if n != nil {
		n.Machine.Publish(kqspread.Item{Name: "Configuration", Version: rapid.Uint64Range(1, 100).Draw(t, "version")})
	}
}

// TestViewsConvergeAfterRandomFaults draws a history of faults at any time,
// which may overlap and recur. After the last one, every view must match the
// reference model, with no live node removed and no dead one kept, and all
// nodes must hold the highest item.
func TestViewsConvergeAfterRandomFaults(t *testing.T) {
	steps := []faultStep{stopNode, startNode, pauseNode, partition, loseMessages, publishItem}
	total := &hostileNetwork{}
	rapid.Check(t, func(rt *rapid.T) {
		f := kqvirtual.New(rapid.Uint64().Draw(rt, "seed"))
		f.OnStart = func(n *kqvirtual.Node) { failOnRegression(t, n) }
		f.Fault = latency(f)
		for i := range drawnFleetSize {
			f.Start(record(i), contacts(), drawClock(rt))
		}
		f.Run(10 * time.Second)
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			rapid.SampledFrom(steps).Draw(rt, "step")(rt, f, total)
			f.Run(time.Duration(rapid.IntRange(0, 40).Draw(rt, "seconds")) * time.Second)
		}
		f.Fault = latency(f)
		if !f.RunUntil(convergeLimit, time.Second, func() bool { return viewsMatch(f) && itemsAgree(f) }) {
			checkViews(t, f)
			rt.Fatalf("views or items differ %v after the last fault", convergeLimit)
		}
	})
	if total.lost == 0 || total.duplicated == 0 || total.delayed == 0 {
		t.Errorf("some kinds of faults were not injected: %+v", *total)
	}
}

// itemsAgree reports whether all nodes hold the highest version that any of
// them holds.
func itemsAgree(f *kqvirtual.Fleet) bool {
	var highest uint64
	for _, n := range f.Nodes {
		held, _ := n.Machine.Item("Configuration")
		highest = max(highest, held.Version)
	}
	for _, n := range f.Nodes {
		if held, _ := n.Machine.Item("Configuration"); held.Version != highest {
			return false
		}
	}
	return true
}

// TestViewsConvergeAfterConcurrentFaults loses a failure domain and partitions
// the regions at the same time, twice, on a network that loses one message in
// ten, while nodes pause and are replaced.
func TestViewsConvergeAfterConcurrentFaults(t *testing.T) {
	f := startFleet(t, 4, 36)
	h := &hostileNetwork{}
	for round := range 2 {
		partitionRegions(f)
		for i := range 36 {
			if record(i).FailureDomain == "domain-3" {
				f.Stop(record(i).NodeID)
			}
		}
		f.Pause(record(4).NodeID, 90*time.Second)
		f.Run(2 * time.Minute)
		f.Fault = h.inject(f, 10)
		for i := range 36 {
			if record(i).FailureDomain == "domain-3" {
				f.Start(record(i), contacts())
			}
		}
		f.Pause(record(8).NodeID, 20*time.Second)
		f.Run(30 * time.Second)
		f.Fault = latency(f)
		converge(t, f, "round "+string(rune('1'+round)))
	}
	if h.lost == 0 {
		t.Error("no message was lost")
	}
}

// TestReplacementsJoinWithoutStore replaces 100 nodes over an hour without the
// store, so that new nodes have only the addresses of their settings.
func TestReplacementsJoinWithoutStore(t *testing.T) {
	const count, replaced, gap = 18, 100, 18 * time.Second
	f := kqvirtual.New(5)
	f.Fault = latency(f)
	f.OnStart = func(n *kqvirtual.Node) { failOnRegression(t, n) }
	for i := range count {
		f.Start(record(i), contacts())
	}
	converge(t, f, "start")
	f.Nodes[record(10).NodeID].Machine.Publish(kqspread.Item{Name: "Configuration", Version: 9})
	f.Run(4 * time.Second)
	for i := range replaced {
		f.Stop(record(3 + i).NodeID)
		f.Run(gap)
		n := f.Start(record(count+i), contacts())
		f.Run(gap)
		if held, _ := n.Machine.Item("Configuration"); held.Version != 9 || !n.Machine.Confirmed() {
			t.Errorf("replacement %d: got configuration %d, confirmed %v, want 9, true", i, held.Version, n.Machine.Confirmed())
		}
	}
	converge(t, f, "replaced")
}

// TestRegionsReconnectAfterForgettingEachOther partitions the regions until
// both sides have forgotten each other. The contact addresses of the settings
// reconnect them.
func TestRegionsReconnectAfterForgettingEachOther(t *testing.T) {
	f := startFleet(t, 6, 6)
	partitionRegions(f)
	f.Run(kqmember.ForgetAfter + 10*time.Minute)
	if got, want := f.Nodes[record(0).NodeID].View.Len(), 2; got != want {
		t.Errorf("nodes in the view of a partitioned region: got %d, want %d", got, want)
	}
	f.Fault = latency(f)
	converge(t, f, "heal")
}
