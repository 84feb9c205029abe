package kqnode

import (
	"context"
	"sync"
	"time"

	"kumquatlink/core/kqadmit"
	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqlimit"
	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqlink"
	"kumquatlink/io/kqlog"
)

// gate admits calls to the backend server beside the node and runs them there.
// All calls to that server go through it. mutex guards the fields below it.
type gate struct {
	node  *Node
	begun time.Time

	mutex   sync.Mutex
	calls   map[string]*runningCall
	queue   *kqadmit.Queue
	limit   *kqlimit.Limit
	address string
	// said is what the server at that address says about itself in its latest
	// answer, if heard reports that there is one.
	said    kqserver.Statement
	heard   bool
	nextID  uint64
	waiting map[uint64]chan kqadmit.Verdict
	counts  map[string]*ClassCounts
	recent  recentCounts
}

func newGate(n *Node) *gate {
	return &gate{
		node: n, begun: n.now(), calls: map[string]*runningCall{}, queue: kqadmit.New(), limit: kqlimit.New(0),
		waiting: map[uint64]chan kqadmit.Verdict{}, counts: map[string]*ClassCounts{},
	}
}

// run admits the call and runs it on the backend server. The returned answer
// carries the gate's load.
func (g *gate) run(ctx context.Context, q *call) *callAnswer {
	if !g.node.keys.admits(q) {
		return g.finish(q, &callAnswer{end: kqcall.NotRun(kqcall.CauseMoved), retriesLeft: q.head.Retries})
	}
	s := g.node.State()
	if cause := g.refusalCause(s, q.head.Service); cause != "" {
		return g.finish(q, g.refuse(q, kqcall.NotRun(cause)))
	}
	if r := g.node.shed.refuseAtGate(q); r != nil {
		return g.finish(q, r)
	}
	a, end := g.admit(ctx, q, s.Backend)
	if a == nil {
		return g.finish(q, g.refuse(q, end))
	}
	r, onward := g.execute(ctx, q, s.Backend)
	g.release(ctx, a, r, onward)
	return g.finish(q, r)
}

// refusalCause returns the cause for which the gate refuses every call of the
// service, or an empty one.
func (g *gate) refusalCause(s *State, service string) kqcall.Cause {
	if s.Life == kqmember.LifeDraining || s.Life == kqmember.LifeGone {
		return kqcall.CauseDraining
	}
	if s.Life == kqmember.LifeJoining || s.Backend == nil || !g.node.awake() {
		return kqcall.CauseNoUpstream
	}
	if s.Backend.Announcement.Service != service {
		return kqcall.CauseNoUpstream
	}
	return ""
}

// refuse returns the answer to a call that the gate does not run. The answer
// hands back the retries that were granted to the call.
func (g *gate) refuse(q *call, end kqcall.End) *callAnswer {
	return &callAnswer{end: end, retriesLeft: q.head.Retries}
}

// finish counts and logs the end of a call at the gate, and adds the gate's load
// to the answer.
func (g *gate) finish(q *call, r *callAnswer) *callAnswer {
	r.load = g.load()
	g.mutex.Lock()
	g.count(q, r)
	g.mutex.Unlock()
	g.node.recordDecision(kqlog.Decision{
		RequestID: q.head.RequestID, Class: q.head.Class, Service: q.head.Service, Decision: decisionAdmit,
		Cause: string(r.end.Cause), Outcome: string(r.end.Outcome), Chosen: g.node.settings.NodeID,
	})
	return r
}

// load returns the gate's load report, with its admission threshold and the
// strictest thresholds further down the call chain.
func (g *gate) load() kqlink.Load {
	downstream := g.node.shed.downstreamThresholds()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.deliver(g.queue.Tick(g.clock()))
	l := kqlink.Load{InFlight: g.queue.InFlight(), Queued: g.queue.Waiting(), Limit: min(g.limit.Value(), g.queue.Capacity()), Deep: downstream}
	// A threshold speaks for the service, a limit for one server.
	if !g.said.Limited {
		l.Withheld = g.queue.Threshold().Withheld()
	}
	return l
}
