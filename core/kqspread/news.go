package kqspread

import (
	"slices"
	"strings"
	"time"

	"kumquatlink/core/kqmember"
)

// wantTimeout is how long a node waits for an offered item before it requests
// it from the next node that offered it.
const wantTimeout = 300 * time.Millisecond

// maxQueuedChanges bounds the changes that wait on one link. What exceeds it is
// found by comparing digests.
const maxQueuedChanges = 1024

// reducedFanOut is how many links get a change while the change budget is low.
const reducedFanOut = 2

// want is an offered item that has been requested. Its offers name the nodes
// that offered the same version and have not been asked.
type want struct {
	summary Summary
	offers  []string
	askedAt time.Duration
}

// disseminate queues a change on every link except the one it came over.
func (m *Machine) disseminate(k Key, from string) {
	if m.suppressDissemination {
		return
	}
	urgent := m.urgent(k)
	if !urgent && m.changeBudget.low() {
		m.disseminateToSome(k, from)
		return
	}
	for _, name := range m.order {
		if name != from {
			m.links[name].enqueue(k, urgent)
		}
	}
}

// disseminateToSome queues a change on a few links only. While many changes
// come at once, the budget goes to different changes rather than to further
// copies of one. Comparing digests finds the nodes that were left out.
func (m *Machine) disseminateToSome(k Key, from string) {
	for range min(reducedFanOut, len(m.order)) {
		if name := m.order[m.random.IntN(len(m.order))]; name != from {
			m.links[name].enqueue(k, false)
		}
	}
}

// enqueue queues a change for the next flush, urgent ones at the front.
func (l *link) enqueue(k Key, urgent bool) {
	if _, found := l.pending[k]; found || len(l.queue) >= maxQueuedChanges {
		return
	}
	l.pending[k] = struct{}{}
	if urgent {
		l.queue = slices.Insert(l.queue, 0, k)
		return
	}
	l.queue = append(l.queue, k)
}

// cancelQueued removes a change from the link to a node that has it already.
func (m *Machine) cancelQueued(k Key, from string) {
	if l := m.links[from]; l != nil {
		delete(l.pending, k)
	}
}

// merge applies one received change.
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
		m.disseminateAccepted(now, k, from)
		return
	}
	stamp := r.Stamp()
	stamp.Suspected = c.Suspected
	m.correctStale(now, k, stamp, from)
}

func (m *Machine) mergeNote(now time.Duration, from string, n Suspicion) {
	k := memberKey(n.NodeID)
	stamp := kqmember.Stamp{Incarnation: n.Incarnation, Version: n.Version}
	if m.suspect(now, n.NodeID, stamp, time.Duration(n.AgeSeconds)*time.Second, from) {
		if n.NodeID == m.view.Own().NodeID {
			m.disseminate(k, "")
		}
		return
	}
	stamp.Suspected = true
	m.correctStale(now, k, stamp, from)
}

// disseminateAccepted disseminates a received change that replaced the state
// held. A change about this node itself has led to a newer version of its
// record, which the sender needs too.
func (m *Machine) disseminateAccepted(now time.Duration, k Key, from string) {
	m.changedAt = now
	if k.Name == m.view.Own().NodeID {
		from = ""
	}
	m.disseminate(k, from)
}

// correctStale answers a stale state of a member with the newer one held here.
// If both states are equal, it cancels the change queued for the sender.
func (m *Machine) correctStale(now time.Duration, k Key, received kqmember.Stamp, from string) {
	held := m.view.Find(k.Name)
	if held == nil {
		return
	}
	if held.Stamp() == received {
		m.cancelQueued(k, from)
		return
	}
	if !received.Less(held.Stamp()) || !m.changeBudget.take(now) {
		return
	}
	m.send(from, m.addressOf(from), Message{Changes: []Change{m.memberChange(now, held)}})
}

// validRecord reports whether a record from a peer has its required fields and
// keeps the length limits.
func validRecord(r kqmember.Record) bool {
	const longest = 256
	return r.NodeID != "" && r.Address != "" && len(r.NodeID) <= longest && len(r.Address) <= longest &&
		len(r.FailureDomain) <= longest && len(r.Region) <= longest && len(r.Service) <= longest && len(r.Life) <= longest
}

func (m *Machine) mergeItem(now time.Duration, from string, i Item) {
	if m.storeItem(i, from) {
		m.changedAt = now
		return
	}
	if m.items[i.Name].stamp() == i.stamp() {
		m.cancelQueued(itemKey(i.Name), from)
	}
}

// storeItem stores an item if its version is higher than the one held, and
// disseminates it. It reports whether it did.
func (m *Machine) storeItem(i Item, from string) bool {
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
		m.newItems = append(m.newItems, i)
	}
	m.disseminate(k, from)
	return true
}

// validItem reports whether an item has a name and keeps the size limits. The
// limit on the number of items does not apply to one that is held.
func (m *Machine) validItem(i Item, held bool) bool {
	const longest = 256
	return i.Name != "" && len(i.Name) <= longest && len(i.Payload) <= maxItemBytes && (held || len(m.items) < maxItems)
}

func (m *Machine) mergeOffer(now time.Duration, from string, s Summary) {
	if s.Key.Kind != KindItem || !m.items[s.Key.Name].stamp().Less(s.stamp()) {
		m.cancelQueued(s.Key, from)
		return
	}
	w := m.wanted[s.Key]
	if w == nil || w.summary.stamp().Less(s.stamp()) {
		w = &want{summary: s, askedAt: now}
		m.wanted[s.Key] = w
		m.requestItem(from, s.Key)
		return
	}
	if w.summary.stamp() == s.stamp() {
		w.offers = append(w.offers, from)
	}
}

func (m *Machine) requestItem(from string, k Key) {
	m.send(from, m.addressOf(from), Message{Wants: []Key{k}})
}

// retryWants requests each item that has not arrived in time from the next node
// that offered it.
func (m *Machine) retryWants(now time.Duration) {
	for _, k := range sortedKeys(m.wanted) {
		w := m.wanted[k]
		if now-w.askedAt < wantTimeout {
			continue
		}
		if len(w.offers) == 0 {
			delete(m.wanted, k)
			continue
		}
		w.askedAt = now
		m.requestItem(w.offers[0], k)
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

// flush sends the changes queued on the links. It starts at a random link, so
// that a low budget is not always spent on the same ones.
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
		changes := m.dequeue(now, l)
		if address := m.addressOf(name); address != "" && len(changes) > 0 {
			m.send(name, address, Message{Changes: changes})
		}
	}
}

// dequeue takes changes off the queue of a link, as far as the budget allows.
// Changes whose key is no longer pending are skipped: the other end sent them
// first.
func (m *Machine) dequeue(now time.Duration, l *link) []Change {
	var changes []Change
	for len(l.queue) > 0 && len(changes) < MaxChanges {
		k := l.queue[0]
		_, found := l.pending[k]
		if found && !m.urgent(k) && !m.changeBudget.take(now) {
			break
		}
		l.queue = l.queue[1:]
		delete(l.pending, k)
		if !found {
			continue
		}
		if c, held := m.buildChange(now, k, true); held {
			changes = append(changes, c)
		}
	}
	return changes
}

// urgent reports whether a change is sent regardless of the budget: the node's
// own record, a draining node, and items.
func (m *Machine) urgent(k Key) bool {
	if k.Kind == KindItem {
		return true
	}
	held := m.view.Find(k.Name)
	return k.Name == m.view.Own().NodeID || held != nil && held.Record.Life == kqmember.LifeDraining
}

// buildChange returns the state of a member or an item as a change. When it is
// pushed, a large item is only offered, and of a suspected member only the
// suspicion is sent, since the receiver usually holds the record. It reports
// false if nothing is held.
func (m *Machine) buildChange(now time.Duration, k Key, pushed bool) (Change, bool) {
	if k.Kind == KindItem {
		i, found := m.items[k.Name]
		if pushed && len(i.Payload) > maxPushedItemBytes {
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
