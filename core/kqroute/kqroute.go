// Package kqroute decides to which upstream of a service a call goes. It
// prefers the own failure domain, then the own region; takes the one of two
// that chance names which does not stand out as hot, or has fewer calls of this
// entry; and leaves out upstreams that calls have shown to be bad, but never
// more than half of them.
//
// # Usage
//
// A [Table] holds the upstreams of one service as one entry sees them. A new
// table takes over what a former one had learned:
//
//	table := kqroute.NewTable(own, records, former, now)
//	choice := table.Pick(kqroute.PickInfo{Now: now, Random: rand.Uint64(), Tried: &tried})
//	choice.Begin()
//	// ... send the call ...
//	choice.End(kqroute.CallResult{Now: now, Verdict: kqroute.Good, Load: load})
//
// Picking allocates nothing. Tables and upstreams are safe for concurrent use.
package kqroute

import (
	"slices"
	"time"

	"kumquatlink/core/kqmember"
)

// Distance says how far away an upstream is.
type Distance int

// The rings, from the nearest.
const (
	// SameDomain is the entry's own failure domain.
	SameDomain Distance = iota
	// SameRegion is another failure domain of the entry's own region.
	SameRegion
	// OtherRegion is another region.
	OtherRegion
	rings
)

// Shares of an upstream's limit from which on another ring is looked at.
const (
	// busyShare lets a call go to another failure domain, which costs half a
	// millisecond.
	busyShare = 0.5
	// fullShare lets a call go to another region, which costs 20 ms and money.
	fullShare = 1.0
)

// An upstream is hot when its reported share is above hotShare and above the
// usual one by hotFactor.
const (
	hotShare    = 1.0
	hotFactor   = 2.0
	hotWeight   = 1
	maxCompared = 15
)

// PickInfo is one call that wants an upstream.
type PickInfo struct {
	Now time.Time
	// Random is 64 random bits.
	Random uint64
	// Tried are the upstreams that the call was sent to before.
	Tried Tried
	// AllowOtherRegion is whether the call may go to another region although its own has
	// upstreams.
	AllowOtherRegion bool
	// AllowProbe is whether the call may try out an upstream that was set aside. It
	// should be one that may run more than once.
	AllowProbe bool
	// Usable is whether the upstream can be reached at this moment; nil means
	// that all can.
	Usable func(u *Upstream) bool
	// Bandwidth is what may be sent to other regions; nil means no limit.
	Bandwidth *BandwidthLimiter
	// cold lets every call through to warming upstreams.
	cold bool
	// spare leaves slow upstreams out.
	spare bool
}

// Table holds the upstreams of one service, nearest first.
type Table struct {
	upstreams []*Upstream
	ends      [rings]int
	// names lists every upstream twice over, so that the others of any of them
	// are one slice of it.
	names []string
	pace  *pace
}

// NewTable makes a table of the records for an entry at own. Upstreams that
// stand in former with the same incarnation keep what was learned of them.
func NewTable(own kqmember.Record, records []kqmember.Record, former *Table, now time.Time) *Table {
	t := &Table{upstreams: make([]*Upstream, 0, len(records)), names: make([]string, 0, 2*len(records)), pace: newPace()}
	if former != nil {
		t.pace = former.pace
	}
	for _, r := range records {
		t.upstreams = append(t.upstreams, newUpstream(own, r, former.find(r), t.pace, now))
	}
	slices.SortStableFunc(t.upstreams, func(a, b *Upstream) int { return int(a.Distance) - int(b.Distance) })
	for i, u := range t.upstreams {
		for ring := u.Distance; ring < rings; ring++ {
			t.ends[ring] = i + 1
		}
		t.names = append(t.names, u.Record.NodeID)
	}
	t.names = append(t.names, t.names...)
	return t
}

// find gives what was learned of the upstream, or nil.
func (t *Table) find(r kqmember.Record) *learned {
	if t == nil {
		return nil
	}
	for _, u := range t.upstreams {
		if u.Record.NodeID == r.NodeID && u.Record.Incarnation == r.Incarnation {
			return u.learned
		}
	}
	return nil
}

// Upstreams lists the upstreams, nearest first. The caller must not change
// the slice.
func (t *Table) Upstreams() []*Upstream {
	return t.upstreams
}

// Others lists the names of all upstreams but u. The caller must not change
// the slice.
func (t *Table) Others(u *Upstream) []string {
	i := slices.Index(t.upstreams, u)
	if i < 0 {
		return t.names[:len(t.upstreams)]
	}
	return t.names[i+1 : i+len(t.upstreams)]
}

// Pick chooses an upstream, or gives nil when none is left for this call. A
// slow or warming upstream is spared only while another one can take the call.
func (t *Table) Pick(a PickInfo) *Upstream {
	if t.someSpared(a.Now) {
		b := a
		b.spare = true
		if u := t.pick(b); u != nil && u.share(a.Now) < fullShare {
			return u
		}
	}
	if u := t.pick(a); u != nil {
		return u
	}
	a.cold = true
	return t.pick(a)
}

func (t *Table) pick(a PickInfo) *Upstream {
	ignoreFaults := t.tooManyAside(a.Now)
	domain := t.pickFrom(SameDomain, &a, ignoreFaults)
	if domain != nil && domain.share(a.Now) < busyShare {
		return domain
	}
	near := roomier(domain, t.pickFrom(SameRegion, &a, ignoreFaults), a.Now)
	if near != nil && (!a.AllowOtherRegion || near.share(a.Now) < fullShare) {
		return near
	}
	far := t.pickFrom(OtherRegion, &a, ignoreFaults)
	if near == nil {
		return far
	}
	if far != nil && far.share(a.Now) < fullShare {
		return far
	}
	return near
}

// someSpared is whether any upstream is spared at the moment.
func (t *Table) someSpared(now time.Time) bool {
	return slices.ContainsFunc(t.upstreams, func(u *Upstream) bool { return u.spared(now) })
}

// roomier gives the one with the smaller share of its limit in use; near
// stands when they are alike.
func roomier(near, further *Upstream, now time.Time) *Upstream {
	if near == nil || (further != nil && further.share(now) < near.share(now)) {
		return further
	}
	return near
}

// lighter gives the one that is not hot, or else the one with fewer calls of
// this entry; a stands when they are alike. Reports only ever send calls away
// from an upstream that stands out, and never draw any to one, so that one
// that reports too little gains nothing.
func lighter(a, b *Upstream, usual float64, now time.Time) *Upstream {
	if b.weight(usual, now) < a.weight(usual, now) {
		return b
	}
	return a
}

// usualShare is the median of the reported shares, of at most maxCompared
// upstreams. A few wrong reports do not move it far.
func usualShare(upstreams []*Upstream, a *PickInfo) float64 {
	var shares [maxCompared]float64
	n := min(len(upstreams), maxCompared)
	start := int(a.Random>>16&0xffff) % len(upstreams)
	for i := range n {
		share := upstreams[(start+i)%len(upstreams)].reportedShare(a.Now)
		j := i
		for ; j > 0 && shares[j-1] > share; j-- {
			shares[j] = shares[j-1]
		}
		shares[j] = share
	}
	return shares[n/2]
}

// tooManyAside is whether so many are set aside that the fault must lie
// elsewhere, and leaving them out would crush the rest.
func (t *Table) tooManyAside(now time.Time) bool {
	aside := 0
	for _, u := range t.upstreams {
		if u.aside(now) {
			aside++
		}
	}
	return aside > len(t.upstreams)/2
}

// pickFrom takes the less loaded of two open upstreams of a ring.
func (t *Table) pickFrom(ring Distance, a *PickInfo, ignoreFaults bool) *Upstream {
	start := 0
	if ring > 0 {
		start = t.ends[ring-1]
	}
	candidates := t.upstreams[start:t.ends[ring]]
	count := 0
	for _, u := range candidates {
		if u.open(a, ignoreFaults) {
			count++
		}
	}
	if count == 0 {
		return nil
	}
	i := int(a.Random>>32) % count
	first := nthOpen(candidates, i, a, ignoreFaults)
	if count == 1 {
		return first
	}
	j := (i + 1 + int(a.Random&0xffffffff)%(count-1)) % count
	second := nthOpen(candidates, j, a, ignoreFaults)
	return lighter(first, second, usualShare(candidates, a), a.Now)
}

func nthOpen(candidates []*Upstream, n int, a *PickInfo, ignoreFaults bool) *Upstream {
	for _, u := range candidates {
		if !u.open(a, ignoreFaults) {
			continue
		}
		if n == 0 {
			return u
		}
		n--
	}
	return nil
}

// Tried holds the upstreams that one call was sent to. Its zero value is
// empty.
type Tried struct {
	upstreams [maxTried]*Upstream
	count     int
}

// maxTried bounds the upstreams that one call remembers; a request has fewer
// retries than that.
const maxTried = 8

// Add remembers an upstream.
func (t *Tried) Add(u *Upstream) {
	if t.count < maxTried {
		t.upstreams[t.count] = u
		t.count++
	}
}

// Has is whether the upstream was added, under whatever table.
func (t *Tried) Has(u *Upstream) bool {
	for _, held := range t.upstreams[:t.count] {
		if held.learned == u.learned {
			return true
		}
	}
	return false
}
