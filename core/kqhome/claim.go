package kqhome

import (
	"slices"
	"time"

	"kumquatlink/core/kqledger"
)

// FenceReply is a member's word that its gate runs nothing of a lower
// generation than the table's.
type FenceReply struct {
	Node Node
	// Held are the claimed buckets that the member was the home of; it has
	// stopped them and gives their ledgers.
	Held []HeldBucket
	// Known are the incarnations that have asked the member to sync.
	Known []Node
	// Refused is set when the member knows another claim as new as this one,
	// which a store that was restored from a copy can bring about.
	Refused bool
	// Table is what the member knows.
	Table Table
}

// HeldBucket is a bucket that a claim found at a living holder.
type HeldBucket struct {
	Bucket int
	Token  Token
	Parts  int
}

// Fence takes in a claim: the gate runs nothing of a lower generation, and
// buckets that this node is the home of stop.
func (h *Home) Fence(now time.Duration, t Table, buckets []int) FenceReply {
	if h.contradicts(t, buckets) {
		return FenceReply{Node: h.self, Refused: true, Table: h.Table()}
	}
	h.MergeTable(t)
	r := FenceReply{Node: h.self, Table: h.Table()}
	for _, b := range buckets {
		if b < 0 || b >= Buckets {
			continue
		}
		held := h.held[b]
		if held == nil || held.Token.Epoch.Generation >= t.Tokens[b].Epoch.Generation {
			continue
		}
		// A bucket that was already offered to another node may have been
		// taken there, so that its copy here proves nothing.
		if held.frozen != nil && held.to.Holder.NodeID != "" {
			continue
		}
		if held.frozen == nil {
			h.freeze(now, b)
		}
		r.Held = append(r.Held, HeldBucket{Bucket: b, Token: held.Token, Parts: h.Parts(b)})
	}
	for id, i := range h.known {
		r.Known = append(r.Known, Node{NodeID: id, Incarnation: i})
	}
	return r
}

func (h *Home) contradicts(t Table, buckets []int) bool {
	return slices.ContainsFunc(buckets, func(b int) bool {
		if b < 0 || b >= Buckets {
			return true
		}
		mine, theirs := h.table.Tokens[b], t.Tokens[b]
		return mine.Epoch.Generation >= theirs.Epoch.Generation && mine != theirs || h.fences[b] > theirs.Epoch.Generation
	})
}

// AllBuckets lists every bucket.
func AllBuckets() []int {
	all := make([]int, Buckets)
	for b := range all {
		all[b] = b
	}
	return all
}

// Claim is one node's attempt to become the home of buckets whose holder is
// dead or out of reach. It is done when, at one moment, every other member
// had given its word.
type Claim struct {
	self    Node
	table   Table
	buckets []int
	// previous are the generations that the claim follows.
	previous [Buckets]uint64
	excused  string
	// seen are the incarnations that gave their word, or 0, and newest the
	// ones below which no word counts.
	seen    map[string]uint64
	newest  map[string]uint64
	refused bool
	sure    map[string]bool
	second  bool
	ledgers map[int]kqledger.Export
}

// NewClaim makes the table that claims those of the buckets that the holder
// has, to be written to the store on condition that it still holds version t.
// It fails when nothing is to be claimed. A node that claims from itself names
// its stray buckets only: a claim puts in doubt whatever no ledger is found of.
func NewClaim(t Table, self, holder Node, among []int) (*Claim, bool) {
	c := &Claim{self: self, seen: map[string]uint64{}, newest: map[string]uint64{}, sure: map[string]bool{}, ledgers: map[int]kqledger.Export{}}
	c.table = t.Clone()
	c.table.Version++
	remote := true
	for b, k := range t.Tokens {
		if k.Holder != holder || !slices.Contains(among, b) {
			continue
		}
		c.buckets = append(c.buckets, b)
		c.previous[b] = k.Epoch.Generation
		remote = remote && k.Remote
		c.table.Tokens[b] = Token{Holder: self, Epoch: Epoch{Generation: k.Epoch.Generation + 1}, Remote: k.Remote}
	}
	if remote && holder.NodeID != self.NodeID {
		c.excused = holder.NodeID
		c.table.Leaving = append(c.table.Leaving, holder.NodeID)
	}
	for _, m := range t.Members {
		c.seen[m.NodeID] = 0
		c.newest[m.NodeID] = m.Incarnation
	}
	return c, len(c.buckets) > 0
}

// Table is what the claim writes to the store.
func (c *Claim) Table() Table {
	return c.table.Clone()
}

// Buckets lists the claimed buckets.
func (c *Claim) Buckets() []int {
	return slices.Clone(c.buckets)
}

// Pending lists the nodes whose word is missing in this round.
func (c *Claim) Pending() []string {
	var ids []string
	for id := range c.seen {
		if id != c.self.NodeID && !c.sure[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// OptionalMember is the former holder, if the claim can do without its word.
func (c *Claim) OptionalMember() string {
	return c.excused
}

// RecordReply takes in a member's word. A node that has restarted between the two
// rounds may have forgotten the first, so that all are asked once more.
func (c *Claim) RecordReply(r FenceReply) {
	if r.Refused {
		c.refused = true
		return
	}
	for _, n := range r.Known {
		c.learn(n)
	}
	if r.Node.Incarnation < c.newest[r.Node.NodeID] {
		return
	}
	if c.second && c.seen[r.Node.NodeID] != r.Node.Incarnation {
		c.restart()
	}
	c.seen[r.Node.NodeID] = r.Node.Incarnation
	c.sure[r.Node.NodeID] = true
}

// learn takes note of an incarnation that may run calls.
func (c *Claim) learn(n Node) {
	held, found := c.seen[n.NodeID]
	if !found {
		c.seen[n.NodeID] = 0
	}
	c.newest[n.NodeID] = max(c.newest[n.NodeID], n.Incarnation)
	if held < c.newest[n.NodeID] && (!found || held != 0) {
		c.restart()
	}
}

// Refused is whether a member knows another claim as new as this one.
func (c *Claim) Refused() bool {
	return c.refused
}

// RecordEnded takes note of a node that has ended by its own word.
func (c *Claim) RecordEnded(n Node) {
	if _, found := c.seen[n.NodeID]; found {
		c.RecordReply(FenceReply{Node: n})
	}
}

func (c *Claim) restart() {
	c.second = false
	clear(c.sure)
}

// AddLedger takes in the ledger of a bucket that its living holder gave.
func (c *Claim) AddLedger(b HeldBucket, x kqledger.Export) {
	if b.Bucket >= 0 && b.Bucket < Buckets && b.Token.Epoch.Generation == c.previous[b.Bucket] {
		c.ledgers[b.Bucket] = x
	}
}

// Advance goes to the next round when a round is complete, and says whether
// the claim is done.
func (c *Claim) Advance() bool {
	if c.refused {
		return false
	}
	for _, id := range c.Pending() {
		if id != c.excused {
			return false
		}
	}
	if c.second {
		return true
	}
	c.second = true
	clear(c.sure)
	return false
}

// LeftOut lists the members that were left out or have ended.
func (c *Claim) LeftOut() []string {
	return c.Pending()
}

// CompleteClaim makes this node the home of the buckets that it has claimed, in
// doubt where the former holder's ledger is missing, unless a later claim has
// come meanwhile.
func (h *Home) CompleteClaim(now time.Duration, c *Claim) {
	h.MergeTable(c.table)
	for _, b := range c.buckets {
		token := c.table.Tokens[b]
		if h.table.Tokens[b] != token || h.fences[b] > token.Epoch.Generation {
			continue
		}
		x, found := c.ledgers[b]
		if own := h.held[b]; !found && own != nil {
			x = own.ledger.Export(now)
		}
		h.hold(now, b, token, x)
		if !found {
			h.held[b].ledger.MarkInDoubt(now)
		}
	}
}
