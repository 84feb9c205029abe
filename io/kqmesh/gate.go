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
	"kumquatlink/io/kqbody"
	"kumquatlink/io/kqhttp"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqmetric"
	"kumquatlink/io/kqtrunk"
)

// Settings of the gate.
const (
	// defaultSlots is the concurrency limit for a backend server that does not
	// report how many slots it has.
	defaultSlots = 8
	// queueTickInterval is how often the queue checks its timeouts while calls
	// wait.
	queueTickInterval = 20 * time.Millisecond
	// maxIdleTime is how long a connection to the backend server may stay idle.
	// It is below the usual idle timeouts of servers, so that no call is written
	// to a connection that the server is closing.
	maxIdleTime = 4 * time.Second
	// unheardSlots is the concurrency limit of a restarted node until its server
	// has answered: the server may have named a limit to the former process.
	unheardSlots = 3
	// drainQueueShare is the share of the drain time during which calls that
	// wait may still be sent to a draining backend server.
	drainQueueShare = 0.5
	// maxGateBodyMemory bounds the memory in bytes of the large bodies of all calls at
	// the gate. A call beyond it is refused and may run elsewhere.
	maxGateBodyMemory = 48 << 20
)

// gate admits calls to the backend server beside the node and runs them there.
// Apart from health probes, all requests to that server go through it.
type gate struct {
	node *Node
	pool *kqhttp.Pool
	runs *kqlineage.Runs
	// suspects keeps the server from requests that crash it.
	suspects *suspects
	// bodies bounds the memory of the large bodies of calls that wait or run.
	bodies *kqbody.Budget

	mutex   sync.Mutex
	queue   *kqadmit.Queue
	nextID  uint64
	waiting map[uint64]chan kqadmit.Verdict
	ticking bool
	slots   int
	// said is what the latest answer of the server with the notice saidBy says
	// about the server; unreadable reports that a later answer could not be
	// decoded.
	said       kqserver.Statement
	saidBy     kqserver.Notice
	unreadable bool
	// heard reports whether the server has answered since the node was started.
	heard bool
	// refuseWaitingAt is when the calls that still wait are refused because the
	// server drains, on the node's clock, or 0.
	refuseWaitingAt time.Duration
}

func newGate(n *Node) *gate {
	return &gate{
		node: n, queue: kqadmit.New(), waiting: map[uint64]chan kqadmit.Verdict{}, runs: kqlineage.New(), suspects: newSuspects(n),
		bodies: kqbody.NewBudget(maxGateBodyMemory, kqbody.WithLoneBodies()),
		pool: kqhttp.NewPool(n.settings.BackendAddress, kqhttp.WithMaxAge(maxIdleTime), kqhttp.WithAnswerMatcher(n.answerMatches),
			kqhttp.WithBodyBudget(n.memory, answerPatience), kqhttp.WithMaxBodyBytes(maxAnswerBytes)),
	}
}

// answerMatches reports whether an answer carries the ID of the request. Any
// answer matches a request without an ID.
func (n *Node) answerMatches(request *fasthttp.Request, response *fasthttp.Response) bool {
	want := request.Header.Peek(n.dialect.Headers.RequestID)
	return len(want) == 0 || string(response.Header.Peek(n.dialect.Headers.RequestID)) == string(want)
}

// callAnswer is the end of a call, with the backend server's answer if there is
// one.
type callAnswer struct {
	head kqtrunk.AnswerHead
	body []byte
	// fromGate reports whether a gate answered. Otherwise the entry ended the call,
	// or the connection to the gate failed.
	fromGate bool
	// detail is a remark on the end of the call for the log.
	detail string
	// shedBy names the reported admission threshold because of which this node
	// refused the call, if it did.
	shedBy kqshed.Reason
}

// discard gives the memory of the body back.
func (o *callAnswer) discard() {
	o.head.Discard()
	o.head.Release = nil
}

// endOnly returns a callAnswer for a call that ended without an answer of a
// backend server.
func endOnly(end kqcall.End) *callAnswer {
	return &callAnswer{head: kqtrunk.AnswerHead{End: end}}
}

// handleCall handles a call from the entry of a peer, or a request for the
// gate's load only.
func (n *Node) handleCall(ctx context.Context, peer string, head kqtrunk.CallHead, body []byte) (kqtrunk.AnswerHead, []byte) {
	n.observePeerVersion(peer, head.RoutesVersion)
	if head.AskLoad {
		return n.handleLoadRequest(peer, body)
	}
	o := n.gate.run(ctx, head, body)
	if s := n.State(); s.Routes != nil {
		o.head.RoutesVersion = s.Routes.Document().Version
	}
	return o.head, o.body
}

// run admits the call and runs it on the backend server, within the call's time
// budget. The returned answer carries the gate's load.
func (g *gate) run(ctx context.Context, head kqtrunk.CallHead, body []byte) *callAnswer {
	begun := g.node.clock()
	ctx, end := g.node.untilEnd(ctx)
	defer end()
	ctx, cancel := context.WithTimeout(ctx, head.Budget)
	defer cancel()
	o := g.admitAndRun(ctx, head, body)
	o.fromGate = true
	o.head.Load = g.load()
	g.node.recordDecision(kqlog.Decision{
		RequestID: head.RequestID, Root: head.Root, Class: head.Class, Service: head.Service, Decision: decisionAdmit,
		Cause: string(o.head.End.Cause), Outcome: string(o.head.End.Outcome), Chosen: o.head.ServerID,
		Took: g.node.clock() - begun, Left: head.Budget, Queued: o.head.Queue, Load: formatLoad(o.head.Load), Version: head.RoutesVersion,
		Behind: o.shedBy.Service, Age: o.shedBy.Age, Detail: o.detail,
	})
	return o
}

func formatLoad(l kqtrunk.Load) string {
	return fmt.Sprintf("%d running %d waiting of %d", l.InFlight, l.Queued, l.Limit)
}

func (g *gate) admitAndRun(ctx context.Context, head kqtrunk.CallHead, body []byte) *callAnswer {
	s := g.node.State()
	if cause := g.refusalCause(s, head.Service); cause != "" {
		return endOnly(kqcall.NotRun(cause))
	}
	if o := g.node.shedder.refuseAtGate(head); o != nil {
		return o
	}
	freeBody, err := g.bodies.Reserve(len(body))
	if err != nil {
		return endOnly(kqcall.NotRun(kqcall.CauseShedGate))
	}
	defer freeBody()
	begun := g.node.clock()
	o, leave := g.suspects.admit(ctx, head, body)
	if o != nil {
		return o
	}
	defer leave()
	// The state may have changed while the call waited for other suspects.
	s = g.node.State()
	if cause := g.refusalCause(s, head.Service); cause != "" {
		return endOnly(kqcall.NotRun(cause))
	}
	end, admitted := g.admit(ctx, head, s.Server)
	queued := g.node.clock() - begun
	if !admitted {
		o := endOnly(end)
		o.head.Queue = queued
		return o
	}
	o = g.execute(ctx, head, body, s.Server)
	took := g.node.clock() - begun - queued
	o.head.Queue, o.head.Run = queued, took
	g.node.metrics.Time(kqmetric.RunTime, took)
	g.release(ctx, head, o, took)
	return o
}

// refusalCause returns the cause for which the gate refuses every call of the
// service, or an empty one.
func (g *gate) refusalCause(s *State, service string) kqcall.Cause {
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

// admit waits for a slot of the backend server. Without a slot it returns the
// end of the call and false.
func (g *gate) admit(ctx context.Context, head kqtrunk.CallHead, server kqserver.Notice) (kqcall.End, bool) {
	now := g.node.clock()
	item := kqadmit.Item{
		Level: levelOf(head), Class: head.Route, WaitUntilDeadline: head.RunOnce, Deadline: now + head.Budget,
	}
	answer := make(chan kqadmit.Verdict, 1)
	g.mutex.Lock()
	g.setSlots(now, server.Slots)
	g.forgetFormer(now, server)
	if head.HandBack && g.queue.HandsBack(now, item.Level) {
		g.mutex.Unlock()
		return refusalEnd(head, kqcall.CauseHandedBack), false
	}
	g.nextID++
	item.ID = g.nextID
	g.waiting[item.ID] = answer
	g.deliver(g.queue.Offer(now, item))
	g.scheduleTick()
	g.mutex.Unlock()
	select {
	case v := <-answer:
		return endOfVerdict(v)
	case <-ctx.Done():
	}
	if g.cancelWaiting(item.ID) {
		return kqcall.NotRun(causeOfContext(ctx)), false
	}
	v := <-answer
	end, admitted := endOfVerdict(v)
	if admitted {
		g.returnSlot(head)
		return kqcall.NotRun(causeOfContext(ctx)), false
	}
	return end, false
}

// levelOf returns the level by which gates order calls. All calls of one root
// request have the same tie-breaker, so that every service of a call chain
// admits the same requests. A root request has the same level as its onward
// calls, so that both face the same admission threshold.
func levelOf(head kqtrunk.CallHead) kqadmit.Level {
	if head.Order != 0 {
		return kqadmit.OrderedLevel(head.Rank, head.Order)
	}
	return kqadmit.OnwardLevel(kqcall.Head{RequestID: head.Root, Rank: head.Rank})
}

func endOfVerdict(v kqadmit.Verdict) (kqcall.End, bool) {
	if v.Run {
		return kqcall.End{}, true
	}
	return kqcall.End{Outcome: kqcall.OutcomeNotRun, Cause: v.Cause, RetryAfter: v.RetryAfter}, false
}

// setSlots sets the queue's limit to the number of slots that the backend server
// reports, or to fewer until it is known whether it names a limit. The mutex is
// held.
func (g *gate) setSlots(now time.Duration, slots int) {
	if slots <= 0 {
		slots = defaultSlots
	}
	if !g.heard && !g.node.settings.FirstStart {
		slots = min(slots, unheardSlots)
	}
	if slots == g.slots {
		return
	}
	g.slots = slots
	g.deliver(g.queue.SetLimit(now, slots))
}

// scheduleTick schedules the next tick of the queue while calls wait. The mutex
// is held.
func (g *gate) scheduleTick() {
	if g.ticking || len(g.waiting) == 0 {
		return
	}
	g.ticking = true
	time.AfterFunc(queueTickInterval, g.tick)
}

func (g *gate) tick() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.ticking = false
	now := g.node.clock()
	if g.refuseWaitingAt > 0 && now >= g.refuseWaitingAt {
		g.refuseWaiting()
	}
	g.deliver(g.queue.Tick(now))
	g.scheduleTick()
}

// startDrain sets a time after which calls that still wait are refused, since
// the draining backend server may not be sent any calls later on.
func (g *gate) startDrain() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.node.State().ServerState == kqserver.Ready {
		return
	}
	if g.refuseWaitingAt == 0 {
		g.refuseWaitingAt = g.node.clock() + time.Duration(drainQueueShare*float64(g.node.tunables.Load().DrainTime))
	}
	g.scheduleTick()
}

// refuseWaiting refuses all calls that wait. The mutex is held.
func (g *gate) refuseWaiting() {
	for id, answer := range g.waiting {
		if g.queue.Cancel(id) {
			answer <- kqadmit.Verdict{ID: id, Cause: kqcall.CauseDraining}
			delete(g.waiting, id)
		}
	}
	g.refuseWaitingAt = 0
}

// cancelWaiting removes a call from the queue. It returns false if the call's
// verdict was delivered already.
func (g *gate) cancelWaiting(id uint64) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.queue.Cancel(id) {
		return false
	}
	delete(g.waiting, id)
	return true
}

// deliver sends verdicts to the goroutines of their calls. The mutex is held.
func (g *gate) deliver(verdicts []kqadmit.Verdict) {
	for _, v := range verdicts {
		g.waiting[v.ID] <- v
		delete(g.waiting, v.ID)
	}
}

// returnSlot returns a slot that was not used.
func (g *gate) returnSlot(head kqtrunk.CallHead) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.deliver(g.queue.Done(g.node.clock(), kqadmit.Completion{Level: levelOf(head), Class: head.Route}))
}

// release returns the slot of a call that has run. The time that the call took
// is a sample of its class's service time if the server answered, or if the call
// reached its deadline; other failures say nothing about the service time.
func (g *gate) release(ctx context.Context, head kqtrunk.CallHead, o *callAnswer, took time.Duration) {
	isSample := o.head.End.Outcome == kqcall.OutcomeRan ||
		o.head.End.Outcome == kqcall.OutcomeUnknown && errors.Is(ctx.Err(), context.DeadlineExceeded)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.deliver(g.queue.Done(g.node.clock(), kqadmit.Completion{
		Level: levelOf(head), Class: head.Route, Took: took, IsSample: isSample,
	}))
}

// load returns the gate's load report, with its admission threshold and the
// strictest thresholds further down the call chain.
func (g *gate) load() kqtrunk.Load {
	downstream := g.node.shedder.downstreamThresholds()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.deliver(g.queue.Tick(g.node.clock()))
	l := kqtrunk.Load{InFlight: g.queue.InFlight(), Queued: g.queue.Waiting(), Limit: g.queue.Capacity(), Deep: downstream}
	if g.said.Limited {
		l.LimitWithheld = g.queue.Threshold().Withheld()
	} else {
		l.Withheld = g.queue.Threshold().Withheld()
	}
	return l
}

// activeCalls returns the number of calls that wait or run.
func (g *gate) activeCalls() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.queue.InFlight() + g.queue.Waiting() + g.suspects.waitingCalls()
}

// execute runs an admitted call on the backend server.
func (g *gate) execute(ctx context.Context, head kqtrunk.CallHead, body []byte, server kqserver.Notice) *callAnswer {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	begun := g.node.clock()
	run, ends := g.runs.Begin(begun, kqlineage.Run{
		Root: head.Root, Class: head.Class, Rank: head.Rank, Order: head.Order, Depth: head.Depth, Route: head.Route, Repeat: head.Repeat, Deadline: g.deadlineOf(ctx),
	})
	g.node.shedder.recordRun(head.Class)
	g.fillRequest(request, head, body, server.ServerID, ends-begun)
	handedOver := g.suspects.begin(head, body, server)
	release, err := g.pool.DoHeld(ctx, request, response)
	o := g.readAnswer(ctx, response, err)
	if o.head.Release = release; len(o.body) == 0 {
		o.discard()
	}
	g.suspects.end(handedOver, o.head.End)
	if err == nil && o.head.End.Cause != kqcall.CauseMoved && o.head.End.Cause != kqcall.CauseBackendLost {
		g.observeStatement(&response.Header, server)
	}
	o.head.ServerID, o.head.Onward = server.ServerID, g.runs.End(g.node.clock(), run)
	return o
}

func (g *gate) fillRequest(request *fasthttp.Request, head kqtrunk.CallHead, body []byte, serverID string, left time.Duration) {
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

// deadlineOf returns the deadline of ctx, on the node's clock.
func (g *gate) deadlineOf(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return deadline.Sub(g.node.started)
}

// notRunStatuses are the statuses from which callers conclude that their request
// was not run.
var notRunStatuses = map[int]bool{
	fasthttp.StatusRequestTimeout: true, fasthttp.StatusTooManyRequests: true, fasthttp.StatusServiceUnavailable: true,
}

// readAnswer converts the backend server's answer, or the error in place of one,
// to the end of the call.
func (g *gate) readAnswer(ctx context.Context, response *fasthttp.Response, err error) *callAnswer {
	if err != nil {
		o := endOnly(endOfBackendError(ctx, err))
		o.detail = err.Error()
		return o
	}
	status := response.StatusCode()
	notRun := len(response.Header.Peek(g.node.dialect.Headers.NotRun)) > 0
	switch {
	case status == fasthttp.StatusMisdirectedRequest:
		return endOnly(kqcall.NotRun(kqcall.CauseMoved))
	case notRun:
		return endOnly(kqcall.NotRun(kqcall.CauseBackendShed))
	case notRunStatuses[status]:
		// Callers would conclude that the request was not run, but the backend
		// server did not set the header that says so.
		return endOnly(kqcall.Unknown(kqcall.CauseBackendLost))
	case len(response.Header.ContentEncoding()) > 0:
		// Backend servers send no encoded bodies, so something else answered.
		return endOnly(kqcall.Unknown(kqcall.CauseBackendLost))
	}
	o := endOnly(kqcall.Ran())
	o.head.Status = status
	o.body = response.Body()
	for k, v := range response.Header.All() {
		if isEndToEnd(string(k)) {
			o.head.Headers = append(o.head.Headers, kqtrunk.Header{Name: string(k), Value: string(v)})
		}
	}
	return g.node.rejectSpoiled(o)
}

// endOfBackendError returns the end of a call whose connection to the backend
// server failed. The outcome is unknown unless the request was not sent.
func endOfBackendError(ctx context.Context, err error) kqcall.End {
	cause := kqcall.CauseBackendLost
	switch {
	case ctx.Err() != nil:
		cause = causeOfContext(ctx)
	case errors.Is(err, kqbody.ErrNoRoom):
		cause = kqcall.CauseNoMemory
	case errors.Is(err, kqhttp.ErrSilent):
		cause = kqcall.CauseBackendSilent
	}
	if errors.Is(err, kqhttp.ErrNotSent) {
		return kqcall.NotRun(cause)
	}
	return kqcall.Unknown(cause)
}

// causeOfContext returns the cause for which the context of a call has ended.
func causeOfContext(ctx context.Context) kqcall.Cause {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return kqcall.CauseDeadline
	case errors.Is(context.Cause(ctx), errNodeEnds):
		return kqcall.CauseDraining
	}
	return kqcall.CauseCallerGone
}
