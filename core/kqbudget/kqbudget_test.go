package kqbudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"kumquatlink/core/kqbudget"
)

// event is the arrival of a call at the service.
type event struct {
	at     time.Duration
	repeat bool
}

// TestRepeatsOfAChainStayWithinTheBound guards against repeats that multiply
// along a chain. Every call in a chain of four levels fails, so each entry
// repeats whenever its budget allows it; no window of the last service may
// contain more repeats than the bound.
func TestRepeatsOfAChainStayWithinTheBound(t *testing.T) {
	const entries = 24
	names := []string{"catalog", "orders", "packs", "licensing"}
	fanouts := []int{1, 1, 4}
	bound := kqbudget.Bound{Ratio: 0.2, Window: 10 * time.Second, Slack: 48}
	for seed := range uint64(4) {
		random := rand.New(rand.NewPCG(seed, 1))
		budgets := make([]*kqbudget.Budget, entries)
		for i := range budgets {
			budgets[i] = kqbudget.New(bound)
		}
		var arrivals []event
		// call makes a call at a level, with its repeats, and from each run the
		// calls of the next level.
		var call func(now time.Duration, level int, inherited bool)
		call = func(now time.Duration, level int, inherited bool) {
			b := budgets[random.IntN(entries)]
			b.RecordRequest(now, kqbudget.Call{Service: names[level], Depth: level}, inherited)
			for try := range 4 {
				if try > 0 && !b.TakeRepeat(now, kqbudget.Call{Service: names[level], Depth: level}, entries, random.IntN(4) == 0) {
					return
				}
				if level == len(names)-1 {
					arrivals = append(arrivals, event{now, inherited || try > 0})
					continue
				}
				for range fanouts[level] {
					call(now, level+1, inherited || try > 0)
				}
			}
		}
		for now := time.Duration(0); now < 40*time.Second; now += time.Duration(random.IntN(20)) * time.Millisecond {
			call(now, 0, false)
		}
		checkWindows(t, bound, arrivals)
	}
}

// checkWindows compares the repeats in each sliding window with the bound.
func checkWindows(t *testing.T, bound kqbudget.Bound, arrivals []event) {
	t.Helper()
	for from := time.Duration(0); from < 30*time.Second; from += 500 * time.Millisecond {
		requests, repeats := 0, 0
		for _, e := range arrivals {
			if e.at < from || e.at >= from+bound.Window {
				continue
			}
			requests++
			if e.repeat {
				repeats++
			}
		}
		if want := bound.Ratio*float64(requests) + bound.Slack; float64(repeats) > want {
			t.Fatalf("window from %s: got %d repeats of %d arrivals, want at most %.0f", from, repeats, requests, want)
		}
	}
}

// TestRepeatsAreReservedForUrgentRequests spends all repeats that requests that
// are not urgent may use: urgent ones must still get some.
func TestRepeatsAreReservedForUrgentRequests(t *testing.T) {
	b := kqbudget.New(kqbudget.Bound{Ratio: 0.2, Window: 10 * time.Second, Slack: 0})
	for range 1000 {
		b.RecordRequest(0, kqbudget.Call{Service: "orders"}, false)
	}
	nonUrgent := 0
	for b.TakeRepeat(time.Millisecond, kqbudget.Call{Service: "orders"}, 1, false) {
		nonUrgent++
	}
	urgent := 0
	for b.TakeRepeat(time.Millisecond, kqbudget.Call{Service: "orders"}, 1, true) {
		urgent++
	}
	if nonUrgent == 0 || urgent == 0 || nonUrgent+urgent > 200 {
		t.Errorf("repeats for 1000 requests: got %d not urgent and %d urgent, want some of each and at most 200", nonUrgent, urgent)
	}
}

// TestSpentRepeatsAreAvailableAgainAfterTheWindow spends the whole budget once:
// repeats must be allowed again when the window has passed.
func TestSpentRepeatsAreAvailableAgainAfterTheWindow(t *testing.T) {
	b := kqbudget.New(kqbudget.Bound{Ratio: 0.2, Window: 10 * time.Second, Slack: 0})
	for now := time.Duration(0); now < 30*time.Second; now += 10 * time.Millisecond {
		b.RecordRequest(now, kqbudget.Call{Service: "orders"}, false)
		if now == 9*time.Second {
			for b.TakeRepeat(now, kqbudget.Call{Service: "orders"}, 1, true) {
				continue
			}
		}
	}
	if !b.TakeRepeat(30*time.Second, kqbudget.Call{Service: "orders"}, 1, true) {
		t.Error("repeat 21 s after the budget was spent: got refused, want allowed")
	}
}

// TestEntryWithFewRequestsAllowsRepeats guards against a budget that is useless
// when callers spread over many entries: each entry then has few requests, and
// the ratio alone allows too few repeats. One request in six is lost.
func TestEntryWithFewRequestsAllowsRepeats(t *testing.T) {
	b := kqbudget.New(kqbudget.Bound{Ratio: 0.2, Window: 10 * time.Second, Slack: 48})
	call := kqbudget.Call{Service: "orders"}
	granted := 0
	for i := range 40 {
		now := time.Duration(i) * 250 * time.Millisecond
		b.RecordRequest(now, call, false)
		if i%6 == 5 && b.TakeRepeat(now, call, 24, false) {
			granted++
		}
	}
	if got, want := granted, 2; got < want {
		t.Errorf("repeats of 40 requests, 6 of them lost: got %d, want at least %d", got, want)
	}
}

// TestRepeatsStayWithinTheBoundWhenAllEntriesRestart guards against slack that
// is spent twice, before and after a restart. Few requests of all depths arrive
// at each of many entries, all of them fail, and all entries restart at once.
func TestRepeatsStayWithinTheBoundWhenAllEntriesRestart(t *testing.T) {
	const entries = 24
	const restart = 15 * time.Second
	bound := kqbudget.Bound{Ratio: 0.2, Window: 10 * time.Second, Slack: 480}
	budgets := make([]*kqbudget.Budget, entries)
	for i := range budgets {
		budgets[i] = kqbudget.New(bound)
	}
	var arrivals []event
	random := rand.New(rand.NewPCG(3, 1))
	for now := time.Duration(0); now < 40*time.Second; now += 10 * time.Millisecond {
		if now == restart {
			for i := range budgets {
				budgets[i] = kqbudget.New(bound, kqbudget.WithRestart(now))
			}
		}
		b := budgets[random.IntN(entries)]
		call := kqbudget.Call{Service: "orders", Depth: random.IntN(4)}
		b.RecordRequest(now, call, false)
		arrivals = append(arrivals, event{at: now})
		// The budgets are spent right before and right after the restart.
		for range 20 {
			if now >= restart-time.Second && now < restart+5*time.Second && b.TakeRepeat(now, call, entries, true) {
				arrivals = append(arrivals, event{at: now, repeat: true})
			}
		}
	}
	for from := restart - bound.Window; from <= restart; from += 500 * time.Millisecond {
		requests, repeats := 0, 0
		for _, e := range arrivals {
			switch {
			case e.at < from || e.at >= from+bound.Window:
			case e.repeat:
				repeats++
			default:
				requests++
			}
		}
		if want := bound.Ratio*float64(requests) + bound.Slack; float64(repeats) > want {
			t.Errorf("window from %s: got %d repeats of %d requests, want at most %.0f", from, repeats, requests, want)
		}
	}
}
