package kqspread

import (
	"time"

	"kumquatlink/core/kqmember"
)

// Item is a small named value that spreads to all nodes; of two versions the
// higher one stands, and of two with one version the one with the higher Tie.
type Item struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Version uint64
	Tie     uint64
	Payload []byte
}

// stamp orders versions of one item.
func (i Item) stamp() kqmember.Stamp {
	return kqmember.Stamp{Incarnation: i.Version, Version: i.Tie}
}

// Change tells of one member or one item. Exactly one of Record, Note, Item
// and Offer is set.
type Change struct {
	// Record is a member's record.
	Record *kqmember.Record `cbor:"1,keyasint,omitempty"`
	// Suspected is whether a suspicion of Record stands.
	Suspected bool `cbor:"2,keyasint,omitempty"`
	// AgeSeconds is for how long Record has been suspected or gone.
	AgeSeconds uint32 `cbor:"3,keyasint,omitempty"`
	// Note is a suspicion of a record that the receiver holds.
	Note *Suspicion `cbor:"4,keyasint,omitempty"`
	// Item is an item with its payload.
	Item *Item `cbor:"5,keyasint,omitempty"`
	// Offer names an item whose payload is sent when it is wanted.
	Offer *Summary `cbor:"6,keyasint,omitempty"`
}

// Suspicion is a suspicion of one version of a node's record.
type Suspicion struct {
	_           struct{} `cbor:",toarray"`
	NodeID      string
	Incarnation uint64
	Version     uint64
	AgeSeconds  uint32
}

// Kind tells members from items.
type Kind uint8

// The kinds of what spreads.
const (
	KindMember Kind = 1
	KindItem   Kind = 2
)

// Key names a member or an item.
type Key struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Name string
}

// Summary says which version of something a node holds. For an item,
// Incarnation is its version and Version its tie.
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

// Message is what two nodes tell each other. Parts that are empty cost no
// bytes.
type Message struct {
	// Sequence numbers a ping; the answer carries it as Answers.
	Sequence uint64 `cbor:"1,keyasint,omitempty"`
	Answers  uint64 `cbor:"2,keyasint,omitempty"`
	// Incarnation and Version are those of the sender's own record.
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
	Version     uint64 `cbor:"4,keyasint,omitempty"`
	// Top is the digest of all that the sender holds.
	Top uint64 `cbor:"5,keyasint,omitempty"`
	// Join asks for all that the receiver holds.
	Join bool `cbor:"6,keyasint,omitempty"`
	// From names the sender to a receiver that knew only its address.
	From string `cbor:"7,keyasint,omitempty"`
	// Changes are news, or what was wanted.
	Changes []Change `cbor:"8,keyasint,omitempty"`
	// Wants asks for what the receiver has and the sender lacks.
	Wants []Key `cbor:"9,keyasint,omitempty"`
	// Buckets holds bucketBytes of the digest of every bucket. Round selects
	// which bytes, so that no difference stays hidden.
	Buckets []byte `cbor:"10,keyasint,omitempty"`
	Round   uint8  `cbor:"11,keyasint,omitempty"`
	// Compared lists buckets, and Summaries all that the sender holds in them.
	Compared  []byte    `cbor:"12,keyasint,omitempty"`
	Summaries []Summary `cbor:"13,keyasint,omitempty"`
}

// Envelope is a message on its way to a node.
type Envelope struct {
	// To names the node, or is empty when only its address is known.
	To string
	// Address is empty when the node is not known yet: it can only be reached
	// as the answer to what it sent.
	Address string
	Message Message
}

func ageSeconds(now, since time.Duration) uint32 {
	return uint32(max(0, now-since) / time.Second)
}
