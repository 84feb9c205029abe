package kqspread_test

import (
	"testing"
	"time"

	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqspread"
	"kumquatlink/core/kqvirtual"
)

func TestFleetJoinsThroughAFewContacts(t *testing.T) {
	for _, seed := range seeds {
		f := startFleet(t, seed, 60)
		f.Run(2 * time.Second)
		for id, n := range f.Nodes {
			if !n.Machine.Confirmed() {
				t.Errorf("seed %d: %s is not confirmed", seed, id)
			}
			if got, want := len(n.Machine.Neighbours()), kqspread.Degree; got != want {
				t.Errorf("seed %d: neighbours of %s: got %d, want %d", seed, id, got, want)
			}
		}
	}
}

func TestItemReachesAllNodesWithinSeconds(t *testing.T) {
	for _, seed := range seeds {
		f := startFleet(t, seed, 120)
		for version, payload := range [][]byte{make([]byte, 100), make([]byte, 20_000)} {
			item := kqspread.Item{Name: "Configuration", Version: uint64(version + 1), Payload: payload}
			f.Nodes[record(7).NodeID].Machine.Publish(item)
			f.Run(4 * time.Second)
			for id, n := range f.Nodes {
				held, _ := n.Machine.Item("Configuration")
				if got, want := held.Version, item.Version; got != want {
					t.Errorf("seed %d: version at %s: got %d, want %d", seed, id, got, want)
				}
			}
		}
	}
}

func TestPublishRejectsOlderItem(t *testing.T) {
	f := startFleet(t, 1, 12)
	m := f.Nodes[record(0).NodeID].Machine
	m.Publish(kqspread.Item{Name: "Configuration", Version: 5, Tie: 2})
	for _, i := range []kqspread.Item{
		{Name: "Configuration", Version: 4, Tie: 9},
		{Name: "Configuration", Version: 5, Tie: 2},
		{Name: "Configuration", Version: 5, Tie: 1},
	} {
		if m.Publish(i) {
			t.Errorf("item %+v replaced version 5, tie 2", i)
		}
	}
	f.Run(4 * time.Second)
	for id, n := range f.Nodes {
		held, _ := n.Machine.Item("Configuration")
		if got, want := held.Version, uint64(5); got != want {
			t.Errorf("version at %s: got %d, want %d", id, got, want)
		}
	}
}

func TestDrainingIsKnownEverywhereWithinTwoSeconds(t *testing.T) {
	for _, seed := range seeds {
		f := startFleet(t, seed, 120)
		draining := record(17)
		n := f.Nodes[draining.NodeID]
		n.Machine.UpdateOwn(func(r *kqmember.Record) { r.Life = kqmember.LifeDraining })
		f.Run(2 * time.Second)
		for id, n := range f.Nodes {
			for _, u := range n.View.Snapshot().Upstreams(draining.Service) {
				if u.NodeID == draining.NodeID {
					t.Errorf("seed %d: %s still lists the draining node %s as an upstream", seed, id, draining.NodeID)
				}
			}
		}
	}
}

func TestDeadNodeIsRemovedAndCanRestart(t *testing.T) {
	for _, seed := range seeds {
		f := startFleet(t, seed, 60)
		dead := record(9)
		f.Stop(dead.NodeID)
		f.Run(kqspread.SuspectAfter + kqmember.RemoveAfter + 5*time.Second)
		checkViews(t, f)
		f.Start(dead, contacts())
		f.Run(5 * time.Second)
		checkViews(t, f)
	}
}

// TestRestartWithLowerIncarnationTakesOver restarts a node on a clock that is
// behind the former one, which yields a lower incarnation. The new start must
// still replace the former one.
func TestRestartWithLowerIncarnationTakesOver(t *testing.T) {
	f := startFleet(t, 1, 30)
	restarted := record(4)
	f.Stop(restarted.NodeID)
	restarted.Incarnation = 1
	restarted.Life = kqmember.LifeJoining
	n := f.Start(restarted, contacts())
	converge(t, f, "restart with an older clock")
	if got, floor := n.View.Own().Incarnation, uint64(5); got <= floor {
		t.Errorf("incarnation: got %d, want above %d", got, floor)
	}
	if n.View.Superseded() {
		t.Error("the restarted node takes itself to be superseded")
	}
}

func TestPausedNodeTakesNoWorkUntilItRefutesItsRemoval(t *testing.T) {
	for _, seed := range seeds {
		f := startFleet(t, seed, 30)
		f.DropWhilePaused = seed%2 == 0
		paused := f.Nodes[record(5).NodeID]
		before := paused.View.Own().Version
		f.Pause(paused.Record.NodeID, 5*time.Minute)
		f.Run(5*time.Minute - time.Second)
		removed := 0
		for _, n := range f.Nodes {
			if held := n.View.Find(paused.Record.NodeID); held.Status == kqmember.StatusRemoved {
				removed++
			}
		}
		if got, want := removed, 29; got != want {
			t.Errorf("seed %d: nodes that removed the paused node: got %d, want %d", seed, got, want)
		}
		// A node that wakes detects its pause before it does anything else.
		f.RunUntil(10*time.Second, time.Millisecond, func() bool { return paused.Machine.Pauses() > 0 })
		if paused.Machine.Confirmed() {
			t.Errorf("seed %d: the node is confirmed as soon as it wakes, before any answer", seed)
		}
		f.RunUntil(10*time.Second, time.Millisecond, paused.Machine.Confirmed)
		if got := paused.View.Own().Version; got <= before {
			t.Errorf("seed %d: the node is confirmed with version %d, which others removed", seed, got)
		}
		converge(t, f, "wake")
	}
}

func TestLostFailureDomainIsRemovedAndRejoins(t *testing.T) {
	for _, seed := range seeds {
		f := startFleet(t, seed, 60)
		for i := range 60 {
			if record(i).FailureDomain == "domain-2" {
				f.Stop(record(i).NodeID)
			}
		}
		f.Run(time.Minute)
		checkViews(t, f)
		for i := range 60 {
			if r := record(i); r.FailureDomain == "domain-2" {
				f.Start(r, contacts())
			}
		}
		converge(t, f, "domain back")
	}
}

// partitionRegions loses all messages between regions.
func partitionRegions(f *kqvirtual.Fleet) {
	deliver := latency(f)
	f.Fault = func(from, to *kqvirtual.Node) kqvirtual.Delivery {
		if from.Record.Region != to.Record.Region {
			return kqvirtual.Delivery{Lost: true}
		}
		return deliver(from, to)
	}
}

func TestRegionsReconnectAfterAnHourOfPartition(t *testing.T) {
	for _, seed := range seeds[:1] {
		f := startFleet(t, seed, 24)
		for _, n := range f.Nodes {
			n.Machine.SetContacts(nil, true)
		}
		partitionRegions(f)
		// After HideAfter no side disseminates the records of the other one.
		f.Run(kqmember.HideAfter + 2*time.Minute)
		n := f.Nodes[record(0).NodeID]
		for _, held := range n.View.Members() {
			if got, want := held.Status == kqmember.StatusAlive, held.Record.Region == n.Record.Region; got != want {
				t.Errorf("alive in the view of %s: %s got %v, want %v", n.Record.NodeID, held.Record.NodeID, got, want)
			}
		}
		f.Nodes[record(0).NodeID].Machine.Publish(kqspread.Item{Name: "Configuration", Version: 3})
		f.Fault = latency(f)
		converge(t, f, "heal")
		f.Run(10 * time.Second)
		if !f.Converged() {
			t.Errorf("seed %d: digests differ after the partition has healed", seed)
		}
	}
}

func TestMembersAndItemsFromPeersAreBounded(t *testing.T) {
	f := kqvirtual.New(1)
	n := f.Start(record(0), nil)
	f.Run(time.Second)
	peer := record(1)
	message := kqspread.Message{Sequence: 1, Changes: []kqspread.Change{{Record: &peer}}}
	for i := range 25_000 {
		r := record(i + 2)
		item := kqspread.Item{Name: r.NodeID, Version: 1}
		message.Changes = append(message.Changes, kqspread.Change{Record: &r}, kqspread.Change{Item: &item})
	}
	n.Machine.Receive(time.Second, peer.NodeID, message)
	if got, want := n.View.Len(), 20_000; got != want {
		t.Errorf("members: got %d, want %d", got, want)
	}
	if got, want := len(n.Machine.TakeItems()), 4096; got != want {
		t.Errorf("items: got %d, want %d", got, want)
	}
	long := kqspread.Item{Name: "long", Version: 1, Payload: make([]byte, 2<<20)}
	if n.Machine.Publish(long) {
		t.Error("an item of 2 MB was accepted")
	}
}
