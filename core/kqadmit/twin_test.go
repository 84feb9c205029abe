package kqadmit_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kumquatlink/core/kqadmit"
)

// naiveQueue keeps an unordered list and its whole history. It takes the cut
// from the queue that it is compared with, since that has a check of its own.
type naiveQueue struct {
	limit   int
	waiting []kqadmit.Item
	running map[uint64]kqadmit.Level
	starts  []moment
	refused []moment
}

// moment is when something happened to a rank.
type moment struct {
	at   time.Duration
	rank int
}

// broken says how a verdict breaks the order of ranks, or nothing.
func (n *naiveQueue) broken(now time.Duration, v kqadmit.Verdict) string {
	at := slices.IndexFunc(n.waiting, func(i kqadmit.Item) bool { return i.ID == v.ID })
	if at < 0 {
		return "a verdict for a call that does not wait"
	}
	i := n.waiting[at]
	if v.Run {
		return n.brokenStart(now, i, v)
	}
	if now >= i.Deadline {
		return ""
	}
	for _, s := range n.starts {
		if s.rank > i.Level.Rank() && now-s.at < kqadmit.GuardInterval {
			return "refused just after less important work was let in"
		}
	}
	for _, l := range n.running {
		if l.Rank() > i.Level.Rank() {
			return "refused while less important work holds a slot"
		}
	}
	return ""
}

func (n *naiveQueue) brokenStart(now time.Duration, i kqadmit.Item, v kqadmit.Verdict) string {
	for _, other := range n.waiting {
		if other.Level < i.Level || other.Level == i.Level && other.ID < i.ID {
			return "let in before a more important call"
		}
	}
	for _, r := range n.refused {
		if r.rank < i.Level.Rank() && now-r.at < kqadmit.GuardInterval {
			return "let in just after more important work was refused"
		}
	}
	if len(n.running) >= n.limit || v.InFlight != len(n.running)+1 {
		return "let in beyond the limit"
	}
	return ""
}

func (n *naiveQueue) take(now time.Duration, v kqadmit.Verdict) {
	at := slices.IndexFunc(n.waiting, func(i kqadmit.Item) bool { return i.ID == v.ID })
	i := n.waiting[at]
	n.waiting = slices.Delete(n.waiting, at, at+1)
	m := moment{now, i.Level.Rank()}
	if v.Run {
		n.running[i.ID] = i.Level
		n.starts = append(n.starts, m)
	} else {
		n.refused = append(n.refused, m)
	}
}

func TestQueueLikeNaiveTwin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, twin := kqadmit.New(), &naiveQueue{running: map[uint64]kqadmit.Level{}, limit: rapid.IntRange(1, 4).Draw(t, "limit")}
		q.SetLimit(0, twin.limit)
		now, id := time.Duration(0), uint64(0)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "milliseconds")) * time.Millisecond
			var verdicts []kqadmit.Verdict
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1, 2:
				id++
				rank := rapid.IntRange(0, 2).Draw(t, "rank")
				i := kqadmit.Item{ID: id, Level: kqadmit.Level(rank<<33 + rapid.IntRange(0, 9).Draw(t, "tie")), WaitUntilDeadline: rank == 0, Deadline: now + time.Second}
				twin.waiting = append(twin.waiting, i)
				verdicts = q.Offer(now, i)
			case 3:
				ended := uint64(0)
				for n := range twin.running {
					if ended == 0 || n < ended {
						ended = n
					}
				}
				if ended > 0 {
					level := twin.running[ended]
					delete(twin.running, ended)
					verdicts = q.Done(now, kqadmit.Completion{Level: level})
				}
			default:
				if gone := rapid.Uint64Range(0, id).Draw(t, "gone"); q.Cancel(gone) {
					twin.waiting = slices.DeleteFunc(twin.waiting, func(i kqadmit.Item) bool { return i.ID == gone })
				}
				verdicts = q.Tick(now)
			}
			for _, v := range verdicts {
				if got := twin.broken(now, v); got != "" {
					t.Fatalf("at %s, verdict %+v: got %q, want no break", now, v, got)
				}
				twin.take(now, v)
			}
			if got, want := q.Waiting(), len(twin.waiting); got != want {
				t.Fatalf("waiting: got %d, want %d", got, want)
			}
			if got, want := q.InFlight(), len(twin.running); got != want {
				t.Fatalf("in flight: got %d, want %d", got, want)
			}
			if len(twin.waiting) > 0 && len(twin.running) < twin.limit {
				t.Fatalf("a slot stands free while %d calls wait", len(twin.waiting))
			}
		}
	})
}

// TestLeftoverCutOpens holds the cut to the worst leftover that the recovery
// page states: closed to the first rank, with nothing coming.
func TestLeftoverCutOpens(t *testing.T) {
	q := kqadmit.New()
	now := time.Duration(0)
	for id := uint64(1); now < time.Second; id++ {
		q.Offer(now, kqadmit.Item{ID: id, Level: kqadmit.Level(id%64<<33 | id), Deadline: now + time.Hour})
		now += time.Millisecond
	}
	if got := q.Threshold(); got == kqadmit.AdmitAll {
		t.Fatal("cut under overload: got open, want closed")
	}
	for range q.InFlight() {
		q.Done(now, kqadmit.Completion{})
	}
	for q.Waiting() > 0 && now < time.Minute {
		now += 5 * time.Millisecond
		q.Tick(now)
		for range q.InFlight() {
			q.Done(now, kqadmit.Completion{})
		}
	}
	begun := now
	for q.Threshold() != kqadmit.AdmitAll && now < time.Minute {
		now += 5 * time.Millisecond
		q.Tick(now)
	}
	if got, want := now-begun, 600*time.Millisecond; got > want {
		t.Errorf("an idle gate's cut opened after %s, want within %s", got, want)
	}
}

// BenchmarkCall is the cost of one call's admission at a gate that is full.
func BenchmarkCall(b *testing.B) {
	q := kqadmit.New()
	q.SetLimit(0, 36)
	now := time.Duration(0)
	for n := range b.N {
		now += time.Millisecond
		q.Offer(now, kqadmit.Item{ID: uint64(n) + 1, Level: kqadmit.Level(n*7919%(3<<33)) + 1, Class: "browse", Deadline: now + time.Second})
		if n%2 == 0 && q.InFlight() > 0 {
			q.Done(now, kqadmit.Completion{Level: 1, Class: "browse", Took: 36 * time.Millisecond, IsSample: true})
		}
	}
}
