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
	lives  lives
	view   *kqmember.View
	member *member
	holder *kqconfig.Holder
	state  State

	mutex  sync.Mutex
	signal chan struct{}
}

func newControl(n *Node) *control {
	return &control{node: n, events: make(chan event, eventQueueLength), signal: make(chan struct{}), holder: kqconfig.NewHolder(), lives: newLives()}
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
		Address: peerAddress, OperatorAddress: c.node.operatorAddress, FailureDomain: s.FailureDomain, Region: s.Region, Life: kqmember.Life(c.lives.node.State()),
	})
	c.member = newMember(c.node, c.view)
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
	s.Life = kqmember.Life(c.lives.node.State())
	s.Members = c.view.LastSnapshot()
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
