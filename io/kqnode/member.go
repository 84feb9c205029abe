package kqnode

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqhome"
	"kumquatlink/core/kqmember"
)

// Periods of the control loops.
const (
	exchangePeriod  = 250 * time.Millisecond
	exchangeTimeout = 2 * time.Second
)

// exchange is what two nodes tell each other.
type exchange struct {
	Records       []kqmember.Record
	Configuration kqclass.Configuration
	// Ledgers say which nodes are the homes of idempotency keys.
	Ledgers []kqhome.Table
}

// runExchange tells the peers of the settings what this node knows and takes
// in what they know.
func (n *Node) runExchange(ctx context.Context) {
	ticker := time.NewTicker(exchangePeriod)
	defer ticker.Stop()
	for {
		for _, p := range n.settings.Peers {
			n.exchangeWith(ctx, p)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) exchangeWith(ctx context.Context, peer string) {
	if peer == n.server.Address() {
		return
	}
	message, err := cbor.Marshal(n.told())
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := n.dialer.Message(ctx, peer, message)
	if err != nil {
		n.log.Event(zerolog.DebugLevel, "exchange with "+peer, err)
		return
	}
	if err := n.hear(reply); err != nil {
		n.log.Event(zerolog.WarnLevel, "exchange with "+peer, err)
	}
}

func (n *Node) told() exchange {
	s := n.State()
	return exchange{Records: s.Members.Records, Configuration: s.Configuration, Ledgers: n.keys.told()}
}

func (n *Node) hear(message []byte) error {
	var x exchange
	if err := cbor.Unmarshal(message, &x); err != nil {
		return errors.Mark(errors.Wrap(err, "read exchange"), ErrNode)
	}
	n.control.send(recordsEvent{records: x.Records})
	n.keys.hear(x.Ledgers)
	if x.Configuration.Version > 0 {
		n.control.send(configurationEvent{configuration: x.Configuration})
	}
	return nil
}

// handlePeerMessage answers a peer's exchange.
func (n *Node) handlePeerMessage(ctx context.Context, peer string, message []byte) ([]byte, error) {
	if body, found := bytes.CutPrefix(message, keyPrefix); found {
		return n.keys.answer(ctx, peer, body)
	}
	if err := n.hear(message); err != nil {
		return nil, err
	}
	reply, err := cbor.Marshal(n.told())
	return reply, errors.Mark(err, ErrNode)
}

// recordsEvent is what a peer told of the fleet.
type recordsEvent struct {
	records []kqmember.Record
}

func (e recordsEvent) apply(c *control) bool {
	return c.view.Merge(e.records)
}
