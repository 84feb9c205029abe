// Package kqspread distributes state between all nodes of the fleet by gossip:
// the records of the members, suspicions that a member has failed, and small
// named items such as the configuration.
//
// # Usage
//
// A [Machine] does no input or output. It is given the time and the messages
// that arrive, and returns the messages to send:
//
//	machine := kqspread.New(now, view, random)
//	machine.SetContacts([]string{"10.0.0.7:7003"}, true)
//	send(machine.Tick(now))                  // every TickPeriod
//	send(machine.Receive(now, peer, message))
//	machine.Publish(kqspread.Item{Name: "configuration", Version: 7, Payload: payload})
//	for _, item := range machine.TakeItems() { ... } // items that replaced older ones
//
// A new node sends a join request to contact addresses, and receives the whole
// view and all items in the answer. From then on it keeps links with a few
// neighbours. All nodes derive the neighbours from their views by the same
// rule, so that a link stays for as long as both its ends live.
//
// A change is pushed over the links, within a rate limit. Anti-entropy finds
// the changes that were lost or left out: each ping carries a digest of all
// that the sender holds, and two nodes whose digests differ compare the digests
// of smaller parts and exchange what either of them lacks. The pings also serve
// the failure detector: a node suspects a neighbour that stays silent, and the
// suspected node refutes that with a newer version of its record.
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
	// TickPeriod is how often Tick has to be called. A queued change waits no
	// longer than this, unless the rate limit delays it.
	TickPeriod = 100 * time.Millisecond
	// PingPeriod is how often the end of a link with the lower node name pings
	// the other end.
	PingPeriod = time.Second
	// QuietPeriod is the time without a message after which the end of a link
	// with the higher node name pings too.
	QuietPeriod = 1500 * time.Millisecond
	// SuspectAfter is how long a neighbour may be silent before this node
	// suspects it.
	SuspectAfter = 3500 * time.Millisecond
	// MaxSuspectAfter bounds the silence timeout of a neighbour that refutes
	// suspicions although its messages do not arrive here. The timeout starts
	// at SuspectAfter and doubles with each suspicion that this node raises.
	MaxSuspectAfter = 5 * time.Minute
	// PauseThreshold is the minimum time between two ticks that is taken as a
	// pause of this node.
	PauseThreshold = 2 * time.Second
	// relinkPeriod is the minimum time between two selections of neighbours.
	relinkPeriod = 500 * time.Millisecond
	// probePeriod is about how often this node probes one removed node.
	probePeriod = 20 * time.Second
	// joinPeriod is how often a node that has not joined asks contacts again.
	joinPeriod = time.Second
	// joinTimeout is the time without any answer after which a node takes
	// itself to be the first of the fleet.
	joinTimeout = 2 * time.Second
	// contactPeriod is how often a node that has joined tries a contact address
	// that belongs to no known node.
	contactPeriod = 10 * time.Second
	// contactCooldown is how long an address that answered is not tried again.
	contactCooldown = 10 * time.Minute
	// joinFanOut is how many addresses a joining node asks at once.
	joinFanOut = 3
	// maxInboundLinks bounds the links that a node keeps, in addition to those
	// with its own neighbours, to nodes that have chosen it as their neighbour.
	maxInboundLinks = 12
	// inboundIdleTimeout is the time without a message after which such a link
	// ends.
	inboundIdleTimeout = 6 * time.Second
	// MaxChanges bounds the changes in one message, other than an answer to
	// Join.
	MaxChanges = 128
	// changeRate and changeBurst bound the changes about other nodes that a
	// node sends per second.
	changeRate  = 128
	changeBurst = 128
	// joinRate and joinBurst bound the whole views that a node sends per
	// second.
	joinRate  = 1
	joinBurst = 4
	// maxMembers, maxItems and maxItemBytes bound the memory that other nodes
	// can make a node use.
	maxMembers   = 20_000
	maxItems     = 4096
	maxItemBytes = 1<<20 - 4096
	// maxPushedItemBytes is the largest payload that is pushed without a
	// request. Of a larger item only the version is offered.
	maxPushedItemBytes = 512
)

// neverTicked is the lastTick of a machine that has not been ticked yet.
const neverTicked = time.Duration(-1)

// Machine is the state machine of one node in the gossip protocol. It does no
// input or output and is not safe for concurrent use: the control goroutine
// owns it.
type Machine struct {
	view     *kqmember.View
	random   *rand.Rand
	rings    rings
	digest   digest
	items    map[string]Item
	newItems []Item
	links    map[string]*link
	// order lists the names of links in sorted order, so that runs with the
	// same random seed are identical.
	order        []string
	sequence     uint64
	lastTick     time.Duration
	changedAt    time.Duration
	relinkNeeded bool
	relinkedAt   time.Duration
	// suppressDissemination is set while a whole view from a join answer is
	// merged, so that the node does not disseminate all of it again.
	suppressDissemination bool

	contacts      contacts
	confirmation  confirmation
	ownSuspicions map[string]*ownSuspicion
	wanted        map[Key]*want
	changeBudget  tokenBucket
	joinBudget    tokenBucket
	probedAt      time.Duration
	outbox        []Envelope
}

// New returns the machine of a node that knows only what view holds, usually
// itself. The machine registers itself for the changes of the view.
func New(now time.Duration, view *kqmember.View, random *rand.Rand) *Machine {
	m := &Machine{
		view: view, random: random, items: map[string]Item{}, links: map[string]*link{},
		ownSuspicions: map[string]*ownSuspicion{}, wanted: map[Key]*want{}, lastTick: neverTicked, relinkNeeded: true,
		changeBudget: newTokenBucket(now, changeRate, changeBurst), joinBudget: newTokenBucket(now, joinRate, joinBurst),
	}
	m.contacts = newContacts(now)
	m.probedAt, m.relinkedAt = now, now-relinkPeriod
	view.OnChange = m.observe
	for _, held := range view.Members() {
		m.observe(nil, held)
	}
	return m
}

// observe updates the rings and the digest, which are derived from the view,
// after a change of one member.
func (m *Machine) observe(before, after *kqmember.Member) {
	m.rings.observe(before, after)
	m.digest.observe(before, after)
	m.relinkNeeded = true
	if after == nil {
		delete(m.ownSuspicions, before.Record.NodeID)
	}
}

// UpdateOwn changes the node's own record and disseminates it.
func (m *Machine) UpdateOwn(change func(*kqmember.Record)) {
	m.view.UpdateOwn(change)
	m.disseminate(memberKey(m.view.Own().NodeID), "")
}

// Publish stores and disseminates an item. It reports false if the item is
// invalid or its version is not higher than the one held.
func (m *Machine) Publish(i Item) bool {
	return m.storeItem(i, "")
}

// Item returns the held version of the item of that name.
func (m *Machine) Item(name string) (Item, bool) {
	i, found := m.items[name]
	return i, found
}

// TakeItems returns the items received from other nodes since the last call.
func (m *Machine) TakeItems() []Item {
	items := m.newItems
	m.newItems = nil
	return items
}

// Digest returns the digest of all that this node holds and passes on. Two
// nodes with equal digests hold the same state.
func (m *Machine) Digest() uint64 {
	return m.digest.top
}

// Neighbours lists the names of the nodes that this node has chosen as
// neighbours, sorted.
func (m *Machine) Neighbours() []string {
	var names []string
	for _, name := range m.order {
		if m.links[name].chosen {
			names = append(names, name)
		}
	}
	return names
}

// Tick advances the time to now and returns the messages to send.
func (m *Machine) Tick(now time.Duration) []Envelope {
	m.detectPause(now)
	m.lastTick = now
	m.view.Advance(now)
	m.updateLinks(now)
	m.checkNeighbours(now)
	m.probeRemoved(now)
	m.queryContacts(now)
	m.retryWants(now)
	m.flush(now)
	return m.takeOutbox()
}

// Receive processes a message from the node of that name and returns the
// messages to send in response.
func (m *Machine) Receive(now time.Duration, from string, message Message) []Envelope {
	if from == "" || from == m.view.Own().NodeID {
		return nil
	}
	m.detectPause(now)
	m.recordReceived(now, from, message)
	m.suppressDissemination = message.Answers != 0 && message.From != ""
	for _, c := range message.Changes {
		m.merge(now, from, c)
	}
	m.suppressDissemination = false
	reply := Message{}
	m.answerPing(now, from, message, &reply)
	m.compare(now, from, message, &reply)
	m.addWanted(now, message.Wants, &reply)
	if !reply.empty() {
		m.send(from, m.addressOf(from), reply)
	}
	return m.takeOutbox()
}

func (m Message) empty() bool {
	return m.Answers == 0 && len(m.Changes) == 0 && len(m.Wants) == 0 && len(m.Buckets) == 0 && len(m.Compared) == 0
}

func (m *Machine) send(to, address string, message Message) {
	m.outbox = append(m.outbox, Envelope{To: to, Address: address, Message: message})
}

func (m *Machine) takeOutbox() []Envelope {
	out := m.outbox
	m.outbox = nil
	return out
}

func (m *Machine) addressOf(nodeID string) string {
	if held := m.view.Find(nodeID); held != nil {
		return held.Record.Address
	}
	return ""
}

// tokenBucket limits a rate of events.
type tokenBucket struct {
	rate, burst, tokens float64
	refilledAt          time.Duration
}

func newTokenBucket(now time.Duration, rate, burst float64) tokenBucket {
	return tokenBucket{rate: rate, burst: burst, tokens: burst, refilledAt: now}
}

// take removes one token, and reports whether there was one.
func (b *tokenBucket) take(now time.Duration) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// low reports whether less than half of the burst is left.
func (b *tokenBucket) low() bool {
	return b.tokens < b.burst/2
}
