package kqnode

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"

	"kumquatlink/core/kqchart"
	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqspread"
	"kumquatlink/io/kqhttp"
	"kumquatlink/io/kqwire"
)

// Times of the lifecycles of a node and its backend server.
const (
	// warmPeriod is how long a backend server that became ready counts as cold
	// and its node stays in the state Warming.
	warmPeriod = 10 * time.Second
	// warmShare is the share of a service's upstreams that must be serving for
	// another one to stay in the state Warming.
	warmShare = 0.8
	// announcePeriod is how long the node waits for an announcement of its
	// backend server before it probes whether that server accepts connections.
	// It is also the time between two probes.
	announcePeriod = 5 * time.Second
	// goneTimeout limits how long a node that ends waits for its neighbours to
	// acknowledge its final state. Neighbours that have ended too never do.
	goneTimeout = 250 * time.Millisecond
	// probeTimeout limits a probe of the backend server.
	probeTimeout = time.Second
)

// States of the backend server's state chart.
const (
	backendReady   = "Ready"
	backendLeaving = "Leaving"
)

// lifecycles holds the state machines of a node and of its backend server.
type lifecycles struct {
	node    *kqchart.Machine
	backend *kqchart.Machine
	// lastContactAt is when the backend server last announced itself, or when
	// the last probe of it began.
	lastContactAt time.Duration
	// readyAt is when the node last entered the state Warming.
	readyAt time.Duration
	// shuttingDown reports whether the node itself is being shut down.
	shuttingDown bool
	// supersededLogged reports whether it was logged that a later process with
	// the same node ID has started.
	supersededLogged bool
}

func newLifecycles() lifecycles {
	return lifecycles{
		node:    kqchart.NewMachine(readChart("charts/node.json")),
		backend: kqchart.NewMachine(readChart("charts/backend.json")),
	}
}

// announcementEvent delivers an announcement of the backend server.
type announcementEvent struct {
	backend *Backend
}

func (e announcementEvent) apply(c *control) bool {
	b := e.backend
	now := c.member.advance(c.node.now())
	c.lifecycles.lastContactAt = now
	if b.Announcement.State == kqwire.StateLeaving {
		return tryFire(c.lifecycles.backend, "Depart") && c.fireNode("Leave")
	}
	changed := c.recordBackend(b)
	returned := c.lifecycles.backend.State() != backendReady
	changed = tryFire(c.lifecycles.backend, "Announce") && returned || changed
	if returned && !c.lifecycles.shuttingDown {
		changed = c.fireNode("Return") || changed
	}
	return c.updateLife(now) || changed
}

// recordBackend stores an announcement and advertises its service. It reports
// whether the announcement differs from the last one.
func (c *control) recordBackend(b *Backend) bool {
	if last := c.state.Backend; last != nil && last.Announcement == b.Announcement {
		return false
	}
	b.pool = kqhttp.NewPool(b.Announcement.Address)
	c.state.Backend = b
	c.member.spread.UpdateOwn(func(r *kqmember.Record) { r.Service = b.Announcement.Service })
	return true
}

// updateLife updates the node's state of life from the backend server's state, the
// membership and the time, and probes a backend server that has stopped
// announcing itself. It reports whether the node's state changed.
func (c *control) updateLife(now time.Duration) bool {
	ready := c.lifecycles.backend.State() == backendReady
	changed := false
	switch {
	case c.view.Superseded():
		changed = c.drainSuperseded()
	case !c.member.spread.Confirmed():
		changed = c.fireNode("Woke")
	case !ready && c.lifecycles.backend.State() != backendLeaving:
		changed = c.fireNode("Unready")
	case ready:
		changed = c.warmUp(now)
	}
	if c.lifecycles.backend.State() != c.lifecycles.backend.Initial() && now-c.lifecycles.lastContactAt >= announcePeriod {
		c.lifecycles.lastContactAt = now
		c.probeBackend()
	}
	return changed
}

// warmUp moves a node whose backend server is ready to Warming, and from there to
// Serving after warmPeriod, or at once if too few other upstreams are serving.
func (c *control) warmUp(now time.Duration) bool {
	changed := c.fireNode("Ready")
	if changed {
		c.lifecycles.readyAt = now
	}
	if now-c.lifecycles.readyAt >= warmPeriod || !c.othersServe() {
		changed = c.fireNode("Warm") || changed
	}
	return changed
}

// othersServe reports whether enough other upstreams of the service are serving
// for this one to stay in the state Warming. When a whole service starts at
// once, none of its nodes waits.
func (c *control) othersServe() bool {
	own := c.view.Own()
	serving, all := 0, 1
	for _, r := range c.view.LastSnapshot().Upstreams(own.Service) {
		if r.NodeID == own.NodeID {
			continue
		}
		all++
		if r.Life == kqmember.LifeServing {
			serving++
		}
	}
	return float64(serving) >= warmShare*float64(all)
}

// drainSuperseded drains this node because a later process with the same node ID has
// started.
func (c *control) drainSuperseded() bool {
	if !c.lifecycles.supersededLogged {
		c.lifecycles.supersededLogged = true
		c.node.log.Event(zerolog.ErrorLevel, "a later process with this node ID has started, draining this node", nil)
	}
	return c.fireNode("Leave")
}

// probeBackend probes, off the control goroutine, whether a backend server that
// has stopped announcing itself still accepts connections.
func (c *control) probeBackend() {
	address := c.state.Backend.Announcement.Address
	n := c.node
	if err := n.exchanges.Submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			n.control.send(unreachableEvent{address: address, err: err})
			return
		}
		_ = connection.Close()
	}); err != nil {
		n.log.Event(zerolog.DebugLevel, "backend server was not probed: too many exchanges are in progress", err)
	}
}

// unreachableEvent reports that the backend server at the address has stopped
// announcing itself and accepts no connections.
type unreachableEvent struct {
	address string
	err     error
}

func (e unreachableEvent) apply(c *control) bool {
	if c.state.Backend.Announcement.Address != e.address || !tryFire(c.lifecycles.backend, "Silence") {
		return false
	}
	c.node.log.Event(zerolog.WarnLevel, "backend server sends no announcements and accepts no connection, no calls are sent to it", e.err)
	return c.updateLife(c.member.advance(c.node.now()))
}

// shutdownEvent starts draining the node for its shutdown.
type shutdownEvent struct{}

func (shutdownEvent) apply(c *control) bool {
	c.lifecycles.shuttingDown = true
	return c.fireNode("Leave")
}

// goneEvent moves a drained node to the state Gone and sends that state to its
// neighbours. It closes done when each of them has replied or its exchange has
// failed.
type goneEvent struct {
	done chan struct{}
}

func (e goneEvent) apply(c *control) bool {
	changed := c.fireNode("Empty")
	envelopes := c.member.spread.Tick(c.member.advance(c.node.now()))
	go func() {
		defer close(e.done)
		c.node.exchangeAll(envelopes)
	}()
	return changed
}

// fireNode sends an event to the node's state machine and advertises the new state.
// It returns false if the current state does not accept the event.
func (c *control) fireNode(name string) bool {
	if !tryFire(c.lifecycles.node, name) {
		return false
	}
	c.member.spread.UpdateOwn(func(r *kqmember.Record) { r.Life = kqmember.Life(c.lifecycles.node.State()) })
	return true
}

// tryFire sends an event to a state machine. It returns false if the current
// state does not accept the event.
func tryFire(m *kqchart.Machine, name string) bool {
	return m.Can(name) && m.Fire(name) == nil
}

// announceGone moves the node to the state Gone and waits, for goneTimeout at
// most, until its neighbours have received that.
func (n *Node) announceGone(ctx context.Context) {
	e := goneEvent{done: make(chan struct{})}
	n.control.send(e)
	ctx, cancel := context.WithTimeout(ctx, goneTimeout)
	defer cancel()
	select {
	case <-e.done:
	case <-ctx.Done():
	}
}

// awake reports whether the control goroutine has read the clock within
// PauseThreshold. After the process was paused the gate admits nothing until it
// has, since other nodes may have removed this one from the membership.
func (n *Node) awake() bool {
	return n.now().Sub(n.startedAt) < time.Duration(n.clockReadAt.Load())+kqspread.PauseThreshold
}
