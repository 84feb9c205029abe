package kqnode

import (
	"context"
	"embed"
	"sync"

	"kumquatlink/core/kqchart"
	"kumquatlink/core/kqconfig"
	"kumquatlink/core/kqmember"
	"kumquatlink/io/kqhttp"
	"kumquatlink/io/kqwire"
)

//go:embed charts/*.json
var charts embed.FS

// eventQueueLength bounds the events that wait for the control goroutine.
const eventQueueLength = 1024

// event is a message to the control goroutine. Each kind is a type of its own
// that stands beside the loop that sends it.
type event interface {
	// apply changes the control state and says whether it did.
	apply(c *control) bool
}

// control owns all control state; only its goroutine touches it.
type control struct {
	node   *Node
	events chan event
	life   *kqchart.Machine
	view   *kqmember.View
	member *member
	holder *kqconfig.Holder
	state  State

	mutex  sync.Mutex
	signal chan struct{}
}

func newControl(n *Node) *control {
	c := &control{node: n, events: make(chan event, eventQueueLength), signal: make(chan struct{}), holder: kqconfig.NewHolder()}
	c.life = kqchart.NewMachine(readChart("charts/node.json"))
	return c
}

func readChart(name string) *kqchart.Chart {
	data, err := charts.ReadFile(name)
	if err != nil {
		panic(err)
	}
	return kqchart.MustParse(data)
}

// start makes the first state, before any goroutine runs.
func (c *control) start(peerAddress string) {
	s := c.node.settings
	c.view = kqmember.NewView(kqmember.Record{
		NodeID: s.NodeID, Incarnation: uint64(c.node.now().UnixNano()), Version: 1,
		Address: peerAddress, OperatorAddress: c.node.operatorAddress, FailureDomain: s.FailureDomain, Region: s.Region, Life: kqmember.Life(c.life.State()),
	})
	c.member = newMember(c.node.now(), c.view)
	c.member.spread.SetContacts(s.Peers, false)
	c.publish()
}

// send hands an event to the control goroutine.
func (c *control) send(e event) {
	c.events <- e
}

// changed gives a channel that closes at the next published state.
func (c *control) changed() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.signal
}

func (c *control) publish() {
	s := c.state
	s.Life = kqmember.Life(c.life.State())
	s.Members = c.view.Current()
	c.node.state.Store(&s)
	c.mutex.Lock()
	close(c.signal)
	c.signal = make(chan struct{})
	c.mutex.Unlock()
}

func (c *control) run(ctx context.Context) {
	for {
		select {
		case e := <-c.events:
			if e.apply(c) {
				c.publish()
			}
		case <-ctx.Done():
			return
		}
	}
}

// announceEvent is the backend server's word about itself.
type announceEvent struct {
	backend *Backend
}

func (e announceEvent) apply(c *control) bool {
	b := e.backend
	if b.Announcement.State == kqwire.StateLeaving {
		return c.fire("Leave")
	}
	if held := c.state.Backend; held != nil && held.Announcement == b.Announcement {
		return false
	}
	b.pool = kqhttp.NewPool(b.Announcement.Address)
	c.state.Backend = b
	c.member.spread.UpdateOwn(func(r *kqmember.Record) { r.Service = b.Announcement.Service })
	c.fire("Ready")
	return true
}

// leaveEvent begins the node's own leaving.
type leaveEvent struct{}

func (leaveEvent) apply(c *control) bool {
	return c.fire("Leave")
}

// fire takes an event of the node's life, if its state takes it.
func (c *control) fire(name string) bool {
	if !c.life.Can(name) {
		return false
	}
	if err := c.life.Fire(name); err != nil {
		return false
	}
	c.member.spread.UpdateOwn(func(r *kqmember.Record) { r.Life = kqmember.Life(c.life.State()) })
	return true
}
