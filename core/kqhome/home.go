package kqhome

import (
	"time"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqledger"
)

// syncWitnesses is how many synced members must have told their tables before
// a node that was restarted while the store is away runs keyed calls. One of
// any two was not left out by a claim, so that together they know them all.
const syncWitnesses = 2

// Home is what one node knows and holds of one service's keys.
type Home struct {
	service string
	self    Node
	limits  kqledger.Limits
	table   Table
	synced  bool
	// witnesses are the members that told their tables since the start.
	witnesses map[string]bool
	// known are the newest incarnations that asked this node to sync.
	known map[string]uint64
	// fences are the generations below which nothing is run.
	fences [Buckets]uint64
	// declined are hand-overs that were refused for good.
	declined [Buckets]Epoch
	// taken are the hand-overs that were accepted, so that an offer that comes
	// again gets the same answer, wherever the bucket went since.
	taken map[takenToken]bool
	held  [Buckets]*OwnedBucket
}

// OwnedBucket is a bucket whose token this node holds.
type OwnedBucket struct {
	Token  Token
	ledger *kqledger.Ledger
	// frozen is what is being handed over; nothing is run meanwhile.
	frozen *kqledger.Export
	// to is the successor of the hand-over, or empty.
	to Token
	// settled are runs that ended after the bucket was frozen.
	settled []Settlement
	// superseded is when it was first seen that a claim had come, or 0.
	superseded time.Duration
}

// takenToken names a hand-over.
type takenToken struct {
	bucket int
	epoch  Epoch
}

// Settlement tells a bucket's successor how a run of the former holder ended.
type Settlement struct {
	Bucket int
	Key    kqledger.Key
	End    kqcall.End
	Answer []byte
}

// Verdict is what a home decided about a copy of a call.
type Verdict struct {
	kqledger.Verdict
	// Token is the newest token of the bucket that the home knows.
	Token Token
}

// New makes the memory of a node that has just started.
func New(service string, self Node, limits kqledger.Limits) *Home {
	return &Home{service: service, self: self, limits: limits, table: Table{Service: service}, witnesses: map[string]bool{}, known: map[string]uint64{}, taken: map[takenToken]bool{}}
}

// Self is the start of the node whose memory this is.
func (h *Home) Self() Node {
	return h.self
}

// Table is what the node knows of the service.
func (h *Home) Table() Table {
	return h.table.Clone()
}

// Synced is whether the node knows every claim that was completed before it
// started.
func (h *Home) Synced() bool {
	return h.synced
}

// MergeTable takes in a table that came through the overlay.
func (h *Home) MergeTable(t Table) bool {
	next, changed := h.table.Merge(t)
	h.table = next
	for b := range h.table.Tokens {
		h.fences[b] = max(h.fences[b], h.table.Tokens[b].Epoch.Generation)
	}
	return changed
}

// Adopt takes in the table that this node has just written to the store, with
// itself as a member.
func (h *Home) Adopt(t Table) {
	h.MergeTable(t)
	h.synced = true
}

// RecordSyncReply takes in the table that a member told when it was asked to sync.
func (h *Home) RecordSyncReply(member string, synced bool, t Table) {
	h.MergeTable(t)
	if !synced || member == h.self.NodeID {
		return
	}
	if _, found := h.table.Member(member); !found {
		return
	}
	h.witnesses[member] = true
	if _, found := h.table.Member(h.self.NodeID); found && len(h.witnesses) >= syncWitnesses {
		h.synced = true
	}
}

// AnswerSync answers a node that has restarted, and remembers its incarnation for
// the claims to come.
func (h *Home) AnswerSync(n Node) (Table, bool) {
	h.known[n.NodeID] = max(h.known[n.NodeID], n.Incarnation)
	return h.Table(), h.synced
}

// AdoptCreated takes hold of the buckets of a table that this node has created. It
// may be repeated, since the answer to the write may have been lost.
func (h *Home) AdoptCreated(t Table) {
	h.Adopt(t)
	for b, k := range t.Tokens {
		if k.Holder != h.self || k.Epoch != (Epoch{Generation: 1}) || h.table.Tokens[b] != k || h.held[b] != nil {
			continue
		}
		h.held[b] = &OwnedBucket{Token: t.Tokens[b], ledger: kqledger.New(h.limits)}
	}
}

// ActiveBuckets lists the buckets that this node is the home of at this moment.
func (h *Home) ActiveBuckets() []int {
	var buckets []int
	for b, held := range h.held {
		if held != nil && held.frozen == nil && h.fences[b] <= held.Token.Epoch.Generation {
			buckets = append(buckets, b)
		}
	}
	return buckets
}

// Token gives the newest token of the key's bucket that the node knows.
func (h *Home) Token(key string) Token {
	return h.table.Tokens[BucketOf(key)]
}

// Begin decides about a copy of a call whose key's home this node may be.
func (h *Home) Begin(now time.Duration, key string, print kqledger.Fingerprint) Verdict {
	b := BucketOf(key)
	held := h.held[b]
	if held == nil || held.frozen != nil || h.fences[b] > held.Token.Epoch.Generation {
		moved := kqledger.Verdict{End: kqcall.NotRun(kqcall.CauseMoved)}
		return Verdict{Verdict: moved, Token: h.table.Tokens[b]}
	}
	return Verdict{Verdict: held.ledger.Begin(now, kqledger.HashKey(key), print), Token: held.Token}
}

// Finish takes in how a run that Begin allowed has ended. When the bucket has
// passed on meanwhile, it says so and the successor must be told.
func (h *Home) Finish(now time.Duration, key string, end kqcall.End, answer []byte) (Settlement, bool) {
	b := BucketOf(key)
	s := Settlement{Bucket: b, Key: kqledger.HashKey(key), End: end, Answer: answer}
	held := h.held[b]
	if held == nil {
		return s, true
	}
	held.ledger.Finish(now, s.Key, end, answer)
	if held.frozen != nil {
		held.settled = append(held.settled, s)
	}
	return s, false
}

// Settle takes in what a former holder tells of its last runs.
func (h *Home) Settle(now time.Duration, s Settlement) {
	if s.Bucket < 0 || s.Bucket >= Buckets {
		return
	}
	if held := h.held[s.Bucket]; held != nil {
		held.ledger.Finish(now, s.Key, s.End, s.Answer)
	}
}

// Admit is whether this node's gate may run a keyed call that a home of that
// generation sends.
func (h *Home) Admit(bucket int, generation uint64) bool {
	if bucket < 0 || bucket >= Buckets || !h.synced || generation < h.fences[bucket] {
		return false
	}
	return h.table.Usable(h.self.NodeID)
}

// Registered is whether this start of the node stands among the members.
func (h *Home) Registered() bool {
	m, found := h.table.Member(h.self.NodeID)
	return found && m == h.self && h.table.Usable(h.self.NodeID)
}

// PendingOffers lists the hand-overs that the successor has not answered yet.
func (h *Home) PendingOffers() []Offer {
	var offers []Offer
	for b, held := range h.held {
		if held != nil && held.frozen != nil && held.to.Holder.NodeID != "" {
			offers = append(offers, Offer{Table: h.Table(), Bucket: b, Token: held.to, Parts: h.Parts(b)})
		}
	}
	return offers
}

// UnheldBuckets lists the buckets of which the table names this node as a home that it
// is not, such as after a claim that came to nothing.
func (h *Home) UnheldBuckets() []int {
	var buckets []int
	for b, k := range h.table.Tokens {
		if k.Holder == h.self && (h.held[b] == nil || h.held[b].Token.Epoch.Generation < k.Epoch.Generation) {
			buckets = append(buckets, b)
		}
	}
	return buckets
}

// Tick forgets runs of former holders that were never settled, and ledgers
// that no claimant came for within the window.
func (h *Home) Tick(now time.Duration) {
	for b, held := range h.held {
		switch {
		case held == nil:
		case h.fences[b] <= held.Token.Epoch.Generation:
			held.ledger.Abandon(now, h.limits.ResendWindow)
		case held.superseded == 0:
			held.superseded = now
		case now-held.superseded > h.limits.ResendWindow:
			h.held[b] = nil
		}
	}
}

// Records is the number of keys that this node remembers.
func (h *Home) Records() int {
	n := 0
	for _, held := range h.held {
		if held != nil {
			n += held.ledger.Len()
		}
	}
	return n
}
