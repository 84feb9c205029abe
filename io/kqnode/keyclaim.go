package kqnode

import (
	"context"
	"fmt"

	"github.com/rs/zerolog"

	"kumquatlink/core/kqhome"
	"kumquatlink/io/kqstore"
)

// claim writes a claim of the holder's buckets to the store. When the answer
// to the write is lost, the table shows later that this node has claimed, and
// it claims anew from itself.
func (k *keyManager) claim(ctx context.Context, holder kqhome.Node) {
	if k.loop.claims[holder] != nil || k.now() < k.loop.joinAt {
		return
	}
	o, err := k.node.store.Get(ctx, kqstore.KindLedger, k.service)
	if err != nil {
		k.postpone(err)
		return
	}
	stored, err := decodeTable(o)
	if err != nil {
		k.postpone(err)
		return
	}
	k.mutex.Lock()
	k.home.MergeTable(stored)
	known := k.home.Table()
	among := kqhome.AllBuckets()
	if holder == k.home.Self() {
		among = k.home.UnheldBuckets()
	}
	k.mutex.Unlock()
	c, some := kqhome.NewClaim(known, k.self(), holder, among)
	if !some {
		return
	}
	if err := k.write(ctx, c.Table(), o.Version); err != nil {
		k.postpone(err)
		return
	}
	k.loop.joinPause = joinPause
	k.mutex.Lock()
	k.home.Fence(k.now(), c.Table(), c.Buckets())
	k.publish()
	k.mutex.Unlock()
	k.node.log.Event(zerolog.InfoLevel, "claimed the keys of "+holder.NodeID, nil)
	k.loop.claims[holder] = &pendingClaim{claim: c, givers: map[int]string{}}
}

// postpone spaces attempts that the store did not take.
func (k *keyManager) postpone(err error) {
	k.node.log.Event(zerolog.WarnLevel, "claim keys", err)
	k.loop.joinPause = min(2*k.loop.joinPause, joinPauseMost)
	k.loop.joinAt = k.now() + k.loop.joinPause
}

// pursue asks the members whose word the claim still needs.
func (k *keyManager) pursue(ctx context.Context, holder kqhome.Node) {
	p := k.loop.claims[holder]
	if k.overtaken(p.claim) {
		delete(k.loop.claims, holder)
		return
	}
	for range 2 {
		for _, id := range p.claim.Pending() {
			k.fence(ctx, p, id)
		}
		if p.claim.Advance() {
			k.complete(ctx, p)
			delete(k.loop.claims, holder)
			delete(k.loop.silentSince, holder)
			delete(k.loop.unknownSince, holder)
			return
		}
	}
}

// overtaken is whether a claim can come to nothing any more.
func (k *keyManager) overtaken(c *kqhome.Claim) bool {
	if c.Refused() {
		return true
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now, wanted := k.home.Table(), c.Table()
	for _, b := range c.Buckets() {
		if now.Tokens[b] == wanted.Tokens[b] {
			return false
		}
	}
	return true
}

// fence asks one member for its word.
func (k *keyManager) fence(ctx context.Context, p *pendingClaim, nodeID string) {
	s := k.node.State()
	if incarnation, gone := s.Members.Gone[nodeID]; gone {
		p.claim.RecordEnded(kqhome.Node{NodeID: nodeID, Incarnation: incarnation})
		return
	}
	record, found := recordByID(s, nodeID)
	if !found {
		return
	}
	reply, err := k.ask(ctx, record, keyMessage{Fence: &keyFence{Table: p.claim.Table(), Buckets: p.claim.Buckets()}})
	if err != nil || reply.Fence == nil {
		return
	}
	k.mutex.Lock()
	k.home.MergeTable(reply.Fence.Table)
	k.mutex.Unlock()
	for _, b := range reply.Fence.Held {
		x, err := k.pull(ctx, nodeID, b.Bucket, b.Parts, p.claim.Table().Tokens[b.Bucket])
		if err != nil {
			return
		}
		p.claim.AddLedger(b, x)
		p.givers[b.Bucket] = nodeID
	}
	p.claim.RecordReply(*reply.Fence)
}

// complete makes this node the home of what it claimed, tells the former homes
// that were alive, and notes the member that was left out.
func (k *keyManager) complete(ctx context.Context, p *pendingClaim) {
	k.mutex.Lock()
	k.home.CompleteClaim(k.now(), p.claim)
	k.publish()
	k.mutex.Unlock()
	k.node.log.Event(zerolog.InfoLevel, fmt.Sprintf("home of %d claimed buckets, with the ledgers of %d", len(p.claim.Buckets()), len(p.givers)), nil)
	for bucket, giver := range p.givers {
		record, found := recordByID(k.node.State(), giver)
		if !found {
			continue
		}
		_, _ = k.ask(ctx, record, keyMessage{Taken: &keyTaken{Bucket: bucket, Token: p.claim.Table().Tokens[bucket]}})
	}
	for _, id := range p.claim.LeftOut() {
		k.loop.leftOut[id] = true
	}
}

// tidy takes members out of the store's table: those that a completed claim has
// left out, of which all others know by then, and those that have ended by
// their own word. Else the claims to come would wait for them in vain.
func (k *keyManager) tidy(ctx context.Context, s *State) {
	k.mutex.Lock()
	known := k.home.Table()
	k.mutex.Unlock()
	if k.now() < k.loop.joinAt || len(k.over(s, known)) == 0 {
		return
	}
	o, err := k.node.store.Get(ctx, kqstore.KindLedger, k.service)
	if err != nil {
		k.postpone(err)
		return
	}
	stored, err := decodeTable(o)
	if err != nil {
		k.postpone(err)
		return
	}
	over := k.over(s, stored)
	if len(over) == 0 {
		k.mergeTables([]kqhome.Table{stored})
		return
	}
	next := stored.Remove(over)
	if err := k.write(ctx, next, o.Version); err != nil {
		k.postpone(err)
		return
	}
	k.loop.joinPause = joinPause
	k.mergeTables([]kqhome.Table{next})
}

// over lists the members of a table that are to be taken out.
func (k *keyManager) over(s *State, t kqhome.Table) []string {
	var ids []string
	for _, m := range t.Members {
		incarnation, gone := s.Members.Gone[m.NodeID]
		gone = gone && incarnation >= m.Incarnation
		if k.loop.leftOut[m.NodeID] && !t.Usable(m.NodeID) || gone && k.isClaimant(s, m) {
			ids = append(ids, m.NodeID)
		}
	}
	return ids
}
