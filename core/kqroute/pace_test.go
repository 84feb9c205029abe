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

// latencySimulation is a service of two upstreams in the failure domain of the
// entry and one in another region, each with its own call time.
type latencySimulation struct {
	table     *kqroute.Table
	now       time.Time
	latencies map[string]time.Duration
	sent      map[string]int
	// spread is the largest deviation of a call time in either direction, as a
	// natural logarithm.
	spread  float64
	random  *rand.Rand
	class   string
	verdict kqroute.Verdict
}

func newLatencySimulation(latencies map[string]time.Duration) *latencySimulation {
	own := kqmember.Record{NodeID: "entry", Region: "south", FailureDomain: "south-a"}
	s := &latencySimulation{now: time.Unix(1000, 0), latencies: latencies, sent: map[string]int{}, class: "check", verdict: kqroute.Good}
	s.random = rand.New(rand.NewPCG(1, 2))
	records := []kqmember.Record{
		{NodeID: "near-1", Region: "south", FailureDomain: "south-a"},
		{NodeID: "near-2", Region: "south", FailureDomain: "south-a"},
		{NodeID: "far-1", Region: "north", FailureDomain: "north-a"},
	}
	s.table = kqroute.NewTable(own, records, nil, s.now)
	return s
}

// run sends calls one after the other, 5 ms apart, each to the upstream that
// the table picks.
func (s *latencySimulation) run(calls int) {
	clear(s.sent)
	for i := range calls {
		s.now = s.now.Add(5 * time.Millisecond)
		u := s.table.Pick(kqroute.PickInfo{Now: s.now, Random: uint64(i) * 0x9e3779b97f4a7c15, AllowOtherRegion: true, AllowProbe: true})
		u.MarkProbe(s.now)
		s.sent[u.Record.NodeID]++
		s.finish(u)
	}
}

// callUpstream sends calls to one upstream, whatever the table would pick.
func (s *latencySimulation) callUpstream(u *kqroute.Upstream, calls int) {
	for range calls {
		s.now = s.now.Add(5 * time.Millisecond)
		s.finish(u)
	}
}

func (s *latencySimulation) finish(u *kqroute.Upstream) {
	u.Begin()
	factor := math.Exp(s.spread * (2*s.random.Float64() - 1))
	u.End(kqroute.CallResult{
		Now: s.now, Verdict: s.verdict, Load: &kqroute.Load{InFlight: 1, Limit: 10},
		Run: time.Duration(factor * float64(s.latencies[u.Record.NodeID])), Class: s.class,
	})
}

func TestSlowUpstreamIsAvoidedAndProbed(t *testing.T) {
	const quick, slow = 40 * time.Millisecond, 400 * time.Millisecond
	const calls, second = 2000, 200
	s := newLatencySimulation(map[string]time.Duration{"near-1": quick, "near-2": quick, "far-1": quick})
	s.run(calls)
	if got := s.sent["near-1"]; got < calls/3 {
		t.Fatalf("calls to a healthy upstream: got %d of %d, want a third at least", got, calls)
	}
	s.latencies["near-1"] = slow
	s.run(calls)
	// A few until it is detected, then one probe a second.
	if got, want := s.sent["near-1"], 10+calls/second; got > want {
		t.Errorf("calls to a slow upstream: got %d of %d, want at most %d", got, calls, want)
	}
	if got, want := s.sent["near-2"], calls*9/10; got < want {
		t.Errorf("calls to the healthy upstream of the same domain: got %d of %d, want at least %d", got, calls, want)
	}
	s.latencies["near-2"] = slow
	s.run(calls)
	if got, want := s.sent["far-1"], calls*9/10; got < want {
		t.Errorf("calls to another region while the own one is slow: got %d of %d, want at least %d", got, calls, want)
	}
	s.latencies["near-1"], s.latencies["near-2"] = quick, quick
	s.run(calls * 5)
	s.run(calls)
	if got := s.sent["near-1"] + s.sent["near-2"]; got < calls*9/10 {
		t.Errorf("calls to the own region when it is quick again: got %d of %d, want nine in ten at least", got, calls)
	}
}

// TestSlowdownOfAllUpstreamsStaysInRegion makes all upstreams of the service
// slower by the same factor.
func TestSlowdownOfAllUpstreamsStaysInRegion(t *testing.T) {
	const calls = 2000
	latencies := map[string]time.Duration{"near-1": 40 * time.Millisecond, "near-2": 40 * time.Millisecond, "far-1": 40 * time.Millisecond}
	s := newLatencySimulation(latencies)
	s.run(calls)
	for id := range latencies {
		latencies[id] *= 10
	}
	s.run(calls)
	s.run(calls)
	if got := s.sent["near-1"] + s.sent["near-2"]; got < calls/2 {
		t.Errorf("calls by upstream: got %s, want at least half in the own region", fmt.Sprint(s.sent))
	}
}

// TestPermanentlySlowerUpstreamIsNotAvoided has upstreams in the own failure
// domain that always take longer than the one in the other region, and a
// baseline for each of them.
func TestPermanentlySlowerUpstreamIsNotAvoided(t *testing.T) {
	const calls = 4000
	s := newLatencySimulation(map[string]time.Duration{"near-1": 60 * time.Millisecond, "near-2": 60 * time.Millisecond, "far-1": 20 * time.Millisecond})
	s.spread = 1.5
	for _, u := range s.table.Upstreams() {
		// Each upstream has had calls, also the one in the other region, which
		// is only called when the others are full.
		s.callUpstream(u, calls)
	}
	for range 5 {
		s.run(calls)
		if got := s.sent["far-1"]; got > 0 {
			t.Errorf("calls to another region: got %d of %d, want none", got, calls)
		}
	}
}

// TestQuickFailuresDoNotChangeBaseline has a service fail at once for a while
// and then work as before. If the failures lowered the baseline, all upstreams
// of the region would count as slow afterwards.
func TestQuickFailuresDoNotChangeBaseline(t *testing.T) {
	const calls = 4000
	latencies := map[string]time.Duration{"near-1": 40 * time.Millisecond, "near-2": 40 * time.Millisecond, "far-1": 40 * time.Millisecond}
	s := newLatencySimulation(latencies)
	s.run(calls)
	s.verdict = kqroute.Inconclusive
	for id := range latencies {
		latencies[id] /= 20
	}
	s.run(20 * calls)
	s.verdict = kqroute.Good
	for id := range latencies {
		latencies[id] *= 20
	}
	s.run(calls)
	if got := s.sent["far-1"]; got > 0 {
		t.Errorf("calls to another region after the failures: got %d of %d, want none", got, calls)
	}
}

// TestTrackedClassesAreBounded sends calls of more classes than are tracked, as
// when routes come and go.
func TestTrackedClassesAreBounded(t *testing.T) {
	s := newLatencySimulation(map[string]time.Duration{"near-1": time.Second, "near-2": time.Second, "far-1": time.Second})
	for i := range 1000 {
		s.class = fmt.Sprint(i)
		s.run(6)
	}
	const want = 128
	if got := kqroute.MaxTrackedClasses(s.table); got != want {
		t.Errorf("tracked classes: got %d at most, want %d", got, want)
	}
}

// TestNewUpstreamThatIsSlowIsAvoided adds an upstream that is slow for some
// seconds, as backend servers are that have just started.
func TestNewUpstreamThatIsSlowIsAvoided(t *testing.T) {
	const calls = 1000
	s := newLatencySimulation(map[string]time.Duration{
		"near-1": 40 * time.Millisecond, "near-2": 40 * time.Millisecond, "far-1": 40 * time.Millisecond, "new": 160 * time.Millisecond,
	})
	s.run(calls)
	var records []kqmember.Record
	for _, u := range s.table.Upstreams() {
		records = append(records, u.Record)
	}
	records = append(records, kqmember.Record{NodeID: "new", Region: "south", FailureDomain: "south-a"})
	own := kqmember.Record{NodeID: "entry", Region: "south", FailureDomain: "south-a"}
	s.table = kqroute.NewTable(own, records, s.table, s.now)
	s.run(calls)
	// Ten until it is detected, then one a second; an even share would be 333.
	if got, want := s.sent["new"], 10+5; got > want {
		t.Errorf("calls to an upstream that is slow at first: got %d of %d, want at most %d", got, calls, want)
	}
	s.latencies["new"] = 40 * time.Millisecond
	s.run(5 * calls)
	s.run(calls)
	if got, want := s.sent["new"], calls/4; got < want {
		t.Errorf("calls to it when it has become quick: got %d of %d, want at least %d", got, calls, want)
	}
}
