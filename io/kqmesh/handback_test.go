package kqmesh

import (
	"context"
	"slices"
	"strconv"
	"testing"
	"time"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqroute"
	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqstore"
	"kumquatlink/io/kqtrunk"
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

// TestCallersOfHandedBackCallsReturnAtDifferentTimes has a full gate hand back calls. If
// no time is left to send them elsewhere, that is the answer to their callers.
func TestCallersOfHandedBackCallsReturnAtDifferentTimes(t *testing.T) {
	n, err := New(Settings{NodeID: "orders-1", Service: "orders", BackendAddress: "10.0.0.1:80"}, NativeDialect(), &kqstore.Client{})
	if err != nil {
		t.Fatal(err)
	}
	head := kqtrunk.CallHead{Service: "orders", Class: "browse", Route: "browse", Rank: 3, Budget: time.Minute}
	if _, admitted := n.gate.admit(context.Background(), head, kqserver.Notice{Slots: 1}); !admitted {
		t.Fatal("first call: refused")
	}
	head.HandBack = true
	times := map[time.Duration]bool{}
	const calls = 50
	for i := range calls {
		head.Root = "r" + strconv.Itoa(i)
		end, admitted := n.gate.admit(context.Background(), head, kqserver.Notice{Slots: 1})
		if got, want := end.Cause, kqcall.CauseHandedBack; got != want || admitted {
			t.Fatalf("call %s: got %v, admitted %t, want %s", head.Root, end, admitted, want)
		}
		if got, want := end.RetryAfter, 500*time.Millisecond; got < want {
			t.Errorf("call %s: retry after %s, want at least %s", head.Root, got, want)
		}
		times[end.RetryAfter] = true
	}
	if got, want := len(times), calls; got != want {
		t.Errorf("times after which callers return: got %d, want %d", got, want)
	}
}
