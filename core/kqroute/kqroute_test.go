package kqroute_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqroute"
)

// TestMain fixes the seed, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "2843"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var (
	startTime = time.Unix(1_000_000, 0)
	own       = kqmember.Record{NodeID: "entry", Region: "lothian", FailureDomain: "lothian-a"}
)

func record(i int, region, domain string, life kqmember.Life) kqmember.Record {
	return kqmember.Record{NodeID: fmt.Sprintf("node-%d", i), Incarnation: 1, Region: region, FailureDomain: domain, Life: life}
}

// newLocalTable returns a table of n upstreams in the failure domain of the
// entry.
func newLocalTable(n int) *kqroute.Table {
	var records []kqmember.Record
	for i := range n {
		records = append(records, record(i, "lothian", "lothian-a", kqmember.LifeServing))
	}
	return kqroute.NewTable(own, records, nil, startTime)
}

func finishCall(u *kqroute.Upstream, now time.Time, v kqroute.Verdict, load *kqroute.Load) {
	u.Begin()
	u.End(kqroute.CallResult{Now: now, Verdict: v, Load: load})
}

// referenceTable is the reference implementation of Table.Pick: it keeps every
// event and computes everything again for each pick.
type referenceTable struct {
	records []kqmember.Record
	events  []event
}

type event struct {
	upstream int
	at       time.Time
	verdict  kqroute.Verdict
	load     kqroute.Load
}

func (r *referenceTable) utilization(i int, now time.Time) float64 {
	utilization := 0.0
	limit := 16.0
	for _, e := range r.events {
		if e.upstream != i {
			continue
		}
		limit = 16
		if e.load.Limit > 0 {
			limit = float64(e.load.Limit)
		}
		utilization = 0
		if age := now.Sub(e.at); age < time.Second {
			utilization = float64(max(0, e.load.InFlight+e.load.Queued-1)) * (1 - age.Seconds())
		}
	}
	utilization /= limit
	if r.hasRefused(i, now) {
		return utilization + 1
	}
	return utilization
}

func (r *referenceTable) hasRefused(i int, now time.Time) bool {
	for _, e := range r.events {
		if e.upstream == i && e.verdict == kqroute.Full && now.Sub(e.at) < 100*time.Millisecond {
			return true
		}
	}
	return false
}

// isEjected counts faults back from the last event of the upstream.
func (r *referenceTable) isEjected(i int, now time.Time) bool {
	count, later := 0, now
	for _, e := range slices.Backward(r.events) {
		if e.upstream != i || e.verdict == kqroute.Inconclusive || e.verdict == kqroute.Draining {
			continue
		}
		if e.verdict != kqroute.Faulty || (count == 0 && later.Sub(e.at) >= 10*time.Second) || (count > 0 && later.Sub(e.at) > 10*time.Second) {
			break
		}
		count, later = count+1, e.at
	}
	return count >= 3
}

func (r *referenceTable) isDraining(i int, now time.Time) bool {
	for _, e := range r.events {
		if e.upstream == i && e.verdict == kqroute.Draining && now.Sub(e.at) < 2*time.Second {
			return true
		}
	}
	return false
}

// pick lists the eligible upstreams of each distance and takes the less loaded
// one of two.
func (r *referenceTable) pick(now time.Time, random uint64, allowOtherRegion bool) int {
	ejected := 0
	for i := range r.records {
		if r.isEjected(i, now) {
			ejected++
		}
	}
	choose := func(distance kqroute.Distance) int {
		var eligible []int
		var utilizations []float64
		for i, record := range r.records {
			actual := kqroute.OtherRegion
			if record.Region == own.Region {
				actual = kqroute.SameRegion
			}
			if record.FailureDomain == own.FailureDomain {
				actual = kqroute.SameDomain
			}
			if actual == distance {
				utilizations = append(utilizations, r.utilization(i, now))
			}
			if actual == distance && !r.isDraining(i, now) && (!r.isEjected(i, now) || 2*ejected > len(r.records)) {
				eligible = append(eligible, i)
			}
		}
		if len(eligible) == 0 {
			return -1
		}
		first := int(random>>32) % len(eligible)
		if len(eligible) == 1 {
			return eligible[first]
		}
		second := (first + 1 + int(random&0xffffffff)%(len(eligible)-1)) % len(eligible)
		slices.Sort(utilizations)
		isHot := func(i int) bool {
			utilization := r.utilization(i, now)
			return r.hasRefused(i, now) || (utilization > 1 && utilization > 2*utilizations[len(utilizations)/2])
		}
		if isHot(eligible[first]) && !isHot(eligible[second]) {
			return eligible[second]
		}
		return eligible[first]
	}
	chosen := choose(kqroute.SameDomain)
	if chosen >= 0 && r.utilization(chosen, now) < 0.5 {
		return chosen
	}
	if i := choose(kqroute.SameRegion); i >= 0 && (chosen < 0 || r.utilization(i, now) < r.utilization(chosen, now)) {
		chosen = i
	}
	if chosen >= 0 && (!allowOtherRegion || r.utilization(chosen, now) < 1) {
		return chosen
	}
	if i := choose(kqroute.OtherRegion); i >= 0 && (chosen < 0 || r.utilization(i, now) < 1) {
		chosen = i
	}
	return chosen
}

func TestPickMatchesReference(t *testing.T) {
	ejections, otherRegions := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		domains := []string{"lothian-a", "lothian-b", "clyde-a"}
		reference := &referenceTable{}
		for i := range rapid.IntRange(1, 9).Draw(t, "upstreams") {
			domain := rapid.SampledFrom(domains).Draw(t, "domain")
			reference.records = append(reference.records, record(i, domain[:len(domain)-2], domain, kqmember.LifeServing))
		}
		table := kqroute.NewTable(own, reference.records, nil, startTime)
		byName := map[string]*kqroute.Upstream{}
		for _, u := range table.Upstreams() {
			byName[u.Record.NodeID] = u
		}
		now := startTime
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "milliseconds")) * time.Millisecond)
			e := event{
				upstream: rapid.IntRange(0, len(reference.records)-1).Draw(t, "upstream"), at: now,
				verdict: rapid.SampledFrom([]kqroute.Verdict{kqroute.Good, kqroute.Full, kqroute.Draining, kqroute.Faulty, kqroute.Faulty, kqroute.Faulty}).Draw(t, "verdict"),
				load:    kqroute.Load{InFlight: rapid.IntRange(0, 40).Draw(t, "load"), Limit: rapid.SampledFrom([]int{0, 5, 36}).Draw(t, "limit")},
			}
			reference.events = append(reference.events, e)
			finishCall(byName[reference.records[e.upstream].NodeID], now, e.verdict, &e.load)
			random, allowOtherRegion := rapid.Uint64().Draw(t, "random"), rapid.Bool().Draw(t, "far")
			got := table.Pick(kqroute.PickInfo{Now: now, Random: random, AllowOtherRegion: allowOtherRegion})
			want := reference.pick(now, random, allowOtherRegion)
			if got == nil || want < 0 {
				if got != nil || want >= 0 {
					t.Fatalf("pick: got %v, want %d", got, want)
				}
				continue
			}
			if got.Record.NodeID != reference.records[want].NodeID {
				t.Fatalf("pick: got %s, want %s", got.Record.NodeID, reference.records[want].NodeID)
			}
			if reference.isEjected(e.upstream, now) {
				ejections++
			}
			if got.Distance == kqroute.OtherRegion {
				otherRegions++
			}
		}
	})
	if ejections == 0 || otherRegions == 0 {
		t.Errorf("cases with an ejected upstream: %d, with another region: %d; want some of each", ejections, otherRegions)
	}
}

func TestAtMostHalfAreEjected(t *testing.T) {
	for n := 1; n <= 9; n++ {
		table := newLocalTable(n)
		for bad := range n + 1 {
			if bad > 0 {
				for range 5 {
					finishCall(table.Upstreams()[bad-1], startTime, kqroute.Faulty, nil)
				}
			}
			got := map[*kqroute.Upstream]bool{}
			for i := range 400 {
				got[table.Pick(kqroute.PickInfo{Now: startTime, Random: rand.New(rand.NewPCG(1, uint64(i))).Uint64()})] = true
			}
			want := n - bad
			if bad > n/2 {
				want = n
			}
			if len(got) != want {
				t.Errorf("%d upstreams, %d faulty: got %d in use, want %d", n, bad, len(got), want)
			}
		}
	}
}

func TestSuccessfulProbeEndsEjection(t *testing.T) {
	table := newLocalTable(2)
	bad := table.Upstreams()[0]
	for range 3 {
		finishCall(bad, startTime, kqroute.Faulty, nil)
	}
	picks := func(now time.Time, probe bool) bool {
		for i := range 64 {
			if table.Pick(kqroute.PickInfo{Now: now, Random: rand.New(rand.NewPCG(2, uint64(i))).Uint64(), AllowProbe: probe}) == bad {
				return true
			}
		}
		return false
	}
	later := startTime.Add(250 * time.Millisecond)
	if picks(later.Add(-1), true) {
		t.Error("probe picked before the ejection time is over")
	}
	if picks(later, false) {
		t.Error("call without AllowProbe picked as a probe")
	}
	if !picks(later, true) {
		t.Error("no probe picked after the ejection time")
	}
	bad.MarkProbe(later)
	if picks(later.Add(time.Millisecond), true) {
		t.Error("second probe picked while the first is in progress")
	}
	finishCall(bad, later.Add(2*time.Millisecond), kqroute.Good, nil)
	if !picks(later.Add(3*time.Millisecond), false) {
		t.Error("upstream is still ejected after a good answer to its probe")
	}
}

func TestEjectionEndsWithoutCalls(t *testing.T) {
	table := newLocalTable(2)
	for range 9 {
		finishCall(table.Upstreams()[0], startTime, kqroute.Faulty, nil)
	}
	found := false
	for i := range 64 {
		u := table.Pick(kqroute.PickInfo{Now: startTime.Add(10 * time.Second), Random: rand.New(rand.NewPCG(3, uint64(i))).Uint64()})
		found = found || u == table.Upstreams()[0]
	}
	if !found {
		t.Error("upstream stays ejected after 10 s when no call may probe it")
	}
}

func TestWarmingUpstreamGetsGrowingShare(t *testing.T) {
	records := []kqmember.Record{record(0, "lothian", "lothian-a", kqmember.LifeServing), record(1, "lothian", "lothian-a", kqmember.LifeWarming)}
	table := kqroute.NewTable(own, records, nil, startTime)
	last := 0
	for _, second := range []int{0, 2, 5, 9} {
		r := rand.New(rand.NewPCG(4, uint64(second)))
		got := 0
		for range 4000 {
			if table.Pick(kqroute.PickInfo{Now: startTime.Add(time.Duration(second) * time.Second), Random: r.Uint64()}).Record.NodeID == "node-1" {
				got++
			}
		}
		if got <= last {
			t.Errorf("calls to the warming upstream after %d s: got %d of 4000, want more than %d", second, got, last)
		}
		last = got
	}
}

func TestNewTableKeepsUpstreamState(t *testing.T) {
	table := newLocalTable(3)
	u := table.Upstreams()[1]
	u.Begin()
	records := []kqmember.Record{u.Record, record(7, "lothian", "lothian-a", kqmember.LifeServing)}
	next := kqroute.NewTable(own, records, table, startTime)
	if got, want := next.Upstreams()[0].Outstanding(), 1; got != want {
		t.Errorf("outstanding calls in the next table: got %d, want %d", got, want)
	}
	u.End(kqroute.CallResult{Now: startTime, Verdict: kqroute.Good})
	if got, want := next.Upstreams()[0].Outstanding(), 0; got != want {
		t.Errorf("outstanding calls after the end of the call: got %d, want %d", got, want)
	}
	records[0].Incarnation++
	u.Begin()
	if got, want := kqroute.NewTable(own, records, next, startTime).Upstreams()[0].Outstanding(), 0; got != want {
		t.Errorf("outstanding calls of a restarted upstream: got %d, want %d", got, want)
	}
}

func TestTriedUpstreamsAreNotPickedAgain(t *testing.T) {
	table := newLocalTable(3)
	var tried kqroute.Tried
	seen := map[string]bool{}
	for i := range 3 {
		u := table.Pick(kqroute.PickInfo{Now: startTime, Random: uint64(i) << 32, Tried: tried})
		if u == nil || seen[u.Record.NodeID] {
			t.Fatalf("pick %d: got %v, want an upstream that was not tried", i, u)
		}
		seen[u.Record.NodeID] = true
		tried.Add(u)
		others := table.Others(u)
		if len(others) != 2 || slices.Contains(others, u.Record.NodeID) || others[0] == others[1] {
			t.Errorf("others of %s: got %v, want the two others", u.Record.NodeID, others)
		}
	}
	if u := table.Pick(kqroute.PickInfo{Now: startTime, Tried: tried}); u != nil {
		t.Errorf("pick with all tried: got %s, want none", u.Record.NodeID)
	}
}

// TestBandwidthLimiterMatchesReference compares the limiter with a balance that
// is kept from call to call without it.
func TestBandwidthLimiterMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = 1000
		limiter := kqroute.NewBandwidthLimiter(rate)
		now, left := startTime, float64(2*rate)
		for range rapid.IntRange(1, 80).Draw(t, "calls") {
			step := time.Duration(rapid.IntRange(0, 3000).Draw(t, "milliseconds")) * time.Millisecond
			now = now.Add(step)
			left = min(2*rate, left+rate*step.Seconds())
			if got, want := limiter.Available("clyde", now), left > 0; got != want {
				t.Fatalf("available with %.3f bytes left: got %v, want %v", left, got, want)
			}
			if left > 0 {
				bytes := rapid.IntRange(1, 4000).Draw(t, "bytes")
				limiter.Charge("clyde", bytes, now)
				left -= float64(bytes)
			}
		}
	})
}

func TestErrorBudgetsLimitCallsToOtherRegions(t *testing.T) {
	budgets := kqroute.NewErrorBudgets()
	otherRegion := map[string]int{}
	for range 1000 {
		for class, complete := range map[string]float64{"browse": 95, "purchase": 99.9} {
			if budgets.RecordCall(class, complete) {
				otherRegion[class]++
			} else {
				budgets.RecordMiss(class)
			}
		}
	}
	if got, want := otherRegion["browse"], 950; got < want-1 || got > want+1 {
		t.Errorf("browse calls that may leave the region: got %d of 1000, want about %d", got, want)
	}
	if got, want := otherRegion["purchase"], 999; got < want {
		t.Errorf("purchase calls that may leave the region: got %d of 1000, want at least %d", got, want)
	}
}

func BenchmarkPick(b *testing.B) {
	table := newLocalTable(7)
	b.ReportAllocs()
	for i := range b.N {
		u := table.Pick(kqroute.PickInfo{Now: startTime, Random: uint64(i) * 0x9e3779b97f4a7c15})
		_ = table.Others(u)
		u.Begin()
		u.End(kqroute.CallResult{Now: startTime, Verdict: kqroute.Good, Load: &kqroute.Load{InFlight: 3, Limit: 36}})
	}
}

// TestWarmingUpstreamIsUsedWhenNoOtherIsEligible picks among warming upstreams
// only, and then from a warming upstream and one that was already tried.
func TestWarmingUpstreamIsUsedWhenNoOtherIsEligible(t *testing.T) {
	warming := []kqmember.Record{record(0, "lothian", "lothian-a", kqmember.LifeWarming), record(1, "lothian", "lothian-a", kqmember.LifeWarming)}
	mixed := []kqmember.Record{record(0, "lothian", "lothian-a", kqmember.LifeServing), record(1, "lothian", "lothian-a", kqmember.LifeWarming)}
	for i := range 64 {
		info := kqroute.PickInfo{Now: startTime, Random: rand.New(rand.NewPCG(4, uint64(i))).Uint64()}
		if got := kqroute.NewTable(own, warming, nil, startTime).Pick(info); got == nil {
			t.Fatalf("pick among warming upstreams: got none, want one")
		}
		table := kqroute.NewTable(own, mixed, nil, startTime)
		info.Tried.Add(table.Upstreams()[0])
		if got := table.Pick(info); got != table.Upstreams()[1] {
			t.Fatalf("pick beside a tried upstream: got %v, want the warming one", got)
		}
	}
}

// TestAvoidedUpstreamIsPickedOnlyWithoutRoomElsewhere avoids the upstream in the
// own failure domain, as for a call that a limit has kept from another server.
func TestAvoidedUpstreamIsPickedOnlyWithoutRoomElsewhere(t *testing.T) {
	now := time.Unix(0, 0)
	near, far := record(0, "lothian", "lothian-a", kqmember.LifeServing), record(1, "clyde", "clyde-a", kqmember.LifeServing)
	avoid := func(u *kqroute.Upstream) bool { return u.Record.NodeID == near.NodeID }
	table := kqroute.NewTable(own, []kqmember.Record{near, far}, nil, now)
	pick := func(tried kqroute.Tried) *kqroute.Upstream {
		return table.Pick(kqroute.PickInfo{Now: now, Random: 1, Tried: tried, AllowOtherRegion: true, Avoid: avoid})
	}
	u := pick(kqroute.Tried{})
	if got, want := u.Record.NodeID, far.NodeID; got != want {
		t.Errorf("pick while another upstream has room: got %s, want %s", got, want)
	}
	var tried kqroute.Tried
	tried.Add(u)
	if u = pick(tried); u == nil || u.Record.NodeID != near.NodeID {
		t.Errorf("pick without another upstream: got %+v, want %s", u, near.NodeID)
	}
}

// TestPickPanicsWhenAnUpstreamBecomesUnusableMeanwhile makes upstreams unusable
// while one is being picked, as a link that fails in another goroutine does.
func TestPickPanicsWhenAnUpstreamBecomesUnusableMeanwhile(t *testing.T) {
	const upstreams = 3
	table := newLocalTable(upstreams)
	for usableChecks := range 3 * upstreams {
		for random := range uint64(64) {
			checks := 0
			usable := func(*kqroute.Upstream) bool {
				checks++
				return checks <= usableChecks
			}
			u := table.Pick(kqroute.PickInfo{Now: startTime, Random: random<<32 | random, Usable: usable})
			if usableChecks == 0 && u != nil {
				t.Errorf("pick without a usable upstream: got %+v, want none", u.Record)
			}
		}
	}
}
