// Package kqshed decides at an entry which calls are refused before they are
// sent, from the cuts that gates put on their answers.
//
// # Usage
//
// An entry keeps one [Table]. It tells the table of every answer and asks it
// before it sends a call:
//
//	table := kqshed.New()
//	table.Heard(now, kqshed.Answer{Service: "orders", Upstream: "orders-1", Class: "browse", Cut: cut, Deep: deep})
//	if table.Refuses(now, call) { ... }
//
// A gate puts [Table.Deep] on its answers: the strictest cut among the
// services that its backend server calls for the class. So an entry learns
// what the whole chain would refuse, and no work is begun for a request that
// a deeper service sheds.
//
// A cut that was heard is forgotten after [Life]. When nothing was heard of a
// service for a while, one call is let through to learn of it. Times are
// durations since an arbitrary start. A Table is not safe for concurrent use.
package kqshed

import (
	"maps"
	"time"

	"kumquatlink/core/kqadmit"
)

// Constants of the table.
const (
	// Life is how long a cut that was heard is held.
	Life = 300 * time.Millisecond
	// probePeriod is the silence after which one call is let through.
	probePeriod = 25 * time.Millisecond
	// minHeard is how many upstreams, if there are so many, must have been
	// heard of before a call is refused by what they said.
	minHeard = 2
	// callsLife is how long it is remembered that a class calls a service.
	callsLife = 2 * time.Second
	// pruneAt is how many entries a map may have before old ones are dropped.
	pruneAt = 256
)

// Answer is what the answer of a gate told.
type Answer struct {
	Service  string
	Upstream string
	Class    string
	// Onward is whether the call was made for a call that this node's own
	// backend server runs.
	Onward bool
	// Cut is the gate's own cut, and Deep the strictest one behind it.
	Cut  kqadmit.Level
	Deep kqadmit.Level
}

// Call is a call that is about to be sent.
type Call struct {
	Service string
	Class   string
	// Level is the call's own, and Started that of its onward calls.
	Level   kqadmit.Level
	Started kqadmit.Level
	// Upstreams is how many upstreams the service has.
	Upstreams int
}

// Table is what one entry has heard.
type Table struct {
	services map[string]*service
	calls    map[onward]time.Duration
}

type onward struct {
	class   string
	service string
}

type service struct {
	cuts map[string]held
	deep map[from]held
	// newest is when an upstream was last heard of or a call let through.
	newest time.Duration
}

type from struct {
	upstream string
	class    string
}

type held struct {
	level kqadmit.Level
	at    time.Duration
}

func (h held) fresh(now time.Duration) bool {
	return now-h.at < Life
}

// New makes an empty table.
func New() *Table {
	return &Table{services: map[string]*service{}, calls: map[onward]time.Duration{}}
}

// Heard takes what an answer told.
func (t *Table) Heard(now time.Duration, a Answer) {
	s, found := t.services[a.Service]
	if !found {
		s = &service{cuts: map[string]held{}, deep: map[from]held{}}
		t.services[a.Service] = s
	}
	s.cuts[a.Upstream] = held{a.Cut, now}
	s.deep[from{a.Upstream, a.Class}] = held{a.Deep, now}
	s.newest = now
	s.prune(now)
	if a.Onward {
		t.calls[onward{a.Class, a.Service}] = now
		t.prune(now)
	}
}

func (s *service) prune(now time.Duration) {
	if len(s.cuts)+len(s.deep) <= pruneAt {
		return
	}
	maps.DeleteFunc(s.cuts, func(_ string, h held) bool { return !h.fresh(now) })
	maps.DeleteFunc(s.deep, func(_ from, h held) bool { return !h.fresh(now) })
}

func (t *Table) prune(now time.Duration) {
	if len(t.calls) <= pruneAt {
		return
	}
	maps.DeleteFunc(t.calls, func(_ onward, at time.Duration) bool { return now-at >= callsLife })
}

// Refuses is whether every upstream that was heard of lately would refuse the
// call, or each would begin it and a deeper service refuse the request.
func (t *Table) Refuses(now time.Duration, c Call) bool {
	s, found := t.services[c.Service]
	if !found {
		return false
	}
	cut, deep := s.loosest(now, c.Class, min(minHeard, c.Upstreams))
	if c.Level <= cut && c.Started <= deep {
		return false
	}
	if now-s.newest >= probePeriod {
		s.newest = now
		return false
	}
	return true
}

// Deep is the strictest cut among the services that are called onward for the
// class, and those behind them.
func (t *Table) Deep(now time.Duration, class string) kqadmit.Level {
	strictest := kqadmit.Open
	for o, at := range t.calls {
		if o.class != class || now-at >= callsLife {
			continue
		}
		cut, deep := t.services[o.service].loosest(now, class, 1)
		strictest = min(strictest, cut, deep)
	}
	return strictest
}

// loosest gives the loosest fresh cuts, or open ones when fewer upstreams than
// needed were heard of.
func (s *service) loosest(now time.Duration, class string, needed int) (cut, deep kqadmit.Level) {
	heard, heardDeep := 0, 0
	for _, h := range s.cuts {
		if h.fresh(now) {
			heard++
			cut = max(cut, h.level)
		}
	}
	for f, h := range s.deep {
		if f.class == class && h.fresh(now) {
			heardDeep++
			deep = max(deep, h.level)
		}
	}
	if heard < max(1, needed) {
		cut = kqadmit.Open
	}
	if heardDeep < max(1, needed) {
		deep = kqadmit.Open
	}
	return cut, deep
}
