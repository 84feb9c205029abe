package kqnode

import (
	"context"
	"embed"
	"sync"

	"github.com/rs/zerolog"

	"kumquatlink/core/kqchart"
	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqmember"
	"kumquatlink/io/kqhttp"
	"kumquatlink/io/kqwire"
)

//go:embed charts/*.json
var charts embed.FS

// eventQueueLength bounds the events that wait for the control goroutine.
const eventQueueLength = 1024

// eventKind says what an event is.
type eventKind int

const (
	eventAnnounce eventKind = iota
	eventRecords
	eventConfiguration
	eventLeave
)

// event is a message to the control goroutine.
type event struct {
	kind          eventKind
	backend       *Backend
	records       []kqmember.Record
	configuration kqclass.Configuration
}

// control owns all control state; only its goroutine touches it.
type control struct {
	node   *Node
	events chan event
	life   *kqchart.Machine
	view   *kqmember.View
	state  State

	mutex  sync.Mutex
	signal chan struct{}
}

func newControl(n *Node) *control {
	c := &control{node: n, events: make(chan event, eventQueueLength), signal: make(chan struct{})}
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
		Address: peerAddress, FailureDomain: s.FailureDomain, Region: s.Region, Life: kqmember.Life(c.life.State()),
	})
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
	s.Members = c.view.Snapshot()
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
			if c.handle(e) {
				c.publish()
			}
		case <-ctx.Done():
			return
		}
	}
}

// handle takes one event and says whether the state changed.
func (c *control) handle(e event) bool {
	switch e.kind {
	case eventAnnounce:
		return c.handleAnnounce(e.backend)
	case eventRecords:
		return c.view.Merge(e.records)
	case eventConfiguration:
		return c.handleConfiguration(e.configuration)
	case eventLeave:
		return c.fire("Leave")
	}
	return false
}

func (c *control) handleAnnounce(b *Backend) bool {
	if b.Announcement.State == kqwire.StateLeaving {
		return c.fire("Leave")
	}
	if held := c.state.Backend; held != nil && held.Announcement == b.Announcement {
		return false
	}
	b.pool = kqhttp.NewPool(b.Announcement.Address)
	c.state.Backend = b
	c.view.UpdateOwn(func(r *kqmember.Record) { r.Service = b.Announcement.Service })
	c.fire("Ready")
	return true
}

// fire takes an event of the node's life, if its state takes it.
func (c *control) fire(name string) bool {
	if !c.life.Can(name) {
		return false
	}
	if err := c.life.Fire(name); err != nil {
		return false
	}
	c.view.UpdateOwn(func(r *kqmember.Record) { r.Life = kqmember.Life(c.life.State()) })
	return true
}

// handleConfiguration takes a configuration into force unless its version has
// passed.
func (c *control) handleConfiguration(configuration kqclass.Configuration) bool {
	if configuration.Version <= c.state.Configuration.Version {
		return false
	}
	if faults := configuration.Check(); len(faults) > 0 {
		c.node.log.Event(zerolog.ErrorLevel, "configuration refused: "+faults[0].String(), nil)
		return false
	}
	c.state.Configuration = configuration
	c.state.Classes = kqclass.NewTable(configuration)
	return true
}
