package kqadmit_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kumquatlink/core/kqadmit"
)

// referenceQueue is a reference implementation that checks verdicts against an
// unordered list of waiting calls and the whole history. It does not compute the
// threshold, which other tests check.
type referenceQueue struct {
	limit    int
	waiting  []kqadmit.Item
	running  map[uint64]kqadmit.Level
	admitted []rankEvent
	refused  []rankEvent
}

// rankEvent is the time of an admission or refusal and the rank of the call.
type rankEvent struct {
	at   time.Duration
	rank int
}

// violation describes how a verdict violates the order of ranks or the limit, or
// is empty.
func (n *referenceQueue) violation(now time.Duration, v kqadmit.Verdict) string {
	at := slices.IndexFunc(n.waiting, func(i kqadmit.Item) bool { return i.ID == v.ID })
	if at < 0 {
		return "verdict for a call that does not wait"
	}
	i := n.waiting[at]
	if v.Run {
		return n.admissionViolation(now, i, v)
	}
	if now >= i.Deadline {
		return ""
	}
	for _, s := range n.admitted {
		if s.rank > i.Level.Rank() && now-s.at < kqadmit.GuardInterval {
			return "refused just after a less important call was admitted"
		}
	}
	for _, l := range n.running {
		if l.Rank() > i.Level.Rank() {
			return "refused while a less important call holds a slot"
		}
	}
	return ""
}

// admissionViolation is violation for a verdict that admits the call.
func (n *referenceQueue) admissionViolation(now time.Duration, i kqadmit.Item, v kqadmit.Verdict) string {
	for _, other := range n.waiting {
		if other.Level < i.Level || other.Level == i.Level && other.ID < i.ID {
			return "admitted before a more important call"
		}
	}
	for _, r := range n.refused {
		if r.rank < i.Level.Rank() && now-r.at < kqadmit.GuardInterval {
			return "admitted just after a more important call was refused"
		}
	}
	if len(n.running) >= n.limit || v.InFlight != len(n.running)+1 {
		return "admitted beyond the limit"
	}
	return ""
}

// apply moves the call from the waiting ones to the admitted or refused ones.
func (n *referenceQueue) apply(now time.Duration, v kqadmit.Verdict) {
	at := slices.IndexFunc(n.waiting, func(i kqadmit.Item) bool { return i.ID == v.ID })
	i := n.waiting[at]
	n.waiting = slices.Delete(n.waiting, at, at+1)
	m := rankEvent{now, i.Level.Rank()}
	if v.Run {
		n.running[i.ID] = i.Level
		n.admitted = append(n.admitted, m)
	} else {
		n.refused = append(n.refused, m)
	}
}

func TestQueueMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, reference := kqadmit.New(), &referenceQueue{running: map[uint64]kqadmit.Level{}, limit: rapid.IntRange(1, 4).Draw(t, "limit")}
		q.SetLimit(0, reference.limit)
		now, id := time.Duration(0), uint64(0)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "milliseconds")) * time.Millisecond
			var verdicts []kqadmit.Verdict
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1, 2:
				id++
				rank := rapid.IntRange(0, 2).Draw(t, "rank")
				i := kqadmit.Item{ID: id, Level: kqadmit.Level(rank<<33 + rapid.IntRange(0, 9).Draw(t, "tie")), WaitUntilDeadline: rank == 0, Deadline: now + time.Second}
				reference.waiting = append(reference.waiting, i)
				verdicts = q.Offer(now, i)
			case 3:
				ended := uint64(0)
				for n := range reference.running {
					if ended == 0 || n < ended {
						ended = n
					}
				}
				if ended > 0 {
					level := reference.running[ended]
					delete(reference.running, ended)
					verdicts = q.Done(now, kqadmit.Completion{Level: level})
				}
			default:
				if gone := rapid.Uint64Range(0, id).Draw(t, "gone"); q.Cancel(gone) {
					reference.waiting = slices.DeleteFunc(reference.waiting, func(i kqadmit.Item) bool { return i.ID == gone })
				}
				verdicts = q.Tick(now)
			}
			for _, v := range verdicts {
				if got := reference.violation(now, v); got != "" {
					t.Fatalf("at %s, verdict %+v: got %q, want no violation", now, v, got)
				}
				reference.apply(now, v)
			}
			if got, want := q.Waiting(), len(reference.waiting); got != want {
				t.Fatalf("waiting: got %d, want %d", got, want)
			}
			if got, want := q.InFlight(), len(reference.running); got != want {
				t.Fatalf("in flight: got %d, want %d", got, want)
			}
			if len(reference.waiting) > 0 && len(reference.running) < reference.limit {
				t.Fatalf("a slot is free while %d calls wait", len(reference.waiting))
			}
		}
	})
}

// TestThresholdOpensWhenIdle checks the bound for the worst state that an
// overload can leave behind: a threshold that admits rank 0 alone, with no
// further arrivals.
func TestThresholdOpensWhenIdle(t *testing.T) {
	q := kqadmit.New()
	now := time.Duration(0)
	for id := uint64(1); now < time.Second; id++ {
		q.Offer(now, kqadmit.Item{ID: id, Level: kqadmit.Level(id%64<<33 | id), Deadline: now + time.Hour})
		now += time.Millisecond
	}
	if got := q.Threshold(); got == kqadmit.AdmitAll {
		t.Fatal("threshold under overload: got AdmitAll, want a lower one")
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
	idleSince := now
	for q.Threshold() != kqadmit.AdmitAll && now < time.Minute {
		now += 5 * time.Millisecond
		q.Tick(now)
	}
	if got, want := now-idleSince, 600*time.Millisecond; got > want {
		t.Errorf("threshold of an idle gate: admits all calls after %s, want within %s", got, want)
	}
}

// BenchmarkCall measures the admission of one call at a full gate.
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
