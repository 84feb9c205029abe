package kqnode

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqretry"
	"kumquatlink/core/kqroute"
	"kumquatlink/io/kqlink"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqsettings"
)

// callOverheadBytes is what a call and its answer need besides their bodies,
// for the allowance between regions.
const callOverheadBytes = 1024

// router sends calls to the nodes beside upstreams.
type router struct {
	node      *Node
	throttle  *kqretry.Throttle
	needs     *kqroute.ErrorBudgets
	allowance *kqroute.BandwidthLimiter
	usable    func(u *kqroute.Upstream) bool

	mutex  sync.RWMutex
	tables map[string]*serviceTable
}

// serviceTable is a table and the records that it was made of.
type serviceTable struct {
	records []kqmember.Record
	table   *kqroute.Table
}

func newRouter(n *Node) *router {
	rate := n.settings.RegionLinkBytesPerSecond
	if rate <= 0 {
		rate = kqsettings.DefaultRegionLinkBytesPerSecond
	}
	r := &router{
		node:      n,
		throttle:  kqretry.NewThrottle(),
		needs:     kqroute.NewErrorBudgets(),
		allowance: kqroute.NewBandwidthLimiter(rate),
		tables:    map[string]*serviceTable{},
	}
	r.usable = r.isUsable
	return r
}

// isUsable is whether the upstream's link is not known to be down.
func (r *router) isUsable(u *kqroute.Upstream) bool {
	return u.Record.NodeID == r.node.settings.NodeID || r.node.dialer.Usable(u.Record.Address)
}

// usableFor leaves out the gates that a call with a key must not use.
func (r *router) usableFor(q *call) func(*kqroute.Upstream) bool {
	if len(q.avoid) == 0 {
		return r.usable
	}
	return func(u *kqroute.Upstream) bool { return !q.avoid[u.Record.NodeID] && r.usable(u) }
}

// table gives the table of a service as the fleet's records stand.
func (r *router) table(service string) *kqroute.Table {
	members := r.node.State().Members
	records := members.Upstreams(service)
	r.mutex.RLock()
	held := r.tables[service]
	r.mutex.RUnlock()
	if held != nil && sameRecords(held.records, records) {
		return held.table
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var former *kqroute.Table
	if held = r.tables[service]; held != nil {
		if sameRecords(held.records, records) {
			return held.table
		}
		former = held.table
	}
	t := kqroute.NewTable(members.Own, records, former, r.node.now())
	r.tables[service] = &serviceTable{records: records, table: t}
	return t
}

// sameRecords is whether the lists hold the same versions.
func sameRecords(a, b []kqmember.Record) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].NodeID != b[i].NodeID || a[i].Newer(b[i]) || b[i].Newer(a[i]) {
			return false
		}
	}
	return true
}

// route sends the call to an upstream, and to others while it may be retried
// and the allowance lasts.
func (r *router) route(ctx context.Context, q *call) *callAnswer {
	if q.parent != nil {
		return r.try(ctx, q, &q.parent.retries)
	}
	held := kqretry.NewAllowance(q.head.Retries)
	answer := r.try(ctx, q, held)
	answer.retriesLeft = held.Close()
	return answer
}

// try sends the call with a grant from the allowance that is held, until it
// has an answer that stands.
func (r *router) try(ctx context.Context, q *call, held *kqretry.Allowance) *callAnswer {
	ask := kqroute.PickInfo{AllowOtherRegion: r.needsFar(q), AllowProbe: q.head.Repeatable, Usable: r.usableFor(q), Bandwidth: r.allowance}
	last := notRun(kqcall.CauseNoUpstream)
	var doubt *callAnswer
	for {
		ask.Now, ask.Random = r.node.now(), rand.Uint64()
		table := r.table(q.head.Service)
		upstream := table.Pick(ask)
		if upstream == nil {
			return r.settle(q, last, doubt)
		}
		ask.Tried.Add(upstream)
		q.head.Retries = held.Grant()
		last = r.sendTo(ctx, q, upstream)
		r.node.shed.heard(q, upstream.Record.NodeID, last)
		held.PutBack(last.retriesLeft, q.head.Retries)
		r.node.recordDecision(kqlog.Decision{
			RequestID: q.head.RequestID, Class: q.head.Class, Service: q.head.Service, Decision: decisionRoute,
			Cause: string(last.end.Cause), Outcome: string(last.end.Outcome),
			Chosen: upstream.Record.NodeID, Others: table.Others(upstream),
		})
		if last.end.Outcome == kqcall.OutcomeUnknown {
			doubt = last
		}
		if ctx.Err() != nil || !mayRepeat(q, last.end) || r.node.shed.refuses(q) != nil || !r.drawRetry(held) {
			return r.settle(q, last, doubt)
		}
	}
}

// needsFar is whether the call's class needs another region's upstreams to
// reach its target.
func (r *router) needsFar(q *call) bool {
	classes := r.node.State().Classes
	if classes == nil {
		return false
	}
	rule, found := classes.Find(q.head.Class)
	if !found {
		return false
	}
	return r.needs.RecordCall(q.head.Class, rule.Class.Target.Complete) || rule.Class.RunOnce
}

// sendTo sends the call to the upstream and learns from how it ended.
func (r *router) sendTo(ctx context.Context, q *call, u *kqroute.Upstream) *callAnswer {
	u.Begin()
	u.MarkProbe(r.node.now())
	answer := r.send(ctx, q, u.Record)
	now := r.node.now()
	end := kqroute.CallResult{Now: now, Verdict: verdictOf(answer.end)}
	if answer.heard {
		end.Load = &kqroute.Load{InFlight: answer.load.InFlight, Queued: answer.load.Queued, Limit: answer.load.Limit}
	}
	u.End(end)
	if u.Distance == kqroute.OtherRegion {
		r.allowance.Charge(u.Record.Region, len(q.body)+len(answer.body)+callOverheadBytes, now)
	}
	return answer
}

// verdicts maps causes to what they say about the upstream. A cause that is
// not listed says nothing.
var verdicts = map[kqcall.Cause]kqroute.Verdict{
	kqcall.CauseDone:          kqroute.Good,
	kqcall.CauseShedGate:      kqroute.Full,
	kqcall.CauseDisplaced:     kqroute.Full,
	kqcall.CauseBackendShed:   kqroute.Full,
	kqcall.CausePoolFull:      kqroute.Full,
	kqcall.CauseWouldMiss:     kqroute.Full,
	kqcall.CauseDraining:      kqroute.Draining,
	kqcall.CauseNoUpstream:    kqroute.Draining,
	kqcall.CauseLinkLost:      kqroute.Faulty,
	kqcall.CauseLinkSilent:    kqroute.Faulty,
	kqcall.CauseBackendLost:   kqroute.Faulty,
	kqcall.CauseBackendSilent: kqroute.Faulty,
}

func verdictOf(end kqcall.End) kqroute.Verdict {
	if end.Cause == kqcall.CauseDeadline && end.Outcome == kqcall.OutcomeUnknown {
		return kqroute.Faulty
	}
	return verdicts[end.Cause]
}

// settle gives the end of the whole call. What one try left in doubt, a later
// one that was not run does not clear up.
func (r *router) settle(q *call, last, doubt *callAnswer) *callAnswer {
	if last.end.Outcome != kqcall.OutcomeRan {
		r.needs.RecordMiss(q.head.Class)
	}
	if last.end.Outcome == kqcall.OutcomeNotRun && doubt != nil {
		return doubt
	}
	return last
}

// finalCauses are those that another upstream would answer with as well.
var finalCauses = map[kqcall.Cause]bool{
	kqcall.CauseDeadline: true, kqcall.CauseCallerGone: true, kqcall.CauseParentOver: true,
	kqcall.CauseBadRequest: true, kqcall.CauseTooLarge: true, kqcall.CauseDepth: true,
	kqcall.CauseKeyMissing: true, kqcall.CauseKeyRunning: true, kqcall.CauseKeyInDoubt: true,
	kqcall.CauseKeyForgotten: true, kqcall.CauseKeyMismatch: true,
}

// mayRepeat is whether a call that ended so may be sent again: it was provably
// not run, or it may run more than once.
func mayRepeat(q *call, end kqcall.End) bool {
	if finalCauses[end.Cause] {
		return false
	}
	switch end.Outcome {
	case kqcall.OutcomeNotRun:
		return true
	case kqcall.OutcomeUnknown:
		return q.head.Repeatable
	default:
		return false
	}
}

// countTry counts a call of this entry for its share of retries. One that its
// caller has sent again takes from it.
func (r *router) countTry(q *call) {
	if q.resent {
		r.throttle.RecordResend()
		return
	}
	r.throttle.RecordFirstTry()
}

// drawRetry takes one retry from the request and from this entry's share.
func (r *router) drawRetry(held *kqretry.Allowance) bool {
	if !held.TakeRetry() {
		return false
	}
	if !r.throttle.TakeRetry() {
		held.PutBack(1, 1)
		return false
	}
	return true
}

// send runs the call at the upstream's gate, which may be this node's own.
func (r *router) send(ctx context.Context, q *call, upstream kqmember.Record) *callAnswer {
	if deadline, set := ctx.Deadline(); set {
		q.head.Budget = deadline.Sub(r.node.now())
	}
	if q.head.Budget <= 0 {
		return &callAnswer{end: kqcall.NotRun(kqcall.CauseDeadline), retriesLeft: q.head.Retries}
	}
	if upstream.NodeID == r.node.settings.NodeID {
		answer := r.node.gate.run(ctx, q)
		answer.heard = true
		return answer
	}
	answer, err := r.node.dialer.Call(ctx, upstream.Address, kqlink.CallHead{
		Head: q.head, Method: q.method, Path: q.path, Headers: q.headers,
	}, q.body)
	if err != nil {
		return lostResult(ctx, err, q.head.Retries)
	}
	h := answer.Head
	return &callAnswer{end: h.End, status: h.Status, headers: h.Headers, body: answer.Body, retriesLeft: h.RetriesLeft, load: h.Load, heard: true}
}

// lostResult is the result of a call without an answer. The grant comes back
// only if it never left.
func lostResult(ctx context.Context, err error, grant int) *callAnswer {
	r := &callAnswer{end: endOfLinkError(ctx, err)}
	if r.end.Outcome == kqcall.OutcomeNotRun {
		r.retriesLeft = grant
	}
	return r
}

// endOfLinkError turns a link's error into the end of the call.
func endOfLinkError(ctx context.Context, err error) kqcall.End {
	cause := kqcall.CauseLinkLost
	switch {
	case ctx.Err() != nil:
		cause = goneCause(ctx)
	case errors.Is(err, kqlink.ErrSilent):
		cause = kqcall.CauseLinkSilent
	}
	if errors.Is(err, kqlink.ErrNotSent) {
		return kqcall.NotRun(cause)
	}
	return kqcall.Unknown(cause)
}

// handlePeerCall runs a call that a peer's entry sent to this node's gate.
func (n *Node) handlePeerCall(ctx context.Context, _ string, head kqlink.CallHead, body []byte) (kqlink.AnswerHead, []byte) {
	if head.AskLoad {
		return kqlink.AnswerHead{End: kqcall.NotRun(""), Load: n.gate.load()}, nil
	}
	q := &call{head: head.Head, method: head.Method, path: head.Path, headers: head.Headers, body: body}
	ctx, cancel := withBudget(ctx, q.head)
	defer cancel()
	var r *callAnswer
	if head.ToHome {
		r = n.keys.handleAsHome(ctx, q)
	} else {
		r = n.gate.run(ctx, q)
	}
	n.work.recordPeerAnswer(n.now())
	return kqlink.AnswerHead{End: r.end, Status: r.status, Headers: r.headers, RetriesLeft: r.retriesLeft, Load: r.load, Token: r.token}, r.body
}
