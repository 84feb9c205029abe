// Package kqadmit implements the admission control of a gate, the part of a node
// that decides which calls its backend server runs and when. It combines three
// mechanisms:
//
//   - a bounded queue that is ordered by importance and holds calls while no
//     slot of the backend server is free;
//   - an adaptive admission threshold: arrivals whose [Level] lies above it are
//     refused at once (load shedding);
//   - a guard that keeps the order of ranks: no call is refused while a less
//     important one is admitted or holds a slot, unless it would miss its
//     deadline anyway.
//
// The number of calls in flight is bounded by a limit that the gate sets. A rate
// bounds the calls that begin each second while the backend server names one;
// calls beyond it wait and are refused as if no slot were free.
//
// # Usage
//
// A gate creates one [Queue] and reports arrivals, completions and the passing
// of time to it. Each of these methods returns the verdicts reached so far, for
// any calls, not only the one reported. A call without a verdict waits:
//
//	queue := kqadmit.New()
//	queue.SetLimit(now, 36)
//	verdicts := queue.Offer(now, kqadmit.Item{ID: 1, Level: level, Class: "browse", Deadline: now + left})
//	verdicts = queue.Done(now, kqadmit.Completion{Class: "browse", Took: took})
//	verdicts = queue.Tick(now)
//
// Times are durations since an arbitrary start of the gate's own clock. A
// Queue is not safe for concurrent use.
package kqadmit

import (
	"math"
	"slices"
	"time"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqrate"
)

// Item is a call at the gate.
type Item struct {
	// ID identifies the call within its gate; it increases with every call.
	ID    uint64
	Level Level
	Class string
	// WaitUntilDeadline reports whether the call may wait for as long as it can
	// still run in time, as is right for work that must not be repeated. The
	// threshold and the bound on waiting times do not apply to it.
	WaitUntilDeadline bool
	// Deadline is when the call's time is over, on the gate's clock.
	Deadline time.Duration
	// ArrivedAt is when the call arrived; Offer sets it.
	ArrivedAt time.Duration
}

// Verdict is the final decision on a call: it runs now, or it is refused.
type Verdict struct {
	ID  uint64
	Run bool
	// InFlight is how many calls are in flight, including this one, if it runs.
	InFlight int
	// Cause is why the call was refused; it is empty if the call runs.
	Cause kqcall.Cause
	// RetryAfter is how long the caller of a refused call should wait before
	// its next attempt.
	RetryAfter time.Duration
}

// Completion describes the end of a call that ran.
type Completion struct {
	Level Level
	Class string
	// Took is how long the call held its slot.
	Took time.Duration
	// IsSample reports whether Took is a sample of the class's service time.
	IsSample bool
}

// Queue is the admission control of one gate.
type Queue struct {
	tuning   Tuning
	limit    int
	inFlight int
	// bucket holds the rate at which calls begin, or is nil without a rate.
	bucket    *kqrate.Bucket
	waiting   []Item
	guard     guard
	threshold threshold
	classes   map[string]*serviceTimes
	meanHold  time.Duration
	// nextSweep is when the queue is next searched for calls to refuse.
	nextSweep time.Duration
}

// New returns an empty queue whose limit is one call in flight and whose
// threshold is [AdmitAll].
func New(options ...Option) *Queue {
	q := &Queue{tuning: DefaultTuning(), limit: 1, classes: map[string]*serviceTimes{}}
	for _, o := range options {
		o(q)
	}
	q.threshold = newThreshold(q.tuning)
	return q
}

// InFlight returns how many admitted calls have not ended.
func (q *Queue) InFlight() int { return q.inFlight }

// Waiting returns how many calls wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// HandsBack reports whether a call that arrives now is handed back if it may be: it would
// wait although the threshold admits all, so other gates may have free slots. A call of a
// more important rank than one that waits is kept, since the less important one would
// get the next slot.
func (q *Queue) HandsBack(now time.Duration, l Level) bool {
	if q.threshold.level != AdmitAll || len(q.waiting) == 0 && q.hasRoom(now) {
		return false
	}
	return len(q.waiting) == 0 || q.waiting[len(q.waiting)-1].Level.Rank() <= l.Rank()
}

// Threshold returns the highest level that is admitted at present.
func (q *Queue) Threshold() Level { return q.threshold.level }

// SetLimit sets how many calls may be in flight, at least one. It admits waiting
// calls if there is room.
func (q *Queue) SetLimit(now time.Duration, limit int) []Verdict {
	q.limit = max(1, limit)
	return q.admitWaiting(now, nil)
}

// SetRate sets how many calls may begin each second. The calls before the first
// rate may have used it up, so the first call waits.
func (q *Queue) SetRate(now time.Duration, rate float64) []Verdict {
	if q.bucket == nil {
		q.bucket = kqrate.NewBucket(now, rate)
	}
	q.bucket.SetRate(now, rate)
	return q.admitWaiting(now, nil)
}

// RemoveRate lets any number of calls begin each second, within the limit.
func (q *Queue) RemoveRate(now time.Duration) []Verdict {
	q.bucket = nil
	return q.admitWaiting(now, nil)
}

// Capacity returns how many calls are in flight when the backend server runs as
// many as the limit and the rate admit, at least one.
func (q *Queue) Capacity() int {
	if q.bucket == nil || q.meanHold == 0 {
		return q.limit
	}
	return min(q.limit, max(1, int(math.Ceil(q.bucket.Rate()*q.meanHold.Seconds()))))
}

// Offer records an arrival and admits, queues or refuses it.
func (q *Queue) Offer(now time.Duration, i Item) []Verdict {
	verdicts := q.advance(now, nil)
	i.ArrivedAt = now
	q.threshold.recordArrival(i.Level)
	if q.refusesOnArrival(now, i) {
		return append(verdicts, q.refuse(now, i, kqcall.CauseShedGate))
	}
	if q.wouldMiss(now, i) {
		return append(verdicts, Verdict{ID: i.ID, Cause: kqcall.CauseWouldMiss, RetryAfter: q.threshold.retryAfter(i.Level)})
	}
	q.insert(i)
	verdicts = q.admitWaiting(now, verdicts)
	return q.trim(now, i.ID, verdicts)
}

// Done records the end of an admitted call and admits waiting calls to the free
// slot.
func (q *Queue) Done(now time.Duration, c Completion) []Verdict {
	verdicts := q.advance(now, nil)
	q.inFlight--
	q.guard.recordEnd(c.Level.Rank())
	if c.IsSample {
		q.recordServiceTime(now, c)
	}
	return q.admitWaiting(now, verdicts)
}

// Cancel removes a waiting call, whose caller has gone for example, and reports
// whether it was still waiting.
func (q *Queue) Cancel(id uint64) bool {
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(i Item) bool { return i.ID == id })
	q.threshold.observe(len(q.waiting), q.bucket == nil && q.inFlight < q.limit)
	return len(q.waiting) < before
}

// Tick advances the time without an arrival or completion.
func (q *Queue) Tick(now time.Duration) []Verdict {
	return q.admitWaiting(now, q.advance(now, nil))
}

// MaxWaiting returns how many calls may wait: about as many as the slots can run
// in the time of one call.
func (q *Queue) MaxWaiting() int {
	return max(q.tuning.MinQueue, int(q.tuning.QueueFactor*float64(q.Capacity())))
}

// MaxSojourn returns how long a call may wait before it is refused. Items with
// WaitUntilDeadline are exempt.
func (q *Queue) MaxSojourn() time.Duration {
	return max(q.tuning.MinSojourn, time.Duration(q.tuning.SojournFactor*float64(q.meanHold)))
}

// refusesOnArrival reports whether an arrival is refused without waiting.
func (q *Queue) refusesOnArrival(now time.Duration, i Item) bool {
	if q.guard.blocked(now, i.Level.Rank()) {
		return true
	}
	refuse := i.Level > q.threshold.level
	if i.WaitUntilDeadline {
		refuse = q.cannotRunInTime(now, i)
	}
	return refuse && q.guard.mayRefuse(now, i.Level.Rank())
}

// cannotRunInTime reports whether the more important calls in the queue are
// expected to leave the call too little time to run before its deadline, or the
// rate would make it wait for longer than maxRateWait. Another server may have
// room for it meanwhile.
func (q *Queue) cannotRunInTime(now time.Duration, i Item) bool {
	ahead, _ := slices.BinarySearchFunc(q.waiting, i, compareItems)
	wait := time.Duration(float64(q.meanHold) * float64(ahead) / float64(q.limit))
	rateWait := q.rateWait(now, ahead+1)
	wait = max(wait, rateWait)
	return rateWait > maxRateWait || (ahead > 0 || rateWait > 0) && now+wait+q.need(i.Class) > i.Deadline
}

// rateWait returns how long it takes until the rate has let so many calls begin.
func (q *Queue) rateWait(now time.Duration, calls int) time.Duration {
	if q.bucket == nil {
		return 0
	}
	return q.bucket.Wait(now, calls)
}

func (q *Queue) insert(i Item) {
	at, _ := slices.BinarySearchFunc(q.waiting, i, compareItems)
	q.waiting = slices.Insert(q.waiting, at, i)
}

// compareItems orders calls by importance, and calls of the same level by
// arrival.
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

// hasRoom reports whether a call may begin now.
func (q *Queue) hasRoom(now time.Duration) bool {
	return q.inFlight < q.limit && (q.bucket == nil || q.bucket.Ready(now))
}

// use returns the share of the backend server's capacity that is in use.
func (q *Queue) use(now time.Duration) float64 {
	if !q.hasRoom(now) {
		return 1
	}
	return min(1, float64(q.inFlight)/float64(q.Capacity()))
}

// admitWaiting admits waiting calls, the most important first, while there is
// room for them. It refuses those that would miss their
// deadline and those that the guard blocks.
func (q *Queue) admitWaiting(now time.Duration, verdicts []Verdict) []Verdict {
	for q.hasRoom(now) && len(q.waiting) > 0 {
		i := q.waiting[0]
		q.waiting = slices.Delete(q.waiting, 0, 1)
		switch {
		case now >= i.Deadline:
			verdicts = append(verdicts, q.refuse(now, i, kqcall.CauseDeadline))
		case q.guard.blocked(now, i.Level.Rank()):
			verdicts = append(verdicts, q.refuse(now, i, kqcall.CauseShedGate))
		case i.ArrivedAt < now && q.wouldMiss(now, i) && q.guard.mayRefuse(now, i.Level.Rank()):
			verdicts = append(verdicts, q.refuse(now, i, kqcall.CauseWouldMiss))
		default:
			if q.bucket != nil {
				q.bucket.Take(now)
			}
			q.inFlight++
			q.guard.recordAdmission(now, i.Level.Rank())
			q.threshold.recordStart()
			verdicts = append(verdicts, Verdict{ID: i.ID, Run: true, InFlight: q.inFlight})
		}
	}
	q.threshold.observe(len(q.waiting), q.hasRoom(now))
	return verdicts
}

// trim refuses the least important waiting calls until no more than MaxWaiting
// wait. It stops at a call that the guard does not let it refuse, because a less
// important one was admitted just before, or that waits until its deadline; only
// maxQueue is enforced for these.
func (q *Queue) trim(now time.Duration, arrived uint64, verdicts []Verdict) []Verdict {
	for len(q.waiting) > q.MaxWaiting() {
		last := q.waiting[len(q.waiting)-1]
		if last.WaitUntilDeadline && len(q.waiting) <= maxQueue {
			return verdicts
		}
		if len(q.waiting) <= maxQueue && !q.guard.mayRefuse(now, last.Level.Rank()) {
			q.guard.blockBelow(now, last.Level.Rank())
			return verdicts
		}
		q.waiting = q.waiting[:len(q.waiting)-1]
		q.threshold.recordQueueFull()
		cause := kqcall.CauseDisplaced
		if last.ID == arrived {
			cause = kqcall.CauseShedGate
		}
		verdicts = append(verdicts, q.refuse(now, last, cause))
	}
	return verdicts
}

// advance ends the windows that are over and refuses the waiting calls that lie
// above the threshold, or have waited for MaxSojourn, or for maxRateWait because
// of the rate.
func (q *Queue) advance(now time.Duration, verdicts []Verdict) []Verdict {
	if !q.threshold.advance(now, len(q.waiting), q.use(now)) && now < q.nextSweep {
		return verdicts
	}
	q.nextSweep = now + sweepPeriod
	if q.bucket != nil && !q.bucket.Ready(now) {
		verdicts = q.refuseMatching(now, verdicts, func(i Item) bool { return i.WaitUntilDeadline && now-i.ArrivedAt >= maxRateWait })
	}
	verdicts = q.refuseMatching(now, verdicts, func(i Item) bool { return !i.WaitUntilDeadline && i.Level > q.threshold.level })
	return q.refuseMatching(now, verdicts, func(i Item) bool { return !i.WaitUntilDeadline && now-i.ArrivedAt >= q.MaxSojourn() })
}

// refuseMatching refuses the waiting calls that meet the condition and that the
// guard lets it refuse, the least important first.
func (q *Queue) refuseMatching(now time.Duration, verdicts []Verdict, matches func(Item) bool) []Verdict {
	for j := len(q.waiting) - 1; j >= 0; j-- {
		i := q.waiting[j]
		if !matches(i) || !q.guard.mayRefuse(now, i.Level.Rank()) {
			continue
		}
		q.waiting = slices.Delete(q.waiting, j, j+1)
		verdicts = append(verdicts, q.refuse(now, i, kqcall.CauseShedGate))
	}
	return verdicts
}

func (q *Queue) refuse(now time.Duration, i Item, cause kqcall.Cause) Verdict {
	q.guard.recordRefusal(now, i.Level.Rank())
	after := max(q.threshold.retryAfter(i.Level), q.rateWait(now, len(q.waiting)+1))
	return Verdict{ID: i.ID, Cause: cause, RetryAfter: after}
}
