package kqnode

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"kumquatlink/core/kqhome"
	"kumquatlink/core/kqmember"
	"kumquatlink/io/kqlink"
	"kumquatlink/io/kqstore"
)

// Periods of the keyManager's loop.
const (
	keyStepPeriod  = 100 * time.Millisecond
	keyProbePeriod = time.Second
	// holderSilence is how long a holder must be out of reach before its
	// buckets are claimed. A claim of a living holder's buckets is harmless.
	holderSilence = 3 * time.Second
	// unknownSilence is the same for a holder that the node has not heard of,
	// and so can't ask. It is twice kqmember.RemoveAfter, within which
	// spreading tells of every node that lives.
	unknownSilence = 2 * kqmember.RemoveAfter
	// joinPause spaces a node's attempts to register in the store; it grows
	// with every failure up to joinPauseMost.
	joinPause     = 50 * time.Millisecond
	joinPauseMost = 10 * time.Second
)

// keyLoopState is what only the keyManager's own loop uses.
type keyLoopState struct {
	// claims are the claims under way, by the holder that they follow.
	claims map[kqhome.Node]*pendingClaim
	// lost tells since when an offer may have arrived unanswered.
	lost map[int]time.Duration
	// leftOut are the members that a completed claim of this node left out.
	leftOut map[string]bool
	// silentSince is when a holder was first found out of reach.
	silentSince map[kqhome.Node]time.Duration
	// unknownSince is when a holder was first found to have no record.
	unknownSince map[kqhome.Node]time.Duration
	probedAt     time.Duration
	joinAt       time.Duration
	joinPause    time.Duration
}

// pendingClaim is a claim under way.
type pendingClaim struct {
	claim  *kqhome.Claim
	givers map[int]string
}

func newKeyLoopState() keyLoopState {
	return keyLoopState{
		claims: map[kqhome.Node]*pendingClaim{}, lost: map[int]time.Duration{}, leftOut: map[string]bool{},
		silentSince: map[kqhome.Node]time.Duration{}, unknownSince: map[kqhome.Node]time.Duration{}, joinPause: joinPause,
	}
}

// noteSince keeps the time at which a holder was first found so.
func noteSince(since map[kqhome.Node]time.Duration, holder kqhome.Node, now time.Duration) {
	if _, found := since[holder]; !found {
		since[holder] = now
	}
}

// outlasted is whether a holder has been found so for that long.
func outlasted(since map[kqhome.Node]time.Duration, holder kqhome.Node, now, patience time.Duration) bool {
	at, found := since[holder]
	return found && now-at >= patience
}

// run is the keyManager's loop: it registers the node, spreads buckets over the
// nodes of the service, and claims what dead nodes held.
func (k *keyManager) run(ctx context.Context) {
	ticker := time.NewTicker(keyStepPeriod)
	defer ticker.Stop()
	for {
		k.step(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (k *keyManager) step(ctx context.Context) {
	s := k.node.State()
	if s.Backend == nil || s.Classes == nil || !runsOnce(s) {
		return
	}
	k.begin(s)
	k.mutex.Lock()
	ready := k.home.Synced() && k.home.Registered()
	k.home.Tick(k.now())
	k.mutex.Unlock()
	if !ready {
		k.join(ctx, s)
		return
	}
	k.enforce()
	k.balance(ctx, s)
	if k.leaving.Load() {
		return
	}
	k.watchHolders(ctx, s)
	k.tidy(ctx, s)
	for holder := range k.loop.claims {
		k.pursue(ctx, holder)
	}
}

// runsOnce is whether any class of work must not be repeated.
func runsOnce(s *State) bool {
	for _, c := range s.Configuration.Classes {
		if c.RunOnce {
			return true
		}
	}
	return false
}

// begin makes the node's memory when its backend server is first known.
func (k *keyManager) begin(s *State) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.home != nil && k.home.Self() == nodeOf(s.Members.Own) {
		return
	}
	k.service = s.Backend.Announcement.Service
	k.home = kqhome.New(k.service, nodeOf(s.Members.Own), k.limits)
	if t, found := k.tables[k.service]; found {
		k.home.MergeTable(t)
	}
}

// self is this start of the node.
func (k *keyManager) self() kqhome.Node {
	return nodeOf(k.node.State().Members.Own)
}

// join registers the node in the store, or learns from its peers what it must
// know while the store is away.
func (k *keyManager) join(ctx context.Context, s *State) {
	if k.now() < k.loop.joinAt {
		return
	}
	err := k.register(ctx)
	if err == nil {
		k.loop.joinPause = joinPause
		return
	}
	k.loop.joinPause = min(2*k.loop.joinPause, joinPauseMost)
	k.loop.joinAt = k.now() + rand.N(k.loop.joinPause)
	if errors.Is(err, kqstore.ErrUnavailable) {
		k.node.log.Event(zerolog.WarnLevel, "register for calls with a key", err)
		k.syncWithPeers(ctx, s)
	}
}

func (k *keyManager) register(ctx context.Context) error {
	o, err := k.node.store.Get(ctx, kqstore.KindLedger, k.service)
	if errors.Is(err, kqstore.ErrNotFound) {
		return k.create(ctx)
	}
	if err != nil {
		return err
	}
	table, err := decodeTable(o)
	if err != nil {
		return err
	}
	self := k.self()
	if m, found := table.Member(self.NodeID); !found || m != self || !table.Usable(self.NodeID) {
		table = table.Register(self)
		if err := k.write(ctx, table, o.Version); err != nil {
			return err
		}
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.home.AdoptCreated(table)
	k.publish()
	return nil
}

func (k *keyManager) create(ctx context.Context) error {
	table := kqhome.NewTable(k.service, k.self())
	if err := k.write(ctx, table, ""); err != nil {
		return err
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.home.AdoptCreated(table)
	k.publish()
	return nil
}

func decodeTable(o kqstore.Object) (kqhome.Table, error) {
	var t kqhome.Table
	err := json.Unmarshal(o.Value, &t)
	return t, errors.Mark(err, ErrNode)
}

// write puts a table in the store if it still holds the version given.
func (k *keyManager) write(ctx context.Context, t kqhome.Table, version string) error {
	value, err := json.Marshal(t)
	if err != nil {
		return errors.Mark(err, ErrNode)
	}
	_, err = k.node.store.Put(ctx, kqstore.KindLedger, kqstore.Object{Name: k.service, Version: version, Value: value})
	return err
}

// syncWithPeers asks the other members what they know.
func (k *keyManager) syncWithPeers(ctx context.Context, s *State) {
	k.mutex.Lock()
	members := k.home.Table().Members
	k.mutex.Unlock()
	self := k.self()
	for _, m := range members {
		record, found := recordByID(s, m.NodeID)
		if !found || m.NodeID == self.NodeID {
			continue
		}
		reply, err := k.ask(ctx, record, keyMessage{Sync: &self})
		if err != nil || reply.Table == nil {
			continue
		}
		k.mutex.Lock()
		k.home.RecordSyncReply(m.NodeID, reply.Synced, *reply.Table)
		k.publish()
		k.mutex.Unlock()
	}
}

func (k *keyManager) enforce() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.home.EnforceRemote() {
		k.publish()
	}
}

// successors lists the nodes that may take buckets from this one.
func (k *keyManager) successors(s *State) []kqmember.Record {
	var all []kqmember.Record
	k.mutex.Lock()
	table, service := k.home.Table(), k.service
	k.mutex.Unlock()
	for _, u := range s.Members.Upstreams(service) {
		if u.NodeID != k.node.settings.NodeID && table.Usable(u.NodeID) {
			all = append(all, u)
		}
	}
	return all
}

// balance offers one bucket to the node that has the fewest, when this one
// has more than its share, and again what was offered before.
func (k *keyManager) balance(ctx context.Context, s *State) {
	k.mutex.Lock()
	offered := k.home.PendingOffers()
	holds := k.home.ActiveBuckets()
	table := k.home.Table()
	k.mutex.Unlock()
	for _, o := range offered {
		if since, lost := k.loop.lost[o.Bucket]; lost && k.now()-since >= holderSilence {
			k.presume(o)
			continue
		}
		k.handOver(ctx, o.Bucket, o.Token.Holder)
	}
	if k.leaving.Load() {
		k.handOverAll(ctx, s)
		return
	}
	others := k.successors(s)
	if len(others) == 0 || len(holds) == 0 {
		return
	}
	least, count := leastLoaded(table, others)
	share := (kqhome.Buckets + len(others)) / (len(others) + 1)
	if len(holds) <= share || count >= share {
		return
	}
	k.handOver(ctx, holds[0], nodeOf(least))
}

// nodeOf is the start of a node that a record describes.
func nodeOf(r kqmember.Record) kqhome.Node {
	return kqhome.Node{NodeID: r.NodeID, Incarnation: r.Incarnation}
}

// leastLoaded gives the node that holds the fewest buckets.
func leastLoaded(t kqhome.Table, nodes []kqmember.Record) (kqmember.Record, int) {
	counts := map[string]int{}
	for _, k := range t.Tokens {
		counts[k.Holder.NodeID]++
	}
	least := nodes[0]
	for _, n := range nodes[1:] {
		if counts[n.NodeID] < counts[least.NodeID] {
			least = n
		}
	}
	return least, counts[least.NodeID]
}

// handOver offers a bucket to a node. While it is not known whether the node
// took it, the bucket stays stopped and is offered to nobody else.
func (k *keyManager) handOver(ctx context.Context, bucket int, to kqhome.Node) {
	record, found := recordOfIncarnation(k.node.State(), to)
	if !found {
		return
	}
	_, lost := k.loop.lost[bucket]
	if self := k.self(); !lost {
		// A bucket is stopped only for a node that answers at this moment.
		if _, err := k.ask(ctx, record, keyMessage{Sync: &self}); err != nil {
			return
		}
	}
	k.mutex.Lock()
	offer, ok := k.home.StartHandover(k.now(), bucket, to)
	k.mutex.Unlock()
	if !ok {
		return
	}
	reply, err := k.ask(ctx, record, keyMessage{Offer: &offer})
	k.mutex.Lock()
	defer k.mutex.Unlock()
	defer k.publish()
	switch {
	case err == nil && reply.Accepted:
		delete(k.loop.lost, bucket)
		go k.settleAll(to, k.home.CompleteHandover(bucket, offer.Token))
	case err == nil || errors.Is(err, kqlink.ErrNotSent) && !lost:
		delete(k.loop.lost, bucket)
		k.home.CancelHandover(bucket)
	case !lost:
		k.loop.lost[bucket] = k.now()
	}
}

// presume gives up a hand-over that the successor does not answer.
func (k *keyManager) presume(o kqhome.Offer) {
	k.node.log.Event(zerolog.WarnLevel, "no answer of "+o.Token.Holder.NodeID+", which may have taken keys", nil)
	delete(k.loop.lost, o.Bucket)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.home.PresumeTaken(o.Bucket)
	k.publish()
}

// watchHolders claims the buckets of holders that are dead or out of reach, if
// it is this node's turn.
func (k *keyManager) watchHolders(ctx context.Context, s *State) {
	k.mutex.Lock()
	table := k.home.Table()
	stray := len(k.home.UnheldBuckets()) > 0
	k.mutex.Unlock()
	probe := k.now()-k.loop.probedAt >= keyProbePeriod
	if probe {
		k.loop.probedAt = k.now()
	}
	// While a claim is under way, the table names this node as the home of what
	// it has claimed, but it is not yet.
	if stray && len(k.loop.claims) == 0 {
		k.claim(ctx, k.self())
	}
	holders := map[kqhome.Node]bool{}
	for _, t := range table.Tokens {
		holders[t.Holder] = true
	}
	for holder := range holders {
		if holder.NodeID == "" || holder == k.self() || k.loop.claims[holder] != nil || !k.isClaimant(s, holder) {
			continue
		}
		if k.isDead(ctx, s, holder, probe) {
			k.claim(ctx, holder)
		}
	}
}

// isClaimant is whether this node is the one to claim from the holder.
func (k *keyManager) isClaimant(s *State, holder kqhome.Node) bool {
	best, weight := "", uint64(0)
	for _, u := range s.Members.Upstreams(k.service) {
		if u.NodeID == holder.NodeID && u.Incarnation == holder.Incarnation {
			continue
		}
		if w := xxhash.Sum64String(holder.NodeID + "/" + u.NodeID); best == "" || w > weight {
			best, weight = u.NodeID, w
		}
	}
	return best == k.node.settings.NodeID
}

// isDead is whether the holder has restarted, has ended, or has not been
// reached for a while. A holder without a record is one that this node has
// never heard of, as in a fleet that starts, or that has been removed.
func (k *keyManager) isDead(ctx context.Context, s *State, holder kqhome.Node, probe bool) bool {
	record, found := recordByID(s, holder.NodeID)
	if record.Incarnation > holder.Incarnation || s.Members.Gone[holder.NodeID] >= holder.Incarnation {
		return true
	}
	switch removed := s.Members.Removed[holder.NodeID] >= holder.Incarnation; {
	case found:
		delete(k.loop.unknownSince, holder)
		if probe {
			k.probe(ctx, record, holder)
		}
	case removed:
		noteSince(k.loop.silentSince, holder, k.now())
	default:
		noteSince(k.loop.unknownSince, holder, k.now())
	}
	return outlasted(k.loop.silentSince, holder, k.now(), holderSilence) ||
		outlasted(k.loop.unknownSince, holder, k.now(), unknownSilence)
}

// probe asks a holder whether it is there.
func (k *keyManager) probe(ctx context.Context, record kqmember.Record, holder kqhome.Node) {
	self := k.self()
	if _, err := k.ask(ctx, record, keyMessage{Sync: &self}); err != nil {
		k.node.log.Event(zerolog.WarnLevel, "no answer of "+holder.NodeID+", which is the home of keys", err)
		noteSince(k.loop.silentSince, holder, k.now())
		return
	}
	delete(k.loop.silentSince, holder)
}
