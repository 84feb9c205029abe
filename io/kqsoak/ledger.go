package kqsoak

import (
	"cmp"
	"fmt"
	"slices"
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
	// inherited is whether it was made by a run that was itself a repeat, and
	// arrived whether a backend server was handed it.
	inherited bool
	arrived   bool
}

// arrival is a request that was sent to a service, or handed to one of its
// backend servers.
type arrival struct {
	at      time.Time
	service string
	// repeat is whether it counts towards the bound of repeats.
	repeat bool
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
	// asked are the requests that were sent, and handed what arrived at
	// backend servers, each in the order of time.
	asked  []arrival
	handed []arrival
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
func (l *ledger) sent(c call) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.requests++
	r := l.at(c.id)
	r.runOnce, r.inherited = c.runOnce, c.inherited
	l.asked = append(l.asked, arrival{at: time.Now(), service: c.service})
}

// arrived notes that a backend server was handed a request, and says whether
// that was a repeat. Calls that a repeated run makes are repeats as well.
func (l *ledger) arrived(id, service string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r := l.at(id)
	repeat := r.arrived || r.inherited
	r.arrived = true
	l.handed = append(l.handed, arrival{at: time.Now(), service: service, repeat: repeat})
	return repeat
}

// checkRepeats holds the repeats of each service against the bound, in windows
// that end with each of them.
func (l *ledger) checkRepeats(ratio, slack float64, window time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, service := range services {
		of := func(a arrival) bool { return a.service != service }
		asked := slices.DeleteFunc(slices.Clone(l.asked), of)
		repeats := slices.DeleteFunc(slices.Clone(l.handed), func(a arrival) bool { return of(a) || !a.repeat })
		for i, last := range repeats {
			from := last.at.Add(-window)
			n := i + 1 - since(repeats[:i+1], from)
			requests := len(asked[since(asked, from):since(asked, last.at)])
			if bound := ratio*float64(requests) + slack; float64(n) > bound {
				l.add("%s got %d repeats within %s of %d requests, more than %.0f", service, n, window, requests, bound)
				break
			}
		}
	}
}

// since is the index of the first arrival that is not before a time.
func since(list []arrival, at time.Time) int {
	i, _ := slices.BinarySearchFunc(list, at, func(a arrival, at time.Time) int { return cmp.Compare(a.at.Sub(at), 0) })
	return i
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
	r := &Report{Requests: l.requests, Answers: l.answers, Runs: l.runs, Broken: l.broken}
	for _, a := range l.handed {
		if a.repeat {
			r.Repeats++
		}
	}
	return r
}
