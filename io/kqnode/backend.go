package kqnode

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqretry"
	"kumquatlink/io/kqhttp"
	"kumquatlink/io/kqlink"
	"kumquatlink/io/kqwire"
)

// Backend is the backend server beside the node: its announcement and the pool
// of connections to it.
type Backend struct {
	Announcement kqwire.Announcement
	pool         *kqhttp.Pool
}

// runningCall is a call that the backend server is running.
type runningCall struct {
	head     kqcall.Head
	ctx      context.Context
	deadline time.Time
	// retries holds the retries that onward calls may still take.
	retries kqretry.Allowance
	onward  onwardCalls
}

// onwardCalls tracks the onward calls of a running call: how long at least one of
// them was outstanding, and whether one may have run. mutex guards all fields.
type onwardCalls struct {
	mutex       sync.Mutex
	outstanding int
	since       time.Time
	total       time.Duration
	// possiblyRan is set when an ended onward call may have run.
	possiblyRan bool
}

// markPossiblyRan records that an onward call may have run.
func (o *onwardCalls) markPossiblyRan() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.possiblyRan = true
}

// mayHaveRun reports whether an onward call may have run or is outstanding.
func (o *onwardCalls) mayHaveRun() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.possiblyRan || o.outstanding > 0
}

// begin records the start of an onward call.
func (o *onwardCalls) begin(now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.outstanding == 0 {
		o.since = now
	}
	o.outstanding++
}

// end records the end of an onward call.
func (o *onwardCalls) end(now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.outstanding--
	if o.outstanding == 0 {
		o.total += now.Sub(o.since)
	}
}

// timeUntil returns how long, until now, at least one onward call was
// outstanding.
func (o *onwardCalls) timeUntil(now time.Time) time.Duration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.outstanding > 0 {
		return o.total + now.Sub(o.since)
	}
	return o.total
}

// findRunning returns the running call with the context token, or nil.
func (g *gate) findRunning(token string) *runningCall {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.calls[token]
}

// execute runs the call on the backend server. It also returns how long onward
// calls of the call were outstanding. When the call ends, it cancels onward calls
// that are still outstanding.
func (g *gate) execute(ctx context.Context, q *call, b *Backend) (*callAnswer, time.Duration) {
	token := newID()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	run := &runningCall{head: q.head, ctx: ctx}
	run.deadline, _ = ctx.Deadline()
	run.retries.Open(q.head.Retries)
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
	fillRequest(request, q, b, token)
	err := b.pool.Do(ctx, request, response)
	r := &callAnswer{retriesLeft: run.retries.Close()}
	if err == nil {
		g.observeStatement(&response.Header, b)
	}
	readResponse(ctx, r, response, err)
	if r.end.Cause == kqcall.CauseBackendShed && run.onward.mayHaveRun() {
		// A backend server that made onward calls has begun to run the call, even
		// if it answers that it shed it.
		r.end = kqcall.Unknown(kqcall.CauseBackendShed)
	}
	return r, run.onward.timeUntil(g.node.now())
}

// readResponse sets the end of the call and copies the backend server's answer.
func readResponse(ctx context.Context, r *callAnswer, response *fasthttp.Response, err error) {
	if err != nil {
		r.end = endOfBackendError(ctx, err)
		return
	}
	if string(response.Header.Peek(kqwire.HeaderShed)) == "1" {
		r.end = kqcall.NotRun(kqcall.CauseBackendShed)
		return
	}
	r.end = kqcall.Ran()
	r.status = response.StatusCode()
	r.body = append([]byte(nil), response.Body()...)
	for k, v := range response.Header.All() {
		if isEndToEnd(string(k)) {
			r.headers = append(r.headers, kqlink.Header{Name: string(k), Value: string(v)})
		}
	}
}

// fillRequest sets the HTTP request to the backend server. The token identifies
// the call in the onward calls that the server makes for it.
func fillRequest(request *fasthttp.Request, q *call, b *Backend, token string) {
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
		request.Header.Set(kqwire.HeaderIdempotencyKey, q.head.Key)
	}
	request.SetBodyRaw(q.body)
}

// endOfBackendError returns the end of a call whose connection to the backend
// server failed. The outcome is unknown unless the call was not sent.
func endOfBackendError(ctx context.Context, err error) kqcall.End {
	cause := kqcall.CauseBackendLost
	switch {
	case ctx.Err() != nil:
		cause = causeOfContext(ctx)
	case errors.Is(err, kqhttp.ErrSilent):
		cause = kqcall.CauseBackendSilent
	}
	if errors.Is(err, kqhttp.ErrNotSent) {
		return kqcall.NotRun(cause)
	}
	return kqcall.Unknown(cause)
}
