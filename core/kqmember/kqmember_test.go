package kqmember_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kumquatlink/core/kqmember"
)

// init fixes the seed of all property tests, so that every run checks the same
// cases.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func record(name string, incarnation, version uint64) kqmember.Record {
	return kqmember.Record{
		NodeID: name, Incarnation: incarnation, Version: version, Address: name + ":1",
		FailureDomain: "lothian-a", Region: "lothian", Life: kqmember.LifeServing, Service: "catalog",
	}
}

// claim is a record as another node may send it, with or without a suspicion.
type claim struct {
	record    kqmember.Record
	suspected bool
}

func (c claim) stamp() kqmember.Stamp {
	s := c.record.Stamp()
	s.Suspected = c.suspected
	return s
}

func drawClaim(t *rapid.T) claim {
	name := fmt.Sprintf("node-%d", rapid.IntRange(0, 4).Draw(t, "node"))
	r := record(name, rapid.Uint64Range(1, 3).Draw(t, "incarnation"), rapid.Uint64Range(1, 4).Draw(t, "version"))
	return claim{record: r, suspected: rapid.Bool().Draw(t, "suspected")}
}

// TestMergeKeepsTheHighestStamp compares a view with a reference
// implementation: a map that keeps the claim with the highest stamp.
func TestMergeKeepsTheHighestStamp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := kqmember.NewView(record("own", 9, 1))
		claims := rapid.SliceOf(rapid.Custom(drawClaim)).Draw(t, "words")
		reference := map[string]claim{}
		for _, c := range claims {
			current, found := reference[c.record.NodeID]
			newer := !found || current.stamp().Less(c.stamp())
			if newer {
				reference[c.record.NodeID] = c
			}
			if got, want := view.Merge(0, c.record, c.suspected, 0), newer; got != want {
				t.Fatalf("merge of %+v: got %v, want %v", c, got, want)
			}
		}
		for name, want := range reference {
			if got := view.Find(name); got.Stamp() != want.stamp() {
				t.Errorf("%s: got %+v, want %+v", name, got.Stamp(), want.stamp())
			}
		}
		if got, want := view.Len(), len(reference)+1; got != want {
			t.Errorf("nodes: got %d, want %d", got, want)
		}
	})
}

// TestOwnRecordRefutesAnyClaim merges claims of others about the node itself.
// Its own record must keep the highest stamp, unless a later start has replaced
// the node.
func TestOwnRecordRefutesAnyClaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own := record("node-0", 2, 2)
		view := kqmember.NewView(own)
		for _, c := range rapid.SliceOfN(rapid.Custom(drawClaim), 1, 20).Draw(t, "words") {
			c.record.NodeID = "node-0"
			view.Merge(0, c.record, c.suspected, 0)
			if view.Own().Stamp().Less(c.stamp()) && !view.Superseded() {
				t.Fatalf("own stamp: got %+v, want at least %+v", view.Own().Stamp(), c.stamp())
			}
			if got, want := view.Own().Address, own.Address; got != want {
				t.Fatalf("own address: got %s, want %s", got, want)
			}
		}
	})
}

func TestStatusChangesWithTime(t *testing.T) {
	view := kqmember.NewView(record("own", 1, 1))
	view.Merge(0, record("node-1", 1, 1), false, 0)
	if !view.Suspect(time.Second, "node-1", kqmember.Stamp{Incarnation: 1, Version: 1}, 0) {
		t.Fatal("suspicion of the record in the view: got no change, want one")
	}
	for _, step := range []struct {
		at   time.Duration
		want kqmember.Status
	}{
		{time.Second, kqmember.StatusSuspected},
		{time.Second + kqmember.RemoveAfter, kqmember.StatusRemoved},
		{time.Second + kqmember.HideAfter, kqmember.StatusHidden},
	} {
		view.Advance(step.at)
		if got := view.Find("node-1").Status; got != step.want {
			t.Errorf("status at %v: got %d, want %d", step.at, got, step.want)
		}
	}
	if view.Merge(2*time.Hour, record("node-1", 1, 1), false, 0) {
		t.Error("old record of a dead node: got it merged, want it ignored")
	}
	view.Advance(time.Second + kqmember.ForgetAfter)
	if view.Find("node-1") != nil {
		t.Error("dead node after ForgetAfter: got it still in the view, want it deleted")
	}
}

// TestSuspectedUpstreamsStayInUseWhenTheyOutnumberTheOthers guards against
// overload of the few upstreams that are left when many suspicions are wrong.
func TestSuspectedUpstreamsStayInUseWhenTheyOutnumberTheOthers(t *testing.T) {
	for suspected, want := range map[int]int{1: 3, 2: 2, 3: 4, 4: 4} {
		view := kqmember.NewView(kqmember.Record{NodeID: "own"})
		for i := range 4 {
			r := record(fmt.Sprintf("node-%d", i), 1, 1)
			view.Merge(0, r, i < suspected, 0)
		}
		if got := len(view.Snapshot().Upstreams("catalog")); got != want {
			t.Errorf("upstreams with %d of 4 suspected: got %d, want %d", suspected, got, want)
		}
	}
}
