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

// Times of the lives of a node and its backend server.
const (
	// warmPeriod is how long a backend server that became ready counts as
	// cold.
	warmPeriod = 10 * time.Second
	// warmShare is the share of a service's upstreams that must be warm for
	// another one to warm up slowly.
	warmShare = 0.8
	// announcePeriod is after how long without an announcement the node tries
	// whether the backend server takes connections, and how often it does.
	announcePeriod = 5 * time.Second
	// goneTimeout bounds how long a node that ends waits for its neighbours to
	// take its last word; neighbours that ended too never do.
	goneTimeout = 250 * time.Millisecond
	// reachTimeout bounds such a try.
	reachTimeout = time.Second
)

// States of the backend server's chart.
const (
	backendReady   = "Ready"
	backendLeaving = "Leaving"
)

// lives are the charts of a node and of the backend server beside it.
type lives struct {
	node    *kqchart.Machine
	backend *kqchart.Machine
	// heardAt is when the backend server last announced itself or was reached.
	heardAt time.Duration
	// readyAt is when the node began to warm.
	readyAt time.Duration
	// closing is whether the node itself is being shut down.
	closing bool
	// superseded is whether it was logged that another start took over.
	superseded bool
}

func newLives() lives {
	return lives{
		node:    kqchart.NewMachine(readChart("charts/node.json")),
		backend: kqchart.NewMachine(readChart("charts/backend.json")),
	}
}

// announceEvent is the backend server's word about itself.
type announceEvent struct {
	backend *Backend
}

func (e announceEvent) apply(c *control) bool {
	b := e.backend
	now := c.member.advance(c.node.now())
	c.lives.heardAt = now
	if b.Announcement.State == kqwire.StateLeaving {
		return fires(c.lives.backend, "Depart") && c.fire("Leave")
	}
	changed := c.takeBackend(b)
	returned := c.lives.backend.State() != backendReady
	changed = fires(c.lives.backend, "Announce") && returned || changed
	if returned && !c.lives.closing {
		changed = c.fire("Return") || changed
	}
	return c.live(now) || changed
}

// takeBackend notes what the backend server said of itself.
func (c *control) takeBackend(b *Backend) bool {
	if held := c.state.Backend; held != nil && held.Announcement == b.Announcement {
		return false
	}
	b.pool = kqhttp.NewPool(b.Announcement.Address)
	c.state.Backend = b
	c.member.spread.UpdateOwn(func(r *kqmember.Record) { r.Service = b.Announcement.Service })
	return true
}

// live moves the lives on as far as time and the fleet's word allow, and says
// whether it did.
func (c *control) live(now time.Duration) bool {
	ready := c.lives.backend.State() == backendReady
	changed := false
	switch {
	case c.view.Superseded():
		changed = c.giveWay()
	case !c.member.spread.Confirmed():
		changed = c.fire("Woke")
	case !ready && c.lives.backend.State() != backendLeaving:
		changed = c.fire("Unready")
	case ready:
		changed = c.warm(now)
	}
	if c.lives.backend.State() != c.lives.backend.Initial() && now-c.lives.heardAt >= announcePeriod {
		c.lives.heardAt = now
		c.tryBackend()
	}
	return changed
}

// warm takes a node whose backend server is ready into service.
func (c *control) warm(now time.Duration) bool {
	changed := c.fire("Ready")
	if changed {
		c.lives.readyAt = now
	}
	if now-c.lives.readyAt >= warmPeriod || !c.othersCarry() {
		changed = c.fire("Warm") || changed
	}
	return changed
}

// othersCarry is whether so many other upstreams of the service are warm that
// this one may take its time. When a whole service starts, nobody may.
func (c *control) othersCarry() bool {
	own := c.view.Own()
	warm, all := 0, 1
	for _, r := range c.view.LastSnapshot().Upstreams(own.Service) {
		if r.NodeID == own.NodeID {
			continue
		}
		all++
		if r.Life == kqmember.LifeServing {
			warm++
		}
	}
	return float64(warm) >= warmShare*float64(all)
}

// giveWay drains a node of which a later start runs elsewhere.
func (c *control) giveWay() bool {
	if !c.lives.superseded {
		c.lives.superseded = true
		c.node.log.Event(zerolog.ErrorLevel, "another node of this name has started: draining", nil)
	}
	return c.fire("Leave")
}

// tryBackend finds out, off the control goroutine, whether a backend server
// that no longer announces itself still takes connections.
func (c *control) tryBackend() {
	address := c.state.Backend.Announcement.Address
	n := c.node
	if err := n.exchanges.Submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
		defer cancel()
		link, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			n.control.send(unreachedEvent{address: address, err: err})
			return
		}
		_ = link.Close()
	}); err != nil {
		n.log.Event(zerolog.DebugLevel, "too many exchanges under way", err)
	}
}

// unreachedEvent says that the backend server neither announces itself nor
// takes connections.
type unreachedEvent struct {
	address string
	err     error
}

func (e unreachedEvent) apply(c *control) bool {
	if c.state.Backend.Announcement.Address != e.address || !fires(c.lives.backend, "Silence") {
		return false
	}
	c.node.log.Event(zerolog.WarnLevel, "backend server is silent and takes no connection", e.err)
	return c.live(c.member.advance(c.node.now()))
}

// leaveEvent begins the node's own leaving.
type leaveEvent struct{}

func (leaveEvent) apply(c *control) bool {
	c.lives.closing = true
	return c.fire("Leave")
}

// goneEvent ends the node's leaving. Done is closed when the neighbours were
// told, or could not be.
type goneEvent struct {
	done chan struct{}
}

func (e goneEvent) apply(c *control) bool {
	changed := c.fire("Empty")
	envelopes := c.member.spread.Tick(c.member.advance(c.node.now()))
	go func() {
		defer close(e.done)
		c.node.exchangeAll(envelopes)
	}()
	return changed
}

// fire takes an event of the node's life, if its state takes it.
func (c *control) fire(name string) bool {
	if !fires(c.lives.node, name) {
		return false
	}
	c.member.spread.UpdateOwn(func(r *kqmember.Record) { r.Life = kqmember.Life(c.lives.node.State()) })
	return true
}

// fires takes an event if the chart's state does.
func fires(m *kqchart.Machine, name string) bool {
	return m.Can(name) && m.Fire(name) == nil
}

// announceGone tells the neighbours that this node is gone.
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

// awake is whether the control goroutine has looked at the clock lately. A
// node that was paused takes no work before it has: it may have been removed.
func (n *Node) awake() bool {
	return n.now().Sub(n.startedAt) < time.Duration(n.clockReadAt.Load())+kqspread.PauseThreshold
}
