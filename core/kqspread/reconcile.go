package kqspread

import (
	"time"

	"kumquatlink/core/kqmember"
)

// Times and limits of the comparison of digests.
const (
	// compareDelay is how long the state held here must have been unchanged
	// before a differing digest is investigated: most differences come from
	// changes that are on their way.
	compareDelay = 1500 * time.Millisecond
	// maxCompareDelay is the age from which a difference is investigated even
	// while changes arrive.
	maxCompareDelay = 5 * time.Second
	// compareInterval is the time between two comparisons on one link. It
	// doubles up to maxCompareInterval while comparisons find nothing.
	compareInterval    = time.Second
	maxCompareInterval = 32 * time.Second
	// maxComparedBuckets is how many buckets are compared at once.
	maxComparedBuckets = 8
)

// difference tracks a digest mismatch with the other end of a link.
type difference struct {
	since    time.Duration
	detected bool
	nextAt   time.Duration
	interval time.Duration
	round    uint8
	// productive reports whether the last comparison found something, so that
	// the next one need not wait for compareDelay.
	productive bool
}

// compare runs the steps of anti-entropy: it compares the digests of
// everything, then those of the buckets, then the summaries of the buckets that
// differ.
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
	d := &l.difference
	if top == m.digest.top {
		*d = difference{round: d.round, nextAt: d.nextAt}
		return
	}
	if !d.detected {
		d.detected, d.since, d.interval = true, now, compareInterval
	}
	due := d.productive || now-m.changedAt >= compareDelay && now-d.since >= compareDelay || now-d.since >= maxCompareDelay
	if !due || now < d.nextAt {
		return
	}
	d.nextAt = now + d.interval
	d.interval = min(2*d.interval, maxCompareInterval)
	d.round++
	d.productive = false
	reply.Round = d.round
	reply.Buckets = m.digest.roundBytes(d.round)
}

func (m *Machine) compareBuckets(message Message, reply *Message) {
	buckets := m.digest.differingBuckets(message.Buckets, message.Round)
	if len(buckets) > maxComparedBuckets {
		first := m.random.IntN(len(buckets))
		buckets = append(buckets[first:], buckets[:first]...)[:maxComparedBuckets]
	}
	reply.Compared = buckets
	for _, k := range m.keysInBuckets(buckets) {
		if s, found := m.summaryOf(k); found {
			reply.Summaries = append(reply.Summaries, s)
		}
	}
}

// keysInBuckets lists the members that are not hidden and the items in the
// buckets, members first, in a fixed order.
func (m *Machine) keysInBuckets(buckets []byte) []Key {
	var chosen [bucketCount]bool
	for _, b := range buckets {
		chosen[b] = true
	}
	var keys []Key
	m.rings.insertAdded()
	for _, p := range m.rings.positions[ringFleet] {
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

// summaryOf returns the summary of the held version, also of hidden members.
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

// compareSummaries sends the state that the other node lacks and requests the
// state that is missing here.
func (m *Machine) compareSummaries(now time.Duration, from string, message Message, reply *Message) {
	listed := map[Key]kqmember.Stamp{}
	for _, s := range message.Summaries {
		listed[s.Key] = s.stamp()
	}
	changesBefore, wantsBefore := len(reply.Changes), len(reply.Wants)
	for _, s := range message.Summaries {
		held, found := m.summaryOf(s.Key)
		switch {
		case !found || held.stamp().Less(s.stamp()):
			if len(reply.Wants) < MaxChanges {
				reply.Wants = append(reply.Wants, s.Key)
			}
		case s.stamp().Less(held.stamp()):
			m.addWanted(now, []Key{s.Key}, reply)
		}
	}
	for _, k := range m.keysInBuckets(message.Compared) {
		if _, found := listed[k]; !found {
			m.addWanted(now, []Key{k}, reply)
		}
	}
	if l := m.links[from]; l != nil && len(reply.Changes)+len(reply.Wants) > changesBefore+wantsBefore {
		l.difference.productive, l.difference.interval, l.difference.nextAt = true, compareInterval, now+compareInterval
	}
}

// addWanted adds the wanted state to the reply, as far as the budget allows.
func (m *Machine) addWanted(now time.Duration, wants []Key, reply *Message) {
	for _, k := range wants {
		if len(reply.Changes) >= MaxChanges {
			return
		}
		c, found := m.buildChange(now, k, false)
		if found && (m.urgent(k) || m.changeBudget.take(now)) {
			reply.Changes = append(reply.Changes, c)
		}
	}
}
