package kqnode

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqretry"
	"kumquatlink/io/kqhttp"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqwire"
)

// maxRequestIDLength is the maximum length, in bytes, of a request ID that a
// caller sets.
const maxRequestIDLength = 64

// handleCaller handles a call from a caller outside the fleet.
func (n *Node) handleCaller(c *fasthttp.RequestCtx) {
	q := readCall(c)
	q.head.RequestID = string(c.Request.Header.Peek(kqwire.HeaderRequestID))
	q.idFromCaller = q.head.RequestID != ""
	if !q.idFromCaller {
		q.head.RequestID = newID()
	}
	done, accepting := n.work.enter()
	defer done()
	if !accepting {
		c.SetConnectionClose()
		n.serve(c, q, kqcall.CauseDraining)
		return
	}
	cause := n.classify(q, string(c.Request.Header.Peek(kqwire.HeaderClass)), string(c.Request.Header.Peek(kqwire.HeaderBudget)))
	n.serve(c, q, cause)
}

// classify finds the class of a caller's call and sets the class, rank, budget
// and retries of its head. A call without a class header has the class of its
// service. It returns the cause for which the call is refused, or an empty one.
func (n *Node) classify(q *call, class, budget string) kqcall.Cause {
	if !validRequestID(q.head.RequestID) {
		q.head.RequestID = newID()
		return kqcall.CauseBadRequest
	}
	s := n.State()
	if s.Classes == nil {
		return kqcall.CauseNoConfiguration
	}
	if !s.Members.KnowsService(q.head.Service) {
		return kqcall.CauseNoService
	}
	rule, found := s.Classes.ForService(q.head.Service)
	if class != "" {
		rule, found = s.Classes.Find(class)
	}
	if !found {
		return kqcall.CauseNoClass
	}
	left, cause := budgetOf(rule, budget)
	if cause != "" {
		return cause
	}
	q.head.Class = rule.Class.Name
	q.head.Rank = rule.Rank
	q.head.Repeatable = !rule.Class.RunOnce
	q.head.Budget = left
	q.head.Retries = kqretry.MaxPerRequest
	return ""
}

// budgetOf returns the time budget of a call: the deadline of its class, or the
// budget header's value in milliseconds if that is shorter. If the header is
// malformed or not positive, it returns the cause for which the call is refused.
func budgetOf(rule kqclass.Rule, text string) (time.Duration, kqcall.Cause) {
	if text == "" {
		return rule.Deadline(), ""
	}
	milliseconds, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return 0, kqcall.CauseBadRequest
	}
	if milliseconds <= 0 {
		return 0, kqcall.CauseDeadline
	}
	return min(rule.Deadline(), time.Duration(milliseconds)*time.Millisecond), ""
}

// validRequestID reports whether an ID is short enough and has only printable
// ASCII characters other than blanks, quotes and backslashes.
func validRequestID(id string) bool {
	if len(id) > maxRequestIDLength {
		return false
	}
	for _, r := range id {
		if r <= ' ' || r > '~' || r == '"' || r == '\\' {
			return false
		}
	}
	return true
}

// handleBackend handles onward calls and announcements of the backend server on
// this host.
func (n *Node) handleBackend(c *fasthttp.RequestCtx) {
	if string(c.Path()) == kqwire.PathAnnounce {
		n.handleAnnouncement(c)
		return
	}
	q := readCall(c)
	parent := n.gate.findRunning(string(c.Request.Header.Peek(kqwire.HeaderContext)))
	if parent != nil {
		parent.onward.begin(n.now())
		defer func() { parent.onward.end(n.now()) }()
	}
	n.serve(c, q, n.inheritParent(q, parent))
}

// inheritParent sets the head of an onward call, which apart from service and
// key comes from the call for which it is made. It returns the cause for which
// the onward call is refused, or an empty one.
func (n *Node) inheritParent(q *call, parent *runningCall) kqcall.Cause {
	if parent == nil {
		q.head.RequestID = newID()
		return kqcall.CauseParentOver
	}
	left := parent.deadline.Sub(n.now())
	key := q.head.Key
	q.parent = parent
	q.head = parent.head.Onward(q.head.Service, left)
	q.head.Key = key
	if q.head.Depth >= kqcall.MaxDepth {
		return kqcall.CauseDepth
	}
	if left <= 0 {
		return kqcall.CauseDeadline
	}
	if !n.State().Members.KnowsService(q.head.Service) {
		return kqcall.CauseNoService
	}
	return ""
}

// serve runs a call, logs how it ended and answers it. A call with a cause is
// refused for that cause instead of being run. Repeatable calls without a key,
// whose ID was set by the caller, share a run with copies of themselves.
func (n *Node) serve(c *fasthttp.RequestCtx, q *call, cause kqcall.Cause) {
	begun := n.now()
	r := notRun(cause)
	switch {
	case cause != "":
	case q.idFromCaller && q.head.Repeatable && q.head.Key == "":
		r = n.runShared(c, q)
	default:
		r = n.runOnPool(c, q)
	}
	if q.parent != nil && r.end.Outcome != kqcall.OutcomeNotRun {
		q.parent.onward.markPossiblyRan()
	}
	n.recordDecision(kqlog.Decision{
		RequestID: q.head.RequestID, Class: q.head.Class, Service: q.head.Service, Decision: decisionAnswer,
		Cause: string(r.end.Cause), Outcome: string(r.end.Outcome), Took: n.now().Sub(begun),
	})
	if q.idFromCaller && r.end.Outcome != kqcall.OutcomeRan {
		n.failed.Add(q.head.RequestID, n.now())
	}
	writeAnswer(c, q.head.RequestID, r)
}

// runOnPool runs a call on the pool and waits for its end. The call is cancelled
// when its caller closes the connection or when its parent ends.
func (n *Node) runOnPool(c *fasthttp.RequestCtx, q *call) *callAnswer {
	parent := context.Background()
	if q.parent != nil {
		parent = q.parent.ctx
	}
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	defer kqhttp.OnDisconnect(c.Conn(), cancel)()
	done := make(chan *callAnswer, 1)
	if err := n.pool.Submit(func() { done <- n.dispatch(ctx, q) }); err != nil {
		return notRun(kqcall.CausePoolFull)
	}
	return <-done
}

// dispatch refuses a call that is shed at the entry, and otherwise sends it to
// the home of its key or to an upstream, within its budget.
func (n *Node) dispatch(ctx context.Context, q *call) *callAnswer {
	q.resent = q.resent || (q.idFromCaller && n.failed.Has(q.head.RequestID, n.now()))
	n.router.recordTry(q)
	if r := n.shed.refuseAtEntry(q); r != nil {
		return r
	}
	ctx, cancel := withBudget(ctx, q.head)
	defer cancel()
	if q.needsKeyHome() {
		return n.keys.dispatch(ctx, q)
	}
	return n.router.route(ctx, q)
}

// handleAnnouncement passes an announcement of the backend server to the control
// goroutine.
func (n *Node) handleAnnouncement(c *fasthttp.RequestCtx) {
	var a kqwire.Announcement
	if err := json.Unmarshal(c.PostBody(), &a); err != nil || !kqclass.ValidName(a.Service) || a.Address == "" {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		c.SetBodyString("want {\"Service\", \"Address\", \"Slots\", \"State\"}\n")
		return
	}
	n.control.send(announcementEvent{backend: &Backend{Announcement: a}})
}
