// Package kqvirtual simulates a fleet of nodes in one process and in virtual time.
// Each node runs the gossip state machine of package kqspread. A simulated
// network delivers the messages between them: a function decides whether a message
// is delayed, lost, duplicated or overtaken by a later one. Nodes can be paused,
// stopped and restarted. Tests use it, and so do the measurements of how the cost
// of gossip grows with the size of the fleet.
//
// # Usage
//
// [Fleet.Start] starts a node, and [Fleet.Run] advances the virtual time:
//
//	fleet := kqvirtual.New(seed)
//	node := fleet.Start(record, contacts)
//	fleet.Fault = func(from, to *kqvirtual.Node) kqvirtual.Delivery { ... }
//	fleet.Run(10 * time.Second)
//
// Two runs with the same seed are alike. A fleet is not safe for concurrent use.
package kqvirtual

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqspread"
)

// Delivery states how the network treats one message.
type Delivery struct {
	// Lost reports whether the message never arrives.
	Lost bool
	// Delay is the time until the message arrives. With different delays,
	// messages overtake each other.
	Delay time.Duration
	// Duplicate reports whether the message arrives a second time, Delay after
	// the first.
	Duplicate bool
}

// Fleet holds the simulated nodes, the network between them and the virtual time.
type Fleet struct {
	// Fault decides how a message is delivered.
	Fault func(from, to *Node) Delivery
	// OnSend, if it is set, is called with each message that a node sends.
	// answer reports that the message goes back to the sender of the message
	// that the node has just received.
	OnSend func(from *Node, message kqspread.Message, answer bool)
	// OnStart, if it is set, is called with each node that starts.
	OnStart func(n *Node)
	// DropWhilePaused makes paused nodes lose the messages that are sent to
	// them, as when a receive buffer is full. Otherwise they receive them when
	// the pause ends.
	DropWhilePaused bool
	// Nodes holds the running nodes by node ID.
	Nodes  map[string]*Node
	random *rand.Rand
	now    time.Duration
	// byAddress holds the running nodes by address.
	byAddress map[string]*Node
	events    eventQueue
	// scheduled is the number of events that were scheduled. It orders events of
	// the same time.
	scheduled uint64
	// starts is the number of nodes that were started.
	starts uint64
}

// Node is one simulated node.
type Node struct {
	Record  kqmember.Record
	View    *kqmember.View
	Machine *kqspread.Machine
	// Rate and Offset define the node's clock, which shows Offset plus Rate
	// times the virtual time.
	Rate   float64
	Offset time.Duration
	// Items are the items that the machine has returned so far.
	Items []kqspread.Item

	fleet   *Fleet
	stopped bool
	// pausedUntil is the virtual time at which the latest pause ends.
	pausedUntil time.Duration
}

// New returns a fleet without nodes, with a network that delivers every message
// after one millisecond.
func New(seed uint64) *Fleet {
	return &Fleet{
		Nodes: map[string]*Node{}, byAddress: map[string]*Node{},
		random: rand.New(rand.NewPCG(seed, seed)),
		Fault:  func(*Node, *Node) Delivery { return Delivery{Delay: time.Millisecond} },
	}
}

// Now returns the virtual time since the fleet was made.
func (f *Fleet) Now() time.Duration {
	return f.now
}

// Random returns the fleet's source of random numbers.
func (f *Fleet) Random() *rand.Rand {
	return f.random
}

// Option configures a node in [Fleet.Start].
type Option func(*Node)

// WithClock gives the node a clock that starts at offset and runs at rate times
// the speed of the virtual time.
func WithClock(offset time.Duration, rate float64) Option {
	return func(n *Node) { n.Offset, n.Rate = offset, rate }
}

// WithView makes the node start with the members that other nodes know.
func WithView(members []*kqmember.Member) Option {
	return func(n *Node) { n.View.Adopt(members) }
}

// Start starts a node, and stops a running one with the same ID first. contacts
// are the addresses that the node joins through. The incarnation is that of the
// record or, if it is 0, the number of nodes started so far.
func (f *Fleet) Start(r kqmember.Record, contacts []string, options ...Option) *Node {
	if old := f.Nodes[r.NodeID]; old != nil {
		f.Stop(r.NodeID)
	}
	f.starts++
	if r.Incarnation == 0 {
		r.Incarnation = f.starts
	}
	r.Version = max(r.Version, 1)
	n := &Node{Record: r, View: kqmember.NewView(r), Rate: 1, fleet: f}
	for _, o := range options {
		o(n)
	}
	random := rand.New(rand.NewPCG(f.random.Uint64(), f.starts))
	n.Machine = kqspread.New(n.Clock(), n.View, random)
	n.Machine.SetContacts(contacts, true)
	f.Nodes[r.NodeID] = n
	f.byAddress[r.Address] = n
	f.schedule(f.now+time.Duration(f.random.Int64N(int64(kqspread.TickPeriod))), n.tick)
	if f.OnStart != nil {
		f.OnStart(n)
	}
	return n
}

// Stop stops a running node at once, without a message to the others.
func (f *Fleet) Stop(nodeID string) {
	n := f.Nodes[nodeID]
	n.stopped = true
	delete(f.Nodes, nodeID)
	if f.byAddress[n.Record.Address] == n {
		delete(f.byAddress, n.Record.Address)
	}
}

// Pause pauses a node for the length: until then it neither ticks nor receives. It
// receives the messages that arrived meanwhile when the pause ends, unless
// DropWhilePaused is set.
func (f *Fleet) Pause(nodeID string, length time.Duration) {
	f.Nodes[nodeID].pausedUntil = f.now + length
}

// Run advances the virtual time by length and runs all events in between.
func (f *Fleet) Run(length time.Duration) {
	end := f.now + length
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.action()
	}
	f.now = end
}

// RunUntil advances the virtual time until the condition holds, which it checks
// after each step, and reports whether it held within the limit.
func (f *Fleet) RunUntil(limit, step time.Duration, condition func() bool) bool {
	end := f.now + limit
	for !condition() {
		if f.now >= end {
			return false
		}
		f.Run(step)
	}
	return true
}

// Converged reports whether the digests of all running nodes are equal.
func (f *Fleet) Converged() bool {
	var digest uint64
	first := true
	for _, n := range f.Nodes {
		if !first && n.Machine.Digest() != digest {
			return false
		}
		digest, first = n.Machine.Digest(), false
	}
	return true
}

// Clock returns the time on the node's own clock.
func (n *Node) Clock() time.Duration {
	return n.Offset + time.Duration(n.Rate*float64(n.fleet.now))
}

// send sends the messages that the machine returned and collects its items. peer
// is the node whose message was received, empty after a tick; a message to it is
// an answer.
func (n *Node) send(envelopes []kqspread.Envelope, peer string) {
	for _, e := range envelopes {
		n.fleet.deliver(n, e, peer != "" && e.To == peer)
	}
	n.Items = append(n.Items, n.Machine.TakeItems()...)
}

// tick runs the machine's periodic work and schedules the next tick, or waits for
// the end of a pause.
func (n *Node) tick() {
	if n.stopped {
		return
	}
	if n.pausedUntil > n.fleet.now {
		n.fleet.schedule(n.pausedUntil, n.tick)
		return
	}
	n.send(n.Machine.Tick(n.Clock()), "")
	n.fleet.schedule(n.fleet.now+time.Duration(float64(kqspread.TickPeriod)/n.Rate), n.tick)
}

// receive passes a message to the machine. During a pause it postpones the message
// to the end of the pause or drops it.
func (n *Node) receive(from string, message kqspread.Message) {
	if n.stopped {
		return
	}
	if n.pausedUntil > n.fleet.now {
		if !n.fleet.DropWhilePaused {
			n.fleet.schedule(n.pausedUntil, func() { n.receive(from, message) })
		}
		return
	}
	n.send(n.Machine.Receive(n.Clock(), from, message), from)
}

// deliver schedules the arrival of a message as Fault decides. A message to an
// address or node that is not running is lost.
func (f *Fleet) deliver(from *Node, e kqspread.Envelope, answer bool) {
	if f.OnSend != nil {
		f.OnSend(from, e.Message, answer)
	}
	to := f.byAddress[e.Address]
	if e.Address == "" {
		to = f.Nodes[e.To]
	}
	if to == nil || to == from {
		return
	}
	delivery := f.Fault(from, to)
	if delivery.Lost {
		return
	}
	name := from.Record.NodeID
	f.schedule(f.now+delivery.Delay, func() { to.receive(name, e.Message) })
	if delivery.Duplicate {
		f.schedule(f.now+2*delivery.Delay, func() { to.receive(name, e.Message) })
	}
}

// event is an action that the fleet runs at a virtual time. order breaks ties: of
// events at the same time, the one scheduled first runs first.
type event struct {
	at     time.Duration
	order  uint64
	action func()
}

// schedule adds an event at the given virtual time.
func (f *Fleet) schedule(at time.Duration, action func()) {
	f.scheduled++
	heap.Push(&f.events, event{at: at, order: f.scheduled, action: action})
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop is part of heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
