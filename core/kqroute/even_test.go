package kqroute_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqroute"
)

// Sizes of the simulated fleet of uneven servers, in virtual time.
const (
	fleetRun      = 40 * time.Millisecond
	fleetDeadline = 700 * time.Millisecond
	fleetEnd      = 8 * time.Second
	fleetWarmup   = time.Second
	fleetBin      = 250 * time.Millisecond
	fleetWave     = 3 * time.Second
	fleetMaxTries = 4
)

// fleetPaces holds how long work takes at the servers of a fleet, by domain. Two
// domains are a region each.
var fleetPaces = [...][]float64{{0.6, 1.0, 1.5}, {0.6, 1.0}, {1.5, 1.0, 0.6}, {1.0, 1.5}, {0.6, 1.0}, {1.5, 1.0}}

// placement is a way to choose an upstream.
type placement struct {
	name string
	even bool
	// pick replaces Table.Pick, if it is set.
	pick func(t *kqroute.Table, info kqroute.PickInfo) *kqroute.Upstream
	// handBacks is how many full servers hand a call back before one queues it.
	handBacks int
	// shared has all calls wait in one queue, which knows every free slot.
	shared bool
}

// leastUtilized picks the upstream of the region that seems least used.
func leastUtilized(t *kqroute.Table, info kqroute.PickInfo) *kqroute.Upstream {
	var best *kqroute.Upstream
	for _, u := range t.Upstreams() {
		if u.Distance == kqroute.OtherRegion || info.Tried.Has(u) {
			continue
		}
		if best == nil || u.Sight(info.Now).Utilization < best.Sight(info.Now).Utilization {
			best = u
		}
	}
	return best
}

var (
	oneQueue    = placement{name: "one queue", shared: true}
	twoChoices  = placement{name: "two choices"}
	even        = placement{name: "even", even: true}
	leastUsed   = placement{name: "least used", pick: leastUtilized}
	lateBinding = placement{name: "two, handed back", handBacks: 2}
	evenLate    = placement{name: "even, handed back", even: true, handBacks: 2}
)

// disturbance is what goes wrong in a simulated fleet.
type disturbance struct {
	name string
	// report returns what the answer of a server reports, and how old that is.
	report func(s *fleetServer) *kqroute.Load
	// age is how old reports are, at most.
	age time.Duration
	// slow makes server 0 half as fast every other second, and failing makes it
	// fail seven calls of ten at once after two seconds.
	slow    bool
	failing bool
	// forgets makes a quarter of the entries forget what they know each second.
	forgets bool
	// former is the share of the nodes of the former build: their entries choose by
	// two choices, and their gates hand nothing back.
	former float64
	// silentAfter is when the reports stop, or 0.
	silentAfter time.Duration
	// outage makes every third server fail all calls at once from the second to
	// the sixth second.
	outage bool
	// frozen makes server 1 answer nothing from the third to the fifth second.
	frozen bool
	// reused replaces server 0, under its former ID, in the fourth second.
	reused bool
}

type fleetServer struct {
	simServer
	index   int
	pace    float64
	history []timedLoad
	busy    [int(fleetEnd / fleetBin)]float64
}

type timedLoad struct {
	at   time.Duration
	load kqroute.Load
}

// fleetResult is how the calls of a simulated fleet ended.
type fleetResult struct {
	// peak is the largest use of a server's slots, divided by the mean, as a mean
	// over time. idle is the share of slot time that was free while calls waited.
	peak, idle float64
	// p99 counts a failed call as one that took all its time.
	p99    time.Duration
	failed float64
	calls  int
}

func (r fleetResult) String() string {
	return fmt.Sprintf("peak %.2f, idle while calls wait %.3f, P99 %s, failed %.4f", r.peak, r.idle, r.p99.Round(time.Millisecond), r.failed)
}

// fleet is a simulated fleet: entries in six domains of three regions, and the
// servers of one service.
type fleet struct {
	placement
	disturbance
	random  *rand.Rand
	pending eventQueue
	now     time.Duration
	servers []*fleetServer
	tables  []*kqroute.Table
	entries []kqmember.Record
	records []kqmember.Record
	times   []time.Duration
	failed  int
	// queue holds the calls that wait for any server, by their entries.
	queue   []func(s *fleetServer)
	waiting int
	idle    float64
	total   float64
}

func domainRecord(i, domain int) kqmember.Record {
	return record(i, fmt.Sprintf("region-%d", domain/2), fmt.Sprintf("domain-%d", domain), kqmember.LifeServing)
}

func newFleet(p placement, d disturbance, entries, slots int) *fleet {
	f := &fleet{placement: p, disturbance: d, random: rand.New(rand.NewPCG(47, uint64(entries)))}
	for domain, paces := range fleetPaces {
		for _, pace := range paces {
			i := len(f.servers)
			f.servers = append(f.servers, &fleetServer{simServer: simServer{slots: slots}, index: i, pace: pace})
			f.records = append(f.records, domainRecord(i, domain))
		}
	}
	for i := range entries {
		r := domainRecord(1000+i, i%len(fleetPaces))
		f.entries = append(f.entries, r)
		f.tables = append(f.tables, kqroute.NewTable(r, f.records, nil, startTime))
	}
	return f
}

func (f *fleet) at(delay time.Duration, do func()) {
	heap.Push(&f.pending, simEvent{f.now + delay, do})
}

// run plays the fleet's calls, at the given share of the capacity.
func (f *fleet) run(load float64) fleetResult {
	capacity := 0.0
	for _, s := range f.servers {
		capacity += float64(s.slots) / (s.pace * fleetRun.Seconds())
	}
	for domain := range fleetPaces {
		f.arrivals(domain, capacity*load/float64(len(fleetPaces)))
	}
	if f.forgets {
		f.at(time.Second, f.forget)
	}
	if f.reused {
		f.at(4*time.Second, func() { f.records[0].Incarnation++; f.rebuild(func(int) bool { return true }) })
	}
	for len(f.pending) > 0 {
		e := heap.Pop(&f.pending).(simEvent)
		f.advance(e.at)
		e.do()
	}
	return f.result()
}

// advance adds up the use of the slots until the time.
func (f *fleet) advance(until time.Duration) {
	for step := until - f.now; step > 0 && f.now < fleetEnd; step = until - f.now {
		bin := f.now / fleetBin
		step = min(step, (bin+1)*fleetBin-f.now, fleetEnd-f.now)
		free := 0
		for _, s := range f.servers {
			s.busy[bin] += float64(s.inFlight) * step.Seconds()
			free += s.slots - s.inFlight
		}
		if f.now >= fleetWarmup {
			f.total += float64(len(f.servers)*f.servers[0].slots) * step.Seconds()
			f.idle += float64(min(free, f.waiting)) * step.Seconds()
		}
		f.now += step
	}
	f.now = until
}

func (f *fleet) forget() {
	f.rebuild(func(i int) bool { return i%4 != int(f.now/time.Second)%4 })
	if f.now < fleetEnd {
		f.at(time.Second, f.forget)
	}
}

// rebuild makes the tables anew, with what the entries for which keeps is true have
// learned.
func (f *fleet) rebuild(keeps func(entry int) bool) {
	for i, r := range f.entries {
		former := f.tables[i]
		if !keeps(i) {
			former = nil
		}
		f.tables[i] = kqroute.NewTable(r, f.records, former, startTime.Add(f.now))
	}
}

// arrivals begins calls at the entries of a domain. Their rate rises and falls, in
// turn with that of the other domains.
func (f *fleet) arrivals(domain int, rate float64) {
	phase := 2 * math.Pi * (f.now.Seconds()/fleetWave.Seconds() + float64(domain)/float64(len(fleetPaces)))
	gap := f.random.ExpFloat64() / (rate * (1 + 0.55*math.Sin(phase)))
	if f.now > fleetEnd {
		return
	}
	f.at(time.Duration(gap*float64(time.Second)), func() {
		entry := domain + len(fleetPaces)*f.random.IntN(len(f.entries)/len(fleetPaces))
		f.send(entry, f.now, kqroute.Tried{}, 1)
		f.arrivals(domain, rate)
	})
}

// sendShared runs a call at the nearest server with a free slot, or has it wait for
// the first one.
func (f *fleet) sendShared(entry int, begun time.Duration) {
	upstreams := f.tables[entry].Upstreams()
	run := func(s *fleetServer) {
		u := upstreams[slices.IndexFunc(upstreams, func(u *kqroute.Upstream) bool { return u.Record.NodeID == f.records[s.index].NodeID })]
		s.inFlight++
		f.at(f.runTime(s), func() {
			s.inFlight--
			f.at(2*ways[u.Distance], func() { f.end(begun, true) })
			if len(f.queue) > 0 {
				next := f.queue[0]
				f.queue = f.queue[1:]
				next(s)
			}
		})
	}
	for _, u := range upstreams {
		if s := f.serverOf(u); s.inFlight < s.slots {
			run(s)
			return
		}
	}
	f.queue = append(f.queue, run)
}

func (f *fleet) serverOf(u *kqroute.Upstream) *fleetServer {
	return f.servers[slices.IndexFunc(f.records, func(r kqmember.Record) bool { return r.NodeID == u.Record.NodeID })]
}

// runTime returns how long a call takes that begins at the server now.
func (f *fleet) runTime(s *fleetServer) time.Duration {
	pace := s.pace
	if f.slow && s.index == 0 && int(f.now/time.Second)%2 == 1 {
		pace *= 2
	}
	return time.Duration(pace * (0.5 + 0.5*f.random.ExpFloat64()) * float64(fleetRun))
}

// ways holds how long a message takes to an upstream.
var ways = map[kqroute.Distance]time.Duration{kqroute.SameDomain: 100 * time.Microsecond, kqroute.SameRegion: 900 * time.Microsecond, kqroute.OtherRegion: 20 * time.Millisecond}

// send sends a call to the server that the placement chooses.
func (f *fleet) send(entry int, begun time.Duration, tried kqroute.Tried, try int) {
	if f.shared {
		f.sendShared(entry, begun)
		return
	}
	table := f.tables[entry]
	former := float64(entry) < f.former*float64(len(f.entries))
	info := kqroute.PickInfo{
		Now: startTime.Add(f.now), Random: f.random.Uint64(), Tried: tried, AllowOtherRegion: true, AllowProbe: true,
		Even: f.even && !former,
	}
	pick := f.pick
	if pick == nil {
		pick = (*kqroute.Table).Pick
	}
	u := pick(table, info)
	if u == nil {
		f.end(begun, false)
		return
	}
	u.MarkProbe(info.Now)
	u.Begin()
	tried.Add(u)
	s, way := f.serverOf(u), ways[u.Distance]
	f.at(way, func() {
		formerGate := float64(s.index) < f.former*float64(len(f.servers))
		handBack := try <= f.handBacks && !former && !formerGate && !table.AnyFailing(info.Now)
		f.arrive(s, handBack, func(v kqroute.Verdict, run time.Duration) {
			report := f.reportOf(s)
			f.at(way, func() {
				u.End(kqroute.CallResult{Now: startTime.Add(f.now), Verdict: v, Load: report, Run: run, Class: "read"})
				switch v {
				case kqroute.Good:
					f.end(begun, true)
				case kqroute.Inconclusive, kqroute.Full:
					if try >= fleetMaxTries+f.handBacks {
						f.end(begun, false)
						return
					}
					f.send(entry, begun, tried, try+1)
				default:
					f.end(begun, false)
				}
			})
		})
	})
}

// arrive runs or queues a call, or hands it back.
func (f *fleet) arrive(s *fleetServer, handBack bool, done func(v kqroute.Verdict, run time.Duration)) {
	s.calls++
	switch {
	case f.failing && s.index == 0 && f.now > 2*time.Second && f.random.Float64() < 0.7:
		done(kqroute.Faulty, 0)
	case f.outage && s.index%3 == 0 && f.now > 2*time.Second && f.now < 6*time.Second:
		done(kqroute.Faulty, 0)
	case s.inFlight < s.slots:
		f.begin(s, done)
	case handBack:
		done(kqroute.Inconclusive, 0)
	case len(s.queue) >= s.slots:
		done(kqroute.Full, 0)
	default:
		f.waiting++
		s.queue = append(s.queue, func() { f.waiting--; f.begin(s, done) })
	}
}

func (f *fleet) begin(s *fleetServer, done func(v kqroute.Verdict, run time.Duration)) {
	s.inFlight++
	run := f.runTime(s)
	verdict := kqroute.Good
	if f.frozen && s.index == 1 && f.now > 3*time.Second && f.now < 5*time.Second {
		run, verdict = fleetDeadline, kqroute.Faulty
	}
	f.at(run, func() {
		s.inFlight--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			next()
		}
		done(verdict, run)
	})
}

// reportOf returns what an answer of the server reports now.
func (f *fleet) reportOf(s *fleetServer) *kqroute.Load {
	if f.silentAfter > 0 && f.now > f.silentAfter {
		return nil
	}
	s.history = append(s.history, timedLoad{f.now, s.load()})
	if f.report != nil {
		return f.report(s)
	}
	oldest := f.now - f.age
	i, _ := slices.BinarySearchFunc(s.history, oldest, func(l timedLoad, at time.Duration) int { return int(l.at - at) })
	if i > 1024 {
		s.history = append([]timedLoad(nil), s.history[i:]...)
		i = 0
	}
	load := s.history[i].load
	return &load
}

func (f *fleet) end(begun time.Duration, served bool) {
	if begun < fleetWarmup {
		return
	}
	took := f.now - begun
	if !served || took > fleetDeadline {
		f.failed++
		took = max(took, fleetDeadline)
	}
	f.times = append(f.times, took)
}

func (f *fleet) result() fleetResult {
	r := fleetResult{calls: len(f.times), idle: f.idle / f.total}
	bins := 0
	for bin := int(fleetWarmup / fleetBin); bin < int(fleetEnd/fleetBin); bin++ {
		most, sum := 0.0, 0.0
		for _, s := range f.servers {
			most, sum = max(most, s.busy[bin]), sum+s.busy[bin]
		}
		if sum > 0 {
			r.peak += most / (sum / float64(len(f.servers)))
			bins++
		}
	}
	r.peak /= float64(max(bins, 1))
	slices.Sort(f.times)
	if len(f.times) > 0 {
		r.p99 = f.times[len(f.times)*99/100]
	}
	r.failed = float64(f.failed) / float64(max(r.calls, 1))
	return r
}

var (
	calm         = disturbance{name: "calm"}
	disturbances = []disturbance{
		calm,
		{name: "reports 50 ms old", age: 50 * time.Millisecond},
		{name: "reports 500 ms old", age: 500 * time.Millisecond},
		{name: "no reports", report: func(*fleetServer) *kqroute.Load { return nil }},
		{name: "reports stuck", report: func(s *fleetServer) *kqroute.Load { return &s.history[0].load }},
		{name: "server 0 reports idle", report: func(s *fleetServer) *kqroute.Load { return reportsIdle(s.index, &s.simServer) }},
		{name: "server 0 reports a huge limit", report: func(s *fleetServer) *kqroute.Load { return reportsHugeLimit(s.index, &s.simServer) }},
		{name: "server 0 slow by turns", slow: true},
		{name: "server 0 fails calls", failing: true},
		{name: "every third server fails all calls", outage: true},
		{name: "entries restart", forgets: true},
		{name: "half of the nodes are older", former: 0.5},
		{name: "reports stop", silentAfter: 3 * time.Second},
		{name: "server 1 frozen for 2 s", frozen: true},
		{name: "server 0 back under its former ID", reused: true},
	}
	// Sizes are multiples of the number of domains.
	fleetSizes   = []int{24, 84, 198, 300}
	failureSizes = []int{24, 300}
)

// TestPlacements compares placements with one queue that knows every free slot. The
// results are the table of docs/design/even-load.md.
func TestPlacements(t *testing.T) {
	const maxIdle, maxRatio = 0.02, 1.1
	for _, entries := range fleetSizes {
		want := newFleet(oneQueue, calm, entries, 20).run(0.75)
		t.Logf("%3d entries, %-18s %s", entries, oneQueue.name, want)
		for _, p := range []placement{twoChoices, leastUsed, even, lateBinding, evenLate} {
			got := newFleet(p, calm, entries, 20).run(0.75)
			t.Logf("%3d entries, %-18s %s", entries, p.name, got)
			if p.name != evenLate.name {
				continue
			}
			if got.idle > maxIdle {
				t.Errorf("%d entries: got %.3f of the slots idle while calls wait, want at most %.3f", entries, got.idle, maxIdle)
			}
			if ratio := got.p99.Seconds() / want.p99.Seconds(); ratio > maxRatio {
				t.Errorf("%d entries: got a P99 of %.2f times that of one queue, want at most %.2f", entries, ratio, maxRatio)
			}
		}
	}
}

// TestEvenRoutingIsNoWorseUnderOneFailure compares even routing with two choices
// when one thing goes wrong.
func TestEvenRoutingIsNoWorseUnderOneFailure(t *testing.T) {
	for _, d := range disturbances {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			for _, entries := range failureSizes {
				was, got := newFleet(twoChoices, d, entries, 10).run(0.65), newFleet(evenLate, d, entries, 10).run(0.65)
				t.Logf("%3d entries: two choices %s", entries, was)
				t.Logf("%3d entries: even        %s", entries, got)
				if got.p99.Seconds() > 1.05*was.p99.Seconds() {
					t.Errorf("%d entries: got a P99 of %s, want at most 1.05 times the %s of two choices", entries, got.p99, was.p99)
				}
				if got.failed > 1.05*was.failed+0.0005 {
					t.Errorf("%d entries: got %.4f failed, want at most 1.05 times the %.4f of two choices", entries, got.failed, was.failed)
				}
			}
		})
	}
}

// TestFailingUpstreamIsPassedOver has one of four upstreams fail, until it gets calls
// only as probes, and then come back.
func TestFailingUpstreamIsPassedOver(t *testing.T) {
	table, now := newLocalTable(4), startTime
	random := rand.New(rand.NewPCG(5, 47))
	failing := table.Upstreams()[0]
	send := func(calls int, faulty bool) (atFailing int) {
		for range calls {
			now = now.Add(5 * time.Millisecond)
			u := table.Pick(kqroute.PickInfo{Now: now, Random: random.Uint64(), Even: true})
			verdict := kqroute.Good
			if u == failing {
				atFailing++
				// Every other call is answered, so that no ejection sets in.
				if faulty && atFailing%2 == 0 {
					verdict = kqroute.Faulty
				}
			}
			finishCall(u, now, verdict, &kqroute.Load{InFlight: 4, Limit: 20})
		}
		return atFailing
	}
	if got := send(400, false); got < 60 {
		t.Fatalf("sound upstream: got %d of 400 calls, want at least 60", got)
	}
	send(100, true)
	if got := send(400, true); got > 20 {
		t.Errorf("failing upstream: got %d of 400 calls, want at most 20", got)
	}
	now = now.Add(10 * time.Second)
	if got := send(400, false); got < 60 {
		t.Errorf("upstream that is sound again: got %d of 400 calls, want at least 60", got)
	}
}

// TestCallRefusedBySoundUpstreamIsNotSentToFailingOnes has two of three upstreams fail
// all calls, while the third is full.
func TestCallRefusedBySoundUpstreamIsNotSentToFailingOnes(t *testing.T) {
	table := newLocalTable(3)
	sound := table.Upstreams()[2]
	for range 40 {
		for _, u := range table.Upstreams()[:2] {
			finishCall(u, startTime, kqroute.Faulty, &kqroute.Load{Limit: 20})
		}
		finishCall(sound, startTime, kqroute.Full, &kqroute.Load{InFlight: 20, Queued: 60, Limit: 20})
	}
	if !table.AnyFailing(startTime) {
		t.Error("failing upstreams: got none, want some")
	}
	random := rand.New(rand.NewPCG(8, 47))
	for range 100 {
		info := kqroute.PickInfo{Now: startTime, Random: random.Uint64(), AllowProbe: true, Even: true}
		if got := table.Pick(info); got != sound {
			t.Fatalf("pick beside failing upstreams: got %v, want the full one", got)
		}
		info.Tried.Add(sound)
		if got := table.Pick(info); got != nil {
			t.Fatalf("pick after the sound upstream has refused: got %s, want none", got.Record.NodeID)
		}
		sound.Begin()
		sound.End(kqroute.CallResult{Now: startTime, Verdict: kqroute.Full, Load: &kqroute.Load{InFlight: 20, Queued: 60, Limit: 20}})
	}
	for range 40 {
		finishCall(sound, startTime, kqroute.Faulty, &kqroute.Load{Limit: 20})
	}
	if got := table.Pick(kqroute.PickInfo{Now: startTime, Random: 1, AllowProbe: true, Even: true}); got == nil {
		t.Error("pick among failing upstreams alone: got none, want one")
	}
}

// TestWarmingUpstreamIsPreferredToFailingOnes has all upstreams but one that is warming fail
// two calls of three, so that none is ejected.
func TestWarmingUpstreamIsPreferredToFailingOnes(t *testing.T) {
	table := kqroute.NewTable(own, []kqmember.Record{
		record(0, "lothian", "lothian-a", kqmember.LifeServing), record(1, "lothian", "lothian-a", kqmember.LifeServing),
		record(2, "lothian", "lothian-a", kqmember.LifeWarming),
	}, nil, startTime)
	for i := range 60 {
		verdict := kqroute.Faulty
		if i%3 == 2 {
			verdict = kqroute.Good
		}
		for _, u := range table.Upstreams()[:2] {
			finishCall(u, startTime, verdict, &kqroute.Load{Limit: 20})
		}
	}
	random := rand.New(rand.NewPCG(9, 47))
	for range 100 {
		info := kqroute.PickInfo{Now: startTime, Random: random.Uint64(), Even: true}
		if got, want := table.Pick(info), table.Upstreams()[2]; got != want {
			t.Fatalf("pick: got %s, want the warming upstream", got.Record.NodeID)
		}
	}
}

// TestCallsFollowLimitAndPace has one upstream take half as long as the others, and
// one report half of their limit.
func TestCallsFollowLimitAndPace(t *testing.T) {
	table, random := newLocalTable(4), rand.New(rand.NewPCG(6, 47))
	got := map[*kqroute.Upstream]int{}
	const calls = 8000
	for i := range calls {
		now := startTime.Add(time.Duration(i) * time.Millisecond)
		u := table.Pick(kqroute.PickInfo{Now: now, Random: random.Uint64(), Even: true})
		got[u]++
		run, limit := 40*time.Millisecond, 40
		switch u {
		case table.Upstreams()[0]:
			run = 20 * time.Millisecond
		case table.Upstreams()[1]:
			limit = 20
		}
		u.Begin()
		u.End(kqroute.CallResult{Now: now, Verdict: kqroute.Good, Load: &kqroute.Load{Limit: limit}, Run: run, Class: "read"})
	}
	fast, small, usual := table.Upstreams()[0], table.Upstreams()[1], table.Upstreams()[2]
	if ratio := float64(got[fast]) / float64(got[usual]); ratio < 1.3 || ratio > 2.4 {
		t.Errorf("upstream twice as fast: got %.2f times the calls of another, want 1.3 to 2.4", ratio)
	}
	if ratio := float64(got[small]) / float64(got[usual]); ratio < 0.35 || ratio > 0.8 {
		t.Errorf("upstream of half the limit: got %.2f times the calls of another, want 0.35 to 0.8", ratio)
	}
}

// TestStretchOnlyLowersTheShare has one upstream's server state each of several
// stretches, true or not, while the others state 100.
func TestStretchOnlyLowersTheShare(t *testing.T) {
	for _, z := range []struct {
		upstreams, percent int
		least, most        float64
	}{
		{4, 1, 0.2, 0.3},
		{4, 100, 0.2, 0.3},
		{4, 140, 0.2, 0.3},
		{4, 250, 0.05, 0.18},
		{4, 1_000_000, 0.05, 0.18},
		{3, 1, 0.28, 0.38},
		{3, 250, 0.08, 0.24},
		{2, 1, 0.45, 0.55},
		{2, 60, 0.45, 0.55},
		{2, 250, 0.15, 0.37},
	} {
		table, random := newLocalTable(z.upstreams), rand.New(rand.NewPCG(7, 47))
		calls := 0
		for range 4000 {
			for _, u := range table.Upstreams() {
				u.RecordStretch(startTime, 100)
			}
			table.Upstreams()[0].RecordStretch(startTime, z.percent)
			if table.Pick(kqroute.PickInfo{Now: startTime, Random: random.Uint64(), Even: true}) == table.Upstreams()[0] {
				calls++
			}
		}
		if got := float64(calls) / 4000; got < z.least || got > z.most {
			t.Errorf("stretch of %d among %d upstreams: got a share of %.3f, want %.2f to %.2f", z.percent, z.upstreams, got, z.least, z.most)
		}
	}
}

func BenchmarkPickEven(b *testing.B) {
	table := newLocalTable(7)
	b.ReportAllocs()
	for i := range b.N {
		u := table.Pick(kqroute.PickInfo{Now: startTime, Random: uint64(i) * 0x9e3779b97f4a7c15, Even: true})
		u.Begin()
		u.End(kqroute.CallResult{Now: startTime, Verdict: kqroute.Good, Load: &kqroute.Load{InFlight: 3, Limit: 36}})
	}
}
