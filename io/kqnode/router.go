package kqnode

import (
	"context"
	"maps"
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqmember"
	"kumquatlink/io/kqlink"
	"kumquatlink/io/kqlog"
)

// retryAllowance is the total of retries that one request may make, over all
// of its hops.
const retryAllowance = 2

// router sends calls to the nodes beside upstreams.
type router struct {
	node *Node
}

func newRouter(n *Node) *router {
	return &router{node: n}
}

// route sends the call to an upstream, and to others while it was provably not
// run and the allowance lasts.
func (r *router) route(ctx context.Context, q *call) *result {
	tried := maps.Clone(q.avoid)
	if tried == nil {
		tried = map[string]bool{}
	}
	for {
		upstream, others := r.pick(q.head.Service, tried)
		if upstream.NodeID == "" {
			return refused(kqcall.CauseNoUpstream)
		}
		tried[upstream.NodeID] = true
		answer := r.send(ctx, q, upstream)
		r.node.log.Decide(kqlog.Decision{
			RequestID: q.head.RequestID, Class: q.head.Class, Service: q.head.Service, Decision: "Route",
			Cause: string(answer.end.Cause), Outcome: string(answer.end.Outcome), Chosen: upstream.NodeID, Others: others,
		})
		q.head.Retries = answer.retriesLeft
		if answer.end.Outcome == kqcall.OutcomeRan || !r.mayRetry(ctx, q, answer) {
			return answer
		}
		q.head.Retries--
	}
}

func (r *router) mayRetry(ctx context.Context, q *call, answer *result) bool {
	if ctx.Err() != nil || q.head.Retries <= 0 {
		return false
	}
	return answer.end.Outcome == kqcall.OutcomeNotRun
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
		return &result{end: endOf(ctx, err), retriesLeft: q.head.Retries}
	}
	h := answer.Head
	return &result{end: h.End, status: h.Status, headers: h.Headers, body: answer.Body, retriesLeft: min(h.RetriesLeft, q.head.Retries), load: h.Load, token: h.Token}
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
	var r *result
	if head.ToHome {
		r = n.keys.atHome(ctx, q)
	} else {
		r = n.gate.run(ctx, q)
	}
	n.work.answeredPeer(n.now())
	return kqlink.AnswerHead{End: r.end, Status: r.status, Headers: r.headers, RetriesLeft: r.retriesLeft, Load: r.load, Token: r.token}, r.body
}
