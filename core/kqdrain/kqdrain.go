// Package kqdrain decides which requests a node that was told to end still takes
// from its callers. It answers the load of a planned stop: callers go on sending
// until they notice, and a request that is still running when the node ends is cut
// off, whether it may be repeated or not.
//
// # Usage
//
//	recent := kqdrain.New()
//	recent.Record(now, route, took) // for each answer
//	if !recent.Fits(now, route, timeLeft, remaining) { refuse the request as not run }
//
// A request fits if it is over before the node ends: at its own deadline, or after
// the time that requests of its route have taken lately. Times are durations on the
// clock of the caller. A Recent is safe for concurrent use.
package kqdrain

import (
	"sync"
	"time"
)

// Settings of the estimate of how long a request takes.
const (
	// period is how long answers are looked at together: the estimate is the
	// slowest of the current and the former period.
	period = 10 * time.Second
	// headroom is how much longer than the slowest recent one a request may take,
	// and minHeadroom the least such time, for routes whose requests take little.
	headroom    = 1.5
	minHeadroom = 250 * time.Millisecond
	// maxRoutes bounds the routes that are looked at.
	maxRoutes = 4096
)

// slowest holds the longest times of a route's requests in two periods.
type slowest struct {
	current, former time.Duration
	// since is when the current period began.
	since time.Duration
}

// advance begins a new period if the current one is over.
func (s *slowest) advance(now time.Duration) {
	switch {
	case now-s.since < period:
		return
	case now-s.since < 2*period:
		s.former, s.current, s.since = s.current, 0, s.since+period
	default:
		s.former, s.current, s.since = 0, 0, now
	}
}

// Recent holds how long the requests of each route have taken lately.
type Recent struct {
	mutex  sync.Mutex
	routes map[string]*slowest
}

// New returns a Recent that knows no route.
func New() *Recent {
	return &Recent{routes: map[string]*slowest{}}
}

// Record records how long a request of the route took.
func (r *Recent) Record(now time.Duration, route string, took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.routes[route]
	if s == nil {
		if len(r.routes) >= maxRoutes {
			clear(r.routes)
		}
		s = &slowest{since: now}
		r.routes[route] = s
	}
	s.advance(now)
	s.current = max(s.current, took)
}

// Fits reports whether a request that may take timeLeft is over within remaining.
// Without recent requests of its route, it is taken to need all of its time.
func (r *Recent) Fits(now time.Duration, route string, timeLeft, remaining time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.routes[route].fits(now, timeLeft, remaining)
}

// WouldFit reports what Fits would, and changes nothing.
func (r *Recent) WouldFit(now time.Duration, route string, timeLeft, remaining time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.routes[route]
	if s != nil {
		trial := *s
		s = &trial
	}
	return s.fits(now, timeLeft, remaining)
}

func (s *slowest) fits(now, timeLeft, remaining time.Duration) bool {
	if s != nil {
		s.advance(now)
		if longest := max(s.current, s.former); longest > 0 {
			timeLeft = min(timeLeft, max(time.Duration(headroom*float64(longest)), longest+minHeadroom))
		}
	}
	return timeLeft <= remaining
}
