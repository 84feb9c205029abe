package kqfair

import (
	"math"
	"time"

	"kumquatlink/core/kqadmit"
)

// Bounds and lifetimes of what a Room estimates.
const (
	// roomDecay is the time constant of the averages.
	roomDecay = 2 * time.Second
	// roomTTL is how long the averages are used without a further threshold.
	roomTTL = time.Second
	// deviationFactor converts a mean absolute deviation to a standard deviation.
	deviationFactor = 1.25
	// marginDeviations is by how many standard deviations the requests of a team within
	// its share are moved away from the threshold, and maxMargin the most.
	marginDeviations = 2
	maxMargin        = 0.5
	// hops is how many reports of a downstream threshold decide on a request.
	hops = 3
	// fullRoom is the share above which too few requests are refused to tell.
	fullRoom = 0.98
)

// Room estimates the share of the requests of a rank that gates admit, from the
// thresholds that they report. A threshold varies as calls come and end by chance. A
// dip is paid for by the requests just below it; a rise profits teams in surplus alone,
// since the others have no more to ask for. A team that asks for a little less than the
// limit would therefore get less than its share, so the requests of teams within
// their shares are moved away from the threshold.
//
// The zero value knows no threshold. A Room is not safe for concurrent use.
type Room struct {
	known bool
	rank  int
	// mean and deviation are averages of the share, and of its distance from the mean.
	mean      float64
	deviation float64
	at        time.Duration
	// withheld holds the latest downstream thresholds.
	withheld [hops - 1]uint64
}

// Record records the thresholds that an answer reports for a class: that of the gate
// itself, and the strictest downstream of it or [kqadmit.AdmitAll]. A request meets a
// downstream threshold at its entry, at the gate and again downstream, each time by
// another report, so the strictest of the last reports counts.
func (r *Room) Record(now time.Duration, threshold, downstream kqadmit.Level) {
	threshold = min(threshold, downstream)
	for i, w := range r.withheld {
		threshold = min(threshold, kqadmit.ThresholdOf(w))
		r.withheld[i], downstream = downstream.Withheld(), kqadmit.ThresholdOf(w)
	}
	closed := threshold != kqadmit.AdmitAll
	if !r.known && !closed {
		return
	}
	share := shareBelow(threshold)
	if !r.known || closed && threshold.Rank() != r.rank {
		*r = Room{known: true, rank: threshold.Rank(), mean: share, at: now, withheld: r.withheld}
		return
	}
	weight := 1 - math.Exp(-float64(now-r.at)/float64(roomDecay))
	r.at = now
	r.deviation += (math.Abs(share-r.mean) - r.deviation) * weight
	r.mean += (share - r.mean) * weight
}

// shareBelow returns the share of the positions of a rank that a threshold admits.
func shareBelow(threshold kqadmit.Level) float64 {
	within := threshold - kqadmit.OrderedLevel(threshold.Rank(), 0)
	return min(1, float64(within)/math.MaxUint32)
}

// Order returns the position of a request as [Order] does, or a more important one if
// its team is within its share of the room.
func (r *Room) Order(now time.Duration, curve []float32, demand float64, root string, rank int) uint32 {
	order := Order(curve, demand, root)
	if !r.known || now-r.at > roomTTL || rank != r.rank || r.mean > fullRoom || r.mean <= 0 || len(curve) == 0 {
		return order
	}
	if demand <= 0 || shareAt(curve, demand) > r.mean {
		return order
	}
	margin := min(maxMargin, marginDeviations*deviationFactor*r.deviation/r.mean)
	return max(1, uint32(float64(order)*(1-margin)))
}
