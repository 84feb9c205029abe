// Package kqbudget limits how many calls of a service the whole fleet repeats.
// A repeat is a further try of a request that a backend server may have begun
// to run. The limit needs no messages between nodes: each entry, the part of a
// node that takes calls and routes them, keeps a [Budget] of its own and spends
// at most its share.
//
// # Usage
//
//	budget := kqbudget.New(kqbudget.Bound{Ratio: 0.2, Window: 10 * time.Second, Slack: 48})
//	call := kqbudget.Call{Service: "orders", Depth: 1}
//	budget.RecordRequest(now, call, inherited)
//	if budget.TakeRepeat(now, call, entries, urgent) { ... } // send it to another server
//
// The [Bound] for a service is a ratio of its requests in a sliding window, plus
// a constant slack. The ratio holds for the fleet if it holds for each entry;
// the slack is divided by the number of entries.
//
// When a run is repeated, it makes its onward calls again. Such an onward call
// is an inherited repeat: it is counted for the service that it calls, and
// reduces the repeats that the entry may start itself. An entry can't refuse
// inherited repeats. Therefore the calls of each depth may spend only a share
// of the bound on repeats that the entry starts, and the shares of all depths
// add up to less than 1. Requests that are not urgent may use only a part of
// their share; the rest is kept for urgent ones.
//
// A Budget is safe for concurrent use. Times are on the node's own monotonic
// clock.
package kqbudget

import (
	"sync"
	"time"
)

// depthShares holds, by depth, the share of the bound that repeats started by
// the entry may use. A call of depth 2 may inherit repeats from depths 0 and 1,
// so the sum of the first three shares limits the repeats that its service
// receives. The last share is that of all deeper calls, in a chain of up to
// four levels. Depth 0, the requests of callers, has the largest share, since
// few of them arrive at each of many entries.
var depthShares = [depths]float64{0.4, 0.22, 0.18, 0.15}

const depths = 4

// Further shares.
const (
	// totalShare is the share of the bound that inherited and own repeats may
	// use together; beyond it the entry starts no more repeats.
	totalShare = 0.85
	// nonUrgentShare is the part of a depth's share that requests that are not
	// urgent may use.
	nonUrgentShare = 0.8
)

// windowSlots is the number of slots that a window is counted in. One slot more
// is kept and summed, so that a sum never covers less than the window.
const windowSlots = 10

// Bound limits the repeats of a service in any window: Ratio times its requests,
// plus Slack.
type Bound struct {
	// Ratio is the number of repeats per request.
	Ratio float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Slack is the number of repeats per window that the whole fleet may make
	// beyond the ratio.
	Slack float64
}

// Call identifies the calls that are counted together: calls to Service with
// Depth hops above them.
type Call struct {
	Service string
	Depth   int
}

// Budget counts the requests and repeats of one entry, by service and depth, and
// decides whether a call may be repeated.
type Budget struct {
	bound Bound
	// slackFrom is the time from which on the slack may be spent.
	slackFrom time.Duration

	mutex sync.Mutex
	calls map[Call]*counts
}

// counts holds the numbers of requests and repeats per slot, in rings that are
// indexed by the slot number modulo their length. newest is the number of the
// current slot.
type counts struct {
	newest    int64
	requests  [windowSlots + 1]int
	repeats   [windowSlots + 1]int
	inherited [windowSlots + 1]int
}

// Option configures a [Budget] in [New].
type Option func(*Budget)

// WithRestart is for an entry that was restarted at the time now. It may have
// spent its share of the slack right before the restart, which is no longer
// known, so it spends no slack during the first window.
func WithRestart(now time.Duration) Option {
	return func(b *Budget) { b.slackFrom = now + b.bound.Window }
}

// New returns a budget of which nothing is spent.
func New(bound Bound, options ...Option) *Budget {
	b := &Budget{bound: bound, calls: map[Call]*counts{}}
	for _, o := range options {
		o(b)
	}
	return b
}

// SetBound replaces the bound. The counts are kept, unless the window changes.
func (b *Budget) SetBound(bound Bound) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if bound.Window != b.bound.Window {
		b.calls = map[Call]*counts{}
	}
	b.bound = bound
}

// RecordRequest counts the first try of a call. inherited reports that the run
// that made the call was itself a repeat.
func (b *Budget) RecordRequest(now time.Duration, call Call, inherited bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c := b.countsAt(now, call)
	c.requests[c.newest%(windowSlots+1)]++
	if inherited {
		c.inherited[c.newest%(windowSlots+1)]++
	}
}

// TakeRepeat reports whether the call may be repeated now and, if so, counts the
// repeat. entries is the number of entries in the fleet, among which the slack
// is divided.
func (b *Budget) TakeRepeat(now time.Duration, call Call, entries int, urgent bool) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c := b.countsAt(now, call)
	requests, repeats, inherited := 0, 0, 0
	for i := range c.requests {
		requests += c.requests[i]
		repeats += c.repeats[i]
		inherited += c.inherited[i]
	}
	// The oldest slot may lie outside of the window. Its repeats count and its
	// requests don't, so that the limit errs towards fewer repeats.
	requests -= c.requests[(c.newest+1)%(windowSlots+1)]
	bound := b.bound.Ratio * float64(requests)
	if now >= b.slackFrom {
		bound += b.bound.Slack / float64(max(entries, 1))
	}
	own := depthShares[call.level()] * bound
	if !urgent {
		own *= nonUrgentShare
	}
	if float64(repeats+1) > own || float64(repeats+inherited+1) > totalShare*bound {
		return false
	}
	c.repeats[c.newest%(windowSlots+1)]++
	return true
}

// level returns the index of the call in depthShares.
func (c Call) level() int {
	return min(max(c.Depth, 0), depths-1)
}

// countsAt returns the counts of the call, with the slots that have passed since
// the last use cleared.
func (b *Budget) countsAt(now time.Duration, call Call) *counts {
	call.Depth = call.level()
	slot := int64(now / (b.bound.Window / windowSlots))
	c, found := b.calls[call]
	if !found {
		c = &counts{newest: slot}
		b.calls[call] = c
	}
	for ; c.newest < slot; c.newest++ {
		if slot-c.newest > windowSlots+1 {
			c.newest = slot - windowSlots - 1
		}
		next := (c.newest + 1) % (windowSlots + 1)
		c.requests[next], c.repeats[next], c.inherited[next] = 0, 0, 0
	}
	return c
}
