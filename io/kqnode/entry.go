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

// maxRequestIDLength bounds a request ID that a caller chose.
const maxRequestIDLength = 64

// handleCaller takes a call from a caller outside the fleet.
func (n *Node) handleCaller(c *fasthttp.RequestCtx) {
	q := readCall(c)
	q.head.RequestID = string(c.Request.Header.Peek(kqwire.HeaderRequestID))
	q.named = q.head.RequestID != ""
	if !q.named {
		q.head.RequestID = newID()
	}
	leave, open := n.work.enter()
	defer leave()
	if !open {
		c.SetConnectionClose()
		n.serve(c, q, kqcall.CauseDraining)
		return
	}
	cause := n.classify(q, string(c.Request.Header.Peek(kqwire.HeaderClass)), string(c.Request.Header.Peek(kqwire.HeaderBudget)))
	n.serve(c, q, cause)
}

// classify fills in what the class of a caller's call decides.
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

// budgetOf is the class's deadline unless the caller gives a nearer one.
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

// handleBackend takes onward calls and announcements of the backend server on
// this host.
func (n *Node) handleBackend(c *fasthttp.RequestCtx) {
	if string(c.Path()) == kqwire.PathAnnounce {
		n.handleAnnouncement(c)
		return
	}
	q := readCall(c)
	parent := n.gate.find(string(c.Request.Header.Peek(kqwire.HeaderContext)))
	if parent != nil {
		parent.onward.begin(n.now())
		defer func() { parent.onward.end(n.now()) }()
	}
	n.serve(c, q, n.adopt(q, parent))
}

// adopt fills in what an onward call takes from the call it is made for.
func (n *Node) adopt(q *call, parent *running) kqcall.Cause {
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

// serve runs a call on the pool and answers it. The answer goes out as soon as
// it is final.
func (n *Node) serve(c *fasthttp.RequestCtx, q *call, cause kqcall.Cause) {
	begun := n.now()
	r := notRun(cause)
	switch {
	case cause != "":
	case q.named && q.head.Repeatable && q.head.Key == "":
		r = n.runShared(c, q)
	default:
		r = n.runOnPool(c, q)
	}
	if q.parent != nil && r.end.Outcome != kqcall.OutcomeNotRun {
		q.parent.onward.mark()
	}
	n.recordDecision(kqlog.Decision{
		RequestID: q.head.RequestID, Class: q.head.Class, Service: q.head.Service, Decision: decisionAnswer,
		Cause: string(r.end.Cause), Outcome: string(r.end.Outcome), Took: n.now().Sub(begun),
	})
	if q.named && r.end.Outcome != kqcall.OutcomeRan {
		n.failed.Add(q.head.RequestID, n.now())
	}
	writeResult(c, q.head.RequestID, r)
}

// runOnPool runs a call on the pool until it ends or its caller has gone,
// which cancels it.
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

// dispatch routes a call within its budget.
func (n *Node) dispatch(ctx context.Context, q *call) *callAnswer {
	q.resent = q.resent || (q.named && n.failed.Has(q.head.RequestID, n.now()))
	n.router.countTry(q)
	if r := n.shed.refuses(q); r != nil {
		return r
	}
	ctx, cancel := withBudget(ctx, q.head)
	defer cancel()
	if q.needsKeyHome() {
		return n.keys.dispatch(ctx, q)
	}
	return n.router.route(ctx, q)
}

func (n *Node) handleAnnouncement(c *fasthttp.RequestCtx) {
	var a kqwire.Announcement
	if err := json.Unmarshal(c.PostBody(), &a); err != nil || !kqclass.ValidName(a.Service) || a.Address == "" {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		c.SetBodyString("want {\"Service\", \"Address\", \"Slots\", \"State\"}\n")
		return
	}
	n.control.send(announceEvent{backend: &Backend{Announcement: a}})
}
