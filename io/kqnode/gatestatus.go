package kqnode

import (
	"maps"

	"kumquatlink/core/kqadmit"
	"kumquatlink/core/kqcall"
)

// maxCounts bounds the classes that are counted apart.
const maxCounts = 128

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
}

// GateStatus gives the state of the node's gate.
func (n *Node) GateStatus() GateStatus {
	return n.gate.status()
}

func (g *gate) status() GateStatus {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	cut := g.queue.Cut()
	s := GateStatus{
		Limit: g.limit.Value(), InFlight: g.queue.InFlight(), Queued: g.queue.Waiting(),
		Cut: cut != kqadmit.Open, CutRank: cut.Rank(), Classes: map[string]ClassCounts{},
	}
	for name, c := range g.counts {
		held := *c
		held.Refused = maps.Clone(c.Refused)
		s.Classes[name] = held
	}
	return s
}

// count adds the end of a call to its class.
func (g *gate) count(q *call, r *result) {
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
