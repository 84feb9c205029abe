package kqroute_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqroute"
)

// asked is a table with a random past, and the call that is asked about.
type asked struct {
	table *kqroute.Table
	info  kqroute.PickInfo
}

// newAsked plays random calls on a table of several regions. The same seed gives the
// same past.
func newAsked(seed uint64) asked {
	r := rand.New(rand.NewPCG(seed, 5))
	var records []kqmember.Record
	for i := range 1 + r.IntN(12) {
		place := [][2]string{{"lothian", "lothian-a"}, {"lothian", "lothian-b"}, {"fife", "fife-a"}}[r.IntN(3)]
		life := kqmember.LifeServing
		if r.IntN(8) == 0 {
			life = kqmember.LifeWarming
		}
		records = append(records, record(i, place[0], place[1], life))
	}
	a := asked{table: kqroute.NewTable(own, records, nil, startTime)}
	now := startTime
	for range r.IntN(200) {
		now = now.Add(time.Duration(r.IntN(40)) * time.Millisecond)
		u := a.table.Upstreams()[r.IntN(len(records))]
		u.Begin()
		if r.IntN(4) == 0 {
			continue
		}
		result := kqroute.CallResult{Now: now, Class: "browse", Run: time.Duration(1+r.IntN(100)) * time.Millisecond, Verdict: kqroute.Verdict(r.IntN(5))}
		if r.IntN(2) == 0 {
			result.Load = &kqroute.Load{InFlight: r.IntN(20), Queued: r.IntN(9), Limit: r.IntN(16)}
		}
		u.End(result)
		if r.IntN(3) == 0 {
			u.RecordStretch(now, 50+r.IntN(300))
		}
	}
	usable := make([]bool, len(records))
	for i := range usable {
		usable[i] = r.IntN(6) > 0
	}
	indexOf := func(u *kqroute.Upstream) int { return slices.Index(a.table.Upstreams(), u) }
	a.info = kqroute.PickInfo{
		Now: now.Add(time.Duration(r.IntN(300)) * time.Millisecond), AllowOtherRegion: r.IntN(2) == 0, AllowProbe: r.IntN(2) == 0, Even: r.IntN(2) == 0,
		Usable: func(u *kqroute.Upstream) bool { return usable[indexOf(u)] },
	}
	if r.IntN(3) == 0 {
		limited := r.IntN(len(records))
		a.info.Avoid = func(u *kqroute.Upstream) bool { return indexOf(u) == limited }
	}
	return a
}

// picks makes picks with calls, whose results depend on the seed alone.
func (a asked) picks(seed uint64, before func()) []string {
	r := rand.New(rand.NewPCG(seed, 6))
	var list []string
	for range 30 {
		before()
		info := a.info
		info.Random = r.Uint64()
		a.info.Now = a.info.Now.Add(time.Duration(r.IntN(60)) * time.Millisecond)
		verdict, run := kqroute.Verdict(r.IntN(5)), time.Duration(1+r.IntN(100))*time.Millisecond
		u := a.table.Pick(info)
		if u == nil {
			list = append(list, "none")
			continue
		}
		list = append(list, u.Record.NodeID)
		u.MarkProbe(info.Now)
		u.Begin()
		u.End(kqroute.CallResult{Now: a.info.Now, Verdict: verdict, Class: "browse", Run: run})
	}
	return list
}

// TestAskingChangesNoPick compares the picks of two tables with the same past, one of
// which is asked a thousand times over them.
func TestAskingChangesNoPick(t *testing.T) {
	for seed := range uint64(40) {
		want := newAsked(seed).picks(seed, func() {})
		a := newAsked(seed)
		got := a.picks(seed, func() {
			for range 34 {
				a.table.Explain(a.info)
			}
		})
		if !slices.Equal(got, want) {
			t.Errorf("seed %d: picks of the table that was asked: got %v, want %v", seed, got, want)
		}
	}
}

// TestPickIsAmongTheExplained makes many picks of the table as it was explained.
func TestPickIsAmongTheExplained(t *testing.T) {
	none := 0
	for seed := range uint64(400) {
		a := newAsked(seed)
		list := a.table.Explain(a.info)
		if got, want := len(list), len(a.table.Upstreams()); got != want {
			t.Fatalf("seed %d: servers in the answer: got %d, want %d", seed, got, want)
		}
		byUpstream := map[*kqroute.Upstream]kqroute.Consideration{}
		share := 0.0
		for i, c := range list {
			byUpstream[c.Upstream] = c
			share += c.Picked
			if (c.Picked > 0) != (c.Reason == kqroute.Eligible) {
				t.Errorf("seed %d, %s: got picked %v with reason %q, want a reason if none took it, and only then", seed, c.Upstream.Record.NodeID, c.Picked, c.Reason)
			}
			if i > 0 && (list[i-1].Picked < c.Picked || !list[i-1].MayBePicked() && c.MayBePicked()) {
				t.Errorf("seed %d: got server %d of the list less likely than the next, want the most likely first", seed, i-1)
			}
		}
		r := rand.New(rand.NewPCG(seed, 7))
		for range 300 {
			info := a.info
			info.Random = r.Uint64()
			u := a.table.Pick(info)
			switch {
			case u == nil && share != 0:
				t.Errorf("seed %d: got no pick, want none only if the answer has none: %v", seed, share)
			case u == nil:
				none++
			case !byUpstream[u].MayBePicked():
				t.Errorf("seed %d: got a pick of %s, which the answer excludes as %s", seed, u.Record.NodeID, byUpstream[u].Reason)
			case list[0].Picked == 1 && u != list[0].Upstream && byUpstream[u].Reason == kqroute.Eligible:
				t.Errorf("seed %d: got a pick of %s, want %s, the only one in the answer", seed, u.Record.NodeID, list[0].Upstream.Record.NodeID)
			}
			if share == 0 && u != nil {
				t.Errorf("seed %d: got a pick of %s, want none as the answer says", seed, u.Record.NodeID)
			}
		}
	}
	if none == 0 {
		t.Error("cases without a pick: got none, want some")
	}
}

// TestReasonsOfPassingOver leaves one server for each reason.
func TestReasonsOfPassingOver(t *testing.T) {
	serving := kqmember.LifeServing
	table := kqroute.NewTable(own, []kqmember.Record{
		record(0, "lothian", "lothian-a", serving), record(1, "lothian", "lothian-a", serving), record(2, "lothian", "lothian-a", serving),
		record(3, "lothian", "lothian-b", serving), record(4, "fife", "fife-a", serving), record(5, "lothian", "lothian-a", serving),
		record(6, "lothian", "lothian-a", serving), record(7, "lothian", "lothian-a", kqmember.LifeWarming),
	}, nil, startTime)
	byName := func(name string) *kqroute.Upstream {
		return table.Upstreams()[slices.IndexFunc(table.Upstreams(), func(u *kqroute.Upstream) bool { return u.Record.NodeID == name })]
	}
	for range 3 {
		finishCall(byName("node-1"), startTime, kqroute.Faulty, nil)
	}
	finishCall(byName("node-2"), startTime, kqroute.Draining, nil)
	byName("node-6").Begin()
	byName("node-6").Begin()
	info := kqroute.PickInfo{Now: startTime.Add(time.Millisecond), Random: 3, AllowOtherRegion: true, Usable: func(u *kqroute.Upstream) bool {
		return u != byName("node-5") && u != byName("node-7")
	}}
	want := map[string]kqroute.Reason{
		"node-0": kqroute.Eligible, "node-1": kqroute.Ejected, "node-2": kqroute.Leaving, "node-3": kqroute.FartherAway,
		"node-4": kqroute.FartherAway, "node-5": kqroute.Unusable, "node-6": kqroute.MoreLoaded, "node-7": kqroute.Unusable,
	}
	for i, c := range table.Explain(info) {
		name := c.Upstream.Record.NodeID
		if got := c.Reason; got != want[name] {
			t.Errorf("reason of %s: got %q, want %q", name, got, want[name])
		}
		if i == 0 && (name != "node-0" || c.Picked != 1) {
			t.Errorf("first server: got %s picked %v, want node-0 picked 1", name, c.Picked)
		}
		if name == "node-6" && c.Figures.InFlight != 2 {
			t.Errorf("own calls at %s: got %d, want 2", name, c.Figures.InFlight)
		}
		if name == "node-1" && (!c.Figures.Ejected || c.Figures.EjectedFor != 249*time.Millisecond) {
			t.Errorf("ejection of %s: got %t for %s, want true for 249ms", name, c.Figures.Ejected, c.Figures.EjectedFor)
		}
	}
	if got := (&kqroute.Table{}).Explain(info); len(got) != 0 {
		t.Errorf("empty table: got %v, want nothing", got)
	}
}
