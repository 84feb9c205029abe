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

// flights makes copies of a call share one run (single flight). It holds the
// repeatable calls of this entry that are in flight, by the request ID that their
// caller set. A caller that sends such a call again waits for the same run, and
// each copy of the call gets the whole answer. mutex guards calls and the waiting
// count of each flight.
type flights struct {
	mutex sync.Mutex
	calls map[string]*flight
}

// flight is one run of a call, for which one or more copies of the call wait.
// ended is closed when result is set.
type flight struct {
	call   *call
	ended  chan struct{}
	result *callAnswer
	// ctx is cancelled when no copy waits any more or the run has ended.
	ctx     context.Context
	cancel  context.CancelFunc
	waiting int
}

func newFlights() *flights {
	return &flights{calls: map[string]*flight{}}
}

// join returns the flight of the same call, or a new one with first set. It
// returns nil when a different call is in flight under the request ID.
func (f *flights) join(q *call) (shared *flight, first bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	shared, found := f.calls[q.head.RequestID]
	if !found {
		shared = &flight{call: q, ended: make(chan struct{}), waiting: 1}
		shared.ctx, shared.cancel = context.WithCancel(context.Background())
		f.calls[q.head.RequestID] = shared
		return shared, true
	}
	if !sameCall(shared.call, q) {
		return nil, false
	}
	shared.waiting++
	return shared, false
}

// leave records that a copy no longer waits, and cancels the run when none does.
// It reports whether this copy was the last.
func (f *flights) leave(shared *flight) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	shared.waiting--
	if shared.waiting > 0 {
		return false
	}
	shared.cancel()
	return true
}

// end removes the flight and passes its answer to all copies that wait.
func (f *flights) end(shared *flight, r *callAnswer) {
	f.mutex.Lock()
	delete(f.calls, shared.call.head.RequestID)
	f.mutex.Unlock()
	shared.cancel()
	shared.result = r
	close(shared.ended)
}

// sameCall reports whether the calls look the same to a backend server.
func sameCall(a, b *call) bool {
	return a.head.Service == b.head.Service && a.head.Class == b.head.Class &&
		a.method == b.method && a.path == b.path &&
		slices.Equal(a.headers, b.headers) && bytes.Equal(a.body, b.body)
}

// runShared runs a call, or waits for the run of a copy that is in flight. When
// the caller goes away or the budget has passed while other copies still wait,
// the outcome of this copy is unknown.
func (n *Node) runShared(c *fasthttp.RequestCtx, q *call) *callAnswer {
	shared, first := n.flights.join(q)
	if shared == nil {
		return n.runOnPool(c, q)
	}
	if first {
		n.startRun(shared)
	} else {
		q.resent = true
		n.router.recordTry(q)
		n.log.Decision(kqlog.Decision{
			RequestID: q.head.RequestID, Class: q.head.Class, Service: q.head.Service, Decision: "Share",
		})
	}
	ctx, cancel := withBudget(context.Background(), q.head)
	defer cancel()
	defer kqhttp.OnDisconnect(c.Conn(), cancel)()
	select {
	case <-shared.ended:
		return shared.result
	case <-ctx.Done():
	}
	if n.flights.leave(shared) {
		<-shared.ended
		return shared.result
	}
	return &callAnswer{end: kqcall.Unknown(causeOfContext(ctx))}
}

// startRun starts the run of a flight, with the budget of the first copy. The run
// changes the head of its call, and therefore works on a copy: other goroutines
// read the original.
func (n *Node) startRun(shared *flight) {
	own := *shared.call
	run := func() { n.flights.end(shared, n.dispatch(shared.ctx, &own)) }
	if err := n.pool.Submit(run); err != nil {
		n.flights.end(shared, notRun(kqcall.CausePoolFull))
	}
}
