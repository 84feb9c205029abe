package kqroute

import (
	"sync/atomic"
	"time"

	"kumquatlink/core/kqmember"
)

// Settings of the state that is kept of an upstream.
const (
	// loadReportTTL is how long a load report counts; its weight falls linearly
	// to zero over this time.
	loadReportTTL = time.Second
	// refusalTTL is how long an upstream that refused a call for lack of
	// capacity counts as full, whatever load it reports.
	refusalTTL = 100 * time.Millisecond
	// drainingPause is how long an upstream that announced in an answer that it
	// drains gets no calls; by then the fleet's records say so too.
	drainingPause = 2 * time.Second
	// faultsToEject is the number of consecutive faults after which an upstream
	// is ejected.
	faultsToEject = 3
	// faultTTL is how long a fault counts. minEjection is the time of the first
	// ejection, which doubles with each further fault up to maxEjection.
	faultTTL    = 10 * time.Second
	minEjection = 250 * time.Millisecond
	maxEjection = 8 * time.Second
	// assumedLimit is the limit of an upstream that has not reported one.
	assumedLimit = 16
	// warmingTime is how long it takes until a warming upstream gets its full
	// share of the calls; the share starts at minWarmingShare.
	warmingTime     = 10 * time.Second
	minWarmingShare = 0.05
	// randomMixer is a multiplier that derives bits from PickInfo.Random that
	// are independent of those that choose the candidates.
	randomMixer = 0x9e3779b97f4a7c15
)

// Verdict is what the end of a call says about its upstream.
type Verdict int

// The verdicts.
const (
	// Inconclusive means that the call ended for a reason that has nothing to
	// do with the upstream.
	Inconclusive Verdict = iota
	// Good means that the upstream's backend server answered.
	Good
	// Full means that the upstream refused the call for lack of capacity.
	Full
	// Draining means that the upstream refused the call because it takes no new
	// work.
	Draining
	// Faulty means that the connection or the backend server was lost, or that
	// the call timed out.
	Faulty
)

// Load is the load that an upstream reports, in calls.
type Load struct {
	InFlight int
	Queued   int
	// Limit is how many calls the upstream runs at once, or 0 when it does not
	// say.
	Limit int
}

// CallResult describes how a call ended.
type CallResult struct {
	Now     time.Time
	Verdict Verdict
	// Load is the report that came with the answer, or nil if there was none.
	Load *Load
	// Run is how long the backend server itself took for the call, or 0 when
	// that is not known.
	Run   time.Duration
	Class string
}

// Upstream is an upstream of a service as one entry sees it.
type Upstream struct {
	Record   kqmember.Record
	Distance Distance
	// serviceBaseline is the latency baseline of all upstreams of the service.
	serviceBaseline *latencyBaseline
	*upstreamState
}

// upstreamState is the state of an upstream that successive tables share. Times
// are in nanoseconds of the Unix clock, 0 for never.
type upstreamState struct {
	firstSeen     time.Time
	outstanding   atomic.Int64
	othersLoad    atomic.Int64
	reportedAt    atomic.Int64
	limit         atomic.Int64
	refusedAt     atomic.Int64
	drainingUntil atomic.Int64
	faults        atomic.Int64
	faultAt       atomic.Int64
	ejectedUntil  atomic.Int64
	probeAt       atomic.Int64
	baseline      *latencyBaseline
	// slowness is the logarithm of the ratio of recent call times to the
	// baseline, slowAt the time of its last change, and slowProbeAt the time of
	// the last probe of the slow upstream.
	slowness    ewma
	slowAt      atomic.Int64
	slowProbeAt atomic.Int64
	// pace is the logarithm of the ratio of call times to those of the service,
	// and paceFactor the bits of that ratio.
	pace       ewma
	paceFactor atomic.Uint64
	failures   failureShare
	// stretch is what the backend server has stated last, in percent.
	stretch     atomic.Int64
	stretchedAt atomic.Int64
}

func newUpstream(own, r kqmember.Record, known *upstreamState, serviceBaseline *latencyBaseline, now time.Time) *Upstream {
	u := &Upstream{Record: r, Distance: OtherRegion, serviceBaseline: serviceBaseline, upstreamState: known}
	if known == nil {
		u.upstreamState = &upstreamState{firstSeen: now, baseline: newLatencyBaseline()}
	}
	if r.Region == own.Region {
		u.Distance = SameRegion
		if r.FailureDomain == own.FailureDomain {
			u.Distance = SameDomain
		}
	}
	return u
}

// Begin records that a call is sent to the upstream.
func (u *Upstream) Begin() {
	u.outstanding.Add(1)
}

// End records that a call is over and updates the state of the upstream by its
// result.
func (u *Upstream) End(result CallResult) {
	own := u.outstanding.Add(-1) + 1
	now := result.Now.UnixNano()
	if result.Load != nil {
		u.othersLoad.Store(max(0, int64(result.Load.InFlight)+int64(result.Load.Queued)-own))
		u.limit.Store(int64(max(0, result.Load.Limit)))
		u.reportedAt.Store(now)
	}
	if result.Run > 0 {
		u.recordLatency(result)
	}
	if result.Verdict == Good || result.Verdict == Faulty {
		u.failures.record(now, result.Verdict == Faulty)
	}
	switch result.Verdict {
	case Inconclusive:
	case Good:
		u.faults.Store(0)
		u.ejectedUntil.Store(0)
	case Full:
		u.refusedAt.Store(now)
		u.faults.Store(0)
		u.ejectedUntil.Store(0)
	case Draining:
		u.drainingUntil.Store(now + int64(drainingPause))
	case Faulty:
		u.recordFault(now)
	}
}

// recordFault records a fault. From faultsToEject consecutive faults on it
// ejects the upstream, each time for twice as long.
func (u *Upstream) recordFault(now int64) {
	if now-u.faultAt.Load() > int64(faultTTL) {
		u.faults.Store(0)
	}
	u.faultAt.Store(now)
	n := u.faults.Add(1)
	if n < faultsToEject {
		return
	}
	ejection := min(int64(minEjection)<<min(n-faultsToEject, 16), int64(maxEjection))
	u.ejectedUntil.Store(now + ejection)
}

// Outstanding returns the number of calls of this entry that are at the
// upstream.
func (u *Upstream) Outstanding() int {
	return int(u.outstanding.Load())
}

// utilization returns the load divided by the upstream's limit. This entry's
// own calls always count in full, whatever the upstream reports.
func (u *Upstream) utilization(now time.Time) float64 {
	return u.reportedUtilization(now) + float64(u.outstanding.Load())/u.limitOrAssumed()
}

// reportedUtilization returns the load by other entries divided by the limit.
// After a recent refusal the upstream counts as full, whatever it reports.
func (u *Upstream) reportedUtilization(now time.Time) float64 {
	utilization := u.decayedOthersLoad(now) / u.limitOrAssumed()
	if u.hasRefusedRecently(now) {
		utilization += fullUtilization
	}
	return utilization
}

// hasRefusedRecently reports whether the upstream refused a call for lack of
// capacity within refusalTTL.
func (u *Upstream) hasRefusedRecently(now time.Time) bool {
	at := u.refusedAt.Load()
	return at != 0 && now.UnixNano()-at < int64(refusalTTL)
}

func (u *Upstream) limitOrAssumed() float64 {
	if limit := u.limit.Load(); limit > 0 {
		return float64(limit)
	}
	return assumedLimit
}

// effectiveLoad returns the number of this entry's own outstanding calls, plus
// hotPenalty if the upstream is hot.
func (u *Upstream) effectiveLoad(median float64, now time.Time) int64 {
	load := u.outstanding.Load()
	if u.isHot(median, now) {
		load += hotPenalty
	}
	return load
}

// isHot reports whether the upstream has recently refused a call, or has a
// reported utilization far above the median.
func (u *Upstream) isHot(median float64, now time.Time) bool {
	if u.hasRefusedRecently(now) {
		return true
	}
	utilization := u.reportedUtilization(now)
	return utilization > hotUtilization && utilization > hotFactor*median
}

// decayedOthersLoad returns the load by other entries as last reported,
// weighted by the age of the report.
func (u *Upstream) decayedOthersLoad(now time.Time) float64 {
	age := now.UnixNano() - u.reportedAt.Load()
	if age >= int64(loadReportTTL) {
		return 0
	}
	return float64(u.othersLoad.Load()) * (1 - float64(max(age, 0))/float64(loadReportTTL))
}

// isEjected reports whether the upstream is ejected, or waits for a successful
// probe after that. It ends at the latest faultTTL after the last fault.
func (u *Upstream) isEjected(now time.Time) bool {
	return u.ejectedUntil.Load() != 0 && now.UnixNano()-u.faultAt.Load() < int64(faultTTL)
}

// isEligible reports whether the call may be sent to the upstream.
func (u *Upstream) isEligible(info *PickInfo, ignoreEjection bool) bool {
	return u.passOver(info, ignoreEjection) == Eligible
}

// passOver returns why the call may not be sent to the upstream, or Eligible.
func (u *Upstream) passOver(info *PickInfo, ignoreEjection bool) Reason {
	switch {
	case info.Now.UnixNano() < u.drainingUntil.Load():
		return Leaving
	case info.Tried.Has(u):
		return AlreadyTried
	case !u.passesWarmup(info):
		return Warming
	case u.Distance == OtherRegion && !info.Bandwidth.Available(u.Record.Region, info.Now):
		return NoBandwidth
	case info.Usable != nil && !info.Usable(u):
		return Unusable
	case info.maxFailures > 0 && u.failures.value(info.Now.UnixNano()) >= info.maxFailures:
		return Failing
	case info.strict && u.isAvoided(info.Now):
		return Slow
	case info.strict && info.Avoid != nil && info.Avoid(u):
		return Avoided
	case !ignoreEjection && u.isEjected(info.Now) && !u.probeDue(info):
		return Ejected
	}
	return Eligible
}

// passesWarmup reports whether a warming upstream takes the call. The share of
// calls that it takes grows with time.
func (u *Upstream) passesWarmup(info *PickInfo) bool {
	if info.ignoreWarmup || u.Record.Life != kqmember.LifeWarming {
		return true
	}
	share := max(minWarmingShare, float64(info.Now.Sub(u.firstSeen))/float64(warmingTime))
	return float64(info.Random*randomMixer>>32)/(1<<32) < share
}

// probeDue reports whether the upstream's ejection time is over and no probe is
// in progress.
func (u *Upstream) probeDue(info *PickInfo) bool {
	now := info.Now.UnixNano()
	return info.AllowProbe && now >= u.ejectedUntil.Load() && now-u.probeAt.Load() >= int64(minEjection)
}

// MarkProbe records that a call to an ejected or slow upstream was chosen as
// its probe, so that no other one is sent until the probe has had time to end.
func (u *Upstream) MarkProbe(now time.Time) {
	if u.isSlow() {
		u.slowProbeAt.Store(now.UnixNano())
	}
	if u.isEjected(now) {
		u.probeAt.Store(now.UnixNano())
	}
}
