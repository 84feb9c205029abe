package kqslopes

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqfleet"
	"kumquatlink/io/kqlink"
	"kumquatlink/io/kqnode"
)

// Shape of the check against real nodes.
const (
	realNodes  = 24
	realSettle = 15 * time.Second
	realPart   = 15 * time.Second
)

// Real compares idle nodes on loopback with the same fleet in virtual time.
type Real struct {
	Nodes int
	// SentBytes is what a node sends a second in packets, as counted at its
	// sockets, and ModelSentBytes what the figures of Idle say of this size.
	SentBytes      float64
	ModelSentBytes float64
	// ProcessorPercent is a node's share of one core, with all that it does.
	ProcessorPercent      float64
	ModelProcessorPercent float64
}

// measureReal runs real nodes.
func measureReal(link Link, seed uint64) (*Real, error) {
	t := newTrial(realNodes, seed, link)
	t.prime()
	model := t.measureIdle()
	r := &Real{Nodes: realNodes, ModelSentBytes: model.WireBytes / 2, ModelProcessorPercent: model.ProcessorPercent}
	fleet, err := kqfleet.New()
	if err != nil {
		return nil, err
	}
	defer func() { _ = fleet.Close() }()
	var sent atomic.Int64
	for i := range realNodes {
		place := kqfleet.Place{NodeID: recordOf(i).NodeID, Region: recordOf(i).Region, FailureDomain: recordOf(i).FailureDomain}
		if _, err := fleet.AddNode(place, kqnode.WithLinkOptions(kqlink.WithSockets(countedSockets(&sent)))); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), linkTimeout)
	defer cancel()
	for _, m := range fleet.Members {
		whole := func(s *kqnode.State) bool { return len(s.Members.Records) == realNodes }
		if err := m.Node.WaitFor(ctx, whole); err != nil {
			return nil, errors.Wrap(err, "wait for the whole view")
		}
	}
	time.Sleep(realSettle)
	before, worked := sent.Load(), processorTime()
	time.Sleep(realPart)
	nodeSeconds := realNodes * realPart.Seconds()
	r.SentBytes = float64(sent.Load()-before) / nodeSeconds
	r.ProcessorPercent = 100 * (processorTime() - worked).Seconds() / nodeSeconds
	return r, nil
}
