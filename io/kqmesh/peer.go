package kqmesh

import (
	"fmt"
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"

	"kumquatlink/io/kqlog"
)

// peerRequestDelay is how long a node that observed newer routes at a peer waits
// to get them from the store or a watcher, before it requests them from the
// peer.
const peerRequestDelay = 400 * time.Millisecond

// peerMessage is a message between nodes that is not a call: a request for
// routes or nodes, or the answer to one.
type peerMessage struct {
	_ struct{} `cbor:",toarray"`
	// WantRoutes requests the routes that the peer has, and WantHosts its list
	// of nodes.
	WantRoutes bool
	WantHosts  bool
	// RoutesText holds the routes as the platform wrote them, and Hosts the
	// nodes. Both are set in answers only.
	RoutesText []byte
	Hosts      []HostRecord
}

// observePeerVersion records the version of the routes that a peer has. If it is
// still newer than the own one after peerRequestDelay, the routes are requested
// from the peer. A node that has not read the list of nodes since its start
// requests that too. One request waits or is sent at a time.
func (n *Node) observePeerVersion(peer string, version int64) {
	if version <= n.routesVersion() && n.State().HostsKnown || !n.peerRequestPending.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(peerRequestDelay, func() {
		defer n.peerRequestPending.Store(false)
		wantHosts := !n.State().HostsKnown
		if version <= n.routesVersion() && !wantHosts {
			return
		}
		payload, err := cbor.Marshal(peerMessage{WantRoutes: version > n.routesVersion(), WantHosts: wantHosts})
		if err != nil {
			n.logEvent(eventMessageNotWritten, "request for routes can't be encoded: it is not sent", err)
			return
		}
		n.logEvent(eventPeerAsked, fmt.Sprintf("request to peer %s: it has routes of version %d, this node of version %d; its list of nodes: %t", peer, version, n.routesVersion(), wantHosts), nil,
			kqlog.Text(fieldPeer, peer), kqlog.Number(fieldRoutes, version), kqlog.Number(fieldFormer, n.routesVersion()))
		if err := n.dialer.SendMessage(peer, payload); err != nil {
			n.server.SendMessage(peer, payload)
		}
	})
}

// routesVersion returns the version of the routes in force, or 0.
func (n *Node) routesVersion() int64 {
	if s := n.State(); s.Routes != nil {
		return s.Routes.Document().Version
	}
	return 0
}

// handleMessage handles a message of a peer.
func (n *Node) handleMessage(peer string, payload []byte, reply func([]byte)) {
	var m peerMessage
	if err := cbor.Unmarshal(payload, &m); err != nil {
		n.logEvent(eventPeerUnreadable, "message of peer "+peer+" can't be decoded: it is ignored", err, kqlog.Text(fieldPeer, peer))
		return
	}
	if len(m.RoutesText) > 0 {
		n.offerRoutes(m.RoutesText, "peer "+peer)
	}
	if len(m.Hosts) > 0 {
		n.control.send(peerHostsEvent{hosts: m.Hosts, from: peer})
	}
	if m.WantRoutes || m.WantHosts {
		n.answerPeer(m, reply)
	}
}

// answerPeer sends the routes and nodes that a peer requested, as far as this
// node has them.
func (n *Node) answerPeer(requested peerMessage, reply func([]byte)) {
	s := n.State()
	var m peerMessage
	if requested.WantRoutes && s.Routes != nil {
		m.RoutesText = s.RoutesText
	}
	if requested.WantHosts && s.HostsKnown {
		for _, h := range s.Hosts {
			m.Hosts = append(m.Hosts, h)
		}
	}
	payload, err := cbor.Marshal(m)
	if err != nil {
		n.logEvent(eventMessageNotWritten, "answer to a peer can't be encoded: it is not sent", err)
		return
	}
	reply(payload)
}

// peerHostsEvent is the event that a peer sent its list of nodes.
type peerHostsEvent struct {
	hosts []HostRecord
	from  string
}

// apply merges the list if this node has none from the store yet. If it has one,
// and does not watch the store, it requested the list from a watcher, and the
// watcher's list replaces its own. A node that watches the store ignores it.
func (e peerHostsEvent) apply(c *control) bool {
	if c.state.HostsKnown {
		if c.node.storeWatched() {
			return false
		}
		all := map[string]storedRecord{}
		for _, h := range e.hosts {
			all[h.NodeID] = storedRecord{HostRecord: h}
		}
		return hostsEvent{all: all}.apply(c)
	}
	all := maps.Clone(c.state.Hosts)
	for _, h := range e.hosts {
		if h.NodeID == c.node.settings.NodeID {
			c.restoreServerState(h)
		}
		if current, found := all[h.NodeID]; h.NodeID != c.node.settings.NodeID && (!found || current.Incarnation <= h.Incarnation) {
			all[h.NodeID] = h
		}
	}
	c.node.logEvent(eventPeerTold, fmt.Sprintf("peer %s sent its list of %d nodes, before the store was read", e.from, len(e.hosts)), nil, kqlog.Text(fieldPeer, e.from), kqlog.Number(fieldHosts, int64(len(e.hosts))))
	c.state.Hosts, c.state.HostsKnown = all, true
	c.rebuildUpstreams()
	return true
}
