package kqspread

import (
	"time"

	"kumquatlink/core/kqmember"
)

// Times and limits of comparing.
const (
	// settlePeriod is how long nothing must have changed here before a digest
	// that differs is looked into: news on its way explains most differences.
	settlePeriod = 1500 * time.Millisecond
	// differLimit is how long a difference may stand even while news comes.
	differLimit = 5 * time.Second
	// compareGap is the time between two looks into a difference of one link,
	// which doubles up to compareGapLimit while looking finds nothing.
	compareGap      = time.Second
	compareGapLimit = 32 * time.Second
	// comparedLimit is how many buckets are compared at once.
	comparedLimit = 8
)

// difference is what is known of how the other end of a link differs.
type difference struct {
	since time.Duration
	found bool
	next  time.Duration
	gap   time.Duration
	round uint8
	// bulk is whether the last look found something, so that the next need
	// not wait for quiet.
	bulk bool
}

// compare takes the steps of looking into a difference: digests of all, then
// digests of buckets, then summaries of what is in buckets that differ.
func (m *Machine) compare(now time.Duration, from string, message Message, reply *Message) {
	if message.Top != 0 {
		m.compareTop(now, from, message.Top, reply)
	}
	if len(message.Buckets) > 0 {
		m.compareBuckets(message, reply)
	}
	if len(message.Compared) > 0 {
		m.compareSummaries(now, from, message, reply)
	}
}

func (m *Machine) compareTop(now time.Duration, from string, top uint64, reply *Message) {
	l := m.links[from]
	if l == nil {
		return
	}
	d := &l.differ
	if top == m.digest.top {
		*d = difference{round: d.round, next: d.next}
		return
	}
	if !d.found {
		d.found, d.since, d.gap = true, now, compareGap
	}
	settled := d.bulk || now-m.changedAt >= settlePeriod && now-d.since >= settlePeriod || now-d.since >= differLimit
	if !settled || now < d.next {
		return
	}
	d.next = now + d.gap
	d.gap = min(2*d.gap, compareGapLimit)
	d.round++
	d.bulk = false
	reply.Round = d.round
	reply.Buckets = m.digest.part(d.round)
}

func (m *Machine) compareBuckets(message Message, reply *Message) {
	buckets := m.digest.differing(message.Buckets, message.Round)
	if len(buckets) > comparedLimit {
		first := m.random.IntN(len(buckets))
		buckets = append(buckets[first:], buckets[:first]...)[:comparedLimit]
	}
	reply.Compared = buckets
	for _, k := range m.keysIn(buckets) {
		if s, found := m.summaryOf(k); found {
			reply.Summaries = append(reply.Summaries, s)
		}
	}
}

// keysIn lists what is told to others in the buckets, in order.
func (m *Machine) keysIn(buckets []byte) []Key {
	var chosen [bucketCount]bool
	for _, b := range buckets {
		chosen[b] = true
	}
	var keys []Key
	m.rings.settle()
	for _, p := range m.rings.places[ringFleet] {
		k := memberKey(p.nodeID)
		if chosen[bucketOf(k)] && m.view.Find(p.nodeID).Status != kqmember.StatusHidden {
			keys = append(keys, k)
		}
	}
	for _, i := range m.sortedItems() {
		if k := itemKey(i.Name); chosen[bucketOf(k)] {
			keys = append(keys, k)
		}
	}
	return keys
}

// summaryOf says which version is held, hidden members included.
func (m *Machine) summaryOf(k Key) (Summary, bool) {
	if k.Kind == KindItem {
		i, found := m.items[k.Name]
		return itemSummary(i), found
	}
	held := m.view.Find(k.Name)
	if held == nil {
		return Summary{}, false
	}
	return memberSummary(held), true
}

// compareSummaries sends what the other lacks and asks for what is lacking
// here.
func (m *Machine) compareSummaries(now time.Duration, from string, message Message, reply *Message) {
	listed := map[Key]kqmember.Stamp{}
	for _, s := range message.Summaries {
		listed[s.Key] = s.stamp()
	}
	offered, wanted := len(reply.Changes), len(reply.Wants)
	for _, s := range message.Summaries {
		held, found := m.summaryOf(s.Key)
		switch {
		case !found || held.stamp().Less(s.stamp()):
			if len(reply.Wants) < MaxChanges {
				reply.Wants = append(reply.Wants, s.Key)
			}
		case s.stamp().Less(held.stamp()):
			m.supply(now, []Key{s.Key}, reply)
		}
	}
	for _, k := range m.keysIn(message.Compared) {
		if _, found := listed[k]; !found {
			m.supply(now, []Key{k}, reply)
		}
	}
	if l := m.links[from]; l != nil && len(reply.Changes)+len(reply.Wants) > offered+wanted {
		l.differ.bulk, l.differ.gap, l.differ.next = true, compareGap, now+compareGap
	}
}

// supply adds what was wanted, as far as the rate allows.
func (m *Machine) supply(now time.Duration, wants []Key, reply *Message) {
	for _, k := range wants {
		if len(reply.Changes) >= MaxChanges {
			return
		}
		c, found := m.changeOf(now, k, false)
		if found && (m.urgent(k) || m.changes.take(now)) {
			reply.Changes = append(reply.Changes, c)
		}
	}
}
