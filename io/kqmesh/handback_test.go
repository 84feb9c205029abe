package kqmesh

import (
	"slices"
	"testing"
	"time"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqroute"
)

// TestGatesThatHandedACallBackGetItAgain has all gates hand a call back, and checks which
// get it once more: those that still may get calls, each once.
func TestGatesThatHandedACallBackGetItAgain(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	records := []kqmember.Record{
		{NodeID: "orders-1", Incarnation: 1, Life: kqmember.LifeServing}, {NodeID: "orders-2", Incarnation: 1, Life: kqmember.LifeServing},
	}
	for _, c := range []struct {
		name string
		// change makes the first gate unfit, and returns the table after that.
		change func(table *kqroute.Table, info *kqroute.PickInfo) *kqroute.Table
		want   []string
	}{
		{"no change", func(table *kqroute.Table, _ *kqroute.PickInfo) *kqroute.Table { return table }, []string{"orders-1", "orders-2"}},
		{"link down", func(table *kqroute.Table, info *kqroute.PickInfo) *kqroute.Table {
			info.Usable = func(u *kqroute.Upstream) bool { return u.Record.NodeID != "orders-1" }
			return table
		}, []string{"orders-2"}},
		{"server leaves", func(table *kqroute.Table, _ *kqroute.PickInfo) *kqroute.Table {
			u := table.Upstreams()[0]
			u.Begin()
			u.End(kqroute.CallResult{Now: now, Verdict: kqroute.Draining})
			return table
		}, []string{"orders-2"}},
		{"server left", func(table *kqroute.Table, _ *kqroute.PickInfo) *kqroute.Table {
			return kqroute.NewTable(kqmember.Record{}, records[1:], table, now)
		}, []string{"orders-2"}},
		{"records changed", func(table *kqroute.Table, _ *kqroute.PickInfo) *kqroute.Table {
			return kqroute.NewTable(kqmember.Record{}, records, table, now)
		}, []string{"orders-1", "orders-2"}},
	} {
		table := kqroute.NewTable(kqmember.Record{}, records, nil, now)
		info := kqroute.PickInfo{Now: now, Even: true}
		var h handBacks
		for _, u := range table.Upstreams() {
			info.Tried.Add(u)
			if _, mayHandBack := h.choose(table, info, u, true); !mayHandBack {
				t.Errorf("%s: gate %s may not hand the call back", c.name, u.Record.NodeID)
			}
			h.record(u, endOnly(kqcall.NotRun(kqcall.CauseHandedBack)))
		}
		table = c.change(table, &info)
		var got []string
		for len(got) < 4 {
			u, mayHandBack := h.choose(table, info, table.Pick(info), true)
			if u == nil {
				break
			}
			if mayHandBack {
				t.Errorf("%s: gate %s may hand the call back twice", c.name, u.Record.NodeID)
			}
			got = append(got, u.Record.NodeID)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: gates that get the call once more: got %v, want %v", c.name, got, c.want)
		}
	}
}

// TestHandBacksAreBounded records more hand-backs than a call may have.
func TestHandBacksAreBounded(t *testing.T) {
	var h handBacks
	u := kqroute.NewTable(kqmember.Record{}, []kqmember.Record{{NodeID: "orders-1", Life: kqmember.LifeServing}}, nil, time.Unix(1_000_000, 0)).Upstreams()[0]
	for range 10 * maxHandBacks {
		h.record(u, endOnly(kqcall.NotRun(kqcall.CauseHandedBack)))
	}
	if got, want := h.count, maxHandBacks; got != want {
		t.Errorf("hand-backs that allow a further try: got %d, want %d", got, want)
	}
}
