// Package kqlineage finds out for which running call a backend server makes an
// onward call, on platforms where onward calls carry nothing of their parent.
//
// # Usage
//
// A gate keeps one [Runs] and notes every call that its backend server runs,
// with the moment at which the server was told to stop. An entry looks up each
// call that comes from the host:
//
//	run := runs.Begin(kqlineage.Run{Root: id, Class: "browse", Rank: 2, Ends: now + left})
//	defer runs.End(run)
//	...
//	parent, found := runs.Parent("stock", now+given)
//
// An onward call expires with its parent, so both end in the same moment, but
// for the rounding to milliseconds and the way between the two processes. A
// call may also have a shorter time of its own; then the parent is looked for
// among the runs whose classes are known to make such calls. A caller's
// request, which ends at no run's moment and is not known to be an onward
// call, has none.
//
// A wrong parent costs no promise: it only changes which calls go first. Times
// are durations on the node's own clock. A Runs is safe for concurrent use.
package kqlineage

import (
	"sync"
	"time"
)

const (
	// tolerance is how far the ends of a parent and its call lie apart at most:
	// a millisecond of rounding each, and the time that the call took to come.
	tolerance = 4 * time.Millisecond
	// minMatches is how many calls of a route must have been matched by their
	// ends before the route counts as one that a backend server calls.
	minMatches = 8
	// minShare is the share of a route's calls that must have matched.
	minShare = 0.3
	// knownAt is how many calls of a route tell whether it is one that a
	// backend server calls; before that each match counts.
	knownAt = 16
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
	// Ends is when the backend server was told to stop.
	Ends time.Duration

	number   uint64
	children int
}

// Runs are the calls that the backend server of one gate runs.
type Runs struct {
	mutex  sync.Mutex
	next   uint64
	active map[uint64]*Run
	routes map[string]*origins
}

// origins counts where the calls of a route came from.
type origins struct {
	calls   int
	matched int
	// parents counts the routes of the runs for which they were made.
	parents map[string]int
}

// New makes an empty set of runs.
func New() *Runs {
	return &Runs{active: map[uint64]*Run{}, routes: map[string]*origins{}}
}

// Begin notes a run and gives the handle that ends it.
func (r *Runs) Begin(run Run) uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.next++
	run.number = r.next
	r.active[r.next] = &run
	return r.next
}

// End forgets a run and gives how many calls were made for it.
func (r *Runs) End(handle uint64) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	children := 0
	if run, found := r.active[handle]; found {
		children = run.children
	}
	delete(r.active, handle)
	return children
}

// Parent finds the run for which a call by the route, which ends at that
// moment, is made.
func (r *Runs) Parent(route string, ends time.Duration) (Run, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	o, found := r.routes[route]
	if !found {
		o = &origins{parents: map[string]int{}}
		r.routes[route] = o
	}
	o.calls++
	if o.calls >= forgetAt {
		o.halve()
	}
	parent := r.endingAt(ends)
	if parent != nil {
		o.matched++
		o.parents[parent.Route]++
	}
	switch {
	case o.isOnward() && parent == nil:
		parent = r.likeliest(o, ends)
	case !o.isOnward() && o.calls >= knownAt:
		// A caller's request that ends with a run does so by chance.
		parent = nil
	}
	if parent == nil {
		return Run{}, false
	}
	parent.children++
	return *parent, true
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
		apart := (run.Ends - ends).Abs()
		if apart < nearest || apart == nearest && best != nil && run.number < best.number {
			best, nearest = run, apart
		}
	}
	return best
}

// likeliest gives the run with the fewest calls so far among those whose
// routes make such calls and which end later; of two alike the older one.
func (r *Runs) likeliest(o *origins, ends time.Duration) *Run {
	var best *Run
	for _, run := range r.active {
		if run.Ends < ends || o.parents[run.Route] == 0 {
			continue
		}
		if best == nil || run.children < best.children || run.children == best.children && run.number < best.number {
			best = run
		}
	}
	return best
}

func (o *origins) isOnward() bool {
	return o.matched >= minMatches && float64(o.matched) >= minShare*float64(o.calls)
}

func (o *origins) halve() {
	o.calls /= 2
	o.matched /= 2
	for route := range o.parents {
		o.parents[route] /= 2
		if o.parents[route] == 0 {
			delete(o.parents, route)
		}
	}
}
