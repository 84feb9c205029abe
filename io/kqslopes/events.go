package kqslopes

import (
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqvirtual"
)

// Lengths of the rare events.
const (
	// splitPart is how long regions are apart in the trial. After that
	// each side has removed the other, and nothing changes any more.
	splitPart  = 80 * time.Second
	eventLimit = 10 * time.Minute
)

// Event is something that hits a large part of the fleet at once.
type Event struct {
	// SecondsToAll is until all remaining nodes knew, or agreed again.
	SecondsToAll float64
	// EncodedBytesPerNode is what a node sent until then, pings included, and
	// BusiestEncodedBytes the mean in the busiest second.
	EncodedBytesPerNode float64
	BusiestEncodedBytes float64
}

// follow runs second by second until the condition holds.
func (t *trial) follow(condition func() bool) Event {
	var e Event
	begun, before := t.fleet.Now(), t.sent.bytes
	nodes := float64(len(t.fleet.Nodes))
	for !condition() {
		if t.fleet.Now()-begun > eventLimit {
			t.err = errors.New("fleet did not settle after an event")
			break
		}
		sent := t.sent.bytes
		t.fleet.Run(time.Second)
		e.BusiestEncodedBytes = max(e.BusiestEncodedBytes, float64(t.sent.bytes-sent)/nodes)
	}
	e.SecondsToAll = (t.fleet.Now() - begun).Seconds()
	e.EncodedBytesPerNode = float64(t.sent.bytes-before) / nodes
	return e
}

// measureSplit cuts one region off, and then heals the split.
func (t *trial) measureSplit() (split, heal Event) {
	deliver := t.fleet.Fault
	region := recordOf(0).Region
	t.fleet.Fault = func(from, to *kqvirtual.Node) kqvirtual.Delivery {
		if (from.Record.Region == region) != (to.Record.Region == region) {
			return kqvirtual.Delivery{Lost: true}
		}
		return deliver(from, to)
	}
	begun := t.fleet.Now()
	split = t.follow(func() bool {
		return t.each(func(n *kqvirtual.Node, held *kqmember.Member) bool {
			return (held.Status >= kqmember.StatusRemoved) == ((n.Record.Region == region) != (held.Record.Region == region))
		})
	})
	t.fleet.Run(begun + splitPart - t.fleet.Now())
	t.fleet.Fault = deliver
	heal = t.follow(func() bool {
		return t.each(func(_ *kqvirtual.Node, held *kqmember.Member) bool {
			return held.Status == kqmember.StatusAlive || t.fleet.Nodes[held.Record.NodeID] == nil
		})
	})
	return split, heal
}

// each is whether something holds for all that all nodes hold.
func (t *trial) each(holds func(n *kqvirtual.Node, held *kqmember.Member) bool) bool {
	for _, n := range t.fleet.Nodes {
		for _, held := range n.View.Members() {
			if t.fleet.Nodes[held.Record.NodeID] != nil && !holds(n, held) {
				return false
			}
		}
	}
	return true
}

// measureLostDomain lets all nodes of a failure domain die at once.
func (t *trial) measureLostDomain() Event {
	domain := recordOf(0).FailureDomain
	for id, n := range t.fleet.Nodes {
		if n.Record.FailureDomain == domain {
			t.fleet.Stop(id)
		}
	}
	return t.follow(func() bool {
		for _, n := range t.fleet.Nodes {
			for _, held := range n.View.Members() {
				if held.Record.FailureDomain == domain && held.Status < kqmember.StatusRemoved {
					return false
				}
			}
		}
		return true
	})
}
