package kqspread

import (
	"maps"
	"slices"
	"time"

	"kumquatlink/core/kqmember"
)

// confirmation tracks whether this node knows the state that the fleet holds of
// it.
type confirmation struct {
	confirmed bool
	// firstSequence numbers the first ping whose answer confirms.
	firstSequence uint64
	// waitingSince is when the node began to wait for an answer.
	waitingSince time.Duration
	pauses       int
}

// recordAnswer processes an answer to one of this node's pings.
func (c *confirmation) recordAnswer(message Message) {
	if message.Answers >= c.firstSequence && !message.Join {
		c.confirmed = true
	}
}

// contacts holds the addresses through which a node joins, and until when those
// that answered are not tried again.
type contacts struct {
	addresses     []string
	complete      bool
	askedAt       time.Duration
	cooldownUntil map[string]time.Duration
}

func newContacts(now time.Duration) contacts {
	return contacts{askedAt: now - contactPeriod, cooldownUntil: map[string]time.Duration{}}
}

// Confirmed reports whether the node knows the state that the fleet holds of
// it: a node has answered since this one started or was last paused, or it is
// alone.
func (m *Machine) Confirmed() bool {
	return m.confirmation.confirmed
}

// Pauses returns how often the node has detected that it was paused.
func (m *Machine) Pauses() int {
	return m.confirmation.pauses
}

// SetContacts sets the addresses through which the node joins. Complete states
// that no more addresses will follow, so that a node without any may take
// itself to be alone.
func (m *Machine) SetContacts(addresses []string, complete bool) {
	if !m.confirmation.confirmed && !slices.Equal(addresses, m.contacts.addresses) || complete != m.contacts.complete {
		m.contacts.askedAt -= contactPeriod
	}
	m.contacts.addresses = slices.Clone(addresses)
	maps.DeleteFunc(m.contacts.cooldownUntil, func(address string, _ time.Duration) bool { return !slices.Contains(addresses, address) })
	m.contacts.complete = complete
}

// detectPause detects from a jump of the clock that this node was paused. The
// node may have been suspected or removed meanwhile. That it received nothing
// from its neighbours was due to the pause, so their silence does not count.
func (m *Machine) detectPause(now time.Duration) {
	if m.lastTick != neverTicked && now-m.lastTick >= PauseThreshold {
		m.RecordPause(now)
	}
}

// RecordPause records that this node was paused, for a caller that knows it
// from another source than the clock given to Tick. The node is unconfirmed
// until it has been answered again.
func (m *Machine) RecordPause(now time.Duration) {
	m.lastTick = now
	m.confirmation.pauses++
	m.confirmation.confirmed = false
	m.confirmation.firstSequence = m.sequence + 1
	m.confirmation.waitingSince = now
	for _, l := range m.links {
		l.receivedAt = now
		l.unansweredPings = 0
		l.pingedAt = now - QuietPeriod
	}
	for _, name := range m.order {
		if l := m.links[name]; l.chosen {
			m.ping(now, l, m.addressOf(name))
		}
	}
}

// knowsAddress reports whether a node that is not removed has the address.
func (m *Machine) knowsAddress(address string) bool {
	m.rings.insertAdded()
	for _, p := range m.rings.positions[ringFleet] {
		held := m.view.Find(p.nodeID)
		if held.Record.Address == address && held.Status < kqmember.StatusRemoved {
			return true
		}
	}
	return false
}

// queryContacts sends join requests to contact addresses that belong to no
// known node: several each second until the node has joined, then one every
// contactPeriod, so that fleets that formed separately find each other.
func (m *Machine) queryContacts(now time.Duration) {
	period, fanOut := contactPeriod, 1
	if !m.confirmation.confirmed {
		period, fanOut = joinPeriod, joinFanOut
	}
	if now-m.contacts.askedAt < period {
		return
	}
	m.contacts.askedAt = now
	var candidates []string
	for _, a := range m.contacts.addresses {
		if until, found := m.contacts.cooldownUntil[a]; (!found || now >= until) && !m.knowsAddress(a) {
			candidates = append(candidates, a)
		}
	}
	if !m.confirmation.confirmed {
		m.confirmIfAlone(now, candidates)
	}
	for range min(fanOut, len(candidates)) {
		i := m.random.IntN(len(candidates))
		m.sendJoin(candidates[i])
		candidates = slices.Delete(candidates, i, i+1)
	}
}

// confirmIfAlone confirms a node that has no other node to ask, or none that
// answers.
func (m *Machine) confirmIfAlone(now time.Duration, candidates []string) {
	if len(m.Neighbours()) > 0 || !m.contacts.complete {
		return
	}
	if len(candidates) == 0 || now-m.confirmation.waitingSince >= joinTimeout {
		m.confirmation.confirmed = true
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

// answerJoin sends the whole view and all items to a joining node, if the rate
// limit allows. Otherwise the answer has Join set, which asks the node to try
// elsewhere.
func (m *Machine) answerJoin(now time.Duration, reply *Message) {
	own := m.view.Own()
	reply.From = own.NodeID
	if !m.joinBudget.take(now) {
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

// RecordJoinAnswer records that the address answered, so that it is not asked
// again for a while even if the node behind it is known by another address.
func (m *Machine) RecordJoinAnswer(now time.Duration, address string) {
	m.contacts.cooldownUntil[address] = now + contactCooldown
}
