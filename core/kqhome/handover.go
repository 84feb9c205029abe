package kqhome

import (
	"slices"
	"time"

	"kumquatlink/core/kqledger"
)

// Offer asks a node to take over a bucket.
type Offer struct {
	Table  Table
	Bucket int
	Token  Token
	// Parts is the number of parts in which the ledger is transferred.
	Parts int
}

// A part of a ledger ends when its answers reach partBytes bytes or it has
// partEntries keys.
const (
	partBytes   = 256 << 10
	partEntries = 4096
)

// StartHandover freezes the bucket and returns the offer of it to a successor.
// It returns false if this node cannot hand the bucket over, or has already
// offered it to another node: a frozen bucket is only ever offered to the same
// node again.
func (h *Home) StartHandover(now time.Duration, bucket int, to Node) (Offer, bool) {
	owned := h.owned[bucket]
	if owned == nil || h.fences[bucket] > owned.Token.Epoch.Generation {
		return Offer{}, false
	}
	if owned.frozen == nil {
		h.freeze(now, bucket)
		owned.offered = Token{Holder: to, Epoch: owned.Token.Epoch, Remote: owned.Token.Remote}
		owned.offered.Epoch.Count = max(owned.Token.Epoch.Count, owned.offered.Epoch.Count) + 1
	}
	if owned.offered.Holder != to {
		return Offer{}, false
	}
	return Offer{Table: h.Table(), Bucket: bucket, Token: owned.offered, Parts: h.Parts(bucket)}, true
}

// freeze stops the bucket and keeps its ledger as of now for the transfer.
func (h *Home) freeze(now time.Duration, bucket int) {
	owned := h.owned[bucket]
	x := owned.ledger.Export(now)
	owned.frozen = &x
	owned.settlements = nil
}

// Parts returns the number of parts of a frozen bucket's ledger.
func (h *Home) Parts(bucket int) int {
	n := 0
	for from := 0; ; n++ {
		to := h.partEnd(bucket, from)
		if to == from {
			return n
		}
		from = to
	}
}

// partEnd returns the index of the entry after the part that starts at entry
// from, or from itself if there are no more entries.
func (h *Home) partEnd(bucket, from int) int {
	entries := h.owned[bucket].frozen.Entries
	size := 0
	to := from
	for to < len(entries) && to-from < partEntries && size < partBytes {
		size += len(entries[to].Answer)
		to++
	}
	return to
}

// Part returns one part of a frozen bucket's ledger, counted from 0. It returns
// false unless token belongs to the node that the bucket is offered to, or to
// one that has claimed it.
func (h *Home) Part(bucket, part int, token Token) (kqledger.Export, bool) {
	if bucket < 0 || bucket >= Buckets {
		return kqledger.Export{}, false
	}
	owned := h.owned[bucket]
	if owned == nil || owned.frozen == nil || !h.mayReceive(owned, bucket, token) {
		return kqledger.Export{}, false
	}
	from := 0
	for range part {
		from = h.partEnd(bucket, from)
	}
	x := kqledger.Export{DoubtLeft: owned.frozen.DoubtLeft}
	x.Entries = owned.frozen.Entries[from:h.partEnd(bucket, from)]
	return x, true
}

// mayReceive reports whether token entitles its holder to the frozen bucket: it
// is the offered token, or that of a claim.
func (h *Home) mayReceive(owned *OwnedBucket, bucket int, token Token) bool {
	if token.Epoch.Generation > owned.Token.Epoch.Generation {
		return token.Epoch.Generation >= h.fences[bucket]
	}
	return token == owned.offered
}

// HasTaken reports whether this node has accepted the offer before.
func (h *Home) HasTaken(o Offer) bool {
	return o.Token.Holder == h.self && h.taken[handoverID{bucket: o.Bucket, epoch: o.Token.Epoch}]
}

// EvaluateOffer merges the offer's table and reports whether this node takes the
// bucket, or has already taken it. A refusal is permanent, so that the holder
// may safely continue to serve the bucket.
func (h *Home) EvaluateOffer(o Offer) bool {
	h.MergeTable(o.Table)
	if h.HasTaken(o) {
		return true
	}
	if !h.canTake(o.Bucket, o.Token) {
		h.decline(o.Bucket, o.Token)
		return false
	}
	return true
}

// canTake reports whether this node is synced, registered, named by the token,
// and knows neither a newer claim of the bucket nor a refusal of this handover
// or a later one.
func (h *Home) canTake(bucket int, token Token) bool {
	if bucket < 0 || bucket >= Buckets || token.Holder != h.self || !h.synced {
		return false
	}
	_, registered := h.table.Member(h.self.NodeID)
	return registered && token.Epoch.Generation >= h.fences[bucket] && token.Epoch.Newer(h.declined[bucket])
}

// decline refuses the bucket's handovers up to the token's epoch.
func (h *Home) decline(bucket int, token Token) {
	if bucket >= 0 && bucket < Buckets && token.Epoch.Newer(h.declined[bucket]) {
		h.declined[bucket] = token.Epoch
	}
}

// Decline refuses an offer permanently, unless it was taken before.
func (h *Home) Decline(o Offer) {
	if !h.HasTaken(o) {
		h.decline(o.Bucket, o.Token)
	}
}

// Take makes this node the home of an offered bucket with ledger x, and reports
// whether it is that; a refusal is permanent. It is idempotent: the same offer a
// second time changes nothing.
func (h *Home) Take(now time.Duration, o Offer, x kqledger.Export) bool {
	if h.HasTaken(o) {
		return true
	}
	if !h.canTake(o.Bucket, o.Token) {
		h.decline(o.Bucket, o.Token)
		return false
	}
	h.takeBucket(now, o.Bucket, o.Token, x)
	h.taken[handoverID{bucket: o.Bucket, epoch: o.Token.Epoch}] = true
	return true
}

// takeBucket makes this node the home of a bucket with ledger x. Older
// handovers of the bucket are refused from now on.
func (h *Home) takeBucket(now time.Duration, bucket int, token Token, x kqledger.Export) {
	h.owned[bucket] = &OwnedBucket{Token: token, ledger: kqledger.Import(now, h.limits, x)}
	if token.Epoch.Newer(h.table.Tokens[bucket].Epoch) {
		h.table.Tokens[bucket] = token
	}
	h.fences[bucket] = max(h.fences[bucket], token.Epoch.Generation)
	h.declined[bucket] = token.Epoch
}

// CompleteHandover drops a bucket that the successor has taken, and returns the
// results that ended after the freeze, which the successor does not know yet.
func (h *Home) CompleteHandover(bucket int, token Token) []Settlement {
	owned := h.owned[bucket]
	if owned == nil || owned.frozen == nil || !h.mayReceive(owned, bucket, token) {
		return nil
	}
	h.owned[bucket] = nil
	if token.Epoch.Newer(h.table.Tokens[bucket].Epoch) {
		h.table.Tokens[bucket] = token
	}
	return slices.Clone(owned.settlements)
}

// PresumeTaken ends a handover whose successor does not answer, as if it had
// taken the bucket. If it has not, the bucket has no home until it is claimed.
func (h *Home) PresumeTaken(bucket int) {
	if owned := h.owned[bucket]; owned != nil && owned.frozen != nil && owned.offered.Holder.NodeID != "" {
		h.CompleteHandover(bucket, owned.offered)
	}
}

// CancelHandover makes this node serve a bucket again whose successor has
// refused it permanently. The count goes on from the refused offer, so that the
// next offer gets a higher one.
func (h *Home) CancelHandover(bucket int) {
	owned := h.owned[bucket]
	if owned == nil || owned.frozen == nil || h.fences[bucket] > owned.Token.Epoch.Generation {
		return
	}
	owned.Token.Epoch.Count = owned.offered.Epoch.Count
	owned.frozen, owned.offered, owned.settlements = nil, Token{}, nil
	h.table.Tokens[bucket] = owned.Token
}

// EnforceRemote marks the buckets of this node as remote, so that it stops using
// its own gate, once the service has MinMembersForRemote members. It reports
// whether any token changed.
func (h *Home) EnforceRemote() bool {
	if len(h.table.Members) < MinMembersForRemote {
		return false
	}
	changed := false
	for b, owned := range h.owned {
		if owned == nil || owned.frozen != nil || owned.Token.Remote {
			continue
		}
		owned.Token.Remote = true
		owned.Token.Epoch.Count++
		h.table.Tokens[b] = owned.Token
		changed = true
	}
	return changed
}
