// Package kqbudget keeps the repeats of a whole fleet within a bound without
// any message between its nodes: each entry spends at most its own part.
//
// # Usage
//
//	budget := kqbudget.New(kqbudget.Bound{Ratio: 0.2, Window: 10 * time.Second, Slack: 48})
//	budget.Request(now, "orders")
//	if budget.Repeat(now, "orders", entries) { ... } // hand it to another server
//
// The bound for a service is a ratio of the requests in a sliding window, plus
// a slack. The ratio holds for the fleet if it holds for each entry, and the
// slack is divided by the number of entries. A repeated run repeats its onward
// calls as well, which count at the services called; so each entry spends only
// a part of the bound. A Budget is safe for concurrent use.
package kqbudget

import (
	"sync"
	"time"
)

// Parts of the bound that repeats of one service may use. The rest is for the
// onward calls of repeated runs of the services above, of which a chain has up
// to three.
const (
	ratioPart = 0.3
	slackPart = 0.25
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

// Budget counts requests and repeats by service.
type Budget struct {
	bound Bound

	mutex    sync.Mutex
	services map[string]*counts
}

// counts are the requests and repeats of the latest parts of the window.
type counts struct {
	newest   int64
	requests [slots + 1]int
	repeats  [slots + 1]int
}

// New makes a budget of which nothing is spent.
func New(b Bound) *Budget {
	return &Budget{bound: b, services: map[string]*counts{}}
}

// SetBound changes the bound; what was counted stays.
func (b *Budget) SetBound(bound Bound) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if bound.Window != b.bound.Window {
		b.services = map[string]*counts{}
	}
	b.bound = bound
}

// Request counts a request for the service. The time is on the node's own
// monotonic clock.
func (b *Budget) Request(now time.Duration, service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c := b.at(now, service)
	c.requests[c.newest%(slots+1)]++
}

// Repeat takes one repeat for the service, if there is one left, in a fleet of
// that many entries.
func (b *Budget) Repeat(now time.Duration, service string, entries int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c := b.at(now, service)
	requests, repeats := 0, 0
	for i := range c.requests {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	// The oldest part may lie outside of the window, so its requests do not
	// count; its repeats do.
	requests -= c.requests[(c.newest+1)%(slots+1)]
	allowed := ratioPart*b.bound.Ratio*float64(requests) + slackPart*b.bound.Slack/float64(max(entries, 1))
	if float64(repeats+1) > allowed {
		return false
	}
	c.repeats[c.newest%(slots+1)]++
	return true
}

// at gives the counts of the service, moved on to the moment.
func (b *Budget) at(now time.Duration, service string) *counts {
	part := int64(now / (b.bound.Window / slots))
	c, found := b.services[service]
	if !found {
		c = &counts{newest: part}
		b.services[service] = c
	}
	for ; c.newest < part; c.newest++ {
		if part-c.newest > slots+1 {
			c.newest = part - slots - 1
		}
		next := (c.newest + 1) % (slots + 1)
		c.requests[next], c.repeats[next] = 0, 0
	}
	return c
}
