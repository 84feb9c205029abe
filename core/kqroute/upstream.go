package kqroute

import (
	"sync/atomic"
	"time"

	"kumquatlink/core/kqmember"
)

// Settings of what is learned of an upstream.
const (
	// loadHorizon is how long a report of load counts; it fades to nothing
	// over this time.
	loadHorizon = time.Second
	// refusalMemory is how long an upstream that refused a call for lack of
	// room counts as full, whatever it reports.
	refusalMemory = 100 * time.Millisecond
	// leavingPause keeps calls from an upstream that said that it is leaving
	// until the fleet's records say so too.
	leavingPause = 2 * time.Second
	// faultsToSetAside is how many calls in a row have to fail.
	faultsToSetAside = 3
	// faultMemory is how long a failed call counts.
	faultMemory = 10 * time.Second
	minAside    = 250 * time.Millisecond
	maxAside    = 8 * time.Second
	// assumedLimit is used for an upstream that has not told its limit.
	assumedLimit = 16
	// warmingTime is how long a warming upstream takes to its full share.
	warmingTime     = 10 * time.Second
	minWarmingShare = 0.05
	// randomMixer makes bits that do not go with those that choose.
	randomMixer = 0x9e3779b97f4a7c15
)

// Verdict is what a call's end says about its upstream.
type Verdict int

// The verdicts.
const (
	// Inconclusive says nothing: the call ended for reasons of its own.
	Inconclusive Verdict = iota
	// Good is an answer of the upstream's backend server.
	Good
	// Full is a refusal for lack of room.
	Full
	// Draining is a refusal because the upstream takes no new work.
	Draining
	// Faulty is a lost link, a lost backend server or a timeout.
	Faulty
)

// Load is what an upstream reports about itself.
type Load struct {
	InFlight int
	Queued   int
	// Limit is how many calls it takes at once, 0 when it does not say.
	Limit int
}

// CallResult is the end of a call.
type CallResult struct {
	Now     time.Time
	Verdict Verdict
	// Load is what came with the answer; nil means that nothing came.
	Load *Load
	// Run is how long the backend server took by itself for a call of the
	// class, or 0 when that is not known.
	Run   time.Duration
	Class string
}

// Upstream is one upstream as one entry sees it.
type Upstream struct {
	Record   kqmember.Record
	Distance Distance
	// service is the pace of all the service's upstreams.
	service *pace
	*learned
}

// learned outlives the tables that refer to it. Times are in nanoseconds of
// the Unix clock, 0 for never.
type learned struct {
	firstSeen   time.Time
	outstanding atomic.Int64
	others      atomic.Int64
	reportedAt  atomic.Int64
	limit       atomic.Int64
	refusedAt   atomic.Int64
	closedUntil atomic.Int64
	faults      atomic.Int64
	faultAt     atomic.Int64
	asideUntil  atomic.Int64
	probeAt     atomic.Int64
	pace        *pace
	// slowness is the logarithm of how many times the usual time calls take,
	// slowAt when it last changed, and tryAt when a slow upstream was last
	// tried out.
	slowness mean
	slowAt   atomic.Int64
	tryAt    atomic.Int64
}

func newUpstream(own, r kqmember.Record, known *learned, service *pace, now time.Time) *Upstream {
	u := &Upstream{Record: r, Distance: OtherRegion, service: service, learned: known}
	if known == nil {
		u.learned = &learned{firstSeen: now, pace: newPace()}
	}
	if r.Region == own.Region {
		u.Distance = SameRegion
		if r.FailureDomain == own.FailureDomain {
			u.Distance = SameDomain
		}
	}
	return u
}

// Begin counts a call as sent.
func (u *Upstream) Begin() {
	u.outstanding.Add(1)
}

// End counts a call as over and takes in what it says about the upstream.
func (u *Upstream) End(a CallResult) {
	own := u.outstanding.Add(-1) + 1
	now := a.Now.UnixNano()
	if a.Load != nil {
		u.others.Store(max(0, int64(a.Load.InFlight)+int64(a.Load.Queued)-own))
		u.limit.Store(int64(max(0, a.Load.Limit)))
		u.reportedAt.Store(now)
	}
	if a.Run > 0 {
		u.compare(a)
	}
	switch a.Verdict {
	case Inconclusive:
	case Good:
		u.faults.Store(0)
		u.asideUntil.Store(0)
	case Full:
		u.refusedAt.Store(now)
		u.faults.Store(0)
		u.asideUntil.Store(0)
	case Draining:
		u.closedUntil.Store(now + int64(leavingPause))
	case Faulty:
		u.fault(now)
	}
}

// fault counts a failed call, and sets the upstream aside for twice as long
// with each that follows.
func (u *Upstream) fault(now int64) {
	if now-u.faultAt.Load() > int64(faultMemory) {
		u.faults.Store(0)
	}
	u.faultAt.Store(now)
	n := u.faults.Add(1)
	if n < faultsToSetAside {
		return
	}
	pause := min(int64(minAside)<<min(n-faultsToSetAside, 16), int64(maxAside))
	u.asideUntil.Store(now + pause)
}

// Outstanding is how many calls of this entry are at the upstream.
func (u *Upstream) Outstanding() int {
	return int(u.outstanding.Load())
}

// share is the load as a share of the upstream's limit. This entry's own calls
// always count whole, whatever the upstream reports.
func (u *Upstream) share(now time.Time) float64 {
	return u.reportedShare(now) + float64(u.outstanding.Load())/u.limitOrAssumed()
}

// reportedShare is the load that others have there, as a share of the limit.
// A refusal counts as a full upstream, whatever it reports.
func (u *Upstream) reportedShare(now time.Time) float64 {
	share := u.fadedOthers(now) / u.limitOrAssumed()
	if u.hasRefused(now) {
		share += fullShare
	}
	return share
}

// hasRefused is whether it refused a call for lack of room a moment ago.
func (u *Upstream) hasRefused(now time.Time) bool {
	at := u.refusedAt.Load()
	return at != 0 && now.UnixNano()-at < int64(refusalMemory)
}

func (u *Upstream) limitOrAssumed() float64 {
	if limit := u.limit.Load(); limit > 0 {
		return float64(limit)
	}
	return assumedLimit
}

// weight is this entry's own calls there, and hotWeight more when it is hot.
func (u *Upstream) weight(usual float64, now time.Time) int64 {
	weight := u.outstanding.Load()
	if u.hot(usual, now) {
		weight += hotWeight
	}
	return weight
}

// hot is whether the upstream has refused a call, or stands out from the usual
// share.
func (u *Upstream) hot(usual float64, now time.Time) bool {
	if u.hasRefused(now) {
		return true
	}
	share := u.reportedShare(now)
	return share > hotShare && share > hotFactor*usual
}

// fadedOthers is the load that others have there, as last reported.
func (u *Upstream) fadedOthers(now time.Time) float64 {
	age := now.UnixNano() - u.reportedAt.Load()
	if age >= int64(loadHorizon) {
		return 0
	}
	return float64(u.others.Load()) * (1 - float64(max(age, 0))/float64(loadHorizon))
}

// aside is whether the upstream is set aside or waits for its probe's answer.
func (u *Upstream) aside(now time.Time) bool {
	return u.asideUntil.Load() != 0 && now.UnixNano()-u.faultAt.Load() < int64(faultMemory)
}

// open is whether the call may go to the upstream.
func (u *Upstream) open(a *PickInfo, ignoreFaults bool) bool {
	if a.Now.UnixNano() < u.closedUntil.Load() || a.Tried.Has(u) || !u.warmEnough(a) {
		return false
	}
	if u.Distance == OtherRegion && !a.Bandwidth.Available(u.Record.Region, a.Now) {
		return false
	}
	if a.Usable != nil && !a.Usable(u) {
		return false
	}
	if a.spare && u.spared(a.Now) {
		return false
	}
	return ignoreFaults || !u.aside(a.Now) || u.probeDue(a)
}

// warmEnough lets a growing share of calls through to a warming upstream.
func (u *Upstream) warmEnough(a *PickInfo) bool {
	if a.cold || u.Record.Life != kqmember.LifeWarming {
		return true
	}
	share := max(minWarmingShare, float64(a.Now.Sub(u.firstSeen))/float64(warmingTime))
	return float64(a.Random*randomMixer>>32)/(1<<32) < share
}

// probeDue is whether the time of being set aside is over and no probe is out.
func (u *Upstream) probeDue(a *PickInfo) bool {
	now := a.Now.UnixNano()
	return a.AllowProbe && now >= u.asideUntil.Load() && now-u.probeAt.Load() >= int64(minAside)
}

// MarkProbe says that a call to an upstream that is set aside or slow has been
// chosen as its probe, so that no other one goes there until it has had time to
// end.
func (u *Upstream) MarkProbe(now time.Time) {
	if u.slow() {
		u.tryAt.Store(now.UnixNano())
	}
	if u.aside(now) {
		u.probeAt.Store(now.UnixNano())
	}
}
