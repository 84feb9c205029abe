// Package kqvirtual runs many spreading machines in one process in virtual
// time, with a fake of the network between them: a message is late, lost,
// doubled or overtaken as the fault says, and nodes pause, die and restart.
// Tests and the slopes of the capacity page build on it.
//
// # Usage
//
//	fleet := kqvirtual.New(seed)
//	node := fleet.Start(record, contacts)
//	fleet.Fault = func(from, to *kqvirtual.Node) kqvirtual.Delivery { ... }
//	fleet.Run(10 * time.Second)
//
// Two runs with one seed are alike.
package kqvirtual

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqspread"
)

// Delivery is what becomes of one message.
type Delivery struct {
	Lost bool
	// Delay is until it arrives. Messages with unlike delays overtake.
	Delay time.Duration
	// Duplicate is whether it arrives a second time, Delay later.
	Duplicate bool
}

// Fleet is a set of nodes and the network between them.
type Fleet struct {
	// Fault decides what becomes of a message.
	Fault func(from, to *Node) Delivery
	// OnSend is told of each message, if it is set, and of whether it answers
	// the message that the node just took in.
	OnSend func(from *Node, message kqspread.Message, answer bool)
	// OnStart is told of each node that starts, if it is set.
	OnStart func(n *Node)
	// DropWhilePaused lets paused nodes lose what is sent to them, as when a buffer is
	// full, in place of finding it when they wake.
	DropWhilePaused bool
	// Nodes holds the running nodes by name.
	Nodes  map[string]*Node
	random *rand.Rand
	now    time.Duration
	places map[string]*Node
	queue  queue
	count  uint64
	starts uint64
}

// Node is one running node.
type Node struct {
	Record  kqmember.Record
	View    *kqmember.View
	Machine *kqspread.Machine
	// Rate and Offset make the node's clock: Offset plus Rate times the time.
	Rate   float64
	Offset time.Duration
	// Items are those that the machine handed out.
	Items []kqspread.Item

	fleet   *Fleet
	stopped bool
	asleep  time.Duration
}

// New makes a fleet without nodes, on a network that delivers at once.
func New(seed uint64) *Fleet {
	return &Fleet{
		Nodes: map[string]*Node{}, places: map[string]*Node{},
		random: rand.New(rand.NewPCG(seed, seed)),
		Fault:  func(*Node, *Node) Delivery { return Delivery{Delay: time.Millisecond} },
	}
}

// Now is the time since the fleet was made.
func (f *Fleet) Now() time.Duration {
	return f.now
}

// Random is the fleet's source of random numbers.
func (f *Fleet) Random() *rand.Rand {
	return f.random
}

// Option changes a node before it starts.
type Option func(*Node)

// WithClock gives the node a clock that starts at an offset and runs at a
// rate.
func WithClock(offset time.Duration, rate float64) Option {
	return func(n *Node) { n.Offset, n.Rate = offset, rate }
}

// WithView lets the node start with what others hold.
func WithView(members []*kqmember.Member) Option {
	return func(n *Node) { n.View.Adopt(members) }
}

// Start starts a node, in place of an earlier one of that name. Its
// incarnation is the next in the order of starts, unless the record has one.
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
	f.places[r.Address] = n
	f.at(f.now+time.Duration(f.random.Int64N(int64(kqspread.TickPeriod))), n.tick)
	if f.OnStart != nil {
		f.OnStart(n)
	}
	return n
}

// Stop ends a node without a word.
func (f *Fleet) Stop(nodeID string) {
	n := f.Nodes[nodeID]
	n.stopped = true
	delete(f.Nodes, nodeID)
	if f.places[n.Record.Address] == n {
		delete(f.places, n.Record.Address)
	}
}

// Pause holds a node still: it neither ticks nor reads until it wakes, and
// then finds the messages that came meanwhile.
func (f *Fleet) Pause(nodeID string, length time.Duration) {
	f.Nodes[nodeID].asleep = f.now + length
}

// Run moves time on.
func (f *Fleet) Run(length time.Duration) {
	end := f.now + length
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(happening)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// RunUntil moves time on until the condition holds, looking once a step, and
// says whether it came to hold within the limit.
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

// Converged is whether all running nodes hold the same.
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

// Clock is the node's own time.
func (n *Node) Clock() time.Duration {
	return n.Offset + time.Duration(n.Rate*float64(n.fleet.now))
}

// send hands what a machine gave to the network. The peer is who is being
// answered, if anyone.
func (n *Node) send(envelopes []kqspread.Envelope, peer string) {
	for _, e := range envelopes {
		n.fleet.carry(n, e, peer != "" && e.To == peer)
	}
	n.Items = append(n.Items, n.Machine.TakeItems()...)
}

func (n *Node) tick() {
	if n.stopped {
		return
	}
	if n.asleep > n.fleet.now {
		n.fleet.at(n.asleep, n.tick)
		return
	}
	n.send(n.Machine.Tick(n.Clock()), "")
	n.fleet.at(n.fleet.now+time.Duration(float64(kqspread.TickPeriod)/n.Rate), n.tick)
}

func (n *Node) receive(from string, message kqspread.Message) {
	if n.stopped {
		return
	}
	if n.asleep > n.fleet.now {
		if !n.fleet.DropWhilePaused {
			n.fleet.at(n.asleep, func() { n.receive(from, message) })
		}
		return
	}
	n.send(n.Machine.Receive(n.Clock(), from, message), from)
}

func (f *Fleet) carry(from *Node, e kqspread.Envelope, answer bool) {
	if f.OnSend != nil {
		f.OnSend(from, e.Message, answer)
	}
	to := f.places[e.Address]
	if e.Address == "" {
		to = f.Nodes[e.To]
	}
	if to == nil || to == from {
		return
	}
	fate := f.Fault(from, to)
	if fate.Lost {
		return
	}
	name := from.Record.NodeID
	f.at(f.now+fate.Delay, func() { to.receive(name, e.Message) })
	if fate.Duplicate {
		f.at(f.now+2*fate.Delay, func() { to.receive(name, e.Message) })
	}
}

// happening is something that a fleet does at its time.
type happening struct {
	at    time.Duration
	order uint64
	do    func()
}

func (f *Fleet) at(at time.Duration, do func()) {
	f.count++
	heap.Push(&f.queue, happening{at: at, order: f.count, do: do})
}

type queue []happening

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(happening)) }

// Pop is part of heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
