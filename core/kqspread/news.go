package kqspread

import (
	"slices"
	"strings"
	"time"

	"kumquatlink/core/kqmember"
)

// wantPatience is how long an offered item is waited for before another node
// that offered it is asked.
const wantPatience = 300 * time.Millisecond

// queueLimit bounds the news that waits on one link; digests find the rest.
const queueLimit = 1024

// want is an item that was offered and is awaited.
type want struct {
	summary Summary
	offers  []string
	askedAt time.Duration
}

// tell queues news for every link but the one it came over.
func (m *Machine) tell(k Key, from string) {
	if m.quiet {
		return
	}
	for _, name := range m.order {
		if name == from {
			continue
		}
		l := m.links[name]
		if _, found := l.pending[k]; found || len(l.queue) >= queueLimit {
			continue
		}
		l.pending[k] = struct{}{}
		l.queue = append(l.queue, k)
	}
}

// told takes back news for a link whose other end has it already.
func (m *Machine) told(k Key, from string) {
	if l := m.links[from]; l != nil {
		delete(l.pending, k)
	}
}

// merge takes in one change that was heard.
func (m *Machine) merge(now time.Duration, from string, c Change) {
	switch {
	case c.Record != nil:
		m.mergeRecord(now, from, c)
	case c.Note != nil:
		m.mergeNote(now, from, *c.Note)
	case c.Item != nil:
		m.mergeItem(now, from, *c.Item)
	case c.Offer != nil:
		m.mergeOffer(now, from, *c.Offer)
	}
}

func (m *Machine) mergeRecord(now time.Duration, from string, c Change) {
	r := *c.Record
	if !validRecord(r) {
		return
	}
	k := memberKey(r.NodeID)
	if m.view.Merge(now, r, c.Suspected, time.Duration(c.AgeSeconds)*time.Second) {
		m.accept(now, k, from)
		return
	}
	stamp := r.Stamp()
	stamp.Suspected = c.Suspected
	m.correct(now, k, stamp, from)
}

func (m *Machine) mergeNote(now time.Duration, from string, n Note) {
	k := memberKey(n.NodeID)
	stamp := kqmember.Stamp{Incarnation: n.Incarnation, Version: n.Version}
	if m.suspect(now, n.NodeID, stamp, time.Duration(n.AgeSeconds)*time.Second, from) {
		if n.NodeID == m.view.Own().NodeID {
			m.tell(k, "")
		}
		return
	}
	stamp.Suspected = true
	m.correct(now, k, stamp, from)
}

// accept tells on what replaced the state held. A word about this node itself
// was answered with a newer record, which the sender needs too.
func (m *Machine) accept(now time.Duration, k Key, from string) {
	m.changedAt = now
	if k.Name == m.view.Own().NodeID {
		from = ""
	}
	m.tell(k, from)
}

// correct answers a word that has passed with what stands instead.
func (m *Machine) correct(now time.Duration, k Key, heard kqmember.Stamp, from string) {
	held := m.view.Find(k.Name)
	if held == nil {
		return
	}
	if held.Stamp() == heard {
		m.told(k, from)
		return
	}
	address := m.addressOf(from)
	if !heard.Less(held.Stamp()) || address == "" || !m.changes.take(now) {
		return
	}
	m.send(from, address, Message{Changes: []Change{m.memberChange(now, held)}})
}

// validRecord bounds what a peer may say.
func validRecord(r kqmember.Record) bool {
	const longest = 256
	return r.NodeID != "" && r.Address != "" && len(r.NodeID) <= longest && len(r.Address) <= longest &&
		len(r.FailureDomain) <= longest && len(r.Region) <= longest && len(r.Service) <= longest && len(r.Life) <= longest
}

func (m *Machine) mergeItem(now time.Duration, from string, i Item) {
	if m.takeItem(i, from) {
		m.changedAt = now
		return
	}
	if m.items[i.Name].stamp() == i.stamp() {
		m.told(itemKey(i.Name), from)
	}
}

// takeItem holds an item if its version is higher, and tells it on.
func (m *Machine) takeItem(i Item, from string) bool {
	held, found := m.items[i.Name]
	if i.Name == "" || !held.stamp().Less(i.stamp()) {
		return false
	}
	k := itemKey(i.Name)
	if found {
		m.digest.toggle(itemSummary(held))
	}
	m.items[i.Name] = i
	m.digest.toggle(itemSummary(i))
	m.digest.hold(k)
	delete(m.wanted, k)
	if from != "" {
		m.fresh = append(m.fresh, i)
	}
	m.tell(k, from)
	return true
}

func (m *Machine) mergeOffer(now time.Duration, from string, s Summary) {
	if s.Key.Kind != KindItem || !m.items[s.Key.Name].stamp().Less(s.stamp()) {
		m.told(s.Key, from)
		return
	}
	w := m.wanted[s.Key]
	if w == nil || w.summary.stamp().Less(s.stamp()) {
		w = &want{summary: s, askedAt: now}
		m.wanted[s.Key] = w
		m.ask(from, s.Key)
		return
	}
	if w.summary.stamp() == s.stamp() {
		w.offers = append(w.offers, from)
	}
}

func (m *Machine) ask(from string, k Key) {
	if address := m.addressOf(from); address != "" {
		m.send(from, address, Message{Wants: []Key{k}})
	}
}

// askAgain asks the next node that offered an item that has not come.
func (m *Machine) askAgain(now time.Duration) {
	for _, k := range sortedKeys(m.wanted) {
		w := m.wanted[k]
		if now-w.askedAt < wantPatience {
			continue
		}
		if len(w.offers) == 0 {
			delete(m.wanted, k)
			continue
		}
		w.askedAt = now
		m.ask(w.offers[0], k)
		w.offers = w.offers[1:]
	}
}

func sortedKeys(wanted map[Key]*want) []Key {
	if len(wanted) == 0 {
		return nil
	}
	keys := make([]Key, 0, len(wanted))
	for k := range wanted {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Key) int { return strings.Compare(a.Name, b.Name) })
	return keys
}

func (m *Machine) sortedItems() []Item {
	items := make([]Item, 0, len(m.items))
	for _, i := range m.items {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Name, b.Name) })
	return items
}

// flush sends the news that waits on the links.
func (m *Machine) flush(now time.Duration) {
	for _, name := range m.order {
		l := m.links[name]
		if len(l.queue) == 0 {
			continue
		}
		changes := m.drain(now, l)
		if address := m.addressOf(name); address != "" && len(changes) > 0 {
			m.send(name, address, Message{Changes: changes})
		}
	}
}

// drain takes the news of a link. News for which the rate leaves no room is
// left to the digests.
func (m *Machine) drain(now time.Duration, l *link) []Change {
	var changes []Change
	for len(l.queue) > 0 && len(changes) < MaxChanges {
		k := l.queue[0]
		l.queue = l.queue[1:]
		if _, found := l.pending[k]; !found {
			continue
		}
		delete(l.pending, k)
		c, found := m.changeOf(now, k, true)
		if found && (m.urgent(c) || m.changes.take(now)) {
			changes = append(changes, c)
		}
	}
	return changes
}

// urgent is whether a change is sent whatever the rate: the node's own word,
// and that a node leaves.
func (m *Machine) urgent(c Change) bool {
	if c.Record == nil {
		return c.Offer != nil
	}
	return c.Record.NodeID == m.view.Own().NodeID || c.Record.Life == kqmember.LifeDraining
}

// changeOf gives the state of a member or an item as a change. Pushed items
// that are large are only offered, and suspicions of records that the
// receiver has already are only noted.
func (m *Machine) changeOf(now time.Duration, k Key, pushed bool) (Change, bool) {
	if k.Kind == KindItem {
		i, found := m.items[k.Name]
		if pushed && len(i.Payload) > eagerItemBytes {
			s := itemSummary(i)
			return Change{Offer: &s}, found
		}
		return itemChange(i), found
	}
	held := m.view.Find(k.Name)
	if held == nil {
		return Change{}, false
	}
	if pushed && held.Suspected() {
		r := held.Record
		return Change{Note: &Note{NodeID: r.NodeID, Incarnation: r.Incarnation, Version: r.Version, AgeSeconds: ageSeconds(now, held.Since)}}, true
	}
	return m.memberChange(now, held), true
}

func (m *Machine) memberChange(now time.Duration, held *kqmember.Member) Change {
	c := Change{Record: &held.Record, Suspected: held.Suspected()}
	if held.Status != kqmember.StatusAlive {
		c.AgeSeconds = ageSeconds(now, held.Since)
	}
	return c
}

func itemChange(i Item) Change {
	return Change{Item: &i}
}
