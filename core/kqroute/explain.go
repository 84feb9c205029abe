package kqroute

import (
	"slices"
	"time"

	"kumquatlink/core/kqmember"
)

// Reason is why a call is not sent to an upstream.
type Reason string

// The reasons. Those from FartherAway on are given to upstreams that are eligible, but
// were taken in none of the trial picks of Explain.
const (
	// Eligible means that there is no reason.
	Eligible Reason = ""
	// Leaving means that the upstream has said in an answer that it drains.
	Leaving Reason = "Leaving"
	// AlreadyTried means that the call was sent to it before.
	AlreadyTried Reason = "AlreadyTried"
	// Warming means that it takes only a part of the calls as yet.
	Warming Reason = "Warming"
	// NoBandwidth means that the traffic to its region is at its limit.
	NoBandwidth Reason = "NoBandwidth"
	// Unusable means that PickInfo.Usable excludes it.
	Unusable Reason = "Unusable"
	// Failing means that many of its recent calls ended with a fault.
	Failing Reason = "Failing"
	// Slow means that its recent calls took much longer than usual there.
	Slow Reason = "Slow"
	// Avoided means that PickInfo.Avoid excludes it while others have capacity.
	Avoided Reason = "Avoided"
	// Ejected means that several of its calls failed in succession.
	Ejected Reason = "Ejected"
	// FartherAway means that nearer ones were taken.
	FartherAway Reason = "FartherAway"
	// MoreLoaded means that less loaded ones were taken.
	MoreLoaded Reason = "MoreLoaded"
)

// Trials of Explain.
const (
	// trialPicks is the number of trial picks of a small table. That of a large one is
	// such that the picks look at about maxLooks upstreams, but at least minTrials.
	trialPicks = 256
	minTrials  = 16
	maxLooks   = 1 << 16
	// trialStep spreads the random bits of successive trials.
	trialStep = 0x9e3779b97f4a7c15
)

// Figures are what one entry knows of an upstream and decides by. Ages are negative
// where there is no figure.
type Figures struct {
	// InFlight is the number of this entry's calls that are at the upstream.
	InFlight int
	// OthersLoad is how many calls of other entries the upstream's gate has stated
	// last, LoadAge ago. Limit is how many it runs at once, or 0 if it does not say.
	OthersLoad int
	Limit      int
	LoadAge    time.Duration
	// Utilization is the load divided by the limit, as routing weighs it now.
	Utilization float64
	// Pace is how many times as long as usual at the service calls take, and PaceAge
	// the time since the last call that counted for it.
	Pace    float64
	PaceAge time.Duration
	// Stretch is how long the backend server states that work takes, in percent of the
	// usual.
	Stretch    int
	StretchAge time.Duration
	// FailureShare is the recent share of calls that ended with a fault.
	FailureShare float64
	// RefusedRecently reports whether the upstream has just refused a call as full.
	RefusedRecently bool
	Hot             bool
	Slow            bool
	Warming         bool
	Ejected         bool
	// EjectedFor is how long the upstream is still ejected. When it is 0 and Ejected is
	// set, the next call that may run more than once probes it.
	EjectedFor time.Duration
}

// Consideration is what a pick finds in one upstream.
type Consideration struct {
	Upstream *Upstream
	// Picked is the share of trial picks that take the upstream.
	Picked float64
	// Reason is why none does, or Eligible.
	Reason  Reason
	Figures Figures
}

// Explain returns what [Table.Pick] finds in each upstream, those that it takes most
// often first. It makes trial picks, with random bits that it derives from those of
// info, and changes nothing, as Pick itself changes nothing but the time up to which a
// [BandwidthLimiter] is filled.
func (t *Table) Explain(info PickInfo) []Consideration {
	counts := map[*Upstream]int{}
	trials := max(minTrials, min(trialPicks, maxLooks/max(len(t.upstreams), 1)))
	farthest := Distance(-1)
	for i := range trials {
		trial := info
		trial.Random = mixBits(info.Random + uint64(i)*trialStep)
		if u := t.Pick(trial); u != nil {
			counts[u]++
			farthest = max(farthest, u.Distance)
		}
	}
	list := make([]Consideration, 0, len(t.upstreams))
	for _, u := range t.upstreams {
		c := Consideration{Upstream: u, Picked: float64(counts[u]) / float64(trials), Figures: t.figuresOf(u, info)}
		if counts[u] == 0 {
			c.Reason = t.reasonOf(u, info, farthest)
		}
		list = append(list, c)
	}
	slices.SortStableFunc(list, func(a, b Consideration) int {
		if counts[a.Upstream] != counts[b.Upstream] {
			return counts[b.Upstream] - counts[a.Upstream]
		}
		return a.place() - b.place()
	})
	return list
}

// MayBePicked reports whether the next pick may take the upstream.
func (c Consideration) MayBePicked() bool {
	return c.place() == 0
}

// place orders those that no trial took: the ones that another pick may take first.
func (c Consideration) place() int {
	switch c.Reason {
	case Eligible, FartherAway, MoreLoaded, Warming, Slow, Failing, Avoided:
		return 0
	}
	return 1
}

// reasonOf returns why no trial took the upstream. It asks the same function as the
// picks, first for what excludes an upstream in each of them.
func (t *Table) reasonOf(u *Upstream, info PickInfo, farthest Distance) Reason {
	ignoreEjection := t.tooManyEjected(info.Now)
	info.ignoreWarmup = true
	if r := u.passOver(&info, ignoreEjection); r != Eligible {
		return r
	}
	if info.Even && t.AnyFailing(info.Now) {
		info.maxFailures = failingShare
	}
	info.strict = info.Avoid != nil || t.anyAvoided(info.Now)
	if r := u.passOver(&info, ignoreEjection); r != Eligible {
		return r
	}
	switch {
	case u.Record.Life == kqmember.LifeWarming:
		return Warming
	case u.Distance > farthest:
		return FartherAway
	}
	return MoreLoaded
}

func (t *Table) figuresOf(u *Upstream, info PickInfo) Figures {
	now := info.Now
	f := Figures{
		InFlight: u.Outstanding(), OthersLoad: int(u.othersLoad.Load()), Limit: int(u.limit.Load()), LoadAge: ageOf(now, u.reportedAt.Load()),
		Utilization: u.utilization(now), Pace: u.Pace(), PaceAge: ageOf(now, u.slowAt.Load()),
		Stretch: int(u.stretch.Load()), StretchAge: ageOf(now, u.stretchedAt.Load()), FailureShare: u.failures.value(now.UnixNano()),
		RefusedRecently: u.hasRefusedRecently(now), Slow: u.isSlow(), Warming: u.Record.Life == kqmember.LifeWarming, Ejected: u.isEjected(now),
	}
	start := 0
	if u.Distance > 0 {
		start = t.ends[u.Distance-1]
	}
	f.Hot = u.isHot(medianUtilization(t.upstreams[start:t.ends[u.Distance]], &info), now)
	if f.Ejected {
		f.EjectedFor = time.Duration(max(0, u.ejectedUntil.Load()-now.UnixNano()))
	}
	return f
}

// ageOf returns the time since at, which is in nanoseconds of the Unix clock, or a
// negative one if it is 0.
func ageOf(now time.Time, at int64) time.Duration {
	if at == 0 {
		return -1
	}
	return time.Duration(max(0, now.UnixNano()-at))
}

// mixBits returns 64 bits that look random (the finalizer of SplitMix64).
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
