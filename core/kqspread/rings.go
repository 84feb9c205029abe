package kqspread

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"kumquatlink/core/kqmember"
)

// The rings of the overlay network. All nodes stand on each ring in the order
// of their hashes, which differs from ring to ring. A node links with the
// nearest eligible nodes on both sides.
const (
	ringDomain = iota
	ringRegion
	ringFleet
	ringSpare
	ringCount
)

// Degree is the number of neighbours that a node aims for.
const Degree = 6

// position is the position of a node on a ring.
type position struct {
	hash   uint64
	nodeID string
}

func newPosition(ring int, nodeID string) position {
	d := xxhash.NewWithSeed(uint64(ring))
	_, _ = d.WriteString(nodeID)
	return position{hash: d.Sum64(), nodeID: nodeID}
}

func comparePositions(a, b position) int {
	if a.hash != b.hash {
		return cmp.Compare(a.hash, b.hash)
	}
	return cmp.Compare(a.nodeID, b.nodeID)
}

// rings holds every node of a view, removed ones too, sorted by position.
type rings struct {
	positions [ringCount][]position
	// added lists nodes that are not on the rings yet.
	added []string
}

// observe applies a change of one member of the view.
func (r *rings) observe(before, after *kqmember.Member) {
	if before == nil {
		r.added = append(r.added, after.Record.NodeID)
		return
	}
	if after != nil {
		return
	}
	r.insertAdded()
	for ring, positions := range r.positions {
		if at, found := slices.BinarySearchFunc(positions, newPosition(ring, before.Record.NodeID), comparePositions); found {
			r.positions[ring] = slices.Delete(positions, at, at+1)
		}
	}
}

// insertAdded inserts the added nodes into the rings.
func (r *rings) insertAdded() {
	if len(r.added) == 0 {
		return
	}
	for ring, positions := range r.positions {
		r.positions[ring] = mergeSorted(positions, newPositions(ring, r.added))
	}
	r.added = nil
}

func newPositions(ring int, nodeIDs []string) []position {
	positions := make([]position, len(nodeIDs))
	for i, id := range nodeIDs {
		positions[i] = newPosition(ring, id)
	}
	slices.SortFunc(positions, comparePositions)
	return positions
}

// mergeSorted merges two sorted lists, starting from their ends.
func mergeSorted(positions, added []position) []position {
	keep, next := len(positions), len(added)
	positions = append(positions, added...)
	for at := len(positions) - 1; next > 0; at-- {
		if keep > 0 && comparePositions(positions[keep-1], added[next-1]) > 0 {
			keep--
			positions[at] = positions[keep]
			continue
		}
		next--
		positions[at] = added[next]
	}
	return positions
}

// nearest returns the nearest eligible node on one side of the own node, or
// nil. Step is 1 or -1.
func (r *rings) nearest(ring, step int, view *kqmember.View, eligible func(*kqmember.Member) bool) *kqmember.Member {
	positions := r.positions[ring]
	at, found := slices.BinarySearchFunc(positions, newPosition(ring, view.Own().NodeID), comparePositions)
	if !found {
		return nil
	}
	for range len(positions) - 1 {
		at = (at + step + len(positions)) % len(positions)
		if held := view.Find(positions[at].nodeID); eligible(held) {
			return held
		}
	}
	return nil
}

// neighbours returns the nodes to keep links with: two of the own failure
// domain, two of the own region and two of the fleet, each the nearest on a
// ring. If these are fewer than Degree, further nodes of the fleet are added.
func (r *rings) neighbours(view *kqmember.View, eligible func(*kqmember.Member) bool) []*kqmember.Member {
	r.insertAdded()
	var chosen []*kqmember.Member
	choose := func(ring, step int, accepts func(kqmember.Record) bool) {
		held := r.nearest(ring, step, view, func(m *kqmember.Member) bool {
			return eligible(m) && accepts(m.Record) && !slices.Contains(chosen, m)
		})
		if held != nil {
			chosen = append(chosen, held)
		}
	}
	own := view.Own()
	anywhere := func(kqmember.Record) bool { return true }
	for _, step := range []int{1, -1} {
		choose(ringDomain, step, func(r kqmember.Record) bool { return r.FailureDomain == own.FailureDomain })
	}
	for _, step := range []int{1, -1} {
		choose(ringRegion, step, func(r kqmember.Record) bool { return r.Region == own.Region })
	}
	for _, step := range []int{1, -1} {
		choose(ringFleet, step, anywhere)
	}
	for step := 1; len(chosen) < Degree && step >= -1; step -= 2 {
		choose(ringSpare, step, anywhere)
		choose(ringSpare, step, anywhere)
	}
	return chosen
}
