package kqnode

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqspread"
	"kumquatlink/io/kqmetric"
)

// Limits of the exchange with neighbours.
const (
	exchangeTimeout = 2 * time.Second
	// exchangePoolSize bounds the exchanges that are under way.
	exchangePoolSize = 64
	// snapshotPausePerMember keeps a fleet in which much changes at once from
	// using a node's time for snapshots: the larger one is, the longer the
	// pause to the next.
	snapshotPausePerMember = 100 * time.Microsecond
)

// itemConfiguration names the item that carries the configuration.
const itemConfiguration = "Configuration"

// peerDecMode bounds what is read from a peer.
var peerDecMode = newPeerDecMode()

func newPeerDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: 1 << 16,
		MaxNestedLevels:  8,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// member is this node's part in spreading; the control goroutine owns it.
type member struct {
	node   *Node
	spread *kqspread.Machine
	ticked time.Time
	// pictured is when the view was last made into a snapshot.
	pictured time.Duration
	// viewed is when the view for operators was last made.
	viewed time.Duration
	// seeds are the addresses that the store gave last.
	seeds []string
}

func newMember(n *Node, view *kqmember.View) *member {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	n.startedAt = n.now()
	return &member{node: n, spread: kqspread.New(0, view, random), ticked: n.startedAt}
}

// runMembership moves the member's time on.
func (n *Node) runMembership(ctx context.Context) {
	ticker := time.NewTicker(kqspread.TickPeriod)
	defer ticker.Stop()
	for {
		n.control.send(tickEvent{})
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// tickEvent moves the control state's time on.
type tickEvent struct{}

func (tickEvent) apply(c *control) bool {
	now := c.member.advance(c.node.now())
	c.offerConfiguration()
	c.node.keys.advertise(c.member.spread)
	c.dispatch(c.member.spread.Tick(now))
	changed := c.live(now)
	return c.settle(now) || changed
}

// advance gives the member's time. A host that was suspended stops its
// monotonic clock, so that a jump of the wall clock alone counts as a pause
// too: a needless check after a clock was set costs little.
func (m *member) advance(at time.Time) time.Duration {
	now := at.Sub(m.node.startedAt)
	m.node.clockReadAt.Store(int64(now))
	wall := at.Round(0).Sub(m.ticked.Round(0))
	if wall-at.Sub(m.ticked) >= kqspread.PauseThreshold {
		m.spread.RecordPause(now)
	}
	m.ticked = at
	return now
}

// settle takes over what spreading changed, and says whether to publish.
func (c *control) settle(now time.Duration) bool {
	changed := false
	for _, i := range c.member.spread.TakeItems() {
		changed = c.takeItem(i) || changed
	}
	pause := time.Duration(c.view.Len()) * snapshotPausePerMember
	if c.view.Dirty() && now-c.member.pictured >= pause {
		c.member.pictured = now
		c.view.Snapshot()
		changed = true
	}
	return c.viewFleet(now) || changed
}

// offerConfiguration spreads the configuration in force.
func (c *control) offerConfiguration() {
	configuration := c.state.Configuration
	if configuration.Version <= 0 {
		return
	}
	item := kqspread.Item{Name: itemConfiguration, Version: uint64(configuration.Version), Tie: tieOf(configuration.ChangeID)}
	held, found := c.member.spread.Item(itemConfiguration)
	if found && held.Version == item.Version && held.Tie == item.Tie {
		return
	}
	payload, err := cbor.Marshal(configuration)
	if err != nil {
		return
	}
	item.Payload = payload
	c.member.spread.Publish(item)
}

// tieOf orders changes of one version as their IDs are ordered.
func tieOf(changeID string) uint64 {
	var tie uint64
	for i := range 8 {
		tie <<= 8
		if i < len(changeID) {
			tie |= uint64(changeID[i])
		}
	}
	return tie
}

// takeItem hands an item that others published to what it is for.
func (c *control) takeItem(i kqspread.Item) bool {
	if c.node.keys.receiveItem(i) {
		return false
	}
	if i.Name != itemConfiguration {
		return false
	}
	var configuration kqclass.Configuration
	if err := peerDecMode.Unmarshal(i.Payload, &configuration); err != nil {
		c.node.log.Event(zerolog.WarnLevel, "configuration of a peer can't be read", err)
		return false
	}
	return configurationEvent{configuration: configuration}.apply(c)
}

// dispatch sends messages to their nodes, off the control goroutine.
func (c *control) dispatch(envelopes []kqspread.Envelope) {
	for _, e := range envelopes {
		if e.Address == "" {
			continue
		}
		if err := c.node.exchanges.Submit(func() { c.node.exchange(e) }); err != nil {
			c.node.log.Event(zerolog.DebugLevel, "too many exchanges under way", err)
		}
	}
}

// exchangeAll sends messages at once and waits for all replies.
func (n *Node) exchangeAll(envelopes []kqspread.Envelope) {
	var group sync.WaitGroup
	for _, e := range envelopes {
		if e.Address != "" {
			group.Go(func() { n.exchange(e) })
		}
	}
	group.Wait()
}

// exchange sends one message and hands the replies to control.
func (n *Node) exchange(e kqspread.Envelope) {
	message, err := cbor.Marshal(e.Message)
	if err != nil {
		n.log.Event(zerolog.ErrorLevel, "encode message", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	peer, reply, err := n.dialer.Exchange(ctx, e.Address, message)
	if err != nil {
		n.metrics.Count(kqmetric.Exchanges, "failed")
		n.log.Event(zerolog.DebugLevel, "exchange with "+e.Address, err)
		return
	}
	n.metrics.Count(kqmetric.Exchanges, "done")
	var replies []kqspread.Message
	if err := peerDecMode.Unmarshal(reply, &replies); err != nil {
		n.log.Event(zerolog.WarnLevel, "reply of "+e.Address+" can't be read", err)
		return
	}
	n.control.send(repliesEvent{peer: peer, envelope: e, replies: replies})
}

// repliesEvent is what a peer replied.
type repliesEvent struct {
	peer     string
	envelope kqspread.Envelope
	replies  []kqspread.Message
}

func (e repliesEvent) apply(c *control) bool {
	now := c.member.advance(c.node.now())
	if e.envelope.To == "" {
		c.member.spread.RecordJoinAnswer(now, e.envelope.Address)
	}
	for _, m := range e.replies {
		c.dispatch(c.member.spread.Receive(now, e.peer, m))
	}
	return false
}

// handlePeerMessage answers a peer's message.
func (n *Node) handlePeerMessage(ctx context.Context, peer string, message []byte) ([]byte, error) {
	if body, found := bytes.CutPrefix(message, keyPrefix); found {
		return n.keys.handleMessage(ctx, peer, body)
	}
	e := messageEvent{peer: peer, replies: make(chan []kqspread.Message, 1)}
	if err := peerDecMode.Unmarshal(message, &e.message); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "read message"), ErrNode)
	}
	n.control.send(e)
	select {
	case replies := <-e.replies:
		reply, err := cbor.Marshal(replies)
		return reply, errors.Mark(err, ErrNode)
	case <-ctx.Done():
		return nil, errors.Mark(errors.Wrap(ctx.Err(), "answer message"), ErrNode)
	}
}

// messageEvent is what a peer sent; what is meant for that peer goes back on
// the same stream.
type messageEvent struct {
	peer    string
	message kqspread.Message
	replies chan []kqspread.Message
}

func (e messageEvent) apply(c *control) bool {
	now := c.member.advance(c.node.now())
	replies := []kqspread.Message{}
	var others []kqspread.Envelope
	for _, o := range c.member.spread.Receive(now, e.peer, e.message) {
		if o.To == e.peer {
			replies = append(replies, o.Message)
			continue
		}
		others = append(others, o)
	}
	e.replies <- replies
	c.dispatch(others)
	return false
}
