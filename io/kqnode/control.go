package kqnode

import (
	"context"
	"embed"
	"sync"

	"kumquatlink/core/kqchart"
	"kumquatlink/core/kqconfig"
	"kumquatlink/core/kqmember"
)

//go:embed charts/*.json
var charts embed.FS

// eventQueueLength limits the events that wait for the control goroutine; a
// sender blocks when the queue is full.
const eventQueueLength = 1024

// event is a message to the control goroutine. Each kind has its own type,
// declared next to the code that sends it.
type event interface {
	// apply updates the control state and reports whether it changed.
	apply(c *control) bool
}

// control holds the control state of a node. Only the control goroutine (run)
// accesses it, except for the channel of events and for signal, which mutex
// guards.
type control struct {
	node       *Node
	events     chan event
	lifecycles lifecycles
	view       *kqmember.View
	member     *member
	holder     *kqconfig.Holder
	state      State

	mutex sync.Mutex
	// signal is closed and replaced when a state is published.
	signal chan struct{}
}

func newControl(n *Node) *control {
	return &control{node: n, events: make(chan event, eventQueueLength), signal: make(chan struct{}), holder: kqconfig.NewHolder(), lifecycles: newLifecycles()}
}

// readChart parses an embedded state chart and panics if it has faults.
func readChart(name string) *kqchart.Chart {
	data, err := charts.ReadFile(name)
	if err != nil {
		panic(err)
	}
	return kqchart.MustParse(data)
}

// start creates and publishes the first state, before any goroutine runs.
func (c *control) start(peerAddress string) {
	s := c.node.settings
	c.view = kqmember.NewView(kqmember.Record{
		NodeID: s.NodeID, Incarnation: uint64(c.node.now().UnixNano()), Version: 1,
		Address: peerAddress, OperatorAddress: c.node.operatorAddress, FailureDomain: s.FailureDomain, Region: s.Region, Life: kqmember.Life(c.lifecycles.node.State()),
	})
	c.member = newMember(c.node, c.view)
	c.member.spread.SetContacts(s.Peers, false)
	c.publish()
}

// send queues an event for the control goroutine.
func (c *control) send(e event) {
	c.events <- e
}

// changed returns a channel that is closed when the next state is published.
func (c *control) changed() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.signal
}

// publish makes a copy of the control state visible to readers and wakes those
// that wait for a change.
func (c *control) publish() {
	s := c.state
	s.Life = kqmember.Life(c.lifecycles.node.State())
	s.Members = c.view.LastSnapshot()
	c.node.state.Store(&s)
	c.mutex.Lock()
	close(c.signal)
	c.signal = make(chan struct{})
	c.mutex.Unlock()
}

// run applies events, and publishes the state after each change, until ctx ends.
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
