package kqnode

import (
	"context"
	"sync"
	"time"

	"kumquatlink/core/kqadmit"
	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqlimit"
	"kumquatlink/core/kqmember"
	"kumquatlink/io/kqlink"
	"kumquatlink/io/kqlog"
)

// gate is the only thing that hands work to the backend server.
type gate struct {
	node  *Node
	begun time.Time

	mutex   sync.Mutex
	calls   map[string]*running
	queue   *kqadmit.Queue
	limit   *kqlimit.Limit
	address string
	nextID  uint64
	waiting map[uint64]chan kqadmit.Verdict
	counts  map[string]*ClassCounts
	recent  recentCounts
}

func newGate(n *Node) *gate {
	return &gate{
		node: n, begun: n.now(), calls: map[string]*running{}, queue: kqadmit.New(), limit: kqlimit.New(0),
		waiting: map[uint64]chan kqadmit.Verdict{}, counts: map[string]*ClassCounts{},
	}
}

// run admits the call and runs it on the backend server.
func (g *gate) run(ctx context.Context, q *call) *callAnswer {
	if !g.node.keys.admits(q) {
		return g.finish(q, &callAnswer{end: kqcall.NotRun(kqcall.CauseMoved), retriesLeft: q.head.Retries})
	}
	s := g.node.State()
	if cause := g.closedBy(s, q.head.Service); cause != "" {
		return g.finish(q, g.refuse(q, kqcall.NotRun(cause)))
	}
	if r := g.node.shed.refusesBehind(q); r != nil {
		return g.finish(q, r)
	}
	p, end := g.admit(ctx, q, s.Backend)
	if p == nil {
		return g.finish(q, g.refuse(q, end))
	}
	r, onward := g.handOver(ctx, q, s.Backend)
	g.release(ctx, p, r, onward)
	return g.finish(q, r)
}

// closedBy says why the gate takes no call of the service at all, or nothing.
func (g *gate) closedBy(s *State, service string) kqcall.Cause {
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

func (g *gate) refuse(q *call, end kqcall.End) *callAnswer {
	return &callAnswer{end: end, retriesLeft: q.head.Retries}
}

// finish counts and logs the gate's decision and adds its load to the answer.
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

// load is what the gate tells of itself and of what is behind it.
func (g *gate) load() kqlink.Load {
	deep := g.node.shed.deep()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.deliver(g.queue.Tick(g.clock()))
	return kqlink.Load{
		InFlight: g.queue.InFlight(), Queued: g.queue.Waiting(), Limit: g.limit.Value(),
		Withheld: g.queue.Threshold().Withheld(), Deep: deep,
	}
}
