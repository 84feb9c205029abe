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

// scarceFanOut is to how many links news goes while the rate is used up.
const scarceFanOut = 2

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
	urgent := m.urgent(k)
	if !urgent && m.changes.scarce() {
		m.tellSome(k, from)
		return
	}
	for _, name := range m.order {
		if name != from {
			m.links[name].enqueue(k, urgent)
		}
	}
}

// tellSome queues news for a few links only: while much changes at once, the
// copies that the others would get are better spent on other news, and digests
// find the nodes that were passed over.
func (m *Machine) tellSome(k Key, from string) {
	for range min(scarceFanOut, len(m.order)) {
		if name := m.order[m.random.IntN(len(m.order))]; name != from {
			m.links[name].enqueue(k, false)
		}
	}
}

// enqueue lets news wait for the next flush, urgent news before the rest.
func (l *link) enqueue(k Key, urgent bool) {
	if _, found := l.pending[k]; found || len(l.queue) >= queueLimit {
		return
	}
	l.pending[k] = struct{}{}
	if urgent {
		l.queue = slices.Insert(l.queue, 0, k)
		return
	}
	l.queue = append(l.queue, k)
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
	if !validRecord(r) || m.view.Find(r.NodeID) == nil && m.view.Len() >= maxMembers {
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

func (m *Machine) mergeNote(now time.Duration, from string, n Suspicion) {
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
	if !heard.Less(held.Stamp()) || !m.changes.take(now) {
		return
	}
	m.send(from, m.addressOf(from), Message{Changes: []Change{m.memberChange(now, held)}})
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
	if !m.validItem(i, found) || !held.stamp().Less(i.stamp()) {
		return false
	}
	k := itemKey(i.Name)
	if found {
		m.digest.toggle(itemSummary(held))
	}
	m.items[i.Name] = i
	m.digest.toggle(itemSummary(i))
	delete(m.wanted, k)
	if from != "" {
		m.fresh = append(m.fresh, i)
	}
	m.tell(k, from)
	return true
}

// validItem bounds what a peer may publish.
func (m *Machine) validItem(i Item, held bool) bool {
	const longest = 256
	return i.Name != "" && len(i.Name) <= longest && len(i.Payload) <= maxItemBytes && (held || len(m.items) < maxItems)
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
	m.send(from, m.addressOf(from), Message{Wants: []Key{k}})
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

// flush sends the news that waits on the links, from a random one on, so that
// a short allowance is not always used up by the same.
func (m *Machine) flush(now time.Duration) {
	if len(m.order) == 0 {
		return
	}
	first := m.random.IntN(len(m.order))
	for i := range m.order {
		name := m.order[(first+i)%len(m.order)]
		l := m.links[name]
		held := m.view.Find(name)
		if len(l.queue) == 0 || held != nil && held.Record.Life == kqmember.LifeGone {
			continue
		}
		changes := m.drain(now, l)
		if address := m.addressOf(name); address != "" && len(changes) > 0 {
			m.send(name, address, Message{Changes: changes})
		}
	}
}

// drain takes news of a link, as far as the rate allows. What waits on is taken
// back when the other end tells it first.
func (m *Machine) drain(now time.Duration, l *link) []Change {
	var changes []Change
	for len(l.queue) > 0 && len(changes) < MaxChanges {
		k := l.queue[0]
		_, found := l.pending[k]
		if found && !m.urgent(k) && !m.changes.take(now) {
			break
		}
		l.queue = l.queue[1:]
		delete(l.pending, k)
		if !found {
			continue
		}
		if c, held := m.changeOf(now, k, true); held {
			changes = append(changes, c)
		}
	}
	return changes
}

// urgent is whether news is sent whatever the rate: the node's own word, that
// a node leaves, and items.
func (m *Machine) urgent(k Key) bool {
	if k.Kind == KindItem {
		return true
	}
	held := m.view.Find(k.Name)
	return k.Name == m.view.Own().NodeID || held != nil && held.Record.Life == kqmember.LifeDraining
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
		return Change{Note: &Suspicion{NodeID: r.NodeID, Incarnation: r.Incarnation, Version: r.Version, AgeSeconds: ageSeconds(now, held.Since)}}, true
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
