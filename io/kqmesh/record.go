package kqmesh

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqbackoff"
	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqstore"
)

// writeBackoff bounds the pauses between two attempts to write the node's
// record.
var writeBackoff = kqbackoff.Pause{First: 300 * time.Millisecond, Max: 2 * time.Second}

// HostRecord is the record of one node in the store. Only that node changes it;
// watchers of the store write it back when the store has lost it.
type HostRecord struct {
	NodeID string
	// Incarnation orders the starts of a node. It is the start time in
	// milliseconds since the Unix epoch, by the node's own clock, or more if the
	// clock was set back since an earlier start.
	Incarnation uint64
	// Change counts the attempts to write the record since that start.
	Change uint64
	// Address is where other nodes reach the node.
	Address       string
	Region        string
	FailureDomain string
	Service       string
	// ServerID is the ID of the backend server beside the node, or empty.
	ServerID string
	// ServerState is the state of that server, and Born the start time that it
	// reported. The next start of the node reads both, so as not to use a
	// server that has begun to drain.
	ServerState kqserver.State
	Born        int64
	Slots       int
	Life        kqmember.Life
}

// memberRecord returns the fields of the record that routing reads.
func (h HostRecord) memberRecord() kqmember.Record {
	return kqmember.Record{
		NodeID: h.NodeID, Incarnation: h.Incarnation, Address: h.Address,
		FailureDomain: h.FailureDomain, Region: h.Region, Life: h.Life, Service: h.Service,
	}
}

// replaces reports whether the record is newer than current, or has the same
// incarnation and change.
func (h HostRecord) replaces(current HostRecord) bool {
	if h.Incarnation != current.Incarnation {
		return h.Incarnation > current.Incarnation
	}
	return h.Change >= current.Change
}

// TakesWork reports whether calls may be sent to the node.
func (h HostRecord) TakesWork() bool {
	return h.Service != "" && (h.Life == kqmember.LifeServing || h.Life == kqmember.LifeWarming)
}

// ownRecord returns the record of this node in the given state.
func (n *Node) ownRecord(s *State) HostRecord {
	h := HostRecord{
		NodeID: n.settings.NodeID, Incarnation: n.incarnation.Load(), Address: n.peerAddress,
		Region: n.settings.Region, FailureDomain: n.settings.FailureDomain,
		Service: n.settings.Service, ServerID: s.Server.ServerID, ServerState: s.ServerState, Born: s.Server.Born,
		Slots: s.Server.Slots, Life: kqmember.LifeJoining,
	}
	switch {
	case s.Leaving || s.ServerState == kqserver.Draining:
		h.Life = kqmember.LifeDraining
	case s.ServerState == kqserver.Gone:
		h.Life = kqmember.LifeGone
	case s.ServerState == kqserver.Ready && s.Server.Cold > 0:
		h.Life = kqmember.LifeWarming
	case s.ServerState == kqserver.Ready:
		h.Life = kqmember.LifeServing
	}
	return h
}

// recordWriter keeps the record of this node as it was last written to the
// store, and the version of its object there.
type recordWriter struct {
	current HostRecord
	version string
	written bool
	// change is that of the last attempt. A write without an answer may have been
	// made, or be made later, so no other record may have the same number.
	change uint64
}

// maintainRecord writes the node's record to the store whenever it changes, and
// again when it was removed there or is older there.
func (n *Node) maintainRecord(ctx context.Context) {
	w := &recordWriter{}
	n.recallFormer(ctx, w)
	failures := 0
	for ctx.Err() == nil {
		changed := n.control.changed()
		s := n.State()
		record := n.ownRecord(s)
		record.Change = w.current.Change
		if !n.needsWrite(w, s, record) {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		err := n.writeRecord(ctx, w, record)
		if err == nil {
			failures = 0
			continue
		}
		failures++
		n.logEvent(eventRecordNotWritten, "own record can't be written to the store: trying again", err)
		sleep(ctx, writeBackoff.After(failures, n.randomFraction()))
	}
}

// needsWrite reports whether the record has to be written to the store. A node
// that does not know the state of its backend server yet writes none.
func (n *Node) needsWrite(w *recordWriter, s *State, record HostRecord) bool {
	if record.Life == kqmember.LifeJoining {
		return false
	}
	current := w.current
	if current.ServerState == record.ServerState {
		// The start time of the server is read only after the server has begun
		// to drain, so it alone is no reason to write.
		current.Born = record.Born
	}
	_, behind := s.Behind[record.NodeID]
	return !w.written || current != record || behind || n.control.isRemoved(record.NodeID)
}

// writeRecord writes the record with the next number.
func (n *Node) writeRecord(ctx context.Context, w *recordWriter, record HostRecord) error {
	w.change++
	record.Change = w.change
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "encode own record"), ErrNode)
	}
	o := kqstore.Object{Name: record.NodeID, Version: w.version, Value: value}
	written, err := n.store.Put(ctx, kqstore.KindHosts, o)
	if errors.Is(err, kqstore.ErrConflict) || errors.Is(err, kqstore.ErrNotFound) {
		return n.overwriteRecord(ctx, w, o, err)
	}
	if err != nil {
		return err
	}
	n.markWritten(w, record, written)
	return nil
}

// overwriteRecord writes the record over the one in the store after a conflict.
// The other one is of an earlier start of the node, or of a write whose answer
// was lost. If it says that the backend server leaves, which the list of the store
// may have been too old to say, nothing is written before the state says so too.
func (n *Node) overwriteRecord(ctx context.Context, w *recordWriter, o kqstore.Object, cause error) error {
	current, err := n.store.Get(ctx, kqstore.KindHosts, o.Name)
	switch {
	case errors.Is(err, kqstore.ErrNotFound):
		o.Version = ""
	case err != nil:
		return errors.CombineErrors(cause, err)
	default:
		o.Version = current.Version
		if n.restoreFormer(current, !w.written) {
			return nil
		}
	}
	written, err := n.store.Put(ctx, kqstore.KindHosts, o)
	if err != nil {
		return err
	}
	var record HostRecord
	if err := json.Unmarshal(o.Value, &record); err != nil {
		return errors.Mark(errors.Wrap(err, "decode own record"), ErrNode)
	}
	n.markWritten(w, record, written)
	return nil
}

// restoreFormer takes over from the node's record in the store what an earlier start
// of the node has written, and reports whether that changes the node's record. Once
// this start has written a record, another one may be of the process that replaces it.
func (n *Node) restoreFormer(current kqstore.Object, isFirst bool) bool {
	former, err := decodeHost(current)
	if err != nil {
		n.logEvent(eventHostIgnored, "record of the own node in the store is replaced", err, kqlog.Text(fieldHost, current.Name))
		return false
	}
	before, incarnation := n.State().ServerState, n.incarnation.Load()
	e := formerRecordEvent{former: former, isFirst: isFirst, done: make(chan struct{})}
	n.control.send(e)
	select {
	case <-e.done:
	case <-n.control.stopped:
	}
	return n.State().ServerState != before || n.incarnation.Load() != incarnation
}

// formerRecordEvent is the event that a record of the node that this start has not
// written was read. isFirst reports whether this start has written none yet. done is
// closed after the resulting state was published.
type formerRecordEvent struct {
	former  HostRecord
	isFirst bool
	done    chan struct{}
}

func (e formerRecordEvent) finish() { close(e.done) }

func (e formerRecordEvent) apply(c *control) bool {
	followed := e.isFirst && c.followFormer(e.former)
	return c.restoreServerState(e.former) || followed
}

// markWritten keeps the written record and applies it to the own state.
func (n *Node) markWritten(w *recordWriter, record HostRecord, written kqstore.Object) {
	w.current, w.version, w.written = record, written.Version, true
	n.control.send(hostEvent{name: record.NodeID, record: storedRecord{HostRecord: record, version: written.Version}})
	n.logEvent(eventRecordWritten, "own record says "+string(record.Life)+" at version "+written.Version, nil, kqlog.Text(fieldState, string(record.Life)), kqlog.Text(fieldStoreVersion, written.Version))
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
