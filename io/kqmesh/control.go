package kqmesh

import (
	"bytes"
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
	"kumquatlink/io/kqmetric"
	"kumquatlink/io/kqstore"
)

// eventQueueLength is the number of events that may wait for the control
// goroutine before senders block.
const eventQueueLength = 256

// maxListAge is how old a list of nodes from the store may be, since stale reads
// are allowed. If a list lacks the node's own record, the record is kept for this
// long after it was last seen.
const maxListAge = 10 * time.Second

// controlEvent is applied by the control goroutine. apply reports whether it
// changed the state. An event may also have a method finish, which is called
// after the changed state was published.
type controlEvent interface {
	apply(c *control) bool
}

// control owns the node's state. Only the goroutine of run changes the state
// and the fields above mutex; the mutex guards the fields below it.
type control struct {
	node    *Node
	events  chan controlEvent
	stopped chan struct{}
	state   State
	life    *kqserver.Tracker
	// coldUntil is when the backend server has warmed up, on the node's clock.
	coldUntil time.Duration
	// watch decides whether this node watches the store for its failure domain.
	// divergedSince holds, by watcher, since when its list of nodes differs from
	// this node's list. lastRequest is when routes or nodes were last requested
	// from a watcher.
	watch         *kqwatch.Watch
	divergedSince map[string]time.Duration
	lastRequest   time.Duration
	// updatedVersion is the highest version of the routes in the updates of the
	// failure domain's watchers.
	updatedVersion int64
	// ownRecordSeen is when the node last wrote or received its own record.
	ownRecordSeen time.Duration
	// listedEra is the era of the store in which the nodes were last listed.
	listedEra int64
	// newestStored holds the newest version of each record that the store has
	// reported, by node ID.
	newestStored map[string]storedRecord
	// departures holds which servers are known to leave.
	departures *departures
	// confirmation holds notices back that the server is ready, if the node was started
	// again.
	confirmation kqserver.Confirmation
	// noticeHeld has a value after a notice was held back.
	noticeHeld chan struct{}

	mutex        sync.Mutex
	stateChanged chan struct{}
	// removedRecords holds true for the nodes whose records were removed from
	// the store.
	removedRecords map[string]bool
	// storeDownSince is when calls of the store began to fail, or zero.
	storeDownSince time.Time
}

func newControl(n *Node) *control {
	c := &control{
		node: n, events: make(chan controlEvent, eventQueueLength), stopped: make(chan struct{}), life: kqserver.New(),
		stateChanged: make(chan struct{}), removedRecords: map[string]bool{},
		watch: kqwatch.New(n.clock(), n.settings.NodeID), divergedSince: map[string]time.Duration{}, lastRequest: -requestInterval, listedEra: kqstore.UnknownEra, newestStored: map[string]storedRecord{},
		departures: newDepartures(), noticeHeld: make(chan struct{}, 1),
	}
	if n.settings.FirstStart {
		c.confirmation.Give("")
	}
	c.state = State{Hosts: map[string]HostRecord{}, Behind: map[string]string{}, Upstreams: map[string]*kqroute.Table{}, ServerState: kqserver.Unknown, Starting: true, Recalled: n.settings.FirstStart, Confirmed: n.settings.FirstStart}
	c.publish()
	return c
}

// run applies events and timers to the state until ctx ends.
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
			c.retellDepartures()
		case <-warm:
			c.state.Server.Cold = 0
			c.publish()
		case <-ctx.Done():
			return
		}
	}
}

// send queues an event for the control goroutine. After the end of that
// goroutine the event is dropped.
func (c *control) send(e controlEvent) {
	select {
	case c.events <- e:
	case <-c.stopped:
	}
}

// publish makes a copy of the state visible to readers and wakes those that
// wait for a change.
func (c *control) publish() {
	s := c.state
	c.node.state.Store(&s)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	close(c.stateChanged)
	c.stateChanged = make(chan struct{})
}

// changed returns a channel that is closed at the next change of the state.
func (c *control) changed() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.stateChanged
}

// markRemoved records whether the named node's record was removed from the
// store.
func (c *control) markRemoved(name string, removed bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.removedRecords[name] = removed
}

// isRemoved reports whether the named node's record was removed from the store.
func (c *control) isRemoved(name string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.removedRecords[name]
}

// observeStore logs the first failed call of the store, and the first call
// after it that does not fail. It also logs that the store was restored.
func (c *control) observeStore(r kqstore.CallRecord) {
	if r.Restored() {
		c.node.metrics.Count(kqmetric.StoreRestores)
		c.node.logEvent(eventStoreRestored, fmt.Sprintf("store was restored from a copy: it is in era %d after %d", r.Era, r.FormerEra), nil, kqlog.Number(fieldEra, r.Era), kqlog.Number("FormerEra", r.FormerEra))
	}
	failed := kqstore.IsUnavailable(r.Err)
	c.mutex.Lock()
	downSince := c.storeDownSince
	switch {
	case failed && downSince.IsZero():
		c.storeDownSince = c.node.now()
	case !failed:
		c.storeDownSince = time.Time{}
	}
	c.mutex.Unlock()
	if failed && downSince.IsZero() {
		c.node.logEvent(eventStoreLost, "store is unreachable: "+r.Operation+" of "+r.Kind+" failed", r.Err, kqlog.Text("Operation", r.Operation), kqlog.Text(fieldKind, r.Kind))
	}
	if !failed && !downSince.IsZero() {
		took := c.node.now().Sub(downSince)
		c.node.logEvent(eventStoreBack, "store is reachable again after "+took.String(), nil, kqlog.Micros(fieldTook, took))
	}
}

// routesEvent puts routes into force unless newer ones are. done is closed when
// that is decided.
type routesEvent struct {
	document kqroutes.Document
	text     []byte
	source   string
	done     chan struct{}
}

func (e routesEvent) finish() { close(e.done) }

func (e routesEvent) apply(c *control) bool {
	heldVersion := int64(0)
	if c.state.Routes != nil {
		heldVersion = c.state.Routes.Document().Version
	}
	if c.state.Routes != nil && !e.document.Newer(heldVersion) {
		if e.document.Version < heldVersion || !bytes.Equal(e.text, c.state.RoutesText) {
			c.node.logEvent(eventRoutesRefused, fmt.Sprintf("routes of version %d from %s are refused: version %d is in force", e.document.Version, e.source, heldVersion), nil,
				kqlog.Number(fieldRoutes, e.document.Version), kqlog.Number(fieldFormer, heldVersion), kqlog.Text(fieldSource, e.source))
		}
		return false
	}
	c.state.Routes = kqroutes.NewTable(e.document)
	c.state.RoutesText = e.text
	if faults := e.document.Check(); len(faults) > 0 {
		c.node.logEvent(eventRoutesFaulty, fmt.Sprintf("routes of version %d from %s are in force but for %d faults, the first: %s", e.document.Version, e.source, len(faults), faults[0]), nil,
			kqlog.Number(fieldRoutes, e.document.Version), kqlog.Text(fieldSource, e.source), kqlog.Text("Detail", faults[0].String()))
	}
	if heldVersion > 0 {
		c.announceRoutes(e.document.Version, e.source == sourceStore)
	}
	c.node.logEvent(eventRoutesTaken, fmt.Sprintf("routes of version %d from %s are in force after version %d", e.document.Version, e.source, heldVersion), nil,
		kqlog.Number(fieldRoutes, e.document.Version), kqlog.Number(fieldFormer, heldVersion), kqlog.Text(fieldSource, e.source))
	return true
}

// hostsEvent replaces the list of nodes by a complete one. Records that are
// newer than those of the list stay, and so does the node's own record if it
// was seen within maxListAge. The version is that of the store, or empty if a peer
// sent the list.
type hostsEvent struct {
	all     map[string]storedRecord
	version string
}

func (e hostsEvent) apply(c *control) bool {
	known := c.state.Hosts
	c.restoreServerState(e.all[c.node.settings.NodeID].HostRecord)
	hosts, behind := map[string]HostRecord{}, map[string]string{}
	for name, h := range e.all {
		held, found := known[name]
		older := found && !h.replaces(held)
		if e.version != "" {
			c.observeStored(name, h)
		} else if older {
			c.checkOwnRecord(name)
		}
		if older {
			h.HostRecord = held
		}
		if version, replace := c.storedBefore(name, h.HostRecord); replace && (e.version != "" || c.isWatched()) {
			behind[name] = version
		}
		if h.Address == "" {
			continue
		}
		hosts[name] = h.HostRecord
		c.logHost(held, h.HostRecord)
	}
	restored := c.listRestored(e.version)
	for name, h := range known {
		if _, listed := e.all[name]; listed {
			continue
		}
		_, lost := c.state.Behind[name]
		lost = lost || restored && h.Life != kqmember.LifeGone
		// An earlier list lacks the own record because it is a stale read.
		lost = lost || name == c.node.settings.NodeID && kqstore.LaterVersion(e.version, c.newestStored[name].version)
		switch {
		case lost && (e.version != "" || c.isWatched()):
			hosts[name], behind[name] = h, ""
		case name == c.node.settings.NodeID && c.node.clock()-c.ownRecordSeen < maxListAge:
			hosts[name] = h
		default:
			c.markRemoved(name, true)
		}
	}
	c.state.Hosts, c.state.Behind, c.state.HostsKnown = hosts, behind, true
	c.rebuildUpstreams()
	return true
}

// listRestored reports whether a list of that version is the first one since the
// store was restored from a copy. Such a list lacks what was written after the
// copy was taken.
func (c *control) listRestored(version string) bool {
	if version == "" {
		return false
	}
	era, _ := kqstore.ParseVersion(version)
	former := c.listedEra
	c.listedEra = era
	return former != kqstore.UnknownEra && era != former
}

// checkOwnRecord has the own record written again if a watcher of the store lists
// an older one although the own write is long over.
func (c *control) checkOwnRecord(name string) {
	if name == c.node.settings.NodeID && c.node.clock()-c.ownRecordSeen >= maxListAge {
		c.markRemoved(name, true)
	}
}

// hostEvent is a change or the removal of one node's record in the store.
type hostEvent struct {
	name    string
	record  storedRecord
	removed bool
}

func (e hostEvent) apply(c *control) bool {
	held, found := c.state.Hosts[e.name]
	c.markRemoved(e.name, e.removed)
	if e.name == c.node.settings.NodeID && !e.removed {
		c.ownRecordSeen = c.node.clock()
		c.restoreServerState(e.record.HostRecord)
	}
	older, behind, version := found && !e.removed && !e.record.replaces(held), false, ""
	if !e.removed {
		c.observeStored(e.name, e.record)
		newest := e.record.HostRecord
		if older {
			newest = held
		}
		version, behind = c.storedBefore(e.name, newest)
	}
	changed := c.setBehind(e.name, version, behind)
	if older || !e.removed && (e.record.Address == "" || found && held == e.record.HostRecord) {
		return changed
	}
	hosts := maps.Clone(c.state.Hosts)
	if e.removed {
		delete(hosts, e.name)
		c.node.logEvent(eventHostRemoved, "record of node "+e.name+" was removed", nil, kqlog.Text(fieldHost, e.name))
	} else {
		hosts[e.name] = e.record.HostRecord
		c.logHost(held, e.record.HostRecord)
	}
	c.state.Hosts = hosts
	c.rebuildUpstreams()
	return true
}

// followFormer makes this start of the node the later one if its record in the store
// is of a start that seems later, since the clock was set back. It reports whether it
// did.
func (c *control) followFormer(former HostRecord) bool {
	if former.Incarnation <= c.node.incarnation.Load() {
		return false
	}
	c.node.incarnation.Store(former.Incarnation + 1)
	c.node.logEvent(eventClockSetBack, fmt.Sprintf("an earlier start of this node has the number %d, so the clock was set back: this start takes the next one", former.Incarnation), nil, kqlog.Number(fieldIncarnation, former.Incarnation))
	return true
}

// restoreServerState takes over from the record of the node's former process
// that the backend server drains or is gone, and reports whether that changed the
// state. Such a server gets no new work, even if an older notice arrives late or a
// health probe succeeds.
func (c *control) restoreServerState(former HostRecord) bool {
	wasLeaving := former.ServerState == kqserver.Draining || former.ServerState == kqserver.Gone
	if !wasLeaving || former.Incarnation == c.node.incarnation.Load() || former.Service != c.node.settings.Service {
		return false
	}
	held := c.life.Notice()
	if held.ServerID != "" && (held.ServerID != former.ServerID || held.Born != 0 && held.Born != former.Born) {
		return false
	}
	e := &noticeEvent{notice: kqserver.Notice{
		ServerID: former.ServerID, Service: former.Service, Address: c.node.settings.BackendAddress, Slots: former.Slots,
		State: former.ServerState, Born: former.Born,
	}}
	changed := e.apply(c)
	c.node.logEvent(eventServerRemembered, fmt.Sprintf("server %s, started %d, was draining or gone before this node started: %s", former.ServerID, former.Born, e.verdict), nil,
		kqlog.Text(fieldServer, former.ServerID), kqlog.Text(fieldState, string(former.ServerState)), kqlog.Text(fieldVerdict, string(e.verdict)))
	return changed
}

// logHost logs the record of a node if it differs from the former one.
func (c *control) logHost(held, h HostRecord) {
	if held != h {
		c.node.logEvent(eventHostSeen, fmt.Sprintf("node %s at %s is %s for %s, server %s, start %d", h.NodeID, h.Address, h.Life, h.Service, h.ServerID, h.Incarnation), nil,
			kqlog.Text(fieldHost, h.NodeID), kqlog.Text(fieldAddress, h.Address), kqlog.Text(fieldState, string(h.Life)), kqlog.Text(fieldService, h.Service),
			kqlog.Text(fieldServer, h.ServerID), kqlog.Number(fieldIncarnation, h.Incarnation))
	}
}

// rebuildUpstreams builds the tables of upstreams from the node records; what
// was learned about an upstream is kept. It also connects in advance to the
// serving nodes of the region, and tells the dialer to drop connections to
// addresses that no record has.
func (c *control) rebuildUpstreams() {
	services := map[string][]kqmember.Record{}
	for _, h := range c.state.Hosts {
		c.departures.observe(c.node.clock(), h)
	}
	for _, name := range slices.Sorted(maps.Keys(c.state.Hosts)) {
		if h := c.state.Hosts[name]; h.TakesWork() && !c.hasDeparted(h) {
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
		if h.TakesWork() && h.Region == c.node.settings.Region && h.NodeID != c.node.settings.NodeID {
			c.node.dialer.Warm(h.Address)
		}
	}
	c.node.dialer.Retain(func(address string) bool { return addresses[address] })
}

// noticeEvent is a notice of the backend server about its state.
type noticeEvent struct {
	notice kqserver.Notice
	// verdict reports whether the notice was applied. It is sent on result after
	// the resulting state was published.
	verdict kqserver.Verdict
	result  chan kqserver.Verdict
}

func (e *noticeEvent) finish() { e.result <- e.verdict }

func (e *noticeEvent) apply(c *control) bool {
	formerState := c.life.State()
	former := c.life.Notice()
	if e.notice.ReceivedAt.IsZero() {
		e.notice.ReceivedAt = c.node.now()
	}
	if e.notice.State == kqserver.Ready && !c.life.Knows(e.notice) && c.confirmation.Hold(c.node.clock(), e.notice, c.state.Recalled) {
		e.verdict = kqserver.Held
		select {
		case c.noticeHeld <- struct{}{}:
		default:
		}
		c.node.logEvent(eventNoticeIgnored, "notice of server "+e.notice.ServerID+" is held back: it may be late, and the server has not confirmed it yet", nil,
			kqlog.Text(fieldServer, e.notice.ServerID), kqlog.Number(fieldSequence, e.notice.Sequence), kqlog.Number(fieldIncarnation, e.notice.Born), kqlog.Text(fieldVerdict, string(e.verdict)))
		return false
	}
	confirms := c.confirmation.IsGiven() && !c.state.Confirmed
	c.state.Confirmed = c.confirmation.IsGiven()
	verdict := c.life.Observe(e.notice)
	e.verdict = verdict
	if verdict != kqserver.Taken {
		c.node.logEvent(eventNoticeIgnored, fmt.Sprintf("notice %d of server %s, started %d, is ignored: %s", e.notice.Sequence, e.notice.ServerID, e.notice.Born, verdict), nil,
			kqlog.Text(fieldServer, e.notice.ServerID), kqlog.Number(fieldSequence, e.notice.Sequence), kqlog.Number(fieldIncarnation, e.notice.Born), kqlog.Text(fieldVerdict, string(verdict)))
		return confirms
	}
	if formerState == kqserver.Ready && !isSameStart(former, e.notice) {
		// It tells other nodes, for which control must not wait.
		go c.node.gate.suspects.serverReplaced(former)
	}
	c.state.Server = c.life.Notice()
	c.state.ServerState = c.life.State()
	c.coldUntil = c.node.clock() + e.notice.Cold
	changed := formerState != c.life.State() || former.ServerID != e.notice.ServerID || !isSameStart(former, e.notice)
	if changed {
		c.node.logEvent(eventServerState, fmt.Sprintf("server %s is %s after notice %d, was %s", e.notice.ServerID, c.life.State(), e.notice.Sequence, formerState), nil,
			kqlog.Text(fieldServer, e.notice.ServerID), kqlog.Text(fieldState, string(c.life.State())), kqlog.Text("FormerState", string(formerState)), kqlog.Number(fieldSequence, e.notice.Sequence))
	}
	return changed || confirms || former.Slots != e.notice.Slots || (former.Cold > 0) != (e.notice.Cold > 0)
}

// shutdownEvent marks the node as leaving. done is closed after that state was
// published.
type shutdownEvent struct {
	done chan struct{}
}

func (e shutdownEvent) apply(c *control) bool {
	c.state.Leaving = true
	return true
}

func (e shutdownEvent) finish() { close(e.done) }
