package kqmesh

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqadmit"
	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqlineage"
	"kumquatlink/core/kqserver"
	"kumquatlink/core/kqshed"
	"kumquatlink/io/kqhttp"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqmetric"
	"kumquatlink/io/kqtrunk"
)

// Settings of the gate.
const (
	// assumedSlots is used for a backend server that does not tell its slots.
	assumedSlots = 8
	// queueTick is how often the queue sees that time passes while calls wait.
	queueTick = 20 * time.Millisecond
	// idleAge is how long a connection to the backend server may stay idle; it
	// is below the idle timeouts that servers usually have.
	idleAge = 4 * time.Second
	// drainWait is how long calls that wait at a draining server may still be
	// handed over, as a part of the time for which it goes on serving.
	drainWait = 0.5
)

// gate is the only thing that hands work to the backend server.
type gate struct {
	node *Node
	pool *kqhttp.Pool
	runs *kqlineage.Runs

	mutex   sync.Mutex
	queue   *kqadmit.Queue
	nextID  uint64
	waiting map[uint64]chan kqadmit.Verdict
	ticking bool
	slots   int
	// closeAt is when calls that wait are refused since the server drains, on
	// the node's clock, or 0.
	closeAt time.Duration
}

func newGate(n *Node) *gate {
	return &gate{
		node: n, queue: kqadmit.New(), waiting: map[uint64]chan kqadmit.Verdict{}, runs: kqlineage.New(),
		pool: kqhttp.NewPool(n.settings.BackendAddress, kqhttp.WithMaxAge(idleAge), kqhttp.WithMatches(n.answersRequest)),
	}
}

// answersRequest is whether an answer names the request.
func (n *Node) answersRequest(request *fasthttp.Request, response *fasthttp.Response) bool {
	want := request.Header.Peek(n.dialect.Headers.RequestID)
	return len(want) == 0 || string(response.Header.Peek(n.dialect.Headers.RequestID)) == string(want)
}

// outcome is the end of a call at a gate, with the answer if there is one.
type outcome struct {
	head kqtrunk.AnswerHead
	body []byte
	// heard is whether a gate answered at all.
	heard bool
	// shedBy is the cut for which this node refused the call, if it did.
	shedBy kqshed.Reason
}

func ended(end kqcall.End) *outcome {
	return &outcome{head: kqtrunk.AnswerHead{End: end}}
}

// handleCall runs a call that a peer's entry sent.
func (n *Node) handleCall(ctx context.Context, peer string, head kqtrunk.CallHead, body []byte) (kqtrunk.AnswerHead, []byte) {
	n.observePeerVersion(peer, head.RoutesVersion)
	if head.AskLoad {
		return kqtrunk.AnswerHead{End: kqcall.NotRun(""), Load: n.gate.load()}, nil
	}
	o := n.gate.run(ctx, head, body)
	if s := n.State(); s.Routes != nil {
		o.head.RoutesVersion = s.Routes.Document().Version
	}
	return o.head, o.body
}

// run admits the call and runs it on the backend server, within its budget.
func (g *gate) run(ctx context.Context, head kqtrunk.CallHead, body []byte) *outcome {
	begun := g.node.clock()
	ctx, cancel := context.WithTimeout(ctx, head.Budget)
	defer cancel()
	o := g.admitAndRun(ctx, head, body)
	o.heard = true
	o.head.Load = g.load()
	g.node.recordDecision(kqlog.Decision{
		RequestID: head.RequestID, Root: head.Root, Class: head.Class, Service: head.Service, Decision: decisionAdmit,
		Cause: string(o.head.End.Cause), Outcome: string(o.head.End.Outcome), Chosen: o.head.ServerID,
		Took: g.node.clock() - begun, Left: head.Budget, Queued: o.head.Queue, Load: loadText(o.head.Load), Version: head.RoutesVersion,
		Behind: o.shedBy.Service, Age: o.shedBy.Age,
	})
	return o
}

func loadText(l kqtrunk.Load) string {
	return fmt.Sprintf("%d running %d waiting of %d", l.InFlight, l.Queued, l.Limit)
}

func (g *gate) admitAndRun(ctx context.Context, head kqtrunk.CallHead, body []byte) *outcome {
	s := g.node.State()
	if cause := g.closedBy(s, head.Service); cause != "" {
		return ended(kqcall.NotRun(cause))
	}
	if o := g.node.shedder.refusesBehind(head); o != nil {
		return o
	}
	begun := g.node.clock()
	end, admitted := g.admit(ctx, head, s.Server.Slots)
	queued := g.node.clock() - begun
	if !admitted {
		o := ended(end)
		o.head.Queue = queued
		return o
	}
	o := g.handOver(ctx, head, body, s.Server.ServerID)
	took := g.node.clock() - begun - queued
	o.head.Queue, o.head.Run = queued, took
	g.node.metrics.Time(kqmetric.RunTime, took)
	g.release(ctx, head, o, took)
	return o
}

// closedBy says why the gate takes no call of the service at all, or nothing.
func (g *gate) closedBy(s *State, service string) kqcall.Cause {
	switch {
	case service != g.node.settings.Service:
		return kqcall.CauseMoved
	case s.ServerState == kqserver.Draining || s.ServerState == kqserver.Gone || s.Leaving:
		return kqcall.CauseDraining
	case s.ServerState != kqserver.Ready:
		return kqcall.CauseNoUpstream
	}
	return ""
}

// admit takes a slot of the backend server, or says why there is none.
func (g *gate) admit(ctx context.Context, head kqtrunk.CallHead, slots int) (kqcall.End, bool) {
	now := g.node.clock()
	item := kqadmit.Item{
		Level: levelOf(head), Class: head.Route, WaitUntilDeadline: head.RunOnce, Deadline: now + head.Budget,
	}
	answer := make(chan kqadmit.Verdict, 1)
	g.mutex.Lock()
	g.meet(now, slots)
	g.nextID++
	item.ID = g.nextID
	g.waiting[item.ID] = answer
	g.deliver(g.queue.Offer(now, item))
	g.keepTicking()
	g.mutex.Unlock()
	select {
	case v := <-answer:
		return verdictEnd(v)
	case <-ctx.Done():
	}
	if g.abandon(item.ID) {
		return kqcall.NotRun(goneCause(ctx)), false
	}
	v := <-answer
	end, admitted := verdictEnd(v)
	if admitted {
		g.giveBack(head)
		return kqcall.NotRun(goneCause(ctx)), false
	}
	return end, false
}

// levelOf orders calls at a gate. All calls of one request have the same tie,
// so that every service of a chain keeps the same requests. A request counts
// like the onward calls of its rank: it has to get past the same cut.
func levelOf(head kqtrunk.CallHead) kqadmit.Level {
	return kqadmit.OnwardLevel(kqcall.Head{RequestID: head.Root, Rank: head.Rank})
}

func verdictEnd(v kqadmit.Verdict) (kqcall.End, bool) {
	if v.Run {
		return kqcall.End{}, true
	}
	return kqcall.End{Outcome: kqcall.OutcomeNotRun, Cause: v.Cause, RetryAfter: v.RetryAfter}, false
}

// meet takes over the number of slots that the backend server tells.
func (g *gate) meet(now time.Duration, slots int) {
	if slots <= 0 {
		slots = assumedSlots
	}
	if slots == g.slots {
		return
	}
	g.slots = slots
	g.deliver(g.queue.SetLimit(now, slots))
}

// keepTicking lets the queue see that time passes while calls wait. The mutex
// is held.
func (g *gate) keepTicking() {
	if g.ticking || len(g.waiting) == 0 {
		return
	}
	g.ticking = true
	time.AfterFunc(queueTick, g.tick)
}

func (g *gate) tick() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.ticking = false
	now := g.node.clock()
	if g.closeAt > 0 && now >= g.closeAt {
		g.refuseWaiting()
	}
	g.deliver(g.queue.Tick(now))
	g.keepTicking()
}

// startDrain has the calls that wait handed over soon or refused, since the backend
// server may not be handed any later on.
func (g *gate) startDrain() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.node.State().ServerState == kqserver.Ready {
		return
	}
	if g.closeAt == 0 {
		g.closeAt = g.node.clock() + time.Duration(drainWait*float64(g.node.tunables.Load().DrainTime))
	}
	g.keepTicking()
}

func (g *gate) refuseWaiting() {
	for id, answer := range g.waiting {
		if g.queue.Cancel(id) {
			answer <- kqadmit.Verdict{ID: id, Cause: kqcall.CauseDraining}
			delete(g.waiting, id)
		}
	}
	g.closeAt = 0
}

func (g *gate) abandon(id uint64) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.queue.Cancel(id) {
		return false
	}
	delete(g.waiting, id)
	return true
}

// deliver hands verdicts to the calls that wait for them. The mutex is held.
func (g *gate) deliver(verdicts []kqadmit.Verdict) {
	for _, v := range verdicts {
		g.waiting[v.ID] <- v
		delete(g.waiting, v.ID)
	}
}

// giveBack returns a slot that was not used.
func (g *gate) giveBack(head kqtrunk.CallHead) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.deliver(g.queue.Done(g.node.clock(), kqadmit.Completion{Level: levelOf(head), Class: head.Route}))
}

// release gives the slot back and learns from how the call went.
func (g *gate) release(ctx context.Context, head kqtrunk.CallHead, o *outcome, took time.Duration) {
	counts := o.head.End.Outcome == kqcall.OutcomeRan ||
		o.head.End.Outcome == kqcall.OutcomeUnknown && errors.Is(ctx.Err(), context.DeadlineExceeded)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.deliver(g.queue.Done(g.node.clock(), kqadmit.Completion{
		Level: levelOf(head), Class: head.Route, Took: took, IsSample: counts,
	}))
}

// load is what the gate tells of itself.
func (g *gate) load() kqtrunk.Load {
	deep := g.node.shedder.deep()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.deliver(g.queue.Tick(g.node.clock()))
	return kqtrunk.Load{
		InFlight: g.queue.InFlight(), Queued: g.queue.Waiting(), Limit: g.slots, Withheld: g.queue.Threshold().Withheld(), Deep: deep,
	}
}

// activeCalls is how many calls wait or run.
func (g *gate) activeCalls() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.queue.InFlight() + g.queue.Waiting()
}

// handOver runs the call on the backend server.
func (g *gate) handOver(ctx context.Context, head kqtrunk.CallHead, body []byte, serverID string) *outcome {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	begun := g.node.clock()
	run, ends := g.runs.Begin(begun, kqlineage.Run{
		Root: head.Root, Class: head.Class, Rank: head.Rank, Depth: head.Depth, Route: head.Route, Repeat: head.Repeat, Deadline: g.endOf(ctx),
	})
	g.node.shedder.ran(head.Class)
	g.fill(request, head, body, serverID, ends-begun)
	response.SkipBody = request.Header.IsHead()
	err := g.pool.Do(ctx, request, response)
	o := g.read(ctx, response, err)
	o.head.ServerID, o.head.Onward = serverID, g.runs.End(g.node.clock(), run)
	return o
}

func (g *gate) fill(request *fasthttp.Request, head kqtrunk.CallHead, body []byte, serverID string, left time.Duration) {
	h := g.node.dialect.Headers
	request.Header.SetNoDefaultContentType(true)
	request.Header.SetMethod(head.Method)
	request.SetRequestURI(head.Path)
	for _, f := range head.Headers {
		request.Header.Add(f.Name, f.Value)
	}
	request.Header.SetHost(head.Host)
	request.Header.Set(h.Deadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	request.Header.Set(h.ExpectServer, serverID)
	request.Header.Set(h.CallerService, head.From)
	if head.RequestID != "" {
		request.Header.Set(h.RequestID, head.RequestID)
	}
	request.SetBodyRaw(body)
}

// endOf is when the time of a call is over, on the node's clock.
func (g *gate) endOf(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return deadline.Sub(g.node.started)
}

// promises are the statuses that tell a caller that its request was not run.
var promises = map[int]bool{
	fasthttp.StatusRequestTimeout: true, fasthttp.StatusTooManyRequests: true, fasthttp.StatusServiceUnavailable: true,
}

// read turns an answer, or the lack of one, into the end of the call.
func (g *gate) read(ctx context.Context, response *fasthttp.Response, err error) *outcome {
	if err != nil {
		return ended(backendEnd(ctx, err))
	}
	status := response.StatusCode()
	notRun := len(response.Header.Peek(g.node.dialect.Headers.NotRun)) > 0
	switch {
	case status == fasthttp.StatusMisdirectedRequest:
		return ended(kqcall.NotRun(kqcall.CauseMoved))
	case notRun:
		return ended(kqcall.NotRun(kqcall.CauseBackendShed))
	case promises[status]:
		// The status says to callers that the request was not run, which the
		// backend server has not said.
		return ended(kqcall.Unknown(kqcall.CauseBackendLost))
	case len(response.Header.ContentEncoding()) > 0:
		// The backend server sends no encoded bodies, so this is not its own.
		return ended(kqcall.Unknown(kqcall.CauseBackendLost))
	}
	o := ended(kqcall.Ran())
	o.head.Status = status
	o.body = append([]byte(nil), response.Body()...)
	for k, v := range response.Header.All() {
		if isEndToEnd(string(k)) {
			o.head.Headers = append(o.head.Headers, kqtrunk.Header{Name: string(k), Value: string(v)})
		}
	}
	return o
}

// backendEnd turns the error of the backend server's connection into the end
// of the call.
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

// goneCause says why the call's context has ended.
func goneCause(ctx context.Context) kqcall.Cause {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return kqcall.CauseDeadline
	}
	return kqcall.CauseCallerGone
}
