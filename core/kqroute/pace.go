package kqroute

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Settings of which upstreams are spared.
const (
	// paceMemory is over how long the usual time of a class is taken, and
	// slowMemory the same while the upstream is slow: it is longer than servers
	// are slow for a passing cause, so that these do not become usual.
	paceMemory = time.Minute
	slowMemory = 10 * time.Minute
	// firstCalls is how many calls make a usual time.
	firstCalls = 20
	// maxClasses bounds the classes whose usual time is kept for an upstream.
	// There are as many as routes, and routes come and go.
	maxClasses = 128
	// slowShare is the weight of one call in an upstream's slowness: about the
	// last five calls count.
	slowShare = 0.2
	// slowFactor is how many times the usual time the calls of a slow upstream
	// take. The mean of five calls, the longest of which takes ten times as
	// long as the shortest, seldom gets there by chance.
	slowFactor = 2.5
	// tryPause is how long an upstream is spared after its last call, and then
	// the pause between the calls that try it out.
	tryPause = time.Second
)

// pace is how long the calls of each class usually take, at one upstream or at
// all of a service. Servers of one service differ for good, by their machine
// and by what is near to them, so an upstream is compared with itself; what is
// usual at the service only stands for one that has had no calls yet.
type pace struct {
	mutex   sync.Mutex
	classes map[string]usual
}

func newPace() *pace {
	return &pace{classes: map[string]usual{}}
}

// held gives what is usual for a class, if that is known.
func (p *pace) held(class string) (usual, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	u, found := p.classes[class]
	return u, found
}

// take takes a call into what is usual; start is what stands for a class that
// had no call yet.
func (p *pace) take(a CallResult, x float64, start usual, slow bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	u, found := p.classes[a.Class]
	if !found {
		p.makeRoom()
		u = start
	}
	p.classes[a.Class] = u.move(a.Now, x, slow)
}

// makeRoom drops the class that was called least lately.
func (p *pace) makeRoom() {
	if len(p.classes) < maxClasses {
		return
	}
	oldest := ""
	for class, u := range p.classes {
		if o, found := p.classes[oldest]; !found || u.at.Before(o.at) {
			oldest = class
		}
	}
	delete(p.classes, oldest)
}

// usual is the mean of the logarithms of times in seconds, of how many calls,
// and when it last changed.
type usual struct {
	mean  float64
	calls float64
	at    time.Time
}

// move takes in one more call: each of the first ones as much as those before
// it, and later ones by how long it took until they came.
//
// While the upstream is slow that takes longer, and one whose usual time began
// with the service's has no first calls: a server that has just started, and is
// slow for that, does not become usual by them.
func (u usual) move(now time.Time, x float64, slow bool) usual {
	memory, share := paceMemory, 0.0
	if u.calls < firstCalls {
		share = 1 / (u.calls + 1)
	}
	if slow {
		memory = slowMemory
	}
	share = max(share, 1-math.Exp(-max(now.Sub(u.at), 0).Seconds()/memory.Seconds()))
	return usual{mean: u.mean + share*(x-u.mean), calls: min(u.calls+1, firstCalls), at: now}
}

// compare takes in how long a call took. One that ended otherwise than well may
// have ended early: it makes nothing usual, and counts only if it took longer.
func (u *Upstream) compare(a CallResult) {
	x := math.Log(max(a.Run, time.Millisecond).Seconds())
	own, found := u.pace.held(a.Class)
	if !found {
		if own, found = u.service.held(a.Class); found {
			own = usual{mean: own.mean, calls: firstCalls, at: a.Now}
		}
	}
	if a.Verdict == Good {
		u.pace.take(a, x, own, u.slow())
		u.service.take(a, x, usual{}, false)
	}
	if !found || a.Verdict != Good && x < own.mean {
		return
	}
	u.slowness.move(x-own.mean, slowShare)
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
