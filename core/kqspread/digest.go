package kqspread

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"kumquatlink/core/kqmember"
)

// Sizes of the digests.
const (
	bucketCount = 256
	// bucketBytes is how much of a bucket's digest is sent in one round.
	bucketBytes = 2
	// roundCount is how many rounds send the whole of a digest.
	roundCount = 8 / bucketBytes
)

// digest sums up all that a node holds, kept step by step.
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

// toggle adds what was absent or removes what was there.
func (d *digest) toggle(s Summary) {
	h := s.hash()
	d.top ^= h
	d.buckets[bucketOf(s.Key)] ^= h
}

// observe follows a change of the view. Hidden members are not summed up, so
// that they are not told to others.
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

// part gives the bytes of every bucket's digest that the round sends.
func (d *digest) part(round uint8) []byte {
	part := make([]byte, 0, bucketCount*bucketBytes)
	for _, b := range d.buckets {
		part = binary.LittleEndian.AppendUint16(part, uint16(b>>(16*(round%roundCount))))
	}
	return part
}

// differing lists the buckets in which part differs from what is held here.
func (d *digest) differing(part []byte, round uint8) []byte {
	own := d.part(round)
	if len(part) != len(own) {
		return nil
	}
	var buckets []byte
	for i := range bucketCount {
		at := i * bucketBytes
		if part[at] != own[at] || part[at+1] != own[at+1] {
			buckets = append(buckets, byte(i))
		}
	}
	return buckets
}
