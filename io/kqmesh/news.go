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
	// askAgain is how long the answer to a question for routes or nodes may
	// take before a watcher is asked again.
	askAgain = 800 * time.Millisecond
	// differsTime is how long a watcher's list of nodes may differ from the
	// own one before it is asked for: what it told may still be on its way, or
	// the other watcher may know more.
	differsTime = 2 * kqwatch.UpdatePeriod
)

// news is what a node that watches the store tells the others of its failure
// domain.
type news struct {
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

// digestOf gives the same number for the same records, in whatever order.
func digestOf(hosts map[string]HostRecord) uint64 {
	sum := uint64(0)
	for _, h := range hosts {
		sum += xxhash.Sum64String(fmt.Sprintf("%s %d %d %s %s", h.NodeID, h.Incarnation, h.Change, h.Life, h.Address))
	}
	return sum
}

// contact is whether the store is followed at the moment.
func (n *Node) contact() bool {
	return n.routesWatched.Load() && n.hostsWatched.Load()
}

// tellNews sends news to the nodes of the own failure domain while this node
// watches the store.
func (n *Node) tellNews(ctx context.Context) {
	var told *State
	for ctx.Err() == nil {
		changed := n.control.changed()
		s := n.State()
		if !s.Watching || !n.contact() {
			told = nil
			pause(ctx, changed, watchTick)
			continue
		}
		if n.announce(told, s) {
			told = s
		}
		pauseUntilNews(ctx, n, s)
	}
}

// pause waits until the channel is closed, the time is over or ctx ends.
func pause(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// pauseUntilNews waits until there is something to tell, or the period of news
// is over.
func pauseUntilNews(ctx context.Context, n *Node, told *State) {
	waiting, cancel := context.WithTimeout(ctx, kqwatch.UpdatePeriod)
	defer cancel()
	// The end of the period is no failure.
	_ = n.WaitFor(waiting, func(s *State) bool {
		return s.Routes != told.Routes || s.HostsDigest != told.HostsDigest || !s.Watching
	})
}

// announce sends news of what changed since the state that was told last, and
// says whether it could be written.
func (n *Node) announce(told, s *State) bool {
	m := news{NodeID: n.settings.NodeID, RoutesVersion: n.routesVersion(), HostsDigest: s.HostsDigest}
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

// handleNews takes news of a peer.
func (n *Node) handleNews(peer string, payload []byte, reply func([]byte)) {
	var m news
	if err := cbor.Unmarshal(payload, &m); err != nil {
		n.logEvent(eventPeerUnreadable, "news of peer "+peer+" can't be read", err, kqlog.Text(fieldPeer, peer))
		return
	}
	n.control.send(newsEvent{news: m, peer: peer, reply: reply})
}

// newsEvent is news that a watcher told.
type newsEvent struct {
	news  news
	peer  string
	reply func([]byte)
}

func (e newsEvent) apply(c *control) bool {
	now := c.node.clock()
	c.watch.RecordUpdate(now, e.news.NodeID)
	if c.node.contact() {
		// It learns as much from the store itself.
		return c.advanceWatch(now)
	}
	changed := c.merge(e.news)
	changed = c.advanceWatch(now) || changed
	if e.news.HostsDigest == c.state.HostsDigest {
		delete(c.divergedSince, e.news.NodeID)
	} else if _, found := c.divergedSince[e.news.NodeID]; !found {
		c.divergedSince[e.news.NodeID] = now
	}
	since, differs := c.divergedSince[e.news.NodeID]
	ask := message{
		WantRoutes: c.state.Routes == nil && e.news.RoutesVersion > 0 || c.state.Routes != nil && e.news.RoutesVersion > c.state.Routes.Document().Version,
		WantHosts:  differs && (now-since >= differsTime || !c.state.HostsKnown),
	}
	if (ask.WantRoutes || ask.WantHosts) && now-c.lastRequest >= askAgain {
		c.lastRequest = now
		c.ask(e, ask)
	}
	return changed
}

// ask asks a watcher for what it holds.
func (c *control) ask(e newsEvent, ask message) {
	n := c.node
	payload, err := cbor.Marshal(ask)
	if err == nil {
		err = n.pool.Submit(func() { e.reply(payload) })
	}
	n.logEvent(eventWatcherAsked, fmt.Sprintf("watcher %s is asked: for routes of version %d, behind %d: %t; for its nodes: %t", e.news.NodeID, e.news.RoutesVersion, n.routesVersion(), ask.WantRoutes, ask.WantHosts), err,
		kqlog.Text(fieldHost, e.news.NodeID), kqlog.Number(fieldRoutes, e.news.RoutesVersion), kqlog.Number(fieldFormer, n.routesVersion()))
}

// merge takes over the records that changed, and says whether any did here.
func (c *control) merge(m news) bool {
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

// domainNames lists the nodes that can watch the store for the own failure
// domain.
func (c *control) domainNames() []string {
	var names []string
	for name, h := range c.state.Hosts {
		if h.FailureDomain == c.node.settings.FailureDomain && h.Life != kqmember.LifeDraining && h.Life != kqmember.LifeGone {
			names = append(names, name)
		}
	}
	return names
}
