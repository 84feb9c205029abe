// Package kqfair orders the requests of one rank by the fair shares of their teams, so
// that an admission threshold refuses first what a team sends beyond its share. The
// order is a 32-bit position; a lower one is more important.
//
// # Usage
//
// A node that knows the demand of all teams summarizes it as a curve. An entry that
// has the curve and the demand of a request's team gives the request its position,
// which its calls keep over all hops:
//
//	curve := kqfair.NewCurve([]float64{900, 120, 40, 2})
//	head.Order = kqfair.Order(curve, 120, head.Root)
//
// An entry that keeps a [Room] for a class uses that of the class:
//
//	room.Record(now, threshold, downstream) // with each answer of a gate
//	head.Order = room.Order(now, curve, 120, head.Root, head.Rank)
//
// # Shares
//
// A request has a number u between 0 and 1 that follows from the ID of its root. If the
// team's demand is d, a threshold at x admits the requests with u*d <= x, so min(d, x)
// of each team: this is the max-min fair division, in which only teams that ask for
// more than x are refused anything. [MinShare] is the exception: a team is admitted at
// least that often, relative to all requests. The position of a request is the share
// of all requests that is admitted when the threshold just admits this one. Positions
// are therefore spread evenly, as a plain hash is, and a threshold that is adapted to
// what a server can run finds x without knowing the teams.
//
// Demand is what a team asks for, whether it is served or refused, in any unit that
// is the same for all teams: requests per second, or slots if calls of teams
// differ in how long they take.
package kqfair

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MinShare is the least ratio between the share of a team's requests that a threshold
// admits and the share of all requests that it admits. Callers are promised a quarter;
// the rest is a margin.
const MinShare = 0.26

// curveSteps is the number of points of a curve.
const curveSteps = 16

// bisections is enough to exhaust the precision of a float32.
const bisections = 48

// NewCurve summarizes the demand of all teams. Point k of n, counted from 1, is the
// largest demand that is admitted in full when k/n of all requests are admitted; the
// last point is the largest demand. Demands that are not positive are ignored; without
// any other the curve is empty. The slice is not changed.
func NewCurve(demands []float64) []float32 {
	d := newDivision(demands)
	if d.total() == 0 {
		return nil
	}
	curve := make([]float32, curveSteps)
	for k := range curve {
		curve[k] = float32(d.limit(float64(k+1) / curveSteps))
	}
	return curve
}

// division divides room among teams. Sums of the demands are kept so that a step of
// a search does not visit all teams.
type division struct {
	// demands are in ascending order, and sums[i] is the sum of the first i.
	demands []float64
	sums    []float64
}

func newDivision(demands []float64) division {
	d := division{sums: make([]float64, 1, len(demands)+1)}
	for _, x := range demands {
		if x > 0 {
			d.demands = append(d.demands, min(x, math.MaxFloat32))
		}
	}
	slices.Sort(d.demands)
	for i, x := range d.demands {
		d.sums = append(d.sums, d.sums[i]+x)
	}
	return d
}

func (d *division) total() float64 {
	return d.sums[len(d.demands)]
}

// limit returns the largest demand that is admitted in full when the share of all
// requests is admitted.
func (d *division) limit(share float64) float64 {
	high := d.demands[len(d.demands)-1]
	if share >= 1 {
		return high
	}
	low, wanted := 0.0, share*d.total()
	for range bisections {
		middle := (low + high) / 2
		if d.admitted(middle, MinShare*share) < wanted {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// admitted returns how much is admitted in all if each team gets the limit, or the
// least share of its demand if that is more, and no team more than its demand.
func (d *division) admitted(limit, least float64) float64 {
	within, _ := slices.BinarySearch(d.demands, limit)
	above, _ := slices.BinarySearch(d.demands, limit/least)
	above = max(above, within)
	return d.sums[within] + limit*float64(above-within) + least*(d.total()-d.sums[above])
}

// Order returns the position of a request among those of its rank; it is never 0. The
// demand is that of the request's team, in the unit of the curve. A team without known
// demand has only begun to send: its requests are placed within the first step of the
// curve, which any team fills before it exceeds its share. Without a curve the
// position is the hash of the root, as for requests that belong to no team.
func Order(curve []float32, demand float64, root string) uint32 {
	hash := uint32(xxhash.Sum64String(root) >> 32)
	if len(curve) == 0 {
		return max(1, hash)
	}
	u := (float64(hash) + 1) / (1 << 32)
	position := u / float64(len(curve))
	if demand > 0 {
		position = min(shareAt(curve, u*demand), u/MinShare)
	}
	return uint32(max(1, min(position, 1)*math.MaxUint32))
}

// shareAt returns the share of all requests that is admitted when x is the largest
// demand that is admitted in full.
func shareAt(curve []float32, x float64) float64 {
	k, _ := slices.BinarySearch(curve, float32(x))
	if k == len(curve) {
		return 1
	}
	low := 0.0
	if k > 0 {
		low = float64(curve[k-1])
	}
	part := 1.0
	if width := float64(curve[k]) - low; width > 0 {
		part = min(max((x-low)/width, 0), 1)
	}
	return (float64(k) + part) / float64(len(curve))
}
