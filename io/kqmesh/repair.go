package kqmesh

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqstore"
)

// Pauses before a node writes records of others back to the store. Meanwhile the
// node of the record, another watcher, or a change that a stale read lacked may
// have made that needless.
const (
	minRepairDelay = 200 * time.Millisecond
	maxRepairDelay = 700 * time.Millisecond
)

// storedRecord is a record as the store holds it. The record is empty if it can't
// be read. The version is empty if the record is known from a peer.
type storedRecord struct {
	HostRecord
	version string
}

// observeStored records what the store reports of a node, unless the store has reported
// a later version of it.
func (c *control) observeStored(name string, stored storedRecord) {
	newest, found := c.newestStored[name]
	if !found || kqstore.LaterVersion(stored.version, newest.version) {
		c.newestStored[name] = stored
	}
}

// storedBefore reports whether the newest record that the store has reported of a node
// is older than the given one, so that it has to be replaced, and returns its version.
// It does not matter from where and in which order the two became known: the answer to
// a write and the updates of peers may be from before a restore that was seen already.
func (c *control) storedBefore(name string, h HostRecord) (version string, behind bool) {
	newest, found := c.newestStored[name]
	return newest.version, found && !newest.replaces(h)
}

// isWatched reports whether this node has to know itself which records the store holds.
func (c *control) isWatched() bool { return c.state.Watching || c.state.Starting }

// setBehind records whether the object of that version in the store has to be
// replaced, and reports whether that changed the state. The version is empty if
// there is no object.
func (c *control) setBehind(name, version string, behind bool) bool {
	recorded, found := c.state.Behind[name]
	if found == behind && (!found || recorded == version) {
		return false
	}
	c.state.Behind = maps.Clone(c.state.Behind)
	delete(c.state.Behind, name)
	if behind {
		c.state.Behind[name] = version
	}
	return true
}

// repairRecords writes records of the own failure domain back to the store while
// it holds older ones, or none, and this node watches it. That happens when the
// store was restored from a copy, or made a write late. The node of the record
// may have ended since, or not know what the store lost.
func (n *Node) repairRecords(ctx context.Context) {
	for ctx.Err() == nil {
		changed := n.control.changed()
		if len(n.lostRecords()) == 0 {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		sleep(ctx, minRepairDelay+time.Duration(n.randomFraction()*float64(maxRepairDelay-minRepairDelay)))
		for _, r := range n.lostRecords() {
			if ctx.Err() == nil {
				n.repairRecord(ctx, r)
			}
		}
	}
}

// lostRecords returns the records that this node has to write back, each with the
// version of the older one in the store.
func (n *Node) lostRecords() []storedRecord {
	s := n.State()
	if !s.Watching || !n.hostsWatched.Load() {
		return nil
	}
	var lost []storedRecord
	for name, version := range s.Behind {
		h, found := s.Hosts[name]
		if found && h.FailureDomain == n.settings.FailureDomain && name != n.settings.NodeID {
			lost = append(lost, storedRecord{HostRecord: h, version: version})
		}
	}
	return lost
}

// repairRecord writes a record over the older one in the store. If the store holds
// another one by now, the watch reports that.
func (n *Node) repairRecord(ctx context.Context, r storedRecord) {
	value, err := json.Marshal(r.HostRecord)
	if err != nil {
		n.logEvent(eventRecordNotRepaired, "record of node "+r.NodeID+" can't be encoded", err, kqlog.Text(fieldHost, r.NodeID))
		return
	}
	written, err := n.store.Put(ctx, kqstore.KindHosts, kqstore.Object{Name: r.NodeID, Version: r.version, Value: value})
	switch {
	case err == nil:
		n.logEvent(eventRecordRepaired, "store held an older record of node "+r.NodeID+" or none: wrote the one that says "+string(r.Life)+" back", nil,
			kqlog.Text(fieldHost, r.NodeID), kqlog.Text(fieldState, string(r.Life)), kqlog.Text(fieldStoreVersion, written.Version))
		n.control.send(hostEvent{name: r.NodeID, record: storedRecord{HostRecord: r.HostRecord, version: written.Version}})
	case errors.Is(err, kqstore.ErrConflict) || errors.Is(err, kqstore.ErrNotFound):
		n.control.send(repairRefusedEvent{name: r.NodeID, version: r.version})
	default:
		n.logEvent(eventRecordNotRepaired, "record of node "+r.NodeID+" can't be written back to the store: trying again", err, kqlog.Text(fieldHost, r.NodeID))
	}
}

// repairRefusedEvent is the event that the store holds another version of a record
// than the one that was to be replaced.
type repairRefusedEvent struct {
	name    string
	version string
}

func (e repairRefusedEvent) apply(c *control) bool {
	if c.state.Behind[e.name] != e.version {
		return false
	}
	return c.setBehind(e.name, "", false)
}
