package kqrate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"kumquatlink/core/kqrate"
)

// The users' bound: in any window a server gets at most this factor times its
// limit, and so many requests more.
const (
	boundWindow = 4 * time.Second
	boundFactor = 1.5
	boundExtra  = 5
)

// maxInWindow returns the largest number of times that lie in one window of
// boundWindow; the times are in order.
func maxInWindow(times []time.Duration) int {
	largest, first := 0, 0
	for i, at := range times {
		for times[first] <= at-boundWindow {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}

// TestBucketHoldsTheUsersBound offers calls in bursts, with pauses, at limits
// from none to a thousand a second.
func TestBucketHoldsTheUsersBound(t *testing.T) {
	for _, limit := range []float64{0, 0.01, 0.25, 0.5, 1, 4.4, 10, 36, 1000} {
		r := rand.New(rand.NewPCG(1, uint64(limit*100)))
		bucket := kqrate.NewBucket(0, limit)
		var taken []time.Duration
		for now := time.Duration(0); now < 60*time.Second; {
			for range r.IntN(40) {
				if bucket.Take(now) {
					taken = append(taken, now)
				}
			}
			now += time.Duration(r.Int64N(int64(3 * time.Second / time.Duration(1+r.IntN(1000)))))
		}
		if got, want := maxInWindow(taken), int(boundFactor*limit*boundWindow.Seconds())+boundExtra; got > want {
			t.Errorf("limit %g: got %d calls in a window, want at most %d", limit, got, want)
		}
	}
}

// TestBucketUsesTheLimit offers more calls than the limit admits.
func TestBucketUsesTheLimit(t *testing.T) {
	const limit, seconds = 10.0, 20
	bucket := kqrate.NewBucket(0, limit)
	taken := 0
	for now := time.Duration(0); now < seconds*time.Second; now += 10 * time.Millisecond {
		if bucket.Take(now) {
			taken++
		}
	}
	if got, want := taken, int(limit*seconds)-1; got < want {
		t.Errorf("calls admitted under overload: got %d, want at least %d", got, want)
	}
}

// TestChangedRateKeepsNoOlderBurst lowers the rate of a full bucket.
func TestChangedRateKeepsNoOlderBurst(t *testing.T) {
	bucket := kqrate.NewBucket(0, 100)
	now := 10 * time.Second
	bucket.SetRate(now, 1)
	taken := 0
	for bucket.Take(now) {
		taken++
	}
	if got, want := taken, 2; got != want {
		t.Errorf("burst after the rate was lowered: got %d calls, want %d", got, want)
	}
}

// TestSharesOfAllEntriesHoldTheUsersBound has many entries, which know nothing of
// each other, send whenever they may. An entry's number of entries changes now
// and then.
func TestSharesOfAllEntriesHoldTheUsersBound(t *testing.T) {
	for _, entries := range []int{24, 91, 196} {
		for _, limit := range []float64{0.1, 1, 4.4, 12, 60} {
			for seed := range uint64(10) {
				r := rand.New(rand.NewPCG(seed, uint64(entries)))
				shares := make([]*kqrate.Share, entries)
				for i := range shares {
					shares[i] = kqrate.NewShare(r.Float64())
				}
				var taken []time.Duration
				for now := time.Duration(0); now < 40*time.Second; now += 20 * time.Millisecond {
					for _, s := range shares {
						if s.Take(now, limit, entries-r.IntN(2)) {
							taken = append(taken, now)
						}
					}
				}
				if got, want := maxInWindow(taken), int(boundFactor*limit*boundWindow.Seconds())+boundExtra; got > want {
					t.Errorf("%d entries, limit %g, seed %d: got %d calls in a window, want at most %d", entries, limit, seed, got, want)
				}
			}
		}
	}
}
