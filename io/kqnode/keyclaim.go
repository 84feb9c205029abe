package kqnode

import (
	"context"
	"fmt"
	"slices"

	"github.com/rs/zerolog"

	"kumquatlink/core/kqhome"
	"kumquatlink/core/kqmember"
	"kumquatlink/io/kqstore"
)

// claimBuckets writes a claim of the holder's buckets to the store, fences this
// node's own gate, and adds the claim to the pending ones. If the answer to the
// write is lost, the table later names this node as the holder of buckets for
// which it has no ledger, and the node claims these from itself.
func (k *keyManager) claimBuckets(ctx context.Context, holder kqhome.Node) {
	if k.loop.claims[holder] != nil || k.now() < k.loop.joinAt {
		return
	}
	o, err := k.node.store.Get(ctx, kqstore.KindLedger, k.service)
	if err != nil {
		k.delayRetry(err)
		return
	}
	stored, err := decodeTable(o)
	if err != nil {
		k.delayRetry(err)
		return
	}
	k.mutex.Lock()
	k.home.MergeTable(stored)
	known := k.home.Table()
	candidates := kqhome.AllBuckets()
	if holder == k.home.Self() {
		candidates = k.home.UnheldBuckets()
	}
	k.mutex.Unlock()
	c, found := kqhome.NewClaim(known, k.self(), holder, candidates)
	if !found {
		return
	}
	if err := k.writeTable(ctx, c.Table(), o.Version); err != nil {
		k.delayRetry(err)
		return
	}
	k.loop.joinBackoff = minJoinBackoff
	k.mutex.Lock()
	c.RecordReply(k.home.Fence(k.now(), c.Table(), c.Buckets()))
	k.publish()
	k.mutex.Unlock()
	k.node.log.Event(zerolog.InfoLevel, "wrote a claim of the key buckets of node "+holder.NodeID, nil)
	k.loop.claims[holder] = &pendingClaim{claim: c, ledgerSources: map[int]string{}}
}

// delayRetry logs a failed read or write of the service's table, and doubles the
// time until the next attempt, up to maxJoinBackoff.
func (k *keyManager) delayRetry(err error) {
	k.node.log.Event(zerolog.WarnLevel, "table of key homes not read or written in the store, trying again later", err)
	k.loop.joinBackoff = min(2*k.loop.joinBackoff, maxJoinBackoff)
	k.loop.joinAt = k.now() + k.loop.joinBackoff
}

// advanceClaim sends the claim from a holder to the members whose replies it
// still needs, and completes it when all have replied. It drops a claim that was
// superseded. A claim needs two rounds of replies; if all members reply, both
// take place in one call.
func (k *keyManager) advanceClaim(ctx context.Context, holder kqhome.Node) {
	p := k.loop.claims[holder]
	if k.isSuperseded(p.claim) {
		delete(k.loop.claims, holder)
		return
	}
	for range 2 {
		for _, id := range p.claim.Pending() {
			k.requestFence(ctx, p, id)
		}
		if p.claim.Advance() {
			k.completeClaim(ctx, p)
			delete(k.loop.claims, holder)
			delete(k.loop.unreachableSince, holder)
			delete(k.loop.noRecordSince, holder)
			return
		}
	}
}

// isSuperseded reports whether a claim can no longer succeed: a member has
// refused it, or newer tokens have replaced all that it claims.
func (k *keyManager) isSuperseded(c *kqhome.Claim) bool {
	if c.Refused() {
		return true
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	current, claimed := k.home.Table(), c.Table()
	for _, b := range c.Buckets() {
		if current.Tokens[b] == claimed.Tokens[b] {
			return false
		}
	}
	return true
}

// requestFence asks a member to apply the claim, fetches the ledgers that the
// member holds of claimed buckets, and records the reply. A member that has shut
// down needs no request. If a request fails, the reply is not recorded and a later
// step tries again.
func (k *keyManager) requestFence(ctx context.Context, p *pendingClaim, nodeID string) {
	s := k.node.State()
	if incarnation, gone := s.Members.Gone[nodeID]; gone {
		p.claim.RecordEnded(kqhome.Node{NodeID: nodeID, Incarnation: incarnation})
		return
	}
	record, found := recordByID(s, nodeID)
	if !found {
		return
	}
	reply, err := k.request(ctx, record, keyMessage{Fence: &keyFence{Table: p.claim.Table(), Buckets: p.claim.Buckets()}})
	if err != nil || reply.Fence == nil {
		return
	}
	k.mutex.Lock()
	k.home.MergeTable(reply.Fence.Table)
	k.mutex.Unlock()
	for _, b := range reply.Fence.Held {
		if !slices.Contains(p.claim.Buckets(), b.Bucket) {
			continue
		}
		x, err := k.fetchLedger(ctx, nodeID, b.Bucket, b.Parts, p.claim.Table().Tokens[b.Bucket])
		if err != nil {
			return
		}
		p.claim.AddLedger(b, x)
		p.ledgerSources[b.Bucket] = nodeID
	}
	p.claim.RecordReply(*reply.Fence)
}

// fetchMissingLedgers requests the ledgers of buckets that this node has claimed
// without them from the former holders, which may only have been silent for a
// while. Until it has a ledger, this node answers unknown for the keys of a bucket.
func (k *keyManager) fetchMissingLedgers(ctx context.Context, s *State) {
	if k.now()-k.loop.fetchedAt < keyProbePeriod {
		return
	}
	k.loop.fetchedAt = k.now()
	k.mutex.Lock()
	missing, table := k.home.MissingLedgers(k.now()), k.home.Table()
	k.mutex.Unlock()
	for holder, buckets := range missing {
		record, found := recordOfIncarnation(s, holder)
		if !found {
			continue
		}
		reply, err := k.request(ctx, record, keyMessage{Fence: &keyFence{Table: table, Buckets: buckets}})
		if err != nil || reply.Fence == nil {
			continue
		}
		for _, b := range reply.Fence.Held {
			if slices.Contains(buckets, b.Bucket) {
				k.addMissingLedger(ctx, record, b, table.Tokens[b.Bucket])
			}
		}
	}
}

// addMissingLedger fetches the ledger of a bucket from its former holder.
func (k *keyManager) addMissingLedger(ctx context.Context, former kqmember.Record, b kqhome.HeldBucket, token kqhome.Token) {
	x, err := k.fetchLedger(ctx, former.NodeID, b.Bucket, b.Parts, token)
	if err != nil {
		return
	}
	k.mutex.Lock()
	added := k.home.AddMissingLedger(k.now(), b, x)
	k.mutex.Unlock()
	if !added {
		return
	}
	k.node.log.Event(zerolog.InfoLevel, fmt.Sprintf("node %s handed out the ledger of key bucket %d after the claim: its keys are no longer in doubt", former.NodeID, b.Bucket), nil)
	_, _ = k.request(ctx, former, keyMessage{Taken: &keyTaken{Bucket: b.Bucket, Token: token}})
}

// completeClaim makes this node the home of the buckets that it claimed, informs
// the former homes that handed out ledgers, and records the members that the
// claim did without.
func (k *keyManager) completeClaim(ctx context.Context, p *pendingClaim) {
	k.mutex.Lock()
	k.home.CompleteClaim(k.now(), p.claim)
	k.publish()
	k.mutex.Unlock()
	k.node.log.Event(zerolog.InfoLevel, fmt.Sprintf("claim of %d key buckets is complete; ledgers were received for %d", len(p.claim.Buckets()), len(p.ledgerSources)), nil)
	for bucket, source := range p.ledgerSources {
		record, found := recordByID(k.node.State(), source)
		if !found {
			continue
		}
		_, _ = k.request(ctx, record, keyMessage{Taken: &keyTaken{Bucket: bucket, Token: p.claim.Table().Tokens[bucket]}})
	}
	for _, id := range p.claim.LeftOut() {
		k.loop.leftOut[id] = true
	}
}

// removeMembers removes members from the store's table: those that a completed
// claim of this node has left out, which all other members know of by then, and
// those that have reported their own shutdown. Later claims would otherwise wait
// for their replies without end.
func (k *keyManager) removeMembers(ctx context.Context, s *State) {
	k.mutex.Lock()
	known := k.home.Table()
	k.mutex.Unlock()
	if k.now() < k.loop.joinAt || len(k.removableMembers(s, known)) == 0 {
		return
	}
	o, err := k.node.store.Get(ctx, kqstore.KindLedger, k.service)
	if err != nil {
		k.delayRetry(err)
		return
	}
	stored, err := decodeTable(o)
	if err != nil {
		k.delayRetry(err)
		return
	}
	removable := k.removableMembers(s, stored)
	if len(removable) == 0 {
		k.mergeTables([]kqhome.Table{stored})
		return
	}
	next := stored.Remove(removable)
	if err := k.writeTable(ctx, next, o.Version); err != nil {
		k.delayRetry(err)
		return
	}
	k.loop.joinBackoff = minJoinBackoff
	k.mergeTables([]kqhome.Table{next})
}

// removableMembers lists the IDs of the members of t that may be removed. For a
// member that has shut down, only one node does it: the one that would claim its
// buckets.
func (k *keyManager) removableMembers(s *State, t kqhome.Table) []string {
	var nodeIDs []string
	for _, m := range t.Members {
		incarnation, gone := s.Members.Gone[m.NodeID]
		gone = gone && incarnation >= m.Incarnation
		if k.loop.leftOut[m.NodeID] && !t.Usable(m.NodeID) || gone && k.isClaimant(s, m) {
			nodeIDs = append(nodeIDs, m.NodeID)
		}
	}
	return nodeIDs
}
