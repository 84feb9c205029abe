package kqspread

import (
	"maps"
	"slices"
	"time"

	"kumquatlink/core/kqmember"
)

// presence is whether this node knows what the fleet holds of it.
type presence struct {
	confirmed bool
	// since is the first sequence whose answer confirms.
	since uint64
	// begunAt is when the node began to wait for an answer.
	begunAt time.Duration
	pauses  int
}

// answered notes an answer to one of this node's pings.
func (p *presence) answered(message Message) {
	if message.Answers >= p.since && !message.Join {
		p.confirmed = true
	}
}

// contacts are the addresses that a node starts from.
type contacts struct {
	addresses []string
	complete  bool
	askedAt   time.Duration
	rest      map[string]time.Duration
}

func newContacts(now time.Duration) contacts {
	return contacts{askedAt: now - contactPeriod, rest: map[string]time.Duration{}}
}

// Confirmed is whether the node knows what the fleet holds of it: it has been
// answered since it started or last woke from a pause, or it is alone.
func (m *Machine) Confirmed() bool {
	return m.presence.confirmed
}

// Pauses counts how often the node has noticed that it was paused.
func (m *Machine) Pauses() int {
	return m.presence.pauses
}

// SetContacts sets the addresses to start from. Complete says that no more are
// to be waited for.
func (m *Machine) SetContacts(addresses []string, complete bool) {
	if !m.presence.confirmed && !slices.Equal(addresses, m.contacts.addresses) || complete != m.contacts.complete {
		m.contacts.askedAt -= contactPeriod
	}
	m.contacts.addresses = slices.Clone(addresses)
	maps.DeleteFunc(m.contacts.rest, func(address string, _ time.Duration) bool { return !slices.Contains(addresses, address) })
	m.contacts.complete = complete
}

// notice finds out that this node was paused, from a jump of its own clock:
// it may have been suspected or removed meanwhile, and the silence of its
// neighbours was its own.
func (m *Machine) notice(now time.Duration) {
	if m.lastTick != neverTicked && now-m.lastTick >= PauseThreshold {
		m.RecordPause(now)
	}
}

// RecordPause says that this node was paused, as far as its own clock does not show
// it.
func (m *Machine) RecordPause(now time.Duration) {
	m.lastTick = now
	m.presence.pauses++
	m.presence.confirmed = false
	m.presence.since = m.sequence + 1
	m.presence.begunAt = now
	for _, l := range m.links {
		l.heardAt = now
		l.unanswered = 0
		l.pingedAt = now - QuietPeriod
	}
	for _, name := range m.order {
		if l := m.links[name]; l.own {
			m.ping(now, l, m.addressOf(name))
		}
	}
}

// known is whether a node that is not removed has the address.
func (m *Machine) known(address string) bool {
	m.rings.settle()
	for _, p := range m.rings.places[ringFleet] {
		held := m.view.Find(p.nodeID)
		if held.Record.Address == address && held.Status < kqmember.StatusRemoved {
			return true
		}
	}
	return false
}

// contact asks addresses for what they know: several a second until the node
// has joined, then one now and then that no known node has, so that islands
// that began apart find each other.
func (m *Machine) contact(now time.Duration) {
	period, fanOut := contactPeriod, 1
	if !m.presence.confirmed {
		period, fanOut = joinPeriod, joinFanOut
	}
	if now-m.contacts.askedAt < period {
		return
	}
	m.contacts.askedAt = now
	var open []string
	for _, a := range m.contacts.addresses {
		if rest, found := m.contacts.rest[a]; (!found || now >= rest) && !m.known(a) {
			open = append(open, a)
		}
	}
	if !m.presence.confirmed {
		m.joinAlone(now, open)
	}
	for range min(fanOut, len(open)) {
		i := m.random.IntN(len(open))
		m.sendJoin(open[i])
		open = slices.Delete(open, i, i+1)
	}
}

// joinAlone confirms a node that has nobody to ask.
func (m *Machine) joinAlone(now time.Duration, open []string) {
	if len(m.Neighbours()) > 0 || !m.contacts.complete {
		return
	}
	if len(open) == 0 || now-m.presence.begunAt >= joinPatience {
		m.presence.confirmed = true
	}
}

func (m *Machine) sendJoin(address string) {
	message := m.newPing()
	own := m.view.Own()
	message.Join = true
	message.From = own.NodeID
	message.Changes = []Change{{Record: &own}}
	m.send("", address, message)
}

// answerJoin gives a node that joins the whole view and the items, if the rate
// allows. An answer with Join set asks it to try elsewhere.
func (m *Machine) answerJoin(now time.Duration, reply *Message) {
	own := m.view.Own()
	reply.From = own.NodeID
	if !m.joins.take(now) {
		reply.Join = true
		reply.Changes = append(reply.Changes, Change{Record: &own})
		return
	}
	for _, held := range m.view.Members() {
		if held.Status != kqmember.StatusHidden {
			reply.Changes = append(reply.Changes, m.memberChange(now, held))
		}
	}
	for _, i := range m.sortedItems() {
		reply.Changes = append(reply.Changes, itemChange(i))
	}
}

// RecordJoinAnswer notes that the address answered, so that it is not asked again
// for a while even if the node behind it is known by another address.
func (m *Machine) RecordJoinAnswer(now time.Duration, address string) {
	m.contacts.rest[address] = now + contactRest
}
