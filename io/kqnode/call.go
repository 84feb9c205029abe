package kqnode

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqhome"
	"kumquatlink/io/kqlink"
	"kumquatlink/io/kqwire"
)

// call is one call on its way through this node. Nothing in it refers to the
// buffers of the connection it came on.
type call struct {
	head    kqcall.Head
	method  string
	path    string
	headers []kqlink.Header
	body    []byte
	// parent is the running call that this one was made for, or nil.
	parent *running
	// avoid holds the nodes whose gates the call must not use.
	avoid map[string]bool
	// named is whether the caller chose the request ID, and resent whether it
	// has sent the call again by itself.
	named  bool
	resent bool
}

// callAnswer is how a call ended and, if it ran, the whole answer.
type callAnswer struct {
	end         kqcall.End
	status      int
	headers     []kqlink.Header
	body        []byte
	retriesLeft int
	// load is what the gate told of itself, if it was heard at all.
	load  kqlink.Load
	heard bool
	// token is the newest token of the key's bucket, when the call went to a
	// node that is not its home.
	token *kqhome.Token
}

func notRun(c kqcall.Cause) *callAnswer {
	return &callAnswer{end: kqcall.NotRun(c)}
}

// hopHeaders are not carried from hop to hop.
var hopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-authorization": true,
	"te": true, "trailer": true, "transfer-encoding": true, "upgrade": true, "content-length": true,
	"host": true, "date": true, "server": true,
}

// carried is whether a header field goes on to the next hop. Our own fields
// are written anew at each hop and never believed from outside.
func carried(name string) bool {
	lower := strings.ToLower(name)
	return !hopHeaders[lower] && !strings.HasPrefix(lower, "kumquatlink-")
}

// readCall copies a call out of the buffers of its connection.
func readCall(c *fasthttp.RequestCtx) *call {
	q := &call{
		method: string(c.Method()),
		path:   string(c.RequestURI()),
		body:   append([]byte(nil), c.PostBody()...),
	}
	for k, v := range c.Request.Header.All() {
		if carried(string(k)) {
			q.headers = append(q.headers, kqlink.Header{Name: string(k), Value: string(v)})
		}
	}
	q.head.Service = string(c.Request.Header.Peek(kqwire.HeaderService))
	q.head.Key = string(c.Request.Header.Peek(kqwire.HeaderIdempotencyKey))
	return q
}

// statuses maps the causes that are the sender's own doing; everything else is
// 503 when the call was not run and 504 when that is not known.
var statuses = map[kqcall.Cause]int{
	kqcall.CauseBadRequest:  fasthttp.StatusBadRequest,
	kqcall.CauseNoClass:     fasthttp.StatusBadRequest,
	kqcall.CauseDepth:       fasthttp.StatusLoopDetected,
	kqcall.CauseNoService:   fasthttp.StatusNotFound,
	kqcall.CauseTooLarge:    fasthttp.StatusRequestEntityTooLarge,
	kqcall.CauseKeyMismatch: fasthttp.StatusUnprocessableEntity,
	kqcall.CauseKeyRunning:  fasthttp.StatusConflict,
}

// writeResult answers a caller.
func writeResult(c *fasthttp.RequestCtx, requestID string, r *callAnswer) {
	h := &c.Response.Header
	for _, f := range r.headers {
		h.Add(f.Name, f.Value)
	}
	h.Set(kqwire.HeaderRequestID, requestID)
	h.Set(kqwire.HeaderOutcome, string(r.end.Outcome))
	h.Set(kqwire.HeaderCause, string(r.end.Cause))
	if r.end.Outcome == kqcall.OutcomeRan {
		c.SetStatusCode(r.status)
		c.SetBody(r.body)
		return
	}
	status, found := statuses[r.end.Cause]
	if !found {
		status = fasthttp.StatusServiceUnavailable
		if r.end.Outcome == kqcall.OutcomeUnknown {
			status = fasthttp.StatusGatewayTimeout
		}
	}
	if r.end.RetryAfter > 0 {
		seconds := int64((r.end.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	c.SetStatusCode(status)
	c.SetContentType("application/json")
	c.SetBodyString(`{"Outcome":"` + string(r.end.Outcome) + `","Cause":"` + string(r.end.Cause) + `"}` + "\n")
}

// withBudget bounds ctx by the time that the call has left.
func withBudget(ctx context.Context, h kqcall.Head) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, h.Budget)
}
