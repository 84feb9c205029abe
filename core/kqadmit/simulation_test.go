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

// load describes the calls of one class that arrive at the simulated gate.
type load struct {
	class  string
	rank   int
	budget time.Duration
	// rate returns the arrivals per second at a time.
	rate func(now time.Duration) float64
}

// server is the simulated backend server: it runs as many calls as it has
// slots and queues the others in order of arrival.
type server struct {
	slots int
	// own and onward return the two parts of a call's service time: its own
	// work, and its wait for onward calls, if any.
	own    func(now time.Duration) time.Duration
	onward func(now time.Duration) time.Duration
	// sheds is how many calls may wait before the server itself refuses
	// further ones; 0 means that it refuses none.
	sheds   int
	busy    int
	waiting []*simulatedCall
}

// simulatedCall is one call.
type simulatedCall struct {
	id        uint64
	load      *load
	level     kqadmit.Level
	arrivedAt time.Duration
	deadline  time.Duration
	startedAt time.Duration
	inFlight  int
	onward    time.Duration
}

// event is an action at a point of virtual time. Events of the same time run in
// the order of their sequence numbers.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (a eventQueue) Len() int      { return len(a) }
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].sequence < a[j].sequence
}
func (a *eventQueue) Push(x any) { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// simulation runs one gate and its backend server in virtual time. With naive
// set, every call goes straight to the server.
type simulation struct {
	now        time.Duration
	sequence   int
	eventQueue eventQueue
	random     *rand.Rand
	server     server
	naive      bool
	queue      *kqadmit.Queue
	limit      *kqlimit.Limit
	calls      map[uint64]*simulatedCall
	nextID     uint64
	// lastAdmitted is when a call of each rank was last admitted.
	lastAdmitted map[int]time.Duration

	// inTime lists when calls ended before their deadline, by class, and
	// arrivals when calls of any class arrived.
	inTime   map[string][]time.Duration
	arrivals []time.Duration
	offered  map[string]int
	refused  map[string]int
	// waits lists how long calls of rank 0 waited before they ran.
	waits []time.Duration
	// late counts the calls that ended after their deadline, and violations the
	// refusals within 100 ms of the admission of a less important call.
	late       int
	violations int
}

func newSimulation(seed uint64, s server, slots int, naive bool) *simulation {
	m := &simulation{
		random: rand.New(rand.NewPCG(seed, seed)), server: s, naive: naive, queue: kqadmit.New(), limit: kqlimit.New(slots),
		calls: map[uint64]*simulatedCall{}, lastAdmitted: map[int]time.Duration{},
		inTime: map[string][]time.Duration{}, offered: map[string]int{}, refused: map[string]int{},
	}
	m.queue.SetLimit(0, m.limit.Value())
	return m
}

func (m *simulation) after(d time.Duration, run func()) {
	m.sequence++
	heap.Push(&m.eventQueue, event{m.now + d, m.sequence, run})
}

// run simulates the arrival of the loads until the end.
func (m *simulation) run(end time.Duration, loads ...*load) {
	for _, l := range loads {
		m.schedule(l, end)
	}
	m.tick(end)
	for len(m.eventQueue) > 0 && m.eventQueue[0].at <= end {
		e := heap.Pop(&m.eventQueue).(event)
		m.now = e.at
		e.run()
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
	c := &simulatedCall{id: m.nextID, load: l, arrivedAt: m.now, deadline: m.now + l.budget}
	c.level = kqadmit.LevelOf(kqcall.Head{RequestID: "r" + strconv.FormatUint(c.id, 10), Rank: l.rank})
	m.offered[l.class]++
	m.arrivals = append(m.arrivals, m.now)
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
			m.lastAdmitted[c.load.rank] = m.now
			c.inFlight = v.InFlight
			if c.load.rank == 0 {
				m.waits = append(m.waits, m.now-c.arrivedAt)
			}
			m.begin(c)
			continue
		}
		m.refused[c.load.class]++
		for rank, at := range m.lastAdmitted {
			if v.Cause != kqcall.CauseWouldMiss && rank > c.load.rank && m.now-at <= 100*time.Millisecond {
				m.violations++
				break
			}
		}
	}
}

func (m *simulation) begin(c *simulatedCall) {
	c.startedAt = m.now
	s := &m.server
	if s.busy < s.slots {
		m.serve(c)
		return
	}
	if s.sheds > 0 && len(s.waiting) >= s.sheds {
		m.refused[c.load.class]++
		if !m.naive {
			m.limit.ObserveShed(m.now, m.queue.InFlight()-1)
			m.complete(c, false)
		}
		return
	}
	s.waiting = append(s.waiting, c)
}

func (m *simulation) serve(c *simulatedCall) {
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

func (m *simulation) end(c *simulatedCall) {
	if m.now <= c.deadline {
		m.inTime[c.load.class] = append(m.inTime[c.load.class], m.now)
	} else {
		m.late++
	}
	if !m.naive {
		m.complete(c, true)
	}
}

// complete reports the end of a call to the gate. The call is a sample of the
// service time unless the server refused it.
func (m *simulation) complete(c *simulatedCall, isSample bool) {
	took := m.now - c.startedAt
	if isSample {
		m.limit.Observe(kqlimit.Sample{
			OwnTime: took - c.onward, HoldTime: took, InFlight: c.inFlight, Limited: m.queue.Waiting() > 0 || m.queue.Threshold() != kqadmit.AdmitAll,
			Ended: m.now,
		})
	}
	m.apply(m.queue.Done(m.now, kqadmit.Completion{Level: c.level, Class: c.load.class, Took: took, IsSample: isSample}))
	m.apply(m.queue.SetLimit(m.now, m.limit.Value()))
}

// goodput returns the calls per second that ended before their deadline, between
// two times.
func (m *simulation) goodput(from, to time.Duration) float64 {
	n := 0
	for _, ends := range m.inTime {
		n += within(ends, from, to)
	}
	return float64(n) / (to - from).Seconds()
}

// share returns the ratio of calls that ended before their deadline to calls
// that arrived, between two times.
func (m *simulation) share(from, to time.Duration) float64 {
	return m.goodput(from, to) * (to - from).Seconds() / float64(within(m.arrivals, from, to))
}

// waited returns a quantile of the waits of rank 0.
func (m *simulation) waited(quantile float64) time.Duration {
	if len(m.waits) == 0 {
		return 0
	}
	slices.Sort(m.waits)
	return m.waits[int(quantile*float64(len(m.waits)-1))]
}

// within counts the times from the first bound up to, not including, the second.
func within(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// during returns a function of time with one value within an interval and
// another outside of it.
func during[T any](from, to time.Duration, inside, outside T) func(time.Duration) T {
	return func(now time.Duration) T {
		if now >= from && now < to {
			return inside
		}
		return outside
	}
}
