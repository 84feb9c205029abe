package kqmember_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kumquatlink/core/kqmember"
)

// init fixes the seed of all property tests, so that every run gives the same
// verdict.
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

// heard is one word about a node.
type heard struct {
	record    kqmember.Record
	suspected bool
}

func (h heard) stamp() kqmember.Stamp {
	s := h.record.Stamp()
	s.Suspected = h.suspected
	return s
}

func drawHeard(t *rapid.T) heard {
	name := fmt.Sprintf("node-%d", rapid.IntRange(0, 4).Draw(t, "node"))
	r := record(name, rapid.Uint64Range(1, 3).Draw(t, "incarnation"), rapid.Uint64Range(1, 4).Draw(t, "version"))
	return heard{record: r, suspected: rapid.Bool().Draw(t, "suspected")}
}

// TestMergeKeepsTheHighestWord compares a view with the naive one, which keeps
// everything that it heard and looks for the highest.
func TestMergeKeepsTheHighestWord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := kqmember.NewView(record("own", 9, 1))
		words := rapid.SliceOf(rapid.Custom(drawHeard)).Draw(t, "words")
		naive := map[string]heard{}
		for _, w := range words {
			held, found := naive[w.record.NodeID]
			newer := !found || held.stamp().Less(w.stamp())
			if newer {
				naive[w.record.NodeID] = w
			}
			if got, want := view.Merge(0, w.record, w.suspected, 0), newer; got != want {
				t.Fatalf("merge of %+v: got %v, want %v", w, got, want)
			}
		}
		for name, want := range naive {
			if got := view.Find(name); got.Stamp() != want.stamp() {
				t.Errorf("%s: got %+v, want %+v", name, got.Stamp(), want.stamp())
			}
		}
		if got, want := view.Len(), len(naive)+1; got != want {
			t.Errorf("nodes: got %d, want %d", got, want)
		}
	})
}

// TestOwnRecordOutlivesAnyWord lets others say anything of the node itself:
// its own word must stay the highest, unless a later start took over.
func TestOwnRecordOutlivesAnyWord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own := record("node-0", 2, 2)
		view := kqmember.NewView(own)
		for _, w := range rapid.SliceOfN(rapid.Custom(drawHeard), 1, 20).Draw(t, "words") {
			w.record.NodeID = "node-0"
			view.Merge(0, w.record, w.suspected, 0)
			if view.Own().Stamp().Less(w.stamp()) && !view.Superseded() {
				t.Fatalf("own word %+v is below %+v", view.Own().Stamp(), w.stamp())
			}
			if got, want := view.Own().Address, own.Address; got != want {
				t.Fatalf("own address: got %s, want %s", got, want)
			}
		}
	})
}

func TestStatusMovesWithTime(t *testing.T) {
	view := kqmember.NewView(record("own", 1, 1))
	view.Merge(0, record("node-1", 1, 1), false, 0)
	if !view.Suspect(time.Second, "node-1", kqmember.Stamp{Incarnation: 1, Version: 1}, 0) {
		t.Fatal("suspicion was not taken")
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
		t.Error("an old record brought a dead node back")
	}
	view.Advance(time.Second + kqmember.ForgetAfter)
	if view.Find("node-1") != nil {
		t.Error("the node is not forgotten")
	}
}

func TestSuspectedUpstreamsStayWhenTheyAreMost(t *testing.T) {
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
