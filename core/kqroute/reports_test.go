package kqroute_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kumquatlink/core/kqroute"
)

// Sizes of a trial of load reports, in virtual time.
const (
	trialUpstreams = 7
	trialCalls     = 12_000
	trialService   = 10 * time.Millisecond
	trialLoad      = 0.8
)

// moment is something that happens in a trial.
type moment struct {
	at time.Duration
	do func()
}

type moments []moment

func (m moments) Len() int           { return len(m) }
func (m moments) Less(i, j int) bool { return m[i].at < m[j].at }
func (m moments) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)        { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

// trialServer runs calls in its slots, first come first served.
type trialServer struct {
	inFlight int
	slots    int
	slow     float64
	queue    []func()
	history  []kqroute.Load
	calls    int
}

func (s *trialServer) load() kqroute.Load {
	return kqroute.Load{InFlight: s.inFlight, Queued: len(s.queue), Limit: s.slots}
}

// reporter gives what the upstream of that number reports, or nil.
type reporter func(i int, s *trialServer) *kqroute.Load

func truthful(_ int, s *trialServer) *kqroute.Load {
	l := s.load()
	return &l
}

func ignored(int, *trialServer) *kqroute.Load { return nil }

// lagging reports what was true 300 answers ago.
func lagging(_ int, s *trialServer) *kqroute.Load {
	s.history = append(s.history, s.load())
	return &s.history[max(0, len(s.history)-300)]
}

// liar has one upstream always report that it is idle.
func liar(i int, s *trialServer) *kqroute.Load {
	if i == 0 {
		return &kqroute.Load{Limit: s.slots}
	}
	return truthful(i, s)
}

// braggart also claims a limit that it does not have.
func braggart(i int, s *trialServer) *kqroute.Load {
	if i == 0 {
		return &kqroute.Load{Limit: 1 << 20}
	}
	return truthful(i, s)
}

// trial sends calls from many entries and gives the 99th percentile of their
// times, and the largest share of the calls that one upstream got.
func trial(report reporter, entries, slots int, slow float64) (p99 time.Duration, share float64) {
	r := rand.New(rand.NewPCG(7, 11))
	tables := make([]*kqroute.Table, entries)
	for i := range tables {
		tables[i] = local(trialUpstreams)
	}
	servers := make([]*trialServer, trialUpstreams)
	for i := range servers {
		servers[i] = &trialServer{slots: slots, slow: 1}
	}
	servers[trialUpstreams-1].slow = slow
	var times []time.Duration
	var pending moments
	now := time.Duration(0)
	start := func(s *trialServer, done func()) {
		s.inFlight++
		ends := now + time.Duration(r.ExpFloat64()*s.slow*float64(trialService))
		heap.Push(&pending, moment{ends, func() {
			done()
			s.inFlight--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
		}})
	}
	gap := float64(trialService) / (trialUpstreams * float64(slots) * trialLoad)
	arrive := func() {
		table := tables[r.IntN(entries)]
		u := table.Pick(kqroute.PickInfo{Now: begun.Add(now), Random: r.Uint64()})
		i := slices.Index(table.Upstreams(), u)
		s, came := servers[i], now
		s.calls++
		u.Begin()
		done := func() {
			u.End(kqroute.CallResult{Now: begun.Add(now), Verdict: kqroute.Good, Load: report(i, s)})
			times = append(times, now-came)
		}
		if s.inFlight < s.slots {
			start(s, done)
			return
		}
		s.queue = append(s.queue, func() { start(s, done) })
	}
	left := trialCalls
	var come func()
	come = func() {
		arrive()
		if left--; left > 0 {
			heap.Push(&pending, moment{now + time.Duration(r.ExpFloat64()*gap), come})
		}
	}
	heap.Push(&pending, moment{0, come})
	for len(pending) > 0 {
		m := heap.Pop(&pending).(moment)
		now = m.at
		m.do()
	}
	slices.Sort(times)
	most := 0
	for _, s := range servers {
		most = max(most, s.calls)
	}
	return times[len(times)*99/100], float64(most) / trialCalls
}

// worstRatio allows for a wrong report's influence on a choice, which is that
// of one call of the entry's own.
const worstRatio = 1.15

// TestWrongReportsDoLittleHarm compares the 99th percentile under each kind of
// report with that of the same calls without any.
func TestWrongReportsDoLittleHarm(t *testing.T) {
	reporters := map[string]reporter{"truthful": truthful, "lagging": lagging, "liar": liar, "braggart": braggart}
	for _, z := range []struct {
		entries, slots int
		slow           float64
	}{{4, 5, 1}, {40, 5, 1}, {400, 5, 1}, {400, 36, 2}} {
		none, _ := trial(ignored, z.entries, z.slots, z.slow)
		for name, report := range reporters {
			got, share := trial(report, z.entries, z.slots, z.slow)
			ratio := float64(got) / float64(none)
			t.Logf("%s, %d entries, %d slots, one %g times as slow: P99 %s, %.2f times that without reports; largest share %.3f",
				name, z.entries, z.slots, z.slow, got.Round(time.Millisecond), ratio, share)
			if ratio > worstRatio {
				t.Errorf("%s, %d entries, %d slots: got a P99 of %.2f times that without reports, want at most %.2f", name, z.entries, z.slots, ratio, worstRatio)
			}
		}
	}
}
