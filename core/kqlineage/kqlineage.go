// Package kqlineage finds out for which running call a backend server makes an
// onward call, on platforms where onward calls carry nothing of their parent.
//
// # Usage
//
// A gate keeps one [Runs] and notes every call that its backend server runs.
// It tells the server to stop at the moment that Begin gives. An entry looks
// up each call that comes from the host:
//
//	handle, ends := runs.Begin(now, kqlineage.Run{Root: id, Class: "browse", Rank: 2, Ends: now + left})
//	defer runs.End(handle)
//	...
//	parent, found := runs.Parent(now, "stock", given)
//	...
//	runs.Answered(later, parent) // the call has its answer
//
// An onward call expires with its parent, so both end in the same moment, but
// for the rounding to milliseconds and the way between the two processes. For
// that to tell runs apart, Begin ends each of them a few milliseconds apart
// from the others. A call may also have a shorter time of its own, which is
// then the same for all calls of its route; Begin ends the runs that make such
// calls just before that, if they usually are much quicker. What still can't
// be told goes to the likeliest of the runs whose routes make such calls. A
// caller's request, which ends at no run's moment and is not known to be an
// onward call, has no parent.
//
// A wrong parent costs no promise: it only changes which calls go first. Times
// are durations on the node's own clock. A Runs is safe for concurrent use.
package kqlineage

import (
	"sync"
	"time"
)

const (
	// unit is that of the times which runs and calls are given.
	unit = time.Millisecond
	// rounding is by how much a call seems to end before its parent on average,
	// since its time is rounded down.
	rounding = unit / 2
	// tolerance is how far the ends of a parent and its call lie apart at most
	// otherwise: half a unit, and 1.5 ms for the ways between the two processes.
	tolerance = unit/2 + 1500*time.Microsecond
	// atOnce is how soon a run makes its next call after an answer that it
	// waited for.
	atOnce = 5 * time.Millisecond
	// togetherShare is the share of a route's calls that must come while their
	// parent waits for another answer, if its runs make several calls at once.
	togetherShare = 0.4
	// minMatches is how many calls of a route must have been matched by their
	// ends before the route counts as one that a backend server calls.
	minMatches = 8
	// minShare is the share of a route's calls that must have matched.
	minShare = 0.3
	// knownAt is how many calls of a route tell whether it is one that a
	// backend server calls; before that each match counts.
	knownAt = 16
	// apart is how far the ends of two runs are kept apart if there is room
	// within mostEarlier before a run's own end.
	apart       = 3 * time.Millisecond
	mostEarlier = 15 * time.Millisecond
	// ownTimeSeen is how often the longest time of a route's calls must have
	// been seen to count as their own.
	ownTimeSeen = 4
	// maxTries is how many runs of a route are ended before the own time of
	// calls of which it isn't known whether they make them. Calls with such a
	// time never end with their parents otherwise.
	maxTries = 32
	// quickFactor is how many times as long as its route's runs usually take a
	// run must at least be given for its end to be moved before its calls' own.
	quickFactor = 1.5
	// usualWeight is the weight of one run in the usual time of a route.
	usualWeight = 0.05
	// parentShare is the share of a route's calls that a route must have made
	// to count as one that makes them.
	parentShare = 0.1
	// forgetAt halves the counts of a route, so that they follow changes.
	forgetAt = 512
)

// Run is a call that the backend server runs.
type Run struct {
	// Root is the ID of the request for which the call is made.
	Root string
	// Class and Rank are those of that request.
	Class string
	Rank  int
	// Depth is the number of hops above the call.
	Depth int
	// Route is the route by which the call came.
	Route string
	// Repeat is whether the call, or one above it, was run before.
	Repeat bool
	// Deadline is when the backend server was told to stop.
	Deadline time.Duration

	number   uint64
	began    time.Duration
	children int
	// call is the number of the call for whose answer the run waits, or 0, and
	// answered when it last got one.
	call     uint64
	answered time.Duration
}

// Runs are the calls that the backend server of one gate runs.
type Runs struct {
	mutex  sync.Mutex
	next   uint64
	active map[uint64]*Run
	routes map[string]*origins
	// usual is how long the runs of a route usually take.
	usual map[string]time.Duration
}

// origins counts where the calls of a route came from.
type origins struct {
	calls   int
	matched int
	// together counts the matched calls whose parents waited for an answer.
	together int
	// parents counts the routes of the runs for which they were made.
	parents map[string]int
	// longest is the longest time that a call was given, and seen how often.
	longest time.Duration
	seen    int
	// tries counts, by route, the runs that were ended before the own time of
	// these calls, to see whether they make such calls.
	tries map[string]int
}

// New makes an empty set of runs.
func New() *Runs {
	return &Runs{active: map[uint64]*Run{}, routes: map[string]*origins{}, usual: map[string]time.Duration{}}
}

// Begin notes a run and gives the handle that ends it, and the moment at which
// the backend server is to stop: at the run's own end or a little before.
func (r *Runs) Begin(now time.Duration, run Run) (handle uint64, ends time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.next++
	run.number, run.began = r.next, now
	if own := r.ownTimeFor(run.Route, run.Deadline-now); float64(own) > quickFactor*float64(r.usual[run.Route]) {
		run.Deadline = min(run.Deadline, now+own-apart)
	}
	run.Deadline = now + (r.free(run.Deadline) - now).Truncate(unit)
	r.active[r.next] = &run
	return r.next, run.Deadline
}

// free gives the latest moment up to the one wanted at which no other run ends.
func (r *Runs) free(wanted time.Duration) time.Duration {
	for e := wanted; e > wanted-mostEarlier; e -= apart {
		if !r.endsNear(e) {
			return e
		}
	}
	return wanted
}

func (r *Runs) endsNear(at time.Duration) bool {
	for _, run := range r.active {
		if (run.Deadline - at).Abs() < apart {
			return true
		}
	}
	return false
}

// ownTimeFor gives the shortest own time of the calls that a run of the route
// makes, or may make for all that is known, or 0. It counts the runs for which
// that is only tried.
func (r *Runs) ownTimeFor(route string, left time.Duration) time.Duration {
	shortest := time.Duration(0)
	for _, o := range r.routes {
		if o.seen < ownTimeSeen || o.longest >= left || !o.isOnwardFor(route) && o.tries[route] >= maxTries {
			continue
		}
		if shortest == 0 || o.longest < shortest {
			shortest = o.longest
		}
	}
	for _, o := range r.routes {
		if o.longest == shortest && o.seen >= ownTimeSeen {
			o.try(route)
		}
	}
	return shortest
}

// try counts a run that is ended before the own time of these calls. What was
// seen before the first such run says nothing.
func (o *origins) try(route string) {
	if len(o.tries) == 0 && !o.isOnward() {
		o.calls, o.matched = 0, 0
	}
	o.tries[route]++
}

// isOnwardFor is whether runs of the route make such calls.
func (o *origins) isOnwardFor(route string) bool {
	return o.isOnward() && o.isMadeBy(route)
}

// End forgets a run and gives how many calls were made for it.
func (r *Runs) End(now time.Duration, handle uint64) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	run, found := r.active[handle]
	if !found {
		return 0
	}
	delete(r.active, handle)
	took := now - run.began
	usual, known := r.usual[run.Route]
	if !known {
		usual = took
	}
	r.usual[run.Route] = usual + time.Duration(usualWeight*float64(took-usual))
	return run.children
}

// AssignParent finds the run for which a call by the route, which was given that
// time, is made.
func (r *Runs) AssignParent(now time.Duration, route string, given time.Duration) (Run, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	o, found := r.routes[route]
	if !found {
		o = &origins{parents: map[string]int{}, tries: map[string]int{}}
		r.routes[route] = o
	}
	o.calls++
	if o.calls >= forgetAt {
		o.halve()
	}
	o.note(given)
	ends := now + given
	parent := r.endingAt(ends)
	if parent != nil {
		o.matched++
		o.parents[parent.Route]++
		if parent.call != 0 {
			o.together++
		}
	}
	switch {
	case o.isOnward() && parent == nil:
		parent = r.likeliest(now, o, ends)
	case !o.isOnward() && o.calls >= knownAt:
		// A caller's request that ends with a run does so by chance.
		parent = nil
	}
	if parent == nil {
		return Run{}, false
	}
	parent.children++
	r.next++
	parent.call = r.next
	return *parent, true
}

// Answered says that the call whose parent this is has its answer.
func (r *Runs) Answered(now time.Duration, parent Run) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// A call that was given to the wrong run, which has made one since, says
	// nothing of it.
	if run, found := r.active[parent.number]; found && run.call == parent.call {
		run.call = 0
		run.answered = now
	}
}

// note takes in the time that a call was given.
func (o *origins) note(given time.Duration) {
	given = given.Truncate(unit)
	switch {
	case given > o.longest:
		o.longest, o.seen = given, 1
	case given == o.longest && o.seen < ownTimeSeen:
		o.seen++
	}
}

// isMadeBy is whether runs of the route make such calls.
func (o *origins) isMadeBy(route string) bool {
	return float64(o.parents[route]) > parentShare*float64(o.matched)
}

// IsOnward is whether calls by the route are made by the backend server.
func (r *Runs) IsOnward(route string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	o, found := r.routes[route]
	return found && o.isOnward()
}

// endingAt gives the run whose end is nearest to the moment.
func (r *Runs) endingAt(ends time.Duration) *Run {
	var best *Run
	nearest := tolerance + 1
	for _, run := range r.active {
		apart := (run.Deadline - rounding - ends).Abs()
		if apart < nearest || apart == nearest && best != nil && run.number < best.number {
			best, nearest = run, apart
		}
	}
	return best
}

// likeliest gives the run that is the likeliest to make the call now, among
// those whose routes make such calls and which end later.
func (r *Runs) likeliest(now time.Duration, o *origins, ends time.Duration) *Run {
	var best *Run
	for _, run := range r.active {
		if run.Deadline < ends || !o.isMadeBy(run.Route) {
			continue
		}
		if best == nil || o.comesBefore(now, run, best) {
			best = run
		}
	}
	return best
}

// comesBefore is whether a is likelier than b to make the call now.
func (o *origins) comesBefore(now time.Duration, a, b *Run) bool {
	if x, y := o.readiness(now, a), o.readiness(now, b); x != y {
		return x > y
	}
	if a.children != b.children && o.makesTogether() {
		return a.children < b.children
	}
	if x, y := max(a.began, a.answered), max(b.began, b.answered); x != y {
		return x < y
	}
	return a.number < b.number
}

// readiness orders runs by whether they have just been answered, have made no
// call yet, have been answered some time ago, or wait for an answer.
func (o *origins) readiness(now time.Duration, run *Run) int {
	switch {
	case o.makesTogether():
		return 0
	case run.call != 0:
		return 1
	case run.children == 0:
		return 3
	case now-run.answered <= atOnce:
		return 4
	}
	return 2
}

func (o *origins) makesTogether() bool {
	return float64(o.together) > togetherShare*float64(o.matched)
}

func (o *origins) isOnward() bool {
	return o.matched >= minMatches && float64(o.matched) >= minShare*float64(o.calls)
}

func (o *origins) halve() {
	o.calls /= 2
	o.matched /= 2
	o.together /= 2
	for route := range o.parents {
		o.parents[route] /= 2
		if o.parents[route] == 0 {
			delete(o.parents, route)
		}
	}
	for route := range o.tries {
		o.tries[route] /= 2
		if o.tries[route] == 0 {
			delete(o.tries, route)
		}
	}
}
