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

// Limits of the exchanges with neighbours.
const (
	exchangeTimeout = 2 * time.Second
	// exchangePoolSize limits the exchanges and probes in progress.
	exchangePoolSize = 64
	// snapshotPausePerMember sets the pause between two snapshots of the
	// membership in proportion to its size. A snapshot takes longer the larger
	// the fleet is, so without the pause many changes at once would use up the
	// node's CPU time.
	snapshotPausePerMember = 100 * time.Microsecond
)

// itemConfiguration is the name of the gossip item that carries the
// configuration.
const itemConfiguration = "Configuration"

// peerDecMode decodes CBOR from peers. It limits the length of arrays and the
// nesting, and refuses duplicate keys and indefinite lengths.
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

// member is this node's part in the gossip protocol. Only the control goroutine
// accesses it.
type member struct {
	node   *Node
	spread *kqspread.Machine
	// advancedAt is the last time passed to advance.
	advancedAt time.Time
	// snapshotAt is when the last snapshot of the view was taken.
	snapshotAt time.Duration
	// fleetViewAt is when the FleetView was last computed.
	fleetViewAt time.Duration
	// seeds holds the addresses of seed nodes from the last read of the store.
	seeds []string
}

func newMember(n *Node, view *kqmember.View) *member {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	n.startedAt = n.now()
	return &member{node: n, spread: kqspread.New(0, view, random), advancedAt: n.startedAt}
}

// runMembership sends a tick to the control goroutine every TickPeriod until ctx
// ends.
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

// tickEvent runs the periodic work: gossip, the node's state of life and the
// snapshots.
type tickEvent struct{}

func (tickEvent) apply(c *control) bool {
	now := c.member.advance(c.node.now())
	c.publishConfiguration()
	c.node.keys.advertiseEra(c.member.spread)
	c.node.keys.advertise(c.member.spread)
	c.dispatch(c.member.spread.Tick(now))
	changed := c.updateLife(now)
	return c.applyMembership(now) || changed
}

// advance converts a clock reading to the time since the node started and
// detects pauses of the process. The monotonic clock stops while a host is
// suspended, so a jump of the wall clock alone counts as a pause too. If the
// wall clock was merely set, this causes one unneeded check with the neighbours.
func (m *member) advance(at time.Time) time.Duration {
	now := at.Sub(m.node.startedAt)
	m.node.clockReadAt.Store(int64(now))
	wall := at.Round(0).Sub(m.advancedAt.Round(0))
	if wall-at.Sub(m.advancedAt) >= kqspread.PauseThreshold {
		m.spread.RecordPause(now)
	}
	m.advancedAt = at
	return now
}

// applyMembership takes over the items and members received by gossip, and
// reports whether the published state changed.
func (c *control) applyMembership(now time.Duration) bool {
	changed := false
	for _, i := range c.member.spread.TakeItems() {
		changed = c.applyItem(i) || changed
	}
	pause := time.Duration(c.view.Len()) * snapshotPausePerMember
	if c.view.Dirty() && now-c.member.snapshotAt >= pause {
		c.member.snapshotAt = now
		c.view.Snapshot()
		changed = true
	}
	return c.updateFleetView(now) || changed
}

// publishConfiguration hands the configuration in force to the gossip protocol,
// unless it already has it.
func (c *control) publishConfiguration() {
	configuration := c.state.Configuration
	if configuration.Version <= 0 {
		return
	}
	item := kqspread.Item{Name: itemConfiguration, Version: uint64(configuration.Version), Tie: tieBreaker(configuration.ChangeID)}
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

// tieBreaker returns the first eight bytes of a change ID as a number that
// orders changes of the same version as their IDs do.
func tieBreaker(changeID string) uint64 {
	var number uint64
	for i := range 8 {
		number <<= 8
		if i < len(changeID) {
			number |= uint64(changeID[i])
		}
	}
	return number
}

// applyItem passes an item published by another node to its consumer: the keys
// or the configuration. It reports whether the published state changed.
func (c *control) applyItem(i kqspread.Item) bool {
	if c.node.keys.receiveItem(i) {
		return false
	}
	if i.Name != itemConfiguration {
		return false
	}
	var configuration kqclass.Configuration
	if err := peerDecMode.Unmarshal(i.Payload, &configuration); err != nil {
		c.node.log.Event(zerolog.WarnLevel, "configuration received by gossip can't be decoded, ignoring it", err)
		return false
	}
	return configurationEvent{configuration: configuration}.apply(c)
}

// dispatch sends messages to other nodes, off the control goroutine. It drops
// those that exceed exchangePoolSize.
func (c *control) dispatch(envelopes []kqspread.Envelope) {
	for _, e := range envelopes {
		if e.Address == "" {
			continue
		}
		if err := c.node.exchanges.Submit(func() { c.node.exchange(e) }); err != nil {
			c.node.log.Event(zerolog.DebugLevel, "message to a peer dropped: too many exchanges are in progress", err)
		}
	}
}

// exchangeAll sends messages concurrently and waits until each exchange has been
// answered or has failed.
func (n *Node) exchangeAll(envelopes []kqspread.Envelope) {
	var group sync.WaitGroup
	for _, e := range envelopes {
		if e.Address != "" {
			group.Go(func() { n.exchange(e) })
		}
	}
	group.Wait()
}

// exchange sends one message and passes the replies to the control goroutine.
func (n *Node) exchange(e kqspread.Envelope) {
	message, err := cbor.Marshal(e.Message)
	if err != nil {
		n.log.Event(zerolog.ErrorLevel, "message to a peer can't be encoded", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	peer, reply, err := n.dialer.Exchange(ctx, e.Address, message)
	if err != nil {
		n.metrics.Count(kqmetric.Exchanges, "failed")
		n.log.Event(zerolog.DebugLevel, "failed exchange with "+e.Address, err)
		return
	}
	n.metrics.Count(kqmetric.Exchanges, "done")
	var replies []kqspread.Message
	if err := peerDecMode.Unmarshal(reply, &replies); err != nil {
		n.log.Event(zerolog.WarnLevel, "reply of "+e.Address+" can't be decoded, ignoring it", err)
		return
	}
	n.control.send(repliesEvent{peer: peer, envelope: e, replies: replies})
}

// repliesEvent delivers the replies of a peer to a message.
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

// handlePeerMessage answers a message of a peer: the keys handle those with the
// key prefix, the control goroutine all others.
func (n *Node) handlePeerMessage(ctx context.Context, peer string, message []byte) ([]byte, error) {
	if body, found := bytes.CutPrefix(message, keyPrefix); found {
		return n.keys.handleMessage(ctx, peer, body)
	}
	e := messageEvent{peer: peer, replies: make(chan []kqspread.Message, 1)}
	if err := peerDecMode.Unmarshal(message, &e.message); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode message of a peer"), ErrNode)
	}
	n.control.send(e)
	select {
	case replies := <-e.replies:
		reply, err := cbor.Marshal(replies)
		return reply, errors.Mark(err, ErrNode)
	case <-ctx.Done():
		return nil, errors.Mark(errors.Wrap(ctx.Err(), "wait for the answer to a message of a peer"), ErrNode)
	}
}

// messageEvent delivers a message of a peer. Replies to that peer are returned on
// the same stream; messages to other nodes are sent separately.
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
