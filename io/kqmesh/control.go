package kqmesh

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqroute"
	"kumquatlink/core/kqroutes"
	"kumquatlink/core/kqserver"
	"kumquatlink/core/kqwatch"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqstore"
)

// eventQueueLength is how many events may wait for the control goroutine.
const eventQueueLength = 256

// maxListAge is how old the list of nodes may be that the store gives.
const maxListAge = 10 * time.Second

// controlEvent changes the control state; it says whether it did.
type controlEvent interface {
	apply(c *control) bool
}

// control owns the state that others read.
type control struct {
	node    *Node
	events  chan controlEvent
	stopped chan struct{}
	state   State
	life    *kqserver.Tracker
	// coldUntil is when the backend server is warm, on the node's clock.
	coldUntil time.Duration
	// watch is the node's part in watching the store, differs since when the
	// nodes that a watcher knows are not the own ones, and lastRequest when a watcher
	// was last asked for something.
	watch         *kqwatch.Watch
	divergedSince map[string]time.Duration
	lastRequest   time.Duration
	// ownRecordSeen is when the node last heard of its own record in the store.
	ownRecordSeen time.Duration

	mutex        sync.Mutex
	stateChanged chan struct{}
	// removedRecords names the nodes whose records were removed from the store.
	removedRecords map[string]bool
	// storeDownSince is since when calls of the store fail, or zero.
	storeDownSince time.Time
}

func newControl(n *Node) *control {
	c := &control{
		node: n, events: make(chan controlEvent, eventQueueLength), stopped: make(chan struct{}), life: kqserver.New(),
		stateChanged: make(chan struct{}), removedRecords: map[string]bool{},
		watch: kqwatch.New(n.clock(), n.settings.NodeID), divergedSince: map[string]time.Duration{}, lastRequest: -requestInterval,
	}
	c.state = State{Hosts: map[string]HostRecord{}, Upstreams: map[string]*kqroute.Table{}, ServerState: kqserver.Unknown, Starting: true}
	c.publish()
	return c
}

// run applies events until ctx ends.
func (c *control) run(ctx context.Context) {
	defer close(c.stopped)
	tick := time.NewTicker(watchTick)
	defer tick.Stop()
	for {
		var warm <-chan time.Time
		if c.state.Server.Cold > 0 {
			warm = time.After(max(0, c.coldUntil-c.node.clock()))
		}
		select {
		case e := <-c.events:
			if e.apply(c) {
				c.publish()
			}
			if done, waits := e.(interface{ finish() }); waits {
				done.finish()
			}
		case <-tick.C:
			if c.advanceWatch(c.node.clock()) {
				c.publish()
			}
		case <-warm:
			c.state.Server.Cold = 0
			c.publish()
		case <-ctx.Done():
			return
		}
	}
}

// send hands an event to the control goroutine.
func (c *control) send(e controlEvent) {
	select {
	case c.events <- e:
	case <-c.stopped:
	}
}

// publish makes the state visible.
func (c *control) publish() {
	s := c.state
	c.node.state.Store(&s)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	close(c.stateChanged)
	c.stateChanged = make(chan struct{})
}

// changed is closed when the state changes next.
func (c *control) changed() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.stateChanged
}

// markRemoved notes whether the node's record was removed from the store.
func (c *control) markRemoved(name string, removed bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.removedRecords[name] = removed
}

// isRemoved is whether the store said that the node's record was removed.
func (c *control) isRemoved(name string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.removedRecords[name]
}

// observeStore logs when the store is lost and regained.
func (c *control) observeStore(r kqstore.CallRecord) {
	failed := kqstore.Failed(r.Err)
	c.mutex.Lock()
	since := c.storeDownSince
	switch {
	case failed && since.IsZero():
		c.storeDownSince = c.node.now()
	case !failed:
		c.storeDownSince = time.Time{}
	}
	c.mutex.Unlock()
	if failed && since.IsZero() {
		c.node.logEvent(eventStoreLost, "store is lost: "+r.Operation+" of "+r.Kind+" failed", r.Err, kqlog.Text("Operation", r.Operation), kqlog.Text(fieldKind, r.Kind))
	}
	if !failed && !since.IsZero() {
		took := c.node.now().Sub(since)
		c.node.logEvent(eventStoreBack, "store is back after "+took.String(), nil, kqlog.Micros(fieldTook, took))
	}
}

// routesEvent offers routes. Done is closed when they are in force or refused.
type routesEvent struct {
	document kqroutes.Document
	text     []byte
	source   string
	done     chan struct{}
}

func (e routesEvent) finish() { close(e.done) }

func (e routesEvent) apply(c *control) bool {
	held := int64(0)
	if c.state.Routes != nil {
		held = c.state.Routes.Document().Version
	}
	if !e.document.Newer(held) {
		if e.document.Version < held {
			c.node.logEvent(eventRoutesRefused, fmt.Sprintf("routes of version %d from %s are refused: version %d is in force", e.document.Version, e.source, held), nil,
				kqlog.Number(fieldRoutes, e.document.Version), kqlog.Number(fieldFormer, held), kqlog.Text(fieldSource, e.source))
		}
		return false
	}
	c.state.Routes = kqroutes.NewTable(e.document)
	c.state.RoutesText = e.text
	c.node.logEvent(eventRoutesTaken, fmt.Sprintf("routes of version %d from %s are in force after version %d", e.document.Version, e.source, held), nil,
		kqlog.Number(fieldRoutes, e.document.Version), kqlog.Number(fieldFormer, held), kqlog.Text(fieldSource, e.source))
	return true
}

// hostsEvent is the whole list of nodes.
type hostsEvent struct {
	all map[string]HostRecord
}

func (e hostsEvent) apply(c *control) bool {
	known := c.state.Hosts
	c.restoreServerState(e.all[c.node.settings.NodeID])
	c.state.Hosts = map[string]HostRecord{}
	for name, h := range e.all {
		if held, found := known[name]; found && !h.replaces(held) {
			h = held
		}
		c.state.Hosts[name] = h
		c.logHost(known[name], h)
	}
	for name, h := range known {
		if _, listed := e.all[name]; listed {
			continue
		}
		if name == c.node.settings.NodeID && c.node.clock()-c.ownRecordSeen < maxListAge {
			c.state.Hosts[name] = h
			continue
		}
		c.markRemoved(name, true)
	}
	c.state.HostsKnown = true
	c.rebuildUpstreams()
	return true
}

// hostEvent is one node's record, or its removal.
type hostEvent struct {
	name    string
	record  HostRecord
	removed bool
}

func (e hostEvent) apply(c *control) bool {
	held, found := c.state.Hosts[e.name]
	hosts := maps.Clone(c.state.Hosts)
	c.markRemoved(e.name, e.removed)
	if e.name == c.node.settings.NodeID && !e.removed {
		c.ownRecordSeen = c.node.clock()
	}
	if e.removed {
		delete(hosts, e.name)
		c.node.logEvent(eventHostRemoved, "record of node "+e.name+" was removed", nil, kqlog.Text(fieldHost, e.name))
	} else {
		if found && (held == e.record || !e.record.replaces(held)) {
			return false
		}
		hosts[e.name] = e.record
		c.logHost(held, e.record)
	}
	c.state.Hosts = hosts
	c.rebuildUpstreams()
	return true
}

// restoreServerState takes up what the node's former start knew: a server that had said
// that it leaves takes no new work, though a notice from before comes late or
// its health is good.
func (c *control) restoreServerState(former HostRecord) {
	left := former.ServerState == kqserver.Draining || former.ServerState == kqserver.Gone
	if !left || former.Incarnation == c.node.incarnation || former.Service != c.node.settings.Service {
		return
	}
	held := c.life.Notice()
	if held.ServerID != "" && (held.ServerID != former.ServerID || held.Born != 0 && held.Born != former.Born) {
		return
	}
	e := &noticeEvent{notice: kqserver.Notice{
		ServerID: former.ServerID, Service: former.Service, Address: c.node.settings.BackendAddress, Slots: former.Slots,
		State: former.ServerState, Born: former.Born,
	}}
	e.apply(c)
	c.node.logEvent(eventServerRemembered, fmt.Sprintf("server %s, started %d, had said that it leaves: %s", former.ServerID, former.Born, e.verdict), nil,
		kqlog.Text(fieldServer, former.ServerID), kqlog.Text(fieldState, string(former.ServerState)), kqlog.Text(fieldVerdict, string(e.verdict)))
}

// logHost logs a belief about a node that changed.
func (c *control) logHost(held, h HostRecord) {
	if held != h {
		c.node.logEvent(eventHostSeen, fmt.Sprintf("node %s at %s is %s for %s, server %s, start %d", h.NodeID, h.Address, h.Life, h.Service, h.ServerID, h.Incarnation), nil,
			kqlog.Text(fieldHost, h.NodeID), kqlog.Text(fieldAddress, h.Address), kqlog.Text(fieldState, string(h.Life)), kqlog.Text(fieldService, h.Service),
			kqlog.Text(fieldServer, h.ServerID), kqlog.Number(fieldIncarnation, h.Incarnation))
	}
}

// rebuildUpstreams makes the tables of upstreams anew, keeping what was learned.
func (c *control) rebuildUpstreams() {
	services := map[string][]kqmember.Record{}
	for _, name := range slices.Sorted(maps.Keys(c.state.Hosts)) {
		if h := c.state.Hosts[name]; h.takesWork() {
			services[h.Service] = append(services[h.Service], h.memberRecord())
		}
	}
	now := c.node.now()
	tables := map[string]*kqroute.Table{}
	for service, records := range services {
		tables[service] = kqroute.NewTable(c.node.member(), records, c.state.Upstreams[service], now)
	}
	c.state.Upstreams = tables
	c.state.HostsDigest = digestHosts(c.state.Hosts)
	c.watch.SetCandidates(c.node.clock(), c.watchCandidates())
	addresses := map[string]bool{}
	for _, h := range c.state.Hosts {
		addresses[h.Address] = true
		if h.takesWork() && h.Region == c.node.settings.Region && h.NodeID != c.node.settings.NodeID {
			c.node.dialer.Warm(h.Address)
		}
	}
	c.node.dialer.Keep(func(address string) bool { return addresses[address] })
}

// noticeEvent is what the backend server says of itself.
type noticeEvent struct {
	notice kqserver.Notice
	// verdict is what became of the notice; result gets it when the state that
	// follows from it is in force.
	verdict kqserver.Verdict
	result  chan kqserver.Verdict
}

func (e *noticeEvent) finish() { e.result <- e.verdict }

func (e *noticeEvent) apply(c *control) bool {
	before := c.life.State()
	held := c.life.Notice()
	verdict := c.life.Observe(e.notice)
	e.verdict = verdict
	if verdict != kqserver.Taken {
		c.node.logEvent(eventNoticeIgnored, fmt.Sprintf("notice %d of server %s, started %d, is ignored: %s", e.notice.Sequence, e.notice.ServerID, e.notice.Born, verdict), nil,
			kqlog.Text(fieldServer, e.notice.ServerID), kqlog.Number(fieldSequence, e.notice.Sequence), kqlog.Number(fieldIncarnation, e.notice.Born), kqlog.Text(fieldVerdict, string(verdict)))
		return false
	}
	c.state.Server = c.life.Notice()
	c.state.ServerState = c.life.State()
	c.coldUntil = c.node.clock() + e.notice.Cold
	changed := before != c.life.State() || held.ServerID != e.notice.ServerID || held.Born != e.notice.Born
	if changed {
		c.node.logEvent(eventServerState, fmt.Sprintf("server %s is %s after notice %d, was %s", e.notice.ServerID, c.life.State(), e.notice.Sequence, before), nil,
			kqlog.Text(fieldServer, e.notice.ServerID), kqlog.Text(fieldState, string(c.life.State())), kqlog.Text("FormerState", string(before)), kqlog.Number(fieldSequence, e.notice.Sequence))
	}
	return changed || held.Slots != e.notice.Slots || (held.Cold > 0) != (e.notice.Cold > 0)
}

// shutdownEvent tells that the node ends.
type shutdownEvent struct {
	done chan struct{}
}

func (e shutdownEvent) apply(c *control) bool {
	c.state.Leaving = true
	return true
}

func (e shutdownEvent) finish() { close(e.done) }
