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
	retries kqretry.Allowance
	onward  onwardTime
}

// onwardTime measures how long at least one onward call of a running call was
// outstanding.
type onwardTime struct {
	mutex       sync.Mutex
	outstanding int
	since       time.Time
	total       time.Duration
	// left is set when an onward call may have run.
	left bool
}

// mark notes that an onward call may have run.
func (o *onwardTime) mark() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.left = true
}

// mayHaveRun is whether an onward call may have run, or is still out.
func (o *onwardTime) mayHaveRun() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.left || o.outstanding > 0
}

func (o *onwardTime) begin(now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.outstanding == 0 {
		o.since = now
	}
	o.outstanding++
}

func (o *onwardTime) end(now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.outstanding--
	if o.outstanding == 0 {
		o.total += now.Sub(o.since)
	}
}

// sum is the time until now.
func (o *onwardTime) sum(now time.Time) time.Duration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.outstanding > 0 {
		return o.total + now.Sub(o.since)
	}
	return o.total
}

// find gives the running call whose context token that is.
func (g *gate) find(token string) *running {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.calls[token]
}

// handOver runs the call on the backend server and gives how long its onward
// calls took. Onward calls that are still out when it ends are cancelled.
func (g *gate) handOver(ctx context.Context, q *call, b *Backend) (*callAnswer, time.Duration) {
	token := newID()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	run := &running{head: q.head, ctx: ctx}
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
	readResponse(ctx, r, response, err)
	if r.end.Cause == kqcall.CauseBackendShed && run.onward.mayHaveRun() {
		// A backend server that made onward calls has begun to run the call,
		// whatever it says.
		r.end = kqcall.Unknown(kqcall.CauseBackendShed)
	}
	return r, run.onward.sum(g.node.now())
}

func readResponse(ctx context.Context, r *callAnswer, response *fasthttp.Response, err error) {
	if err != nil {
		r.end = backendEnd(ctx, err)
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
		if carried(string(k)) {
			r.headers = append(r.headers, kqlink.Header{Name: string(k), Value: string(v)})
		}
	}
}

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

// backendEnd turns the backend connection's error into the end of the call.
func backendEnd(ctx context.Context, err error) kqcall.End {
	cause := kqcall.CauseBackendLost
	switch {
	case ctx.Err() != nil:
		cause = goneCause(ctx)
	case errors.Is(err, kqhttp.ErrSilent):
		cause = kqcall.CauseBackendSilent
	}
	if errors.Is(err, kqhttp.ErrNotSent) {
		return kqcall.NotRun(cause)
	}
	return kqcall.Unknown(cause)
}
