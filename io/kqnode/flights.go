package kqnode

import (
	"bytes"
	"context"
	"slices"
	"sync"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqhttp"
	"kumquatlink/io/kqlog"
)

// flights are the repeatable calls of this entry that are in flight under a
// request ID of the caller's own. A caller that sends one again by itself
// waits for the same run; each copy of the call gets the whole answer.
type flights struct {
	mutex sync.Mutex
	calls map[string]*flight
}

// flight is one run that one or more copies of a call wait for.
type flight struct {
	call   *call
	ended  chan struct{}
	result *callAnswer
	// ctx ends when no copy waits any more.
	ctx     context.Context
	cancel  context.CancelFunc
	waiting int
}

func newFlights() *flights {
	return &flights{calls: map[string]*flight{}}
}

// join gives the flight of the same call, or a new one. It is nil when the
// request ID is in use for another call.
func (f *flights) join(q *call) (held *flight, first bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	held, found := f.calls[q.head.RequestID]
	if !found {
		held = &flight{call: q, ended: make(chan struct{}), waiting: 1}
		held.ctx, held.cancel = context.WithCancel(context.Background())
		f.calls[q.head.RequestID] = held
		return held, true
	}
	if !sameCall(held.call, q) {
		return nil, false
	}
	held.waiting++
	return held, false
}

// leave takes one copy away and cancels the run with the last one. It says
// whether it was the last.
func (f *flights) leave(held *flight) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	held.waiting--
	if held.waiting > 0 {
		return false
	}
	held.cancel()
	return true
}

// end hands the result to all copies.
func (f *flights) end(held *flight, r *callAnswer) {
	f.mutex.Lock()
	delete(f.calls, held.call.head.RequestID)
	f.mutex.Unlock()
	held.cancel()
	held.result = r
	close(held.ended)
}

// sameCall is whether the calls agree in everything that a backend server
// sees of them.
func sameCall(a, b *call) bool {
	return a.head.Service == b.head.Service && a.head.Class == b.head.Class &&
		a.method == b.method && a.path == b.path &&
		slices.Equal(a.headers, b.headers) && bytes.Equal(a.body, b.body)
}

// runShared runs a call together with the copies of it that come meanwhile.
func (n *Node) runShared(c *fasthttp.RequestCtx, q *call) *callAnswer {
	held, first := n.flights.join(q)
	if held == nil {
		return n.runOnPool(c, q)
	}
	if first {
		n.fly(held)
	} else {
		q.resent = true
		n.router.countTry(q)
		n.log.Decision(kqlog.Decision{
			RequestID: q.head.RequestID, Class: q.head.Class, Service: q.head.Service, Decision: "Share",
		})
	}
	ctx, cancel := withBudget(context.Background(), q.head)
	defer cancel()
	defer kqhttp.OnDisconnect(c.Conn(), cancel)()
	select {
	case <-held.ended:
		return held.result
	case <-ctx.Done():
	}
	if n.flights.leave(held) {
		<-held.ended
		return held.result
	}
	return &callAnswer{end: kqcall.Unknown(goneCause(ctx))}
}

// fly begins the run. Its budget is that of the copy that came first. The run
// changes the call's head as it goes, so it has one of its own.
func (n *Node) fly(held *flight) {
	own := *held.call
	run := func() { n.flights.end(held, n.dispatch(held.ctx, &own)) }
	if err := n.pool.Submit(run); err != nil {
		n.flights.end(held, notRun(kqcall.CausePoolFull))
	}
}
