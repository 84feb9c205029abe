package kqnode

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqadmit"
	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqlimit"
	"kumquatlink/core/kqserver"
)

// queueTickInterval is how often each waiting call makes the queue check its
// timeouts.
const queueTickInterval = 25 * time.Millisecond

// admission is what the gate records of an admitted call until the call ends:
// when it was admitted, how many calls were in flight then, and its class and
// level.
type admission struct {
	admittedAt time.Duration
	inFlight   int
	class      string
	level      kqadmit.Level
}

// clock returns the time since the gate was created.
func (g *gate) clock() time.Duration {
	return g.node.now().Sub(g.begun)
}

// admit waits until the queue admits or refuses the call. It returns nil and the
// end of the call if the call was refused or its context has ended.
func (g *gate) admit(ctx context.Context, q *call, b *Backend) (*admission, kqcall.End) {
	now := g.clock()
	item := kqadmit.Item{Level: kqadmit.LevelOf(q.head), Class: q.head.Class, WaitUntilDeadline: !q.head.Repeatable, Deadline: now + q.head.Budget}
	if deadline, set := ctx.Deadline(); set {
		item.Deadline = deadline.Sub(g.begun)
	}
	answer := make(chan kqadmit.Verdict, 1)
	g.mutex.Lock()
	g.setBackend(now, b)
	g.nextID++
	item.ID = g.nextID
	g.waiting[item.ID] = answer
	g.deliver(g.queue.Offer(now, item))
	g.mutex.Unlock()
	v, cause := g.await(ctx, item.ID, answer)
	if cause != "" {
		return nil, kqcall.NotRun(cause)
	}
	if !v.Run {
		return nil, kqcall.End{Outcome: kqcall.OutcomeNotRun, Cause: v.Cause, RetryAfter: v.RetryAfter}
	}
	return &admission{admittedAt: g.clock(), inFlight: v.InFlight, class: q.head.Class, level: item.Level}, kqcall.End{}
}

// setBackend sets a new concurrency limit when the address of the backend server
// has changed, since what was learned about another server does not apply. The
// mutex is held.
func (g *gate) setBackend(now time.Duration, b *Backend) {
	if g.address == b.Announcement.Address {
		return
	}
	g.address = b.Announcement.Address
	g.limit = kqlimit.New(b.Announcement.Slots)
	g.said, g.heard = kqserver.Statement{}, false
	g.deliver(g.queue.RemoveRate(now))
	g.deliver(g.queue.SetLimit(now, g.slots()))
}

// await waits for the queue's verdict on a call. A call whose context ends first
// is removed from the queue, and the cause is returned, unless the verdict was
// delivered at the same time.
func (g *gate) await(ctx context.Context, id uint64, answer chan kqadmit.Verdict) (kqadmit.Verdict, kqcall.Cause) {
	select {
	case v := <-answer:
		return v, ""
	default:
	}
	ticker := time.NewTicker(queueTickInterval)
	defer ticker.Stop()
	for {
		select {
		case v := <-answer:
			return v, ""
		case <-ticker.C:
			g.tick()
		case <-ctx.Done():
			if g.cancelWaiting(id) {
				return kqadmit.Verdict{}, causeOfContext(ctx)
			}
			return <-answer, ""
		}
	}
}

// causeOfContext returns the cause of a call whose context has ended.
func causeOfContext(ctx context.Context) kqcall.Cause {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return kqcall.CauseDeadline
	}
	return kqcall.CauseCallerGone
}

// tick makes the queue check its timeouts.
func (g *gate) tick() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.deliver(g.queue.Tick(g.clock()))
}

// cancelWaiting removes a call from the queue. It returns false if the call's
// verdict was delivered already.
func (g *gate) cancelWaiting(id uint64) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.queue.Cancel(id) {
		return false
	}
	delete(g.waiting, id)
	return true
}

// deliver sends verdicts to the goroutines of their calls. The mutex is held.
func (g *gate) deliver(verdicts []kqadmit.Verdict) {
	for _, v := range verdicts {
		g.waiting[v.ID] <- v
		delete(g.waiting, v.ID)
	}
}

// release removes a call that has ended from the calls in flight, and updates the
// concurrency limit with the call's result and duration. onward is the part of
// that duration during which onward calls were outstanding.
func (g *gate) release(ctx context.Context, a *admission, r *callAnswer, onward time.Duration) {
	now := g.clock()
	took := now - a.admittedAt
	sample := isSample(ctx, r)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if r.end.Cause == kqcall.CauseBackendShed {
		g.limit.ObserveShed(now, g.queue.InFlight()-1)
	}
	if sample {
		g.limit.Observe(kqlimit.Sample{
			OwnTime: took - onward, HoldTime: took, InFlight: a.inFlight, Limited: g.queue.Waiting() > 0 || g.queue.Threshold() != kqadmit.AdmitAll,
			Ended: now,
		})
	}
	g.deliver(g.queue.Done(now, kqadmit.Completion{Level: a.level, Class: a.class, Took: took, IsSample: sample}))
	g.deliver(g.queue.SetLimit(now, g.slots()))
}

// isSample reports whether the duration of a call is a sample of the backend
// server's service time. A call that reached its deadline is one, since it took
// at least that long; other failures say nothing about the service time.
func isSample(ctx context.Context, r *callAnswer) bool {
	if r.end.Outcome == kqcall.OutcomeRan {
		return true
	}
	return r.end.Outcome == kqcall.OutcomeUnknown && errors.Is(ctx.Err(), context.DeadlineExceeded)
}
