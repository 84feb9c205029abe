package kqbudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"kumquatlink/core/kqbudget"
)

// event is an arrival that the service sees.
type event struct {
	at     time.Duration
	repeat bool
}

// TestRepeatsOfAChainStayWithinTheBound has every call of a chain of four
// levels fail, so that each entry repeats whenever it may, and looks at every
// window of the last service.
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
		var seen []event
		// call makes a call at a level and, from it, calls of the next.
		var call func(now time.Duration, level int, inherited bool)
		call = func(now time.Duration, level int, inherited bool) {
			b := budgets[random.IntN(entries)]
			b.RecordRequest(now, kqbudget.Call{Service: names[level], Depth: level}, inherited)
			for try := range 4 {
				if try > 0 && !b.TakeRepeat(now, kqbudget.Call{Service: names[level], Depth: level}, entries, random.IntN(4) == 0) {
					return
				}
				if level == len(names)-1 {
					seen = append(seen, event{now, inherited || try > 0})
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
		check(t, bound, seen)
	}
}

// check counts repeats against requests in windows that slide.
func check(t *testing.T, bound kqbudget.Bound, seen []event) {
	t.Helper()
	for from := time.Duration(0); from < 30*time.Second; from += 500 * time.Millisecond {
		requests, repeats := 0, 0
		for _, e := range seen {
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

// TestUrgentRequestsFindWhatOthersLeft spends all that plain requests may.
func TestUrgentRequestsFindWhatOthersLeft(t *testing.T) {
	b := kqbudget.New(kqbudget.Bound{Ratio: 0.2, Window: 10 * time.Second, Slack: 0})
	for range 1000 {
		b.RecordRequest(0, kqbudget.Call{Service: "orders"}, false)
	}
	plain := 0
	for b.TakeRepeat(time.Millisecond, kqbudget.Call{Service: "orders"}, 1, false) {
		plain++
	}
	urgent := 0
	for b.TakeRepeat(time.Millisecond, kqbudget.Call{Service: "orders"}, 1, true) {
		urgent++
	}
	if plain == 0 || urgent == 0 || plain+urgent > 200 {
		t.Errorf("repeats for 1000 requests: got %d plain and %d urgent, want some of each and at most 200", plain, urgent)
	}
}

// TestRepeatsComeBackWithTime spends all, and finds it again a window later.
func TestRepeatsComeBackWithTime(t *testing.T) {
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
		t.Error("repeat 21 s after all were spent: got none, want one")
	}
}

// TestCallersSpreadOverManyEntriesFindRepeats has few requests at each of many
// entries and one in six lost: each entry must have a few repeats for them.
func TestCallersSpreadOverManyEntriesFindRepeats(t *testing.T) {
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

// TestRepeatsStayWithinTheBoundWhenAllEntriesStartAgain has few requests of
// all depths at each of many entries, all of which fail, and restarts all
// entries at once.
func TestRepeatsStayWithinTheBoundWhenAllEntriesStartAgain(t *testing.T) {
	const entries = 24
	const restart = 15 * time.Second
	bound := kqbudget.Bound{Ratio: 0.2, Window: 10 * time.Second, Slack: 480}
	budgets := make([]*kqbudget.Budget, entries)
	for i := range budgets {
		budgets[i] = kqbudget.New(bound)
	}
	var seen []event
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
		seen = append(seen, event{at: now})
		// Most of what may be spent is spent right before and behind the restart.
		for range 20 {
			if now >= restart-time.Second && now < restart+5*time.Second && b.TakeRepeat(now, call, entries, true) {
				seen = append(seen, event{at: now, repeat: true})
			}
		}
	}
	for from := restart - bound.Window; from <= restart; from += 500 * time.Millisecond {
		firsts, repeats := 0, 0
		for _, e := range seen {
			switch {
			case e.at < from || e.at >= from+bound.Window:
			case e.repeat:
				repeats++
			default:
				firsts++
			}
		}
		if want := bound.Ratio*float64(firsts) + bound.Slack; float64(repeats) > want {
			t.Errorf("window from %s: got %d repeats of %d requests, want at most %.0f", from, repeats, firsts, want)
		}
	}
}
