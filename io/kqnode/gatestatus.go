package kqnode

import (
	"maps"
	"slices"
	"time"

	"kumquatlink/core/kqadmit"
	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqclass"
)

// maxCounts bounds the classes that are counted apart.
const maxCounts = 128

// judgePeriod is how long calls are counted together for their targets.
const judgePeriod = 30 * time.Second

// otherClasses counts what is beyond that bound.
const otherClasses = "other"

// ClassCounts counts the calls of a class since the node's start.
type ClassCounts struct {
	// Offered is all calls, Completed those that ran to their whole answer.
	Offered   int64
	Completed int64
	// Unknown is calls that may have run, without an answer.
	Unknown int64
	// Refused counts the calls that were not run, by cause.
	Refused map[kqcall.Cause]int64
}

// GateStatus is what a gate does at this moment.
type GateStatus struct {
	// Limit is how many calls may be in flight.
	Limit    int
	InFlight int
	Queued   int
	// Cut is whether arrivals are refused by level, and CutRank the least
	// important rank that is let in, in part or in full.
	Cut     bool
	CutRank int
	// Classes counts the calls by class.
	Classes map[string]ClassCounts
	// Targets compares this gate's calls of the last half to whole minute with
	// the targets of their classes, the most important first.
	Targets []kqclass.Evaluation
}

// GateStatus gives the state of the node's gate.
func (n *Node) GateStatus() GateStatus {
	s := n.gate.status()
	if classes := n.State().Classes; classes != nil {
		s.Targets = classes.Evaluate(n.gate.lately())
	}
	return s
}

// recentCounts counts calls by class over the last judgePeriod and the one
// before it, so that what is judged is forgotten.
type recentCounts struct {
	since   time.Duration
	current map[string]kqclass.Count
	before  map[string]kqclass.Count
}

// turn begins the next period when the current one is over.
func (r *recentCounts) turn(now time.Duration) {
	if now-r.since >= 2*judgePeriod {
		r.current = nil
	}
	if now-r.since >= judgePeriod {
		r.before, r.current, r.since = r.current, nil, now
	}
	if r.current == nil {
		r.current = map[string]kqclass.Count{}
	}
}

func (r *recentCounts) add(now time.Duration, name string, completed bool) {
	r.turn(now)
	c := r.current[name]
	c.Name = name
	c.Offered++
	if completed {
		c.Completed++
	}
	r.current[name] = c
}

// lately gives the counts of the last one to two periods.
func (g *gate) lately() []kqclass.Count {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.recent.turn(g.clock())
	sums := maps.Clone(g.recent.current)
	for name, c := range g.recent.before {
		sum := sums[name]
		sums[name] = kqclass.Count{Name: name, Offered: sum.Offered + c.Offered, Completed: sum.Completed + c.Completed}
	}
	return slices.Collect(maps.Values(sums))
}

func (g *gate) status() GateStatus {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	cut := g.queue.Threshold()
	s := GateStatus{
		Limit: g.limit.Value(), InFlight: g.queue.InFlight(), Queued: g.queue.Waiting(),
		Cut: cut != kqadmit.AdmitAll, CutRank: cut.Rank(), Classes: map[string]ClassCounts{},
	}
	for name, c := range g.counts {
		held := *c
		held.Refused = maps.Clone(c.Refused)
		s.Classes[name] = held
	}
	return s
}

// count adds the end of a call to its class.
func (g *gate) count(q *call, r *callAnswer) {
	name := q.head.Class
	c, found := g.counts[name]
	if !found {
		if len(g.counts) >= maxCounts {
			name = otherClasses
		}
		c = g.counts[name]
	}
	if c == nil {
		c = &ClassCounts{Refused: map[kqcall.Cause]int64{}}
		g.counts[name] = c
	}
	g.recent.add(g.clock(), name, r.end.Outcome == kqcall.OutcomeRan)
	c.Offered++
	switch r.end.Outcome {
	case kqcall.OutcomeRan:
		c.Completed++
	case kqcall.OutcomeNotRun:
		c.Refused[r.end.Cause]++
	default:
		c.Unknown++
	}
}
