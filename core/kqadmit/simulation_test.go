package kqadmit_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"kumquatlink/core/kqadmit"
	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqlimit"
)

// load is the calls of one class that are offered to the simulated gate.
type load struct {
	class  string
	rank   int
	budget time.Duration
	// rate gives the calls a second at a time.
	rate func(now time.Duration) float64
}

// server is the simulated backend server: it runs up to its slots and lets
// the rest wait, first come first served.
type server struct {
	slots int
	// own and onward give the parts of a call's service time.
	own    func(now time.Duration) time.Duration
	onward func(now time.Duration) time.Duration
	// sheds is how many calls may wait before it refuses by itself, or 0.
	sheds   int
	busy    int
	waiting []*simulated
}

// simulated is one call.
type simulated struct {
	id       uint64
	load     *load
	level    kqadmit.Level
	came     time.Duration
	deadline time.Duration
	began    time.Duration
	inFlight int
	onward   time.Duration
}

// occurrence is something that happens at a time.
type occurrence struct {
	at   time.Duration
	turn int
	do   func()
}

type agenda []occurrence

func (a agenda) Len() int      { return len(a) }
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].turn < a[j].turn
}
func (a *agenda) Push(x any) { *a = append(*a, x.(occurrence)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// simulation runs one gate and its backend server in virtual time.
type simulation struct {
	now    time.Duration
	turn   int
	agenda agenda
	random *rand.Rand
	server server
	naive  bool
	queue  *kqadmit.Queue
	limit  *kqlimit.Limit
	calls  map[uint64]*simulated
	nextID uint64
	let    map[int]time.Duration

	// inTime lists when calls ended in time, by class, and asked when any came.
	inTime  map[string][]time.Duration
	asked   []time.Duration
	offered map[string]int
	refused map[string]int
	// waits lists how long calls of the first rank waited before they ran.
	waits  []time.Duration
	late   int
	breaks int
}

func newSimulation(seed uint64, s server, slots int, naive bool) *simulation {
	m := &simulation{
		random: rand.New(rand.NewPCG(seed, seed)), server: s, naive: naive, queue: kqadmit.New(), limit: kqlimit.New(slots),
		calls: map[uint64]*simulated{}, let: map[int]time.Duration{},
		inTime: map[string][]time.Duration{}, offered: map[string]int{}, refused: map[string]int{},
	}
	m.queue.SetLimit(0, m.limit.Value())
	return m
}

func (m *simulation) after(d time.Duration, do func()) {
	m.turn++
	heap.Push(&m.agenda, occurrence{m.now + d, m.turn, do})
}

// run offers the loads until the end.
func (m *simulation) run(end time.Duration, loads ...*load) {
	for _, l := range loads {
		m.schedule(l, end)
	}
	m.tick(end)
	for len(m.agenda) > 0 && m.agenda[0].at <= end {
		o := heap.Pop(&m.agenda).(occurrence)
		m.now = o.at
		o.do()
	}
}

func (m *simulation) tick(end time.Duration) {
	m.after(25*time.Millisecond, func() {
		m.apply(m.queue.Tick(m.now))
		if m.now < end {
			m.tick(end)
		}
	})
}

func (m *simulation) schedule(l *load, end time.Duration) {
	rate := l.rate(m.now)
	if rate <= 0 {
		m.after(time.Millisecond, func() { m.schedule(l, end) })
		return
	}
	m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() {
		m.arrive(l)
		m.schedule(l, end)
	})
}

func (m *simulation) arrive(l *load) {
	m.nextID++
	c := &simulated{id: m.nextID, load: l, came: m.now, deadline: m.now + l.budget}
	c.level = kqadmit.LevelOf(kqcall.Head{RequestID: "r" + strconv.FormatUint(c.id, 10), Rank: l.rank})
	m.offered[l.class]++
	m.asked = append(m.asked, m.now)
	if m.naive {
		m.begin(c)
		return
	}
	m.calls[c.id] = c
	m.apply(m.queue.Offer(m.now, kqadmit.Item{ID: c.id, Level: c.level, Class: l.class, WaitUntilDeadline: l.rank == 0, Deadline: c.deadline}))
}

func (m *simulation) apply(verdicts []kqadmit.Verdict) {
	for _, v := range verdicts {
		c := m.calls[v.ID]
		delete(m.calls, v.ID)
		if v.Run {
			m.let[c.load.rank] = m.now
			c.inFlight = v.InFlight
			if c.load.rank == 0 {
				m.waits = append(m.waits, m.now-c.came)
			}
			m.begin(c)
			continue
		}
		m.refused[c.load.class]++
		for rank, at := range m.let {
			if v.Cause != kqcall.CauseWouldMiss && rank > c.load.rank && m.now-at <= 100*time.Millisecond {
				m.breaks++
				break
			}
		}
	}
}

func (m *simulation) begin(c *simulated) {
	c.began = m.now
	s := &m.server
	if s.busy < s.slots {
		m.serve(c)
		return
	}
	if s.sheds > 0 && len(s.waiting) >= s.sheds {
		m.refused[c.load.class]++
		if !m.naive {
			m.limit.ObserveShed(m.now, m.queue.InFlight()-1)
			m.done(c, false)
		}
		return
	}
	s.waiting = append(s.waiting, c)
}

func (m *simulation) serve(c *simulated) {
	m.server.busy++
	own := m.server.own(m.now)
	if m.server.onward != nil {
		c.onward = m.server.onward(m.now)
	}
	m.after(own+c.onward, func() {
		m.server.busy--
		if len(m.server.waiting) > 0 && m.server.busy < m.server.slots {
			next := m.server.waiting[0]
			m.server.waiting = m.server.waiting[1:]
			m.serve(next)
		}
		m.end(c)
	})
}

func (m *simulation) end(c *simulated) {
	if m.now <= c.deadline {
		m.inTime[c.load.class] = append(m.inTime[c.load.class], m.now)
	} else {
		m.late++
	}
	if !m.naive {
		m.done(c, true)
	}
}

func (m *simulation) done(c *simulated, counts bool) {
	took := m.now - c.began
	if counts {
		m.limit.Observe(kqlimit.Sample{
			OwnTime: took - c.onward, HoldTime: took, InFlight: c.inFlight, Limited: m.queue.Waiting() > 0 || m.queue.Threshold() != kqadmit.AdmitAll,
			Ended: m.now,
		})
	}
	m.apply(m.queue.Done(m.now, kqadmit.Completion{Level: c.level, Class: c.load.class, Took: took, IsSample: counts}))
	m.apply(m.queue.SetLimit(m.now, m.limit.Value()))
}

// goodput is the calls a second that ended in time between two times.
func (m *simulation) goodput(from, to time.Duration) float64 {
	n := 0
	for _, ends := range m.inTime {
		n += within(ends, from, to)
	}
	return float64(n) / (to - from).Seconds()
}

// share is the part of the calls offered between two times that the goodput
// made up for.
func (m *simulation) share(from, to time.Duration) float64 {
	return m.goodput(from, to) * (to - from).Seconds() / float64(within(m.asked, from, to))
}

// waited is a quantile of the waits.
func (m *simulation) waited(quantile float64) time.Duration {
	if len(m.waits) == 0 {
		return 0
	}
	slices.Sort(m.waits)
	return m.waits[int(quantile*float64(len(m.waits)-1))]
}

func within(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// during gives one value within a span and another outside of it.
func during[T any](from, to time.Duration, inside, outside T) func(time.Duration) T {
	return func(now time.Duration) T {
		if now >= from && now < to {
			return inside
		}
		return outside
	}
}
