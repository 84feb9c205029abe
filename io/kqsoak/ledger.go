package kqsoak

import (
	"fmt"
	"sync"
	"time"
)

// maxBroken bounds the broken promises that are kept.
const maxBroken = 20

// record is what is known of one request.
type record struct {
	runOnce bool
	runs    int
	// refused is whether its caller was told that it was not run.
	refused bool
}

// ledger holds what callers and backend servers saw of every request.
type ledger struct {
	mutex    sync.Mutex
	next     int
	records  map[string]*record
	answers  map[int]int
	requests int
	runs     int
	broken   []string
	// disturbed is until when connections may break without a promise broken.
	disturbed time.Time
}

func newLedger() *ledger {
	return &ledger{records: map[string]*record{}, answers: map[int]int{}}
}

// newID makes the ID of a request.
func (l *ledger) newID(kind string) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.next++
	return fmt.Sprintf("%s-%d", kind, l.next)
}

func (l *ledger) at(id string) *record {
	r, found := l.records[id]
	if !found {
		r = &record{}
		l.records[id] = r
	}
	return r
}

// sent notes a request that a caller sends.
func (l *ledger) sent(id string, runOnce bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.requests++
	l.at(id).runOnce = runOnce
}

// ran notes that a backend server began a request.
func (l *ledger) ran(id, server string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs++
	r := l.at(id)
	r.runs++
	if r.refused {
		l.add("%s ran at %s after its caller was told that it was not run", id, server)
	}
	if r.runOnce && r.runs > 1 {
		l.add("%s, which must not run twice, ran %d times, last at %s", id, r.runs, server)
	}
}

// answered notes what a caller got.
func (l *ledger) answered(id string, status int, promisesNotRun bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answers[status]++
	if !promisesNotRun {
		return
	}
	r := l.at(id)
	r.refused = true
	if r.runs > 0 {
		l.add("%s was answered %d, and had run %d times", id, status, r.runs)
	}
}

// ranOften is how often a request has run.
func (l *ledger) ranOften(id string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.at(id).runs
}

// disturb says that connections may break until then.
func (l *ledger) disturb(until time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if until.After(l.disturbed) {
		l.disturbed = until
	}
}

// isDisturbed is whether connections may have broken since then.
func (l *ledger) isDisturbed(since time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return since.Before(l.disturbed)
}

// broke notes a broken promise.
func (l *ledger) broke(format string, values ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.add(format, values...)
}

func (l *ledger) add(format string, values ...any) {
	if len(l.broken) < maxBroken {
		l.broken = append(l.broken, fmt.Sprintf(format, values...))
	}
}

func (l *ledger) report() *Report {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return &Report{Requests: l.requests, Answers: l.answers, Runs: l.runs, Broken: l.broken}
}
