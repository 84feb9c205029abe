// Package kqadmit decides what a gate lets its backend server run: a bounded
// queue that is ordered by importance, a cut below which arrivals are refused
// at once, and a guard that never refuses a call while a less important one
// is let in.
//
// # Usage
//
// A gate makes one [Queue] and tells it of arrivals, ends and time. Every
// method gives the verdicts that are final by then, for whichever calls they
// are; a call without a verdict waits:
//
//	queue := kqadmit.New()
//	queue.SetLimit(now, 36)
//	verdicts := queue.Offer(now, kqadmit.Item{ID: 1, Level: level, Class: "browse", Deadline: now + left})
//	verdicts = queue.Done(now, kqadmit.Finished{Class: "browse", Took: took})
//	verdicts = queue.Tick(now)
//
// Times are durations since an arbitrary start of the gate's own clock. A
// Queue is not safe for concurrent use.
package kqadmit

import (
	"slices"
	"time"

	"kumquatlink/core/kqcall"
)

// Item is a call at the gate.
type Item struct {
	// ID tells calls of one gate apart; it goes up with every call.
	ID    uint64
	Level Level
	Class string
	// WaitUntilDeadline is whether the call waits for as long as it can still run in
	// time, as work does that must not be repeated.
	WaitUntilDeadline bool
	// Deadline is when the call's time is over, on the gate's clock.
	Deadline time.Duration
	// ArrivedAt is when the call came; Offer sets it.
	ArrivedAt time.Duration
}

// Verdict is the final word on a call: run it now, or it was refused.
type Verdict struct {
	ID  uint64
	Run bool
	// InFlight is how many calls are in flight with one that runs.
	InFlight int
	// Cause is why the call was refused, or empty.
	Cause kqcall.Cause
	// RetryAfter is when a refused call may come again.
	RetryAfter time.Duration
}

// Completion tells how a call that ran ended.
type Completion struct {
	Level Level
	Class string
	// Took is how long the call held its slot.
	Took time.Duration
	// IsSample is whether Took says something about the class's service time.
	IsSample bool
}

// Queue is the admission of one gate.
type Queue struct {
	tuning   Tuning
	limit    int
	inFlight int
	waiting  []Item
	guard    guard
	cut      cut
	classes  map[string]*serviceTimes
	hold     time.Duration
	// sweep is when waiting calls are looked through next.
	sweep time.Duration
}

// New makes a queue that lets in one call at a time.
func New(options ...Option) *Queue {
	q := &Queue{tuning: DefaultTuning(), limit: 1, classes: map[string]*serviceTimes{}}
	for _, o := range options {
		o(q)
	}
	q.cut = newCut(q.tuning)
	return q
}

// InFlight is how many calls were let in and have not ended.
func (q *Queue) InFlight() int { return q.inFlight }

// Waiting is how many calls wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Threshold is the level up to which calls are let in at this moment.
func (q *Queue) Threshold() Level { return q.cut.level }

// SetLimit sets how many calls may be in flight.
func (q *Queue) SetLimit(now time.Duration, limit int) []Verdict {
	q.limit = max(1, limit)
	return q.settle(now, nil)
}

// Offer takes an arrival.
func (q *Queue) Offer(now time.Duration, i Item) []Verdict {
	verdicts := q.advance(now, nil)
	i.ArrivedAt = now
	q.cut.arrived(i.Level)
	if q.refusesAtOnce(now, i) {
		return append(verdicts, q.refuse(now, i, kqcall.CauseShedGate))
	}
	if q.wouldMiss(now, i) {
		return append(verdicts, Verdict{ID: i.ID, Cause: kqcall.CauseWouldMiss, RetryAfter: q.cut.retryAfter(i.Level)})
	}
	q.insert(i)
	verdicts = q.settle(now, verdicts)
	return q.trim(now, i.ID, verdicts)
}

// Done takes the end of a call that was let in.
func (q *Queue) Done(now time.Duration, f Completion) []Verdict {
	verdicts := q.advance(now, nil)
	q.inFlight--
	q.guard.ended(f.Level.Rank())
	if f.IsSample {
		q.learn(now, f)
	}
	return q.settle(now, verdicts)
}

// Cancel takes a waiting call out, since its caller has gone, and says whether
// it was still waiting.
func (q *Queue) Cancel(id uint64) bool {
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(i Item) bool { return i.ID == id })
	q.cut.saw(len(q.waiting), q.inFlight < q.limit)
	return len(q.waiting) < before
}

// Tick lets time pass without an event.
func (q *Queue) Tick(now time.Duration) []Verdict {
	return q.settle(now, q.advance(now, nil))
}

// MaxWaiting is how many calls may wait: about what the slots can run in the time
// of one call.
func (q *Queue) MaxWaiting() int {
	return max(q.tuning.MinQueue, int(q.tuning.QueueFactor*float64(q.limit)))
}

// MaxSojourn is how long a call may wait before it is given up.
func (q *Queue) MaxSojourn() time.Duration {
	return max(q.tuning.MinSojourn, time.Duration(q.tuning.SojournFactor*float64(q.hold)))
}

func (q *Queue) refusesAtOnce(now time.Duration, i Item) bool {
	if q.guard.closed(now, i.Level.Rank()) {
		return true
	}
	over := i.Level > q.cut.level
	if i.WaitUntilDeadline {
		over = q.comesTooLate(now, i)
	}
	return over && q.guard.mayRefuse(now, i.Level.Rank())
}

// comesTooLate is whether the calls before it in the queue leave the call no
// time to run.
func (q *Queue) comesTooLate(now time.Duration, i Item) bool {
	before, _ := slices.BinarySearchFunc(q.waiting, i, compareItems)
	wait := time.Duration(float64(q.hold) * float64(before) / float64(q.limit))
	return before > 0 && now+wait+q.need(i.Class) > i.Deadline
}

func (q *Queue) insert(i Item) {
	at, _ := slices.BinarySearchFunc(q.waiting, i, compareItems)
	q.waiting = slices.Insert(q.waiting, at, i)
}

// compareItems puts the more important call first, and of two equal ones that
// which came first.
func compareItems(a, b Item) int {
	if a.Level != b.Level {
		if a.Level < b.Level {
			return -1
		}
		return 1
	}
	if a.ID < b.ID {
		return -1
	}
	if a.ID > b.ID {
		return 1
	}
	return 0
}

// settle lets in waiting calls while there is room.
func (q *Queue) settle(now time.Duration, verdicts []Verdict) []Verdict {
	for q.inFlight < q.limit && len(q.waiting) > 0 {
		i := q.waiting[0]
		q.waiting = slices.Delete(q.waiting, 0, 1)
		switch {
		case now >= i.Deadline:
			verdicts = append(verdicts, q.refuse(now, i, kqcall.CauseDeadline))
		case q.guard.closed(now, i.Level.Rank()):
			verdicts = append(verdicts, q.refuse(now, i, kqcall.CauseShedGate))
		case i.ArrivedAt < now && q.wouldMiss(now, i) && q.guard.mayRefuse(now, i.Level.Rank()):
			verdicts = append(verdicts, q.refuse(now, i, kqcall.CauseWouldMiss))
		default:
			q.inFlight++
			q.guard.letIn(now, i.Level.Rank())
			q.cut.started()
			verdicts = append(verdicts, Verdict{ID: i.ID, Run: true, InFlight: q.inFlight})
		}
	}
	q.cut.saw(len(q.waiting), q.inFlight < q.limit)
	return verdicts
}

// trim refuses the least important waiting calls beyond the bound. A call
// stays beyond the bound while a less important one was let in just before.
func (q *Queue) trim(now time.Duration, arrived uint64, verdicts []Verdict) []Verdict {
	for len(q.waiting) > q.MaxWaiting() {
		last := q.waiting[len(q.waiting)-1]
		if last.WaitUntilDeadline && len(q.waiting) <= hardQueue {
			return verdicts
		}
		if len(q.waiting) <= hardQueue && !q.guard.mayRefuse(now, last.Level.Rank()) {
			q.guard.close(now, last.Level.Rank())
			return verdicts
		}
		q.waiting = q.waiting[:len(q.waiting)-1]
		q.cut.full()
		cause := kqcall.CauseDisplaced
		if last.ID == arrived {
			cause = kqcall.CauseShedGate
		}
		verdicts = append(verdicts, q.refuse(now, last, cause))
	}
	return verdicts
}

// advance ends the windows that have passed and gives up what waits too long.
func (q *Queue) advance(now time.Duration, verdicts []Verdict) []Verdict {
	if !q.cut.advance(now, len(q.waiting), min(1, float64(q.inFlight)/float64(q.limit))) && now < q.sweep {
		return verdicts
	}
	q.sweep = now + sweepPeriod
	verdicts = q.giveUp(now, verdicts, func(i Item) bool { return !i.WaitUntilDeadline && i.Level > q.cut.level })
	return q.giveUp(now, verdicts, func(i Item) bool { return !i.WaitUntilDeadline && now-i.ArrivedAt >= q.MaxSojourn() })
}

// giveUp refuses the waiting calls that meet the condition, the least
// important ones first.
func (q *Queue) giveUp(now time.Duration, verdicts []Verdict, over func(Item) bool) []Verdict {
	for j := len(q.waiting) - 1; j >= 0; j-- {
		i := q.waiting[j]
		if !over(i) || !q.guard.mayRefuse(now, i.Level.Rank()) {
			continue
		}
		q.waiting = slices.Delete(q.waiting, j, j+1)
		verdicts = append(verdicts, q.refuse(now, i, kqcall.CauseShedGate))
	}
	return verdicts
}

func (q *Queue) refuse(now time.Duration, i Item, cause kqcall.Cause) Verdict {
	q.guard.refused(now, i.Level.Rank())
	return Verdict{ID: i.ID, Cause: cause, RetryAfter: q.cut.retryAfter(i.Level)}
}
