package kqmeasure

import (
	"strings"
	"time"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqbackend"
)

// shedWindow is the length of the windows in which sheds are compared with
// starts of less important work.
const shedWindow = 100 * time.Millisecond

// callIDOf returns the call ID in a path.
func callIDOf(path string) string {
	p, _ := kqbackend.ParsePosition(path)
	return p.CallID
}

// callID returns the ID of the call that led to the run. It is the attempt's ID
// where a caller sent the same call several times, since the path is then the
// same for each attempt.
func (r backendRun) callID() string {
	if r.Attempt != "" {
		return r.Attempt
	}
	return callIDOf(r.Path)
}

// attemptIDOf returns the ID of the caller's attempt that a call belongs to.
func attemptIDOf(callID string) string {
	attemptID, _, _ := strings.Cut(callID, "-")
	return attemptID
}

// requestIDOf returns the ID of the request that a caller's attempt belongs to.
func requestIDOf(attemptID string) string {
	request, _, _ := strings.Cut(attemptID, ".")
	return request
}

// maxRetries returns the highest number of retries, over all hops, that one
// attempt of a caller led to. It is the greater of what the backend servers saw
// and what the nodes logged.
func (t *trial) maxRetries() int {
	return max(t.maxBackendRetries(), t.maxLoggedRetries())
}

// maxBackendRetries counts as tries the runs and the sheds of the backend
// servers.
func (t *trial) maxBackendRetries() int {
	tries := map[string]int{}
	for _, list := range [][]backendRun{t.runs, t.sheds} {
		for _, r := range list {
			tries[r.callID()]++
		}
	}
	retries := map[string]int{}
	highest := 0
	for id, n := range tries {
		retries[attemptIDOf(id)] += n - 1
		highest = max(highest, retries[attemptIDOf(id)])
	}
	return highest
}

// maxLoggedRetries counts the retries that the nodes logged. A request that its
// caller sent several times counts with the mean over these attempts, rounded
// up, since their log lines share the request ID.
func (t *trial) maxLoggedRetries() int {
	highest := 0
	for _, q := range t.roots {
		attempts := max(len(q.Attempts), 1)
		highest = max(highest, (t.retriesByRequest[q.ID]+attempts-1)/attempts)
	}
	return highest
}

// ranTwice counts the idempotency keys that a service ran more than once.
func (t *trial) ranTwice() int {
	type serviceKey struct{ service, key string }
	runs := map[serviceKey]int{}
	twice := 0
	for _, r := range t.runs {
		if r.Key == "" {
			continue
		}
		k := serviceKey{r.Service, r.Key}
		runs[k]++
		if runs[k] == 2 {
			twice++
		}
	}
	return twice
}

// notRunButRan counts calls that were answered "not run" although a backend
// server ran that very call.
func (t *trial) notRunButRan() int {
	ran := map[string]bool{}
	for _, r := range t.runs {
		ran[r.callID()] = true
	}
	n := 0
	count := func(id string, a kqbackend.Answer) {
		if a.Outcome == string(kqcall.OutcomeNotRun) && ran[id] {
			n++
		}
	}
	for _, q := range t.roots {
		for _, a := range q.Attempts {
			count(a.CallID, a.Answer)
		}
	}
	for _, s := range t.sends {
		count(callIDOf(s.Call.Path), s.Answer)
	}
	return n
}

// wrongAnswers counts answers that don't match their call, or only in part.
func (t *trial) wrongAnswers() int {
	n := 0
	for _, q := range t.roots {
		for _, a := range q.Attempts {
			if a.Wrong {
				n++
			}
		}
	}
	for _, s := range t.sends {
		if s.Wrong {
			n++
		}
	}
	return n
}

// drainFaults counts, on hosts that leave, the calls that were cut off before
// their request's target time was over, and the calls that began later than
// drainGrace after the announcement.
func (t *trial) drainFaults() (cut, late int) {
	deadlines := map[string]time.Time{}
	for _, q := range t.roots {
		deadlines[q.ID] = t.startedAt.Add(q.At + t.profile.targetTime(q.Kind))
	}
	for _, d := range t.leaving {
		for _, r := range t.runs {
			if r.host != d.host {
				continue
			}
			if r.At.After(d.at.Add(drainGrace)) {
				late++
			}
			if !r.Answered && r.Ended.After(d.at) && r.Ended.Before(deadlines[r.RequestID]) {
				cut++
			}
		}
	}
	return cut, late
}

// serviceWindow is one window of time at one service.
type serviceWindow struct {
	service string
	window  int64
}

func (t *trial) windowOf(service string, at time.Time) serviceWindow {
	return serviceWindow{service, int64(at.Sub(t.startedAt) / shedWindow)}
}

// shedOrderBreaks counts the calls of run-once classes that were shed while a
// call of a less important class began at the same service in the same window.
func (t *trial) shedOrderBreaks() int {
	ranks := t.profile.ranks()
	leastImportant := map[serviceWindow]int{}
	for _, r := range t.runs {
		m := t.windowOf(r.Service, r.At)
		leastImportant[m] = max(leastImportant[m], ranks[r.Class])
	}
	breaks := 0
	count := func(service, class string, a kqbackend.Answer, at time.Time) {
		if !t.profile.class(class).RunOnce || !shedCauses[a.Cause] {
			return
		}
		if leastImportant[t.windowOf(service, at)] > ranks[class] {
			breaks++
		}
	}
	for _, q := range t.roots {
		for _, a := range q.Attempts {
			count(t.profile.kind(q.Kind).Plan.Service, q.Kind, a.Answer, t.startedAt.Add(a.Ended))
		}
	}
	for _, s := range t.sends {
		count(s.Call.Service, s.Call.Class, s.Answer, s.Ended)
	}
	return breaks
}

// wastedWorkRatio returns the part of the backend servers' work that was done
// for requests that did not complete in time.
func (t *trial) wastedWorkRatio() float64 {
	good := map[string]bool{}
	for _, q := range t.roots {
		good[q.ID] = t.inTime(q)
	}
	var all, wasted time.Duration
	for _, r := range t.runs {
		all += r.Worked
		if !good[requestIDOf(attemptIDOf(callIDOf(r.Path)))] {
			wasted += r.Worked
		}
	}
	if all == 0 {
		return 0
	}
	return float64(wasted) / float64(all)
}
