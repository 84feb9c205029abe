package kqspread_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqspread"
	"kumquatlink/core/kqvirtual"
)

// hostile loses, doubles and reorders messages, and counts that it did.
type hostile struct {
	lost, doubled, late int
}

func (h *hostile) fault(f *kqvirtual.Fleet, lossPercent int) func(from, to *kqvirtual.Node) kqvirtual.Fate {
	deliver := latency(f)
	return func(from, to *kqvirtual.Node) kqvirtual.Fate {
		fate := deliver(from, to)
		if f.Random().IntN(100) < lossPercent {
			h.lost++
			fate.Lost = true
		}
		if f.Random().IntN(100) < 5 {
			h.doubled++
			fate.Twice = true
		}
		if f.Random().IntN(100) < 10 {
			h.late++
			fate.Delay += time.Duration(f.Random().Int64N(int64(time.Second)))
		}
		return fate
	}
}

// drawClock draws the clock of a host: any offset, and a rate that is off by
// up to five in a hundred.
func drawClock(t *rapid.T) kqvirtual.Option {
	offset := time.Duration(rapid.Int64Range(0, int64(24*time.Hour)).Draw(t, "offset"))
	rate := 1 + float64(rapid.IntRange(-50, 50).Draw(t, "rate"))/1000
	return kqvirtual.WithClock(offset, rate)
}

// step is one fault of a drawn history.
type step func(t *rapid.T, f *kqvirtual.Fleet, h *hostile)

const drawnFleet = 18

func drawNode(t *rapid.T) kqmember.Record {
	return record(rapid.IntRange(0, drawnFleet-1).Draw(t, "node"))
}

func stopOne(t *rapid.T, f *kqvirtual.Fleet, _ *hostile) {
	r := drawNode(t)
	if f.Nodes[r.NodeID] != nil && len(f.Nodes) > 3 {
		f.Stop(r.NodeID)
	}
}

func startOne(t *rapid.T, f *kqvirtual.Fleet, _ *hostile) {
	r := drawNode(t)
	r.Life = kqmember.LifeJoining
	f.Start(r, contacts(), drawClock(t))
}

func pauseOne(t *rapid.T, f *kqvirtual.Fleet, _ *hostile) {
	if id := drawNode(t).NodeID; f.Nodes[id] != nil {
		f.Pause(id, time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds"))*time.Second)
	}
}

func splitRegions(_ *rapid.T, f *kqvirtual.Fleet, _ *hostile) {
	split(f)
}

func loseSome(t *rapid.T, f *kqvirtual.Fleet, h *hostile) {
	f.Fault = h.fault(f, rapid.IntRange(0, 25).Draw(t, "loss"))
}

func publishOne(t *rapid.T, f *kqvirtual.Fleet, _ *hostile) {
	n := f.Nodes[drawNode(t).NodeID]
	if n != nil {
		n.Machine.Publish(kqspread.Item{Name: "Configuration", Version: rapid.Uint64Range(1, 100).Draw(t, "version")})
	}
}

// TestAnyHistoryOfFaultsEndsInTheModel draws faults that come at any moment,
// together or twice. When they end, every view must match the model, with no
// live node removed, no dead one kept, and the highest item everywhere.
func TestAnyHistoryOfFaultsEndsInTheModel(t *testing.T) {
	steps := []step{stopOne, startOne, pauseOne, splitRegions, loseSome, publishOne}
	total := &hostile{}
	rapid.Check(t, func(rt *rapid.T) {
		f := kqvirtual.New(rapid.Uint64().Draw(rt, "seed"))
		f.Started = func(n *kqvirtual.Node) { watchVersions(t, n) }
		f.Fault = latency(f)
		for i := range drawnFleet {
			f.Start(record(i), contacts(), drawClock(rt))
		}
		f.Run(10 * time.Second)
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			rapid.SampledFrom(steps).Draw(rt, "step")(rt, f, total)
			f.Run(time.Duration(rapid.IntRange(0, 40).Draw(rt, "seconds")) * time.Second)
		}
		f.Fault = latency(f)
		if !f.RunUntil(convergeLimit, time.Second, func() bool { return matches(f) && itemsAgree(f) }) {
			checkModel(t, f)
			rt.Fatalf("views differ %v after the last fault", convergeLimit)
		}
	})
	if total.lost == 0 || total.doubled == 0 || total.late == 0 {
		t.Errorf("faults were not injected: %+v", *total)
	}
}

// itemsAgree is whether all nodes hold the highest version that any holds.
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

// TestFaultsTwiceAndTogether loses a failure domain and splits regions at
// once, twice, on a network that loses one message in ten, while nodes pause
// and are replaced.
func TestFaultsTwiceAndTogether(t *testing.T) {
	f := startFleet(t, 4, 36)
	h := &hostile{}
	for round := range 2 {
		split(f)
		for i := range 36 {
			if record(i).FailureDomain == "domain-3" {
				f.Stop(record(i).NodeID)
			}
		}
		f.Pause(record(4).NodeID, 90*time.Second)
		f.Run(2 * time.Minute)
		f.Fault = h.fault(f, 10)
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

// TestReplacedNodesWhileOnlyPeersAnswer replaces 100 nodes over an hour; the
// store is away, so that new nodes have only the addresses of their settings.
func TestReplacedNodesWhileOnlyPeersAnswer(t *testing.T) {
	const count, replaced, gap = 18, 100, 18 * time.Second
	f := kqvirtual.New(5)
	f.Fault = latency(f)
	f.Started = func(n *kqvirtual.Node) { watchVersions(t, n) }
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
			t.Errorf("replacement %d: configuration %d, confirmed %v", i, held.Version, n.Machine.Confirmed())
		}
	}
	converge(t, f, "replaced")
}

// TestRegionsApartForLongerThanRecordsAreKept splits regions until both sides
// have forgotten each other; the addresses of the settings bring them together.
func TestRegionsApartForLongerThanRecordsAreKept(t *testing.T) {
	f := startFleet(t, 6, 6)
	split(f)
	f.Run(kqmember.ForgetAfter + 10*time.Minute)
	if got, want := f.Nodes[record(0).NodeID].View.Len(), 2; got != want {
		t.Errorf("nodes in the view of a region apart: got %d, want %d", got, want)
	}
	f.Fault = latency(f)
	converge(t, f, "heal")
}
