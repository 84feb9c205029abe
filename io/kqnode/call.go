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

// call is one call that this node handles. It shares no memory with the buffers
// of the connection on which it was received.
type call struct {
	head    kqcall.Head
	method  string
	path    string
	headers []kqlink.Header
	body    []byte
	// parent is the call, run by the backend server beside this node, for which
	// this one is an onward call, or nil.
	parent *runningCall
	// avoid holds the IDs of the nodes to whose gates the call must not be sent.
	avoid map[string]bool
	// idFromCaller reports whether the caller set the request ID, and resent
	// whether the caller sent a call with this ID before.
	idFromCaller bool
	resent       bool
}

// callAnswer is the end of a call, with the backend server's whole answer if the
// call ran.
type callAnswer struct {
	end         kqcall.End
	status      int
	headers     []kqlink.Header
	body        []byte
	retriesLeft int
	// load is the load that the gate reported. It is only set if fromGate is, that
	// is, if a gate answered.
	load     kqlink.Load
	fromGate bool
	// token is the newest token of the key's bucket, if the call was sent to a
	// node that is not the home of the key.
	token *kqhome.Token
}

// notRun returns the answer to a call that did not run, without retries left.
func notRun(c kqcall.Cause) *callAnswer {
	return &callAnswer{end: kqcall.NotRun(c)}
}

// hopByHopHeaders are the HTTP header fields, in lower case, that each hop
// removes.
var hopByHopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-authorization": true,
	"te": true, "trailer": true, "transfer-encoding": true, "upgrade": true, "content-length": true,
	"host": true, "date": true, "server": true,
}

// isEndToEnd reports whether a header field is forwarded to the next hop. Each
// hop sets kumquatlink's own fields itself, since those that a caller sends are
// not trusted.
func isEndToEnd(name string) bool {
	lower := strings.ToLower(name)
	return !hopByHopHeaders[lower] && !strings.HasPrefix(lower, "kumquatlink-")
}

// readCall copies a call out of the buffers of its connection. The head has only
// the service and the key.
func readCall(c *fasthttp.RequestCtx) *call {
	q := &call{
		method: string(c.Method()),
		path:   string(c.RequestURI()),
		body:   append([]byte(nil), c.PostBody()...),
	}
	for k, v := range c.Request.Header.All() {
		if isEndToEnd(string(k)) {
			q.headers = append(q.headers, kqlink.Header{Name: string(k), Value: string(v)})
		}
	}
	q.head.Service = string(c.Request.Header.Peek(kqwire.HeaderService))
	q.head.Key = string(c.Request.Header.Peek(kqwire.HeaderIdempotencyKey))
	return q
}

// statusOfCause holds the HTTP statuses for errors of the call's sender. With any
// other cause, the status is 503 for a call that did not run, and 504 for a call
// that may have run.
var statusOfCause = map[kqcall.Cause]int{
	kqcall.CauseBadRequest:  fasthttp.StatusBadRequest,
	kqcall.CauseNoClass:     fasthttp.StatusBadRequest,
	kqcall.CauseDepth:       fasthttp.StatusLoopDetected,
	kqcall.CauseNoService:   fasthttp.StatusNotFound,
	kqcall.CauseTooLarge:    fasthttp.StatusRequestEntityTooLarge,
	kqcall.CauseKeyMismatch: fasthttp.StatusUnprocessableEntity,
	kqcall.CauseKeyRunning:  fasthttp.StatusConflict,
}

// writeAnswer writes the HTTP answer to a caller. A call that did not run, or
// may not have run, is answered with a JSON body that holds outcome and cause.
func writeAnswer(c *fasthttp.RequestCtx, requestID string, r *callAnswer) {
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
	status, found := statusOfCause[r.end.Cause]
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

// withBudget returns a copy of ctx that ends when the call's time budget has
// passed.
func withBudget(ctx context.Context, h kqcall.Head) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, h.Budget)
}
