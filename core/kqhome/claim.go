package kqhome

import (
	"slices"
	"time"

	"kumquatlink/core/kqledger"
)

// FenceReply is the reply of a member that has applied a claim: from now on its
// gate runs nothing of a lower generation than the claim's table holds.
type FenceReply struct {
	Node Node
	// Held are the claimed buckets of which the member was the home. It has
	// stopped serving them and hands out their ledgers.
	Held []HeldBucket
	// Known are the newest incarnations that have asked the member to sync, and
	// the members that a restore of the store has removed from the table.
	Known []Node
	// Refused is set when the member knows a different claim of the same or a
	// higher generation. This happens when the store was restored from a copy.
	Refused bool
	// Table is the member's own view of the service.
	Table Table
}

// HeldBucket is a claimed bucket whose former holder is alive and can hand out
// the ledger in Parts parts.
type HeldBucket struct {
	Bucket int
	Token  Token
	Parts  int
}

// Fence applies a claim of buckets: it merges the claim's table t, so that this
// node's gate runs nothing of a lower generation, and freezes those of the
// buckets that this node is the home of. The reply refuses the claim if it
// conflicts with another one, or names a bucket that does not exist.
func (h *Home) Fence(now time.Duration, t Table, buckets []int) FenceReply {
	if h.conflicts(t, buckets) {
		return FenceReply{Node: h.self, Refused: true, Table: h.Table()}
	}
	h.MergeTable(t)
	r := FenceReply{Node: h.self, Table: h.Table()}
	for _, b := range buckets {
		if b < 0 || b >= Buckets {
			continue
		}
		owned := h.owned[b]
		if owned == nil || owned.Token.Epoch.Generation >= t.Tokens[b].Epoch.Generation {
			continue
		}
		// The node that this bucket was offered to may already have taken it
		// and run calls, so the ledger here may be out of date.
		if owned.frozen != nil && owned.offered.Holder.NodeID != "" {
			continue
		}
		if owned.frozen == nil {
			h.freeze(now, b)
		}
		r.Held = append(r.Held, HeldBucket{Bucket: b, Token: owned.Token, Parts: h.Parts(b)})
	}
	for id, i := range h.known {
		r.Known = append(r.Known, Node{NodeID: id, Incarnation: i})
	}
	for _, m := range h.lost {
		r.Known = append(r.Known, m)
	}
	return r
}

// conflicts reports whether t claims a bucket that does not exist, or one for
// which this node knows a different token of the same or a higher generation.
func (h *Home) conflicts(t Table, buckets []int) bool {
	return slices.ContainsFunc(buckets, func(b int) bool {
		if b < 0 || b >= Buckets {
			return true
		}
		known, claimed := h.table.Tokens[b], t.Tokens[b]
		return known.Epoch.Generation >= claimed.Epoch.Generation && known != claimed || h.fences[b] > claimed.Epoch.Generation
	})
}

// AllBuckets lists the numbers of all buckets.
func AllBuckets() []int {
	all := make([]int, Buckets)
	for b := range all {
		all[b] = b
	}
	return all
}

// Claim is the attempt of one node to become the home of buckets whose holder is
// dead or out of reach. It is complete after two rounds in which every other
// member but the optional one has replied, with no restart in between: at the
// moment between the two rounds, all of them had applied the claim.
type Claim struct {
	self    Node
	table   Table
	buckets []int
	// previous are the tokens of the claimed buckets before the claim.
	previous [Buckets]Token
	// optional is the former holder, if the claim can complete without its
	// reply, or empty.
	optional string
	// replied are the incarnations that replied last, or 0, by node.
	replied map[string]uint64
	// newest are the newest known incarnations by node; replies of older ones
	// do not count.
	newest  map[string]uint64
	refused bool
	// confirmed are the nodes that have replied in the current round.
	confirmed map[string]bool
	// secondRound is set in the second of the two rounds.
	secondRound bool
	// ledgers are those that living holders handed out, by bucket.
	ledgers map[int]kqledger.Export
}

// NewClaim prepares a claim of those of the candidate buckets that holder has in
// table t. The claim's table is to be written to the store on condition that the
// store still holds version t.Version. NewClaim returns false if there is
// nothing to claim. A node that claims from itself must pass its unheld buckets
// only, since a claim puts every bucket in doubt whose ledger nobody hands out.
func NewClaim(t Table, self, holder Node, candidates []int) (*Claim, bool) {
	c := &Claim{self: self, replied: map[string]uint64{}, newest: map[string]uint64{}, confirmed: map[string]bool{}, ledgers: map[int]kqledger.Export{}}
	c.table = t.Clone()
	c.table.Version++
	allRemote := true
	for b, k := range t.Tokens {
		if k.Holder != holder || !slices.Contains(candidates, b) {
			continue
		}
		c.buckets = append(c.buckets, b)
		c.previous[b] = k
		allRemote = allRemote && k.Remote
		c.table.Tokens[b] = Token{Holder: self, Epoch: Epoch{Generation: k.Epoch.Generation + 1}, Remote: k.Remote}
	}
	if allRemote && holder.NodeID != self.NodeID {
		c.optional = holder.NodeID
		c.table.Leaving = append(c.table.Leaving, holder.NodeID)
	}
	for _, m := range t.Members {
		c.replied[m.NodeID] = 0
		c.newest[m.NodeID] = m.Incarnation
	}
	return c, len(c.buckets) > 0
}

// Table returns the table that the claim writes to the store.
func (c *Claim) Table() Table {
	return c.table.Clone()
}

// Buckets lists the claimed buckets.
func (c *Claim) Buckets() []int {
	return slices.Clone(c.buckets)
}

// Pending lists the nodes whose reply is missing in the current round, in order
// of their IDs.
func (c *Claim) Pending() []string {
	var ids []string
	for id := range c.replied {
		if id != c.self.NodeID && !c.confirmed[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// OptionalMember returns the former holder if the claim can complete without its
// reply, or an empty string.
func (c *Claim) OptionalMember() string {
	return c.optional
}

// RecordReply records the reply of a member. A node that has restarted between
// the two rounds may have lost what it learned in the first, so both rounds
// start over.
func (c *Claim) RecordReply(r FenceReply) {
	if r.Refused {
		c.refused = true
		return
	}
	for _, n := range r.Known {
		c.recordIncarnation(n)
	}
	if r.Node.Incarnation < c.newest[r.Node.NodeID] {
		return
	}
	if c.secondRound && c.replied[r.Node.NodeID] != r.Node.Incarnation {
		c.restartRounds()
	}
	c.replied[r.Node.NodeID] = r.Node.Incarnation
	c.confirmed[r.Node.NodeID] = true
}

// recordIncarnation records an incarnation that may run calls. If it is new to
// the claim, and its node has replied before or was unknown, both rounds start
// over.
func (c *Claim) recordIncarnation(n Node) {
	replied, found := c.replied[n.NodeID]
	if !found {
		c.replied[n.NodeID] = 0
	}
	c.newest[n.NodeID] = max(c.newest[n.NodeID], n.Incarnation)
	if replied < c.newest[n.NodeID] && (!found || replied != 0) {
		c.restartRounds()
	}
}

// Refused reports whether a member has refused the claim because it knows a
// conflicting one.
func (c *Claim) Refused() bool {
	return c.refused
}

// RecordEnded counts a node that has reported its own shutdown as one that has
// replied, since it runs nothing any more.
func (c *Claim) RecordEnded(n Node) {
	if _, found := c.replied[n.NodeID]; found {
		c.RecordReply(FenceReply{Node: n})
	}
}

// restartRounds goes back to the start of the first round.
func (c *Claim) restartRounds() {
	c.secondRound = false
	clear(c.confirmed)
}

// AddLedger records the ledger of a bucket that its living holder has handed
// out. A ledger of another generation than the one before the claim is ignored.
func (c *Claim) AddLedger(b HeldBucket, x kqledger.Export) {
	if b.Bucket >= 0 && b.Bucket < Buckets && b.Token.Epoch.Generation == c.previous[b.Bucket].Epoch.Generation {
		c.ledgers[b.Bucket] = x
	}
}

// Advance starts the second round when the first is complete, and reports
// whether both are complete. A refused claim never completes.
func (c *Claim) Advance() bool {
	if c.refused {
		return false
	}
	for _, id := range c.Pending() {
		if id != c.optional {
			return false
		}
	}
	if c.secondRound {
		return true
	}
	c.secondRound = true
	clear(c.confirmed)
	return false
}

// LeftOut lists the members that a complete claim did without: the former
// holder, if it has not replied.
func (c *Claim) LeftOut() []string {
	return c.Pending()
}

// CompleteClaim makes this node the home of the buckets that c has claimed,
// apart from those of which it knows a later claim. A bucket whose ledger the
// former holder did not hand out is in doubt.
func (h *Home) CompleteClaim(now time.Duration, c *Claim) {
	h.MergeTable(c.table)
	for _, b := range c.buckets {
		token := c.table.Tokens[b]
		if h.table.Tokens[b] != token || h.fences[b] > token.Epoch.Generation {
			continue
		}
		x, found := c.ledgers[b]
		if owned := h.owned[b]; !found && owned != nil {
			x = owned.ledger.Export(now)
		}
		h.takeBucket(now, b, token, x)
		if !found {
			h.owned[b].ledger.MarkInDoubt(now)
			h.owned[b].former = c.previous[b]
		}
	}
}

// MissingLedgers lists the buckets that this node has claimed without their
// ledgers, by the former holder. That may only have been out of reach.
func (h *Home) MissingLedgers(now time.Duration) map[Node][]int {
	missing := map[Node][]int{}
	for b, owned := range h.owned {
		if h.missesLedger(b) && owned.ledger.InDoubt(now) {
			missing[owned.former.Holder] = append(missing[owned.former.Holder], b)
		}
	}
	return missing
}

// missesLedger reports whether this node is the home of a bucket, and claimed it
// without its ledger.
func (h *Home) missesLedger(b int) bool {
	owned := h.owned[b]
	return owned != nil && owned.frozen == nil && owned.former.Holder.NodeID != "" && h.table.Tokens[b] == owned.Token
}

// AddMissingLedger adds a ledger that the former holder of a claimed bucket handed
// out after the claim, which ends the doubt. It reports whether it was added: not
// if the former holder was not the last one of its generation.
func (h *Home) AddMissingLedger(now time.Duration, b HeldBucket, x kqledger.Export) bool {
	if b.Bucket < 0 || b.Bucket >= Buckets || !h.missesLedger(b.Bucket) {
		return false
	}
	owned := h.owned[b.Bucket]
	if b.Token.Epoch.Generation != owned.former.Epoch.Generation {
		return false
	}
	owned.ledger.Absorb(now, x)
	owned.former = Token{}
	return true
}
