// Package kqshed decides at an entry, the part of a node that takes calls and
// routes them, which calls are refused before they are sent (load shedding at the
// caller). It uses the admission thresholds that gates report with their answers;
// a gate is the part of a node that admits calls to the node's own backend server.
//
// # Usage
//
// An entry keeps one [Table]. It records every answer in the table, and consults
// the table before it sends a call:
//
//	table := kqshed.New()
//	table.RecordRun(now, "browse") // the own backend server begins a call
//	table.RecordCall(now, "browse", "orders") // and calls another service
//	table.RecordAnswer(now, kqshed.Answer{Service: "orders", Upstream: "orders-1", Cut: threshold, Deep: downstream})
//	if reason, refuses := table.Refuses(now, call); refuses { ... }
//	for _, service := range table.StaleServices(now) { ... } // ask one of its gates
//
// A gate reports [Table.DownstreamThresholds] with its answers: for each class,
// the strictest threshold among the services that its backend server calls for
// the class. An entry therefore knows the thresholds of the whole call chain, and no
// work is begun for a request that a service further down would shed.
//
// A threshold expires after [ThresholdTTL]. While calls are refused, few answers
// arrive to refresh it; [Table.StaleServices] lists the services to ask for their
// thresholds. Times are durations since an arbitrary start. A Table is not safe
// for concurrent use.
package kqshed

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"kumquatlink/core/kqadmit"
)

// Bounds and lifetimes of what a table records.
const (
	// ThresholdTTL is how long a reported threshold is used.
	ThresholdTTL = time.Second
	// AskPeriod is the time without an answer after which a service is asked
	// for its thresholds.
	AskPeriod = 200 * time.Millisecond
	// minReports is how many upstreams of a service, if it has that many, must
	// have reported a threshold before calls are refused by their thresholds.
	minReports = 2
	// minOwnReports is the same while any of these thresholds comes from a limit
	// of its upstream alone: a call is sent to that many upstreams at most.
	minOwnReports = 4
	// callsDecay is the time constant of the counts of runs and onward calls. A
	// class counts as calling a service for this long after its last call to it.
	callsDecay = time.Minute
	// minCallsPerRun is how many onward calls to a service a run of a class must
	// make on average for the service's threshold to apply to the class. A class
	// whose requests call the service less than half of the time is not refused
	// for it, nor is one to which a few calls were attributed by mistake.
	minCallsPerRun = 0.5
	// openReportTime is how long AdmitAll is still reported for a class after
	// its last lower threshold.
	openReportTime = 2 * time.Second
	// MaxClasses bounds the classes whose thresholds one answer reports.
	MaxClasses = 64
	// pruneAt is the size of a map above which old entries are dropped.
	pruneAt = 256
)

// ClassThreshold is the strictest threshold downstream of a gate for a class.
type ClassThreshold struct {
	Class string
	Level kqadmit.Level
	// Service is the service whose gate set the threshold.
	Service string
	// Age is the time since the gate that set the threshold reported it. Every
	// hop adds the time for which it held the threshold, so that one that is
	// passed on around a cycle of services still expires at ThresholdTTL.
	Age time.Duration
}

// Answer holds the thresholds that an answer of a gate reported.
type Answer struct {
	Service  string
	Upstream string
	// Cut is the threshold of the gate itself, and Deep the thresholds of the
	// services downstream of it.
	Cut  kqadmit.Level
	Deep []ClassThreshold
	// OwnCut reports whether Cut comes from a limit of this upstream alone, so
	// that it says nothing about the other upstreams.
	OwnCut bool
	// Upstreams is how many upstreams the service has, if any OwnCut is set.
	Upstreams int
}

// Reason identifies the threshold for which a call is refused.
type Reason struct {
	// Service is the service whose gate set the threshold, and Age the time
	// since that gate reported it.
	Service string
	Age     time.Duration
}

// Call is a call that is about to be sent.
type Call struct {
	Service string
	Class   string
	// Level is the level of the call, and OnwardLevel that of its onward calls.
	Level       kqadmit.Level
	OnwardLevel kqadmit.Level
	// Upstreams is how many upstreams the service has.
	Upstreams int
}

// Table holds the thresholds that were reported to one entry.
type Table struct {
	services map[string]*service
	// runs counts the runs of each class at this node's backend server, and
	// calls the onward calls that these made to each service.
	runs  map[string]decayingCount
	calls map[onward]decayingCount
	// lastClosed is when the downstream threshold of a class was last below
	// AdmitAll.
	lastClosed map[string]time.Duration
}

// onward identifies the onward calls that runs of a class make to a service.
type onward struct {
	class   string
	service string
}

// decayingCount counts events, with an exponential decay over callsDecay.
type decayingCount struct {
	count float64
	at    time.Duration
}

// value returns the decayed count.
func (c decayingCount) value(now time.Duration) float64 {
	return c.count * math.Exp(-float64(now-c.at)/float64(callsDecay))
}

// next returns the count with one more event.
func (c decayingCount) next(now time.Duration) decayingCount {
	return decayingCount{c.value(now) + 1, now}
}

// service holds the thresholds reported for one service.
type service struct {
	// thresholds holds the latest threshold of each upstream, and last the
	// latest of all of them.
	thresholds map[string]report
	last       report
	// downstream holds the latest downstream threshold of each class.
	downstream map[string]report
	// asked is when an answer last arrived or was last asked for.
	asked time.Duration
	// upstreams is how many upstreams the service had at the last answer.
	upstreams int
}

// report is a threshold and when its gate reported it.
type report struct {
	level kqadmit.Level
	at    time.Duration
	// service is the service whose gate set the threshold.
	service string
	// own reports whether the threshold comes from a limit of one upstream.
	own bool
}

func (r report) reason(now time.Duration) Reason {
	return Reason{Service: r.service, Age: now - r.at}
}

func (r report) fresh(now time.Duration) bool {
	return now-r.at < ThresholdTTL
}

// New returns an empty table.
func New() *Table {
	return &Table{services: map[string]*service{}, runs: map[string]decayingCount{}, calls: map[onward]decayingCount{}, lastClosed: map[string]time.Duration{}}
}

// RecordAnswer records the thresholds that an answer reported.
func (t *Table) RecordAnswer(now time.Duration, a Answer) {
	s, found := t.services[a.Service]
	if !found {
		s = &service{thresholds: map[string]report{}, downstream: map[string]report{}}
		t.services[a.Service] = s
	}
	s.last = report{a.Cut, now, a.Service, a.OwnCut}
	s.upstreams = a.Upstreams
	s.thresholds[a.Upstream] = s.last
	s.asked = now
	for _, d := range a.Deep[:min(len(a.Deep), MaxClasses)] {
		s.downstream[d.Class] = report{d.Level, now - max(0, d.Age), d.Service, false}
	}
	prune(s.thresholds, now)
	prune(s.downstream, now)
}

// RecordRun counts a run of the class at this node's backend server. For a class
// without recorded runs, the table assumes that every run makes the recorded
// onward calls.
func (t *Table) RecordRun(now time.Duration, class string) {
	t.runs[class] = t.runs[class].next(now)
	if len(t.runs) > pruneAt {
		maps.DeleteFunc(t.runs, func(_ string, c decayingCount) bool { return now-c.at >= callsDecay })
	}
}

// RecordCall counts an onward call to a service that a run of the class at this
// node's backend server makes, whether the call is sent or refused.
func (t *Table) RecordCall(now time.Duration, class, service string) {
	o := onward{class, service}
	t.calls[o] = t.calls[o].next(now)
	if len(t.calls) > pruneAt {
		maps.DeleteFunc(t.calls, func(_ onward, c decayingCount) bool { return now-c.at >= callsDecay })
	}
}

// applies reports whether runs of the class call the service often enough for its
// threshold to apply to the class.
func (t *Table) applies(now time.Duration, o onward) bool {
	calls := t.calls[o]
	return now-calls.at < callsDecay && calls.value(now) >= minCallsPerRun*t.runs[o.class].value(now)
}

// prune drops the expired reports of a map that has grown beyond pruneAt.
func prune(reports map[string]report, now time.Duration) {
	if len(reports) > pruneAt {
		maps.DeleteFunc(reports, func(_ string, r report) bool { return !r.fresh(now) })
	}
}

// Refuses reports whether the call is refused, and for which threshold. That is
// so if its level lies above every fresh threshold of the service's upstreams, of
// which there must be minReports, or fewer if the service has fewer upstreams. It
// is also so if a service further downstream would refuse the onward calls.
func (t *Table) Refuses(now time.Duration, c Call) (Reason, bool) {
	s, found := t.services[c.Service]
	if !found {
		return Reason{}, false
	}
	if c.Level > s.highest(now, max(1, min(minReports, c.Upstreams))) {
		return s.last.reason(now), true
	}
	downstream, found := s.downstream[c.Class]
	if found && downstream.fresh(now) && c.OnwardLevel > downstream.level {
		return downstream.reason(now), true
	}
	return Reason{}, false
}

// RefusesDownstream reports whether a service that runs of the class call, or one
// downstream of it, would refuse onward calls of the given level, and for which
// threshold.
func (t *Table) RefusesDownstream(now time.Duration, class string, onwardLevel kqadmit.Level) (Reason, bool) {
	for o := range t.calls {
		if o.class != class || !t.applies(now, o) {
			continue
		}
		s, found := t.services[o.service]
		if !found {
			continue
		}
		if r, known := s.strictest(now, class); known && onwardLevel > r.level {
			return r.reason(now), true
		}
	}
	return Reason{}, false
}

// highest returns the highest fresh threshold of the service's upstreams, or
// AdmitAll when fewer than needed have a fresh one. If one comes from a limit of
// its upstream alone, minOwnReports are needed, or all upstreams if there are
// fewer.
func (s *service) highest(now time.Duration, needed int) kqadmit.Level {
	reported, threshold, own := 0, kqadmit.Level(0), false
	for _, r := range s.thresholds {
		if r.fresh(now) {
			reported++
			threshold = max(threshold, r.level)
			own = own || r.own
		}
	}
	if own {
		needed = max(needed, min(minOwnReports, s.upstreams))
	}
	if reported < needed {
		return kqadmit.AdmitAll
	}
	return threshold
}

// DownstreamThresholds returns, for each class, the strictest threshold among the
// services that runs of the class call and those downstream of them, sorted by
// class. Classes whose threshold has been AdmitAll for a while are left out, and
// at most MaxClasses are returned.
func (t *Table) DownstreamThresholds(now time.Duration) []ClassThreshold {
	byClass := map[string]report{}
	for o := range t.calls {
		if !t.applies(now, o) {
			continue
		}
		s, found := t.services[o.service]
		if !found {
			continue
		}
		r, known := s.strictest(now, o.class)
		if !known {
			continue
		}
		if other, found := byClass[o.class]; !found || r.level < other.level {
			byClass[o.class] = r
		}
	}
	var thresholds []ClassThreshold
	for class, r := range byClass {
		if t.shouldReport(now, class, r.level) && len(thresholds) < MaxClasses {
			thresholds = append(thresholds, ClassThreshold{class, r.level, r.service, now - r.at})
		}
	}
	slices.SortFunc(thresholds, func(a, b ClassThreshold) int { return strings.Compare(a.Class, b.Class) })
	return thresholds
}

// shouldReport reports whether the threshold of a class is reported: it is below
// AdmitAll, or was so within openReportTime.
func (t *Table) shouldReport(now time.Duration, class string, level kqadmit.Level) bool {
	if level != kqadmit.AdmitAll {
		t.lastClosed[class] = now
		return true
	}
	at, found := t.lastClosed[class]
	if found && now-at >= openReportTime {
		delete(t.lastClosed, class)
		return false
	}
	return found
}

// strictest returns the lower of the service's latest threshold and the latest one
// downstream of it for a class. A threshold from a limit of one upstream counts as
// far as the other upstreams have one too.
func (s *service) strictest(now time.Duration, class string) (report, bool) {
	if !s.last.fresh(now) {
		return report{}, false
	}
	latest := s.last
	if latest.own {
		latest.level = s.highest(now, minReports)
	}
	if downstream, found := s.downstream[class]; found && downstream.fresh(now) && downstream.level < latest.level {
		return downstream, true
	}
	return latest, true
}

// StaleServices returns the names of the services that have a threshold below
// AdmitAll and neither answered nor were asked within AskPeriod. The table assumes
// that the caller asks each of them for its thresholds.
func (t *Table) StaleServices(now time.Duration) []string {
	var names []string
	for name, s := range t.services {
		if now-s.asked >= AskPeriod && s.refusesAny(now) {
			s.asked = now
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// refusesAny reports whether any fresh threshold of the service is below AdmitAll.
func (s *service) refusesAny(now time.Duration) bool {
	closed := func(r report) bool { return r.fresh(now) && r.level != kqadmit.AdmitAll }
	if closed(s.last) {
		return true
	}
	for _, r := range s.downstream {
		if closed(r) {
			return true
		}
	}
	return s.highest(now, minReports) != kqadmit.AdmitAll
}
