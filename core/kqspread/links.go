package kqspread

import (
	"slices"
	"time"

	"kumquatlink/core/kqmember"
)

// link is the state of the exchange with one other node.
type link struct {
	nodeID string
	// own is whether this node chose the other as its neighbour.
	own        bool
	heardAt    time.Duration
	pingedAt   time.Duration
	unanswered int
	// pending are the keys of news that the other has not been told.
	pending map[Key]struct{}
	queue   []Key
	differ  difference
}

// complaint remembers that a neighbour was accused from here.
type complaint struct {
	accused  kqmember.Stamp
	at       time.Duration
	patience time.Duration
}

// alive is whether a node may be a neighbour.
func alive(m *kqmember.Member) bool {
	return m.Status == kqmember.StatusAlive && m.Record.Life != kqmember.LifeGone
}

// updateLinks follows the view: links to new neighbours begin, links to nodes
// that are no neighbours any more are kept only while these speak.
func (m *Machine) updateLinks(now time.Duration) {
	if m.relink && (now-m.relinked >= relinkPeriod || len(m.links) == 0) {
		m.relink, m.relinked = false, now
		m.chooseNeighbours(now)
	}
	m.order = slices.DeleteFunc(m.order, func(name string) bool {
		l := m.links[name]
		ended := !l.own && now-l.heardAt > inboundRest
		if ended {
			delete(m.links, name)
		}
		return ended
	})
}

func (m *Machine) chooseNeighbours(now time.Duration) {
	for _, l := range m.links {
		l.own = false
	}
	for _, n := range m.rings.neighbours(m.view, alive) {
		l := m.links[n.Record.NodeID]
		if l == nil {
			l = m.addLink(now, n.Record.NodeID)
		}
		l.own = true
	}
}

func (m *Machine) addLink(now time.Duration, nodeID string) *link {
	l := &link{nodeID: nodeID, heardAt: now, pingedAt: now - PingPeriod, pending: map[Key]struct{}{}}
	m.links[nodeID] = l
	at, _ := slices.BinarySearch(m.order, nodeID)
	m.order = slices.Insert(m.order, at, nodeID)
	return l
}

// hear notes that the other spoke. A node that takes this one for a neighbour
// gets a link back, within a bound.
func (m *Machine) hear(now time.Duration, from string, message Message) {
	l := m.links[from]
	if l == nil {
		if message.Sequence == 0 || message.Join || len(m.links) >= Degree+inboundLimit {
			return
		}
		l = m.addLink(now, from)
	}
	l.heardAt = now
	l.unanswered = 0
}

// watchLinks pings the neighbours and accuses those that are silent.
func (m *Machine) watchLinks(now time.Duration) {
	for _, name := range m.order {
		l := m.links[name]
		held := m.view.Find(name)
		if !l.own || held == nil {
			continue
		}
		if m.silent(now, l) {
			m.accuse(now, held)
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
	return m.view.Own().NodeID < l.nodeID || now-l.heardAt >= QuietPeriod || !m.presence.confirmed
}

func (m *Machine) ping(now time.Duration, l *link, address string) {
	l.pingedAt = now
	l.unanswered++
	m.send(l.nodeID, address, m.newPing())
}

func (m *Machine) newPing() Message {
	m.sequence++
	own := m.view.Own()
	return Message{Sequence: m.sequence, Incarnation: own.Incarnation, Version: own.Version, Top: m.digest.top}
}

// silent is whether a neighbour has left pings unanswered for too long.
func (m *Machine) silent(now time.Duration, l *link) bool {
	patience := SuspectAfter
	if c := m.complaint[l.nodeID]; c != nil {
		patience = c.patience
	}
	return l.unanswered >= 2 && now-l.heardAt >= patience
}

func (m *Machine) accuse(now time.Duration, held *kqmember.Member) {
	id := held.Record.NodeID
	c := m.complaint[id]
	if c == nil || c.accused.Incarnation != held.Record.Incarnation || now-c.at > 2*MaxSuspectAfter {
		c = &complaint{patience: SuspectAfter}
		m.complaint[id] = c
	}
	c.accused, c.at = held.Stamp(), now
	c.patience = min(2*c.patience, MaxSuspectAfter)
	m.suspect(now, id, held.Stamp(), 0, "")
}

// suspect takes in a suspicion and tells it on.
func (m *Machine) suspect(now time.Duration, nodeID string, accused kqmember.Stamp, age time.Duration, from string) bool {
	if !m.view.Suspect(now, nodeID, accused, age) {
		return false
	}
	m.changedAt = now
	m.tell(memberKey(nodeID), from)
	return true
}

// probeRemoved tries, now and then, a node that would be a neighbour if it
// were not removed, so that parts of the fleet that were split find each
// other again.
func (m *Machine) probeRemoved(now time.Duration) {
	if now-m.probed < probePeriod {
		return
	}
	m.probed = now - time.Duration(m.random.Int64N(int64(probePeriod/4)))
	var lost []*kqmember.Member
	everyone := func(held *kqmember.Member) bool { return held.Record.Life != kqmember.LifeGone }
	for _, held := range m.rings.neighbours(m.view, everyone) {
		if !alive(held) {
			lost = append(lost, held)
		}
	}
	if len(lost) == 0 {
		return
	}
	chosen := lost[m.random.IntN(len(lost))]
	m.send(chosen.Record.NodeID, chosen.Record.Address, m.newPing())
}

// answerPing answers a ping, and tells the sender what is held of it when that
// is not what it says of itself.
func (m *Machine) answerPing(now time.Duration, from string, message Message, reply *Message) {
	if message.Answers != 0 {
		m.presence.answered(message)
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
	said := kqmember.Stamp{Incarnation: message.Incarnation, Version: message.Version}
	held := m.view.Find(from)
	switch {
	case held == nil || held.Stamp().Less(said):
		reply.Wants = append(reply.Wants, memberKey(from))
	case said.Less(held.Stamp()):
		reply.Changes = append(reply.Changes, m.memberChange(now, held))
	}
}
