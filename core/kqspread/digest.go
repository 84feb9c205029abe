package kqspread

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"kumquatlink/core/kqmember"
)

// Sizes of the digests.
const (
	bucketCount = 256
	// bucketBytes is the number of bytes of each bucket's digest that one round
	// sends.
	bucketBytes = 2
	// roundCount is the number of rounds that send all bytes of a digest.
	roundCount = 8 / bucketBytes
)

// digest holds the XOR of the hashes of all summaries that a node holds: over
// everything in top, and for each bucket. It is updated incrementally.
type digest struct {
	top     uint64
	buckets [bucketCount]uint64
}

func bucketOf(k Key) uint8 {
	return uint8(xxhash.Sum64String(k.Name)) ^ uint8(k.Kind)
}

func (s Summary) hash() uint64 {
	var b [18]byte
	binary.LittleEndian.PutUint64(b[:], s.Incarnation)
	binary.LittleEndian.PutUint64(b[8:], s.Version)
	if s.Suspected {
		b[16] = 1
	}
	b[17] = byte(s.Key.Kind)
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(s.Key.Name)
	return d.Sum64()
}

// toggle adds a summary that was absent, or removes one that was present.
func (d *digest) toggle(s Summary) {
	h := s.hash()
	d.top ^= h
	d.buckets[bucketOf(s.Key)] ^= h
}

// observe applies a change of one member of the view. Hidden members stay out
// of the digest, so that they are not disseminated.
func (d *digest) observe(before, after *kqmember.Member) {
	for _, held := range []*kqmember.Member{before, after} {
		if held != nil && held.Status != kqmember.StatusHidden {
			d.toggle(memberSummary(held))
		}
	}
}

func memberKey(nodeID string) Key {
	return Key{Kind: KindMember, Name: nodeID}
}

func itemKey(name string) Key {
	return Key{Kind: KindItem, Name: name}
}

func memberSummary(m *kqmember.Member) Summary {
	s := m.Stamp()
	return Summary{Key: memberKey(m.Record.NodeID), Incarnation: s.Incarnation, Version: s.Version, Suspected: s.Suspected}
}

func itemSummary(i Item) Summary {
	return Summary{Key: itemKey(i.Name), Incarnation: i.Version, Version: i.Tie}
}

// roundBytes returns the bytes of every bucket's digest that the given round
// sends.
func (d *digest) roundBytes(round uint8) []byte {
	data := make([]byte, 0, bucketCount*bucketBytes)
	for _, b := range d.buckets {
		data = binary.LittleEndian.AppendUint16(data, uint16(b>>(16*(round%roundCount))))
	}
	return data
}

// differingBuckets lists the buckets whose received digest bytes differ from
// those held here. It returns nil if received has the wrong length.
func (d *digest) differingBuckets(received []byte, round uint8) []byte {
	own := d.roundBytes(round)
	if len(received) != len(own) {
		return nil
	}
	var buckets []byte
	for i := range bucketCount {
		at := i * bucketBytes
		if received[at] != own[at] || received[at+1] != own[at+1] {
			buckets = append(buckets, byte(i))
		}
	}
	return buckets
}
