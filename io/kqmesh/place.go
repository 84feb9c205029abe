package kqmesh

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqroute"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqmetric"
	"kumquatlink/io/kqtrunk"
)

// Bounds of one request's tries.
const (
	// maxPlaces is how many gates one request is offered to at most.
	maxPlaces = 4
	// minTimeLeft is the least time with which a call is sent to another gate.
	minTimeLeft = 20 * time.Millisecond
)

// mostUrgent is the rank whose requests may use all of the repeats.
const mostUrgent = 0

// place sends the call to upstreams until one has answered, or none may.
func (n *Node) place(ctx context.Context, q *call) *outcome {
	var tried kqroute.Tried
	last := ended(kqcall.NotRun(kqcall.CauseNoUpstream))
	// begun is the latest end of a try that a backend server may have begun.
	var begun *outcome
	for range maxPlaces {
		now := n.now()
		q.head.Budget = q.deadline.Sub(now)
		if len(q.tries) > 0 && q.head.Budget < minTimeLeft {
			break
		}
		table := q.state.Upstreams[q.head.Service]
		if table == nil {
			break
		}
		u := table.Pick(kqroute.PickInfo{
			Now: now, Random: n.random(), Tried: tried, AllowOtherRegion: true, AllowProbe: !q.head.RunOnce, Usable: n.usable,
		})
		if u == nil {
			break
		}
		tried.Add(u)
		q.tries = append(q.tries, u.Record.NodeID)
		u.MarkProbe(now)
		u.Begin()
		o := n.send(ctx, q, u)
		a := answerOf(n.now(), ctx, o)
		a.Class, a.Run = q.head.Route, ownTime(o)
		u.End(a)
		n.shedder.heard(q, u.Record.NodeID, o)
		n.recordDecision(kqlog.Decision{
			RequestID: q.head.RequestID, Root: q.head.Root, Class: q.head.Class, Service: q.head.Service, Decision: decisionRoute,
			Cause: string(o.head.End.Cause), Outcome: string(o.head.End.Outcome), Chosen: u.Record.NodeID,
			Took: n.now().Sub(now), Left: q.head.Budget, Queued: o.head.Queue, Load: loadText(o.head.Load), Version: q.head.RoutesVersion, Status: o.head.Status,
		})
		last = o
		if o.head.End.Outcome != kqcall.OutcomeNotRun {
			begun = o
		}
		if !n.mayGoOn(q, o) {
			break
		}
		// The list of upstreams may have changed, but never the route.
		q.state = n.withUpstreams(q.state)
	}
	if begun != nil {
		// What was not run at last has been begun before.
		return begun
	}
	return last
}

// withUpstreams gives the state of the moment with the routes by which the
// call was decided.
func (n *Node) withUpstreams(s *State) *State {
	latest := *n.State()
	latest.Routes = s.Routes
	return &latest
}

// usable is whether the upstream can be reached at this moment.
func (n *Node) usable(u *kqroute.Upstream) bool {
	return u.Record.NodeID == n.settings.NodeID || n.dialer.Usable(u.Record.Address)
}

// send runs the call at the upstream's gate, which may be this node's own.
func (n *Node) send(ctx context.Context, q *call, u *kqroute.Upstream) *outcome {
	if u.Record.NodeID == n.settings.NodeID {
		return n.gate.run(ctx, q.head, q.body)
	}
	answer, err := n.dialer.Call(ctx, u.Record.Address, q.head, q.body)
	if err != nil {
		return ended(linkEnd(ctx, err))
	}
	n.observePeerVersion(u.Record.Address, answer.Head.RoutesVersion)
	return &outcome{head: answer.Head, body: answer.Body, heard: true}
}

// linkEnd turns the error of a connection to a peer into the end of the call.
func linkEnd(ctx context.Context, err error) kqcall.End {
	cause := kqcall.CauseLinkLost
	switch {
	case ctx.Err() != nil:
		cause = goneCause(ctx)
	case errors.Is(err, kqtrunk.ErrSilent):
		cause = kqcall.CauseLinkSilent
	}
	if errors.Is(err, kqtrunk.ErrNotSent) {
		return kqcall.NotRun(cause)
	}
	return kqcall.Unknown(cause)
}

// ownTime is how long the backend server took by itself, or 0 when that is not
// known, as when it made calls of its own.
func ownTime(o *outcome) time.Duration {
	if !o.heard || o.head.Onward > 0 || o.head.End.Outcome == kqcall.OutcomeNotRun {
		return 0
	}
	return o.head.Run
}

// answerOf says what the end of a call tells of its upstream.
func answerOf(now time.Time, ctx context.Context, o *outcome) kqroute.CallResult {
	a := kqroute.CallResult{Now: now, Verdict: kqroute.Good}
	if o.heard {
		l := o.head.Load
		a.Load = &kqroute.Load{InFlight: l.InFlight, Queued: l.Queued, Limit: l.Limit}
	}
	switch end := o.head.End; {
	case end.Outcome == kqcall.OutcomeRan && o.head.Status < fasthttp.StatusInternalServerError:
	case end.Outcome == kqcall.OutcomeRan && o.head.Onward > 0:
		// It failed for what it called, which says nothing of itself.
		a.Verdict = kqroute.Inconclusive
	case end.Outcome == kqcall.OutcomeRan:
		a.Verdict = kqroute.Faulty
	case end.Cause == kqcall.CauseDraining || end.Cause == kqcall.CauseMoved || end.Cause == kqcall.CauseNoUpstream:
		a.Verdict = kqroute.Draining
	case end.Cause == kqcall.CauseBackendShed:
		a.Verdict = kqroute.Faulty
	case end.Cause == kqcall.CauseCallerGone:
		a.Verdict = kqroute.Inconclusive
	case end.Outcome == kqcall.OutcomeNotRun && o.heard && end.Cause != kqcall.CauseBackendLost:
		a.Verdict = kqroute.Full
	default:
		a.Verdict = kqroute.Faulty
	}
	if ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled) {
		a.Verdict = kqroute.Inconclusive
	}
	return a
}

// mayGoOn is whether the call may be sent to another upstream. A gate that
// refused it has cost its backend server nothing; any other repeat is drawn
// from the fleet's budget and from the attempts of the route.
func (n *Node) mayGoOn(q *call, o *outcome) bool {
	end := o.head.End
	reached := true
	switch {
	case end.Cause == kqcall.CauseCallerGone || end.Cause == kqcall.CauseDeadline:
		return false
	case end.Outcome == kqcall.OutcomeRan && o.head.Status < fasthttp.StatusInternalServerError:
		return false
	case end.Outcome == kqcall.OutcomeNotRun:
		reached = end.Cause == kqcall.CauseBackendShed
	case q.head.RunOnce:
		return false
	case end.Outcome == kqcall.OutcomeRan && o.head.Onward > 0:
		// It failed for what it called, which has had its own repeats.
		return false
	}
	if !reached {
		return true
	}
	q.attempts++
	if q.attempts >= q.route.MaxAttempts || q.deadline.Sub(n.now()) < minTimeLeft {
		return false
	}
	if !n.budget.TakeRepeat(n.clock(), q.counted(), q.state.entryCount(), q.head.Rank == mostUrgent) {
		n.metrics.Count(kqmetric.RepeatsRefused, q.head.Service)
		q.detail = "not handed to another server: the repeats of the moment are spent"
		return false
	}
	n.metrics.Count(kqmetric.Repeats, q.head.Service)
	q.head.Repeat = true
	return true
}
