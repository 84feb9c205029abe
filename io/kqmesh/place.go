package kqmesh

import (
	"cmp"
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

// Limits on the tries of one request.
const (
	// maxTries is the largest number of gates that one request is sent to, apart
	// from those that hand it back.
	maxTries = 4
	// minTimeLeft is the least time left with which a call is sent to a further
	// gate.
	minTimeLeft = 20 * time.Millisecond
)

// topRank is the rank of the most important requests, which may use the whole
// budget of repeats.
const topRank = 0

// routeCall sends the call to one upstream after the other until one answers or
// no further try is allowed.
func (n *Node) routeCall(ctx context.Context, q *call) *callAnswer {
	var tried kqroute.Tried
	last := endOnly(kqcall.NotRun(kqcall.CauseNoUpstream))
	// lastBegun is the answer of the latest try that a backend server may have
	// begun.
	var lastBegun *callAnswer
	// avoid is set once a server's limit has kept the call from it.
	var avoid func(*kqroute.Upstream) bool
	var returned handBacks
	for try := 0; try < maxTries+returned.count; try++ {
		now := n.now()
		q.head.Budget = q.deadline.Sub(now)
		if len(q.tries) > 0 && q.head.Budget < minTimeLeft {
			break
		}
		table := q.state.Upstreams[q.head.Service]
		if table == nil {
			break
		}
		info := n.pickInfo(q, now)
		info.Random, info.Tried, info.Avoid = n.random(), tried, avoid
		u, mayHandBack := returned.choose(table, info, table.Pick(info), n.mayHandBack(table, now))
		q.head.HandBack = mayHandBack
		if u == nil {
			break
		}
		tried.Add(u)
		if !n.stated.take(u) {
			continue
		}
		q.tries = append(q.tries, u.Record.NodeID)
		sight := n.formatSight(u, now)
		u.MarkProbe(now)
		u.Begin()
		o := n.sendTo(ctx, q, u)
		a := routeResult(n.now(), ctx, o)
		a.Class, a.Run = q.head.Route, ownRunTime(o)
		u.End(a)
		n.observeLoad(u, o)
		n.shedder.recordLoad(q, u.Record.NodeID, o)
		n.stated.record(u.Record.NodeID, o)
		if o.head.End.Outcome == kqcall.OutcomeNotRun && n.stated.isLimited(u) {
			avoid = n.stated.isLimited
		}
		n.recordDecision(kqlog.Decision{
			RequestID: q.head.RequestID, Root: q.head.Root, Class: q.head.Class, Service: q.head.Service, Decision: decisionRoute,
			Cause: string(o.head.End.Cause), Outcome: string(o.head.End.Outcome), Chosen: u.Record.NodeID,
			Took: n.now().Sub(now), Left: q.head.Budget, Queued: o.head.Queue, Load: formatLoad(o.head.Load), Version: q.head.RoutesVersion, Status: o.head.Status,
			Detail: cmp.Or(o.detail, sight),
		})
		returned.record(u, o)
		last = o
		if o.head.End.Outcome != kqcall.OutcomeNotRun {
			q.begun++
			if lastBegun != nil {
				lastBegun.discard()
			}
			lastBegun = o
		}
		if ctx.Err() != nil || !n.mayTryNext(q, o) {
			break
		}
		// The list of upstreams may have changed, but never the route.
		q.state = n.withLatestUpstreams(q.state)
	}
	if lastBegun != nil {
		// The last try was not run, but an earlier one may have been.
		return lastBegun
	}
	return last
}

// pickInfo describes the first try of the call to the choice of upstreams, apart from
// its random bits.
func (n *Node) pickInfo(q *call, now time.Time) kqroute.PickInfo {
	return kqroute.PickInfo{Now: now, AllowOtherRegion: true, AllowProbe: !q.head.RunOnce, Usable: n.isUsable, Even: n.even.on.Load()}
}

// withLatestUpstreams returns the latest state, but with the routes of s, by
// which the call was routed.
func (n *Node) withLatestUpstreams(s *State) *State {
	latest := *n.State()
	latest.Routes = s.Routes
	return &latest
}

// isUsable reports whether the upstream is this node or its connection can be
// used, and what its server has stated does not exclude it.
func (n *Node) isUsable(u *kqroute.Upstream) bool {
	return n.unusableFor(u) == ""
}

// unusableFor returns why the upstream is not usable, or an empty text.
func (n *Node) unusableFor(u *kqroute.Upstream) kqroute.Reason {
	if r := n.stated.excludes(u); r != "" {
		return r
	}
	if u.Record.NodeID != n.settings.NodeID && !n.dialer.Usable(u.Record.Address) {
		return reasonLinkDown
	}
	return ""
}

// sendTo runs the call at the upstream's gate, which may be this node's own.
func (n *Node) sendTo(ctx context.Context, q *call, u *kqroute.Upstream) *callAnswer {
	if u.Record.NodeID == n.settings.NodeID {
		return n.gate.run(ctx, q.head, q.body)
	}
	answer, err := n.dialer.Call(ctx, u.Record.Address, q.head, q.body)
	if err != nil {
		return endOnly(endOfLinkError(ctx, err))
	}
	n.observePeerVersion(u.Record.Address, answer.Head.RoutesVersion)
	o := &callAnswer{head: answer.Head, body: answer.Body, fromGate: true}
	if o.head.End.Outcome != kqcall.OutcomeRan {
		o.discard()
	}
	// A gate of a former build passes on what its server spoils.
	return n.rejectSpoiled(o)
}

// endOfLinkError returns the end of a call whose connection to the peer failed.
// The outcome is unknown unless the call was not sent.
func endOfLinkError(ctx context.Context, err error) kqcall.End {
	cause := kqcall.CauseLinkLost
	switch {
	case errors.Is(err, kqtrunk.ErrNoMemory):
		cause = kqcall.CauseNoMemory
	case ctx.Err() != nil:
		cause = causeOfContext(ctx)
	case errors.Is(err, kqtrunk.ErrSilent):
		cause = kqcall.CauseLinkSilent
	}
	if errors.Is(err, kqtrunk.ErrNotSent) {
		return kqcall.NotRun(cause)
	}
	return kqcall.Unknown(cause)
}

// ownRunTime returns how long the backend server took, or 0 if its own share is
// unknown, for example because it made onward calls.
func ownRunTime(o *callAnswer) time.Duration {
	if !o.fromGate || o.head.Onward > 0 || o.head.End.Outcome == kqcall.OutcomeNotRun {
		return 0
	}
	return o.head.Run
}

// routeResult converts the end of a call to the verdict on its upstream by which
// later calls are routed.
func routeResult(now time.Time, ctx context.Context, o *callAnswer) kqroute.CallResult {
	a := kqroute.CallResult{Now: now, Verdict: kqroute.Good}
	if o.fromGate {
		l := o.head.Load
		a.Load = &kqroute.Load{InFlight: l.InFlight, Queued: l.Queued, Limit: l.Limit}
	}
	switch end := o.head.End; {
	case end.Outcome == kqcall.OutcomeRan && o.head.Status < fasthttp.StatusInternalServerError:
	case end.Outcome == kqcall.OutcomeRan && o.head.Onward > 0:
		// An onward call may have made it fail, which says nothing about the
		// upstream itself.
		a.Verdict = kqroute.Inconclusive
	case end.Outcome == kqcall.OutcomeRan:
		a.Verdict = kqroute.Faulty
	case end.Cause == kqcall.CauseDraining || end.Cause == kqcall.CauseMoved || end.Cause == kqcall.CauseNoUpstream:
		a.Verdict = kqroute.Draining
	case end.Cause == kqcall.CauseBackendShed:
		a.Verdict = kqroute.Faulty
	case end.Cause == kqcall.CauseCallerGone || end.Cause == kqcall.CauseCrashesServers || end.Cause == kqcall.CauseNoMemory || end.Cause == kqcall.CauseHandedBack:
		// A gate that hands a call back reports its load with it.
		a.Verdict = kqroute.Inconclusive
	case end.Outcome == kqcall.OutcomeNotRun && o.fromGate && end.Cause != kqcall.CauseBackendLost:
		a.Verdict = kqroute.Full
	default:
		a.Verdict = kqroute.Faulty
	}
	if ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled) {
		a.Verdict = kqroute.Inconclusive
	}
	return a
}

// mayTryNext reports whether the call may be sent to another upstream. A call
// that a gate refused, or that did not reach it, cost no backend server anything
// and is retried within maxTries.
// Any other try counts against the attempts of the route and takes a repeat from
// the fleet's budget. A call that must run only once is not repeated after a
// backend server may have begun it.
func (n *Node) mayTryNext(q *call, o *callAnswer) bool {
	end := o.head.End
	reachedBackend := true
	switch {
	case end.Cause == kqcall.CauseCallerGone || end.Cause == kqcall.CauseDeadline || end.Cause == kqcall.CauseCrashesServers:
		return false
	case end.Cause == kqcall.CauseNoMemory:
		// Another answer of that length would find no room either.
		return false
	case end.Outcome == kqcall.OutcomeRan && o.head.Status < fasthttp.StatusInternalServerError:
		return false
	case end.Outcome == kqcall.OutcomeNotRun:
		reachedBackend = end.Cause == kqcall.CauseBackendShed
	case q.head.RunOnce:
		return false
	case end.Outcome == kqcall.OutcomeRan && o.head.Onward > 0:
		// A service that it called may have made it fail; the onward calls had
		// their own repeats.
		return false
	}
	if !reachedBackend {
		return true
	}
	q.attempts++
	if q.attempts >= q.route.MaxAttempts || q.deadline.Sub(n.now()) < minTimeLeft {
		return false
	}
	if !n.budget.TakeRepeat(n.clock(), q.budgetCall(), q.state.entryCount(), q.head.Rank == topRank) {
		n.metrics.Count(kqmetric.RepeatsRefused, q.head.Service)
		q.detail = "not handed to another server: the repeats of the moment are spent"
		return false
	}
	n.metrics.Count(kqmetric.Repeats, q.head.Service)
	n.quotas.settle(q, q.begun+1)
	q.head.Repeat = true
	return true
}
