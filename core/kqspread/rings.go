package kqspread

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"kumquatlink/core/kqmember"
)

// The rings of the overlay. On each, all nodes stand in an order of its own,
// and a node's neighbours are the nearest nodes on both sides that fit.
const (
	ringDomain = iota
	ringRegion
	ringFleet
	ringSpare
	ringCount
)

// Degree is how many neighbours a node seeks.
const Degree = 6

// place is where a node stands on a ring.
type place struct {
	hash   uint64
	member *kqmember.Member
}

func comparePlaces(a, b place) int {
	if a.hash != b.hash {
		if a.hash < b.hash {
			return -1
		}
		return 1
	}
	return strings.Compare(a.member.Record.NodeID, b.member.Record.NodeID)
}

// rings hold every node that a view does, removed ones too.
type rings [ringCount][]place

func ringHash(ring int, nodeID string) uint64 {
	d := xxhash.NewWithSeed(uint64(ring))
	_, _ = d.WriteString(nodeID)
	return d.Sum64()
}

// observe follows a change of the view.
func (r *rings) observe(before, after *kqmember.Member) {
	for ring := range r {
		if after == nil {
			r.drop(ring, before)
			continue
		}
		r.set(ring, after)
	}
}

func (r *rings) set(ring int, m *kqmember.Member) {
	p := place{hash: ringHash(ring, m.Record.NodeID), member: m}
	at, found := slices.BinarySearchFunc(r[ring], p, comparePlaces)
	if found {
		r[ring][at] = p
		return
	}
	r[ring] = slices.Insert(r[ring], at, p)
}

func (r *rings) drop(ring int, m *kqmember.Member) {
	p := place{hash: ringHash(ring, m.Record.NodeID), member: m}
	if at, found := slices.BinarySearchFunc(r[ring], p, comparePlaces); found {
		r[ring] = slices.Delete(r[ring], at, at+1)
	}
}

// nearest gives the nearest node on one side of own that fits, or nil. Step is
// 1 or -1.
func (r *rings) nearest(ring, step int, own *kqmember.Member, fits func(*kqmember.Member) bool) *kqmember.Member {
	places := r[ring]
	at, found := slices.BinarySearchFunc(places, place{hash: ringHash(ring, own.Record.NodeID), member: own}, comparePlaces)
	if !found {
		return nil
	}
	for range len(places) - 1 {
		at = (at + step + len(places)) % len(places)
		if fits(places[at].member) {
			return places[at].member
		}
	}
	return nil
}

// neighbours gives the nodes that own keeps links with: two of its failure
// domain, two of its region and two of the fleet, each the nearest on a ring.
// Where these are fewer than Degree, further nodes of the fleet fill up.
func (r *rings) neighbours(own *kqmember.Member, fits func(*kqmember.Member) bool) []*kqmember.Member {
	var chosen []*kqmember.Member
	take := func(ring, step int, more func(*kqmember.Member) bool) {
		m := r.nearest(ring, step, own, func(m *kqmember.Member) bool { return fits(m) && more(m) })
		if m != nil && !slices.Contains(chosen, m) {
			chosen = append(chosen, m)
		}
	}
	home := own.Record
	for _, step := range []int{1, -1} {
		take(ringDomain, step, func(m *kqmember.Member) bool { return m.Record.FailureDomain == home.FailureDomain })
		take(ringRegion, step, func(m *kqmember.Member) bool {
			return m.Record.Region == home.Region && !slices.Contains(chosen, m)
		})
		take(ringFleet, step, func(m *kqmember.Member) bool { return !slices.Contains(chosen, m) })
	}
	for _, step := range []int{1, -1, 1, -1} {
		if len(chosen) >= Degree {
			break
		}
		take(ringSpare, step, func(m *kqmember.Member) bool { return !slices.Contains(chosen, m) })
	}
	return chosen
}
