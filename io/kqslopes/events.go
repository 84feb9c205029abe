package kqslopes

import (
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqvirtual"
)

// Durations of the large events, in virtual time.
const (
	// splitTime is how long the partition lasts. By then each side has removed
	// the other, and nothing changes any more.
	splitTime  = 80 * time.Second
	eventLimit = 10 * time.Minute
)

// Event holds the measurements of a change that affects a large part of the
// fleet at once.
type Event struct {
	// SecondsToAll is the time until all remaining nodes knew of it, or agreed
	// again.
	SecondsToAll float64
	// EncodedBytesPerNode is the mean that a node sent until then, including
	// pings, and BusiestEncodedBytes that in the busiest second.
	EncodedBytesPerNode float64
	BusiestEncodedBytes float64
}

// measureUntil runs the fleet in steps of a second until the condition holds.
func (t *trial) measureUntil(condition func() bool) Event {
	var e Event
	start, before := t.fleet.Now(), t.sent.bytes
	nodes := float64(len(t.fleet.Nodes))
	for !condition() {
		if t.fleet.Now()-start > eventLimit {
			t.err = errors.New("fleet did not converge after an event")
			break
		}
		sent := t.sent.bytes
		t.fleet.Run(time.Second)
		e.BusiestEncodedBytes = max(e.BusiestEncodedBytes, float64(t.sent.bytes-sent)/nodes)
	}
	e.SecondsToAll = (t.fleet.Now() - start).Seconds()
	e.EncodedBytesPerNode = float64(t.sent.bytes-before) / nodes
	return e
}

// measureSplit isolates one region by a network partition, and then heals it.
func (t *trial) measureSplit() (split, heal Event) {
	deliver := t.fleet.Fault
	region := recordOf(0).Region
	t.fleet.Fault = func(from, to *kqvirtual.Node) kqvirtual.Delivery {
		if (from.Record.Region == region) != (to.Record.Region == region) {
			return kqvirtual.Delivery{Lost: true}
		}
		return deliver(from, to)
	}
	start := t.fleet.Now()
	split = t.measureUntil(func() bool {
		return t.allMembers(func(n *kqvirtual.Node, member *kqmember.Member) bool {
			return (member.Status >= kqmember.StatusRemoved) == ((n.Record.Region == region) != (member.Record.Region == region))
		})
	})
	t.fleet.Run(start + splitTime - t.fleet.Now())
	t.fleet.Fault = deliver
	heal = t.measureUntil(func() bool {
		return t.allMembers(func(_ *kqvirtual.Node, member *kqmember.Member) bool {
			return member.Status == kqmember.StatusAlive || t.fleet.Nodes[member.Record.NodeID] == nil
		})
	})
	return split, heal
}

// allMembers reports whether a condition holds for every running member in the
// view of every node.
func (t *trial) allMembers(holds func(n *kqvirtual.Node, member *kqmember.Member) bool) bool {
	for _, n := range t.fleet.Nodes {
		for _, member := range n.View.Members() {
			if t.fleet.Nodes[member.Record.NodeID] != nil && !holds(n, member) {
				return false
			}
		}
	}
	return true
}

// measureLostDomain stops all nodes of a failure domain at once.
func (t *trial) measureLostDomain() Event {
	domain := recordOf(0).FailureDomain
	for id, n := range t.fleet.Nodes {
		if n.Record.FailureDomain == domain {
			t.fleet.Stop(id)
		}
	}
	return t.measureUntil(func() bool {
		for _, n := range t.fleet.Nodes {
			for _, member := range n.View.Members() {
				if member.Record.FailureDomain == domain && member.Status < kqmember.StatusRemoved {
					return false
				}
			}
		}
		return true
	})
}
