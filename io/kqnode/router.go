package kqnode

import (
	"context"
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqretry"
	"kumquatlink/io/kqlink"
	"kumquatlink/io/kqlog"
)

// router sends calls to the nodes beside upstreams.
type router struct {
	node  *Node
	brake *kqretry.Brake
}

func newRouter(n *Node) *router {
	return &router{node: n, brake: kqretry.NewBrake()}
}

// route sends the call to an upstream, and to others while it may be retried
// and the allowance lasts.
func (r *router) route(ctx context.Context, q *call) *result {
	r.brake.FirstTry()
	if q.parent != nil {
		return r.try(ctx, q, &q.parent.retries)
	}
	held := kqretry.NewAllowance(q.head.Retries)
	answer := r.try(ctx, q, held)
	answer.retriesLeft = held.Close()
	return answer
}

// try sends the call with a grant from the allowance that is held, until it
// has an answer that stands.
func (r *router) try(ctx context.Context, q *call, held *kqretry.Allowance) *result {
	tried := map[string]bool{}
	last := refused(kqcall.CauseNoUpstream)
	var doubt *result
	for {
		upstream, others := r.pick(q.head.Service, tried)
		if upstream.NodeID == "" {
			return settle(last, doubt)
		}
		tried[upstream.NodeID] = true
		q.head.Retries = held.Grant()
		last = r.send(ctx, q, upstream)
		held.PutBack(last.retriesLeft, q.head.Retries)
		r.node.log.Decide(kqlog.Decision{
			RequestID: q.head.RequestID, Class: q.head.Class, Service: q.head.Service, Decision: "Route",
			Cause: string(last.end.Cause), Outcome: string(last.end.Outcome), Chosen: upstream.NodeID, Others: others,
		})
		if last.end.Outcome == kqcall.OutcomeUnknown {
			doubt = last
		}
		if ctx.Err() != nil || !mayRepeat(q, last.end) || !r.drawRetry(held) {
			return settle(last, doubt)
		}
	}
}

// settle gives the end of the whole call. What one try left in doubt, a later
// one that was not run does not clear up.
func settle(last, doubt *result) *result {
	if last.end.Outcome == kqcall.OutcomeNotRun && doubt != nil {
		return doubt
	}
	return last
}

// finalCauses are those that another upstream would answer with as well.
var finalCauses = map[kqcall.Cause]bool{
	kqcall.CauseDeadline: true, kqcall.CauseCallerGone: true, kqcall.CauseParentOver: true,
	kqcall.CauseBadRequest: true, kqcall.CauseTooLarge: true, kqcall.CauseDepth: true,
	kqcall.CauseKeyMissing: true, kqcall.CauseKeyRunning: true, kqcall.CauseKeyInDoubt: true,
	kqcall.CauseKeyForgotten: true, kqcall.CauseKeyMismatch: true,
}

// mayRepeat is whether a call that ended so may be sent again: it was provably
// not run, or it may run more than once.
func mayRepeat(q *call, end kqcall.End) bool {
	if finalCauses[end.Cause] {
		return false
	}
	switch end.Outcome {
	case kqcall.OutcomeNotRun:
		return true
	case kqcall.OutcomeUnknown:
		return q.head.Repeatable
	default:
		return false
	}
}

// drawRetry takes one retry from the request and from this entry's share.
func (r *router) drawRetry(held *kqretry.Allowance) bool {
	if !held.Draw() {
		return false
	}
	if !r.brake.Draw() {
		held.PutBack(1, 1)
		return false
	}
	return true
}

// pick chooses an upstream that was not tried.
func (r *router) pick(service string, tried map[string]bool) (kqmember.Record, []string) {
	var open []kqmember.Record
	for _, u := range r.node.State().Members.Upstreams(service) {
		if !tried[u.NodeID] {
			open = append(open, u)
		}
	}
	if len(open) == 0 {
		return kqmember.Record{}, nil
	}
	i := rand.IntN(len(open))
	others := make([]string, 0, len(open)-1)
	for j, u := range open {
		if j != i {
			others = append(others, u.NodeID)
		}
	}
	return open[i], others
}

// send runs the call at the upstream's gate, which may be this node's own.
func (r *router) send(ctx context.Context, q *call, upstream kqmember.Record) *result {
	if deadline, set := ctx.Deadline(); set {
		q.head.Budget = deadline.Sub(r.node.now())
	}
	if q.head.Budget <= 0 {
		return &result{end: kqcall.NotRun(kqcall.CauseDeadline), retriesLeft: q.head.Retries}
	}
	if upstream.NodeID == r.node.settings.NodeID {
		return r.node.gate.run(ctx, q)
	}
	answer, err := r.node.dialer.Call(ctx, upstream.Address, kqlink.CallHead{
		Head: q.head, Method: q.method, Path: q.path, Headers: q.headers,
	}, q.body)
	if err != nil {
		return lostResult(ctx, err, q.head.Retries)
	}
	h := answer.Head
	return &result{end: h.End, status: h.Status, headers: h.Headers, body: answer.Body, retriesLeft: h.RetriesLeft, load: h.Load}
}

// lostResult is the result of a call without an answer. The grant comes back
// only if it never left.
func lostResult(ctx context.Context, err error, grant int) *result {
	r := &result{end: endOf(ctx, err)}
	if r.end.Outcome == kqcall.OutcomeNotRun {
		r.retriesLeft = grant
	}
	return r
}

// endOf turns a link's error into the end of the call.
func endOf(ctx context.Context, err error) kqcall.End {
	cause := kqcall.CauseLinkLost
	if ctx.Err() != nil {
		cause = kqcall.CauseDeadline
	}
	if errors.Is(err, kqlink.ErrNotSent) {
		return kqcall.NotRun(cause)
	}
	return kqcall.Unknown(cause)
}

// handlePeerCall runs a call that a peer's entry sent to this node's gate.
func (n *Node) handlePeerCall(ctx context.Context, _ string, head kqlink.CallHead, body []byte) (kqlink.AnswerHead, []byte) {
	q := &call{head: head.Head, method: head.Method, path: head.Path, headers: head.Headers, body: body}
	ctx, cancel := withBudget(ctx, q.head)
	defer cancel()
	r := n.gate.run(ctx, q)
	return kqlink.AnswerHead{End: r.end, Status: r.status, Headers: r.headers, RetriesLeft: r.retriesLeft, Load: r.load}, r.body
}
