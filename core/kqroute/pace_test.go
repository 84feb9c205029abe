package kqroute_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqroute"
)

// paceWorld is a service of two upstreams in the own domain and one in another
// region, each of which holds a call for its own time.
type paceWorld struct {
	table *kqroute.Table
	now   time.Time
	took  map[string]time.Duration
	sent  map[string]int
	// sway is by how much, as a natural logarithm, the time of a call may be
	// off either way.
	sway    float64
	random  *rand.Rand
	class   string
	verdict kqroute.Verdict
}

func newPaceWorld(took map[string]time.Duration) *paceWorld {
	own := kqmember.Record{NodeID: "entry", Region: "south", FailureDomain: "south-a"}
	w := &paceWorld{now: time.Unix(1000, 0), took: took, sent: map[string]int{}, class: "check", verdict: kqroute.Good}
	w.random = rand.New(rand.NewPCG(1, 2))
	records := []kqmember.Record{
		{NodeID: "near-1", Region: "south", FailureDomain: "south-a"},
		{NodeID: "near-2", Region: "south", FailureDomain: "south-a"},
		{NodeID: "far-1", Region: "north", FailureDomain: "north-a"},
	}
	w.table = kqroute.NewTable(own, records, nil, w.now)
	return w
}

// play sends a call every few milliseconds, each after the one before it.
func (w *paceWorld) play(calls int) {
	clear(w.sent)
	for i := range calls {
		w.now = w.now.Add(5 * time.Millisecond)
		u := w.table.Pick(kqroute.PickInfo{Now: w.now, Random: uint64(i) * 0x9e3779b97f4a7c15, AllowOtherRegion: true, AllowProbe: true})
		u.MarkProbe(w.now)
		w.sent[u.Record.NodeID]++
		w.finish(u)
	}
}

// call sends calls to one upstream, whatever the table would choose.
func (w *paceWorld) call(u *kqroute.Upstream, calls int) {
	for range calls {
		w.now = w.now.Add(5 * time.Millisecond)
		w.finish(u)
	}
}

func (w *paceWorld) finish(u *kqroute.Upstream) {
	u.Begin()
	factor := math.Exp(w.sway * (2*w.random.Float64() - 1))
	u.End(kqroute.CallResult{
		Now: w.now, Verdict: w.verdict, Load: &kqroute.Load{InFlight: 1, Limit: 10},
		Run: time.Duration(factor * float64(w.took[u.Record.NodeID])), Class: w.class,
	})
}

func TestSlowUpstreamIsSparedAndTriedOut(t *testing.T) {
	const quick, slow = 40 * time.Millisecond, 400 * time.Millisecond
	const calls, second = 2000, 200
	w := newPaceWorld(map[string]time.Duration{"near-1": quick, "near-2": quick, "far-1": quick})
	w.play(calls)
	if got := w.sent["near-1"]; got < calls/3 {
		t.Fatalf("calls to a sound upstream: got %d of %d, want a fair part", got, calls)
	}
	w.took["near-1"] = slow
	w.play(calls)
	// A few until it is found, then one a second.
	if got, want := w.sent["near-1"], 10+calls/second; got > want {
		t.Errorf("calls to a slow upstream: got %d of %d, want at most %d", got, calls, want)
	}
	if got, want := w.sent["near-2"], calls*9/10; got < want {
		t.Errorf("calls to its sound neighbour: got %d of %d, want %d", got, calls, want)
	}
	w.took["near-2"] = slow
	w.play(calls)
	if got, want := w.sent["far-1"], calls*9/10; got < want {
		t.Errorf("calls to another region while the own one is slow: got %d of %d, want %d", got, calls, want)
	}
	w.took["near-1"], w.took["near-2"] = quick, quick
	w.play(calls * 5)
	w.play(calls)
	if got := w.sent["near-1"] + w.sent["near-2"]; got < calls*9/10 {
		t.Errorf("calls to the own region when it is quick again: got %d of %d, want most", got, calls)
	}
}

// TestAllSlowMeansNoneIsSpared has a service that gets slower as a whole.
func TestAllSlowMeansNoneIsSpared(t *testing.T) {
	const calls = 2000
	took := map[string]time.Duration{"near-1": 40 * time.Millisecond, "near-2": 40 * time.Millisecond, "far-1": 40 * time.Millisecond}
	w := newPaceWorld(took)
	w.play(calls)
	for id := range took {
		took[id] *= 10
	}
	w.play(calls)
	w.play(calls)
	if got := w.sent["near-1"] + w.sent["near-2"]; got < calls/2 {
		t.Errorf("calls to the own region: got %s, want most there", fmt.Sprint(w.sent))
	}
}

// TestServerThatIsAlwaysSlowerIsNotSlow has servers of the own domain that
// always take longer than those of the other region, whose calls are seen too.
func TestServerThatIsAlwaysSlowerIsNotSlow(t *testing.T) {
	const calls = 4000
	w := newPaceWorld(map[string]time.Duration{"near-1": 60 * time.Millisecond, "near-2": 60 * time.Millisecond, "far-1": 20 * time.Millisecond})
	w.sway = 1.5
	for _, u := range w.table.Upstreams() {
		// Each has had calls, also the one that is only called when others are
		// full.
		w.call(u, calls)
	}
	for range 5 {
		w.play(calls)
		if got := w.sent["far-1"]; got > 0 {
			t.Errorf("calls to another region: got %d of %d, want none", got, calls)
		}
	}
}

// TestQuickFailuresMakeNothingUsual has a service fail at once for a while, and
// then work as before.
func TestQuickFailuresMakeNothingUsual(t *testing.T) {
	const calls = 4000
	took := map[string]time.Duration{"near-1": 40 * time.Millisecond, "near-2": 40 * time.Millisecond, "far-1": 40 * time.Millisecond}
	w := newPaceWorld(took)
	w.play(calls)
	w.verdict = kqroute.Inconclusive
	for id := range took {
		took[id] /= 20
	}
	w.play(20 * calls)
	w.verdict = kqroute.Good
	for id := range took {
		took[id] *= 20
	}
	w.play(calls)
	if got := w.sent["far-1"]; got > 0 {
		t.Errorf("calls to another region after the failures: got %d of %d, want none", got, calls)
	}
}

// TestClassesOfAnUpstreamAreBounded has routes come and go.
func TestClassesOfAnUpstreamAreBounded(t *testing.T) {
	w := newPaceWorld(map[string]time.Duration{"near-1": time.Second, "near-2": time.Second, "far-1": time.Second})
	for i := range 1000 {
		w.class = fmt.Sprint(i)
		w.play(6)
	}
	const want = 128
	if got := kqroute.KnownClasses(w.table); got != want {
		t.Errorf("classes: got %d at most, want %d", got, want)
	}
}

// TestUpstreamThatIsSlowAtFirstIsSpared has one join that is slow for some
// seconds, as backend servers are that have just started.
func TestUpstreamThatIsSlowAtFirstIsSpared(t *testing.T) {
	const calls = 1000
	w := newPaceWorld(map[string]time.Duration{
		"near-1": 40 * time.Millisecond, "near-2": 40 * time.Millisecond, "far-1": 40 * time.Millisecond, "new": 160 * time.Millisecond,
	})
	w.play(calls)
	var records []kqmember.Record
	for _, u := range w.table.Upstreams() {
		records = append(records, u.Record)
	}
	records = append(records, kqmember.Record{NodeID: "new", Region: "south", FailureDomain: "south-a"})
	own := kqmember.Record{NodeID: "entry", Region: "south", FailureDomain: "south-a"}
	w.table = kqroute.NewTable(own, records, w.table, w.now)
	w.play(calls)
	// Ten until it is found, then one a second; a fair part is 333.
	if got, want := w.sent["new"], 10+5; got > want {
		t.Errorf("calls to an upstream that is slow at first: got %d of %d, want at most %d", got, calls, want)
	}
	w.took["new"] = 40 * time.Millisecond
	w.play(5 * calls)
	w.play(calls)
	if got, want := w.sent["new"], calls/4; got < want {
		t.Errorf("calls to it when it is quick: got %d of %d, want %d", got, calls, want)
	}
}
