package kqroute

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Settings of the detection of slow upstreams.
const (
	// baselineTimeConstant is the time constant of the moving average of a
	// class, and slowTimeConstant the one used while the upstream is slow. The
	// latter is longer than servers are slow for a passing cause, so that such
	// times do not become the baseline.
	baselineTimeConstant = time.Minute
	slowTimeConstant     = 10 * time.Minute
	// baselineCalls is the number of calls that establish a baseline.
	baselineCalls = 20
	// maxClasses bounds the classes whose baselines are kept for an upstream.
	// There are as many classes as routes, and routes come and go.
	maxClasses = 128
	// slownessWeight is the weight of one call in an upstream's slowness: about
	// the last five calls count.
	slownessWeight = 0.2
	// slowFactor is how many times the baseline the calls of a slow upstream
	// take. If the longest of five calls takes ten times as long as the
	// shortest, their mean seldom reaches this factor by chance.
	slowFactor = 2.5
	// slowProbePause is how long a slow upstream is avoided after its last
	// call, and then the pause between the probes sent to it.
	slowProbePause = time.Second
)

// latencyBaseline holds how long the calls of each class usually take, at one
// upstream or at all upstreams of a service. Servers of one service differ
// permanently, by their machines and by what is near them, so an upstream is
// compared with its own baseline. The baseline of the service is only the start
// for an upstream that has had no calls yet.
type latencyBaseline struct {
	mutex   sync.Mutex
	classes map[string]classBaseline
}

func newLatencyBaseline() *latencyBaseline {
	return &latencyBaseline{classes: map[string]classBaseline{}}
}

// get returns the baseline of a class, if there is one.
func (l *latencyBaseline) get(class string) (classBaseline, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b, found := l.classes[class]
	return b, found
}

// record adds a call to the baseline of its class, and returns the mean with it;
// start is the baseline of a class that had no call yet.
func (l *latencyBaseline) record(result CallResult, logSeconds float64, start classBaseline, slow bool) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b, found := l.classes[result.Class]
	if !found {
		l.evictOldest()
		b = start
	}
	b = b.update(result.Now, logSeconds, slow)
	l.classes[result.Class] = b
	return b.logMean
}

// evictOldest drops the class whose last call is the longest ago, if the map is
// full.
func (l *latencyBaseline) evictOldest() {
	if len(l.classes) < maxClasses {
		return
	}
	oldest := ""
	for class, b := range l.classes {
		if o, found := l.classes[oldest]; !found || b.updatedAt.Before(o.updatedAt) {
			oldest = class
		}
	}
	delete(l.classes, oldest)
}

// classBaseline is the moving average of the logarithms of call times in
// seconds, the number of calls in it (at most baselineCalls), and the time of
// the last update.
type classBaseline struct {
	logMean   float64
	calls     float64
	updatedAt time.Time
}

// update returns the baseline with one more call. The first baselineCalls calls
// have equal weights; the weight of a later call grows with the time since the
// call before it.
//
// While the upstream is slow the average moves more slowly. A baseline that
// started as a copy of the service's counts as established, so the calls of a
// server that is slow because it has just started do not become its baseline.
func (b classBaseline) update(now time.Time, logSeconds float64, slow bool) classBaseline {
	timeConstant, weight := baselineTimeConstant, 0.0
	if b.calls < baselineCalls {
		weight = 1 / (b.calls + 1)
	}
	if slow {
		timeConstant = slowTimeConstant
	}
	weight = max(weight, 1-math.Exp(-max(now.Sub(b.updatedAt), 0).Seconds()/timeConstant.Seconds()))
	return classBaseline{logMean: b.logMean + weight*(logSeconds-b.logMean), calls: min(b.calls+1, baselineCalls), updatedAt: now}
}

// recordLatency updates the slowness and the baselines by how long a call took.
// A call without a good answer may have ended early: it never changes a
// baseline, and affects the slowness only if it took longer than usual.
func (u *Upstream) recordLatency(result CallResult) {
	logSeconds := math.Log(max(result.Run, time.Millisecond).Seconds())
	own, found := u.baseline.get(result.Class)
	if !found {
		if own, found = u.serviceBaseline.get(result.Class); found {
			own = classBaseline{logMean: own.logMean, calls: baselineCalls, updatedAt: result.Now}
		}
	}
	if result.Verdict == Good {
		u.baseline.record(result, logSeconds, own, u.isSlow())
		usual := u.serviceBaseline.record(result, logSeconds, classBaseline{}, false)
		u.recordPace(logSeconds - usual)
	}
	if !found || result.Verdict != Good && logSeconds < own.logMean {
		return
	}
	u.slowness.add(logSeconds-own.logMean, slownessWeight)
	u.slowAt.Store(result.Now.UnixNano())
}

// ewma is an exponentially weighted moving average.
type ewma struct {
	bits atomic.Uint64
}

func (e *ewma) value() float64 {
	return math.Float64frombits(e.bits.Load())
}

// add adds a value with the given weight. Of two values added at the same time,
// one may be lost.
func (e *ewma) add(x, weight float64) {
	current := e.value()
	e.bits.Store(math.Float64bits(current + weight*(x-current)))
}

// isSlow reports whether recent calls to the upstream took much longer than its
// baseline.
func (u *Upstream) isSlow() bool {
	return u.slowness.value() >= math.Log(slowFactor)
}

// isAvoided reports whether the upstream is slow and gets no probe now. When it
// has had no call for slowProbePause, one probe at a time is let through.
func (u *Upstream) isAvoided(now time.Time) bool {
	at := now.UnixNano()
	return u.isSlow() && (at-u.slowAt.Load() < int64(slowProbePause) || at-u.slowProbeAt.Load() < int64(slowProbePause))
}
