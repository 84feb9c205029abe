package kqmesh

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqbackoff"
	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqstore"
)

// Settings of departures, by which a node's next process learns that its backend
// server leaves. See docs/design/leaving.md.
const (
	// storeHeadStart is how long the store may take to accept the record of a
	// server that leaves before other nodes are asked to keep it.
	storeHeadStart = 150 * time.Millisecond
	// departureTimeout bounds sending departures to a node. With storeHeadStart it
	// stays well below the time after which a server sends its notice again.
	departureTimeout = 400 * time.Millisecond
	// departureKeepers is how many other nodes keep a departure that is not in the
	// store before it is acknowledged, or all if there are fewer.
	departureKeepers = 3
	// departureKeepTime is how long a departure is kept. A server that leaves ends
	// long before that.
	departureKeepTime = 10 * time.Minute
	// departureRepeat is the pause before a node whose record contradicts a
	// departure is told of it again.
	departureRepeat = time.Second
	// recallPeers is how many nodes of the own failure domain, and as many others,
	// a node that was restarted asks for departures of its server. recallTimeout
	// bounds each of these requests, and the one to the store.
	recallPeers   = 4
	recallTimeout = 500 * time.Millisecond
	// recallWait is how long the node waits for further answers.
	recallWait = 200 * time.Millisecond
)

// recallBackoff bounds the pauses between two attempts of a restarted node to learn
// what its former process knew.
var recallBackoff = kqbackoff.Pause{First: 50 * time.Millisecond, Max: 500 * time.Millisecond}

// departure is the record of a node whose backend server drains or is gone, as far
// as it tells which start of the server that is.
type departure struct {
	HostRecord
	// seenAt is when the node that keeps the departure last heard of it, on its
	// clock.
	seenAt time.Duration
}

// isDeparture reports whether the record says that the backend server drains or is
// gone.
func isDeparture(h HostRecord) bool {
	return h.ServerID != "" && (h.ServerState == kqserver.Draining || h.ServerState == kqserver.Gone)
}

// contradicts reports whether the record says that the start which has departed is
// ready.
func (d departure) contradicts(h HostRecord) bool {
	return h.ServerState == kqserver.Ready && h.ServerID == d.ServerID && (h.Born == d.Born || h.Born == 0 || d.Born == 0)
}

// serverStart identifies a start of a backend server.
type serverStart struct {
	serverID string
	born     int64
}

func startOf(n kqserver.Notice) serverStart {
	return serverStart{n.ServerID, n.Born}
}

// departures holds the last departure of each node's backend server. A start that
// has departed never becomes ready again, so a later record that says so is wrong:
// the node was restarted and does not know. The control goroutine owns it.
type departures struct {
	byNode map[string]departure
	toldAt map[string]time.Duration
}

func newDepartures() *departures {
	return &departures{byNode: map[string]departure{}, toldAt: map[string]time.Duration{}}
}

// observe keeps the record if it is the latest departure of its node's server, and
// forgets departures that are over.
func (d *departures) observe(now time.Duration, h HostRecord) {
	if !isDeparture(h) || h.NodeID == "" {
		return
	}
	for name, kept := range d.byNode {
		if now-kept.seenAt > departureKeepTime {
			delete(d.byNode, name)
			delete(d.toldAt, name)
		}
	}
	if kept, found := d.byNode[h.NodeID]; !found || h.Born >= kept.Born {
		d.byNode[h.NodeID] = departure{HostRecord: h, seenAt: now}
	}
}

// of returns the departure that the record contradicts, if there is one.
func (d *departures) of(h HostRecord) (HostRecord, bool) {
	kept, found := d.byNode[h.NodeID]
	return kept.HostRecord, found && kept.contradicts(h)
}

// mayTell reports whether the node may be told of its departure now, and records
// that it is.
func (d *departures) mayTell(now time.Duration, nodeID string) bool {
	if at, found := d.toldAt[nodeID]; found && now-at < departureRepeat {
		return false
	}
	d.toldAt[nodeID] = now
	return true
}

// hasDeparted reports whether the record says that a server is ready which is known
// to leave. Its node is told so.
func (c *control) hasDeparted(h HostRecord) bool {
	kept, found := c.departures.of(h)
	if !found || h.NodeID == c.node.settings.NodeID {
		return found
	}
	if c.departures.mayTell(c.node.clock(), h.NodeID) {
		n := c.node
		n.logEvent(eventDepartureTold, fmt.Sprintf("node %s says that server %s, started %d, is ready, which leaves: it gets no calls, and its node is told", h.NodeID, h.ServerID, h.Born), nil,
			kqlog.Text(fieldHost, h.NodeID), kqlog.Text(fieldServer, h.ServerID), kqlog.Number(fieldIncarnation, h.Incarnation))
		if err := n.pool.Submit(func() { _, _ = n.sendReport(h.Address, departureTimeout, nodeReport{Departures: []HostRecord{kept}}) }); err != nil {
			n.logEvent(eventMessageNotWritten, "node "+h.NodeID+" can't be told that its server leaves", err, kqlog.Text(fieldHost, h.NodeID))
		}
	}
	return true
}

// retellDepartures tells the nodes again whose records still contradict a departure.
func (c *control) retellDepartures() {
	for name := range c.departures.toldAt {
		c.hasDeparted(c.state.Hosts[name])
	}
}

// departuresEvent is the event that another node sent departures to keep. done is
// closed when they are kept.
type departuresEvent struct {
	records []HostRecord
	done    chan struct{}
}

func (e departuresEvent) finish() { close(e.done) }

func (e departuresEvent) apply(c *control) bool {
	changed := false
	for _, h := range e.records {
		if h.NodeID == c.node.settings.NodeID {
			changed = c.restoreServerState(h) || changed
		}
		c.departures.observe(c.node.clock(), h)
	}
	if len(e.records) > 0 {
		c.rebuildUpstreams()
	}
	return len(e.records) > 0 || changed
}

// keepDepartures keeps departures that another node sent, and returns when that is
// done.
func (n *Node) keepDepartures(records []HostRecord) {
	done := make(chan struct{})
	n.control.send(departuresEvent{records: records, done: done})
	select {
	case <-done:
	case <-n.control.stopped:
	}
}

// departureQuery is the event that a node asks for the departure of its server.
type departureQuery struct {
	nodeID string
	answer chan []HostRecord
}

func (e departureQuery) apply(c *control) bool {
	var records []HostRecord
	if kept, found := c.departures.byNode[e.nodeID]; found {
		records = append(records, kept.HostRecord)
	}
	e.answer <- records
	return false
}

// departureOf returns the departure of the node's server that this node keeps, if it
// keeps one.
func (n *Node) departureOf(nodeID string) []HostRecord {
	q := departureQuery{nodeID: nodeID, answer: make(chan []HostRecord, 1)}
	n.control.send(q)
	select {
	case records := <-q.answer:
		return records
	case <-n.control.stopped:
		return nil
	}
}

// awaitDepartureKept waits until something outside this process keeps that the
// backend server leaves, so that the node's next process learns of it: the store,
// or other nodes if the store does not answer. It returns false if nothing does.
// Then the notice must not be acknowledged, although the gate acts on it.
func (n *Node) awaitDepartureKept(ctx context.Context) bool {
	leaving := startOf(n.State().Server)
	if kept := n.keptDeparture.Load(); kept != nil && *kept == leaving {
		return true
	}
	inStore := func(s *State) bool {
		h, found := s.Hosts[n.settings.NodeID]
		return found && isDeparture(h) && h.ServerID == s.Server.ServerID && (h.Born == s.Server.Born || s.Server.Born == 0)
	}
	waiting, cancel := context.WithTimeout(ctx, storeHeadStart)
	defer cancel()
	isKept := n.WaitFor(waiting, inStore) == nil || n.shareDeparture(ctx) || inStore(n.State())
	if isKept {
		n.keptDeparture.Store(&leaving)
	}
	return isKept
}

// shareDeparture has other nodes keep that the backend server leaves, and reports
// whether enough do.
func (n *Node) shareDeparture(ctx context.Context) bool {
	s := n.State()
	record := n.ownRecord(s)
	targets := n.departureTargets(s, announcedPerDomain)
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	kept := make(chan struct{}, len(targets))
	for _, address := range targets {
		err := n.pool.Submit(func() {
			answer, err := n.sendReport(address, departureTimeout, nodeReport{Departures: []HostRecord{record}})
			if err == nil && answer.KeepsDepartures {
				kept <- struct{}{}
			}
		})
		if err != nil {
			n.logEvent(eventMessageNotWritten, "departure of the own server is not sent to "+address, err, kqlog.Text(fieldPeer, address))
		}
	}
	needed := min(departureKeepers, len(targets))
	count := 0
	for count < needed && ctx.Err() == nil {
		select {
		case <-kept:
			count++
		case <-ctx.Done():
		}
	}
	isKept := needed > 0 && count == needed
	n.logEvent(eventDepartureShared, fmt.Sprintf("server %s leaves and the store has not taken that: %d of %d nodes keep it, acknowledged: %t", record.ServerID, count, len(targets), isKept), nil,
		kqlog.Text(fieldServer, record.ServerID), kqlog.Number(fieldHosts, int64(count)))
	return isKept
}

// departureTargets returns the addresses of the other nodes of the failure domain,
// and of perDomain nodes of each other one.
func (n *Node) departureTargets(s *State, perDomain int) []string {
	domains := map[string][]string{}
	for name, h := range s.Hosts {
		if name != n.settings.NodeID && h.Life != kqmember.LifeGone {
			domains[h.FailureDomain] = append(domains[h.FailureDomain], h.Address)
		}
	}
	var targets []string
	for domain, addresses := range domains {
		if domain != n.settings.FailureDomain {
			shuffle(addresses, n.random)
			addresses = addresses[:min(perDomain, len(addresses))]
		}
		targets = append(targets, addresses...)
	}
	return targets
}

// recallFormer learns from the store and from other nodes whether the node's former
// process knew that the backend server leaves. Until then the control goroutine
// holds back notices that the server is ready, which may be late. One answer is
// enough: who knows more tells the node when it sees its record, and if nobody is left
// who does, the server itself has to confirm that it is ready.
func (n *Node) recallFormer(ctx context.Context, w *recordWriter) {
	if n.settings.FirstStart {
		return
	}
	begun := n.clock()
	for failures := 1; ctx.Err() == nil; failures++ {
		var asking sync.WaitGroup
		var answers atomic.Int64
		var stored atomic.Pointer[kqstore.Object]
		asking.Go(func() { stored.Store(n.recallFromStore(ctx)) })
		for _, address := range n.recallTargets() {
			asking.Go(func() {
				answer, err := n.sendReport(address, recallTimeout, nodeReport{AskDeparture: n.settings.NodeID})
				if err == nil {
					n.keepDepartures(answer.Departures)
					answers.Add(1)
				}
			})
		}
		all := make(chan struct{})
		go func() {
			asking.Wait()
			close(all)
		}()
		waitForChange(ctx, all, recallWait)
		if stored.Load() == nil && answers.Load() == 0 {
			<-all
		}
		if o := stored.Load(); o != nil || answers.Load() > 0 {
			if o != nil {
				w.version = o.Version
			}
			n.logEvent(eventFormerRecalled, fmt.Sprintf("what the former process knew of the backend server was asked for: the store answered: %t, nodes that answered: %d", o != nil, answers.Load()), nil,
				kqlog.Number(fieldHosts, answers.Load()), kqlog.Micros(fieldTook, n.clock()-begun))
			break
		}
		sleep(ctx, recallBackoff.After(failures, n.randomFraction()))
	}
	n.control.send(recalledEvent{})
}

// recallFromStore reads the node's record in the store and takes over that the
// backend server leaves, if it says so. The object is empty if there is no record,
// and nil if the store did not answer.
func (n *Node) recallFromStore(ctx context.Context) *kqstore.Object {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	current, err := n.store.Get(ctx, kqstore.KindHosts, n.settings.NodeID)
	switch {
	case errors.Is(err, kqstore.ErrNotFound):
		return &kqstore.Object{}
	case err != nil:
		return nil
	}
	n.restoreFormer(current, true)
	return &current
}

// recallTargets returns the addresses of some nodes of the own failure domain, and
// of some others.
func (n *Node) recallTargets() []string {
	var near, far []string
	for name, h := range n.State().Hosts {
		switch {
		case name == n.settings.NodeID || h.Life == kqmember.LifeGone:
		case h.FailureDomain == n.settings.FailureDomain:
			near = append(near, h.Address)
		default:
			far = append(far, h.Address)
		}
	}
	shuffle(near, n.random)
	shuffle(far, n.random)
	return slices.Concat(near[:min(recallPeers, len(near))], far[:min(recallPeers, len(far))])
}

// recalledEvent is the event that the node knows what its former process knew, as far
// as the store and other nodes do.
type recalledEvent struct{}

func (recalledEvent) apply(c *control) bool {
	c.state.Recalled = true
	return true
}
