// Package kqhome decides which node is the home of an idempotency key: the one
// that remembers whether the key's call was run. The keys of a service fall
// into buckets, each bucket has one token, and the token has one holder.
//
// A token passes by the living holder's hand-over, or by a claim. A claim is
// one conditional write of the service's [Table] in the store, which makes its
// generation unique, and then the word of every registered member that its gate
// runs nothing of a lower generation any more. Only the former holder may be
// left out, since a holder never uses its own gate once the service has
// [MinMembersForRemote] members. A claimant that did not get the former holder's
// ledger is in doubt for a window. No clock of another host and no lease is
// involved.
//
// # Usage
//
//	home := kqhome.New("orders", kqhome.Node{NodeID: "orders-1", Incarnation: 7}, limits)
//	home.Adopt(table)
//	v := home.Begin(now, key, print)
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

// MinMembersForRemote is how many members a service needs before its holders leave
// their own gates unused, so that a claim can do without the former holder.
const MinMembersForRemote = 3

// BucketOf gives the bucket of a key.
func BucketOf(key string) int {
	return int(kqledger.HashKey(key) % Buckets)
}

// Node is one start of a node.
type Node struct {
	NodeID      string
	Incarnation uint64
}

// Epoch orders the holders of a bucket.
type Epoch struct {
	// Generation counts claims; the store's conditional write makes it unique.
	Generation uint64
	// Count counts hand-overs within a generation.
	Count uint64
}

// Newer is whether e follows other.
func (e Epoch) Newer(other Epoch) bool {
	if e.Generation != other.Generation {
		return e.Generation > other.Generation
	}
	return e.Count > other.Count
}

// Token says who is the home of a bucket.
type Token struct {
	Holder Node
	Epoch  Epoch
	// Remote is whether the holder uses only the gates of others. It never
	// goes back to false.
	Remote bool
}

// Table is what is known of the homes of a service.
type Table struct {
	Service string
	// Version counts the writes in the store.
	Version uint64
	// Members are the nodes whose gates may run keyed calls.
	Members []Node
	// Leaving are members that a claim has left out; no home uses their gates,
	// and they are removed when that is known to all others.
	Leaving []string `cbor:",omitempty"`
	Tokens  [Buckets]Token
}

// NewTable makes the first table of a service, in which the creator holds all
// buckets.
func NewTable(service string, creator Node) Table {
	t := Table{Service: service, Version: 1, Members: []Node{creator}}
	for b := range t.Tokens {
		t.Tokens[b] = Token{Holder: creator, Epoch: Epoch{Generation: 1}}
	}
	return t
}

// Clone copies a table.
func (t Table) Clone() Table {
	t.Members = slices.Clone(t.Members)
	t.Leaving = slices.Clone(t.Leaving)
	return t
}

// Member gives the incarnation of a member.
func (t Table) Member(nodeID string) (Node, bool) {
	i := slices.IndexFunc(t.Members, func(n Node) bool { return n.NodeID == nodeID })
	if i < 0 {
		return Node{}, false
	}
	return t.Members[i], true
}

// Usable is whether homes may use the gate of that node.
func (t Table) Usable(nodeID string) bool {
	_, found := t.Member(nodeID)
	return found && !slices.Contains(t.Leaving, nodeID)
}

// Register gives the table with the node's incarnation among its members.
func (t Table) Register(n Node) Table {
	next := t.Clone()
	next.Version++
	next.Members = slices.DeleteFunc(next.Members, func(m Node) bool { return m.NodeID == n.NodeID })
	next.Members = append(next.Members, n)
	next.Leaving = slices.DeleteFunc(next.Leaving, func(id string) bool { return id == n.NodeID })
	return next
}

// Remove gives the table without some members.
func (t Table) Remove(nodeIDs []string) Table {
	next := t.Clone()
	next.Version++
	next.Members = slices.DeleteFunc(next.Members, func(m Node) bool { return slices.Contains(nodeIDs, m.NodeID) })
	next.Leaving = slices.DeleteFunc(next.Leaving, func(id string) bool { return slices.Contains(nodeIDs, id) })
	return next
}

// generationWeight is how many hand-overs one claim outweighs.
const generationWeight = 1 << 24

// Weight grows whenever a merge changes a table, so that of two tables one of
// which holds all that the other does, it is the heavier.
func (t Table) Weight() uint64 {
	w := t.Version
	for _, k := range t.Tokens {
		w += k.Epoch.Generation*generationWeight + k.Epoch.Count
	}
	return w
}

// Merge takes the newer parts of both tables and says whether t changed.
func (t Table) Merge(other Table) (Table, bool) {
	next, changed := t, false
	if other.Version > t.Version {
		next.Version, next.Members, changed = other.Version, slices.Clone(other.Members), true
		next.Leaving = slices.Clone(other.Leaving)
	}
	for b, o := range other.Tokens {
		if o.Epoch.Newer(next.Tokens[b].Epoch) {
			next.Tokens[b], changed = o, true
		}
	}
	return next, changed
}
