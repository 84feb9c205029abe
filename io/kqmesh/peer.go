package kqmesh

import (
	"fmt"
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"

	"kumquatlink/io/kqlog"
)

// peerRequestDelay is how long a node that heard of newer routes waits for the
// store to tell it, before it asks the peer.
const peerRequestDelay = 400 * time.Millisecond

// peerMessage is what nodes tell each other beside calls.
type peerMessage struct {
	_ struct{} `cbor:",toarray"`
	// WantRoutes asks for the routes that the peer holds, and WantHosts for the
	// nodes that it knows.
	WantRoutes bool
	WantHosts  bool
	// RoutesText is what the platform wrote, and Hosts are the nodes, as an
	// answer.
	RoutesText []byte
	Hosts      []HostRecord
}

// observePeerVersion takes in which routes a peer holds. When they stay newer than
// the own ones, the peer is asked for them; and a node that has not reached the
// store since its start asks for the other nodes as well.
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
			n.logEvent(eventMessageNotWritten, "question for routes can't be written", err)
			return
		}
		n.logEvent(eventPeerAsked, fmt.Sprintf("peer %s holds routes of version %d, this node %d: asking it, for hosts too: %t", peer, version, n.routesVersion(), wantHosts), nil,
			kqlog.Text(fieldPeer, peer), kqlog.Number(fieldRoutes, version), kqlog.Number(fieldFormer, n.routesVersion()))
		if err := n.dialer.Tell(peer, payload); err != nil {
			n.server.TellOne(peer, payload)
		}
	})
}

func (n *Node) routesVersion() int64 {
	if s := n.State(); s.Routes != nil {
		return s.Routes.Document().Version
	}
	return 0
}

// handleMessage takes what a peer tells.
func (n *Node) handleMessage(peer string, payload []byte, reply func([]byte)) {
	var m peerMessage
	if err := cbor.Unmarshal(payload, &m); err != nil {
		n.logEvent(eventPeerUnreadable, "message of peer "+peer+" can't be read", err, kqlog.Text(fieldPeer, peer))
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

// answerPeer answers what a peer asked for.
func (n *Node) answerPeer(asked peerMessage, reply func([]byte)) {
	s := n.State()
	var m peerMessage
	if asked.WantRoutes && s.Routes != nil {
		m.RoutesText = s.RoutesText
	}
	if asked.WantHosts && s.HostsKnown {
		for _, h := range s.Hosts {
			m.Hosts = append(m.Hosts, h)
		}
	}
	payload, err := cbor.Marshal(m)
	if err != nil {
		n.logEvent(eventMessageNotWritten, "answer to a peer can't be written", err)
		return
	}
	reply(payload)
}

// peerHostsEvent is the list of nodes as a peer knows it.
type peerHostsEvent struct {
	hosts []HostRecord
	from  string
}

// apply takes over the list. A node that has read the store, and does not watch
// it at the moment, has asked one that does and takes its list in place of its
// own.
func (e peerHostsEvent) apply(c *control) bool {
	if c.state.HostsKnown {
		if c.node.storeWatched() {
			return false
		}
		all := map[string]HostRecord{}
		for _, h := range e.hosts {
			all[h.NodeID] = h
		}
		return hostsEvent{all: all}.apply(c)
	}
	all := maps.Clone(c.state.Hosts)
	for _, h := range e.hosts {
		if held, found := all[h.NodeID]; h.NodeID != c.node.settings.NodeID && (!found || held.Incarnation <= h.Incarnation) {
			all[h.NodeID] = h
		}
	}
	c.node.logEvent(eventPeerTold, fmt.Sprintf("peer %s told of %d nodes", e.from, len(e.hosts)), nil, kqlog.Text(fieldPeer, e.from), kqlog.Number("Hosts", int64(len(e.hosts))))
	c.state.Hosts, c.state.HostsKnown = all, true
	c.rebuildUpstreams()
	return true
}
