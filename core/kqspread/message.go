package kqspread

import (
	"time"

	"kumquatlink/core/kqmember"
)

// Item is a small named value that is disseminated to all nodes. Of two
// versions of an item the one with the higher Version replaces the other; if
// these are equal, the one with the higher Tie does.
type Item struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Version uint64
	Tie     uint64
	Payload []byte
}

// stamp returns a value that orders the versions of one item.
func (i Item) stamp() kqmember.Stamp {
	return kqmember.Stamp{Incarnation: i.Version, Version: i.Tie}
}

// Change carries the state of one member or one item. Exactly one of Record,
// Note, Item and Offer is set.
type Change struct {
	// Record is a member's record.
	Record *kqmember.Record `cbor:"1,keyasint,omitempty"`
	// Suspected reports whether Record is suspected.
	Suspected bool `cbor:"2,keyasint,omitempty"`
	// AgeSeconds is for how many seconds Record has been suspected or gone.
	AgeSeconds uint32 `cbor:"3,keyasint,omitempty"`
	// Note is a suspicion of a record that the receiver holds.
	Note *Suspicion `cbor:"4,keyasint,omitempty"`
	// Item is an item with its payload.
	Item *Item `cbor:"5,keyasint,omitempty"`
	// Offer states the version of an item whose payload is sent on request.
	Offer *Summary `cbor:"6,keyasint,omitempty"`
}

// Suspicion states that one version of a node's record is suspected, and for
// how many seconds.
type Suspicion struct {
	_           struct{} `cbor:",toarray"`
	NodeID      string
	Incarnation uint64
	Version     uint64
	AgeSeconds  uint32
}

// Kind distinguishes members from items.
type Kind uint8

// The kinds of state that the protocol disseminates.
const (
	KindMember Kind = 1
	KindItem   Kind = 2
)

// Key identifies a member or an item.
type Key struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Name string
}

// Summary states which version of a member or item a node holds. For an item,
// Incarnation is its Version and Version its Tie.
type Summary struct {
	_           struct{} `cbor:",toarray"`
	Key         Key
	Incarnation uint64
	Version     uint64
	Suspected   bool
}

func (s Summary) stamp() kqmember.Stamp {
	return kqmember.Stamp{Incarnation: s.Incarnation, Version: s.Version, Suspected: s.Suspected}
}

// Message is the unit of exchange between two nodes. Empty fields are left out
// of the encoding.
type Message struct {
	// Sequence numbers a ping. The answer carries the number in Answers.
	Sequence uint64 `cbor:"1,keyasint,omitempty"`
	Answers  uint64 `cbor:"2,keyasint,omitempty"`
	// Incarnation and Version are those of the sender's own record.
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
	Version     uint64 `cbor:"4,keyasint,omitempty"`
	// Top is the digest of all that the sender holds.
	Top uint64 `cbor:"5,keyasint,omitempty"`
	// Join requests all that the receiver holds. In an answer it says that the
	// sender is at its rate limit and that another node should be asked.
	Join bool `cbor:"6,keyasint,omitempty"`
	// From names the sender to a receiver that knew only its address.
	From string `cbor:"7,keyasint,omitempty"`
	// Changes are pushed changes, or the answer to Wants.
	Changes []Change `cbor:"8,keyasint,omitempty"`
	// Wants requests the state of members and items that the sender lacks.
	Wants []Key `cbor:"9,keyasint,omitempty"`
	// Buckets holds bucketBytes of every bucket's digest. Round selects which
	// bytes, so that buckets that are equal in some of their bytes are still
	// found to differ in a later round.
	Buckets []byte `cbor:"10,keyasint,omitempty"`
	Round   uint8  `cbor:"11,keyasint,omitempty"`
	// Compared lists the buckets that differ, and Summaries states all that the
	// sender holds in them.
	Compared  []byte    `cbor:"12,keyasint,omitempty"`
	Summaries []Summary `cbor:"13,keyasint,omitempty"`
}

// Envelope is a message with its destination.
type Envelope struct {
	// To names the node, or is empty if only its address is known.
	To string
	// Address is empty if the node is not known yet. The message can then only
	// be sent as a reply to one that the node sent.
	Address string
	Message Message
}

func ageSeconds(now, since time.Duration) uint32 {
	return uint32(max(0, now-since) / time.Second)
}
