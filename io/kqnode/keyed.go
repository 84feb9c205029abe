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

// Bounds of calls with a key.
const (
	// maxHomeTries bounds how often an entry asks for the home of a key.
	maxHomeTries = 8
	// homePause is how long an entry waits while a bucket passes on.
	homePause = 25 * time.Millisecond
	// maxWaiting bounds the copies of one call that wait for its answer.
	maxWaiting = 16
	// homeRetryAfter tells a caller when a key's home may be back.
	homeRetryAfter = time.Second
)

// keyManager is the node's part in running calls with a key at most once.
type keyManager struct {
	node   *Node
	begun  time.Time
	limits kqledger.Limits

	mutex sync.Mutex
	// home is what this node remembers of its own service's keys, or nil.
	home    *kqhome.Home
	service string
	// tables say which nodes are the homes of the keys of each service.
	tables map[string]kqhome.Table
	runs   map[string]*keyRun

	// leaving is set when all buckets are to be given away, and closed when
	// no key may be run any more.
	leaving atomic.Bool
	closed  atomic.Bool

	// loop is what only the keyManager's own loop uses.
	loop keyLoopState
}

// keyRun is a call with a key that is on its way.
type keyRun struct {
	done    chan struct{}
	result  *result
	waiting int
}

func newKeyManager(n *Node) *keyManager {
	return &keyManager{
		node: n, begun: n.now(), limits: kqledger.DefaultLimits(),
		tables: map[string]kqhome.Table{}, runs: map[string]*keyRun{}, loop: newKeyLoopState(),
	}
}

// now is the time on the node's own clock since its start.
func (k *keyManager) now() time.Duration {
	return k.node.now().Sub(k.begun)
}

// needsKeyHome is whether the call goes through the home of its key.
func (q *call) needsKeyHome() bool {
	return q.head.Key != "" && !q.head.Repeatable
}

// admits is whether this node's gate may run the call as far as its key goes.
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

// token gives the newest token of the key's bucket that the node knows.
func (k *keyManager) token(q *call) (kqhome.Token, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	t, found := k.tables[q.head.Service]
	return t.Tokens[kqhome.BucketOf(q.head.Key)], found
}

// dispatch sends a call with a key to the key's home. The same key may be sent
// to the home again when the answer was lost, for which one retry is set aside;
// once it may have arrived, no later refusal makes it "not run".
func (k *keyManager) dispatch(ctx context.Context, q *call) *result {
	last := refused(kqcall.CauseKeyHomeUnreached)
	var doubt kqcall.Cause
	again := min(1, q.head.Retries)
	q.head.Retries -= again
	for range maxHomeTries {
		token, known := k.token(q)
		if !known || token.Holder.NodeID == "" {
			break
		}
		last = k.sendHome(ctx, q, token)
		q.head.Retries = last.retriesLeft
		k.recordDecision(q, "Home", last, token.Holder.NodeID)
		switch {
		case last.end == kqcall.NotRun(kqcall.CauseMoved):
			if !k.moved(ctx, q, token, last.token) {
				return doubted(last, doubt)
			}
		case last.end.Outcome == kqcall.OutcomeUnknown && last.end.Cause == kqcall.CauseLinkLost && again > 0 && ctx.Err() == nil && k.node.router.brake.TakeRetry():
			doubt = last.end.Cause
			again = 0
		default:
			return doubted(last, doubt)
		}
	}
	last.end = homeUnreached()
	return doubted(last, doubt)
}

// doubted keeps a refusal from hiding an earlier copy that may have run.
func doubted(r *result, doubt kqcall.Cause) *result {
	if doubt != "" && r.end.Outcome == kqcall.OutcomeNotRun {
		r.end = kqcall.Unknown(doubt)
	}
	return r
}

// moved takes in where the home has moved to, or waits while it moves.
func (k *keyManager) moved(ctx context.Context, q *call, asked kqhome.Token, told *kqhome.Token) bool {
	if told != nil && told.Epoch.Newer(asked.Epoch) {
		t := kqhome.Table{Service: q.head.Service}
		t.Tokens[kqhome.BucketOf(q.head.Key)] = *told
		k.mergeTables([]kqhome.Table{t})
		return true
	}
	select {
	case <-time.After(homePause):
		return true
	case <-ctx.Done():
		return false
	}
}

// sendHome asks the home to run the call, which may be this node.
func (k *keyManager) sendHome(ctx context.Context, q *call, token kqhome.Token) *result {
	if deadline, set := ctx.Deadline(); set {
		q.head.Budget = deadline.Sub(k.node.now())
	}
	if q.head.Budget <= 0 {
		return &result{end: kqcall.NotRun(kqcall.CauseDeadline), retriesLeft: q.head.Retries}
	}
	if token.Holder.NodeID == k.node.settings.NodeID {
		return k.handleAsHome(ctx, q)
	}
	home, found := recordOfIncarnation(k.node.State(), token.Holder)
	if !found {
		// The word of a new home may come before the record of its node.
		return &result{end: kqcall.NotRun(kqcall.CauseMoved), retriesLeft: q.head.Retries}
	}
	answer, err := k.node.dialer.Call(ctx, home.Address, kqlink.CallHead{
		Head: q.head, Method: q.method, Path: q.path, Headers: q.headers, ToHome: true,
	}, q.body)
	if err != nil {
		end := endOf(ctx, err)
		if end == kqcall.NotRun(kqcall.CauseLinkLost) {
			end = homeUnreached()
		}
		return &result{end: end, retriesLeft: q.head.Retries}
	}
	h := answer.Head
	return &result{
		end: h.End, status: h.Status, headers: h.Headers, body: answer.Body,
		retriesLeft: min(h.RetriesLeft, q.head.Retries), load: h.Load, token: h.Token,
	}
}

func homeUnreached() kqcall.End {
	return kqcall.End{Outcome: kqcall.OutcomeNotRun, Cause: kqcall.CauseKeyHomeUnreached, RetryAfter: homeRetryAfter}
}

// recordOfIncarnation gives the record of that start of a node.
func recordOfIncarnation(s *State, n kqhome.Node) (kqmember.Record, bool) {
	for _, r := range s.Members.Records {
		if r.NodeID == n.NodeID {
			return r, r.Incarnation == n.Incarnation
		}
	}
	return kqmember.Record{}, false
}

// handleAsHome acts as the home of the call's key.
func (k *keyManager) handleAsHome(ctx context.Context, q *call) *result {
	print := kqledger.HashRequest(q.method, q.path, q.body)
	k.mutex.Lock()
	if k.home == nil || k.service != q.head.Service {
		token := k.tables[q.head.Service].Tokens[kqhome.BucketOf(q.head.Key)]
		k.mutex.Unlock()
		return &result{end: kqcall.NotRun(kqcall.CauseMoved), retriesLeft: q.head.Retries, token: &token}
	}
	if token := k.home.Token(q.head.Key); k.closed.Load() && token.Holder == k.home.Self() {
		k.mutex.Unlock()
		return &result{end: kqcall.NotRun(kqcall.CauseDraining), retriesLeft: q.head.Retries}
	}
	v := k.home.Begin(k.now(), q.head.Key, print)
	switch v.Action {
	case kqledger.ActionRun:
		run := &keyRun{done: make(chan struct{})}
		k.runs[q.head.Key] = run
		avoid := k.avoided(v.Token)
		k.mutex.Unlock()
		return k.runAtHome(ctx, q, run, v.Token, avoid)
	case kqledger.ActionWait:
		run := k.runs[q.head.Key]
		if run == nil || run.waiting >= maxWaiting {
			k.mutex.Unlock()
			return &result{end: kqcall.Unknown(kqcall.CauseKeyRunning), retriesLeft: q.head.Retries}
		}
		run.waiting++
		k.mutex.Unlock()
		return waitFor(ctx, q, run)
	default:
		k.mutex.Unlock()
		return settled(q, v)
	}
}

// settled is the answer to a call that its ledger decided at once.
func settled(q *call, v kqhome.Verdict) *result {
	r := &result{end: v.End, retriesLeft: q.head.Retries}
	if v.End.Cause == kqcall.CauseMoved {
		r.token = &v.Token
	}
	if v.Action != kqledger.ActionReplay {
		return r
	}
	var a keptAnswer
	if err := cbor.Unmarshal(v.Answer, &a); err != nil {
		r.end = kqcall.Unknown(kqcall.CauseKeyForgotten)
		return r
	}
	r.status, r.headers, r.body = a.Status, a.Headers, a.Body
	return r
}

// waitFor gives a copy of a call the answer of the copy that runs.
func waitFor(ctx context.Context, q *call, run *keyRun) *result {
	select {
	case <-run.done:
		r := *run.result
		r.retriesLeft = q.head.Retries
		if r.end.Outcome == kqcall.OutcomeRan {
			r.end.Cause = kqcall.CauseKeyReplayed
		}
		return &r
	case <-ctx.Done():
		return &result{end: kqcall.Unknown(kqcall.CauseKeyRunning), retriesLeft: q.head.Retries}
	}
}

// keptAnswer is what a ledger keeps of an answer.
type keptAnswer struct {
	Status  int
	Headers []kqlink.Header
	Body    []byte
}

// runAtHome runs the call once. It goes on when its caller goes away, so that
// a caller that sends the key again gets the answer and not "unknown".
func (k *keyManager) runAtHome(ctx context.Context, q *call, run *keyRun, token kqhome.Token, avoid map[string]bool) *result {
	ctx, cancel := withBudget(context.WithoutCancel(ctx), q.head)
	defer cancel()
	sent := *q
	sent.head.Generation = token.Epoch.Generation
	sent.avoid = avoid
	r := k.node.router.route(ctx, &sent)
	var answer []byte
	if r.end.Outcome == kqcall.OutcomeRan && len(r.body) <= k.limits.MaxBytesPerAnswer {
		answer, _ = cbor.Marshal(keptAnswer{Status: r.status, Headers: r.headers, Body: r.body})
	}
	k.mutex.Lock()
	settlement, passedOn := k.home.Finish(k.now(), q.head.Key, r.end, answer)
	if k.runs[q.head.Key] == run {
		delete(k.runs, q.head.Key)
	}
	holder := k.home.Table().Tokens[settlement.Bucket].Holder
	k.mutex.Unlock()
	kept := *r
	run.result = &kept
	close(run.done)
	if passedOn {
		k.settle(holder, settlement)
	}
	return r
}

// avoided lists the gates that the home must not use: those that a claim would
// not ask, and its own once a claim may do without its word.
func (k *keyManager) avoided(token kqhome.Token) map[string]bool {
	table := k.home.Table()
	avoid := map[string]bool{}
	for _, u := range k.node.State().Members.Upstreams(k.service) {
		if !table.Usable(u.NodeID) || token.Remote && u.NodeID == token.Holder.NodeID {
			avoid[u.NodeID] = true
		}
	}
	return avoid
}

// recordDecision logs a placement decision about a call with a key.
func (k *keyManager) recordDecision(q *call, decision string, r *result, chosen string) {
	k.node.recordDecision(kqlog.Decision{
		RequestID: q.head.RequestID, Class: q.head.Class, Service: q.head.Service, Decision: decision,
		Cause: string(r.end.Cause), Outcome: string(r.end.Outcome), Chosen: chosen,
	})
}

// itemLedger begins the names of items that say which nodes are the homes of a
// service's keys.
const itemLedger = "ledger/"

// advertise spreads what this node knows of its own service's homes when it is
// newer than what is spread.
func (k *keyManager) advertise(spread *kqspread.Machine) {
	k.mutex.Lock()
	t, found := k.tables[k.service]
	known := k.home != nil && found
	k.mutex.Unlock()
	if !known {
		return
	}
	name := itemLedger + t.Service
	if held, found := spread.Item(name); found && held.Version >= t.Weight() {
		return
	}
	payload, err := cbor.Marshal(t)
	if err != nil {
		return
	}
	spread.Publish(kqspread.Item{Name: name, Version: t.Weight(), Tie: xxhash.Sum64(payload), Payload: payload})
}

// receiveItem takes in an item about the homes of keys.
func (k *keyManager) receiveItem(i kqspread.Item) bool {
	if !strings.HasPrefix(i.Name, itemLedger) {
		return false
	}
	var t kqhome.Table
	if err := peerDecMode.Unmarshal(i.Payload, &t); err == nil && i.Name == itemLedger+t.Service {
		k.mergeTables([]kqhome.Table{t})
	}
	return true
}

// mergeTables takes in what a peer told of the homes of keys.
func (k *keyManager) mergeTables(tables []kqhome.Table) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, t := range tables {
		k.mergeTable(t)
	}
}

// mergeTable is mergeTables with the mutex held.
func (k *keyManager) mergeTable(t kqhome.Table) {
	held, found := k.tables[t.Service]
	if !found {
		held = kqhome.Table{Service: t.Service}
	}
	k.tables[t.Service], _ = held.Merge(t)
	if k.home != nil && t.Service == k.service {
		k.home.MergeTable(t)
	}
}

// publish shows the home's own changes to the rest of the node; the mutex is
// held.
func (k *keyManager) publish() {
	k.mergeTable(k.home.Table())
}

// KeyHomes gives what the node knows of the homes of a service's idempotency
// keys, and whether it knows anything.
func (n *Node) KeyHomes(service string) (kqhome.Table, bool) {
	n.keys.mutex.Lock()
	defer n.keys.mutex.Unlock()
	t, found := n.keys.tables[service]
	return t.Clone(), found
}
