package kqroute

import (
	"math"
	"strconv"
	"sync/atomic"
	"time"
)

// Settings of even routing.
const (
	// maxCandidates bounds the upstreams of a distance among which two are drawn.
	maxCandidates = 32
	// maxLimitRatio bounds the limit that an upstream reports, as a multiple of
	// the mean, and so the share of calls that it draws.
	maxLimitRatio = 2
	// minPace and maxPace bound how many times as long as usual at the service an
	// upstream takes, and paceWeight is the weight of one call in it.
	minPace    = 0.5
	maxPace    = 2.0
	paceWeight = 0.05
	// failureCalls is the number of calls over which the share of faults is
	// averaged, and assumedGood how many good ones an upstream starts with.
	failureCalls = 32
	assumedGood  = 16
	// failingShare is the share of faults from which on an upstream is failing.
	// Three faults among failureCalls are seldom due to chance.
	failingShare = 0.09
	// mostlyFailing is the share of faults from which on a call is better refused
	// by a full upstream than sent: the calls of a request whose other calls fail
	// are wasted, and gates refuse all calls of the same requests.
	mostlyFailing = 0.5
	// failureTTL is how long the share of faults counts after the last call; it
	// falls linearly to zero, so that an upstream that is avoided gets calls again.
	failureTTL = 8 * time.Second
	// queuedUtilization is the utilization up to which an upstream is preferred to
	// a failing one: a gate queues as many calls as it runs at once.
	queuedUtilization = 2.0
	// stretchTTL is how long a stretch that a backend server states counts,
	// stretchFactor how far above the usual one must be to count, and maxStretch
	// how far it counts. usualStretch is that of a host as it usually is.
	stretchTTL    = 500 * time.Millisecond
	usualStretch  = 100.0
	stretchFactor = 1.5
	maxStretch    = 3.0
	// firstMixer and secondMixer derive bits from PickInfo.Random, as randomMixer
	// does.
	firstMixer  = 0xd1342543de82ef95
	secondMixer = 0xaf251af3b0f025b5
)

// failureShare is a moving average of the share of calls that ended with a fault.
// Of two calls recorded at the same time, one may be lost.
type failureShare struct {
	share atomic.Uint64
	calls atomic.Int64
	at    atomic.Int64
}

func (f *failureShare) record(now int64, faulty bool) {
	current := f.value(now)
	if !faulty && current == 0 && f.calls.Load() >= failureCalls {
		return
	}
	outcome := 0.0
	if faulty {
		outcome = 1
	}
	weight := 1 / float64(min(f.calls.Add(1)+assumedGood, failureCalls))
	f.share.Store(math.Float64bits(current + weight*(outcome-current)))
	f.at.Store(now)
}

// value returns the share, weighted by the time since the last call.
func (f *failureShare) value(now int64) float64 {
	share := math.Float64frombits(f.share.Load())
	if share == 0 {
		return 0
	}
	return share * max(0, 1-float64(max(0, now-f.at.Load()))/float64(failureTTL))
}

// Pace returns how many times as long as usual at the service calls take at the
// upstream. Only run times that gates measured count, of calls without onward
// calls.
func (u *Upstream) Pace() float64 {
	if pace := math.Float64frombits(u.paceFactor.Load()); pace > 0 {
		return pace
	}
	return 1
}

// recordPace records by how much the logarithm of a call's time exceeds that of
// the service's usual time.
func (u *Upstream) recordPace(excess float64) {
	u.pace.add(excess, paceWeight)
	u.paceFactor.Store(math.Float64bits(min(max(math.Exp(u.pace.value()), minPace), maxPace)))
}

// Sight is what one entry knows of an upstream.
type Sight struct {
	// Utilization is the load divided by the limit, with the entry's own calls.
	Utilization float64
	// Age is how old the latest load report is, or negative if there is none.
	Age time.Duration
	// Pace is how many times as long as usual at the service calls take.
	Pace float64
	// FailureShare is the recent share of calls that ended with a fault.
	FailureShare float64
}

// Sight returns what this entry knows of the upstream.
func (u *Upstream) Sight(now time.Time) Sight {
	s := Sight{Utilization: u.utilization(now), Age: -1, Pace: u.Pace(), FailureShare: u.failures.value(now.UnixNano())}
	if at := u.reportedAt.Load(); at != 0 {
		s.Age = time.Duration(max(0, now.UnixNano()-at))
	}
	return s
}

// String returns the figures of the sight for the log.
func (s Sight) String() string {
	b := make([]byte, 0, 64)
	b = strconv.AppendFloat(append(b, "use "...), s.Utilization, 'f', 2, 64)
	b = strconv.AppendFloat(append(b, ", pace "...), s.Pace, 'f', 2, 64)
	b = strconv.AppendFloat(append(b, ", faults "...), s.FailureShare, 'f', 2, 64)
	if s.Age < 0 {
		return string(append(b, ", no report"...))
	}
	b = strconv.AppendInt(append(b, ", report "...), s.Age.Milliseconds(), 10)
	return string(append(b, " ms old"...))
}

// Spread returns the least, mean and largest utilization of the upstreams, as far as
// this entry knows, or zeros if there is none.
func (t *Table) Spread(now time.Time) (least, mean, most float64) {
	for i, u := range t.upstreams {
		utilization := u.utilization(now)
		if i == 0 || utilization < least {
			least = utilization
		}
		most = max(most, utilization)
		mean += utilization / float64(len(t.upstreams))
	}
	return least, mean, most
}

// RecordStretch records how long work takes at the upstream's backend server at
// the moment, in percent of the usual, as the server states it.
func (u *Upstream) RecordStretch(now time.Time, percent int) {
	u.stretch.Store(int64(percent))
	u.stretchedAt.Store(now.UnixNano())
}

// currentStretch returns the stretch that the backend server has stated, or 0 if
// none counts.
func (u *Upstream) currentStretch(now time.Time) float64 {
	if now.UnixNano()-u.stretchedAt.Load() >= int64(stretchTTL) {
		return 0
	}
	return float64(u.stretch.Load())
}

// isFailing reports whether a share of the recent calls to the upstream ended with
// a fault that chance does not explain.
func (u *Upstream) isFailing(now time.Time) bool {
	return u.failures.value(now.UnixNano()) >= failingShare
}

// AnyFailing reports whether many recent calls to any of the upstreams ended with a
// fault.
func (t *Table) AnyFailing(now time.Time) bool {
	for _, u := range t.upstreams {
		if u.isFailing(now) {
			return true
		}
	}
	return false
}

// pickSound picks among the upstreams that are not failing. When those are so full
// that they will refuse calls, it also picks failing ones that answer most calls. If
// it returns nil, refused reports whether the call has been at a gate of an upstream
// that answers most calls, so that it is not worth sending to the others. A warming
// upstream gets more than its share before one that fails most calls gets any.
func (t *Table) pickSound(info PickInfo) (u *Upstream, refused bool) {
	info.maxFailures = failingShare
	info.strict = info.Avoid != nil || t.anyAvoided(info.Now)
	sound := t.pick(info)
	if sound != nil && sound.utilization(info.Now) < queuedUtilization {
		return sound, false
	}
	info.maxFailures, info.strict = mostlyFailing, false
	if u := t.pick(info); u != nil {
		return u, false
	}
	if sound != nil {
		return sound, false
	}
	info.ignoreWarmup = true
	if u := t.pick(info); u != nil {
		return u, false
	}
	for _, tried := range info.Tried.upstreams[:info.Tried.count] {
		if tried.failures.value(info.Now.UnixNano()) < mostlyFailing {
			return nil, true
		}
	}
	return nil, false
}

// Again returns the table's entry of an upstream that a call was sent to, if the call
// may be sent there once more, or nil.
func (t *Table) Again(u *Upstream, info PickInfo) *Upstream {
	info.Tried, info.ignoreWarmup = Tried{}, true
	for _, current := range t.upstreams {
		if current.upstreamState == u.upstreamState && current.isEligible(&info, t.tooManyEjected(info.Now)) {
			return current
		}
	}
	return nil
}

// candidates holds the upstreams among which two are drawn, and their weights.
type candidates struct {
	upstreams [maxCandidates]*Upstream
	weights   [maxCandidates]float64
	count     int
	total     float64
}

// pickEvenFrom compares two random eligible upstreams, drawn in proportion to their
// capacity, and returns the less loaded one, or nil if none is eligible.
func pickEvenFrom(upstreams []*Upstream, info *PickInfo, ignoreEjection bool) *Upstream {
	var c candidates
	start := 0
	if len(upstreams) > maxCandidates {
		start = int(info.Random>>16&0xffff) % len(upstreams)
	}
	for i := 0; i < len(upstreams) && c.count < maxCandidates; i++ {
		if u := upstreams[(start+i)%len(upstreams)]; u.isEligible(info, ignoreEjection) {
			c.upstreams[c.count] = u
			c.count++
		}
	}
	switch c.count {
	case 0:
		return nil
	case 1:
		return c.upstreams[0]
	}
	c.weigh(info.Now)
	i := c.draw(info.Random * firstMixer)
	first := c.upstreams[i]
	c.total -= c.weights[i]
	c.weights[i] = 0
	second := c.upstreams[c.draw(info.Random*secondMixer)]
	return lessLoaded(first, second, medianUtilization(upstreams, info), info.Now)
}

// weigh sets the weights. A stretch that is far above the mean of the others, and above
// the usual, lowers the weight; none raises it, nor lowers that of the others.
func (c *candidates) weigh(now time.Time) {
	limits, stated, stretches, stretched := 0.0, 0, 0.0, 0
	for _, u := range c.upstreams[:c.count] {
		if limit := u.limit.Load(); limit > 0 {
			limits += float64(limit)
			stated++
		}
		if stretch := u.currentStretch(now); stretch > 0 {
			stretches += stretch
			stretched++
		}
	}
	usualLimit := max(limits, 1) / float64(max(stated, 1))
	for i, u := range c.upstreams[:c.count] {
		limit := float64(u.limit.Load())
		if limit <= 0 {
			limit = usualLimit
		} else if stated > 1 {
			// The mean of the others, so that one huge limit does not raise it.
			limit = min(limit, maxLimitRatio*(limits-limit)/float64(stated-1))
		}
		c.weights[i] = limit / u.Pace()
		if stretch := u.currentStretch(now); stretched > 1 && stretch > 0 {
			// A low stretch must not draw calls by lowering the shares of the others.
			usual := max((stretches-stretch)/float64(stretched-1), usualStretch)
			if ratio := stretch / usual; ratio > stretchFactor {
				c.weights[i] /= min(ratio, maxStretch)
			}
		}
		c.total += c.weights[i]
	}
}

// draw returns the index of an upstream, drawn in proportion to the weights by 32 of
// the bits.
func (c *candidates) draw(bits uint64) int {
	left := float64(bits>>32) / (1 << 32) * c.total
	last := 0
	for i, weight := range c.weights[:c.count] {
		if weight == 0 {
			continue
		}
		last = i
		if left -= weight; left < 0 {
			break
		}
	}
	return last
}
