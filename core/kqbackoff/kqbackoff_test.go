package kqbackoff_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"kumquatlink/core/kqbackoff"
)

func TestPauseStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p := kqbackoff.Pause{First: 100 * time.Millisecond, Max: 3 * time.Second}
		failures := rapid.IntRange(0, 1000).Draw(r, "failures")
		random := rapid.Float64Range(0, 0.999).Draw(r, "random")
		bound := 0.0
		for i := range failures {
			if i == 0 {
				bound = 0.1
			} else {
				bound = min(bound*2, 3)
			}
		}
		got, want := p.After(failures, random).Seconds(), bound*random
		if got > want+1e-6 || got < want-1e-6 {
			r.Fatalf("pause after %d failures: got %v s, want %v s", failures, got, want)
		}
	})
}

func TestBreakerPermitsAttemptAfterEachPause(t *testing.T) {
	now := time.Unix(0, 0)
	b := kqbackoff.NewBreaker(kqbackoff.Pause{First: time.Second, Max: 4 * time.Second})
	for i, want := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 2 * time.Second} {
		b.RecordFailure(now, 0.5)
		if got := b.WaitTime(now); got != want {
			t.Errorf("wait after failure %d: got %s, want %s", i+1, got, want)
		}
		now = now.Add(b.WaitTime(now))
	}
	b.RecordSuccess()
	if got, want := b.WaitTime(now), time.Duration(0); got != want {
		t.Errorf("wait after success: got %s, want %s", got, want)
	}
}
