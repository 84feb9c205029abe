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
	begun = time.Unix(1_000_000, 0)
	own   = kqmember.Record{NodeID: "entry", Region: "lothian", FailureDomain: "lothian-a"}
)

func record(i int, region, domain string, life kqmember.Life) kqmember.Record {
	return kqmember.Record{NodeID: fmt.Sprintf("node-%d", i), Incarnation: 1, Region: region, FailureDomain: domain, Life: life}
}

// local makes a table of n upstreams in the own failure domain.
func local(n int) *kqroute.Table {
	var records []kqmember.Record
	for i := range n {
		records = append(records, record(i, "lothian", "lothian-a", kqmember.LifeServing))
	}
	return kqroute.NewTable(own, records, nil, begun)
}

func end(u *kqroute.Upstream, now time.Time, v kqroute.Verdict, load *kqroute.Load) {
	u.Begin()
	u.End(kqroute.CallResult{Now: now, Verdict: v, Load: load})
}

// twin is the naive table: it keeps every event and works everything out anew
// at each pick.
type twin struct {
	records []kqmember.Record
	events  []event
}

type event struct {
	upstream int
	at       time.Time
	verdict  kqroute.Verdict
	load     kqroute.Load
}

func (w *twin) share(i int, now time.Time) float64 {
	share := 0.0
	limit := 16.0
	for _, e := range w.events {
		if e.upstream != i {
			continue
		}
		limit = 16
		if e.load.Limit > 0 {
			limit = float64(e.load.Limit)
		}
		share = 0
		if age := now.Sub(e.at); age < time.Second {
			share = float64(max(0, e.load.InFlight+e.load.Queued-1)) * (1 - age.Seconds())
		}
	}
	share /= limit
	if w.refused(i, now) {
		return share + 1
	}
	return share
}

func (w *twin) refused(i int, now time.Time) bool {
	for _, e := range w.events {
		if e.upstream == i && e.verdict == kqroute.Full && now.Sub(e.at) < 100*time.Millisecond {
			return true
		}
	}
	return false
}

// aside counts back from the last event of the upstream.
func (w *twin) aside(i int, now time.Time) bool {
	count, next := 0, now
	for _, e := range slices.Backward(w.events) {
		if e.upstream != i || e.verdict == kqroute.Inconclusive || e.verdict == kqroute.Draining {
			continue
		}
		if e.verdict != kqroute.Faulty || (count == 0 && next.Sub(e.at) >= 10*time.Second) || (count > 0 && next.Sub(e.at) > 10*time.Second) {
			break
		}
		count, next = count+1, e.at
	}
	return count >= 3
}

func (w *twin) left(i int, now time.Time) bool {
	for _, e := range w.events {
		if e.upstream == i && e.verdict == kqroute.Draining && now.Sub(e.at) < 2*time.Second {
			return true
		}
	}
	return false
}

// pick lists the open upstreams of each ring and takes the lighter of two.
func (w *twin) pick(now time.Time, random uint64, far bool) int {
	aside := 0
	for i := range w.records {
		if w.aside(i, now) {
			aside++
		}
	}
	choose := func(ring kqroute.Distance) int {
		var open []int
		var shares []float64
		for i, r := range w.records {
			at := kqroute.OtherRegion
			if r.Region == own.Region {
				at = kqroute.SameRegion
			}
			if r.FailureDomain == own.FailureDomain {
				at = kqroute.SameDomain
			}
			if at == ring {
				shares = append(shares, w.share(i, now))
			}
			if at == ring && !w.left(i, now) && (!w.aside(i, now) || 2*aside > len(w.records)) {
				open = append(open, i)
			}
		}
		if len(open) == 0 {
			return -1
		}
		first := int(random>>32) % len(open)
		if len(open) == 1 {
			return open[first]
		}
		second := (first + 1 + int(random&0xffffffff)%(len(open)-1)) % len(open)
		slices.Sort(shares)
		hot := func(i int) bool {
			share := w.share(i, now)
			return w.refused(i, now) || (share > 1 && share > 2*shares[len(shares)/2])
		}
		if hot(open[first]) && !hot(open[second]) {
			return open[second]
		}
		return open[first]
	}
	chosen := choose(kqroute.SameDomain)
	if chosen >= 0 && w.share(chosen, now) < 0.5 {
		return chosen
	}
	if i := choose(kqroute.SameRegion); i >= 0 && (chosen < 0 || w.share(i, now) < w.share(chosen, now)) {
		chosen = i
	}
	if chosen >= 0 && (!far || w.share(chosen, now) < 1) {
		return chosen
	}
	if i := choose(kqroute.OtherRegion); i >= 0 && (chosen < 0 || w.share(i, now) < 1) {
		chosen = i
	}
	return chosen
}

func TestPickMatchesTwin(t *testing.T) {
	asides, fars := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		places := []string{"lothian-a", "lothian-b", "clyde-a"}
		w := &twin{}
		for i := range rapid.IntRange(1, 9).Draw(t, "upstreams") {
			domain := rapid.SampledFrom(places).Draw(t, "domain")
			w.records = append(w.records, record(i, domain[:len(domain)-2], domain, kqmember.LifeServing))
		}
		table := kqroute.NewTable(own, w.records, nil, begun)
		byName := map[string]*kqroute.Upstream{}
		for _, u := range table.Upstreams() {
			byName[u.Record.NodeID] = u
		}
		now := begun
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "milliseconds")) * time.Millisecond)
			e := event{
				upstream: rapid.IntRange(0, len(w.records)-1).Draw(t, "upstream"), at: now,
				verdict: rapid.SampledFrom([]kqroute.Verdict{kqroute.Good, kqroute.Full, kqroute.Draining, kqroute.Faulty, kqroute.Faulty, kqroute.Faulty}).Draw(t, "verdict"),
				load:    kqroute.Load{InFlight: rapid.IntRange(0, 40).Draw(t, "load"), Limit: rapid.SampledFrom([]int{0, 5, 36}).Draw(t, "limit")},
			}
			w.events = append(w.events, e)
			end(byName[w.records[e.upstream].NodeID], now, e.verdict, &e.load)
			random, far := rapid.Uint64().Draw(t, "random"), rapid.Bool().Draw(t, "far")
			got := table.Pick(kqroute.PickInfo{Now: now, Random: random, AllowOtherRegion: far})
			want := w.pick(now, random, far)
			if got == nil || want < 0 {
				if got != nil || want >= 0 {
					t.Fatalf("pick: got %v, want %d", got, want)
				}
				continue
			}
			if got.Record.NodeID != w.records[want].NodeID {
				t.Fatalf("pick: got %s, want %s", got.Record.NodeID, w.records[want].NodeID)
			}
			if w.aside(e.upstream, now) {
				asides++
			}
			if got.Distance == kqroute.OtherRegion {
				fars++
			}
		}
	})
	if asides == 0 || fars == 0 {
		t.Errorf("cases with an upstream set aside: %d, with another region: %d; want some of each", asides, fars)
	}
}

func TestNeverMoreThanHalfAreLeftOut(t *testing.T) {
	for n := 1; n <= 9; n++ {
		table := local(n)
		for bad := range n + 1 {
			if bad > 0 {
				for range 5 {
					end(table.Upstreams()[bad-1], begun, kqroute.Faulty, nil)
				}
			}
			got := map[*kqroute.Upstream]bool{}
			for i := range 400 {
				got[table.Pick(kqroute.PickInfo{Now: begun, Random: rand.New(rand.NewPCG(1, uint64(i))).Uint64()})] = true
			}
			want := n - bad
			if bad > n/2 {
				want = n
			}
			if len(got) != want {
				t.Errorf("%d upstreams, %d bad: got %d in use, want %d", n, bad, len(got), want)
			}
		}
	}
}

func TestProbeBringsUpstreamBack(t *testing.T) {
	table := local(2)
	bad := table.Upstreams()[0]
	for range 3 {
		end(bad, begun, kqroute.Faulty, nil)
	}
	picks := func(now time.Time, probe bool) bool {
		for i := range 64 {
			if table.Pick(kqroute.PickInfo{Now: now, Random: rand.New(rand.NewPCG(2, uint64(i))).Uint64(), AllowProbe: probe}) == bad {
				return true
			}
		}
		return false
	}
	later := begun.Add(250 * time.Millisecond)
	if picks(later.Add(-1), true) {
		t.Error("a probe goes out too early")
	}
	if picks(later, false) {
		t.Error("a call that runs once is used as a probe")
	}
	if !picks(later, true) {
		t.Error("no probe goes out")
	}
	bad.MarkProbe(later)
	if picks(later.Add(time.Millisecond), true) {
		t.Error("a second probe goes out beside the first")
	}
	end(bad, later.Add(2*time.Millisecond), kqroute.Good, nil)
	if !picks(later.Add(3*time.Millisecond), false) {
		t.Error("an upstream that answered its probe is still set aside")
	}
}

func TestFaultsFadeWithoutCalls(t *testing.T) {
	table := local(2)
	for range 9 {
		end(table.Upstreams()[0], begun, kqroute.Faulty, nil)
	}
	found := false
	for i := range 64 {
		u := table.Pick(kqroute.PickInfo{Now: begun.Add(10 * time.Second), Random: rand.New(rand.NewPCG(3, uint64(i))).Uint64()})
		found = found || u == table.Upstreams()[0]
	}
	if !found {
		t.Error("an upstream is set aside for ever when no call can probe it")
	}
}

func TestWarmingUpstreamGetsGrowingShare(t *testing.T) {
	records := []kqmember.Record{record(0, "lothian", "lothian-a", kqmember.LifeServing), record(1, "lothian", "lothian-a", kqmember.LifeWarming)}
	table := kqroute.NewTable(own, records, nil, begun)
	last := 0
	for _, second := range []int{0, 2, 5, 9} {
		r := rand.New(rand.NewPCG(4, uint64(second)))
		got := 0
		for range 4000 {
			if table.Pick(kqroute.PickInfo{Now: begun.Add(time.Duration(second) * time.Second), Random: r.Uint64()}).Record.NodeID == "node-1" {
				got++
			}
		}
		if got <= last {
			t.Errorf("after %d s: got %d of 4000 calls, want more than %d", second, got, last)
		}
		last = got
	}
}

func TestNewTableKeepsWhatWasLearned(t *testing.T) {
	table := local(3)
	u := table.Upstreams()[1]
	u.Begin()
	records := []kqmember.Record{u.Record, record(7, "lothian", "lothian-a", kqmember.LifeServing)}
	next := kqroute.NewTable(own, records, table, begun)
	if got, want := next.Upstreams()[0].Outstanding(), 1; got != want {
		t.Errorf("outstanding in the next table: got %d, want %d", got, want)
	}
	u.End(kqroute.CallResult{Now: begun, Verdict: kqroute.Good})
	if got, want := next.Upstreams()[0].Outstanding(), 0; got != want {
		t.Errorf("outstanding after the end: got %d, want %d", got, want)
	}
	records[0].Incarnation++
	u.Begin()
	if got, want := kqroute.NewTable(own, records, next, begun).Upstreams()[0].Outstanding(), 0; got != want {
		t.Errorf("outstanding of a restarted upstream: got %d, want %d", got, want)
	}
}

func TestTriedAndOthers(t *testing.T) {
	table := local(3)
	var tried kqroute.Tried
	seen := map[string]bool{}
	for i := range 3 {
		u := table.Pick(kqroute.PickInfo{Now: begun, Random: uint64(i) << 32, Tried: tried})
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
	if u := table.Pick(kqroute.PickInfo{Now: begun, Tried: tried}); u != nil {
		t.Errorf("pick with all tried: got %s, want none", u.Record.NodeID)
	}
}

// TestAllowanceMatchesLedger holds the allowance between regions against a sum
// over everything that was ever charged.
func TestAllowanceMatchesLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = 1000
		allowance := kqroute.NewBandwidthLimiter(rate)
		now, left := begun, float64(2*rate)
		for range rapid.IntRange(1, 80).Draw(t, "calls") {
			step := time.Duration(rapid.IntRange(0, 3000).Draw(t, "milliseconds")) * time.Millisecond
			now = now.Add(step)
			left = min(2*rate, left+rate*step.Seconds())
			if got, want := allowance.Available("clyde", now), left > 0; got != want {
				t.Fatalf("open with %.3f bytes left: got %v, want %v", left, got, want)
			}
			if left > 0 {
				bytes := rapid.IntRange(1, 4000).Draw(t, "bytes")
				allowance.Charge("clyde", bytes, now)
				left -= float64(bytes)
			}
		}
	})
}

func TestOnlyClassesInNeedGoFar(t *testing.T) {
	needs := kqroute.NewErrorBudgets()
	far := map[string]int{}
	for range 1000 {
		for class, complete := range map[string]float64{"browse": 95, "purchase": 99.9} {
			if needs.RecordCall(class, complete) {
				far[class]++
			} else {
				needs.RecordMiss(class)
			}
		}
	}
	if got, want := far["browse"], 950; got < want-1 || got > want+1 {
		t.Errorf("browse calls that may leave the region: got %d of 1000, want about %d", got, want)
	}
	if got, want := far["purchase"], 999; got < want {
		t.Errorf("purchase calls that may leave the region: got %d of 1000, want at least %d", got, want)
	}
}

func BenchmarkPick(b *testing.B) {
	table := local(7)
	b.ReportAllocs()
	for i := range b.N {
		u := table.Pick(kqroute.PickInfo{Now: begun, Random: uint64(i) * 0x9e3779b97f4a7c15})
		_ = table.Others(u)
		u.Begin()
		u.End(kqroute.CallResult{Now: begun, Verdict: kqroute.Good, Load: &kqroute.Load{InFlight: 3, Limit: 36}})
	}
}

// TestWarmingUpstreamTakesWhatNoOtherCan has only warming upstreams, and then
// one warming upstream beside one that was tried.
func TestWarmingUpstreamTakesWhatNoOtherCan(t *testing.T) {
	warming := []kqmember.Record{record(0, "lothian", "lothian-a", kqmember.LifeWarming), record(1, "lothian", "lothian-a", kqmember.LifeWarming)}
	mixed := []kqmember.Record{record(0, "lothian", "lothian-a", kqmember.LifeServing), record(1, "lothian", "lothian-a", kqmember.LifeWarming)}
	for i := range 64 {
		ask := kqroute.PickInfo{Now: begun, Random: rand.New(rand.NewPCG(4, uint64(i))).Uint64()}
		if got := kqroute.NewTable(own, warming, nil, begun).Pick(ask); got == nil {
			t.Fatalf("pick among warming upstreams: got none, want one")
		}
		table := kqroute.NewTable(own, mixed, nil, begun)
		ask.Tried.Add(table.Upstreams()[0])
		if got := table.Pick(ask); got != table.Upstreams()[1] {
			t.Fatalf("pick beside a tried upstream: got %v, want the warming one", got)
		}
	}
}
