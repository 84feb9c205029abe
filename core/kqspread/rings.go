package kqspread

import (
	"cmp"
	"slices"

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
	nodeID string
}

func newPlace(ring int, nodeID string) place {
	d := xxhash.NewWithSeed(uint64(ring))
	_, _ = d.WriteString(nodeID)
	return place{hash: d.Sum64(), nodeID: nodeID}
}

func comparePlaces(a, b place) int {
	if a.hash != b.hash {
		return cmp.Compare(a.hash, b.hash)
	}
	return cmp.Compare(a.nodeID, b.nodeID)
}

// rings hold every node that a view does, removed ones too.
type rings struct {
	places [ringCount][]place
	// added are nodes that are not on the rings yet.
	added []string
}

// observe follows a change of the view.
func (r *rings) observe(before, after *kqmember.Member) {
	if before == nil {
		r.added = append(r.added, after.Record.NodeID)
		return
	}
	if after != nil {
		return
	}
	r.settle()
	for ring, places := range r.places {
		if at, found := slices.BinarySearchFunc(places, newPlace(ring, before.Record.NodeID), comparePlaces); found {
			r.places[ring] = slices.Delete(places, at, at+1)
		}
	}
}

// settle puts the new nodes on the rings.
func (r *rings) settle() {
	if len(r.added) == 0 {
		return
	}
	for ring, places := range r.places {
		r.places[ring] = insert(places, newPlaces(ring, r.added))
	}
	r.added = nil
}

func newPlaces(ring int, nodeIDs []string) []place {
	places := make([]place, len(nodeIDs))
	for i, id := range nodeIDs {
		places[i] = newPlace(ring, id)
	}
	slices.SortFunc(places, comparePlaces)
	return places
}

// insert merges two sorted lists from their ends on.
func insert(places, added []place) []place {
	held, next := len(places), len(added)
	places = append(places, added...)
	for at := len(places) - 1; next > 0; at-- {
		if held > 0 && comparePlaces(places[held-1], added[next-1]) > 0 {
			held--
			places[at] = places[held]
			continue
		}
		next--
		places[at] = added[next]
	}
	return places
}

// nearest gives the nearest node on one side of own that fits, or nil. Step is
// 1 or -1.
func (r *rings) nearest(ring, step int, view *kqmember.View, fits func(*kqmember.Member) bool) *kqmember.Member {
	places := r.places[ring]
	at, found := slices.BinarySearchFunc(places, newPlace(ring, view.Own().NodeID), comparePlaces)
	if !found {
		return nil
	}
	for range len(places) - 1 {
		at = (at + step + len(places)) % len(places)
		if held := view.Find(places[at].nodeID); fits(held) {
			return held
		}
	}
	return nil
}

// neighbours gives the nodes that own keeps links with: two of its failure
// domain, two of its region and two of the fleet, each the nearest on a ring.
// Where these are fewer than Degree, further nodes of the fleet fill up.
func (r *rings) neighbours(view *kqmember.View, fits func(*kqmember.Member) bool) []*kqmember.Member {
	r.settle()
	var chosen []*kqmember.Member
	take := func(ring, step int, more func(kqmember.Record) bool) {
		held := r.nearest(ring, step, view, func(m *kqmember.Member) bool {
			return fits(m) && more(m.Record) && !slices.Contains(chosen, m)
		})
		if held != nil {
			chosen = append(chosen, held)
		}
	}
	own := view.Own()
	anywhere := func(kqmember.Record) bool { return true }
	for _, step := range []int{1, -1} {
		take(ringDomain, step, func(r kqmember.Record) bool { return r.FailureDomain == own.FailureDomain })
	}
	for _, step := range []int{1, -1} {
		take(ringRegion, step, func(r kqmember.Record) bool { return r.Region == own.Region })
	}
	for _, step := range []int{1, -1} {
		take(ringFleet, step, anywhere)
	}
	for step := 1; len(chosen) < Degree && step >= -1; step -= 2 {
		take(ringSpare, step, anywhere)
		take(ringSpare, step, anywhere)
	}
	return chosen
}
