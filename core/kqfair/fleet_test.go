package kqfair_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"kumquatlink/core/kqadmit"
	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqfair"
	"kumquatlink/core/kqshed"
)

// Properties of the simulated fleet.
const (
	front     = "front"
	back      = "back"
	linkDelay = 2 * time.Millisecond
	budget    = 5 * time.Second
	// settle is the time before the end within which requests are not counted, since
	// they may not have ended.
	settle = 2 * time.Second
	// demandPeriod is how often demands are counted; entries get each count one
	// period later.
	demandPeriod = 500 * time.Millisecond
	// guardBound is the time after the admission of a call in which its gate must
	// not refuse a more important one.
	guardBound = 100 * time.Millisecond
)

// class is a kind of requests.
type class struct {
	name string
	rank int
	// part is the part of a team's requests that are of the class.
	part float64
	// runOnce reports whether the requests must not be repeated.
	runOnce bool
}

// team is a team whose requests arrive at entries.
type team struct {
	name string
	// rate returns the requests per second at a time.
	rate func(now time.Duration) float64
	// slower multiplies the service times of its calls.
	slower float64
	// entry is the only entry that it uses, or -1.
	entry int
	// oneClient reports whether it sends its next request only after an answer.
	oneClient bool
	// known is the demand that entries know of, and counted the next that they will.
	known, counted float64
	// sent is how much it asked for in the current period.
	sent float64
	// measured counts its requests within the measured interval by rank, and early
	// those of the second after hotFrom.
	measured [2]outcomes
	early    outcomes
}

// both returns the counts of all ranks.
func (t *team) both() outcomes {
	o := t.measured[0]
	o.add(t.measured[1])
	return o
}

// outcomes counts requests.
type outcomes struct {
	offered, served int
}

// share returns the share of the requests that were served, or 1 without any.
func (o outcomes) share() float64 {
	if o.offered == 0 {
		return 1
	}
	return float64(o.served) / float64(o.offered)
}

// add adds the counts of other requests.
func (o *outcomes) add(other outcomes) {
	o.offered += other.offered
	o.served += other.served
}

// node is an entry, with the gate of a server beside it if it has slots.
type node struct {
	table        *kqshed.Table
	queue        *kqadmit.Queue
	service      string
	name         string
	calls        map[uint64]*request
	lastAdmitted [2]time.Duration
	// rooms holds what an entry knows of the room for each class.
	rooms map[string]*kqfair.Room
}

func newNode() *node {
	return &node{table: kqshed.New(), rooms: map[string]*kqfair.Room{}}
}

// request is a request, or its onward call.
type request struct {
	team   *team
	class  class
	level  kqadmit.Level
	sentAt time.Duration
	// end is called with whether the request was served, at the node that sent it.
	end func(served bool)
}

// fleet simulates entries, gates and servers in virtual time.
type fleet struct {
	now      time.Duration
	sequence int
	events   events
	random   *rand.Rand
	entries  []*node
	gates    map[string][]*node
	teams    []*team
	classes  []class
	curve    []float32
	nextID   uint64
	// work is the mean service time of a call, apart from onward calls.
	work time.Duration
	// hash places requests by the hash of their IDs alone, and byWork counts demand
	// in service time and not in requests.
	hash, byWork bool
	from, to     time.Duration
	violations   int
}

// after schedules an action after a time.
func (f *fleet) after(d time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.events, event{f.now + d, f.sequence, run})
}

// run simulates the fleet until the end of the measured interval.
func (f *fleet) run() {
	for _, t := range f.teams {
		f.schedule(t)
	}
	f.every(demandPeriod, f.publishDemand)
	f.every(20*time.Millisecond, func() {
		for _, service := range []string{front, back} {
			for _, g := range f.gates[service] {
				f.apply(g, g.queue.Tick(f.now))
			}
		}
	})
	for len(f.events) > 0 && f.events[0].at <= f.to {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
}

func (f *fleet) every(period time.Duration, run func()) {
	f.after(period, func() {
		run()
		f.every(period, run)
	})
}

// publishDemand makes known to the entries what was counted a period ago.
func (f *fleet) publishDemand() {
	var demands []float64
	for _, t := range f.teams {
		t.known = t.counted
		t.counted = (t.counted + t.sent/demandPeriod.Seconds()) / 2
		t.sent = 0
		demands = append(demands, t.known)
	}
	f.curve = kqfair.NewCurve(demands)
}

// schedule lets a team send its next request.
func (f *fleet) schedule(t *team) {
	rate := t.rate(f.now)
	f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if !t.oneClient {
			f.send(t, func() {})
			f.schedule(t)
			return
		}
		f.send(t, func() { f.schedule(t) })
	})
}

// send lets a request of a team arrive at an entry.
func (f *fleet) send(t *team, done func()) {
	f.nextID++
	id := "r" + strconv.FormatUint(f.nextID, 10)
	r := &request{team: t, class: f.drawClass(), sentAt: f.now}
	e := t.entry
	if e < 0 {
		e = f.random.IntN(len(f.entries))
	}
	r.level = kqadmit.OrderedLevel(r.class.rank, f.order(f.entries[e], r, id))
	t.sent += f.weight(t)
	f.count(r, outcomes{offered: 1})
	r.end = func(served bool) {
		if served {
			f.count(r, outcomes{served: 1})
		}
		done()
	}
	f.call(f.entries[e], front, r)
}

// order returns the position of a request at an entry.
func (f *fleet) order(e *node, r *request, id string) uint32 {
	room := e.rooms[r.class.name]
	switch {
	case f.hash:
		return kqfair.Order(nil, 0, id)
	case room == nil:
		return kqfair.Order(f.curve, r.team.known, id)
	}
	return room.Order(f.now, f.curve, r.team.known, id, r.class.rank)
}

// weight returns what a request adds to the demand of its team.
func (f *fleet) weight(t *team) float64 {
	if f.byWork {
		return t.slower * f.work.Seconds()
	}
	return 1
}

func (f *fleet) drawClass() class {
	u := f.random.Float64()
	for _, c := range f.classes {
		if u -= c.part; u < 0 {
			return c
		}
	}
	return f.classes[len(f.classes)-1]
}

// count adds to the outcomes of a request's team.
func (f *fleet) count(r *request, o outcomes) {
	if r.sentAt >= f.from && r.sentAt < f.to-settle {
		r.team.measured[r.class.rank].add(o)
	}
	if r.sentAt >= hotFrom && r.sentAt < hotFrom+time.Second {
		r.team.early.add(o)
	}
}

// call sends a call from a node to a gate of the service, unless the node refuses it.
func (f *fleet) call(n *node, service string, r *request) {
	gates := f.gates[service]
	c := kqshed.Call{Service: service, Class: r.class.name, Level: r.level, OnwardLevel: r.level, Upstreams: len(gates)}
	if _, refuses := n.table.Refuses(f.now, c); refuses && !r.class.runOnce {
		for _, name := range n.table.StaleServices(f.now) {
			g := f.gates[name][f.random.IntN(len(f.gates[name]))]
			f.after(2*linkDelay, func() { f.answer(n, g) })
		}
		f.after(0, func() { r.end(false) })
		return
	}
	g := gates[f.random.IntN(len(gates))]
	sent := *r
	sent.end = func(served bool) {
		f.after(linkDelay, func() {
			f.answer(n, g)
			r.end(served)
		})
	}
	f.after(linkDelay, func() { f.offer(g, &sent) })
}

// answer records at a node what an answer of a gate reports.
func (f *fleet) answer(n, g *node) {
	deep := g.table.DownstreamThresholds(f.now)
	n.table.RecordAnswer(f.now, kqshed.Answer{
		Service: g.service, Upstream: g.name, Upstreams: len(f.gates[g.service]), Cut: g.queue.Threshold(), Deep: deep,
	})
	for _, c := range f.classes {
		if n.rooms[c.name] == nil {
			n.rooms[c.name] = &kqfair.Room{}
		}
		downstream := kqadmit.AdmitAll
		for _, d := range deep {
			if d.Class == c.name {
				downstream = d.Level
			}
		}
		n.rooms[c.name].Record(f.now, g.queue.Threshold(), downstream)
	}
}

// offer lets a call arrive at a gate.
func (f *fleet) offer(g *node, r *request) {
	if _, refuses := g.table.RefusesDownstream(f.now, r.class.name, r.level); refuses && !r.class.runOnce {
		r.end(false)
		return
	}
	f.nextID++
	g.calls[f.nextID] = r
	f.apply(g, g.queue.Offer(f.now, kqadmit.Item{
		ID: f.nextID, Level: r.level, Class: r.class.name, WaitUntilDeadline: r.class.runOnce, Deadline: r.sentAt + budget,
	}))
}

func (f *fleet) apply(g *node, verdicts []kqadmit.Verdict) {
	for _, v := range verdicts {
		r := g.calls[v.ID]
		delete(g.calls, v.ID)
		if v.Run {
			g.lastAdmitted[r.class.rank] = f.now
			f.serve(g, r)
			continue
		}
		if r.class.rank == 0 && v.Cause != kqcall.CauseWouldMiss && g.lastAdmitted[1] > 0 && f.now-g.lastAdmitted[1] <= guardBound {
			f.violations++
		}
		r.end(false)
	}
}

// serve lets the server run a call. A call to the front service makes an onward call
// when half of its work is done, if there is a back service.
func (f *fleet) serve(g *node, r *request) {
	begun := f.now
	work := time.Duration((0.8 + 0.4*f.random.Float64()) * r.team.slower * float64(f.work))
	g.table.RecordRun(f.now, r.class.name)
	end := func(served bool) {
		f.apply(g, g.queue.Done(f.now, kqadmit.Completion{Level: r.level, Class: r.class.name, Took: f.now - begun, IsSample: true}))
		r.end(served && f.now <= r.sentAt+budget)
	}
	if g.service == back || len(f.gates[back]) == 0 {
		f.after(work, func() { end(true) })
		return
	}
	f.after(work/2, func() {
		g.table.RecordCall(f.now, r.class.name, back)
		onward := *r
		onward.end = func(served bool) { f.after(work/2, func() { end(served) }) }
		f.call(g, back, &onward)
	})
}

// newFleet returns a fleet with six entries, and gates of one service.
func newFleet(seed uint64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, seed)), gates: map[string][]*node{}, work: 120 * time.Millisecond,
		classes: []class{{name: "browse", rank: 1, part: 1}}, from: 7 * time.Second, to: 24 * time.Second,
	}
	for range 6 {
		f.entries = append(f.entries, newNode())
	}
	f.addGates(front, room)
	return f
}

// addGates adds four gates to a service, which can run room calls a second.
func (f *fleet) addGates(service string, room float64) {
	const count = 4
	for i := range count {
		g := newNode()
		g.queue, g.service, g.name, g.calls = kqadmit.New(), service, service+strconv.Itoa(i), map[uint64]*request{}
		g.queue.SetLimit(0, int(room*f.work.Seconds()/count))
		f.gates[service] = append(f.gates[service], g)
	}
}

// addTeams adds a team for each demand, with requests at all entries.
func (f *fleet) addTeams(demands []float64) {
	for i, d := range demands {
		f.teams = append(f.teams, &team{name: "team" + strconv.Itoa(i), rate: func(time.Duration) float64 { return d }, slower: 1, entry: -1})
	}
}

// event is an action at a point of virtual time. Events of the same time run in the
// order of their sequence numbers.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// events is a heap of events, the earliest first.
type events []event

func (a events) Len() int      { return len(a) }
func (a events) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a events) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].sequence < a[j].sequence
}
func (a *events) Push(x any) { *a = append(*a, x.(event)) }
func (a *events) Pop() any {
	last := (*a)[len(*a)-1]
	*a = slices.Delete(*a, len(*a)-1, len(*a))
	return last
}
