package kqlimit_test

import (
	"testing"
	"time"

	"kumquatlink/core/kqlimit"
)

// feed ends calls one after another at a gate that is asked for more than it
// lets in, beside a server with slots, and gives the limit after that.
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

func TestLimitFindsTheSlots(t *testing.T) {
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
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			l, now := kqlimit.New(c.hint), time.Duration(0)
			feed(l, &now, 3000+40*c.slots, c.slots, 20*time.Millisecond, c.onward)
			most, sum := 0, 0
			for range 100 {
				v := feed(l, &now, c.slots, c.slots, 20*time.Millisecond, c.onward)
				most, sum = max(most, v), sum+v
			}
			if got, want := float64(sum)/100, 0.93*float64(c.slots); got < want {
				t.Errorf("mean limit: got %.1f, want at least %.1f", got, want)
			}
			if got, want := most, c.slots*3/2+2; got > want {
				t.Errorf("highest limit: got %d, want at most %d", got, want)
			}
		})
	}
}

func TestLimitStandsWhenTheServerSlows(t *testing.T) {
	for _, slots := range []int{5, 36} {
		l, now := kqlimit.New(0), time.Duration(0)
		feed(l, &now, 5000, slots, 20*time.Millisecond, 0)
		for _, own := range []time.Duration{200 * time.Millisecond, 20 * time.Millisecond, 400 * time.Millisecond, 5 * time.Millisecond} {
			least, sum, rounds := 1<<20, 0, 40
			for range rounds {
				v := feed(l, &now, slots, slots, own, 0)
				least, sum = min(least, v), sum+v
			}
			if got, want := float64(sum)/float64(rounds), 0.88*float64(slots); got < want {
				t.Errorf("%d slots, own time %s: mean limit: got %.1f, want at least %.1f", slots, own, got, want)
			}
			if got, want := least, slots/2; got < want {
				t.Errorf("%d slots, own time %s: least limit: got %d, want at least %d", slots, own, got, want)
			}
		}
	}
}

// TestLeftoverLimitComesBack holds the limit to the worst leftover that the
// recovery page states: the server shed until the limit was 1.
func TestLeftoverLimitComesBack(t *testing.T) {
	l, now := kqlimit.New(0), time.Duration(0)
	feed(l, &now, 5000, 36, 20*time.Millisecond, 0)
	for l.Value() > 1 {
		now += 250 * time.Millisecond
		l.ObserveShed(now, 0)
	}
	begun := now
	for l.Value() < 34 && now-begun < time.Minute {
		feed(l, &now, 1, 36, 20*time.Millisecond, 0)
	}
	if got, want := now-begun, time.Second; got > want {
		t.Errorf("limit back after %s, want within %s", got, want)
	}
}

// BenchmarkObserve is the cost of one sample with 36 slots.
func BenchmarkObserve(b *testing.B) {
	l, now := kqlimit.New(36), time.Duration(0)
	for range b.N {
		feed(l, &now, 1, 36, 20*time.Millisecond, 0)
	}
}
