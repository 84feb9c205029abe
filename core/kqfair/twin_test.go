package kqfair_test

import (
	"math"
	"slices"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"kumquatlink/core/kqfair"
)

// fairShares returns the max-min fair share of each team's demand if room is the share of
// all demand that can be admitted, where every team gets at least the given part of
// the room's share.
func fairShares(demands []float64, room, least float64) []float64 {
	total, low, high := 0.0, 0.0, 0.0
	for _, d := range demands {
		total += d
		high = max(high, d)
	}
	shares := make([]float64, len(demands))
	for range 100 {
		limit := (low + high) / 2
		admitted := 0.0
		for i, d := range demands {
			shares[i] = max(min(1, limit/d), least*room)
			admitted += shares[i] * d
		}
		if admitted < room*total {
			low = limit
		} else {
			high = limit
		}
	}
	return shares
}

// exactOrder returns the position of a request as a share of all requests, by
// searching for the room with which the request is just admitted.
func exactOrder(demands []float64, team int, root string) float64 {
	u := (float64(xxhash.Sum64String(root)>>32) + 1) / (1 << 32)
	low, high := 0.0, 1.0
	for range 40 {
		room := (low + high) / 2
		if fairShares(demands, room, kqfair.MinShare)[team] < u {
			low = room
		} else {
			high = room
		}
	}
	return high
}

// drawDemands draws the demands of some teams, of very different sizes.
func drawDemands(t *rapid.T) []float64 {
	exponents := rapid.SliceOfN(rapid.Float64Range(-2, 4), 1, 40).Draw(t, "exponents")
	var demands []float64
	for _, e := range exponents {
		demands = append(demands, math.Pow(10, e))
	}
	return demands
}

func position(order uint32) float64 {
	return float64(order) / math.MaxUint32
}

// TestOrderMatchesItsDefinition compares positions with those of the definition. A
// curve of 16 points places a request in the step to which it belongs.
func TestOrderMatchesItsDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		curve := kqfair.NewCurve(demands)
		team := rapid.IntRange(0, len(demands)-1).Draw(t, "team")
		root := rapid.String().Draw(t, "root")
		got, want := position(kqfair.Order(curve, demands[team], root)), exactOrder(demands, team, root)
		if math.Abs(got-want) > 1.0/16 {
			t.Errorf("position: got %v, want %v", got, want)
		}
	})
}

// evenRoots returns IDs whose hashes are spread evenly, one in each of n parts of the
// range, so that a count of them has no error by chance.
func evenRoots(n int) []string {
	roots, missing := make([]string, n), n
	for i := 0; missing > 0; i++ {
		id := strconv.Itoa(i)
		part := int(float64(xxhash.Sum64String(id)>>32) / (1 << 32) * float64(n))
		if roots[part] == "" {
			roots[part] = id
			missing--
		}
	}
	return roots
}

// TestThresholdAdmitsFairShares checks for any threshold which share of each team's
// requests lies below it, against the fair shares of the same total.
func TestThresholdAdmitsFairShares(t *testing.T) {
	roots := evenRoots(2000)
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		curve := kqfair.NewCurve(demands)
		threshold := rapid.Float64Range(0.05, 1).Draw(t, "threshold")
		got := make([]float64, len(demands))
		total, admitted := 0.0, 0.0
		for i, d := range demands {
			for _, root := range roots {
				if position(kqfair.Order(curve, d, root)) <= threshold {
					got[i] += 1 / float64(len(roots))
				}
			}
			total += d
			admitted += got[i] * d
		}
		for i, want := range fairShares(demands, min(1, admitted/total), kqfair.MinShare) {
			if math.Abs(got[i]-want) > 0.05 {
				t.Errorf("share of team %d, demand %v, of %v: got %v, want %v", i, demands[i], demands, got[i], want)
			}
		}
	})
}

// TestCurveIsOrderedAndEndsAtTheLargestDemand checks the form of a curve.
func TestCurveIsOrderedAndEndsAtTheLargestDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		curve := kqfair.NewCurve(demands)
		if !slices.IsSorted(curve) {
			t.Errorf("points: got %v, want them in ascending order", curve)
		}
		if got, want := curve[len(curve)-1], float32(slices.Max(demands)); got != want {
			t.Errorf("last point: got %v, want %v", got, want)
		}
		if got, want := len(curve), 16; got != want {
			t.Errorf("number of points: got %d, want %d", got, want)
		}
	})
}

// TestOrderOfAnyInput checks that no curve, demand or root yields position 0, as a
// malformed message may hold any numbers.
func TestOrderOfAnyInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		curve := rapid.SliceOfN(rapid.Float32(), 0, 20).Draw(t, "curve")
		if rapid.Bool().Draw(t, "malformed") {
			curve = append(curve, float32(math.NaN()), float32(math.Inf(1)), -1, 0)
		}
		demand := rapid.OneOf(rapid.Float64(), rapid.Just(math.NaN()), rapid.Just(math.Inf(1)), rapid.Just(math.Inf(-1))).Draw(t, "demand")
		if got := kqfair.Order(curve, demand, rapid.String().Draw(t, "root")); got == 0 {
			t.Errorf("position: got 0, want any other")
		}
	})
}
