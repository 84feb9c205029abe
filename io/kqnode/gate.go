package kqnode

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqmember"
	"kumquatlink/io/kqhttp"
	"kumquatlink/io/kqlink"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqwire"
)

// defaultSlots is used until a backend server says how many slots it has.
const defaultSlots = 16

// Backend is the backend server beside the node.
type Backend struct {
	Announcement kqwire.Announcement
	pool         *kqhttp.Pool
}

// running is a call that the backend server runs at this moment.
type running struct {
	head     kqcall.Head
	ctx      context.Context
	deadline time.Time
	// retries is the part of the allowance that onward calls may still draw.
	retries atomic.Int64
}

// gate is the only thing that hands work to the backend server.
type gate struct {
	node *Node

	mutex    sync.Mutex
	inFlight int
	calls    map[string]*running
}

func newGate(n *Node) *gate {
	return &gate{node: n, calls: map[string]*running{}}
}

// find gives the running call whose context token that is.
func (g *gate) find(token string) *running {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.calls[token]
}

// run admits the call and runs it on the backend server.
func (g *gate) run(ctx context.Context, q *call) *result {
	if !g.node.keys.admits(q) {
		return g.finish(q, &result{end: kqcall.NotRun(kqcall.CauseMoved), retriesLeft: q.head.Retries})
	}
	s := g.node.State()
	if cause := g.enter(s); cause != "" {
		return g.finish(q, &result{end: kqcall.NotRun(cause), retriesLeft: q.head.Retries})
	}
	defer g.leave()
	return g.finish(q, g.handOver(ctx, q, s.Backend))
}

// enter takes a place at the backend server, or says why there is none.
func (g *gate) enter(s *State) kqcall.Cause {
	if s.Life == kqmember.LifeDraining || s.Life == kqmember.LifeGone {
		return kqcall.CauseDraining
	}
	if s.Backend == nil {
		return kqcall.CauseNoUpstream
	}
	limit := s.Backend.Announcement.Slots
	if limit <= 0 {
		limit = defaultSlots
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.inFlight >= limit {
		return kqcall.CauseShedGate
	}
	g.inFlight++
	return ""
}

func (g *gate) leave() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.inFlight--
}

// finish logs the gate's decision and adds its load to the answer.
func (g *gate) finish(q *call, r *result) *result {
	g.mutex.Lock()
	r.load = kqlink.Load{InFlight: g.inFlight}
	g.mutex.Unlock()
	g.node.log.Decide(kqlog.Decision{
		RequestID: q.head.RequestID, Class: q.head.Class, Service: q.head.Service, Decision: "Admit",
		Cause: string(r.end.Cause), Outcome: string(r.end.Outcome), Chosen: g.node.settings.NodeID,
	})
	return r
}

// handOver runs the call on the backend server.
func (g *gate) handOver(ctx context.Context, q *call, b *Backend) *result {
	token := newID()
	run := &running{head: q.head, ctx: ctx}
	run.deadline, _ = ctx.Deadline()
	run.retries.Store(int64(q.head.Retries))
	g.mutex.Lock()
	g.calls[token] = run
	g.mutex.Unlock()
	defer func() {
		g.mutex.Lock()
		delete(g.calls, token)
		g.mutex.Unlock()
	}()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	g.fill(request, q, b, token)
	err := b.pool.Do(ctx, request, response)
	r := &result{retriesLeft: int(run.retries.Load())}
	if err != nil {
		r.end = backendEnd(ctx, err)
		return r
	}
	if string(response.Header.Peek(kqwire.HeaderShed)) == "1" {
		r.end = kqcall.NotRun(kqcall.CauseBackendShed)
		return r
	}
	r.end = kqcall.Ran()
	r.status = response.StatusCode()
	r.body = append([]byte(nil), response.Body()...)
	for k, v := range response.Header.All() {
		if carried(string(k)) {
			r.headers = append(r.headers, kqlink.Header{Name: string(k), Value: string(v)})
		}
	}
	return r
}

func (g *gate) fill(request *fasthttp.Request, q *call, b *Backend, token string) {
	request.Header.SetMethod(q.method)
	request.SetRequestURI(q.path)
	request.Header.SetHost(b.Announcement.Address)
	for _, f := range q.headers {
		request.Header.Add(f.Name, f.Value)
	}
	request.Header.Set(kqwire.HeaderRequestID, q.head.RequestID)
	request.Header.Set(kqwire.HeaderClass, q.head.Class)
	request.Header.Set(kqwire.HeaderContext, token)
	request.Header.Set(kqwire.HeaderBudget, strconv.FormatInt(q.head.Budget.Milliseconds(), 10))
	if q.head.Key != "" {
		request.Header.Set(kqwire.HeaderKey, q.head.Key)
	}
	request.SetBodyRaw(q.body)
}

// backendEnd turns the backend connection's error into the end of the call.
func backendEnd(ctx context.Context, err error) kqcall.End {
	cause := kqcall.CauseBackendLost
	if ctx.Err() != nil {
		cause = kqcall.CauseDeadline
	}
	if errors.Is(err, kqhttp.ErrNotSent) {
		return kqcall.NotRun(cause)
	}
	return kqcall.Unknown(cause)
}
