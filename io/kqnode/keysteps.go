package kqnode

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"kumquatlink/core/kqhome"
	"kumquatlink/core/kqmember"
	"kumquatlink/io/kqlink"
	"kumquatlink/io/kqstore"
)

// Periods and timeouts of the manager's loop.
const (
	// keyStepPeriod is the time between two steps of the loop.
	keyStepPeriod = 100 * time.Millisecond
	// keyProbePeriod is the least time between two probes of a holder.
	keyProbePeriod = time.Second
	// holderTimeout is how long a holder must be out of reach before its buckets
	// are claimed. A claim of the buckets of a holder that is alive does no harm.
	holderTimeout = 3 * time.Second
	// unknownHolderTimeout is the same for a holder without a membership record,
	// which can't be probed. It is twice kqmember.RemoveAfter, within which
	// gossip delivers the record of every node that is alive.
	unknownHolderTimeout = 2 * kqmember.RemoveAfter
	// minJoinBackoff and maxJoinBackoff bound the time between attempts to access
	// the table in the store. It doubles with every failure.
	minJoinBackoff = 50 * time.Millisecond
	maxJoinBackoff = 10 * time.Second
)

// keyLoopState is the state of the loop in [keyManager.run]. Times are on the
// clock of [keyManager.now].
type keyLoopState struct {
	// claims holds the pending claims, by the holder whose buckets they claim.
	claims map[kqhome.Node]*pendingClaim
	// unansweredSince is when the offer of a bucket was first sent without an
	// answer, by bucket. The offer may have arrived.
	unansweredSince map[int]time.Duration
	// leftOut holds the IDs of members that a completed claim of this node did
	// without.
	leftOut map[string]bool
	// unreachableSince is when a holder was first found removed from the
	// membership or did not answer a probe.
	unreachableSince map[kqhome.Node]time.Duration
	// noRecordSince is when a holder was first found without a membership record.
	noRecordSince map[kqhome.Node]time.Duration
	probedAt      time.Duration
	// fetchedAt is when missing ledgers were last requested.
	fetchedAt time.Duration
	// joinAt is the earliest time of the next access to the table in the store.
	joinAt      time.Duration
	joinBackoff time.Duration
	// readEra is the era of the store for which the table was last read again, and
	// readAt when that is due, or 0.
	readEra uint64
	readAt  time.Duration
}

// pendingClaim is a claim that was written to the store and is not complete.
type pendingClaim struct {
	claim *kqhome.Claim
	// ledgerSources holds the ID of the former home that handed out the ledger of
	// a bucket, by bucket.
	ledgerSources map[int]string
}

func newKeyLoopState() keyLoopState {
	return keyLoopState{
		claims: map[kqhome.Node]*pendingClaim{}, unansweredSince: map[int]time.Duration{}, leftOut: map[string]bool{},
		unreachableSince: map[kqhome.Node]time.Duration{}, noRecordSince: map[kqhome.Node]time.Duration{}, joinBackoff: minJoinBackoff,
	}
}

// markSince records now as the time at which a condition of the holder began,
// unless an earlier time is recorded.
func markSince(since map[kqhome.Node]time.Duration, holder kqhome.Node, now time.Duration) {
	if _, found := since[holder]; !found {
		since[holder] = now
	}
}

// lastsFor reports whether a condition of the holder has lasted for at least
// minimum.
func lastsFor(since map[kqhome.Node]time.Duration, holder kqhome.Node, now, minimum time.Duration) bool {
	at, found := since[holder]
	return found && now-at >= minimum
}

// run registers the node in the service's table, balances the buckets over the
// nodes of the service, and claims the buckets of dead nodes, until ctx ends.
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

// step does what run has to do in one period. Nothing happens before the node
// knows its backend server and a class of work with keys.
func (k *keyManager) step(ctx context.Context) {
	s := k.node.State()
	if s.Backend == nil || s.Classes == nil || !hasRunOnceClass(s) {
		return
	}
	k.initHome(s)
	k.mutex.Lock()
	ready := k.home.Synced() && k.home.Registered()
	k.home.Tick(k.now())
	k.mutex.Unlock()
	if !ready {
		k.join(ctx, s)
		return
	}
	k.followRestore(ctx, s)
	k.enforceRemote()
	k.balance(ctx, s)
	if k.leaving.Load() {
		return
	}
	k.watchHolders(ctx, s)
	k.fetchMissingLedgers(ctx, s)
	k.removeMembers(ctx, s)
	for holder := range k.loop.claims {
		k.advanceClaim(ctx, holder)
	}
}

// hasRunOnceClass reports whether the configuration has a class of work that must
// not be repeated.
func hasRunOnceClass(s *State) bool {
	for _, c := range s.Configuration.Classes {
		if c.RunOnce {
			return true
		}
	}
	return false
}

// initHome creates the home for the service of the node's backend server, unless
// this incarnation of the node has one.
func (k *keyManager) initHome(s *State) {
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

// self returns the node's ID and incarnation.
func (k *keyManager) self() kqhome.Node {
	return nodeOf(k.node.State().Members.Own)
}

// join registers the node in the table in the store. While the store is
// unavailable, it syncs with the other members instead.
func (k *keyManager) join(ctx context.Context, s *State) {
	if k.now() < k.loop.joinAt {
		return
	}
	err := k.register(ctx, s)
	if err == nil {
		k.loop.joinBackoff = minJoinBackoff
		return
	}
	k.loop.joinBackoff = min(2*k.loop.joinBackoff, maxJoinBackoff)
	k.loop.joinAt = k.now() + rand.N(k.loop.joinBackoff)
	if errors.Is(err, kqstore.ErrUnavailable) {
		k.node.log.Event(zerolog.WarnLevel, "not registered in the table of key homes in the store, syncing with the other members instead", err)
		k.syncWithPeers(ctx, s)
	}
}

// register adds this incarnation to the members of the table in the store, and
// adopts the table. It creates the table if there is none.
func (k *keyManager) register(ctx context.Context, s *State) error {
	o, err := k.node.store.Get(ctx, kqstore.KindLedger, k.service)
	if errors.Is(err, kqstore.ErrNotFound) {
		return k.createTable(ctx, s)
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
		if err := k.writeTable(ctx, table, o.Version); err != nil {
			return err
		}
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.home.AdoptCreated(table)
	k.publish()
	return nil
}

// decodeTable decodes a table that the store holds, with the era of the store.
func decodeTable(o kqstore.Object) (kqhome.Table, error) {
	var t kqhome.Table
	err := json.Unmarshal(o.Value, &t)
	era, _ := kqstore.ParseVersion(o.Version)
	t.Era = eraNumber(era)
	return t, errors.Mark(err, ErrNode)
}

// writeTable writes a table to the store, on condition that the stored object
// still has the given version.
func (k *keyManager) writeTable(ctx context.Context, t kqhome.Table, version string) error {
	value, err := json.Marshal(t)
	if err != nil {
		return errors.Mark(err, ErrNode)
	}
	_, err = k.node.store.Put(ctx, kqstore.KindLedger, kqstore.Object{Name: k.service, Version: version, Value: value})
	return err
}

// syncWithPeers requests the tables of the other members and merges them.
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
		reply, err := k.request(ctx, record, keyMessage{Sync: &self})
		if err != nil || reply.Table == nil {
			continue
		}
		k.mutex.Lock()
		k.home.RecordSyncReply(m.NodeID, reply.Synced, *reply.Table)
		k.publish()
		k.mutex.Unlock()
	}
}

// enforceRemote lets the home apply [kqhome.Home.EnforceRemote], and publishes the
// table if it changed.
func (k *keyManager) enforceRemote() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.home.EnforceRemote() {
		k.publish()
	}
}

// successors lists the other nodes of the service that may take over buckets.
func (k *keyManager) successors(s *State) []kqmember.Record {
	var nodes []kqmember.Record
	k.mutex.Lock()
	table, service := k.home.Table(), k.service
	k.mutex.Unlock()
	for _, u := range s.Members.Upstreams(service) {
		if u.NodeID != k.node.settings.NodeID && table.Usable(u.NodeID) {
			nodes = append(nodes, u)
		}
	}
	return nodes
}

// balance repeats the offers that have no answer yet, and then hands one bucket
// over to the node with the fewest, if this node has more than an equal share. A
// node that shuts down hands all its buckets over. A handover without an answer
// for holderTimeout is presumed taken.
func (k *keyManager) balance(ctx context.Context, s *State) {
	k.mutex.Lock()
	offered := k.home.PendingOffers()
	owned := k.home.ActiveBuckets()
	table := k.home.Table()
	k.mutex.Unlock()
	for _, o := range offered {
		if since, unanswered := k.loop.unansweredSince[o.Bucket]; unanswered && k.now()-since >= holderTimeout {
			k.presumeTaken(o)
			continue
		}
		k.handOver(ctx, o.Bucket, o.Token.Holder)
	}
	if k.leaving.Load() {
		k.handOverAll(ctx, s)
		return
	}
	others := k.successors(s)
	if len(others) == 0 || len(owned) == 0 {
		return
	}
	least, count := leastLoaded(table, others)
	share := (kqhome.Buckets + len(others)) / (len(others) + 1)
	if len(owned) <= share || count >= share {
		return
	}
	if settled := k.withLedger(s, owned); len(settled) > 0 {
		k.handOver(ctx, settled[0], nodeOf(least))
	}
}

// withLedger returns those of the buckets whose ledger this node does not still
// expect from a former holder, which would not find the next holder.
func (k *keyManager) withLedger(s *State, buckets []int) []int {
	k.mutex.Lock()
	missing := k.home.MissingLedgers(k.now())
	k.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(buckets), func(b int) bool {
		for holder, expected := range missing {
			if _, found := recordOfIncarnation(s, holder); found && slices.Contains(expected, b) {
				return true
			}
		}
		return false
	})
}

// nodeOf returns the node and incarnation that a membership record describes.
func nodeOf(r kqmember.Record) kqhome.Node {
	return kqhome.Node{NodeID: r.NodeID, Incarnation: r.Incarnation}
}

// leastLoaded returns the node that holds the fewest buckets, and their number.
func leastLoaded(t kqhome.Table, nodes []kqmember.Record) (kqmember.Record, int) {
	counts := map[string]int{}
	for _, token := range t.Tokens {
		counts[token.Holder.NodeID]++
	}
	least := nodes[0]
	for _, n := range nodes[1:] {
		if counts[n.NodeID] < counts[least.NodeID] {
			least = n
		}
	}
	return least, counts[least.NodeID]
}

// handOver offers a bucket to a node. As long as it is unknown whether the node
// has taken it, the bucket stays frozen and is offered to no other node.
func (k *keyManager) handOver(ctx context.Context, bucket int, to kqhome.Node) {
	record, found := recordOfIncarnation(k.node.State(), to)
	if !found {
		return
	}
	_, unanswered := k.loop.unansweredSince[bucket]
	if self := k.self(); !unanswered {
		// Don't freeze the bucket for a node that can't be reached: check with a
		// sync request that the node answers.
		if _, err := k.request(ctx, record, keyMessage{Sync: &self}); err != nil {
			return
		}
	}
	k.mutex.Lock()
	offer, ok := k.home.StartHandover(k.now(), bucket, to)
	k.mutex.Unlock()
	if !ok {
		return
	}
	reply, err := k.request(ctx, record, keyMessage{Offer: &offer})
	k.mutex.Lock()
	defer k.mutex.Unlock()
	defer k.publish()
	switch {
	case err == nil && reply.Accepted:
		delete(k.loop.unansweredSince, bucket)
		go k.sendSettlements(to, k.home.CompleteHandover(bucket, offer.Token))
	case err == nil || errors.Is(err, kqlink.ErrNotSent) && !unanswered:
		delete(k.loop.unansweredSince, bucket)
		k.home.CancelHandover(bucket)
	case !unanswered:
		k.loop.unansweredSince[bucket] = k.now()
	}
}

// presumeTaken ends a handover that the successor has not answered, as if the
// successor had taken the bucket. If it has not, the bucket has no home until it
// is claimed.
func (k *keyManager) presumeTaken(o kqhome.Offer) {
	k.node.log.Event(zerolog.WarnLevel, "no answer to the handover of a key bucket from node "+o.Token.Holder.NodeID+"; the bucket is presumed taken", nil)
	delete(k.loop.unansweredSince, o.Bucket)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.home.PresumeTaken(o.Bucket)
	k.publish()
}

// watchHolders claims the buckets of holders that are dead or out of reach, if
// this node is the claimant. It also claims the buckets that the table assigns to
// this node although it has no ledger for them.
func (k *keyManager) watchHolders(ctx context.Context, s *State) {
	k.mutex.Lock()
	table := k.home.Table()
	unheld := len(k.home.UnheldBuckets()) > 0
	k.mutex.Unlock()
	mayProbe := k.now()-k.loop.probedAt >= keyProbePeriod
	if mayProbe {
		k.loop.probedAt = k.now()
	}
	// While a claim is pending, the claimed buckets are expected to be unheld: the
	// table already assigns them to this node.
	if unheld && len(k.loop.claims) == 0 {
		k.claimBuckets(ctx, k.self())
	}
	holders := map[kqhome.Node]bool{}
	for _, t := range table.Tokens {
		holders[t.Holder] = true
	}
	for holder := range holders {
		if holder.NodeID == "" || holder == k.self() || k.loop.claims[holder] != nil || !k.isClaimant(s, holder) {
			continue
		}
		if k.isDead(ctx, s, holder, mayProbe) {
			k.claimBuckets(ctx, holder)
		}
	}
}

// isClaimant reports whether this node is the one that claims from the holder. All
// nodes of the service choose the same claimant by rendezvous hashing, provided
// that they know the same members.
func (k *keyManager) isClaimant(s *State, holder kqhome.Node) bool {
	claimant, weight := "", uint64(0)
	for _, u := range s.Members.Upstreams(k.service) {
		if u.NodeID == holder.NodeID && u.Incarnation == holder.Incarnation {
			continue
		}
		if w := xxhash.Sum64String(holder.NodeID + "/" + u.NodeID); claimant == "" || w > weight {
			claimant, weight = u.NodeID, w
		}
	}
	return claimant == k.node.settings.NodeID
}

// isDead reports whether the holder has restarted, has shut down, or has been out
// of reach for its timeout. A holder without a membership record was either
// removed or is not known to this node yet, as in a fleet that is starting. A
// holder with a record is probed if mayProbe is set.
func (k *keyManager) isDead(ctx context.Context, s *State, holder kqhome.Node, mayProbe bool) bool {
	record, found := recordByID(s, holder.NodeID)
	if record.Incarnation > holder.Incarnation || s.Members.Gone[holder.NodeID] >= holder.Incarnation {
		return true
	}
	switch removed := s.Members.Removed[holder.NodeID] >= holder.Incarnation; {
	case found:
		delete(k.loop.noRecordSince, holder)
		if mayProbe {
			k.probe(ctx, record, holder)
		}
	case removed:
		markSince(k.loop.unreachableSince, holder, k.now())
	default:
		markSince(k.loop.noRecordSince, holder, k.now())
	}
	return lastsFor(k.loop.unreachableSince, holder, k.now(), holderTimeout) ||
		lastsFor(k.loop.noRecordSince, holder, k.now(), unknownHolderTimeout)
}

// probe sends a sync request to the holder, to find out whether it can be reached.
func (k *keyManager) probe(ctx context.Context, record kqmember.Record, holder kqhome.Node) {
	self := k.self()
	if _, err := k.request(ctx, record, keyMessage{Sync: &self}); err != nil {
		k.node.log.Event(zerolog.WarnLevel, "probe of node "+holder.NodeID+", a home of keys, failed", err)
		markSince(k.loop.unreachableSince, holder, k.now())
		return
	}
	delete(k.loop.unreachableSince, holder)
}
