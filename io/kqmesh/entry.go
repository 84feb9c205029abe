package kqmesh

import (
	"context"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqbudget"
	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqlineage"
	"kumquatlink/core/kqroutes"
	"kumquatlink/io/kqedge"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqtrunk"
)

// Names of decisions in the log.
const (
	decisionAnswer = "Answer"
	decisionAdmit  = "Admit"
	decisionRoute  = "Route"
)

// Times that callers are told.
const (
	// defaultRetryAfter is told when nothing better is known.
	defaultRetryAfter = 500 * time.Millisecond
	// answerGrace is how long the entry waits beyond a request's time for the
	// gate, which keeps to the same time, to say whether the request was run.
	answerGrace = 100 * time.Millisecond
)

// call is one request on its way through this entry.
type call struct {
	head  kqtrunk.CallHead
	body  []byte
	route *kqroutes.Route
	state *State
	// parent is the run of the own backend server that made the call, or nil.
	parent *kqlineage.Run
	// deadline is when the caller has to have its final answer.
	deadline time.Time
	// tries are the upstreams that the call was sent to, for the log.
	tries []string
	// detail is what else the log is told of the answer.
	detail string
	// attempts counts those whose backend server may have begun it.
	attempts int
}

// counted is how the budget of repeats counts the call.
func (q *call) counted() kqbudget.Call {
	return kqbudget.Call{Service: q.head.Service, Depth: q.head.Depth}
}

// callerLimits are the limits of the routes in force.
func (n *Node) callerLimits() kqedge.Limits {
	s := n.State()
	if s.Routes == nil {
		return kqedge.Limits{}
	}
	l := s.Routes.Document().Limits
	return kqedge.Limits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTime: l.HeaderTime.Value(), IdleTime: l.IdleTime.Value()}
}

// handleCaller takes a request of a caller or of the backend server.
func (n *Node) handleCaller(ctx context.Context, e *kqedge.Exchange) {
	q, o := n.readCall(e)
	if o == nil {
		o = n.shedder.refuses(q)
	}
	if o == nil {
		// The entry waits a little longer than the gate.
		waiting, cancel := context.WithDeadline(ctx, q.deadline.Add(answerGrace))
		o = n.place(waiting, q)
		cancel()
	}
	n.recordDecision(kqlog.Decision{
		RequestID: q.head.RequestID, Root: q.head.Root, Class: q.head.Class, Service: q.head.Service, Decision: decisionAnswer,
		Cause: string(o.head.End.Cause), Outcome: string(o.head.End.Outcome), Chosen: o.head.ServerID, Others: q.tries,
		Took: n.now().Sub(e.Came), Left: q.deadline.Sub(n.now()), Version: q.head.RoutesVersion, Status: statusOf(o.head),
		Behind: o.shedBy.Service, Age: o.shedBy.Age, Detail: q.detail,
	})
	n.answer(e, o)
	if q.parent != nil {
		n.gate.runs.Answered(n.clock(), *q.parent)
	}
}

// readCall takes the request out of the connection's buffers and decides its
// route; it gives the outcome of one that goes no further.
func (n *Node) readCall(e *kqedge.Exchange) (*call, *outcome) {
	h := &e.Request.Header
	q := &call{state: n.State(), deadline: e.Came}
	q.head = kqtrunk.CallHead{
		RequestID: string(h.Peek(n.dialect.Headers.RequestID)), From: n.settings.Service,
		Method: string(h.Method()), Path: string(h.RequestURI()), Host: string(h.Host()),
	}
	if q.state.Routes == nil {
		return q, ended(kqcall.NotRun(kqcall.CauseNoConfiguration))
	}
	q.head.RoutesVersion = q.state.Routes.Document().Version
	route, found := q.state.Routes.Find(q.head.Host, q.head.Path)
	if !found {
		return q, ended(kqcall.NotRun(kqcall.CauseNoService))
	}
	q.route = route
	q.head.Route = route.Name
	q.head.Service = route.ServiceFor(q.head.RequestID)
	q.head.RunOnce = route.RunOnce
	given := timeGiven(string(h.Peek(n.dialect.Headers.Deadline)))
	q.deadline = e.Came.Add(min(route.Timeout.Value(), given))
	n.descend(q, e.Came.Sub(n.started), given)
	for k, v := range h.All() {
		if name := string(k); isEndToEnd(name) && !n.isOwnHeader(name) {
			q.head.Headers = append(q.head.Headers, kqtrunk.Header{Name: name, Value: string(v)})
		}
	}
	q.body = append([]byte(nil), e.Request.Body()...)
	n.budget.RecordRequest(n.clock(), q.counted(), q.head.Repeat)
	if !q.deadline.After(n.now()) {
		return q, ended(kqcall.NotRun(kqcall.CauseDeadline))
	}
	return q, nil
}

// descend fills in what a call takes from the request for which it is made.
func (n *Node) descend(q *call, came, given time.Duration) {
	q.head.Root, q.head.Class, q.head.Rank = q.head.RequestID, q.route.Name, q.route.Rank
	p, found := n.gate.runs.AssignParent(came, q.route.Name, given)
	if !found {
		return
	}
	q.parent = &p
	q.head.Root, q.head.Class, q.head.Rank = p.Root, p.Class, p.Rank
	q.head.Depth, q.head.Repeat = p.Depth+1, p.Repeat
}

// timeGiven reads the time that the caller gives, in milliseconds. One that
// can't be read is as good as none.
func timeGiven(text string) time.Duration {
	milliseconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(milliseconds) || milliseconds < 0 || milliseconds > math.MaxInt32 {
		return math.MaxInt32 * time.Millisecond
	}
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// isOwnHeader is whether the gate sets the field itself.
func (n *Node) isOwnHeader(name string) bool {
	h := n.dialect.Headers
	for _, own := range []string{h.RequestID, h.Deadline, h.ExpectServer, h.CallerService} {
		if strings.EqualFold(name, own) {
			return true
		}
	}
	return false
}

// hopHeaders concern one connection only, or are set anew with each message.
var hopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "proxy-authenticate": true, "proxy-authorization": true,
	"te": true, "trailer": true, "transfer-encoding": true, "upgrade": true, "content-length": true, "host": true, "expect": true,
}

// isEndToEnd is whether a header field is passed on.
func isEndToEnd(name string) bool {
	return !hopHeaders[strings.ToLower(name)]
}

// answer writes the final answer.
func (n *Node) answer(e *kqedge.Exchange, o *outcome) {
	r := e.Response
	r.Header.SetNoDefaultContentType(true)
	end := o.head.End
	if end.Outcome == kqcall.OutcomeRan {
		r.SetStatusCode(o.head.Status)
		for _, f := range o.head.Headers {
			r.Header.Add(f.Name, f.Value)
		}
		r.SetBodyRaw(o.body)
		return
	}
	r.SetStatusCode(statusOf(o.head))
	if id := e.Request.Header.Peek(n.dialect.Headers.RequestID); len(id) > 0 {
		r.Header.SetBytesV(n.dialect.Headers.RequestID, id)
	}
	if end.Outcome == kqcall.OutcomeNotRun && r.StatusCode() == fasthttp.StatusServiceUnavailable {
		after := end.RetryAfter
		if after <= 0 {
			after = defaultRetryAfter
		}
		r.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	r.Header.SetContentType("text/plain")
	r.SetBodyString(string(end.Outcome) + ": " + string(end.Cause) + "\n")
}

// statusOf is the status of an answer. 503 is only ever given to a request
// that was not run.
func statusOf(h kqtrunk.AnswerHead) int {
	end := h.End
	switch {
	case end.Outcome == kqcall.OutcomeRan:
		return h.Status
	case end.Outcome == kqcall.OutcomeNotRun && end.Cause == kqcall.CauseNoService:
		return fasthttp.StatusNotFound
	case end.Outcome == kqcall.OutcomeNotRun:
		return fasthttp.StatusServiceUnavailable
	case end.Cause == kqcall.CauseDeadline:
		return fasthttp.StatusGatewayTimeout
	}
	return fasthttp.StatusBadGateway
}

// refuseUnread answers a request that can't be read.
func (n *Node) refuseUnread(response *fasthttp.Response, err error) {
	response.SetStatusCode(kqedge.StatusOf(err))
	if response.StatusCode() == fasthttp.StatusServiceUnavailable {
		response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(defaultRetryAfter.Seconds(), 'f', 3, 64))
	}
	n.recordDecision(kqlog.Decision{Decision: decisionAnswer, Cause: string(kqcall.CauseBadRequest), Outcome: string(kqcall.OutcomeNotRun), Status: response.StatusCode(), Detail: err.Error()})
}
