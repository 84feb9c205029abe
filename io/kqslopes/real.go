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

// Size and timing of the comparison with real nodes.
const (
	realNodes       = 24
	realSettleTime  = 15 * time.Second
	realMeasureTime = 15 * time.Second
)

// Real compares idle nodes on loopback with a fleet of the same size in virtual
// time.
type Real struct {
	Nodes int
	// SentBytes counts the bytes of the packets that a node sends per second, as
	// counted at its sockets. ModelSentBytes is the same in virtual time, measured
	// like Idle.
	SentBytes      float64
	ModelSentBytes float64
	// ProcessorPercent is a node's share of one core, for all of its work.
	ProcessorPercent      float64
	ModelProcessorPercent float64
}

// measureReal measures an idle fleet in virtual time, and then one of real nodes.
func measureReal(link Link, seed uint64) (*Real, error) {
	t := newTrial(realNodes, seed, link)
	t.startAll()
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
		complete := func(s *kqnode.State) bool { return len(s.Members.Records) == realNodes }
		if err := m.Node.WaitFor(ctx, complete); err != nil {
			return nil, errors.Wrap(err, "wait for the complete view")
		}
	}
	time.Sleep(realSettleTime)
	before, usedBefore := sent.Load(), processorTime()
	time.Sleep(realMeasureTime)
	nodeSeconds := realNodes * realMeasureTime.Seconds()
	r.SentBytes = float64(sent.Load()-before) / nodeSeconds
	r.ProcessorPercent = 100 * (processorTime() - usedBefore).Seconds() / nodeSeconds
	return r, nil
}
