package kqmeasure

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqbackend"
)

// referenceRecovery is a reference implementation of recoveryTime: for each
// slice after the trigger it checks whether all later windows have recovered.
func referenceRecovery(totals []sliceTotal, s Scenario) time.Duration {
	var offered, inTime int
	for at := s.Warm; at < s.triggerStart(); at += sliceLength {
		offered += totals[at/sliceLength].Offered
		inTime += totals[at/sliceLength].InTime
	}
	if inTime == 0 {
		return s.After
	}
	good := func(at time.Duration) bool {
		var o, n int
		for i := range time.Duration(windowSlices) {
			o += totals[at/sliceLength+i].Offered
			n += totals[at/sliceLength+i].InTime
		}
		return float64(n) >= recoveredShare*float64(inTime)/float64(offered)*float64(o)
	}
	last := s.duration() - windowSlices*sliceLength
	for at := s.triggerEnd(); at <= last; at += sliceLength {
		lasts := true
		for later := at; later <= last; later += sliceLength {
			lasts = lasts && good(later)
		}
		if lasts {
			return at - s.triggerEnd()
		}
	}
	return s.After
}

func TestRecoveryTimeAgreesWithReferenceImplementation(t *testing.T) {
	s := testScenario()
	rapid.Check(t, func(r *rapid.T) {
		totals := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) sliceTotal {
			o := rapid.IntRange(0, 20).Draw(r, "offered")
			return sliceTotal{Offered: o, InTime: max(0, o-rapid.SampledFrom([]int{0, 0, 0, 1, 20}).Draw(r, "late"))}
		}), int(s.duration()/sliceLength), int(s.duration()/sliceLength)).Draw(r, "shares")
		if got, want := recoveryTime(totals, s), referenceRecovery(totals, s); got != want {
			r.Fatalf("recovery: got %v, want %v", got, want)
		}
	})
}

// drawTrial draws a trial with runs, sheds and refused onward calls of a few
// requests, whose IDs collide often.
func drawTrial(r *rapid.T, p Profile) *trial {
	tr := &trial{profile: p, scenario: testScenario(), startedAt: time.Unix(1_000_000, 0)}
	kinds := []string{"purchase", "download", "browse"}
	services := []string{"orders", "packs", "licensing"}
	for i := range rapid.IntRange(1, 30).Draw(r, "calls") {
		kind := rapid.SampledFrom(kinds).Draw(r, "kind")
		request := fmt.Sprintf("q%d", rapid.IntRange(0, 5).Draw(r, "request"))
		attemptID := fmt.Sprintf("%s.%d", request, rapid.IntRange(0, 2).Draw(r, "sending"))
		call := attemptID + fmt.Sprintf("-s%d.0", rapid.IntRange(0, 2).Draw(r, "call"))
		at := tr.startedAt.Add(time.Duration(rapid.IntRange(0, 400).Draw(r, "at")) * time.Millisecond)
		service := rapid.SampledFrom(services).Draw(r, "service")
		key := rapid.SampledFrom([]string{"", "k1", "k2"}).Draw(r, "key")
		run := backendRun{kqbackend.Run{RequestID: request, Class: kind, Key: key, At: at, Path: path(kind, "r.0", call)}, service, nil}
		if rapid.Bool().Draw(r, "root") {
			run.Path, run.Attempt = path(kind, "r", request+".0"), attemptID
		}
		switch i % 3 {
		case 0:
			tr.runs = append(tr.runs, run)
		case 1:
			tr.sheds = append(tr.sheds, run)
		default:
			cause := rapid.SampledFrom([]kqcall.Cause{kqcall.CauseShedGate, kqcall.CauseDisplaced, kqcall.CauseDraining}).Draw(r, "cause")
			tr.sends = append(tr.sends, kqbackend.Send{Call: kqbackend.Call{Service: service, Class: kind, RequestID: request, Path: run.Path}, Answer: notRunAnswer(cause), Ended: at})
		}
	}
	return tr
}

// referenceRetries is a reference implementation of maxBackendRetries: it
// compares every pair of tries.
func referenceRetries(tr *trial) int {
	all := append(append([]backendRun(nil), tr.runs...), tr.sheds...)
	most := 0
	for _, a := range all {
		attemptID := attemptIDOf(a.callID())
		retries := 0
		for i, b := range all {
			if attemptIDOf(b.callID()) != attemptID {
				continue
			}
			for _, c := range all[:i] {
				if c.callID() == b.callID() {
					retries++
					break
				}
			}
		}
		most = max(most, retries)
	}
	return most
}

// referenceShedOrderBreaks is a reference implementation of shedOrderBreaks: it
// compares every shed with every run.
func referenceShedOrderBreaks(tr *trial) int {
	breaks := 0
	for _, s := range tr.sends {
		if s.Call.Class != "purchase" || s.Answer.Cause == string(kqcall.CauseDraining) {
			continue
		}
		for _, r := range tr.runs {
			same := r.At.Sub(tr.startedAt)/shedWindow == s.Ended.Sub(tr.startedAt)/shedWindow
			if same && r.Service == s.Call.Service && r.Class != "purchase" {
				breaks++
				break
			}
		}
	}
	return breaks
}

// referenceRanTwice is a reference implementation of ranTwice: it looks for an
// earlier run of each key.
func referenceRanTwice(tr *trial) int {
	found := map[string]bool{}
	for i, r := range tr.runs {
		for _, s := range tr.runs[:i] {
			if r.Key != "" && s.Key == r.Key && s.Service == r.Service {
				found[r.Service+" "+r.Key] = true
			}
		}
	}
	return len(found)
}

// referenceNotRunButRan is a reference implementation of notRunButRan: it
// compares every refusal with every run.
func referenceNotRunButRan(tr *trial) int {
	n := 0
	for _, s := range tr.sends {
		for _, r := range tr.runs {
			if r.Attempt == callIDOf(s.Call.Path) || r.Attempt == "" && strings.HasSuffix(r.Path, "/"+callIDOf(s.Call.Path)) {
				n++
				break
			}
		}
	}
	return n
}

func TestCountsAgreeWithReferenceImplementations(t *testing.T) {
	p := testProfile(t)
	rapid.Check(t, func(r *rapid.T) {
		tr := drawTrial(r, p)
		for _, c := range []struct {
			name      string
			got, want int
		}{
			{"retries", tr.maxBackendRetries(), referenceRetries(tr)},
			{"shed order breaks", tr.shedOrderBreaks(), referenceShedOrderBreaks(tr)},
			{"ran twice", tr.ranTwice(), referenceRanTwice(tr)},
			{"not run but ran", tr.notRunButRan(), referenceNotRunButRan(tr)},
		} {
			if c.got != c.want {
				r.Fatalf("%s: got %d, want %d", c.name, c.got, c.want)
			}
		}
	})
}

func TestCapacityServesMostImportantKindFirst(t *testing.T) {
	p := testProfile(t)
	full := saturationRate(p)
	offered := map[string]float64{}
	for _, k := range p.Kinds {
		offered[k.Name] = k.Share * full
	}
	if got, want := sumRates(capacity(p, offered, 1)), full; got < want*0.999 || got > want*1.001 {
		t.Errorf("capacity at the full rate: got %.1f, want %.1f", got, want)
	}
	slow := capacity(p, offered, 3)
	if got, want := slow["purchase"], offered["purchase"]; got != want {
		t.Errorf("purchases carried while the deep service is slow: got %.1f, want %.1f", got, want)
	}
	if got, want := slow["browse"], 0.0; got > want+1e-9 {
		t.Errorf("browse requests carried while not all downloads are: got %.1f, want %.1f", got, want)
	}
}

func TestScheduleDependsOnlyOnSeed(t *testing.T) {
	p, s := testProfile(t), testScenario()
	first, again, other := newSchedule(p, s, 1), newSchedule(p, s, 1), newSchedule(p, s, 2)
	if got, want := fmt.Sprint(again), fmt.Sprint(first); got != want {
		t.Error("two schedules of one seed differ, want the same")
	}
	if fmt.Sprint(other) == fmt.Sprint(first) {
		t.Error("two seeds have the same schedule, want different ones")
	}
}
