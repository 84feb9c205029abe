package kqmesh

import (
	"context"
	"fmt"
	"time"

	"kumquatlink/core/kqmember"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqtrunk"
)

// Settings of announcements, by which nodes learn of new routes whose own watchers
// do not hear from the store. See docs/design/watching.md.
const (
	// announcedPerDomain is how many nodes of each other failure domain a watcher
	// tells, so that some of them may be down.
	announcedPerDomain = 3
	announceTimeout    = time.Second
)

// announceRoutes announces routes that have just come into force. A node that read
// them in the store tells some nodes of each other failure domain. A node that has
// them from elsewhere before a watcher of its own failure domain tells that domain.
func (c *control) announceRoutes(version int64, fromStore bool) {
	if !fromStore && version <= c.updatedVersion {
		return
	}
	targets := c.announceTargets(fromStore)
	n := c.node
	for _, address := range targets {
		if err := n.pool.Submit(func() { n.announceTo(address, version) }); err != nil {
			n.logEvent(eventNotAnnounced, "routes are not announced to "+address, err, kqlog.Text(fieldPeer, address), kqlog.Number(fieldRoutes, version))
		}
	}
	n.logEvent(eventRoutesAnnounced, fmt.Sprintf("routes of version %d are announced to %d nodes", version, len(targets)), nil, kqlog.Number(fieldRoutes, version), kqlog.Number(fieldHosts, int64(len(targets))))
}

// announceTargets returns the addresses of the nodes to tell: a few of each other
// failure domain, or all of the own one.
func (c *control) announceTargets(others bool) []string {
	domains := map[string][]string{}
	for name, h := range c.state.Hosts {
		if isOther := h.FailureDomain != c.node.settings.FailureDomain; isOther == others && name != c.node.settings.NodeID && h.Life != kqmember.LifeGone {
			domains[h.FailureDomain] = append(domains[h.FailureDomain], h.Address)
		}
	}
	var targets []string
	for _, addresses := range domains {
		if others {
			shuffle(addresses, c.node.random)
			addresses = addresses[:min(announcedPerDomain, len(addresses))]
		}
		targets = append(targets, addresses...)
	}
	return targets
}

// shuffle puts the values into a random order.
func shuffle[T any](values []T, random func() uint64) {
	for i := len(values) - 1; i > 0; i-- {
		j := random() % uint64(i+1)
		values[i], values[j] = values[j], values[i]
	}
}

// announceTo sends a request for the load of a gate, which states the version of the
// routes like each call. The peer requests the routes if it does not get them before.
func (n *Node) announceTo(address string, version int64) {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	head := kqtrunk.CallHead{Service: n.settings.Service, Budget: announceTimeout, AskLoad: true, RoutesVersion: version}
	answer, err := n.dialer.Call(ctx, address, head, nil)
	if err != nil {
		n.logEvent(eventNotAnnounced, "routes are not announced to "+address, err, kqlog.Text(fieldPeer, address), kqlog.Number(fieldRoutes, version))
		return
	}
	answer.Head.Discard()
}
