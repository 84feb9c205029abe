// Package kqbudget keeps the repeats of a whole fleet within a bound without
// any message between its nodes: each entry spends at most its own part.
//
// # Usage
//
//	budget := kqbudget.New(kqbudget.Bound{Ratio: 0.2, Window: 10 * time.Second, Slack: 48})
//	call := kqbudget.Call{Service: "orders", Depth: 1}
//	budget.RecordRequest(now, call, inherited)
//	if budget.TakeRepeat(now, call, entries, urgent) { ... } // hand it to another server
//
// The bound for a service is a ratio of the requests in a sliding window, plus
// a slack. The ratio holds for the fleet if it holds for each entry, and the
// slack is divided by the number of entries. A repeated run repeats its onward
// calls as well, which count at the services called: these are inherited, and
// leave less for repeats of the entry's own. Since an entry can't refuse them,
// the calls of each depth may spend only a part of the bound by themselves, and
// the parts of all depths sum up to less than the whole. Requests that are not
// urgent leave some of their part to those that are. A Budget is safe for
// concurrent use.
package kqbudget

import (
	"sync"
	"time"
)

// depthParts is what the calls of each depth may spend by themselves. A call of
// depth 2 may be inherited from depths 0 and 1, so that the first three parts
// bound what its service sees of such calls; the last one is that of all
// deeper calls, of a chain of up to four levels. Requests of callers get the
// most, since they come in small numbers at many entries.
var depthParts = [depths]float64{0.4, 0.22, 0.18, 0.15}

const depths = 4

// Other parts of the bound.
const (
	// wholePart is what inherited and own repeats may sum up to before no more
	// are made.
	wholePart = 0.85
	// plainPart is what requests that are not urgent may use of their part.
	plainPart = 0.8
)

// slots is how many parts a window is counted in. One part more than the
// window is summed up, so that a sum never covers less than the window.
const slots = 10

// Bound is what the repeats of a service may sum up to in any window.
type Bound struct {
	// Ratio is the number of repeats for each request.
	Ratio  float64
	Window time.Duration
	// Slack is the number of repeats for the whole fleet beyond the ratio.
	Slack float64
}

// Call is what is counted: a call to a service, with the number of hops above
// it.
type Call struct {
	Service string
	Depth   int
}

// Budget counts requests and repeats by service and depth.
type Budget struct {
	bound Bound
	// slackFrom is from when the slack may be spent.
	slackFrom time.Duration

	mutex sync.Mutex
	calls map[Call]*counts
}

// counts are the requests and repeats of the latest parts of the window.
type counts struct {
	newest    int64
	requests  [slots + 1]int
	repeats   [slots + 1]int
	inherited [slots + 1]int
}

// Option changes a budget.
type Option func(*Budget)

// WithRestart makes the budget of an entry that has just been started again.
// What it spent before is not known, and its part of the slack may have been
// in that, so nothing of the slack is spent during the first window.
func WithRestart(now time.Duration) Option {
	return func(b *Budget) { b.slackFrom = now + b.bound.Window }
}

// New makes a budget of which nothing is spent.
func New(bound Bound, options ...Option) *Budget {
	b := &Budget{bound: bound, calls: map[Call]*counts{}}
	for _, o := range options {
		o(b)
	}
	return b
}

// SetBound changes the bound; what was counted stays.
func (b *Budget) SetBound(bound Bound) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if bound.Window != b.bound.Window {
		b.calls = map[Call]*counts{}
	}
	b.bound = bound
}

// RecordRequest counts a call. It is inherited when the run that
// made it was itself a repeat. The time is on the node's own monotonic clock.
func (b *Budget) RecordRequest(now time.Duration, call Call, inherited bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c := b.at(now, call)
	c.requests[c.newest%(slots+1)]++
	if inherited {
		c.inherited[c.newest%(slots+1)]++
	}
}

// TakeRepeat takes one repeat of the call, if there is one left, in a fleet of that
// many entries.
func (b *Budget) TakeRepeat(now time.Duration, call Call, entries int, urgent bool) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c := b.at(now, call)
	requests, repeats, inherited := 0, 0, 0
	for i := range c.requests {
		requests += c.requests[i]
		repeats += c.repeats[i]
		inherited += c.inherited[i]
	}
	// The oldest part may lie outside of the window, so its requests do not
	// count; its repeats do.
	requests -= c.requests[(c.newest+1)%(slots+1)]
	bound := b.bound.Ratio * float64(requests)
	if now >= b.slackFrom {
		bound += b.bound.Slack / float64(max(entries, 1))
	}
	own := depthParts[call.level()] * bound
	if !urgent {
		own *= plainPart
	}
	if float64(repeats+1) > own || float64(repeats+inherited+1) > wholePart*bound {
		return false
	}
	c.repeats[c.newest%(slots+1)]++
	return true
}

// level is the call's place among the parts.
func (c Call) level() int {
	return min(max(c.Depth, 0), depths-1)
}

// at gives the counts of such calls, moved on to the moment.
func (b *Budget) at(now time.Duration, call Call) *counts {
	call.Depth = call.level()
	part := int64(now / (b.bound.Window / slots))
	c, found := b.calls[call]
	if !found {
		c = &counts{newest: part}
		b.calls[call] = c
	}
	for ; c.newest < part; c.newest++ {
		if part-c.newest > slots+1 {
			c.newest = part - slots - 1
		}
		next := (c.newest + 1) % (slots + 1)
		c.requests[next], c.repeats[next], c.inherited[next] = 0, 0, 0
	}
	return c
}
