package kqmeasure

import (
	"strings"
	"time"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqbackend"
)

// shedWindow is the time in which a shed and a start count as the same moment.
const shedWindow = 100 * time.Millisecond

// callOf gives the ID of the call that a path belongs to.
func callOf(path string) string {
	p, _ := kqbackend.ParsePosition(path)
	return p.CallID
}

// id gives the ID of the call that a run belongs to: that of its sending where
// the same call was sent again.
func (r served) id() string {
	if r.Attempt != "" {
		return r.Attempt
	}
	return callOf(r.Path)
}

// sendingOf gives the caller's sending that a call belongs to.
func sendingOf(callID string) string {
	sending, _, _ := strings.Cut(callID, "-")
	return sending
}

// requestOf gives the request that a caller's sending belongs to.
func requestOf(sending string) string {
	request, _, _ := strings.Cut(sending, ".")
	return request
}

// maxRetries is the most tries beyond one for each call over all hops that any
// sending led to: as the backend servers saw it, and as the nodes logged it.
func (t *trial) maxRetries() int {
	return max(t.maxSeenRetries(), t.maxLoggedRetries())
}

// maxSeenRetries counts runs and the backend servers' own refusals.
func (t *trial) maxSeenRetries() int {
	tries := map[string]int{}
	for _, list := range [][]served{t.runs, t.sheds} {
		for _, r := range list {
			tries[r.id()]++
		}
	}
	retries := map[string]int{}
	most := 0
	for id, n := range tries {
		retries[sendingOf(id)] += n - 1
		most = max(most, retries[sendingOf(id)])
	}
	return most
}

// maxLoggedRetries counts tries that the nodes logged beyond the first of each
// call. A request that was sent several times counts by the mean of its
// sendings, since their log lines share its ID.
func (t *trial) maxLoggedRetries() int {
	most := 0
	for _, q := range t.roots {
		of := max(len(q.Attempts), 1)
		most = max(most, (t.retried[q.ID]+of-1)/of)
	}
	return most
}

// ranTwice counts keys that a service ran more than once.
func (t *trial) ranTwice() int {
	type keyed struct{ service, key string }
	runs := map[keyed]int{}
	twice := 0
	for _, r := range t.runs {
		if r.Key == "" {
			continue
		}
		k := keyed{r.Service, r.Key}
		runs[k]++
		if runs[k] == 2 {
			twice++
		}
	}
	return twice
}

// notRunButRan counts calls whose maker was told "not run" although a backend
// server ran that very call.
func (t *trial) notRunButRan() int {
	ran := map[string]bool{}
	for _, r := range t.runs {
		ran[r.id()] = true
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
		count(callOf(s.Call.Path), s.Answer)
	}
	return n
}

// wrongAnswers counts answers that are not the whole one to their call.
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

// leavingFaults counts calls that leaving hosts cut off, though their request
// still had time, and calls that began there too late.
func (t *trial) leavingFaults() (cut, late int) {
	until := map[string]time.Time{}
	for _, q := range t.roots {
		until[q.ID] = t.begun.Add(q.At + t.profile.within(q.Kind))
	}
	for _, d := range t.leaving {
		for _, r := range t.runs {
			if r.owner != d.host {
				continue
			}
			if r.At.After(d.at.Add(leavingPatience)) {
				late++
			}
			if !r.Answered && r.Ended.After(d.at) && r.Ended.Before(until[r.RequestID]) {
				cut++
			}
		}
	}
	return cut, late
}

// moment is a service in one window of time.
type moment struct {
	service string
	window  int64
}

func (t *trial) momentOf(service string, at time.Time) moment {
	return moment{service, int64(at.Sub(t.begun) / shedWindow)}
}

// shedOrderBreaks counts sheds of work that must not be repeated, at a service
// where less important work began in the same window.
func (t *trial) shedOrderBreaks() int {
	ranks := t.profile.ranks()
	least := map[moment]int{}
	for _, r := range t.runs {
		m := t.momentOf(r.Service, r.At)
		least[m] = max(least[m], ranks[r.Class])
	}
	breaks := 0
	count := func(service, class string, a kqbackend.Answer, at time.Time) {
		if !t.profile.class(class).RunOnce || !shedCauses[a.Cause] {
			return
		}
		if least[t.momentOf(service, at)] > ranks[class] {
			breaks++
		}
	}
	for _, q := range t.roots {
		for _, a := range q.Attempts {
			count(t.profile.kind(q.Kind).Plan.Service, q.Kind, a.Answer, t.begun.Add(a.Ended))
		}
	}
	for _, s := range t.sends {
		count(s.Call.Service, s.Call.Class, s.Answer, s.Ended)
	}
	return breaks
}

// wastedWork is the part of all work done for requests that did not complete
// in time.
func (t *trial) wastedWork() float64 {
	good := map[string]bool{}
	for _, q := range t.roots {
		good[q.ID] = t.inTime(q)
	}
	var all, wasted time.Duration
	for _, r := range t.runs {
		all += r.Worked
		if !good[requestOf(sendingOf(callOf(r.Path)))] {
			wasted += r.Worked
		}
	}
	if all == 0 {
		return 0
	}
	return float64(wasted) / float64(all)
}
