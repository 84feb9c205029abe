package kqsoak

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// maxViolations bounds the number of violations that are kept.
const maxViolations = 20

// record holds what was observed of one request.
type record struct {
	runOnce bool
	runs    int
	// refused reports whether its caller was told that it was not run.
	refused bool
	// fromRepeat reports whether it is an onward call of a repeated run, and
	// arrived whether a backend server has received it.
	fromRepeat bool
	arrived    bool
	// origin is the host whose node its caller sent it to.
	origin *host
	// key is the key that its caller sent, and sentAt when.
	key    string
	sentAt time.Time
}

// arrival is a request that was sent to a service, or that one of its backend
// servers received.
type arrival struct {
	at      time.Time
	service string
	// repeat reports whether it counts towards the bound on repeats.
	repeat bool
}

// ledger records what callers and backend servers observe of every request, and
// the guarantees that this violates.
type ledger struct {
	mutex      sync.Mutex
	next       int
	records    map[string]*record
	answers    map[int]int
	requests   int
	runs       int
	violations []string
	// lossAllowedUntil is the time until which an injected fault may break
	// connections, so that a lost answer violates no guarantee.
	lossAllowedUntil time.Time
	// sends are the requests that were sent, and arrivals those that backend
	// servers received, each ordered by time.
	sends    []arrival
	arrivals []arrival
}

func newLedger() *ledger {
	return &ledger{records: map[string]*record{}, answers: map[int]int{}}
}

// newID returns a new request ID.
func (l *ledger) newID(kind string) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.next++
	return fmt.Sprintf("%s-%d", kind, l.next)
}

// recordOf returns the record of a request, and creates it if there is none.
func (l *ledger) recordOf(id string) *record {
	r, found := l.records[id]
	if !found {
		r = &record{}
		l.records[id] = r
	}
	return r
}

// recordSent records a request that a caller sends.
func (l *ledger) recordSent(c call) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.requests++
	r := l.recordOf(c.id)
	r.runOnce, r.fromRepeat, r.origin, r.key, r.sentAt = c.runOnce, c.fromRepeat, c.origin, c.key, time.Now()
	l.sends = append(l.sends, arrival{at: time.Now(), service: c.service})
}

// recordArrival records that a backend server received a request, and reports
// whether that was a repeat. Onward calls of a repeated run are repeats as well.
func (l *ledger) recordArrival(id, service string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r := l.recordOf(id)
	repeat := r.arrived || r.fromRepeat
	r.arrived = true
	l.arrivals = append(l.arrivals, arrival{at: time.Now(), service: service, repeat: repeat})
	return repeat
}

// keyOf returns the key that the caller of a request sent, and when.
func (l *ledger) keyOf(id string) (key string, sentAt time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r := l.recordOf(id)
	return r.key, r.sentAt
}

// originOf returns the host whose node a request was sent to, or nil.
func (l *ledger) originOf(id string) *host {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.recordOf(id).origin
}

// checkRepeats records a violation for each service whose repeats exceed slack
// plus ratio times the requests sent, in any window that ends with a repeat.
func (l *ledger) checkRepeats(ratio, slack float64, window time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, service := range services {
		otherService := func(a arrival) bool { return a.service != service }
		sends := slices.DeleteFunc(slices.Clone(l.sends), otherService)
		repeats := slices.DeleteFunc(slices.Clone(l.arrivals), func(a arrival) bool { return otherService(a) || !a.repeat })
		for i, last := range repeats {
			from := last.at.Add(-window)
			n := i + 1 - indexSince(repeats[:i+1], from)
			requests := len(sends[indexSince(sends, from):indexSince(sends, last.at)])
			if bound := ratio*float64(requests) + slack; float64(n) > bound {
				l.addViolation("%s got %d repeats within %s of %d requests, more than %.0f", service, n, window, requests, bound)
				break
			}
		}
	}
}

// indexSince returns the index of the first arrival that is not before a time.
func indexSince(list []arrival, at time.Time) int {
	i, _ := slices.BinarySearchFunc(list, at, func(a arrival, at time.Time) int { return cmp.Compare(a.at.Sub(at), 0) })
	return i
}

// recordRun records that a backend server began a request.
func (l *ledger) recordRun(id, server string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs++
	r := l.recordOf(id)
	r.runs++
	if r.refused {
		l.addViolation("%s ran at %s after its caller was told that it was not run", id, server)
	}
	if r.runOnce && r.runs > 1 {
		l.addViolation("%s, which must not run twice, ran %d times, last at %s", id, r.runs, server)
	}
}

// recordAnswer records the answer of a caller. saysNotRun reports whether it
// says that the request was not run.
func (l *ledger) recordAnswer(id string, status int, saysNotRun bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answers[status]++
	if !saysNotRun {
		return
	}
	r := l.recordOf(id)
	r.refused = true
	if r.runs > 0 {
		l.addViolation("%s was answered %d, which says that it was not run, but had run %d times", id, status, r.runs)
	}
}

// runCount returns how often a request has run.
func (l *ledger) runCount(id string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.recordOf(id).runs
}

// allowLoss allows connections to break until the given time.
func (l *ledger) allowLoss(until time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if until.After(l.lossAllowedUntil) {
		l.lossAllowedUntil = until
	}
}

// isLossAllowed reports whether connections may have broken since a time.
func (l *ledger) isLossAllowed(since time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return since.Before(l.lossAllowedUntil)
}

// recordViolation records a violated guarantee.
func (l *ledger) recordViolation(format string, values ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.addViolation(format, values...)
}

func (l *ledger) addViolation(format string, values ...any) {
	if len(l.violations) < maxViolations {
		l.violations = append(l.violations, fmt.Sprintf(format, values...))
	}
}

func (l *ledger) report() *Report {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r := &Report{Requests: l.requests, Answers: l.answers, Runs: l.runs, Broken: l.violations}
	for _, a := range l.arrivals {
		if a.repeat {
			r.Repeats++
		}
	}
	return r
}
