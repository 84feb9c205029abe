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

// Times of news.
const (
	// watchTick is how often the node looks whether it is to watch the store;
	// it adds to the time in which a watcher is replaced.
	watchTick = 200 * time.Millisecond
	// requestInterval is how long the answer to a question for routes or nodes may
	// take before a watcher is asked again.
	requestInterval = 800 * time.Millisecond
	// digestGrace is how long a watcher's list of nodes may differ from the
	// own one before it is asked for: what it told may still be on its way, or
	// the other watcher may know more.
	digestGrace = 2 * kqwatch.UpdatePeriod
)

// storeUpdate is what a node that watches the store tells the others of its failure
// domain.
type storeUpdate struct {
	_             struct{} `cbor:",toarray"`
	NodeID        string
	RoutesVersion int64
	// HostsDigest is that of all nodes that the watcher knows.
	HostsDigest uint64
	// Hosts are the records that changed since the last news, and Removed the
	// nodes whose records are no longer there.
	Hosts   []HostRecord
	Removed []string
}

// digestHosts gives the same number for the same records, in whatever order.
func digestHosts(hosts map[string]HostRecord) uint64 {
	sum := uint64(0)
	for _, h := range hosts {
		sum += xxhash.Sum64String(fmt.Sprintf("%s %d %d %s %s", h.NodeID, h.Incarnation, h.Change, h.Life, h.Address))
	}
	return sum
}

// storeWatched is whether the store is followed at the moment.
func (n *Node) storeWatched() bool {
	return n.routesWatched.Load() && n.hostsWatched.Load()
}

// publishUpdates sends news to the nodes of the own failure domain while this node
// watches the store.
func (n *Node) publishUpdates(ctx context.Context) {
	var told *State
	for ctx.Err() == nil {
		changed := n.control.changed()
		s := n.State()
		if !s.Watching || !n.storeWatched() {
			told = nil
			waitForChange(ctx, changed, watchTick)
			continue
		}
		if n.sendUpdate(told, s) {
			told = s
		}
		waitForUpdate(ctx, n, s)
	}
}

// waitForChange waits until the channel is closed, the time is over or ctx ends.
func waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// waitForUpdate waits until there is something to tell, or the period of news
// is over.
func waitForUpdate(ctx context.Context, n *Node, told *State) {
	waiting, cancel := context.WithTimeout(ctx, kqwatch.UpdatePeriod)
	defer cancel()
	// The end of the period is no failure.
	_ = n.WaitFor(waiting, func(s *State) bool {
		return s.Routes != told.Routes || s.HostsDigest != told.HostsDigest || !s.Watching
	})
}

// sendUpdate sends news of what changed since the state that was told last, and
// says whether it could be written.
func (n *Node) sendUpdate(told, s *State) bool {
	m := storeUpdate{NodeID: n.settings.NodeID, RoutesVersion: n.routesVersion(), HostsDigest: s.HostsDigest}
	if told != nil && told.HostsDigest != s.HostsDigest {
		for name, h := range s.Hosts {
			if told.Hosts[name] != h {
				m.Hosts = append(m.Hosts, h)
			}
		}
		for name := range told.Hosts {
			if _, held := s.Hosts[name]; !held {
				m.Removed = append(m.Removed, name)
			}
		}
	}
	payload, err := cbor.Marshal(m)
	if err != nil {
		n.logEvent(eventMessageNotWritten, "news can't be written", err)
		return false
	}
	for name, h := range s.Hosts {
		if h.FailureDomain != n.settings.FailureDomain || name == n.settings.NodeID {
			continue
		}
		// A peer that is not connected, or reads nothing, watches by itself.
		if err := n.pool.Submit(func() { _ = n.dialer.Announce(h.Address, payload) }); err != nil {
			return false
		}
	}
	return true
}

// handleUpdate takes news of a peer.
func (n *Node) handleUpdate(peer string, payload []byte, reply func([]byte)) {
	var m storeUpdate
	if err := cbor.Unmarshal(payload, &m); err != nil {
		n.logEvent(eventPeerUnreadable, "news of peer "+peer+" can't be read", err, kqlog.Text(fieldPeer, peer))
		return
	}
	n.control.send(updateEvent{update: m, peer: peer, reply: reply})
}

// updateEvent is news that a watcher told.
type updateEvent struct {
	update storeUpdate
	peer   string
	reply  func([]byte)
}

func (e updateEvent) apply(c *control) bool {
	now := c.node.clock()
	c.watch.RecordUpdate(now, e.update.NodeID)
	if c.node.storeWatched() {
		// It learns as much from the store itself.
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
	ask := peerMessage{
		WantRoutes: c.state.Routes == nil && e.update.RoutesVersion > 0 || c.state.Routes != nil && e.update.RoutesVersion > c.state.Routes.Document().Version,
		WantHosts:  differs && (now-since >= digestGrace || !c.state.HostsKnown),
	}
	if (ask.WantRoutes || ask.WantHosts) && now-c.lastRequest >= requestInterval {
		c.lastRequest = now
		c.requestFrom(e, ask)
	}
	return changed
}

// requestFrom asks a watcher for what it holds.
func (c *control) requestFrom(e updateEvent, ask peerMessage) {
	n := c.node
	payload, err := cbor.Marshal(ask)
	if err == nil {
		err = n.pool.Submit(func() { e.reply(payload) })
	}
	n.logEvent(eventWatcherAsked, fmt.Sprintf("watcher %s is asked: for routes of version %d, behind %d: %t; for its nodes: %t", e.update.NodeID, e.update.RoutesVersion, n.routesVersion(), ask.WantRoutes, ask.WantHosts), err,
		kqlog.Text(fieldHost, e.update.NodeID), kqlog.Number(fieldRoutes, e.update.RoutesVersion), kqlog.Number(fieldFormer, n.routesVersion()))
}

// mergeUpdate takes over the records that changed, and says whether any did here.
func (c *control) mergeUpdate(m storeUpdate) bool {
	hosts := maps.Clone(c.state.Hosts)
	for _, h := range m.Hosts {
		held, found := hosts[h.NodeID]
		if h.NodeID == "" || h.Address == "" || found && !h.replaces(held) {
			continue
		}
		hosts[h.NodeID] = h
		c.logHost(held, h)
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

// advanceWatch lets the part of the node in watching the store follow time,
// and says whether it has changed.
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

// watchCandidates lists the nodes that can watch the store for the own failure
// domain.
func (c *control) watchCandidates() []string {
	var names []string
	for name, h := range c.state.Hosts {
		if h.FailureDomain == c.node.settings.FailureDomain && h.Life != kqmember.LifeDraining && h.Life != kqmember.LifeGone {
			names = append(names, name)
		}
	}
	return names
}
