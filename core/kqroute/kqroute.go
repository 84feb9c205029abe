// Package kqroute chooses the upstream of a service that a call is sent to. An
// upstream is a node with a backend server beside it; an entry is the part of a
// node that takes calls and routes them.
//
// The choice prefers the entry's own failure domain, then its own region, then
// other regions. Among upstreams of the same distance it compares two random
// ones ("power of two choices") and takes the one with fewer outstanding calls
// of this entry, where a hot upstream counts as having one more. Upstreams that
// keep failing are ejected for a while (outlier ejection), but if more than half
// of them would be ejected, all stay in use. Upstreams that have become slow get
// calls only when no other upstream has capacity, apart from occasional probes.
//
// With [PickInfo.Even], for servers of unequal speed, the two are drawn in
// proportion to their limits and paces, and upstreams whose calls often fail get
// calls only when the others are full.
//
// # Usage
//
// A [Table] holds the upstreams of one service as one entry sees them. A new
// table takes over the state of the upstreams from the former one:
//
//	table := kqroute.NewTable(own, records, former, now)
//	choice := table.Pick(kqroute.PickInfo{Now: now, Random: rand.Uint64(), Tried: tried})
//	choice.Begin()
//	// ... send the call ...
//	choice.End(kqroute.CallResult{Now: now, Verdict: kqroute.Good, Load: load})
//
// A [BandwidthLimiter] bounds the traffic to other regions, and [ErrorBudgets]
// tells which classes of calls need other regions to reach their targets.
//
// Picking allocates nothing. Tables and upstreams are safe for concurrent use.
package kqroute

import (
	"slices"
	"time"

	"kumquatlink/core/kqmember"
)

// Distance is how far an upstream is from the entry. Smaller is nearer.
type Distance int

// The distances, nearest first.
const (
	// SameDomain is the failure domain of the entry.
	SameDomain Distance = iota
	// SameRegion is another failure domain in the region of the entry.
	SameRegion
	// OtherRegion is any other region.
	OtherRegion
	distanceCount
)

// Utilizations (load divided by the upstream's limit) from which on upstreams
// further away are considered.
const (
	// busyUtilization allows another failure domain, which costs half a
	// millisecond.
	busyUtilization = 0.5
	// fullUtilization allows another region, which costs 20 ms and money for
	// the traffic.
	fullUtilization = 1.0
)

// Limits of the detection of hot upstreams. An upstream is hot when its
// reported utilization is above hotUtilization and above hotFactor times the
// median. A hot upstream is treated as if it had hotPenalty more outstanding
// calls. The median is taken of at most maxSampled upstreams.
const (
	hotUtilization = 1.0
	hotFactor      = 2.0
	hotPenalty     = 1
	maxSampled     = 15
)

// PickInfo describes a call for which an upstream is chosen.
type PickInfo struct {
	Now time.Time
	// Random is 64 random bits.
	Random uint64
	// Tried holds the upstreams that the call was already sent to; they are not
	// chosen again.
	Tried Tried
	// AllowOtherRegion permits another region when the upstreams of the own
	// region are full. Without it, another region is used only if the own one
	// has no eligible upstream.
	AllowOtherRegion bool
	// AllowProbe permits the call to be sent to an ejected upstream as a probe.
	// Set it only for a call that may run more than once.
	AllowProbe bool
	// Usable reports whether the upstream can be reached now; nil means that
	// all can.
	Usable func(u *Upstream) bool
	// Avoid reports whether the upstream is chosen only when no other one has
	// capacity; nil means that none is.
	Avoid func(u *Upstream) bool
	// Bandwidth limits the traffic to other regions; nil means no limit.
	Bandwidth *BandwidthLimiter
	// Even draws the upstreams that are compared in proportion to their capacity,
	// and avoids those whose calls often fail.
	Even bool
	// ignoreWarmup treats warming upstreams like any other.
	ignoreWarmup bool
	// strict excludes slow upstreams and those to avoid.
	strict bool
	// maxFailures excludes upstreams with at least this share of faults; 0 means
	// that it excludes none.
	maxFailures float64
}

// Table holds the upstreams of one service, nearest first.
type Table struct {
	upstreams []*Upstream
	ends      [distanceCount]int
	// names lists the node ID of every upstream twice over, so that the others
	// of any upstream are one slice of it, without an allocation.
	names    []string
	baseline *latencyBaseline
}

// NewTable returns a table of the upstreams in records for the entry of the
// node own. An upstream that is in the former table with the same incarnation
// keeps its state; former may be nil.
func NewTable(own kqmember.Record, records []kqmember.Record, former *Table, now time.Time) *Table {
	t := &Table{upstreams: make([]*Upstream, 0, len(records)), names: make([]string, 0, 2*len(records)), baseline: newLatencyBaseline()}
	if former != nil {
		t.baseline = former.baseline
	}
	for _, r := range records {
		t.upstreams = append(t.upstreams, newUpstream(own, r, former.stateOf(r), t.baseline, now))
	}
	slices.SortStableFunc(t.upstreams, func(a, b *Upstream) int { return int(a.Distance) - int(b.Distance) })
	for i, u := range t.upstreams {
		for distance := u.Distance; distance < distanceCount; distance++ {
			t.ends[distance] = i + 1
		}
		t.names = append(t.names, u.Record.NodeID)
	}
	t.names = append(t.names, t.names...)
	return t
}

// stateOf returns the state that the table holds of the upstream, or nil.
func (t *Table) stateOf(r kqmember.Record) *upstreamState {
	if t == nil {
		return nil
	}
	for _, u := range t.upstreams {
		if u.Record.NodeID == r.NodeID && u.Record.Incarnation == r.Incarnation {
			return u.upstreamState
		}
	}
	return nil
}

// Upstreams returns the upstreams, nearest first. The caller must not change
// the slice.
func (t *Table) Upstreams() []*Upstream {
	return t.upstreams
}

// Others returns the node IDs of all upstreams but u. The caller must not
// change the slice.
func (t *Table) Others(u *Upstream) []string {
	i := slices.Index(t.upstreams, u)
	if i < 0 {
		return t.names[:len(t.upstreams)]
	}
	return t.names[i+1 : i+len(t.upstreams)]
}

// Pick chooses an upstream, or returns nil when none is eligible for this call.
// A slow upstream, or one to avoid, is passed over only while another one has
// capacity, and a warming one only while another one is eligible.
func (t *Table) Pick(info PickInfo) *Upstream {
	if info.Even && t.AnyFailing(info.Now) {
		if u, refused := t.pickSound(info); u != nil || refused {
			return u
		}
	}
	if info.Avoid != nil || t.anyAvoided(info.Now) {
		strict := info
		strict.strict = true
		if u := t.pick(strict); u != nil && u.utilization(info.Now) < fullUtilization {
			return u
		}
	}
	if u := t.pick(info); u != nil {
		return u
	}
	info.ignoreWarmup = true
	return t.pick(info)
}

func (t *Table) pick(info PickInfo) *Upstream {
	ignoreEjection := t.tooManyEjected(info.Now)
	sameDomain := t.pickFrom(SameDomain, &info, ignoreEjection)
	if sameDomain != nil && sameDomain.utilization(info.Now) < busyUtilization {
		return sameDomain
	}
	nearer := lessUtilized(sameDomain, t.pickFrom(SameRegion, &info, ignoreEjection), info.Now)
	if nearer != nil && (!info.AllowOtherRegion || nearer.utilization(info.Now) < fullUtilization) {
		return nearer
	}
	otherRegion := t.pickFrom(OtherRegion, &info, ignoreEjection)
	if nearer == nil {
		return otherRegion
	}
	if otherRegion != nil && otherRegion.utilization(info.Now) < fullUtilization {
		return otherRegion
	}
	return nearer
}

// anyAvoided reports whether any upstream is avoided at the moment because it
// is slow.
func (t *Table) anyAvoided(now time.Time) bool {
	return slices.ContainsFunc(t.upstreams, func(u *Upstream) bool { return u.isAvoided(now) })
}

// lessUtilized returns the upstream with the lower utilization, and the nearer
// one if they are equal. Either may be nil.
func lessUtilized(nearer, further *Upstream, now time.Time) *Upstream {
	if nearer == nil || (further != nil && further.utilization(now) < nearer.utilization(now)) {
		return further
	}
	return nearer
}

// lessLoaded returns the upstream with the lower effective load, and a if they
// are equal. A load report can only drive calls away from the upstream that
// sent it and never attract any, so an upstream gains nothing by reporting too
// little.
func lessLoaded(a, b *Upstream, median float64, now time.Time) *Upstream {
	if b.effectiveLoad(median, now) < a.effectiveLoad(median, now) {
		return b
	}
	return a
}

// medianUtilization returns the median of the reported utilizations of at most
// maxSampled upstreams. The median is used because a few wrong reports do not
// move it far.
func medianUtilization(upstreams []*Upstream, info *PickInfo) float64 {
	var utilizations [maxSampled]float64
	n := min(len(upstreams), maxSampled)
	start := int(info.Random>>16&0xffff) % len(upstreams)
	for i := range n {
		utilization := upstreams[(start+i)%len(upstreams)].reportedUtilization(info.Now)
		j := i
		for ; j > 0 && utilizations[j-1] > utilization; j-- {
			utilizations[j] = utilizations[j-1]
		}
		utilizations[j] = utilization
	}
	return utilizations[n/2]
}

// tooManyEjected reports whether more than half of the upstreams are ejected.
// The cause must then lie elsewhere, and the remaining upstreams could not
// carry the load alone.
func (t *Table) tooManyEjected(now time.Time) bool {
	ejected := 0
	for _, u := range t.upstreams {
		if u.isEjected(now) {
			ejected++
		}
	}
	return ejected > len(t.upstreams)/2
}

// pickFrom compares two random eligible upstreams of the given distance and
// returns the less loaded one, or nil if none is eligible.
func (t *Table) pickFrom(distance Distance, info *PickInfo, ignoreEjection bool) *Upstream {
	start := 0
	if distance > 0 {
		start = t.ends[distance-1]
	}
	candidates := t.upstreams[start:t.ends[distance]]
	if info.Even {
		return pickEvenFrom(candidates, info, ignoreEjection)
	}
	count := 0
	for _, u := range candidates {
		if u.isEligible(info, ignoreEjection) {
			count++
		}
	}
	if count == 0 {
		return nil
	}
	i := int(info.Random>>32) % count
	first := nthEligible(candidates, i, info, ignoreEjection)
	if count == 1 || first == nil {
		return first
	}
	j := (i + 1 + int(info.Random&0xffffffff)%(count-1)) % count
	second := nthEligible(candidates, j, info, ignoreEjection)
	if second == nil {
		return first
	}
	return lessLoaded(first, second, medianUtilization(candidates, info), info.Now)
}

// nthEligible returns the n-th eligible candidate, the last one if there are
// fewer, or nil if there is none. Calls and links that end in other goroutines may
// change what is eligible after it was counted.
func nthEligible(candidates []*Upstream, n int, info *PickInfo, ignoreEjection bool) *Upstream {
	var last *Upstream
	for _, u := range candidates {
		if !u.isEligible(info, ignoreEjection) {
			continue
		}
		last = u
		if n == 0 {
			break
		}
		n--
	}
	return last
}

// Tried is the set of upstreams that one call was sent to. The zero value is
// empty.
type Tried struct {
	upstreams [maxTried]*Upstream
	count     int
}

// maxTried is the capacity of a Tried; a request has fewer retries than that.
const maxTried = 8

// Add adds an upstream. It has no effect when the set is full.
func (t *Tried) Add(u *Upstream) {
	if t.count < maxTried {
		t.upstreams[t.count] = u
		t.count++
	}
}

// Has reports whether the upstream is in the set, also if it was added as an
// entry of another table.
func (t *Tried) Has(u *Upstream) bool {
	for _, tried := range t.upstreams[:t.count] {
		if tried.upstreamState == u.upstreamState {
			return true
		}
	}
	return false
}
