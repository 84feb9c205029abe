package kqmesh

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
)

// versionPatience is how long a node that heard of newer routes waits for the
// store to tell it, before it asks the peer.
const versionPatience = 400 * time.Millisecond

// message is what nodes tell each other beside calls.
type message struct {
	_ struct{} `cbor:",toarray"`
	// WantRoutes asks for the routes that the peer holds.
	WantRoutes bool
	// RoutesText is what the platform wrote, as an answer.
	RoutesText []byte
}

// noticeVersion takes in which routes a peer holds. When they stay newer than
// the own ones, the peer is asked for them.
func (n *Node) noticeVersion(peer string, version int64) {
	if version <= n.routesVersion() || !n.asking.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(versionPatience, func() {
		defer n.asking.Store(false)
		if version <= n.routesVersion() {
			return
		}
		payload, err := cbor.Marshal(message{WantRoutes: true})
		if err != nil {
			n.log.Event(zerolog.ErrorLevel, "question for routes can't be written", err)
			return
		}
		n.log.Event(zerolog.InfoLevel, "routes of a peer are newer: asking "+peer, nil)
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
	var m message
	if err := cbor.Unmarshal(payload, &m); err != nil {
		n.log.Event(zerolog.WarnLevel, "message of peer "+peer+" can't be read", err)
		return
	}
	if len(m.RoutesText) > 0 {
		n.offerRoutes(m.RoutesText, "peer "+peer)
	}
	if m.WantRoutes {
		n.tellRoutes(reply)
	}
}

func (n *Node) tellRoutes(reply func([]byte)) {
	s := n.State()
	if s.Routes == nil {
		return
	}
	payload, err := cbor.Marshal(message{RoutesText: s.RoutesText})
	if err != nil {
		n.log.Event(zerolog.ErrorLevel, "routes can't be written for a peer", err)
		return
	}
	reply(payload)
}
