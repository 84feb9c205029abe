// Package kqhome decides which node is the home of an idempotency key: the
// node that remembers whether the call with this key was run. The keys of a
// service are hashed into buckets. Each bucket has one token, and the node that
// holds the token is the home of the bucket's keys.
//
// A token passes to another node in one of two ways:
//
//   - By a handover: the living holder freezes the bucket and offers it, with
//     its ledger, to a successor.
//   - By a claim, if the holder is dead or out of reach. The claimant writes the
//     service's [Table] to the store on condition that nobody else has changed
//     it, which makes the token's generation unique. Then every registered
//     member confirms that its gate runs nothing of a lower generation any more:
//     the generation is a fencing token. A claimant that did not get the former
//     holder's ledger is in doubt for the ledger's resend window: it answers
//     unknown for keys that it does not know.
//
// Only the former holder may fail to confirm a claim. This is safe because a
// holder never uses its own gate once the service has [MinMembersForRemote]
// members, so that whatever it still sends passes a gate that has confirmed.
// There is no lease, and no clock of another host is involved.
//
// # Usage
//
//	home := kqhome.New("orders", kqhome.Node{NodeID: "orders-1", Incarnation: 7}, limits)
//	home.Adopt(table)
//	v := home.Begin(now, key, fingerprint)
//	...
//	home.Finish(now, key, end, answer)
//
// A Home is not safe for concurrent use.
package kqhome

import (
	"slices"

	"kumquatlink/core/kqledger"
)

// Buckets is the number of buckets of a service.
const Buckets = 16

// MinMembersForRemote is the number of members at which the holders of a service
// stop using their own gates, so that a claim can complete without the former
// holder.
const MinMembersForRemote = 3

// BucketOf returns the number of the bucket that the key belongs to.
func BucketOf(key string) int {
	return int(kqledger.HashKey(key) % Buckets)
}

// Node is one incarnation of a node: each start has a higher one.
type Node struct {
	NodeID      string
	Incarnation uint64
}

// Epoch orders the tokens of a bucket, by generation first.
type Epoch struct {
	// Generation counts claims. The conditional write to the store makes it
	// unique.
	Generation uint64
	// Count counts handovers within a generation.
	Count uint64
}

// Newer reports whether e is later than other.
func (e Epoch) Newer(other Epoch) bool {
	if e.Generation != other.Generation {
		return e.Generation > other.Generation
	}
	return e.Count > other.Count
}

// Token states which node is the home of a bucket.
type Token struct {
	Holder Node
	Epoch  Epoch
	// Remote is set when the holder uses only the gates of other nodes. It is
	// never unset.
	Remote bool
}

// Table holds the members of a service and the tokens of its buckets.
type Table struct {
	Service string
	// Version counts the writes to the store. It goes back when the store is
	// restored from a copy.
	Version uint64
	// Era counts the eras of the store up to the one in which it held this
	// version, or is 0 if that is unknown. It rises when the store is restored.
	Era uint64 `json:",omitempty" cbor:",omitempty"`
	// Members are the nodes whose gates may run keyed calls.
	Members []Node
	// Leaving are the IDs of members that a claim may have completed without.
	// Homes do not use their gates, and they are removed once all other members
	// know of that.
	Leaving []string `cbor:",omitempty"`
	Tokens  [Buckets]Token
}

// generationsPerEra is how far apart the first generations of two eras are, more
// than claims are made in one. If the store has lost a table, the one that is
// created in its place has higher generations.
const generationsPerEra = 1 << 16

// NewTable returns the first table of a service, in which the creator is the
// only member and holds all buckets. The era is that of the store, counted like
// [Table.Era].
func NewTable(service string, creator Node, era uint64) Table {
	t := Table{Service: service, Version: 1, Era: era, Members: []Node{creator}}
	for b := range t.Tokens {
		t.Tokens[b] = Token{Holder: creator, Epoch: Epoch{Generation: 1 + era*generationsPerEra}}
	}
	return t
}

// first reports whether e is the epoch of a bucket whose table was just created.
func (e Epoch) first() bool {
	return e.Count == 0 && e.Generation%generationsPerEra == 1
}

// Clone returns a copy that shares no memory with t.
func (t Table) Clone() Table {
	t.Members = slices.Clone(t.Members)
	t.Leaving = slices.Clone(t.Leaving)
	return t
}

// Member returns the member with that ID, with its registered incarnation.
func (t Table) Member(nodeID string) (Node, bool) {
	i := slices.IndexFunc(t.Members, func(n Node) bool { return n.NodeID == nodeID })
	if i < 0 {
		return Node{}, false
	}
	return t.Members[i], true
}

// Usable reports whether homes may use the gate of that node.
func (t Table) Usable(nodeID string) bool {
	_, found := t.Member(nodeID)
	return found && !slices.Contains(t.Leaving, nodeID)
}

// Register returns the next version of the table with n as a member, in place of
// any earlier incarnation.
func (t Table) Register(n Node) Table {
	next := t.Clone()
	next.Version++
	next.Members = slices.DeleteFunc(next.Members, func(m Node) bool { return m.NodeID == n.NodeID })
	next.Members = append(next.Members, n)
	next.Leaving = slices.DeleteFunc(next.Leaving, func(id string) bool { return id == n.NodeID })
	return next
}

// Remove returns the next version of the table without the members of these IDs.
func (t Table) Remove(nodeIDs []string) Table {
	next := t.Clone()
	next.Version++
	next.Members = slices.DeleteFunc(next.Members, func(m Node) bool { return slices.Contains(nodeIDs, m.NodeID) })
	next.Leaving = slices.DeleteFunc(next.Leaving, func(id string) bool { return slices.Contains(nodeIDs, id) })
	return next
}

// Weights of a claim and of an era, as a number of handovers.
const (
	generationWeight = 1 << 24
	eraWeight        = 1 << 48
)

// Weight returns a number that grows with every merge that changes the table. If
// one of two tables contains everything that the other does, it has the higher
// weight.
func (t Table) Weight() uint64 {
	w := t.Version + t.Era*eraWeight
	for _, k := range t.Tokens {
		w += k.Epoch.Generation*generationWeight + k.Epoch.Count
	}
	return w
}

// restored reports whether the store was restored after it held t and before it
// held other, as far as both eras are known.
func (t Table) restored(other Table) bool {
	return t.Era != 0 && other.Era > t.Era
}

// Merge returns a table with the newer parts of both, and reports whether it
// differs from t. The members of a later era are the newer ones, whatever the
// versions.
func (t Table) Merge(other Table) (Table, bool) {
	next, changed := t, false
	if t.restored(other) || !other.restored(t) && other.Version > t.Version {
		next.Version, next.Members, changed = other.Version, slices.Clone(other.Members), true
		next.Leaving = slices.Clone(other.Leaving)
	}
	if other.Era > t.Era {
		next.Era, changed = other.Era, true
	}
	for b, o := range other.Tokens {
		if o.Epoch.Newer(next.Tokens[b].Epoch) {
			next.Tokens[b], changed = o, true
		}
	}
	return next, changed
}
