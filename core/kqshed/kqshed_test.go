package kqshed_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"kumquatlink/core/kqadmit"
	"kumquatlink/core/kqshed"
)

// recordedAnswer is an answer and when it arrived.
type recordedAnswer struct {
	at time.Duration
	kqshed.Answer
}

// referenceTable is a reference implementation of Refuses that searches all
// answers.
type referenceTable []recordedAnswer

func (n referenceTable) refuses(now time.Duration, c kqshed.Call) bool {
	latest := map[string]recordedAnswer{}
	var deep *recordedAnswer
	for _, h := range n {
		if h.Service != c.Service || now-h.at >= kqshed.ThresholdTTL {
			continue
		}
		latest[h.Upstream] = h
		for _, d := range h.Deep {
			if d.Class == c.Class {
				deep = &recordedAnswer{at: h.at - d.Age, Answer: kqshed.Answer{Cut: d.Level}}
			}
		}
	}
	open := len(latest) < max(1, min(2, c.Upstreams))
	for _, h := range latest {
		open = open || c.Level <= h.Cut
	}
	return !open || deep != nil && now-deep.at < kqshed.ThresholdTTL && c.OnwardLevel > deep.Cut
}

func TestTableMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, reference := kqshed.New(), referenceTable{}
		now := time.Duration(0)
		level := rapid.Map(rapid.IntRange(0, 8), func(n int) kqadmit.Level {
			if n == 8 {
				return kqadmit.AdmitAll
			}
			return kqadmit.Level(n)
		})
		service := rapid.SampledFrom([]string{"orders", "packs"})
		class := rapid.SampledFrom([]string{"buy", "browse"})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "milliseconds")) * time.Millisecond
			a := kqshed.Answer{
				Service: service.Draw(t, "service"), Upstream: rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "upstream"),
				Cut: level.Draw(t, "cut"),
			}
			if rapid.Bool().Draw(t, "reports downstream thresholds") {
				age := time.Duration(rapid.IntRange(0, 1200).Draw(t, "age")) * time.Millisecond
				a.Deep = []kqshed.ClassThreshold{{Class: class.Draw(t, "deep class"), Level: level.Draw(t, "deep"), Age: age}}
			}
			table.RecordAnswer(now, a)
			reference = append(reference, recordedAnswer{now, a})
			c := kqshed.Call{
				Service: service.Draw(t, "called"), Class: class.Draw(t, "call class"), Level: level.Draw(t, "level"),
				OnwardLevel: level.Draw(t, "started"), Upstreams: rapid.IntRange(1, 3).Draw(t, "upstreams"),
			}
			_, got := table.Refuses(now, c)
			if want := reference.refuses(now, c); got != want {
				t.Fatalf("at %s, refuses %+v: got %v, want %v", now, c, got, want)
			}
		}
	})
}

// TestDownstreamThresholdsPropagateUpTheChain checks that a threshold two hops
// away reaches the entry and the gate between, when it is lowered and raised.
func TestDownstreamThresholdsPropagateUpTheChain(t *testing.T) {
	middle, entry := kqshed.New(), kqshed.New()
	report := func(now time.Duration, threshold kqadmit.Level) {
		middle.RecordCall(now, "browse", "licensing")
		middle.RecordAnswer(now, kqshed.Answer{Service: "licensing", Upstream: "1", Cut: threshold})
		entry.RecordAnswer(now, kqshed.Answer{Service: "orders", Upstream: "1", Cut: kqadmit.AdmitAll, Deep: middle.DownstreamThresholds(now)})
	}
	call := kqshed.Call{Service: "orders", Class: "browse", Level: 100, OnwardLevel: 100, Upstreams: 1}
	steps := []struct {
		at        time.Duration
		threshold kqadmit.Level
		want      bool
	}{{0, kqadmit.AdmitAll, false}, {time.Millisecond, 50, true}, {2 * time.Millisecond, 100, false}, {3 * time.Millisecond, 50, true}, {4 * time.Millisecond, kqadmit.AdmitAll, false}}
	for _, s := range steps {
		report(s.at, s.threshold)
		reason, got := entry.Refuses(s.at, call)
		if got != s.want {
			t.Errorf("threshold %d: entry refuses: got %v, want %v", s.threshold, got, s.want)
		}
		if got && reason.Service != "licensing" {
			t.Errorf("service for which it is refused: got %q, want licensing", reason.Service)
		}
		if _, got := middle.RefusesDownstream(s.at, "browse", 100); got != s.want {
			t.Errorf("threshold %d: gate refuses: got %v, want %v", s.threshold, got, s.want)
		}
	}
}

// TestThresholdExpires checks the bound for the worst state that an overload can
// leave behind: a threshold that refuses nearly all calls and is never renewed.
func TestThresholdExpires(t *testing.T) {
	table := kqshed.New()
	table.RecordAnswer(0, kqshed.Answer{Service: "orders", Upstream: "1", Cut: 0})
	call := kqshed.Call{Service: "orders", Class: "browse", Level: 100, Upstreams: 1}
	if _, refuses := table.Refuses(kqshed.ThresholdTTL-1, call); !refuses {
		t.Error("just before the threshold expires: got admitted, want refused")
	}
	if _, refuses := table.Refuses(kqshed.ThresholdTTL, call); refuses {
		t.Error("when the threshold expires: got refused, want admitted")
	}
	if got := len(table.StaleServices(kqshed.AskPeriod)); got != 1 {
		t.Errorf("services to ask after AskPeriod without an answer: got %d, want 1", got)
	}
	if got := len(table.StaleServices(kqshed.AskPeriod + 1)); got != 0 {
		t.Errorf("services to ask right after that: got %d, want 0", got)
	}
}

// BenchmarkAnswerAndCall measures one answer and one call at an entry with six
// upstreams.
func BenchmarkAnswerAndCall(b *testing.B) {
	table, now := kqshed.New(), time.Duration(0)
	upstreams := []string{"1", "2", "3", "4", "5", "6"}
	deep := []kqshed.ClassThreshold{{Class: "browse", Level: 50}}
	for n := range b.N {
		now += time.Millisecond
		table.RecordCall(now, "browse", "orders")
		table.RecordAnswer(now, kqshed.Answer{Service: "orders", Upstream: upstreams[n%6], Cut: 100, Deep: deep})
		table.Refuses(now, kqshed.Call{Service: "orders", Class: "browse", Level: 60, OnwardLevel: 60, Upstreams: 6})
		table.DownstreamThresholds(now)
	}
}

// TestThresholdExpiresInCycleOfServices has two services that call each other. A
// threshold that was reported once must expire although each service keeps
// reporting it to the other.
func TestThresholdExpiresInCycleOfServices(t *testing.T) {
	const step = 10 * time.Millisecond
	packs, catalog := kqshed.New(), kqshed.New()
	packs.RecordCall(0, "browse", "licensing")
	packs.RecordAnswer(0, kqshed.Answer{Service: "licensing", Upstream: "1", Cut: 50})
	call := kqshed.Call{Service: "packs", Class: "browse", Level: 100, OnwardLevel: 100, Upstreams: 1}
	refused := 0
	for now := time.Duration(0); now < 3*kqshed.ThresholdTTL; now += step {
		catalog.RecordCall(now, "browse", "packs")
		catalog.RecordAnswer(now, kqshed.Answer{Service: "packs", Upstream: "1", Cut: kqadmit.AdmitAll, Deep: packs.DownstreamThresholds(now)})
		packs.RecordCall(now, "browse", "catalog")
		packs.RecordAnswer(now, kqshed.Answer{Service: "catalog", Upstream: "1", Cut: kqadmit.AdmitAll, Deep: catalog.DownstreamThresholds(now)})
		_, got := catalog.Refuses(now, call)
		if got {
			refused++
		}
		if got && now >= kqshed.ThresholdTTL {
			t.Fatalf("%s after the threshold was reported: got refused, want admitted", now)
		}
	}
	if refused == 0 {
		t.Error("no call was refused before the threshold expired, so the test checks nothing")
	}
}

// TestMisattributedCallsDoNotRefuseClass has a service that refuses almost all
// calls and two classes: one to which a call to the service is attributed by
// mistake in one of fifty runs, and one that calls the service in every run. Only
// the second is refused, and it stays so while all its calls are refused.
func TestMisattributedCallsDoNotRefuseClass(t *testing.T) {
	table := kqshed.New()
	now := time.Duration(0)
	for i := range 3000 {
		now += 20 * time.Millisecond
		table.RecordRun(now, "download")
		if i%50 == 0 {
			table.RecordCall(now, "download", "licensing")
		}
		table.RecordRun(now, "buy")
		table.RecordCall(now, "buy", "licensing")
		table.RecordAnswer(now, kqshed.Answer{Service: "licensing", Upstream: "1", Cut: 0})
	}
	for class, want := range map[string]bool{"download": false, "buy": true} {
		if _, got := table.RefusesDownstream(now, class, 1); got != want {
			t.Errorf("%s refused for licensing: got %v, want %v", class, got, want)
		}
	}
	deep := table.DownstreamThresholds(now)
	if len(deep) != 1 || deep[0].Class != "buy" {
		t.Errorf("downstream thresholds: got %v, want one of buy", deep)
	}
}

// TestLimitOfOneUpstreamShedsTheWholeService has two upstreams report thresholds
// that come from limits of their own, while others have room.
func TestLimitOfOneUpstreamShedsTheWholeService(t *testing.T) {
	const upstreams = 6
	call := kqshed.Call{Service: "orders", Class: "browse", Level: 5, OnwardLevel: 5, Upstreams: upstreams}
	table := kqshed.New()
	limited := func(upstream string) kqshed.Answer {
		return kqshed.Answer{Service: "orders", Upstream: upstream, Upstreams: upstreams, Cut: 1, OwnCut: true}
	}
	table.RecordRun(0, "browse")
	table.RecordCall(0, "browse", "orders")
	for _, upstream := range []string{"1", "2"} {
		table.RecordAnswer(0, limited(upstream))
	}
	if _, got := table.Refuses(0, call); got {
		t.Error("call while four upstreams have not reported: got refused, want sent")
	}
	if _, got := table.RefusesDownstream(0, "browse", 5); got {
		t.Error("run whose calls four other upstreams may take: got refused, want run")
	}
	if got := table.DownstreamThresholds(0); len(got) != 0 {
		t.Errorf("thresholds reported to callers: got %+v, want none", got)
	}
	for _, upstream := range []string{"3", "4"} {
		table.RecordAnswer(0, limited(upstream))
	}
	if _, got := table.Refuses(0, call); !got {
		t.Error("call that as many upstreams as it would try refuse: got sent, want refused")
	}
	if _, got := table.RefusesDownstream(0, "browse", 5); !got {
		t.Error("run whose calls would be refused: got run, want refused")
	}
	table.RecordAnswer(0, kqshed.Answer{Service: "orders", Upstream: "5", Upstreams: upstreams, Cut: kqadmit.AdmitAll})
	if _, got := table.Refuses(0, call); got {
		t.Error("call that an upstream without a limit takes: got refused, want sent")
	}
}
