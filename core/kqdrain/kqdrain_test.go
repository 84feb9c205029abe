package kqdrain_test

import (
	"testing"
	"time"

	"kumquatlink/core/kqdrain"
)

func TestRequestFitsBeforeTheEnd(t *testing.T) {
	const second, ms = time.Second, time.Millisecond
	type sample struct{ at, took time.Duration }
	for _, c := range []struct {
		what                string
		samples             []sample
		now                 time.Duration
		timeLeft, remaining time.Duration
		want                bool
	}{
		{"deadline before the end", nil, 0, 5 * second, 5600 * ms, true},
		{"deadline after the end, nothing known", nil, 0, 5 * second, 4 * second, false},
		{"quick route", []sample{{0, 120 * ms}}, second, 5 * second, 400 * ms, true},
		{"quick route, no time for headroom", []sample{{0, 120 * ms}}, second, 5 * second, 360 * ms, false},
		{"slow route", []sample{{0, 2 * second}}, second, 6 * second, 3 * second, true},
		{"slow route, no time for headroom", []sample{{0, 2 * second}}, second, 6 * second, 2900 * ms, false},
		{"slow once among quick ones", []sample{{0, 2 * second}, {second, 10 * ms}}, 2 * second, 6 * second, second, false},
		{"slow in the former period", []sample{{0, 2 * second}, {11 * second, 10 * ms}}, 12 * second, 6 * second, second, false},
		{"slow long ago", []sample{{0, 2 * second}, {11 * second, 10 * ms}}, 21 * second, 6 * second, second, true},
		{"nothing lately", []sample{{0, 10 * ms}}, 60 * second, 6 * second, second, false},
		{"deadline shorter than usual times", []sample{{0, 4 * second}}, second, 500 * ms, second, true},
		{"the end has passed", []sample{{0, ms}}, second, 5 * second, -second, false},
	} {
		r := kqdrain.New()
		for _, s := range c.samples {
			r.Record(s.at, "buy", s.took)
		}
		if got := r.Fits(c.now, "buy", c.timeLeft, c.remaining); got != c.want {
			t.Errorf("%s: got %t, want %t", c.what, got, c.want)
		}
	}
}

// TestRoutesAreBounded records more routes than are kept.
func TestRoutesAreBounded(t *testing.T) {
	r := kqdrain.New()
	for i := range 10_000 {
		r.Record(0, string(rune(i)), time.Millisecond)
	}
	if !r.Fits(0, string(rune(9999)), time.Minute, time.Second) {
		t.Error("route recorded last: got it forgotten, want it known")
	}
}

// TestWouldFitChangesNothing asks one of two records when a period is over, which would
// begin the next one earlier.
func TestWouldFitChangesNothing(t *testing.T) {
	const second = time.Second
	plain, asked := kqdrain.New(), kqdrain.New()
	for _, r := range []*kqdrain.Recent{plain, asked} {
		r.Record(0, "buy", 2*second)
		for range 1000 {
			if r == asked {
				r.WouldFit(25*second, "buy", 6*second, 3*second)
			}
		}
		r.Record(26*second, "buy", 2*second)
	}
	now := 45*second + second/2
	preview := asked.WouldFit(now, "buy", 6*second, 3*second)
	got, want := asked.Fits(now, "buy", 6*second, 3*second), plain.Fits(now, "buy", 6*second, 3*second)
	if !want || got != want || preview != want {
		t.Errorf("request of the record that was asked: got %t and foretold %t, want %t and true", got, preview, want)
	}
}
