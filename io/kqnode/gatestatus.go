package kqnode

import (
	"maps"
	"slices"
	"time"

	"kumquatlink/core/kqadmit"
	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqclass"
)

// maxCountedClasses is the maximum number of classes with counts of their own.
const maxCountedClasses = 128

// countPeriod is the length of the periods in which calls are counted to compare
// them with their classes' targets.
const countPeriod = 30 * time.Second

// otherClasses is the name under which calls of all further classes are counted.
const otherClasses = "other"

// ClassCounts counts the calls of a class since the node's start.
type ClassCounts struct {
	// Offered counts all calls, Completed those that ran and were answered in
	// full.
	Offered   int64
	Completed int64
	// Unknown counts the calls that may have run but have no answer.
	Unknown int64
	// Refused counts the calls that were not run, by cause.
	Refused map[kqcall.Cause]int64
}

// GateStatus is a snapshot of a gate for operators.
type GateStatus struct {
	// Limit is the maximum number of calls in flight, InFlight the number of calls
	// in flight, and Queued the number of calls that wait.
	Limit    int
	InFlight int
	Queued   int
	// Cut reports whether the admission threshold refuses calls, and CutRank is
	// the least important rank of which calls are still admitted, all or some.
	Cut     bool
	CutRank int
	// Classes counts the calls by class.
	Classes map[string]ClassCounts
	// Targets compares this gate's calls of the last 30 to 60 seconds with the
	// targets of their classes, the most important first.
	Targets []kqclass.Evaluation
}

// GateStatus returns the status of the node's gate.
func (n *Node) GateStatus() GateStatus {
	s := n.gate.status()
	if classes := n.State().Classes; classes != nil {
		s.Targets = classes.Evaluate(n.gate.recentClassCounts())
	}
	return s
}

// recentCounts counts calls by class in the current period and the previous one.
// Older calls are dropped, so that they don't affect the evaluation of targets.
type recentCounts struct {
	since    time.Duration
	current  map[string]kqclass.Count
	previous map[string]kqclass.Count
}

// rotate begins the next period when the current one is over.
func (r *recentCounts) rotate(now time.Duration) {
	if now-r.since >= 2*countPeriod {
		r.current = nil
	}
	if now-r.since >= countPeriod {
		r.previous, r.current, r.since = r.current, nil, now
	}
	if r.current == nil {
		r.current = map[string]kqclass.Count{}
	}
}

// add counts a call of the class with that name.
func (r *recentCounts) add(now time.Duration, name string, completed bool) {
	r.rotate(now)
	c := r.current[name]
	c.Name = name
	c.Offered++
	if completed {
		c.Completed++
	}
	r.current[name] = c
}

// recentClassCounts returns the counts of the current and the previous period.
func (g *gate) recentClassCounts() []kqclass.Count {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.recent.rotate(g.clock())
	sums := maps.Clone(g.recent.current)
	for name, c := range g.recent.previous {
		sum := sums[name]
		sums[name] = kqclass.Count{Name: name, Offered: sum.Offered + c.Offered, Completed: sum.Completed + c.Completed}
	}
	return slices.Collect(maps.Values(sums))
}

// status returns the gate's status without Targets.
func (g *gate) status() GateStatus {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	threshold := g.queue.Threshold()
	s := GateStatus{
		Limit: g.limit.Value(), InFlight: g.queue.InFlight(), Queued: g.queue.Waiting(),
		Cut: threshold != kqadmit.AdmitAll, CutRank: threshold.Rank(), Classes: map[string]ClassCounts{},
	}
	for name, c := range g.counts {
		copied := *c
		copied.Refused = maps.Clone(c.Refused)
		s.Classes[name] = copied
	}
	return s
}

// count counts the end of a call for its class. The mutex is held.
func (g *gate) count(q *call, r *callAnswer) {
	name := q.head.Class
	c, found := g.counts[name]
	if !found {
		if len(g.counts) >= maxCountedClasses {
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
