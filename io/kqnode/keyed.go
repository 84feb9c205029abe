package kqnode

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqhome"
	"kumquatlink/core/kqledger"
	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqspread"
	"kumquatlink/io/kqlink"
	"kumquatlink/io/kqlog"
)

// Limits of calls with a key.
const (
	// maxHomeTries is how often an entry sends one call to the home of its key.
	maxHomeTries = 8
	// homeRetryPause is the time between two tries while the key's bucket moves
	// to another home.
	homeRetryPause = 25 * time.Millisecond
	// maxWaitingCopies is the number of copies of one call that may wait for the
	// answer of the copy that runs.
	maxWaitingCopies = 16
	// homeRetryAfter is the Retry-After sent to a caller when the home of its key
	// can't be reached.
	homeRetryAfter = time.Second
)

// keyManager runs calls with an idempotency key at most once. The keys of a
// service are divided into buckets. The home of a bucket is the node of the
// service that keeps the bucket's ledger, that is, the record of its keys and
// their answers. An entry sends every call with a key to the key's home, which
// runs the call, or answers from the ledger. A table per service says which node
// is the home of which bucket; it is stored, and spread by gossip. A node that
// has more than its share of the buckets, or shuts down, hands buckets over. The
// buckets of a home that is dead or out of reach are claimed by another node.
type keyManager struct {
	node      *Node
	startedAt time.Time
	limits    kqledger.Limits

	mutex sync.Mutex
	// home is the state of the buckets of the node's own service, or nil before
	// the node's backend server is known.
	home    *kqhome.Home
	service string
	// tables holds the homes of the keys of each service, by service.
	tables map[string]kqhome.Table
	// runs holds the calls that run with this node as their home, by key.
	runs map[string]*keyRun

	// storeEra is the newest era of the store that gossip has named, counted like
	// [kqhome.Table.Era].
	storeEra atomic.Uint64

	// leaving is set once all buckets are to be handed over, and closed once
	// this node may run no further key as a home.
	leaving atomic.Bool
	closed  atomic.Bool

	// loop is used by the goroutine of [keyManager.run] only.
	loop keyLoopState
}

// keyRun is a call with a key that is running.
type keyRun struct {
	// done is closed once result is set.
	done   chan struct{}
	result *callAnswer
	// waiting is the number of copies that wait or have waited for the result.
	waiting int
}

func newKeyManager(n *Node) *keyManager {
	return &keyManager{
		node: n, startedAt: n.now(), limits: kqledger.DefaultLimits(),
		tables: map[string]kqhome.Table{}, runs: map[string]*keyRun{}, loop: newKeyLoopState(),
	}
}

// now returns the time on the node's clock since the node started.
func (k *keyManager) now() time.Duration {
	return k.node.now().Sub(k.startedAt)
}

// needsKeyHome reports whether the call has to go through the home of its key:
// it has a key and must not be repeated.
func (q *call) needsKeyHome() bool {
	return q.head.Key != "" && !q.head.Repeatable
}

// admits reports whether the key of a call allows this node's gate to run it. A
// call that needs no home is always allowed. Otherwise the gate refuses calls
// from a home whose token is older than the gate's fence.
func (k *keyManager) admits(q *call) bool {
	if !q.needsKeyHome() {
		return true
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.home == nil || k.service != q.head.Service {
		return false
	}
	return k.home.Admit(kqhome.BucketOf(q.head.Key), q.head.Generation)
}

// token returns the newest known token of the bucket of the call's key, and
// whether the node has a table of the called service.
func (k *keyManager) token(q *call) (kqhome.Token, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	t, found := k.tables[q.head.Service]
	return t.Tokens[kqhome.BucketOf(q.head.Key)], found
}

// dispatch sends a call with a key to the key's home, and follows the bucket if
// it moves to another home. One of the call's retries is reserved to send the
// call to the home once more if the answer is lost. From then on the call may
// have run, and a later refusal doesn't turn its outcome into not-run.
func (k *keyManager) dispatch(ctx context.Context, q *call) *callAnswer {
	last := notRun(kqcall.CauseKeyHomeUnreached)
	var unknownCause kqcall.Cause
	resends := min(1, q.head.Retries)
	q.head.Retries -= resends
	for range maxHomeTries {
		token, known := k.token(q)
		if !known || token.Holder.NodeID == "" {
			break
		}
		last = k.sendToHome(ctx, q, token)
		q.head.Retries = last.retriesLeft
		k.recordDecision(q, "Home", last, token.Holder.NodeID)
		switch {
		case last.end == kqcall.NotRun(kqcall.CauseMoved):
			if !k.followMove(ctx, q, token, last.token) {
				return keepUnknown(last, unknownCause)
			}
		case last.end.Outcome == kqcall.OutcomeUnknown && last.end.Cause == kqcall.CauseLinkLost && resends > 0 && ctx.Err() == nil && k.node.router.throttle.TakeRetry():
			unknownCause = last.end.Cause
			resends = 0
		default:
			return keepUnknown(last, unknownCause)
		}
	}
	last.end = homeUnreached()
	return keepUnknown(last, unknownCause)
}

// keepUnknown replaces the outcome not-run by unknown if unknownCause is set,
// that is, if an earlier copy of the call may have run.
func keepUnknown(r *callAnswer, unknownCause kqcall.Cause) *callAnswer {
	if unknownCause != "" && r.end.Outcome == kqcall.OutcomeNotRun {
		r.end = kqcall.Unknown(unknownCause)
	}
	return r
}

// followMove prepares another try after the home of the tried token has refused
// a call as moved. It records the reported token if that is newer; otherwise the
// move is still under way, and it waits for homeRetryPause. It returns false if
// ctx ends first.
func (k *keyManager) followMove(ctx context.Context, q *call, tried kqhome.Token, reported *kqhome.Token) bool {
	if reported != nil && reported.Epoch.Newer(tried.Epoch) {
		t := kqhome.Table{Service: q.head.Service}
		t.Tokens[kqhome.BucketOf(q.head.Key)] = *reported
		k.mergeTables([]kqhome.Table{t})
		return true
	}
	select {
	case <-time.After(homeRetryPause):
		return true
	case <-ctx.Done():
		return false
	}
}

// sendToHome sends the call to the token's holder, which may be this node.
func (k *keyManager) sendToHome(ctx context.Context, q *call, token kqhome.Token) *callAnswer {
	if deadline, set := ctx.Deadline(); set {
		q.head.Budget = deadline.Sub(k.node.now())
	}
	if q.head.Budget <= 0 {
		return &callAnswer{end: kqcall.NotRun(kqcall.CauseDeadline), retriesLeft: q.head.Retries}
	}
	if token.Holder.NodeID == k.node.settings.NodeID {
		return k.handleAsHome(ctx, q)
	}
	home, found := recordOfIncarnation(k.node.State(), token.Holder)
	if !found {
		// The token of a new home may arrive before the membership record of its
		// node.
		return &callAnswer{end: kqcall.NotRun(kqcall.CauseMoved), retriesLeft: q.head.Retries}
	}
	answer, err := k.node.dialer.Call(ctx, home.Address, kqlink.CallHead{
		Head: q.head, Method: q.method, Path: q.path, Headers: q.headers, ToHome: true,
	}, q.body)
	if err != nil {
		end := endOfLinkError(ctx, err)
		if end == kqcall.NotRun(kqcall.CauseLinkLost) {
			end = homeUnreached()
		}
		return &callAnswer{end: end, retriesLeft: q.head.Retries}
	}
	r := readPeerAnswer(answer.Head, answer.Body)
	r.retriesLeft, r.token = min(r.retriesLeft, q.head.Retries), answer.Head.Token
	return r
}

// homeUnreached returns the end of a call that did not reach the home of its key.
func homeUnreached() kqcall.End {
	return kqcall.End{Outcome: kqcall.OutcomeNotRun, Cause: kqcall.CauseKeyHomeUnreached, RetryAfter: homeRetryAfter}
}

// recordOfIncarnation returns the membership record of the incarnation n of a
// node. It returns false if there is none, or if the record is of another
// incarnation.
func recordOfIncarnation(s *State, n kqhome.Node) (kqmember.Record, bool) {
	for _, r := range s.Members.Records {
		if r.NodeID == n.NodeID {
			return r, r.Incarnation == n.Incarnation
		}
	}
	return kqmember.Record{}, false
}

// handleAsHome handles a call as the home of its key: it runs the call, waits for
// the copy that runs, or answers from the ledger. It refuses the call as moved if
// this node is not the home.
func (k *keyManager) handleAsHome(ctx context.Context, q *call) *callAnswer {
	fingerprint := kqledger.HashRequest(q.method, q.path, q.body)
	k.mutex.Lock()
	if k.home == nil || k.service != q.head.Service {
		token := k.tables[q.head.Service].Tokens[kqhome.BucketOf(q.head.Key)]
		k.mutex.Unlock()
		return &callAnswer{end: kqcall.NotRun(kqcall.CauseMoved), retriesLeft: q.head.Retries, token: &token}
	}
	if token := k.home.Token(q.head.Key); k.closed.Load() && token.Holder == k.home.Self() {
		k.mutex.Unlock()
		return &callAnswer{end: kqcall.NotRun(kqcall.CauseDraining), retriesLeft: q.head.Retries}
	}
	v := k.home.Begin(k.now(), q.head.Key, fingerprint)
	switch v.Action {
	case kqledger.ActionRun:
		run := &keyRun{done: make(chan struct{})}
		k.runs[q.head.Key] = run
		avoid := k.excludedGates(v.Token)
		k.mutex.Unlock()
		return k.runAtHome(ctx, q, run, v.Token, avoid)
	case kqledger.ActionWait:
		run := k.runs[q.head.Key]
		if run == nil || run.waiting >= maxWaitingCopies {
			k.mutex.Unlock()
			return &callAnswer{end: kqcall.Unknown(kqcall.CauseKeyRunning), retriesLeft: q.head.Retries}
		}
		run.waiting++
		k.mutex.Unlock()
		return waitForRun(ctx, q, run)
	default:
		k.mutex.Unlock()
		return resultOfVerdict(q, v)
	}
}

// resultOfVerdict returns the result of a call that the home neither runs nor lets
// wait. The answer of a replay is decoded from the ledger; if that fails, or the answer
// is malformed, the outcome is unknown.
func resultOfVerdict(q *call, v kqhome.Verdict) *callAnswer {
	r := &callAnswer{end: v.End, retriesLeft: q.head.Retries}
	if v.End.Cause == kqcall.CauseMoved {
		r.token = &v.Token
	}
	if v.Action != kqledger.ActionReplay {
		return r
	}
	var a storedAnswer
	if err := cbor.Unmarshal(v.Answer, &a); err != nil {
		r.end = kqcall.Unknown(kqcall.CauseKeyForgotten)
		return r
	}
	// The key may have come from a home of a former build.
	replayed := readPeerAnswer(kqlink.AnswerHead{End: r.end, Status: a.Status, Headers: a.Headers, RetriesLeft: r.retriesLeft}, a.Body)
	replayed.token = r.token
	return replayed
}

// waitForRun waits for the copy of the call that runs, and returns its result. It
// returns the outcome unknown if ctx ends first.
func waitForRun(ctx context.Context, q *call, run *keyRun) *callAnswer {
	select {
	case <-run.done:
		r := *run.result
		r.retriesLeft = q.head.Retries
		if r.end.Outcome == kqcall.OutcomeRan {
			r.end.Cause = kqcall.CauseKeyReplayed
		}
		return &r
	case <-ctx.Done():
		return &callAnswer{end: kqcall.Unknown(kqcall.CauseKeyRunning), retriesLeft: q.head.Retries}
	}
}

// storedAnswer is an answer as a ledger stores it, encoded in CBOR.
type storedAnswer struct {
	Status  int
	Headers []kqlink.Header
	Body    []byte
}

// runAtHome runs the call, stores the answer in the ledger unless it is too large
// for it, and passes the result to the waiting copies. The run continues if its
// caller disconnects, so that a caller that sends the key again gets the answer
// and not the outcome unknown.
func (k *keyManager) runAtHome(ctx context.Context, q *call, run *keyRun, token kqhome.Token, avoid map[string]bool) *callAnswer {
	ctx, cancel := withBudget(context.WithoutCancel(ctx), q.head)
	defer cancel()
	sent := *q
	sent.head.Generation = token.Epoch.Generation
	sent.avoid = avoid
	r := k.node.router.route(ctx, &sent)
	var answer []byte
	if r.end.Outcome == kqcall.OutcomeRan && len(r.body) <= k.limits.MaxBytesPerAnswer {
		answer, _ = cbor.Marshal(storedAnswer{Status: r.status, Headers: r.headers, Body: r.body})
	}
	k.mutex.Lock()
	settlement, bucketMoved := k.home.Finish(k.now(), q.head.Key, r.end, answer)
	if k.runs[q.head.Key] == run {
		delete(k.runs, q.head.Key)
	}
	holder := k.home.Table().Tokens[settlement.Bucket].Holder
	k.mutex.Unlock()
	shared := *r
	run.result = &shared
	close(run.done)
	if bucketMoved {
		k.sendSettlement(holder, settlement)
	}
	return r
}

// excludedGates returns the nodes whose gates the home must not use: those that
// the table does not list as usable, which a claim would not ask for a reply, and
// the home's own node if the token is remote, since a claim can then complete
// without that node's reply. A call could otherwise run at a gate that a claim
// has not fenced. The mutex is held.
func (k *keyManager) excludedGates(token kqhome.Token) map[string]bool {
	table := k.home.Table()
	avoid := map[string]bool{}
	for _, u := range k.node.State().Members.Upstreams(k.service) {
		if !table.Usable(u.NodeID) || token.Remote && u.NodeID == token.Holder.NodeID {
			avoid[u.NodeID] = true
		}
	}
	return avoid
}

// recordDecision records the choice of a home for a call, and the result.
func (k *keyManager) recordDecision(q *call, decision string, r *callAnswer, chosen string) {
	k.node.recordDecision(kqlog.Decision{
		RequestID: q.head.RequestID, Class: q.head.Class, Service: q.head.Service, Decision: decision,
		Cause: string(r.end.Cause), Outcome: string(r.end.Outcome), Chosen: chosen,
	})
}

// itemEra is the name of the gossip item whose version is the newest era of the
// store that a node has seen. Few nodes read the store often enough to notice a
// restore.
const itemEra = "store-era"

// advertiseEra publishes the era of the store that this node has seen, if it is newer
// than the item that the overlay holds.
func (k *keyManager) advertiseEra(spread *kqspread.Machine) {
	era := eraNumber(k.node.store.CurrentEra())
	if current, found := spread.Item(itemEra); era == 0 || found && current.Version >= era {
		return
	}
	spread.Publish(kqspread.Item{Name: itemEra, Version: era})
}

// ledgerItemPrefix precedes the service in the name of the gossip item that holds
// the service's table.
const ledgerItemPrefix = "ledger/"

// advertise publishes the table of this node's own service by gossip, if it is
// newer than the item that the overlay holds.
func (k *keyManager) advertise(spread *kqspread.Machine) {
	k.mutex.Lock()
	t, found := k.tables[k.service]
	known := k.home != nil && found
	k.mutex.Unlock()
	if !known {
		return
	}
	name := ledgerItemPrefix + t.Service
	if current, found := spread.Item(name); found && current.Version >= t.Weight() {
		return
	}
	payload, err := cbor.Marshal(t)
	if err != nil {
		return
	}
	spread.Publish(kqspread.Item{Name: name, Version: t.Weight(), Tie: xxhash.Sum64(payload), Payload: payload})
}

// receiveItem merges a gossip item that holds a table or the era of the store, and
// reports whether the item is of that kind. An item that can't be decoded is ignored.
func (k *keyManager) receiveItem(i kqspread.Item) bool {
	if i.Name == itemEra {
		k.storeEra.Store(max(k.storeEra.Load(), i.Version))
		return true
	}
	if !strings.HasPrefix(i.Name, ledgerItemPrefix) {
		return false
	}
	var t kqhome.Table
	if err := peerDecMode.Unmarshal(i.Payload, &t); err == nil && i.Name == ledgerItemPrefix+t.Service {
		k.mergeTables([]kqhome.Table{t})
	}
	return true
}

// mergeTables merges tables of key homes from a peer or the store into those of
// this node.
func (k *keyManager) mergeTables(tables []kqhome.Table) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, t := range tables {
		k.mergeTable(t)
	}
}

// mergeTable merges one table. The mutex is held.
func (k *keyManager) mergeTable(t kqhome.Table) {
	current, found := k.tables[t.Service]
	if !found {
		current = kqhome.Table{Service: t.Service}
	}
	k.tables[t.Service], _ = current.Merge(t)
	if k.home != nil && t.Service == k.service {
		k.home.MergeTable(t)
	}
}

// publish merges the home's table into tables, where entries and gossip read it.
// The mutex is held.
func (k *keyManager) publish() {
	k.mergeTable(k.home.Table())
}

// KeyHomes returns a copy of the node's table of the homes of a service's
// idempotency keys, or false if the node has none.
func (n *Node) KeyHomes(service string) (kqhome.Table, bool) {
	n.keys.mutex.Lock()
	defer n.keys.mutex.Unlock()
	t, found := n.keys.tables[service]
	return t.Clone(), found
}
