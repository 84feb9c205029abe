package kqroute_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kumquatlink/core/kqroute"
)

// Sizes of the simulation of load reports, in virtual time.
const (
	simUpstreams   = 7
	simCalls       = 12_000
	simServiceTime = 10 * time.Millisecond
	simLoad        = 0.8
)

// simEvent is an event of the simulation.
type simEvent struct {
	at time.Duration
	do func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simServer runs calls in its slots, first come, first served.
type simServer struct {
	inFlight int
	slots    int
	slowdown float64
	queue    []func()
	history  []kqroute.Load
	calls    int
}

func (s *simServer) load() kqroute.Load {
	return kqroute.Load{InFlight: s.inFlight, Queued: len(s.queue), Limit: s.slots}
}

// reporter returns the load that upstream number i reports, or nil.
type reporter func(i int, s *simServer) *kqroute.Load

func truthful(_ int, s *simServer) *kqroute.Load {
	l := s.load()
	return &l
}

func noReports(int, *simServer) *kqroute.Load { return nil }

// lagging reports the load as it was 300 answers ago.
func lagging(_ int, s *simServer) *kqroute.Load {
	s.history = append(s.history, s.load())
	return &s.history[max(0, len(s.history)-300)]
}

// reportsIdle has one upstream always report that it is idle.
func reportsIdle(i int, s *simServer) *kqroute.Load {
	if i == 0 {
		return &kqroute.Load{Limit: s.slots}
	}
	return truthful(i, s)
}

// reportsHugeLimit has one upstream report that it is idle and has a limit far
// above its slots.
func reportsHugeLimit(i int, s *simServer) *kqroute.Load {
	if i == 0 {
		return &kqroute.Load{Limit: 1 << 20}
	}
	return truthful(i, s)
}

// simulate sends calls from many entries and returns the 99th percentile of
// their times, and the largest share of the calls that one upstream got. The
// last upstream takes slowdown times as long as the others.
func simulate(report reporter, entries, slots int, slowdown float64) (p99 time.Duration, share float64) {
	r := rand.New(rand.NewPCG(7, 11))
	tables := make([]*kqroute.Table, entries)
	for i := range tables {
		tables[i] = newLocalTable(simUpstreams)
	}
	servers := make([]*simServer, simUpstreams)
	for i := range servers {
		servers[i] = &simServer{slots: slots, slowdown: 1}
	}
	servers[simUpstreams-1].slowdown = slowdown
	var times []time.Duration
	var pending eventQueue
	now := time.Duration(0)
	start := func(s *simServer, done func()) {
		s.inFlight++
		ends := now + time.Duration(r.ExpFloat64()*s.slowdown*float64(simServiceTime))
		heap.Push(&pending, simEvent{ends, func() {
			done()
			s.inFlight--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
		}})
	}
	gap := float64(simServiceTime) / (simUpstreams * float64(slots) * simLoad)
	arrive := func() {
		table := tables[r.IntN(entries)]
		u := table.Pick(kqroute.PickInfo{Now: startTime.Add(now), Random: r.Uint64()})
		i := slices.Index(table.Upstreams(), u)
		s, arrived := servers[i], now
		s.calls++
		u.Begin()
		done := func() {
			u.End(kqroute.CallResult{Now: startTime.Add(now), Verdict: kqroute.Good, Load: report(i, s)})
			times = append(times, now-arrived)
		}
		if s.inFlight < s.slots {
			start(s, done)
			return
		}
		s.queue = append(s.queue, func() { start(s, done) })
	}
	left := simCalls
	var nextArrival func()
	nextArrival = func() {
		arrive()
		if left--; left > 0 {
			heap.Push(&pending, simEvent{now + time.Duration(r.ExpFloat64()*gap), nextArrival})
		}
	}
	heap.Push(&pending, simEvent{0, nextArrival})
	for len(pending) > 0 {
		m := heap.Pop(&pending).(simEvent)
		now = m.at
		m.do()
	}
	slices.Sort(times)
	most := 0
	for _, s := range servers {
		most = max(most, s.calls)
	}
	return times[len(times)*99/100], float64(most) / simCalls
}

// maxRatio is the largest permitted ratio of the 99th percentiles with and
// without load reports. It allows for the influence of a wrong report on a
// choice, which is that of one call of the entry itself.
const maxRatio = 1.15

// TestWrongLoadReportsHardlyRaiseLatency compares the 99th percentile under
// each kind of report with that of the same calls without reports.
func TestWrongLoadReportsHardlyRaiseLatency(t *testing.T) {
	reporters := map[string]reporter{"truthful": truthful, "lagging": lagging, "liar": reportsIdle, "braggart": reportsHugeLimit}
	for _, z := range []struct {
		entries, slots int
		slowdown       float64
	}{{4, 5, 1}, {40, 5, 1}, {400, 5, 1}, {400, 36, 2}} {
		none, _ := simulate(noReports, z.entries, z.slots, z.slowdown)
		for name, report := range reporters {
			got, share := simulate(report, z.entries, z.slots, z.slowdown)
			ratio := float64(got) / float64(none)
			t.Logf("%s, %d entries, %d slots, one %g times as slow: P99 %s, %.2f times that without reports; largest share %.3f",
				name, z.entries, z.slots, z.slowdown, got.Round(time.Millisecond), ratio, share)
			if ratio > maxRatio {
				t.Errorf("%s, %d entries, %d slots: got a P99 of %.2f times that without reports, want at most %.2f", name, z.entries, z.slots, ratio, maxRatio)
			}
		}
	}
}
