package kqhome

import (
	"slices"
	"time"

	"kumquatlink/core/kqledger"
)

// Offer asks a node to take a bucket.
type Offer struct {
	Table  Table
	Bucket int
	Token  Token
	// Parts is how many parts the ledger has.
	Parts int
}

// partBytes bounds the answers in one part of a ledger, and partEntries its
// keys.
const (
	partBytes   = 256 << 10
	partEntries = 4096
)

// StartHandover stops the bucket and makes the offer of it to a successor. A bucket
// that is already offered is offered again to the same node only.
func (h *Home) StartHandover(now time.Duration, bucket int, to Node) (Offer, bool) {
	held := h.held[bucket]
	if held == nil || h.fences[bucket] > held.Token.Epoch.Generation {
		return Offer{}, false
	}
	if held.frozen == nil {
		h.freeze(now, bucket)
		held.to = Token{Holder: to, Epoch: held.Token.Epoch, Remote: held.Token.Remote}
		held.to.Epoch.Count = max(held.Token.Epoch.Count, held.to.Epoch.Count) + 1
	}
	if held.to.Holder != to {
		return Offer{}, false
	}
	return Offer{Table: h.Table(), Bucket: bucket, Token: held.to, Parts: h.Parts(bucket)}, true
}

func (h *Home) freeze(now time.Duration, bucket int) {
	held := h.held[bucket]
	x := held.ledger.Export(now)
	held.frozen = &x
	held.settled = nil
}

// Parts is how many parts the frozen ledger of a bucket has.
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

func (h *Home) partEnd(bucket, from int) int {
	entries := h.held[bucket].frozen.Entries
	size := 0
	to := from
	for to < len(entries) && to-from < partEntries && size < partBytes {
		size += len(entries[to].Answer)
		to++
	}
	return to
}

// Part gives one part of a frozen ledger to the node that the bucket is
// offered to, or that has claimed it.
func (h *Home) Part(bucket, part int, token Token) (kqledger.Export, bool) {
	if bucket < 0 || bucket >= Buckets {
		return kqledger.Export{}, false
	}
	held := h.held[bucket]
	if held == nil || held.frozen == nil || !h.expects(held, bucket, token) {
		return kqledger.Export{}, false
	}
	from := 0
	for range part {
		from = h.partEnd(bucket, from)
	}
	x := kqledger.Export{DoubtLeft: held.frozen.DoubtLeft}
	x.Entries = held.frozen.Entries[from:h.partEnd(bucket, from)]
	return x, true
}

// expects is whether the token is the one that follows the frozen bucket's.
func (h *Home) expects(held *OwnedBucket, bucket int, token Token) bool {
	if token.Epoch.Generation > held.Token.Epoch.Generation {
		return token.Epoch.Generation >= h.fences[bucket]
	}
	return token == held.to
}

// HasTaken is whether this node has taken the offer before.
func (h *Home) HasTaken(o Offer) bool {
	return o.Token.Holder == h.self && h.taken[takenToken{bucket: o.Bucket, epoch: o.Token.Epoch}]
}

// EvaluateOffer is whether this node takes the bucket, or has taken it; its refusal
// is for good, so that the holder may go on.
func (h *Home) EvaluateOffer(o Offer) bool {
	h.MergeTable(o.Table)
	if h.HasTaken(o) {
		return true
	}
	if !h.takes(o.Bucket, o.Token) {
		h.decline(o.Bucket, o.Token)
		return false
	}
	return true
}

func (h *Home) takes(bucket int, token Token) bool {
	if bucket < 0 || bucket >= Buckets || token.Holder != h.self || !h.synced {
		return false
	}
	_, registered := h.table.Member(h.self.NodeID)
	return registered && token.Epoch.Generation >= h.fences[bucket] && token.Epoch.Newer(h.declined[bucket])
}

func (h *Home) decline(bucket int, token Token) {
	if bucket >= 0 && bucket < Buckets && token.Epoch.Newer(h.declined[bucket]) {
		h.declined[bucket] = token.Epoch
	}
}

// Decline refuses an offer for good.
func (h *Home) Decline(o Offer) {
	if !h.HasTaken(o) {
		h.decline(o.Bucket, o.Token)
	}
}

// Take makes this node the home of an offered bucket. Taking the same token
// twice changes nothing.
func (h *Home) Take(now time.Duration, o Offer, x kqledger.Export) bool {
	if h.HasTaken(o) {
		return true
	}
	if !h.takes(o.Bucket, o.Token) {
		h.decline(o.Bucket, o.Token)
		return false
	}
	h.hold(now, o.Bucket, o.Token, x)
	h.taken[takenToken{bucket: o.Bucket, epoch: o.Token.Epoch}] = true
	return true
}

func (h *Home) hold(now time.Duration, bucket int, token Token, x kqledger.Export) {
	h.held[bucket] = &OwnedBucket{Token: token, ledger: kqledger.Import(now, h.limits, x)}
	if token.Epoch.Newer(h.table.Tokens[bucket].Epoch) {
		h.table.Tokens[bucket] = token
	}
	h.fences[bucket] = max(h.fences[bucket], token.Epoch.Generation)
	h.declined[bucket] = token.Epoch
}

// CompleteHandover ends a hand-over that the successor has taken, and lists what the
// successor must still be told.
func (h *Home) CompleteHandover(bucket int, token Token) []Settlement {
	held := h.held[bucket]
	if held == nil || held.frozen == nil || !h.expects(held, bucket, token) {
		return nil
	}
	h.held[bucket] = nil
	if token.Epoch.Newer(h.table.Tokens[bucket].Epoch) {
		h.table.Tokens[bucket] = token
	}
	return slices.Clone(held.settled)
}

// PresumeTaken ends a hand-over whose successor does not answer, as if it had taken
// the bucket. If it has not, nobody is the home until the bucket is claimed.
func (h *Home) PresumeTaken(bucket int) {
	if held := h.held[bucket]; held != nil && held.frozen != nil && held.to.Holder.NodeID != "" {
		h.CompleteHandover(bucket, held.to)
	}
}

// CancelHandover takes back a bucket whose successor has refused it for good. Its next
// offer gets a higher count.
func (h *Home) CancelHandover(bucket int) {
	held := h.held[bucket]
	if held == nil || held.frozen == nil || h.fences[bucket] > held.Token.Epoch.Generation {
		return
	}
	held.Token.Epoch.Count = held.to.Epoch.Count
	held.frozen, held.to, held.settled = nil, Token{}, nil
	h.table.Tokens[bucket] = held.Token
}

// EnforceRemote makes the holder leave its own gate unused once the service has
// enough members, and says whether any token changed.
func (h *Home) EnforceRemote() bool {
	if len(h.table.Members) < MinMembersForRemote {
		return false
	}
	changed := false
	for b, held := range h.held {
		if held == nil || held.frozen != nil || held.Token.Remote {
			continue
		}
		held.Token.Remote = true
		held.Token.Epoch.Count++
		h.table.Tokens[b] = held.Token
		changed = true
	}
	return changed
}
