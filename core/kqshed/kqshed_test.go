package kqshed_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"kumquatlink/core/kqadmit"
	"kumquatlink/core/kqshed"
)

// heard is one answer and when it came, for the naive twin.
type heard struct {
	at time.Duration
	kqshed.Answer
}

// naive goes through everything that was ever heard.
type naive []heard

func (n naive) refuses(now time.Duration, c kqshed.Call) bool {
	newest := map[string]heard{}
	var deep *heard
	for _, h := range n {
		if h.Service != c.Service || now-h.at >= kqshed.ThresholdTTL {
			continue
		}
		newest[h.Upstream] = h
		for _, d := range h.Deep {
			if d.Class == c.Class {
				deep = &heard{at: h.at - d.Age, Answer: kqshed.Answer{Cut: d.Level}}
			}
		}
	}
	open := len(newest) < max(1, min(2, c.Upstreams))
	for _, h := range newest {
		open = open || c.Level <= h.Cut
	}
	return !open || deep != nil && now-deep.at < kqshed.ThresholdTTL && c.OnwardLevel > deep.Cut
}

func TestTableLikeNaiveTwin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, twin := kqshed.New(), naive{}
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
			if rapid.Bool().Draw(t, "tells of deep cuts") {
				age := time.Duration(rapid.IntRange(0, 1200).Draw(t, "age")) * time.Millisecond
				a.Deep = []kqshed.ClassThreshold{{Class: class.Draw(t, "deep class"), Level: level.Draw(t, "deep"), Age: age}}
			}
			table.RecordAnswer(now, a)
			twin = append(twin, heard{now, a})
			c := kqshed.Call{
				Service: service.Draw(t, "called"), Class: class.Draw(t, "call class"), Level: level.Draw(t, "level"),
				OnwardLevel: level.Draw(t, "started"), Upstreams: rapid.IntRange(1, 3).Draw(t, "upstreams"),
			}
			_, got := table.Refuses(now, c)
			if want := twin.refuses(now, c); got != want {
				t.Fatalf("at %s, refuses %+v: got %v, want %v", now, c, got, want)
			}
		}
	})
}

// TestDeepCutsTravelUpTheChain lets three tables stand for three hops.
func TestDeepCutsTravelUpTheChain(t *testing.T) {
	middle, entry := kqshed.New(), kqshed.New()
	tell := func(now time.Duration, cut kqadmit.Level) {
		middle.RecordCall(now, "browse", "licensing")
		middle.RecordAnswer(now, kqshed.Answer{Service: "licensing", Upstream: "1", Cut: cut})
		entry.RecordAnswer(now, kqshed.Answer{Service: "orders", Upstream: "1", Cut: kqadmit.AdmitAll, Deep: middle.DownstreamThresholds(now)})
	}
	call := kqshed.Call{Service: "orders", Class: "browse", Level: 100, OnwardLevel: 100, Upstreams: 1}
	steps := []struct {
		at   time.Duration
		cut  kqadmit.Level
		want bool
	}{{0, kqadmit.AdmitAll, false}, {time.Millisecond, 50, true}, {2 * time.Millisecond, 100, false}, {3 * time.Millisecond, 50, true}, {4 * time.Millisecond, kqadmit.AdmitAll, false}}
	for _, s := range steps {
		tell(s.at, s.cut)
		reason, got := entry.Refuses(s.at, call)
		if got != s.want {
			t.Errorf("cut %d: entry refuses: got %v, want %v", s.cut, got, s.want)
		}
		if got && reason.Service != "licensing" {
			t.Errorf("service for which it is refused: got %q, want licensing", reason.Service)
		}
		if _, got := middle.RefusesDownstream(s.at, "browse", 100); got != s.want {
			t.Errorf("cut %d: gate refuses: got %v, want %v", s.cut, got, s.want)
		}
	}
}

// TestLeftoverCutIsForgotten holds the table to the worst leftover that the
// recovery page states.
func TestLeftoverCutIsForgotten(t *testing.T) {
	table := kqshed.New()
	table.RecordAnswer(0, kqshed.Answer{Service: "orders", Upstream: "1", Cut: 0})
	call := kqshed.Call{Service: "orders", Class: "browse", Level: 100, Upstreams: 1}
	if _, refuses := table.Refuses(kqshed.ThresholdTTL-1, call); !refuses {
		t.Error("just before the end of its life: got let in, want refused")
	}
	if _, refuses := table.Refuses(kqshed.ThresholdTTL, call); refuses {
		t.Error("at the end of its life: got refused, want let in")
	}
	if got := len(table.StaleServices(kqshed.AskPeriod)); got != 1 {
		t.Errorf("services to ask after a silence: got %d, want 1", got)
	}
	if got := len(table.StaleServices(kqshed.AskPeriod + 1)); got != 0 {
		t.Errorf("services to ask right after that: got %d, want 0", got)
	}
}

// BenchmarkAnswerAndCall is the cost of one answer and one call at an entry
// that knows six upstreams.
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

// TestCutDiesInACycleOfServices has two services that call each other, one of
// which told of a cut once and is open since: what they tell each other of it
// must not keep it alive.
func TestCutDiesInACycleOfServices(t *testing.T) {
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
			t.Fatalf("%s after the cut was told of: got refused, want let in", now)
		}
	}
	if refused == 0 {
		t.Error("the cut never refused anything, so that the test proves nothing")
	}
}

// TestMistakenMakerOfCallsIsNotRefused has a class of which one run in fifty
// is taken for the maker of a call to a service that refuses most, and one that
// calls it on each run, also while its calls are all refused.
func TestMistakenMakerOfCallsIsNotRefused(t *testing.T) {
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
		t.Errorf("deep cuts told: got %v, want one of buy", deep)
	}
}
