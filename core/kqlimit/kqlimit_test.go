package kqlimit_test

import (
	"testing"
	"time"

	"kumquatlink/core/kqlimit"
)

// feed simulates calls that end one after another. The gate is offered more than
// it admits, and the server has the given number of slots; calls beyond them
// queue in the server. It returns the limit after the last call.
func feed(l *kqlimit.Limit, now *time.Duration, calls, slots int, own, onward time.Duration) int {
	for i := range calls {
		limit := l.Value()
		hold := own + onward
		wait := hold * time.Duration(max(0, limit-slots)) / time.Duration(slots)
		*now += hold / time.Duration(min(slots, limit))
		jitter := own * time.Duration(i%7) / 100
		l.Observe(kqlimit.Sample{OwnTime: own + wait + jitter, HoldTime: hold + wait + jitter, InFlight: limit, Limited: true, Ended: *now})
	}
	return l.Value()
}

func TestLimitConvergesToTheSlots(t *testing.T) {
	tests := []struct {
		name        string
		slots, hint int
		onward      time.Duration
	}{
		{"1 slot", 1, 0, 0},
		{"5 slots", 5, 0, 0},
		{"7 slots", 7, 0, 0},
		{"36 slots", 36, 0, 0},
		{"300 slots", 300, 0, 0},
		{"5 slots, 1000 announced", 5, 1000, 0},
		{"36 slots, 1 announced", 36, 1, 0},
		{"36 slots, slow onward calls", 36, 0, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, now := kqlimit.New(test.hint), time.Duration(0)
			feed(l, &now, 3000+40*test.slots, test.slots, 20*time.Millisecond, test.onward)
			highest, sum := 0, 0
			for range 100 {
				v := feed(l, &now, test.slots, test.slots, 20*time.Millisecond, test.onward)
				highest, sum = max(highest, v), sum+v
			}
			if got, want := float64(sum)/100, 0.93*float64(test.slots); got < want {
				t.Errorf("mean limit: got %.1f, want at least %.1f", got, want)
			}
			if got, want := highest, test.slots*3/2+2; got > want {
				t.Errorf("highest limit: got %d, want at most %d", got, want)
			}
		})
	}
}

func TestLimitIsStableWhenServerSpeedChanges(t *testing.T) {
	for _, slots := range []int{5, 36} {
		l, now := kqlimit.New(0), time.Duration(0)
		feed(l, &now, 5000, slots, 20*time.Millisecond, 0)
		for _, own := range []time.Duration{200 * time.Millisecond, 20 * time.Millisecond, 400 * time.Millisecond, 5 * time.Millisecond} {
			lowest, sum, rounds := 1<<20, 0, 40
			for range rounds {
				v := feed(l, &now, slots, slots, own, 0)
				lowest, sum = min(lowest, v), sum+v
			}
			if got, want := float64(sum)/float64(rounds), 0.88*float64(slots); got < want {
				t.Errorf("%d slots, own time %s: mean limit: got %.1f, want at least %.1f", slots, own, got, want)
			}
			if got, want := lowest, slots/2; got < want {
				t.Errorf("%d slots, own time %s: lowest limit: got %d, want at least %d", slots, own, got, want)
			}
		}
	}
}

// TestLimitRecoversAfterSheds checks the bound for the worst state that an
// overload can leave behind: the server shed calls until the limit was 1.
func TestLimitRecoversAfterSheds(t *testing.T) {
	l, now := kqlimit.New(0), time.Duration(0)
	feed(l, &now, 5000, 36, 20*time.Millisecond, 0)
	for l.Value() > 1 {
		now += 250 * time.Millisecond
		l.ObserveShed(now, 0)
	}
	lastShed := now
	for l.Value() < 34 && now-lastShed < time.Minute {
		feed(l, &now, 1, 36, 20*time.Millisecond, 0)
	}
	if got, want := now-lastShed, time.Second; got > want {
		t.Errorf("limit recovered after %s, want within %s", got, want)
	}
}

// BenchmarkObserve measures one sample at a server with 36 slots.
func BenchmarkObserve(b *testing.B) {
	l, now := kqlimit.New(36), time.Duration(0)
	for range b.N {
		feed(l, &now, 1, 36, 20*time.Millisecond, 0)
	}
}
