package kqhome

import (
	"time"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqledger"
)

// minSyncReplies is the number of synced members whose tables a node needs
// before it runs keyed calls, if it was restarted while the store is
// unavailable. A claim leaves out one member at most, so any two members know
// all claims between them.
const minSyncReplies = 2

// Home is the state of one node for one service: its view of the service's
// table, and the ledgers of the buckets that it is the home of.
type Home struct {
	service string
	self    Node
	limits  kqledger.Limits
	table   Table
	synced  bool
	// syncReplies are the synced members that have sent their tables since this
	// node started.
	syncReplies map[string]bool
	// known are the newest incarnations that have asked this node to sync, by
	// node.
	known map[string]uint64
	// lost are the members that the table lacks since the store was restored, by
	// node ID. Their gates may still run calls.
	lost map[string]Node
	// fences are the generations below which this node runs nothing.
	fences [Buckets]uint64
	// declined are the newest epochs whose handovers this node refuses.
	declined [Buckets]Epoch
	// taken are the handovers that were accepted, so that a repeated offer gets
	// the same answer, even after the bucket has moved on.
	taken map[handoverID]bool
	// owned are the buckets that this node is, or was until a claim, the home
	// of; nil for the others.
	owned [Buckets]*OwnedBucket
}

// OwnedBucket is a bucket whose token this node holds.
type OwnedBucket struct {
	Token  Token
	ledger *kqledger.Ledger
	// frozen is the ledger being transferred, or nil. No call begins while it is
	// set.
	frozen *kqledger.Export
	// offered is the token that the successor gets in a handover, or empty.
	offered Token
	// settlements are the results of runs that ended after the bucket was
	// frozen.
	settlements []Settlement
	// fencedAt is when a claim of the bucket was first noticed, or 0.
	fencedAt time.Duration
	// former is the token from which the bucket was claimed without its ledger, or
	// empty.
	former Token
}

// handoverID identifies a handover.
type handoverID struct {
	bucket int
	epoch  Epoch
}

// Settlement reports to a bucket's new home how a run of the former one ended.
type Settlement struct {
	Bucket int
	Key    kqledger.Key
	End    kqcall.End
	Answer []byte
}

// Verdict is a home's decision on a copy of a call.
type Verdict struct {
	kqledger.Verdict
	// Token is the newest token of the bucket that this node knows.
	Token Token
}

// New returns the state of a node that has just started: it knows nothing of the
// service and holds no bucket.
func New(service string, self Node, limits kqledger.Limits) *Home {
	return &Home{service: service, self: self, limits: limits, table: Table{Service: service}, syncReplies: map[string]bool{}, known: map[string]uint64{}, lost: map[string]Node{}, taken: map[handoverID]bool{}}
}

// Self returns the node and incarnation whose state this is.
func (h *Home) Self() Node {
	return h.self
}

// Table returns this node's view of the service.
func (h *Home) Table() Table {
	return h.table.Clone()
}

// Synced reports whether this node knows every claim that was completed before
// it started.
func (h *Home) Synced() bool {
	return h.synced
}

// MergeTable merges a table of another node or of the store into this node's
// view, raises the fences accordingly, and reports whether the view changed.
func (h *Home) MergeTable(t Table) bool {
	former := h.table
	next, changed := h.table.Merge(t)
	h.table = next
	h.recordLost(former)
	for b := range h.table.Tokens {
		h.fences[b] = max(h.fences[b], h.table.Tokens[b].Epoch.Generation)
	}
	return changed
}

// recordLost keeps the members that a restore of the store has removed from the
// former table, until they are members again.
func (h *Home) recordLost(former Table) {
	if former.restored(h.table) {
		for _, m := range former.Members {
			h.lost[m.NodeID] = m
		}
	}
	for _, m := range h.table.Members {
		delete(h.lost, m.NodeID)
	}
}

// Adopt merges the table that this node has just written to the store with
// itself as a member. From then on the node is synced.
func (h *Home) Adopt(t Table) {
	h.MergeTable(t)
	h.synced = true
}

// RecordSyncReply merges the table that a member has sent as its answer to a
// sync request. This node is synced once it stands in the table and
// minSyncReplies other members, themselves synced, have answered.
func (h *Home) RecordSyncReply(member string, synced bool, t Table) {
	h.MergeTable(t)
	if !synced || member == h.self.NodeID {
		return
	}
	if _, found := h.table.Member(member); !found {
		return
	}
	h.syncReplies[member] = true
	if _, found := h.table.Member(h.self.NodeID); found && len(h.syncReplies) >= minSyncReplies {
		h.synced = true
	}
}

// AnswerSync returns this node's table to node n that has restarted, and whether
// this node is synced. It remembers n's incarnation, to report it in the
// replies to later claims.
func (h *Home) AnswerSync(n Node) (Table, bool) {
	h.known[n.NodeID] = max(h.known[n.NodeID], n.Incarnation)
	return h.Table(), h.synced
}

// AdoptCreated adopts t like [Home.Adopt]. If this node has created t, it also
// becomes the home of the buckets that it still holds in t, with empty ledgers.
// AdoptCreated may be called again, since the answer to the write may have been
// lost.
func (h *Home) AdoptCreated(t Table) {
	h.Adopt(t)
	for b, k := range t.Tokens {
		if k.Holder != h.self || !k.Epoch.first() || h.table.Tokens[b] != k || h.owned[b] != nil {
			continue
		}
		h.owned[b] = &OwnedBucket{Token: t.Tokens[b], ledger: kqledger.New(h.limits)}
	}
}

// ActiveBuckets lists the buckets that this node is the home of at this moment:
// neither frozen nor claimed by another node.
func (h *Home) ActiveBuckets() []int {
	var buckets []int
	for b, owned := range h.owned {
		if owned != nil && owned.frozen == nil && h.fences[b] <= owned.Token.Epoch.Generation {
			buckets = append(buckets, b)
		}
	}
	return buckets
}

// Token returns the newest token of the key's bucket that this node knows.
func (h *Home) Token(key string) Token {
	return h.table.Tokens[BucketOf(key)]
}

// Begin decides what becomes of a copy of a call. If this node is not the home
// of the key's bucket, the verdict is not-run with the cause moved, and carries
// the newest token known.
func (h *Home) Begin(now time.Duration, key string, fingerprint kqledger.Fingerprint) Verdict {
	b := BucketOf(key)
	owned := h.owned[b]
	if owned == nil || owned.frozen != nil || h.fences[b] > owned.Token.Epoch.Generation {
		moved := kqledger.Verdict{End: kqcall.NotRun(kqcall.CauseMoved)}
		return Verdict{Verdict: moved, Token: h.table.Tokens[b]}
	}
	return Verdict{Verdict: owned.ledger.Begin(now, kqledger.HashKey(key), fingerprint), Token: owned.Token}
}

// Finish records how a run that Begin allowed has ended. It returns true if the
// bucket has passed to another node meanwhile; the settlement must then be sent
// to that node.
func (h *Home) Finish(now time.Duration, key string, end kqcall.End, answer []byte) (Settlement, bool) {
	b := BucketOf(key)
	s := Settlement{Bucket: b, Key: kqledger.HashKey(key), End: end, Answer: answer}
	owned := h.owned[b]
	if owned == nil {
		return s, true
	}
	owned.ledger.Finish(now, s.Key, end, answer)
	if owned.frozen != nil {
		owned.settlements = append(owned.settlements, s)
	}
	return s, false
}

// Settle records the result of a run that a former home of the bucket had begun.
func (h *Home) Settle(now time.Duration, s Settlement) {
	if s.Bucket < 0 || s.Bucket >= Buckets {
		return
	}
	if owned := h.owned[s.Bucket]; owned != nil {
		owned.ledger.Finish(now, s.Key, s.End, s.Answer)
	}
}

// Admit reports whether this node's gate may run a keyed call that a home with a
// token of that generation sends.
func (h *Home) Admit(bucket int, generation uint64) bool {
	if bucket < 0 || bucket >= Buckets || !h.synced || generation < h.fences[bucket] {
		return false
	}
	return h.table.Usable(h.self.NodeID)
}

// Registered reports whether this incarnation is a member whose gate homes may
// use.
func (h *Home) Registered() bool {
	m, found := h.table.Member(h.self.NodeID)
	return found && m == h.self && h.table.Usable(h.self.NodeID)
}

// PendingOffers lists the handovers that the successor has not answered yet.
func (h *Home) PendingOffers() []Offer {
	var offers []Offer
	for b, owned := range h.owned {
		if owned != nil && owned.frozen != nil && owned.offered.Holder.NodeID != "" {
			offers = append(offers, Offer{Table: h.Table(), Bucket: b, Token: owned.offered, Parts: h.Parts(b)})
		}
	}
	return offers
}

// UnheldBuckets lists the buckets that the table assigns to this node although
// it has no ledger for them, such as after a claim that was not completed.
func (h *Home) UnheldBuckets() []int {
	var buckets []int
	for b, k := range h.table.Tokens {
		if k.Holder == h.self && (h.owned[b] == nil || h.owned[b].Token.Epoch.Generation < k.Epoch.Generation) {
			buckets = append(buckets, b)
		}
	}
	return buckets
}

// Tick stops waiting for what has not arrived within the resend window: runs
// without a result become unknown, and ledgers of claimed buckets that no
// claimant has fetched are dropped.
func (h *Home) Tick(now time.Duration) {
	for b, owned := range h.owned {
		switch {
		case owned == nil:
		case h.fences[b] <= owned.Token.Epoch.Generation:
			owned.ledger.Abandon(now, h.limits.ResendWindow)
		case owned.fencedAt == 0:
			owned.fencedAt = now
		case now-owned.fencedAt > h.limits.ResendWindow:
			h.owned[b] = nil
		}
	}
}

// Records returns the number of keys that this node remembers.
func (h *Home) Records() int {
	n := 0
	for _, owned := range h.owned {
		if owned != nil {
			n += owned.ledger.Len()
		}
	}
	return n
}
