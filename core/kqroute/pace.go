package kqroute

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Settings of which upstreams are spared.
const (
	// paceMemory is over how long the usual time of a class is taken; it is
	// several times longer than servers are slow for a passing cause.
	paceMemory = time.Minute
	// slowShare is the weight of one call in an upstream's slowness: about the
	// last five calls count.
	slowShare = 0.2
	// slowFactor is how many times the usual time the calls of a slow upstream
	// take. Servers of one service differ by up to this much.
	slowFactor = 2.5
	// tryPause is how long an upstream is spared after its last call, and then
	// the pause between the calls that try it out.
	tryPause = time.Second
)

// pace is how long the calls of each class usually take at a service.
type pace struct {
	mutex   sync.Mutex
	classes map[string]usual
}

// usual is the mean of the logarithms of times in seconds, and its last change.
type usual struct {
	mean float64
	at   time.Time
}

func newPace() *pace {
	return &pace{classes: map[string]usual{}}
}

// compare gives the logarithm of a call's time as a multiple of the usual one,
// and then takes the call into what is usual.
func (p *pace) compare(now time.Time, class string, took time.Duration) float64 {
	x := math.Log(max(took, time.Millisecond).Seconds())
	p.mutex.Lock()
	defer p.mutex.Unlock()
	u, found := p.classes[class]
	if !found {
		p.classes[class] = usual{mean: x, at: now}
		return 0
	}
	share := 1 - math.Exp(-max(now.Sub(u.at), 0).Seconds()/paceMemory.Seconds())
	p.classes[class] = usual{mean: u.mean + share*(x-u.mean), at: now}
	return x - u.mean
}

// compare takes in how long a call took. One that ended unfinished counts only
// if it took longer than usual.
func (u *Upstream) compare(a Answer) {
	x := u.pace.compare(a.Now, a.Class, a.Run)
	if a.Verdict == Faulty && x < 0 {
		return
	}
	u.slowness.move(x, slowShare)
	u.slowAt.Store(a.Now.UnixNano())
}

// mean is a moving mean.
type mean struct {
	bits atomic.Uint64
}

func (m *mean) value() float64 {
	return math.Float64frombits(m.bits.Load())
}

// move takes in a value with its weight. Of two values that come at once, one
// may be lost.
func (m *mean) move(x, share float64) {
	held := m.value()
	m.bits.Store(math.Float64bits(held + share*(x-held)))
}

// slow is whether the upstream's calls take much longer than is usual.
func (u *Upstream) slow() bool {
	return u.slowness.value() >= math.Log(slowFactor)
}

// spared is whether the upstream is slow, and not to be tried out now: when it
// has had no call for a while, one is let through at a time.
func (u *Upstream) spared(now time.Time) bool {
	at := now.UnixNano()
	return u.slow() && (at-u.slowAt.Load() < int64(tryPause) || at-u.tryAt.Load() < int64(tryPause))
}
