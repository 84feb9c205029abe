// Package kqshed decides at an entry which calls are refused before they are
// sent, from the cuts that gates put on their answers.
//
// # Usage
//
// An entry keeps one [Table]. It tells the table of every answer and asks it
// before it sends a call:
//
//	table := kqshed.New()
//	table.Ran(now, "browse") // the own backend server begins a call
//	table.Called(now, "browse", "orders") // and calls another service
//	table.Heard(now, kqshed.Answer{Service: "orders", Upstream: "orders-1", Cut: cut, Deep: deep})
//	if reason, refuses := table.Refuses(now, call); refuses { ... }
//	for _, service := range table.Stale(now) { ... } // ask one of its gates
//
// A gate puts [Table.DownstreamThresholds] on its answers: for each class, the strictest cut
// among the services that its backend server calls for the class. So an entry
// learns what the whole chain would refuse, and no work is begun for a request
// that a deeper service sheds.
//
// A cut that was heard is forgotten after [ThresholdTTL]. While calls are refused few
// answers come, so that [Table.StaleServices] names the services to ask. Times are
// durations since an arbitrary start. A Table is not safe for concurrent use.
package kqshed

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"kumquatlink/core/kqadmit"
)

// Constants of the table.
const (
	// ThresholdTTL is how long a cut that was heard is held.
	ThresholdTTL = time.Second
	// AskPeriod is the silence after which a service is asked for its cuts.
	AskPeriod = 200 * time.Millisecond
	// minHeard is how many upstreams, if there are so many, must have been
	// heard of before a call is refused by what they said.
	minHeard = 2
	// callsLife is how long it is remembered that a class calls a service.
	callsLife = time.Minute
	// callsShare is how many onward calls to a service each run of a class
	// must make on average: requests of which fewer than half call it are not
	// refused for it, nor those that were taken for the makers of a few calls
	// by mistake.
	callsShare = 0.5
	// shutLife is how long an open cut is still told of after it was not open.
	shutLife = 2 * time.Second
	// MaxClasses bounds the classes of which one answer tells.
	MaxClasses = 64
	// pruneAt is how many entries a map may have before old ones are dropped.
	pruneAt = 256
)

// ClassThreshold is the strictest cut behind a gate for a class.
type ClassThreshold struct {
	Class string
	Level kqadmit.Level
	// Service is the one whose gate set the cut.
	Service string
	// Age is how long ago the gate that set the cut told of it. Each hop adds
	// the time that it held the cut, so that a cut that is passed on around a
	// cycle of services dies at the age of Life like any other.
	Age time.Duration
}

// Answer is what the answer of a gate told.
type Answer struct {
	Service  string
	Upstream string
	// Cut is the gate's own cut, and Deep what it knows of those behind it.
	Cut  kqadmit.Level
	Deep []ClassThreshold
}

// Reason is the cut for which a call is refused.
type Reason struct {
	// Service is the one whose gate set the cut, and Age how long ago it told
	// of it.
	Service string
	Age     time.Duration
}

// Call is a call that is about to be sent.
type Call struct {
	Service string
	Class   string
	// Level is the call's own, and Started that of its onward calls.
	Level       kqadmit.Level
	OnwardLevel kqadmit.Level
	// Upstreams is how many upstreams the service has.
	Upstreams int
}

// Table is what one entry has heard.
type Table struct {
	services map[string]*service
	// runs counts the runs of each class at this node's backend server, and
	// calls the onward calls that they made to each service.
	runs  map[string]tally
	calls map[onward]tally
	// shut is when a class's deep cut was last not open.
	shut map[string]time.Duration
}

type onward struct {
	class   string
	service string
}

// tally counts events that fade over [callsLife].
type tally struct {
	count float64
	at    time.Duration
}

// value is what is left of the count.
func (c tally) value(now time.Duration) float64 {
	return c.count * math.Exp(-float64(now-c.at)/float64(callsLife))
}

// next is the tally with one event more.
func (c tally) next(now time.Duration) tally {
	return tally{c.value(now) + 1, now}
}

// service is what was heard of one service.
type service struct {
	// cuts holds the cuts of its upstreams, and last the newest of them.
	cuts map[string]held
	last held
	// deep holds the newest deep cut of each class.
	deep map[string]held
	// asked is when an answer last came or was asked for.
	asked time.Duration
}

// held is a cut and when it was heard.
type held struct {
	level kqadmit.Level
	at    time.Duration
	// service is the one whose gate set the cut.
	service string
}

func (h held) reason(now time.Duration) Reason {
	return Reason{Service: h.service, Age: now - h.at}
}

func (h held) fresh(now time.Duration) bool {
	return now-h.at < ThresholdTTL
}

// New makes an empty table.
func New() *Table {
	return &Table{services: map[string]*service{}, runs: map[string]tally{}, calls: map[onward]tally{}, shut: map[string]time.Duration{}}
}

// RecordAnswer takes what an answer told.
func (t *Table) RecordAnswer(now time.Duration, a Answer) {
	s, found := t.services[a.Service]
	if !found {
		s = &service{cuts: map[string]held{}, deep: map[string]held{}}
		t.services[a.Service] = s
	}
	s.last = held{a.Cut, now, a.Service}
	s.cuts[a.Upstream] = s.last
	s.asked = now
	for _, d := range a.Deep[:min(len(a.Deep), MaxClasses)] {
		s.deep[d.Class] = held{d.Level, now - max(0, d.Age), d.Service}
	}
	prune(s.cuts, now)
	prune(s.deep, now)
}

// RecordRun counts a run of the class at this node's backend server. A table that
// is told of no runs takes every onward call as proof that its class makes it.
func (t *Table) RecordRun(now time.Duration, class string) {
	t.runs[class] = t.runs[class].next(now)
	if len(t.runs) > pruneAt {
		maps.DeleteFunc(t.runs, func(_ string, c tally) bool { return now-c.at >= callsLife })
	}
}

// RecordCall counts a call to a service that a run of the class at this node's
// backend server makes, whether it is sent or refused.
func (t *Table) RecordCall(now time.Duration, class, service string) {
	o := onward{class, service}
	t.calls[o] = t.calls[o].next(now)
	if len(t.calls) > pruneAt {
		maps.DeleteFunc(t.calls, func(_ onward, c tally) bool { return now-c.at >= callsLife })
	}
}

// needs is whether the runs of a class call the service as a rule.
func (t *Table) needs(now time.Duration, o onward) bool {
	calls := t.calls[o]
	return now-calls.at < callsLife && calls.value(now) >= callsShare*t.runs[o.class].value(now)
}

func prune(cuts map[string]held, now time.Duration) {
	if len(cuts) > pruneAt {
		maps.DeleteFunc(cuts, func(_ string, h held) bool { return !h.fresh(now) })
	}
}

// Refuses is whether every upstream that was heard of lately would refuse the
// call, or each would begin it and a deeper service refuse the request, and for
// which cut.
func (t *Table) Refuses(now time.Duration, c Call) (Reason, bool) {
	s, found := t.services[c.Service]
	if !found {
		return Reason{}, false
	}
	if c.Level > s.loosest(now, max(1, min(minHeard, c.Upstreams))) {
		return s.last.reason(now), true
	}
	deep, heard := s.deep[c.Class]
	if heard && deep.fresh(now) && c.OnwardLevel > deep.level {
		return deep.reason(now), true
	}
	return Reason{}, false
}

// RefusesDownstream is whether a service that is called onward for the class would
// refuse a request whose onward calls have the level, and for which cut.
func (t *Table) RefusesDownstream(now time.Duration, class string, started kqadmit.Level) (Reason, bool) {
	for o := range t.calls {
		if o.class != class || !t.needs(now, o) {
			continue
		}
		s, found := t.services[o.service]
		if !found {
			continue
		}
		if h, known := s.behind(now, class); known && started > h.level {
			return h.reason(now), true
		}
	}
	return Reason{}, false
}

// loosest gives the loosest fresh cut of the service's upstreams, or an open
// one when fewer than needed were heard of.
func (s *service) loosest(now time.Duration, needed int) kqadmit.Level {
	heard, cut := 0, kqadmit.Level(0)
	for _, h := range s.cuts {
		if h.fresh(now) {
			heard++
			cut = max(cut, h.level)
		}
	}
	if heard < needed {
		return kqadmit.AdmitAll
	}
	return cut
}

// DownstreamThresholds lists the strictest cuts among the services that each class calls
// onward and those behind them, of the classes for which one is not open or
// was not a little while ago.
func (t *Table) DownstreamThresholds(now time.Duration) []ClassThreshold {
	strictest := map[string]held{}
	for o := range t.calls {
		if !t.needs(now, o) {
			continue
		}
		s, found := t.services[o.service]
		if !found {
			continue
		}
		h, known := s.behind(now, o.class)
		if !known {
			continue
		}
		if other, found := strictest[o.class]; !found || h.level < other.level {
			strictest[o.class] = h
		}
	}
	var cuts []ClassThreshold
	for class, h := range strictest {
		if t.tells(now, class, h.level) && len(cuts) < MaxClasses {
			cuts = append(cuts, ClassThreshold{class, h.level, h.service, now - h.at})
		}
	}
	slices.SortFunc(cuts, func(a, b ClassThreshold) int { return strings.Compare(a.Class, b.Class) })
	return cuts
}

// tells is whether the cut of a class is worth telling of.
func (t *Table) tells(now time.Duration, class string, level kqadmit.Level) bool {
	if level != kqadmit.AdmitAll {
		t.shut[class] = now
		return true
	}
	at, found := t.shut[class]
	if found && now-at >= shutLife {
		delete(t.shut, class)
		return false
	}
	return found
}

// behind gives the newest cut of the service or behind it for a class.
func (s *service) behind(now time.Duration, class string) (held, bool) {
	if !s.last.fresh(now) {
		return held{}, false
	}
	if deep, found := s.deep[class]; found && deep.fresh(now) && deep.level < s.last.level {
		return deep, true
	}
	return s.last, true
}

// StaleServices lists the services that hold calls back and of which nothing was
// heard for a while. Whoever takes the list asks each for its cuts.
func (t *Table) StaleServices(now time.Duration) []string {
	var names []string
	for name, s := range t.services {
		if now-s.asked >= AskPeriod && s.holdsBack(now) {
			s.asked = now
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// holdsBack is whether any fresh cut of the service is not open.
func (s *service) holdsBack(now time.Duration) bool {
	shut := func(h held) bool { return h.fresh(now) && h.level != kqadmit.AdmitAll }
	if shut(s.last) {
		return true
	}
	for _, h := range s.deep {
		if shut(h) {
			return true
		}
	}
	return s.loosest(now, minHeard) != kqadmit.AdmitAll
}
