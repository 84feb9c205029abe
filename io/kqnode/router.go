package kqnode

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqanswer"
	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqretry"
	"kumquatlink/core/kqroute"
	"kumquatlink/io/kqlink"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqsettings"
)

// callOverheadBytes is the estimated size of a call and its answer without their
// bodies. It counts against the bandwidth limit between regions.
const callOverheadBytes = 1024

// router chooses the upstreams of calls and sends the calls to their gates. mutex
// guards tables, which holds the routing table of each service.
type router struct {
	node         *Node
	throttle     *kqretry.Throttle
	errorBudgets *kqroute.ErrorBudgets
	bandwidth    *kqroute.BandwidthLimiter
	reachable    func(u *kqroute.Upstream) bool

	mutex  sync.RWMutex
	tables map[string]*serviceTable
}

// serviceTable is the routing table of a service, with the member records from
// which it was built.
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
		node:         n,
		throttle:     kqretry.NewThrottle(),
		errorBudgets: kqroute.NewErrorBudgets(),
		bandwidth:    kqroute.NewBandwidthLimiter(rate),
		tables:       map[string]*serviceTable{},
	}
	r.reachable = r.isReachable
	return r
}

// isReachable reports whether the upstream is this node or its link is not known
// to be down.
func (r *router) isReachable(u *kqroute.Upstream) bool {
	return u.Record.NodeID == r.node.settings.NodeID || r.node.dialer.Usable(u.Record.Address)
}

// usableFor returns the condition that the upstreams of a call must meet: they
// are reachable, and none of the nodes that the call has to avoid.
func (r *router) usableFor(q *call) func(*kqroute.Upstream) bool {
	if len(q.avoid) == 0 {
		return r.reachable
	}
	return func(u *kqroute.Upstream) bool { return !q.avoid[u.Record.NodeID] && r.reachable(u) }
}

// table returns the routing table of a service. It is rebuilt when the member
// records of the service's upstreams have changed since the last call.
func (r *router) table(service string) *kqroute.Table {
	members := r.node.State().Members
	records := members.Upstreams(service)
	r.mutex.RLock()
	cached := r.tables[service]
	r.mutex.RUnlock()
	if cached != nil && sameRecords(cached.records, records) {
		return cached.table
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var previous *kqroute.Table
	if cached = r.tables[service]; cached != nil {
		if sameRecords(cached.records, records) {
			return cached.table
		}
		previous = cached.table
	}
	t := kqroute.NewTable(members.Own, records, previous, r.node.now())
	r.tables[service] = &serviceTable{records: records, table: t}
	return t
}

// sameRecords reports whether the lists hold the same versions of the same
// records in the same order.
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

// route sends the call to an upstream, and to others while it may be tried again
// and retries are left. An onward call draws on the retries of its parent.
func (r *router) route(ctx context.Context, q *call) *callAnswer {
	if q.parent != nil {
		return r.tryUpstreams(ctx, q, &q.parent.retries)
	}
	retries := kqretry.NewAllowance(q.head.Retries)
	answer := r.tryUpstreams(ctx, q, retries)
	answer.retriesLeft = retries.Close()
	return answer
}

// tryUpstreams sends the call to one upstream after the other until its answer
// is final. Each try takes along part of the retries, for the onward calls below
// it, and returns what was not used.
func (r *router) tryUpstreams(ctx context.Context, q *call, retries *kqretry.Allowance) *callAnswer {
	pick := kqroute.PickInfo{AllowOtherRegion: r.needsOtherRegion(q), AllowProbe: q.head.Repeatable, Usable: r.usableFor(q), Bandwidth: r.bandwidth}
	last := notRun(kqcall.CauseNoUpstream)
	var inDoubt *callAnswer
	for {
		pick.Now, pick.Random = r.node.now(), rand.Uint64()
		table := r.table(q.head.Service)
		upstream := table.Pick(pick)
		if upstream == nil {
			return r.finalAnswer(q, last, inDoubt)
		}
		pick.Tried.Add(upstream)
		q.head.Retries = retries.Grant()
		last = r.tryUpstream(ctx, q, upstream)
		r.node.shed.recordLoad(q, upstream.Record.NodeID, last)
		retries.PutBack(last.retriesLeft, q.head.Retries)
		r.node.recordDecision(kqlog.Decision{
			RequestID: q.head.RequestID, Class: q.head.Class, Service: q.head.Service, Decision: decisionRoute,
			Cause: string(last.end.Cause), Outcome: string(last.end.Outcome),
			Chosen: upstream.Record.NodeID, Others: table.Others(upstream),
		})
		if last.end.Outcome == kqcall.OutcomeUnknown {
			inDoubt = last
		}
		if ctx.Err() != nil || !mayTryNext(q, last.end) || r.node.shed.refuseAtEntry(q) != nil || !r.takeRetry(retries) {
			return r.finalAnswer(q, last, inDoubt)
		}
	}
}

// needsOtherRegion reports whether the call may be sent to another region: its
// class needs that to reach its target, or the call must run only once. It also
// records the call in the error budget of its class.
func (r *router) needsOtherRegion(q *call) bool {
	classes := r.node.State().Classes
	if classes == nil {
		return false
	}
	rule, found := classes.Find(q.head.Class)
	if !found {
		return false
	}
	return r.errorBudgets.RecordCall(q.head.Class, rule.Class.Target.Complete) || rule.Class.RunOnce
}

// tryUpstream sends the call to the upstream and records the result, by which
// later calls are routed. A call to another region is charged to the bandwidth
// limit of that region.
func (r *router) tryUpstream(ctx context.Context, q *call, u *kqroute.Upstream) *callAnswer {
	u.Begin()
	u.MarkProbe(r.node.now())
	answer := r.sendTo(ctx, q, u.Record)
	now := r.node.now()
	result := kqroute.CallResult{Now: now, Verdict: verdictOf(answer.end)}
	if answer.fromGate {
		result.Load = &kqroute.Load{InFlight: answer.load.InFlight, Queued: answer.load.Queued, Limit: answer.load.Limit}
	}
	u.End(result)
	if u.Distance == kqroute.OtherRegion {
		r.bandwidth.Charge(u.Record.Region, len(q.body)+len(answer.body)+callOverheadBytes, now)
	}
	return answer
}

// verdicts maps the causes of ended calls to verdicts on the upstream. Causes
// that are not listed say nothing about the upstream.
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

// verdictOf returns the verdict on the upstream of a call that ended so. An
// upstream whose call was cut off by its deadline, without proof that it did not
// run, counts as faulty.
func verdictOf(end kqcall.End) kqroute.Verdict {
	if end.Cause == kqcall.CauseDeadline && end.Outcome == kqcall.OutcomeUnknown {
		return kqroute.Faulty
	}
	return verdicts[end.Cause]
}

// finalAnswer returns the answer to the whole call, given the last try and the
// last one with an unknown outcome, if any. When the last try did not run, the
// outcome stays unknown, since the earlier try may have run.
func (r *router) finalAnswer(q *call, last, inDoubt *callAnswer) *callAnswer {
	if last.end.Outcome != kqcall.OutcomeRan {
		r.errorBudgets.RecordMiss(q.head.Class)
	}
	if last.end.Outcome == kqcall.OutcomeNotRun && inDoubt != nil {
		return inDoubt
	}
	return last
}

// finalCauses are the causes after which no other upstream is tried, since it
// would answer the same.
var finalCauses = map[kqcall.Cause]bool{
	kqcall.CauseDeadline: true, kqcall.CauseCallerGone: true, kqcall.CauseParentOver: true,
	kqcall.CauseBadRequest: true, kqcall.CauseTooLarge: true, kqcall.CauseDepth: true,
	kqcall.CauseKeyMissing: true, kqcall.CauseKeyRunning: true, kqcall.CauseKeyInDoubt: true,
	kqcall.CauseKeyForgotten: true, kqcall.CauseKeyMismatch: true,
}

// mayTryNext reports whether a call that ended so may be sent to another
// upstream: it certainly did not run, or it may run more than once.
func mayTryNext(q *call, end kqcall.End) bool {
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

// recordTry records a call for the retry throttle of this entry. A call that its
// caller has sent again counts as a retry.
func (r *router) recordTry(q *call) {
	if q.resent {
		r.throttle.RecordResend()
		return
	}
	r.throttle.RecordFirstTry()
}

// takeRetry takes one retry from the retries of the request and one from the
// throttle of this entry. It reports false if either has none left.
func (r *router) takeRetry(retries *kqretry.Allowance) bool {
	if !retries.TakeRetry() {
		return false
	}
	if !r.throttle.TakeRetry() {
		retries.PutBack(1, 1)
		return false
	}
	return true
}

// sendTo runs the call at the upstream's gate, which may be this node's own. The
// call's budget is the time that ctx has left.
func (r *router) sendTo(ctx context.Context, q *call, upstream kqmember.Record) *callAnswer {
	if deadline, set := ctx.Deadline(); set {
		q.head.Budget = deadline.Sub(r.node.now())
	}
	if q.head.Budget <= 0 {
		return &callAnswer{end: kqcall.NotRun(kqcall.CauseDeadline), retriesLeft: q.head.Retries}
	}
	if upstream.NodeID == r.node.settings.NodeID {
		answer := r.node.gate.run(ctx, q)
		answer.fromGate = true
		return answer
	}
	answer, err := r.node.dialer.Call(ctx, upstream.Address, kqlink.CallHead{
		Head: q.head, Method: q.method, Path: q.path, Headers: q.headers,
	}, q.body)
	if err != nil {
		return answerOfLinkError(ctx, err, q.head.Retries)
	}
	a := readPeerAnswer(answer.Head, answer.Body)
	a.fromGate = true
	return a
}

// readPeerAnswer returns the answer of a peer. A peer of a former build passes on malformed
// answers of its backend server; these are lost.
func readPeerAnswer(h kqlink.AnswerHead, body []byte) *callAnswer {
	r := &callAnswer{end: h.End, retriesLeft: h.RetriesLeft, load: h.Load}
	if h.End.Outcome == kqcall.OutcomeRan && !isAnswer(h) {
		r.end = kqcall.Unknown(kqcall.CauseBackendLost)
		return r
	}
	r.status, r.headers, r.body = h.Status, h.Headers, body
	return r
}

// isAnswer reports whether the status and the fields of a peer's answer are well-formed.
func isAnswer(h kqlink.AnswerHead) bool {
	return kqanswer.IsFinalStatus(h.Status) && !slices.ContainsFunc(h.Headers, func(f kqlink.Header) bool {
		return kqanswer.CheckField(f.Name, f.Value) != nil
	})
}

// answerOfLinkError returns the answer to a call whose link failed. The retries
// that were granted to the call are returned only if it was not sent, since
// otherwise the upstream may have used them.
func answerOfLinkError(ctx context.Context, err error, grant int) *callAnswer {
	r := &callAnswer{end: endOfLinkError(ctx, err)}
	if r.end.Outcome == kqcall.OutcomeNotRun {
		r.retriesLeft = grant
	}
	return r
}

// endOfLinkError returns the end of a call whose link to the peer failed. The
// outcome is unknown unless the call was not sent.
func endOfLinkError(ctx context.Context, err error) kqcall.End {
	cause := kqcall.CauseLinkLost
	switch {
	case ctx.Err() != nil:
		cause = causeOfContext(ctx)
	case errors.Is(err, kqlink.ErrSilent):
		cause = kqcall.CauseLinkSilent
	}
	if errors.Is(err, kqlink.ErrNotSent) {
		return kqcall.NotRun(cause)
	}
	return kqcall.Unknown(cause)
}

// handlePeerCall handles a call from the entry of a peer: a request for the
// gate's load only, a call with a key for which this node is the home, or a call
// to this node's gate.
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
