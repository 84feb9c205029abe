// Package kqspread spreads news between all nodes of the fleet: records of
// members, suspicions of them, and small named items such as the
// configuration.
//
// # Usage
//
// A [Machine] is fed with messages and time, and says what to send:
//
//	machine := kqspread.New(now, view, random)
//	machine.SetContacts([]string{"10.0.0.7:7003"}, true)
//	send(machine.Tick(now))                  // every TickPeriod
//	send(machine.Receive(now, peer, message))
//	machine.Publish(kqspread.Item{Name: "configuration", Version: 7, Payload: payload})
//	for _, item := range machine.TakeItems() { ... } // items newer than held before
//
// Each node keeps links with a few neighbours that all nodes derive alike from
// their views, so that links stay for as long as their ends live. News is
// pushed over the links; what was lost is found by comparing digests with the
// pings that watch the neighbours.
//
// Times are durations on the node's own monotonic clock.
package kqspread

import (
	"math/rand/v2"
	"time"

	"kumquatlink/core/kqmember"
)

// Periods and limits of the protocol.
const (
	// TickPeriod is how often Tick is to be called; news waits no longer.
	TickPeriod = 100 * time.Millisecond
	// PingPeriod is how often the end of a link with the lower name pings.
	PingPeriod = time.Second
	// QuietPeriod is after how long without a word the other end pings too.
	QuietPeriod = 1500 * time.Millisecond
	// SuspectAfter is how long a neighbour may be silent.
	SuspectAfter = 3500 * time.Millisecond
	// MaxSuspectAfter bounds SuspectAfter when it grows for a neighbour that
	// refutes, though it can't be heard here.
	MaxSuspectAfter = 5 * time.Minute
	// PauseThreshold is the time between two ticks that shows that this node was
	// paused itself.
	PauseThreshold = 2 * time.Second
	// relinkPeriod is how often neighbours are chosen anew at most.
	relinkPeriod = 500 * time.Millisecond
	// probePeriod is how often one removed node is tried again.
	probePeriod = 20 * time.Second
	// joinPeriod is how often a node that has not joined asks again.
	joinPeriod = time.Second
	// joinPatience is after how long without any answer a node counts itself
	// as the first.
	joinPatience = 2 * time.Second
	// contactPeriod is how often an address that no known node has is tried.
	contactPeriod = 10 * time.Second
	// contactRest is how long an address that answered is left alone.
	contactRest = 10 * time.Minute
	// joinFanOut is how many addresses are asked at once.
	joinFanOut = 3
	// inboundLimit is how many links beyond its own a node sends news over.
	inboundLimit = 12
	// inboundRest is after how long without a word such a link ends.
	inboundRest = 6 * time.Second
	// MaxChanges bounds the changes in one message, but for an answer to Join.
	MaxChanges = 128
	// changeRate and changeBurst bound the changes that a node sends a second
	// for others.
	changeRate  = 128
	changeBurst = 128
	// joinRate and joinBurst bound the whole views that a node sends a second.
	joinRate  = 1
	joinBurst = 4
	// maxMembers, maxItems and maxItemBytes bound what others can make a node
	// hold.
	maxMembers   = 20_000
	maxItems     = 4096
	maxItemBytes = 1<<20 - 4096
	// eagerItemBytes is the largest payload that is pushed unasked.
	eagerItemBytes = 512
)

// neverTicked marks a machine that has not been ticked yet.
const neverTicked = time.Duration(-1)

// Machine is the state of one node's part in spreading. The control goroutine
// owns it.
type Machine struct {
	view   *kqmember.View
	random *rand.Rand
	rings  rings
	digest digest
	items  map[string]Item
	fresh  []Item
	links  map[string]*link
	// order lists the names of links, so that runs with one seed are alike.
	order     []string
	sequence  uint64
	lastTick  time.Duration
	changedAt time.Duration
	relink    bool
	relinked  time.Duration
	// quiet keeps a view that was taken over whole from being told on.
	quiet bool

	contacts  contacts
	presence  presence
	complaint map[string]*complaint
	wanted    map[Key]*want
	changes   budget
	joins     budget
	probed    time.Duration
	out       []Envelope
}

// New makes the machine of a node that knows only itself.
func New(now time.Duration, view *kqmember.View, random *rand.Rand) *Machine {
	m := &Machine{
		view: view, random: random, items: map[string]Item{}, links: map[string]*link{},
		complaint: map[string]*complaint{}, wanted: map[Key]*want{}, lastTick: neverTicked, relink: true,
		changes: newBudget(now, changeRate, changeBurst), joins: newBudget(now, joinRate, joinBurst),
	}
	m.contacts = newContacts(now)
	m.probed, m.relinked = now, now-relinkPeriod
	view.OnChange = m.observe
	for _, held := range view.Members() {
		m.observe(nil, held)
	}
	return m
}

// observe keeps what is derived from the view.
func (m *Machine) observe(before, after *kqmember.Member) {
	m.rings.observe(before, after)
	m.digest.observe(before, after)
	m.relink = true
	if after == nil {
		delete(m.complaint, before.Record.NodeID)
	}
}

// UpdateOwn changes the node's own record and tells it to all.
func (m *Machine) UpdateOwn(change func(*kqmember.Record)) {
	m.view.UpdateOwn(change)
	m.tell(memberKey(m.view.Own().NodeID), "")
}

// Publish spreads an item unless a version as high is held.
func (m *Machine) Publish(i Item) bool {
	return m.takeItem(i, "")
}

// Item gives the item of that name as it is held.
func (m *Machine) Item(name string) (Item, bool) {
	i, found := m.items[name]
	return i, found
}

// TakeItems gives the items that others published since the last call.
func (m *Machine) TakeItems() []Item {
	fresh := m.fresh
	m.fresh = nil
	return fresh
}

// Digest sums up all that is held; two nodes with one digest agree.
func (m *Machine) Digest() uint64 {
	return m.digest.top
}

// Neighbours lists the nodes that this one keeps links with.
func (m *Machine) Neighbours() []string {
	var names []string
	for _, name := range m.order {
		if m.links[name].own {
			names = append(names, name)
		}
	}
	return names
}

// Tick moves time on and gives what is to be sent.
func (m *Machine) Tick(now time.Duration) []Envelope {
	m.notice(now)
	m.lastTick = now
	m.view.Advance(now)
	m.updateLinks(now)
	m.watchLinks(now)
	m.probeRemoved(now)
	m.contact(now)
	m.askAgain(now)
	m.flush(now)
	return m.take()
}

// Receive takes in a message from the node of that name and gives what is to
// be sent for it.
func (m *Machine) Receive(now time.Duration, from string, message Message) []Envelope {
	if from == "" || from == m.view.Own().NodeID {
		return nil
	}
	m.notice(now)
	m.hear(now, from, message)
	m.quiet = message.Answers != 0 && message.From != ""
	for _, c := range message.Changes {
		m.merge(now, from, c)
	}
	m.quiet = false
	reply := Message{}
	m.answerPing(now, from, message, &reply)
	m.compare(now, from, message, &reply)
	m.supply(now, message.Wants, &reply)
	if !reply.empty() {
		m.send(from, m.addressOf(from), reply)
	}
	return m.take()
}

func (m Message) empty() bool {
	return m.Answers == 0 && len(m.Changes) == 0 && len(m.Wants) == 0 && len(m.Buckets) == 0 && len(m.Compared) == 0
}

func (m *Machine) send(to, address string, message Message) {
	m.out = append(m.out, Envelope{To: to, Address: address, Message: message})
}

func (m *Machine) take() []Envelope {
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) addressOf(nodeID string) string {
	if held := m.view.Find(nodeID); held != nil {
		return held.Record.Address
	}
	return ""
}

// budget is a token bucket.
type budget struct {
	rate, burst, held float64
	at                time.Duration
}

func newBudget(now time.Duration, rate, burst float64) budget {
	return budget{rate: rate, burst: burst, held: burst, at: now}
}

// take takes a token, if there is one.
func (b *budget) take(now time.Duration) bool {
	b.held = min(b.burst, b.held+b.rate*(now-b.at).Seconds())
	b.at = now
	if b.held < 1 {
		return false
	}
	b.held--
	return true
}

// scarce is whether less than half of the burst is left.
func (b *budget) scarce() bool {
	return b.held < b.burst/2
}
