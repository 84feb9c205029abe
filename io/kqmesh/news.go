package kqmesh

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqwatch"
	"kumquatlink/io/kqlog"
)

// Times of the updates that watchers send.
const (
	// watchTick is how often the node checks whether it has to watch the store.
	// It adds to the time that passes until a lost watcher is replaced.
	watchTick = 200 * time.Millisecond
	// requestInterval is how long the answer to a request for routes or nodes
	// may take before a watcher is asked again.
	requestInterval = 800 * time.Millisecond
	// digestGrace is how long the digest of a watcher's list of nodes may differ
	// from the own one before the list is requested. Until then its updates may
	// still be on their way, or the other watcher may know more.
	digestGrace = 2 * kqwatch.UpdatePeriod
)

// endOfUpdates takes the place of a version in the last update of a node that no
// longer watches the store. It is older than any version.
const endOfUpdates = -1

// storeUpdate is the message with which a node that watches the store (a
// watcher) reports changes to the other nodes of its failure domain. It is also
// sent once per period if nothing has changed, as a heartbeat.
type storeUpdate struct {
	_      struct{} `cbor:",toarray"`
	NodeID string
	// RoutesVersion is the version of the watcher's routes, or endOfUpdates.
	RoutesVersion int64
	// HostsDigest is the digest of all records that the watcher knows.
	HostsDigest uint64
	// Hosts holds the records that changed since the last update, and Removed
	// the IDs of the nodes whose records were deleted from the store.
	Hosts   []HostRecord
	Removed []string
}

// digestHosts returns a digest of records that does not depend on their order.
func digestHosts(hosts map[string]HostRecord) uint64 {
	sum := uint64(0)
	for _, h := range hosts {
		sum += xxhash.Sum64String(fmt.Sprintf("%s %d %d %s %s", h.NodeID, h.Incarnation, h.Change, h.Life, h.Address))
	}
	return sum
}

// evidence returns why this node takes what it knows for what the store holds.
func (n *Node) evidence() kqwatch.Evidence {
	e := kqwatch.Evidence{RoutesWatched: n.routesWatched.Load(), HostsWatched: n.hostsWatched.Load()}
	if n.store.HeardAt != nil {
		e.Age = n.now().Sub(n.store.HeardAt())
	}
	return e
}

// storeWatched reports whether this node knows from the store itself what that holds,
// and may tell others.
func (n *Node) storeWatched() bool {
	return n.evidence().IsSufficient()
}

// routesAreCurrent reports whether the node has heard lately, from the store or from a
// watcher, that no newer routes exist.
func (n *Node) routesAreCurrent() bool {
	at := time.Duration(n.routesConfirmed.Load())
	return n.storeWatched() || at > 0 && n.clock()-at <= kqwatch.UpdateTimeout
}

// publishUpdates sends updates to the nodes of the own failure domain while this
// node watches the store.
func (n *Node) publishUpdates(ctx context.Context) {
	var sent *State
	wasSource := false
	for ctx.Err() == nil {
		changed := n.control.changed()
		s, e := n.State(), n.evidence()
		isSource := s.Watching && e.IsSufficient()
		if isSource != wasSource {
			wasSource = isSource
			n.logEvent(eventUpdates, fmt.Sprintf("node tells its failure domain what the store holds: %t; the store was heard %s ago", isSource, e.Age.Round(time.Millisecond)), nil,
				kqlog.Text(fieldState, fmt.Sprint(isSource)), kqlog.Micros(fieldTook, e.Age))
		}
		if !isSource {
			if sent != nil {
				n.sendUpdateToDomain(s, storeUpdate{NodeID: n.settings.NodeID, RoutesVersion: endOfUpdates, HostsDigest: s.HostsDigest})
			}
			sent = nil
			waitForChange(ctx, changed, watchTick)
			continue
		}
		if n.sendUpdate(sent, s) {
			sent = s
		}
		waitForUpdate(ctx, n, s, min(kqwatch.UpdatePeriod, e.Remaining()+time.Millisecond))
	}
}

// waitForChange waits until the channel is closed, the time has passed or ctx
// ends.
func waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// waitForUpdate waits until the state differs from the one that was sent, the
// node no longer has to watch, or the time until the next update has passed.
func waitForUpdate(ctx context.Context, n *Node, sent *State, d time.Duration) {
	waiting, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	// An error means that the period has ended, or ctx.
	_ = n.WaitFor(waiting, func(s *State) bool {
		return s.Routes != sent.Routes || s.HostsDigest != sent.HostsDigest || !s.Watching
	})
}

// sendUpdate sends what changed between two states, and reports whether it was
// handed to the pool for every peer. If sent is nil, this watcher has sent nothing
// yet: its first update carries no records, and peers that lack some request
// them.
func (n *Node) sendUpdate(sent, s *State) bool {
	m := storeUpdate{NodeID: n.settings.NodeID, RoutesVersion: n.routesVersion(), HostsDigest: s.HostsDigest}
	if sent != nil && sent.HostsDigest != s.HostsDigest {
		for name, h := range s.Hosts {
			if sent.Hosts[name] != h {
				m.Hosts = append(m.Hosts, h)
			}
		}
		for name := range sent.Hosts {
			if _, listed := s.Hosts[name]; !listed {
				m.Removed = append(m.Removed, name)
			}
		}
	}
	return n.sendUpdateToDomain(s, m)
}

// sendUpdateToDomain sends an update to the other nodes of the failure domain, and
// reports whether it was handed to the pool for every one.
func (n *Node) sendUpdateToDomain(s *State, m storeUpdate) bool {
	payload, err := cbor.Marshal(m)
	if err != nil {
		n.logEvent(eventMessageNotWritten, "update for the failure domain can't be encoded: it is not sent", err)
		return false
	}
	for name, h := range s.Hosts {
		if h.FailureDomain != n.settings.FailureDomain || name == n.settings.NodeID {
			continue
		}
		// Without this a peer that could not be dialed when its record changed would
		// get no updates until its next change.
		if h.Life != kqmember.LifeGone {
			n.dialer.Warm(h.Address)
		}
		// A peer that is not connected, or does not read, gets no updates and
		// starts to watch the store itself.
		if err := n.pool.Submit(func() { _ = n.dialer.SendUpdate(h.Address, payload) }); err != nil {
			return false
		}
	}
	return true
}

// handleUpdate handles an update that a peer sent.
func (n *Node) handleUpdate(peer string, payload []byte, reply func([]byte)) {
	var m storeUpdate
	if err := cbor.Unmarshal(payload, &m); err != nil {
		n.logEvent(eventPeerUnreadable, "update of peer "+peer+" can't be decoded: it is ignored", err, kqlog.Text(fieldPeer, peer))
		return
	}
	n.control.send(updateEvent{update: m, peer: peer, reply: reply})
}

// updateEvent is the event that an update of a watcher was received. Reply
// sends a message back to it.
type updateEvent struct {
	update storeUpdate
	peer   string
	reply  func([]byte)
}

// apply merges the update, unless this node watches the store itself. It then
// requests routes from the watcher if those are newer, and nodes if its digest
// has differed for digestGrace or this node has no list of nodes yet.
func (e updateEvent) apply(c *control) bool {
	now := c.node.clock()
	if e.update.RoutesVersion == endOfUpdates {
		c.watch.RecordEnd(e.update.NodeID)
		return c.advanceWatch(now)
	}
	c.watch.RecordUpdate(now, e.update.NodeID)
	c.updatedVersion = max(c.updatedVersion, e.update.RoutesVersion)
	if e.update.RoutesVersion <= c.node.routesVersion() {
		c.node.routesConfirmed.Store(int64(now))
	}
	if c.node.storeWatched() {
		// The store itself reports the same changes to this node.
		return c.advanceWatch(now)
	}
	changed := c.mergeUpdate(e.update)
	changed = c.advanceWatch(now) || changed
	if e.update.HostsDigest == c.state.HostsDigest {
		delete(c.divergedSince, e.update.NodeID)
	} else if _, found := c.divergedSince[e.update.NodeID]; !found {
		c.divergedSince[e.update.NodeID] = now
	}
	since, differs := c.divergedSince[e.update.NodeID]
	request := peerMessage{
		WantRoutes: c.state.Routes == nil && e.update.RoutesVersion > 0 || c.state.Routes != nil && e.update.RoutesVersion > c.state.Routes.Document().Version,
		WantHosts:  differs && (now-since >= digestGrace || !c.state.HostsKnown),
	}
	if (request.WantRoutes || request.WantHosts) && now-c.lastRequest >= requestInterval {
		c.lastRequest = now
		c.requestFrom(e, request)
	}
	return changed
}

// requestFrom requests routes or nodes from the watcher that sent the update.
func (c *control) requestFrom(e updateEvent, request peerMessage) {
	n := c.node
	payload, err := cbor.Marshal(request)
	if err == nil {
		err = n.pool.Submit(func() { e.reply(payload) })
	}
	n.logEvent(eventWatcherAsked, fmt.Sprintf("request to watcher %s: routes of version %d (own version is %d): %t; its list of nodes: %t", e.update.NodeID, e.update.RoutesVersion, n.routesVersion(), request.WantRoutes, request.WantHosts), err,
		kqlog.Text(fieldHost, e.update.NodeID), kqlog.Number(fieldRoutes, e.update.RoutesVersion), kqlog.Number(fieldFormer, n.routesVersion()))
}

// mergeUpdate merges the records of an update into the state and reports whether
// to publish the state.
func (c *control) mergeUpdate(m storeUpdate) bool {
	hosts := maps.Clone(c.state.Hosts)
	for _, h := range m.Hosts {
		current, found := hosts[h.NodeID]
		if h.NodeID == "" || h.Address == "" || found && !h.replaces(current) {
			continue
		}
		hosts[h.NodeID] = h
		c.logHost(current, h)
		if version, behind := c.storedBefore(h.NodeID, h); behind && c.isWatched() {
			c.setBehind(h.NodeID, version, true)
		}
	}
	for _, name := range m.Removed {
		if _, found := hosts[name]; found && name != c.node.settings.NodeID {
			delete(hosts, name)
			c.node.logEvent(eventHostRemoved, "record of node "+name+" was removed", nil, kqlog.Text(fieldHost, name))
		}
		if name == c.node.settings.NodeID {
			c.markRemoved(name, true)
		}
	}
	if maps.Equal(hosts, c.state.Hosts) {
		return len(m.Removed) > 0
	}
	c.state.Hosts = hosts
	c.rebuildUpstreams()
	return true
}

// advanceWatch recomputes whether this node has to watch the store at the given
// time, and reports whether that changed.
func (c *control) advanceWatch(now time.Duration) bool {
	watching, starting := c.watch.Advance(now), c.watch.Starting(now)
	if watching == c.state.Watching && starting == c.state.Starting {
		return false
	}
	if watching != c.state.Watching {
		c.node.logEvent(eventWatching, fmt.Sprintf("node watches the store: %t", watching), nil, kqlog.Text(fieldState, fmt.Sprint(watching)))
	}
	c.state.Watching, c.state.Starting = watching, starting
	return true
}

// watchCandidates lists the nodes that may watch the store for the own failure
// domain: all that are not draining or gone.
func (c *control) watchCandidates() []string {
	var names []string
	for name, h := range c.state.Hosts {
		if h.FailureDomain == c.node.settings.FailureDomain && h.Life != kqmember.LifeDraining && h.Life != kqmember.LifeGone {
			names = append(names, name)
		}
	}
	return names
}
