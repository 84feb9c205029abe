package kqnode

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqadmit"
	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqlimit"
)

// queueTick is how often a waiting call lets the queue see that time passes.
const queueTick = 25 * time.Millisecond

// place is what a call holds while it is in flight.
type place struct {
	began    time.Duration
	inFlight int
	class    string
	level    kqadmit.Level
}

// clock is the gate's own time.
func (g *gate) clock() time.Duration {
	return g.node.now().Sub(g.begun)
}

// admit takes a place at the backend server, or says why there is none. It
// returns as soon as that is final.
func (g *gate) admit(ctx context.Context, q *call, b *Backend) (*place, kqcall.End) {
	now := g.clock()
	item := kqadmit.Item{Level: kqadmit.LevelOf(q.head), Class: q.head.Class, WaitUntilDeadline: !q.head.Repeatable, Deadline: now + q.head.Budget}
	if deadline, set := ctx.Deadline(); set {
		item.Deadline = deadline.Sub(g.begun)
	}
	answer := make(chan kqadmit.Verdict, 1)
	g.mutex.Lock()
	g.meet(now, b)
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
	return &place{began: g.clock(), inFlight: v.InFlight, class: q.head.Class, level: item.Level}, kqcall.End{}
}

// meet begins a new limit for a backend server that was not known before.
func (g *gate) meet(now time.Duration, b *Backend) {
	if g.address == b.Announcement.Address {
		return
	}
	g.address = b.Announcement.Address
	g.limit = kqlimit.New(b.Announcement.Slots)
	g.deliver(g.queue.SetLimit(now, g.limit.Value()))
}

// await waits for the verdict. A call whose context ends first leaves the
// queue, unless its verdict came in the same moment.
func (g *gate) await(ctx context.Context, id uint64, answer chan kqadmit.Verdict) (kqadmit.Verdict, kqcall.Cause) {
	select {
	case v := <-answer:
		return v, ""
	default:
	}
	ticker := time.NewTicker(queueTick)
	defer ticker.Stop()
	for {
		select {
		case v := <-answer:
			return v, ""
		case <-ticker.C:
			g.tick()
		case <-ctx.Done():
			if g.abandon(id) {
				return kqadmit.Verdict{}, goneCause(ctx)
			}
			return <-answer, ""
		}
	}
}

func goneCause(ctx context.Context) kqcall.Cause {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return kqcall.CauseDeadline
	}
	return kqcall.CauseCallerGone
}

func (g *gate) tick() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.deliver(g.queue.Tick(g.clock()))
}

func (g *gate) abandon(id uint64) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.queue.Cancel(id) {
		return false
	}
	delete(g.waiting, id)
	return true
}

// deliver hands verdicts to the calls that wait for them.
func (g *gate) deliver(verdicts []kqadmit.Verdict) {
	for _, v := range verdicts {
		g.waiting[v.ID] <- v
		delete(g.waiting, v.ID)
	}
}

// release gives the place back and learns from how the call went.
func (g *gate) release(ctx context.Context, p *place, r *callAnswer, onward time.Duration) {
	now := g.clock()
	took := now - p.began
	counts := tells(ctx, r)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if r.end.Cause == kqcall.CauseBackendShed {
		g.limit.ObserveShed(now, g.queue.InFlight()-1)
	}
	if counts {
		g.limit.Observe(kqlimit.Sample{
			OwnTime: took - onward, HoldTime: took, InFlight: p.inFlight, Limited: g.queue.Waiting() > 0 || g.queue.Threshold() != kqadmit.AdmitAll,
			Ended: now,
		})
	}
	g.deliver(g.queue.Done(now, kqadmit.Completion{Level: p.level, Class: p.class, Took: took, IsSample: counts}))
	g.deliver(g.queue.SetLimit(now, g.limit.Value()))
}

// tells is whether the time that a call took says how quick the backend
// server is. A call whose time ran out took at least that long.
func tells(ctx context.Context, r *callAnswer) bool {
	if r.end.Outcome == kqcall.OutcomeRan {
		return true
	}
	return r.end.Outcome == kqcall.OutcomeUnknown && errors.Is(ctx.Err(), context.DeadlineExceeded)
}
