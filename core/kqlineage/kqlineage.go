// Package kqlineage finds out for which running call a backend server makes an
// onward call, on platforms where an onward call carries no reference to its
// parent. It matches calls to parents by their deadlines.
//
// A backend server that runs a call (a run) may make onward calls to other
// services for it. The request that caused all of them is the root. A gate is the
// part of a node that admits calls to the node's own backend server, and an entry
// the part that takes and routes calls.
//
// An onward call expires with its parent, so both have the same deadline, apart
// from the rounding to milliseconds and the delay between the two processes. So
// that a deadline identifies a run, Begin spaces the deadlines of the runs a few
// milliseconds apart.
//
// The calls of a route may instead have a shorter timeout of their own, always
// the same. Begin then sets the deadline of a run that may make such calls just
// before that timeout ends, if such runs usually take much less time.
//
// An onward call that matches no deadline is assigned to the likeliest of the runs
// whose routes make such calls. A call that matches no deadline and whose route is
// not known as one of onward calls is a caller's request and has no parent.
//
// A wrong parent breaks no guarantee: it only changes which calls go first. Times
// are durations on the node's own clock. A Runs is safe for concurrent use.
//
// # Usage
//
// A gate keeps one [Runs] and registers every call that its backend server runs.
// It passes the deadline that Begin returns to the server. An entry looks up each
// call that comes from the host:
//
//	handle, deadline := runs.Begin(now, kqlineage.Run{Root: id, Class: "browse", Rank: 2, Deadline: now + left})
//	defer runs.End(now, handle)
//	...
//	parent, found := runs.AssignParent(now, "stock", timeout)
//	...
//	runs.Answered(later, parent) // the call has been answered
package kqlineage

import (
	"sync"
	"time"
)

const (
	// timeUnit is the unit of the timeouts that runs and calls are given.
	timeUnit = time.Millisecond
	// meanRoundingError is by how much a call's deadline seems to lie before
	// its parent's on average, since its timeout is rounded down.
	meanRoundingError = timeUnit / 2
	// matchTolerance is the largest remaining distance between the deadlines of
	// a parent and its call: half a unit, and 1.5 ms for the delay between the
	// two processes.
	matchTolerance = timeUnit/2 + 1500*time.Microsecond
	// promptCallTime is how soon a run that makes its calls one after the other
	// makes the next one after an answer.
	promptCallTime = 5 * time.Millisecond
	// parallelShare is the share of a route's matched calls above which its
	// parents count as making calls in parallel: calls that come while their
	// parent waits for the answer to another one.
	parallelShare = 0.4
	// minMatches is how many calls of a route must have matched a run's
	// deadline before the route counts as one of onward calls.
	minMatches = 8
	// minMatchShare is the share of a route's calls that must have matched for
	// that.
	minMatchShare = 0.3
	// minCallsToClassify is how many calls of a route are needed to tell that
	// it is not one of onward calls; before that each match counts.
	minCallsToClassify = 16
	// deadlineSpacing is the distance that the deadlines of two runs are kept
	// apart, if that is possible within maxShortening before a run's own
	// deadline.
	deadlineSpacing = 3 * time.Millisecond
	maxShortening   = 15 * time.Millisecond
	// minTimeoutSeen is how often the longest timeout of a route's calls must
	// have been seen to count as their own timeout.
	minTimeoutSeen = 4
	// maxTries is for how many runs of a route the deadline is set before the
	// own timeout of calls of which it is not known whether those runs make
	// them. Calls with their own timeout would otherwise never match their
	// parents' deadlines.
	maxTries = 32
	// minDurationFactor is how many times the usual duration of its route's
	// runs a run must be left with for its deadline to be moved before its
	// calls' own timeout.
	minDurationFactor = 1.5
	// durationWeight is the weight of one run in the moving average of the
	// durations of a route.
	durationWeight = 0.05
	// minParentShare is the share of a route's matched calls that must come
	// from runs of another route for that route to count as making such calls.
	minParentShare = 0.1
	// halveAt is the number of calls of a route at which its counts are halved,
	// so that they follow changes.
	halveAt = 512
)

// Run is a call that the backend server runs.
type Run struct {
	// Root is the ID of the request for which the call is made.
	Root string
	// Class and Rank are those of that request.
	Class string
	Rank  int
	// Order is the position of that request among those of its rank, or 0.
	Order uint32
	// Depth is the number of hops above the call.
	Depth int
	// Route is the route by which the call came.
	Route string
	// Repeat reports whether the call, or one above it, was run before.
	Repeat bool
	// Deadline is when the backend server is to stop, on the node's clock.
	Deadline time.Duration

	number     uint64
	startedAt  time.Duration
	childCalls int
	// pendingCall is the number of the call for whose answer the run waits, or
	// 0, and answeredAt is when it last received one.
	pendingCall uint64
	answeredAt  time.Duration
}

// Runs holds the calls that the backend server of one gate runs.
type Runs struct {
	mutex  sync.Mutex
	next   uint64
	active map[uint64]*Run
	routes map[string]*routeStats
	// meanDurations holds the moving average of the durations of the runs of
	// each route.
	meanDurations map[string]time.Duration
}

// routeStats counts the runs that the calls of a route came from.
type routeStats struct {
	calls   int
	matched int
	// parallel counts the matched calls whose parents waited for the answer to
	// another call.
	parallel int
	// parentRoutes counts the matched calls by the routes of their parents.
	parentRoutes map[string]int
	// longestTimeout is the longest timeout of a call, and longestSeen how
	// often it was seen, counted up to minTimeoutSeen.
	longestTimeout time.Duration
	longestSeen    int
	// tries counts, by route, the runs whose deadline was set before the own
	// timeout of these calls, to see whether the runs make such calls.
	tries map[string]int
}

// New returns a Runs without any run.
func New() *Runs {
	return &Runs{active: map[uint64]*Run{}, routes: map[string]*routeStats{}, meanDurations: map[string]time.Duration{}}
}

// Begin registers a run. It returns the handle for End and the deadline for the
// backend server, which is run.Deadline or earlier.
func (r *Runs) Begin(now time.Duration, run Run) (handle uint64, deadline time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.next++
	run.number, run.startedAt = r.next, now
	if ownTimeout := r.shortestOwnTimeout(run.Route, run.Deadline-now); float64(ownTimeout) > minDurationFactor*float64(r.meanDurations[run.Route]) {
		run.Deadline = min(run.Deadline, now+ownTimeout-deadlineSpacing)
	}
	run.Deadline = now + (r.freeDeadline(run.Deadline) - now).Truncate(timeUnit)
	r.active[r.next] = &run
	return r.next, run.Deadline
}

// freeDeadline returns the latest time, up to the given one, that is not near
// the deadline of another run. If there is none within maxShortening, it
// returns the given one.
func (r *Runs) freeDeadline(latest time.Duration) time.Duration {
	for d := latest; d > latest-maxShortening; d -= deadlineSpacing {
		if !r.hasDeadlineNear(d) {
			return d
		}
	}
	return latest
}

func (r *Runs) hasDeadlineNear(at time.Duration) bool {
	for _, run := range r.active {
		if (run.Deadline - at).Abs() < deadlineSpacing {
			return true
		}
	}
	return false
}

// shortestOwnTimeout returns the shortest own timeout below left of the calls
// that a run of the route makes, or for which that is not known yet, or 0 if
// there is none. It counts the run as a try for the calls with that timeout.
func (r *Runs) shortestOwnTimeout(route string, left time.Duration) time.Duration {
	shortest := time.Duration(0)
	for _, s := range r.routes {
		if s.longestSeen < minTimeoutSeen || s.longestTimeout >= left || !s.isOnwardFor(route) && s.tries[route] >= maxTries {
			continue
		}
		if shortest == 0 || s.longestTimeout < shortest {
			shortest = s.longestTimeout
		}
	}
	for _, s := range r.routes {
		if s.longestTimeout == shortest && s.longestSeen >= minTimeoutSeen {
			s.recordTry(route)
		}
	}
	return shortest
}

// recordTry counts a run of the route whose deadline is set before the own
// timeout of these calls. The matches before the first such run are discarded,
// since calls could not match then.
func (s *routeStats) recordTry(route string) {
	if len(s.tries) == 0 && !s.isOnward() {
		s.calls, s.matched = 0, 0
	}
	s.tries[route]++
}

// isOnwardFor reports whether these calls are known to be onward calls that runs
// of the route make.
func (s *routeStats) isOnwardFor(route string) bool {
	return s.isOnward() && s.isMadeBy(route)
}

// End removes a run and returns how many calls were assigned to it, or 0 if the
// handle is unknown.
func (r *Runs) End(now time.Duration, handle uint64) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	run, found := r.active[handle]
	if !found {
		return 0
	}
	delete(r.active, handle)
	duration := now - run.startedAt
	mean, known := r.meanDurations[run.Route]
	if !known {
		mean = duration
	}
	r.meanDurations[run.Route] = mean + time.Duration(durationWeight*float64(duration-mean))
	return run.childCalls
}

// AssignParent finds the run that made a call by the route with the given
// timeout, and registers the call as a child of it. It reports false if the
// call is not known to be an onward call. The result goes to Answered.
func (r *Runs) AssignParent(now time.Duration, route string, timeout time.Duration) (Run, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s, found := r.routes[route]
	if !found {
		s = &routeStats{parentRoutes: map[string]int{}, tries: map[string]int{}}
		r.routes[route] = s
	}
	s.calls++
	if s.calls >= halveAt {
		s.halve()
	}
	s.recordTimeout(timeout)
	deadline := now + timeout
	parent := r.matchDeadline(deadline)
	if parent != nil {
		s.matched++
		s.parentRoutes[parent.Route]++
		if parent.pendingCall != 0 {
			s.parallel++
		}
	}
	switch {
	case s.isOnward() && parent == nil:
		parent = r.likeliestParent(now, s, deadline)
	case !s.isOnward() && s.calls >= minCallsToClassify:
		// A caller's request whose deadline matches that of a run does so by
		// chance.
		parent = nil
	}
	if parent == nil {
		return Run{}, false
	}
	parent.childCalls++
	r.next++
	parent.pendingCall = r.next
	return *parent, true
}

// Answered records that the call for which AssignParent returned parent has
// been answered.
func (r *Runs) Answered(now time.Duration, parent Run) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// The run may have made another call since, if this one was assigned to the
	// wrong run. The answer then says nothing about it.
	if run, found := r.active[parent.number]; found && run.pendingCall == parent.pendingCall {
		run.pendingCall = 0
		run.answeredAt = now
	}
}

// recordTimeout updates the longest timeout of the route's calls.
func (s *routeStats) recordTimeout(timeout time.Duration) {
	timeout = timeout.Truncate(timeUnit)
	switch {
	case timeout > s.longestTimeout:
		s.longestTimeout, s.longestSeen = timeout, 1
	case timeout == s.longestTimeout && s.longestSeen < minTimeoutSeen:
		s.longestSeen++
	}
}

// isMadeBy reports whether enough of the matched calls came from runs of the
// route.
func (s *routeStats) isMadeBy(route string) bool {
	return float64(s.parentRoutes[route]) > minParentShare*float64(s.matched)
}

// IsOnward reports whether calls by the route are made by the backend server.
func (r *Runs) IsOnward(route string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s, found := r.routes[route]
	return found && s.isOnward()
}

// matchDeadline returns the run whose deadline is nearest to the given one, or
// nil if none is within matchTolerance.
func (r *Runs) matchDeadline(deadline time.Duration) *Run {
	var best *Run
	nearest := matchTolerance + 1
	for _, run := range r.active {
		distance := (run.Deadline - meanRoundingError - deadline).Abs()
		if distance < nearest || distance == nearest && best != nil && run.number < best.number {
			best, nearest = run, distance
		}
	}
	return best
}

// likeliestParent returns the run that is the likeliest to make the call now,
// among those whose routes make such calls and whose deadlines are not before
// that of the call. It returns nil if there is none.
func (r *Runs) likeliestParent(now time.Duration, s *routeStats, deadline time.Duration) *Run {
	var best *Run
	for _, run := range r.active {
		if run.Deadline < deadline || !s.isMadeBy(run.Route) {
			continue
		}
		if best == nil || s.isLikelier(now, run, best) {
			best = run
		}
	}
	return best
}

// isLikelier reports whether a is likelier than b to make the call now.
func (s *routeStats) isLikelier(now time.Duration, a, b *Run) bool {
	if x, y := s.readiness(now, a), s.readiness(now, b); x != y {
		return x > y
	}
	if a.childCalls != b.childCalls && s.callsInParallel() {
		return a.childCalls < b.childCalls
	}
	if x, y := max(a.startedAt, a.answeredAt), max(b.startedAt, b.answeredAt); x != y {
		return x < y
	}
	return a.number < b.number
}

// readiness ranks runs that make their calls one after the other. From the
// highest: those answered within promptCallTime, those that have made no call
// yet, those answered earlier, and those that wait for an answer.
func (s *routeStats) readiness(now time.Duration, run *Run) int {
	switch {
	case s.callsInParallel():
		return 0
	case run.pendingCall != 0:
		return 1
	case run.childCalls == 0:
		return 3
	case now-run.answeredAt <= promptCallTime:
		return 4
	}
	return 2
}

func (s *routeStats) callsInParallel() bool {
	return float64(s.parallel) > parallelShare*float64(s.matched)
}

func (s *routeStats) isOnward() bool {
	return s.matched >= minMatches && float64(s.matched) >= minMatchShare*float64(s.calls)
}

func (s *routeStats) halve() {
	s.calls /= 2
	s.matched /= 2
	s.parallel /= 2
	for route := range s.parentRoutes {
		s.parentRoutes[route] /= 2
		if s.parentRoutes[route] == 0 {
			delete(s.parentRoutes, route)
		}
	}
	for route := range s.tries {
		s.tries[route] /= 2
		if s.tries[route] == 0 {
			delete(s.tries, route)
		}
	}
}
