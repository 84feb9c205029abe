package kqspread

import (
	"slices"
	"time"

	"kumquatlink/core/kqmember"
)

// link is the state of the connection with one other node.
type link struct {
	nodeID string
	// chosen reports whether this node chose the other as its neighbour.
	chosen          bool
	receivedAt      time.Duration
	pingedAt        time.Duration
	unansweredPings int
	// pending holds the keys of the changes that are still to be sent to the
	// other node. A key of queue that is missing here is skipped, since the
	// other node has sent that change itself.
	pending    map[Key]struct{}
	queue      []Key
	difference difference
}

// ownSuspicion records the last suspicion of a neighbour that this node raised.
// Its timeout is how long the neighbour may be silent before the next one.
type ownSuspicion struct {
	stamp   kqmember.Stamp
	at      time.Duration
	timeout time.Duration
}

// alive reports whether a node may be a neighbour.
func alive(m *kqmember.Member) bool {
	return m.Status == kqmember.StatusAlive && m.Record.Life != kqmember.LifeGone
}

// updateLinks adapts the links to the view. It adds links to new neighbours. A
// link to a node that is no neighbour of this one is kept only while that node
// sends messages.
func (m *Machine) updateLinks(now time.Duration) {
	if m.relinkNeeded && (now-m.relinkedAt >= relinkPeriod || len(m.links) == 0) {
		m.relinkNeeded, m.relinkedAt = false, now
		m.chooseNeighbours(now)
	}
	m.order = slices.DeleteFunc(m.order, func(name string) bool {
		l := m.links[name]
		ended := !l.chosen && now-l.receivedAt > inboundIdleTimeout
		if ended {
			delete(m.links, name)
		}
		return ended
	})
}

func (m *Machine) chooseNeighbours(now time.Duration) {
	for _, l := range m.links {
		l.chosen = false
	}
	for _, n := range m.rings.neighbours(m.view, alive) {
		l := m.links[n.Record.NodeID]
		if l == nil {
			l = m.addLink(now, n.Record.NodeID)
		}
		l.chosen = true
	}
}

func (m *Machine) addLink(now time.Duration, nodeID string) *link {
	l := &link{nodeID: nodeID, receivedAt: now, pingedAt: now - PingPeriod, pending: map[Key]struct{}{}}
	m.links[nodeID] = l
	at, _ := slices.BinarySearch(m.order, nodeID)
	m.order = slices.Insert(m.order, at, nodeID)
	return l
}

// recordReceived records that a message arrived. A node that pings this one
// without being its neighbour gets a link back, up to maxInboundLinks.
func (m *Machine) recordReceived(now time.Duration, from string, message Message) {
	l := m.links[from]
	if l == nil {
		if message.Sequence == 0 || message.Join || len(m.links) >= Degree+maxInboundLinks {
			return
		}
		l = m.addLink(now, from)
	}
	l.receivedAt = now
	l.unansweredPings = 0
}

// checkNeighbours pings the neighbours and suspects those that are silent for
// too long.
func (m *Machine) checkNeighbours(now time.Duration) {
	for _, name := range m.order {
		l := m.links[name]
		held := m.view.Find(name)
		if !l.chosen || held == nil {
			continue
		}
		if m.timedOut(now, l) {
			m.suspectSilent(now, held)
			continue
		}
		if m.pingDue(now, l) {
			m.ping(now, l, held.Record.Address)
		}
	}
}

func (m *Machine) pingDue(now time.Duration, l *link) bool {
	if now-l.pingedAt < PingPeriod {
		return false
	}
	return m.view.Own().NodeID < l.nodeID || now-l.receivedAt >= QuietPeriod || !m.confirmation.confirmed
}

func (m *Machine) ping(now time.Duration, l *link, address string) {
	l.pingedAt = now
	l.unansweredPings++
	m.send(l.nodeID, address, m.newPing())
}

func (m *Machine) newPing() Message {
	m.sequence++
	own := m.view.Own()
	return Message{Sequence: m.sequence, Incarnation: own.Incarnation, Version: own.Version, Top: m.digest.top}
}

// timedOut reports whether a neighbour has left pings unanswered for too long.
func (m *Machine) timedOut(now time.Duration, l *link) bool {
	timeout := SuspectAfter
	if c := m.ownSuspicions[l.nodeID]; c != nil {
		timeout = c.timeout
	}
	return l.unansweredPings >= 2 && now-l.receivedAt >= timeout
}

func (m *Machine) suspectSilent(now time.Duration, held *kqmember.Member) {
	id := held.Record.NodeID
	c := m.ownSuspicions[id]
	if c == nil || c.stamp.Incarnation != held.Record.Incarnation || now-c.at > 2*MaxSuspectAfter {
		c = &ownSuspicion{timeout: SuspectAfter}
		m.ownSuspicions[id] = c
	}
	c.stamp, c.at = held.Stamp(), now
	c.timeout = min(2*c.timeout, MaxSuspectAfter)
	m.suspect(now, id, held.Stamp(), 0, "")
}

// suspect applies a suspicion to the view and disseminates it if the view
// changed. It reports whether it did.
func (m *Machine) suspect(now time.Duration, nodeID string, stamp kqmember.Stamp, age time.Duration, from string) bool {
	if !m.view.Suspect(now, nodeID, stamp, age) {
		return false
	}
	m.changedAt = now
	m.disseminate(memberKey(nodeID), from)
	return true
}

// probeRemoved occasionally pings a node that would be a neighbour if it were
// not removed, so that the sides of a network partition find each other again.
func (m *Machine) probeRemoved(now time.Duration) {
	if now-m.probedAt < probePeriod {
		return
	}
	m.probedAt = now - time.Duration(m.random.Int64N(int64(probePeriod/4)))
	var removed []*kqmember.Member
	notGone := func(held *kqmember.Member) bool { return held.Record.Life != kqmember.LifeGone }
	for _, held := range m.rings.neighbours(m.view, notGone) {
		if !alive(held) {
			removed = append(removed, held)
		}
	}
	if len(removed) == 0 {
		return
	}
	chosen := removed[m.random.IntN(len(removed))]
	m.send(chosen.Record.NodeID, chosen.Record.Address, m.newPing())
}

// answerPing answers a ping. If the record that this node holds of the sender
// differs from the version that the sender states, the answer corrects the
// sender or requests its record.
func (m *Machine) answerPing(now time.Duration, from string, message Message, reply *Message) {
	if message.Answers != 0 {
		m.confirmation.recordAnswer(message)
	}
	if message.Sequence == 0 {
		return
	}
	own := m.view.Own()
	reply.Answers = message.Sequence
	reply.Incarnation, reply.Version, reply.Top = own.Incarnation, own.Version, m.digest.top
	if message.Join {
		m.answerJoin(now, reply)
	}
	m.checkSender(now, from, message, reply)
}

func (m *Machine) checkSender(now time.Duration, from string, message Message, reply *Message) {
	claimed := kqmember.Stamp{Incarnation: message.Incarnation, Version: message.Version}
	held := m.view.Find(from)
	switch {
	case held == nil || held.Stamp().Less(claimed):
		reply.Wants = append(reply.Wants, memberKey(from))
	case claimed.Less(held.Stamp()):
		reply.Changes = append(reply.Changes, m.memberChange(now, held))
	}
}
