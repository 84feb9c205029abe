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
	"kumquatlink/core/kqrequest"
	"kumquatlink/core/kqroutes"
	"kumquatlink/io/kqbody"
	"kumquatlink/io/kqedge"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqmetric"
	"kumquatlink/io/kqtrunk"
)

// Names of the kinds of decisions in the log.
const (
	decisionAnswer = "Answer"
	decisionAdmit  = "Admit"
	decisionRoute  = "Route"
)

// Times of answers to callers.
const (
	// defaultRetryAfter is the Retry-After time of a refusal for which no
	// better estimate exists.
	defaultRetryAfter = 500 * time.Millisecond
	// answerGrace is how long the entry waits beyond a request's deadline for
	// the gate's answer. The gate has the same deadline, and its answer tells
	// whether the request was run.
	answerGrace = 100 * time.Millisecond
)

// call is one request that this entry handles.
type call struct {
	head  kqtrunk.CallHead
	body  []byte
	route *kqroutes.Route
	// team is the team whose key the caller gave, or nil if the route needs none.
	team  *kqroutes.Team
	state *State
	// parent is the call, run by the backend server beside this node, for which
	// the request is an onward call, or nil.
	parent *kqlineage.Run
	// deadline is when the caller must have its answer.
	deadline time.Time
	// tries are the node IDs of the upstreams that the call was sent to.
	tries []string
	// detail is a remark on the answer for the log.
	detail string
	// attempts counts the failed tries that may have reached a backend server, and begun
	// all tries that one may have run. counted is how many the quota of the team counts.
	attempts, begun, counted int
	// demand is what was known of the demand of teams when the call was ordered, and
	// fairShare how much of a team's was served in full then, or 0.
	demand    teamDemand
	fairShare float64
}

// budgetCall returns the service and depth under which the budget of repeats
// counts the call.
func (q *call) budgetCall() kqbudget.Call {
	return kqbudget.Call{Service: q.head.Service, Depth: q.head.Depth}
}

// callerLimits returns the limits on requests that the routes in force set.
func (n *Node) callerLimits() kqedge.Limits {
	s := n.State()
	if s.Routes == nil {
		return kqedge.Limits{}
	}
	l := s.Routes.Document().Limits
	return kqedge.Limits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTime: l.HeaderTime.Value(), IdleTime: l.IdleTime.Value()}
}

// handleCaller handles a request of a caller or of the backend server: it
// decides the route, refuses the request or sends it to upstreams, and answers.
func (n *Node) handleCaller(ctx context.Context, e *kqedge.Exchange) {
	q, o := n.readCall(e)
	if o == nil {
		o = n.refuseLate(q)
	}
	if o == nil {
		o = n.refuseCounted(q)
	}
	if o == nil {
		running, end := n.untilEnd(ctx)
		// The gate ends the call at the deadline; its answer comes shortly after.
		waiting, cancel := context.WithDeadline(running, q.deadline.Add(answerGrace))
		o = n.routeCall(waiting, q)
		cancel()
		end()
		if o.head.End.Outcome != kqcall.OutcomeNotRun {
			n.recentTimes.Record(n.clock(), q.head.Route, n.now().Sub(e.ReceivedAt))
		}
		n.quotas.settle(q, q.begun)
	}
	d := kqlog.Decision{
		RequestID: q.head.RequestID, Root: q.head.Root, Class: q.head.Class, Service: q.head.Service, Decision: decisionAnswer,
		Cause: string(o.head.End.Cause), Outcome: string(o.head.End.Outcome), Chosen: o.head.ServerID, Others: q.tries,
		Took: n.now().Sub(e.ReceivedAt), Left: q.deadline.Sub(n.now()), Version: q.head.RoutesVersion, Status: statusOf(o.head),
		Behind: o.shedBy.Service, Age: o.shedBy.Age, Detail: q.detail,
	}
	q.addTeam(&d)
	n.recordDecision(d)
	n.writeAnswer(e, o)
	if q.parent != nil {
		n.gate.runs.Answered(n.clock(), *q.parent)
	}
}

// refuseCounted returns the answer to a call that the quota of its team or the
// thresholds of other gates refuse, or nil.
func (n *Node) refuseCounted(q *call) *callAnswer {
	if o := n.quotas.refuse(q); o != nil {
		return o
	}
	n.shedder.shares.place(q)
	o := n.shedder.refuseAtEntry(q)
	if o != nil {
		n.quotas.settle(q, 0)
	}
	return o
}

// readCall takes the request out of the connection's buffers and decides its
// route. A large body has memory of its own and is not copied. The result is nil, or the end of a request that can't be routed or is
// too late.
func (n *Node) readCall(e *kqedge.Exchange) (*call, *callAnswer) {
	h := &e.Request.Header
	q := &call{state: n.State(), deadline: e.ReceivedAt}
	q.head = kqtrunk.CallHead{
		RequestID: string(h.Peek(n.dialect.Headers.RequestID)), From: n.settings.Service,
		Method: string(h.Method()), Path: string(h.RequestURI()), Host: string(h.Host()),
	}
	if q.state.Routes == nil {
		return q, endOnly(kqcall.NotRun(kqcall.CauseNoConfiguration))
	}
	q.head.RoutesVersion = q.state.Routes.Document().Version
	route, found := q.state.Routes.Find(q.head.Host, q.head.Path)
	if !found {
		return q, endOnly(kqcall.NotRun(kqcall.CauseNoService))
	}
	q.route = route
	q.head.Route = route.Name
	if !q.identifyTeam(h.Peek(n.dialect.Headers.Key)) {
		return q, endOnly(n.endOfUnknownKey())
	}
	if q.team != nil && !q.team.CanBeNamed() {
		q.detail = "the name of the team can't be sent to backend servers"
		return q, endOnly(kqcall.NotRun(kqcall.CauseNoConfiguration))
	}
	q.head.Service = route.ServiceFor(q.head.RequestID)
	q.head.RunOnce = route.RunOnce
	timeLeft := parseTimeLeft(string(h.Peek(n.dialect.Headers.Deadline)))
	q.deadline = e.ReceivedAt.Add(min(route.Timeout.Value(), timeLeft))
	n.inheritParent(q, e.ReceivedAt.Sub(n.started), timeLeft)
	hasTeams := q.state.Routes.HasTeams()
	for k, v := range h.All() {
		if name := string(k); isEndToEnd(name) && !n.isSetByGate(name) && (!hasTeams || !n.isTeamHeader(name)) {
			q.head.Headers = append(q.head.Headers, kqtrunk.Header{Name: name, Value: string(v)})
		}
	}
	if q.team != nil {
		q.head.Headers = append(q.head.Headers, kqtrunk.Header{Name: n.dialect.Headers.Team, Value: q.team.Name})
	}
	if q.body = e.Request.Body(); len(q.body) <= kqbody.SmallBytes {
		q.body = append([]byte(nil), q.body...)
	}
	n.budget.RecordRequest(n.clock(), q.budgetCall(), q.head.Repeat)
	if !q.deadline.After(n.now()) {
		return q, endOnly(kqcall.NotRun(kqcall.CauseDeadline))
	}
	return q, nil
}

// inheritParent sets the root, class, rank, depth and repeat mark of the call.
// An onward call takes them from the call for which it is made; any other
// request is a root of its own, with the class and rank of its route. A request of a
// team is never an onward call, since backend servers have no keys.
func (n *Node) inheritParent(q *call, came, timeLeft time.Duration) {
	q.becomeRoot()
	if q.team != nil {
		return
	}
	p, found := n.gate.runs.AssignParent(came, q.route.Name, timeLeft)
	if !found {
		return
	}
	q.parent = &p
	q.head.Root, q.head.Class, q.head.Rank, q.head.Order = p.Root, p.Class, p.Rank, p.Order
	q.head.Depth, q.head.Repeat = p.Depth+1, p.Repeat
}

// becomeRoot makes the call a root of its own, with the class and rank of its route.
func (q *call) becomeRoot() {
	q.head.Root, q.head.Class, q.head.Rank = q.head.RequestID, q.route.Name, q.state.Routes.Rank(q.team, q.route)
}

// parseTimeLeft parses the caller's time limit, in milliseconds. Without a valid
// one it returns the largest value, which limits nothing.
func parseTimeLeft(text string) time.Duration {
	milliseconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(milliseconds) || milliseconds < 0 || milliseconds > math.MaxInt32 {
		return math.MaxInt32 * time.Millisecond
	}
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// identifyTeam sets the team that holds the caller's key. It returns false if the
// route needs a key and no team holds this one.
func (q *call) identifyTeam(key []byte) bool {
	if q.route.Public || !q.state.Routes.HasTeams() {
		return true
	}
	var known bool
	q.team, known = q.state.Routes.Team(key)
	return known
}

// endOfUnknownKey returns the end of a request whose key no team holds. A node that may
// have missed newer routes does not say that the key is unknown.
func (n *Node) endOfUnknownKey() kqcall.End {
	if n.routesAreCurrent() {
		return kqcall.NotRun(kqcall.CauseUnknownKey)
	}
	return kqcall.NotRun(kqcall.CauseOutdatedKeys)
}

// isTeamHeader reports whether the header field identifies a caller's team. Backend
// servers get the name that the entry sets, and never a key.
func (n *Node) isTeamHeader(name string) bool {
	h := n.dialect.Headers
	return strings.EqualFold(name, h.Key) || strings.EqualFold(name, h.Team)
}

// isSetByGate reports whether the gate sets the header field itself.
func (n *Node) isSetByGate(name string) bool {
	h := n.dialect.Headers
	for _, reserved := range []string{h.RequestID, h.Deadline, h.ExpectServer, h.CallerService} {
		if strings.EqualFold(name, reserved) {
			return true
		}
	}
	return false
}

// hopByHopHeaders are header fields that apply to one connection, or that are
// set anew for each message. They are not forwarded.
var hopByHopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "proxy-authenticate": true, "proxy-authorization": true,
	"te": true, "trailer": true, "transfer-encoding": true, "upgrade": true, "content-length": true, "host": true, "expect": true,
}

// isEndToEnd reports whether a header field is forwarded.
func isEndToEnd(name string) bool {
	return !hopByHopHeaders[strings.ToLower(name)]
}

// writeAnswer writes the final answer to the caller. A refusal with status 503 or
// 429 has a Retry-After field.
func (n *Node) writeAnswer(e *kqedge.Exchange, o *callAnswer) {
	r := e.Response
	r.Header.SetNoDefaultContentType(true)
	end := o.head.End
	if end.Outcome == kqcall.OutcomeRan {
		r.SetStatusCode(o.head.Status)
		for _, f := range o.head.Headers {
			r.Header.Add(f.Name, f.Value)
		}
		r.SetBodyRaw(o.body)
		e.ReleaseBody = o.head.Release
		return
	}
	r.SetStatusCode(statusOf(o.head))
	if id := e.Request.Header.Peek(n.dialect.Headers.RequestID); len(id) > 0 {
		r.Header.SetBytesV(n.dialect.Headers.RequestID, id)
	}
	if after := retryAfterOf(o.head); after > 0 {
		r.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	r.Header.SetContentType("text/plain")
	r.SetBodyString(string(end.Outcome) + ": " + string(end.Cause) + "\n")
}

// retryAfterOf returns the Retry-After time of an answer, or 0 if it has none.
func retryAfterOf(h kqtrunk.AnswerHead) time.Duration {
	status := statusOf(h)
	if h.End.Outcome != kqcall.OutcomeNotRun || status != fasthttp.StatusServiceUnavailable && status != fasthttp.StatusTooManyRequests {
		return 0
	}
	if h.End.RetryAfter <= 0 {
		return defaultRetryAfter
	}
	return h.End.RetryAfter
}

// statusOf returns the HTTP status of an answer. Status 503 is given only to
// requests that were not run.
func statusOf(h kqtrunk.AnswerHead) int {
	end := h.End
	switch {
	case end.Outcome == kqcall.OutcomeRan:
		return h.Status
	case end.Outcome == kqcall.OutcomeNotRun && end.Cause == kqcall.CauseNoService:
		return fasthttp.StatusNotFound
	case end.Outcome == kqcall.OutcomeNotRun && end.Cause == kqcall.CauseUnknownKey:
		return fasthttp.StatusUnauthorized
	case end.Outcome == kqcall.OutcomeNotRun && end.Cause == kqcall.CauseQuota:
		return fasthttp.StatusTooManyRequests
	case end.Outcome == kqcall.OutcomeNotRun:
		return fasthttp.StatusServiceUnavailable
	case end.Cause == kqcall.CauseDeadline:
		return fasthttp.StatusGatewayTimeout
	}
	return fasthttp.StatusBadGateway
}

// answerUnreadable answers a request that was not read: it is malformed, exceeds
// a limit, or came when the node had no room for it or took no more requests.
func (n *Node) answerUnreadable(response *fasthttp.Response, err error) {
	response.SetStatusCode(kqedge.StatusOf(err))
	if response.StatusCode() == fasthttp.StatusServiceUnavailable {
		response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(defaultRetryAfter.Seconds(), 'f', 3, 64))
	}
	response.Header.SetContentType("text/plain")
	response.SetBodyString(string(kqcall.OutcomeNotRun) + ": " + err.Error() + "\n")
	if reason := kqrequest.ReasonOf(err); reason != "" {
		n.metrics.Count(kqmetric.MalformedRequests, string(reason))
	}
	n.recordDecision(kqlog.Decision{Decision: decisionAnswer, Cause: string(kqcall.CauseBadRequest), Outcome: string(kqcall.OutcomeNotRun), Status: response.StatusCode(), Detail: err.Error()})
}
