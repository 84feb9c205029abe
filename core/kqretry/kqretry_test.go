package kqretry_test

import (
	"flag"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqretry"
)

// TestMain fixes the seed of the property tests, so that every run checks the
// same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "2843"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// counter is the reference implementation: one counter for the whole request
// that every hop shares.
type counter struct {
	retries atomic.Int64
}

// tree simulates one request with random onward calls and random losses.
type tree struct {
	faults  []byte
	next    atomic.Int64
	counter counter
}

// fault returns the next fault, or 0, which is none, when there are no more.
func (r *tree) fault() byte {
	i := int(r.next.Add(1)) - 1
	if i >= len(r.faults) {
		return 0
	}
	return r.faults[i]
}

// hop runs a call with a grant of n retries and returns how many are left
// according to its answer. It may answer before the calls below it end.
func (r *tree) hop(n, depth int) int {
	held := kqretry.NewAllowance(n)
	var below sync.WaitGroup
	if depth < kqcall.MaxDepth {
		for range int(r.fault() % 4) {
			below.Add(1)
			go func() {
				defer below.Done()
				r.send(held, depth+1)
			}()
		}
	}
	if r.fault()%5 != 0 {
		below.Wait()
	}
	left := held.Close()
	below.Wait()
	return left
}

// send makes an onward call as a router does: it takes a grant, sends the call,
// puts back the unused part unless the answer is lost, and retries.
func (r *tree) send(held *kqretry.Allowance, depth int) {
	for {
		grant := held.Grant()
		left := r.hop(grant, depth)
		switch r.fault() % 3 {
		case 0:
			held.PutBack(left, grant)
			return
		case 1:
			held.PutBack(left, grant)
		case 2:
			// The answer is lost, and the grant with it.
		}
		if !held.TakeRetry() {
			return
		}
		r.counter.retries.Add(1)
	}
}

func TestRetriesOfARequestNeverExceedTheMaximum(t *testing.T) {
	reached := 0
	rapid.Check(t, func(t *rapid.T) {
		r := &tree{faults: rapid.SliceOfN(rapid.Byte(), 60, 400).Draw(t, "faults")}
		held := kqretry.NewAllowance(kqretry.MaxPerRequest)
		r.send(held, 0)
		got := int(r.counter.retries.Load())
		if got > kqretry.MaxPerRequest {
			t.Fatalf("retries: got %d, want at most %d", got, kqretry.MaxPerRequest)
		}
		if got == kqretry.MaxPerRequest {
			reached++
		}
	})
	if reached == 0 {
		t.Error("no request used all of its retries, so the limit was not tested")
	}
}

// TestSequentialCallsMatchTheReference compares the allowance with one shared
// counter. When no answer is lost and calls run one after the other, no grant
// is lost, so both allow the same number of retries.
func TestSequentialCallsMatchTheReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		failures := rapid.SliceOfN(rapid.IntRange(0, 4), 1, 12).Draw(t, "failures")
		held := kqretry.NewAllowance(kqretry.MaxPerRequest)
		reference, got := kqretry.MaxPerRequest, 0
		for _, n := range failures {
			for range n {
				grant := held.Grant()
				held.PutBack(grant, grant)
				if held.TakeRetry() {
					got++
				}
				reference = max(0, reference-1)
			}
		}
		if want := kqretry.MaxPerRequest - reference; got != want {
			t.Fatalf("retries: got %d, want %d", got, want)
		}
	})
}

func TestClosedAllowanceHoldsNoRetries(t *testing.T) {
	held := kqretry.NewAllowance(kqretry.MaxPerRequest)
	grant := held.Grant()
	if got, want := held.Close(), kqretry.MaxPerRequest-grant; got != want {
		t.Errorf("left at close: got %d, want %d", got, want)
	}
	held.PutBack(grant, grant)
	if held.TakeRetry() || held.Grant() != 0 || held.Left() != 0 || held.Close() != 0 {
		t.Error("a closed allowance still holds retries")
	}
}

func TestPutBackIsLimitedToTheGrant(t *testing.T) {
	held := kqretry.NewAllowance(kqretry.MaxPerRequest)
	grant := held.Grant()
	held.PutBack(grant+5, grant)
	if got, want := held.Left(), kqretry.MaxPerRequest; got != want {
		t.Errorf("held: got %d, want %d", got, want)
	}
}

func TestAllowanceOutOfRangeIsLimited(t *testing.T) {
	for _, n := range []int{-4, kqretry.MaxPerRequest + 1, 1 << 40} {
		if got, want := kqretry.NewAllowance(n).Left(), min(max(n, 0), kqretry.MaxPerRequest); got != want {
			t.Errorf("allowance of %d: got %d, want %d", n, got, want)
		}
	}
}

// TestThrottleLimitsRetriesInEveryInterval records all first tries and retries:
// in any interval, retries are at most a tenth of the first tries plus the
// burst.
func TestThrottleLimitsRetriesInEveryInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.SliceOfN(rapid.IntRange(0, 5), 0, 600).Draw(t, "events")
		throttle := kqretry.NewThrottle()
		var history []int
		for _, e := range events {
			switch {
			case e == 0:
				throttle.RecordResend()
			case e < 3:
				throttle.RecordFirstTry()
				history = append(history, 1)
			case throttle.TakeRetry():
				history = append(history, -10)
			}
		}
		for from := range history {
			sum := 10 * kqretry.MaxBurst
			for _, n := range history[from:] {
				sum += n
				if sum < 0 {
					t.Fatalf("retries from event %d on exceed a tenth of the first tries plus the burst", from)
				}
			}
		}
	})
}

func TestResendsUseUpRetries(t *testing.T) {
	throttle := kqretry.NewThrottle()
	for range kqretry.MaxBurst {
		throttle.RecordFirstTry()
		throttle.RecordResend()
	}
	if got, want := throttle.Left(), 0; got != want {
		t.Errorf("retries left: got %d, want %d", got, want)
	}
}

func TestRecentFailuresExpireAfterTheWindow(t *testing.T) {
	var recent kqretry.RecentFailures
	failed := time.Unix(1000, 0)
	recent.Add("request-1", failed)
	if !recent.Has("request-1", failed.Add(kqretry.RecentWindow-1)) {
		t.Error("a failed request is not recognised")
	}
	if recent.Has("request-1", failed.Add(kqretry.RecentWindow)) {
		t.Error("a failed request is still recognised after the window")
	}
	if recent.Has("request-2", failed) {
		t.Error("a request that did not fail is recognised")
	}
}
