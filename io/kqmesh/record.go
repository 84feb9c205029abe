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

// writeBackoff bounds the pauses between two tries to write the node's record.
var writeBackoff = kqbackoff.Pause{First: 300 * time.Millisecond, Max: 2 * time.Second}

// HostRecord is what the store holds of one node. Only that node writes it.
type HostRecord struct {
	NodeID string
	// Incarnation orders the starts of a node: the Unix millisecond at which
	// one began, by its own clock.
	Incarnation uint64
	// Change counts the writes of the record since that start.
	Change uint64
	// Address is where other nodes reach it.
	Address       string
	Region        string
	FailureDomain string
	Service       string
	// ServerID is the backend server beside it, or empty.
	ServerID string
	// ServerState is the state of that server, and Born when it started, for
	// the next start of the node.
	ServerState kqserver.State
	Born        int64
	Slots       int
	Life        kqmember.Life
}

// memberRecord gives the record as routing reads it.
func (h HostRecord) memberRecord() kqmember.Record {
	return kqmember.Record{
		NodeID: h.NodeID, Incarnation: h.Incarnation, Address: h.Address,
		FailureDomain: h.FailureDomain, Region: h.Region, Life: h.Life, Service: h.Service,
	}
}

// replaces is whether the record is the newer one, or one that can't be told
// from it.
func (h HostRecord) replaces(held HostRecord) bool {
	if h.Incarnation != held.Incarnation {
		return h.Incarnation > held.Incarnation
	}
	return h.Change >= held.Change
}

// takesWork is whether calls may be sent to the node.
func (h HostRecord) takesWork() bool {
	return h.Service != "" && (h.Life == kqmember.LifeServing || h.Life == kqmember.LifeWarming)
}

// ownRecord is what the node says of itself at this moment.
func (n *Node) ownRecord(s *State) HostRecord {
	h := HostRecord{
		NodeID: n.settings.NodeID, Incarnation: n.incarnation, Address: n.peerAddress,
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

// recordWriter remembers what the store holds of this node.
type recordWriter struct {
	held    HostRecord
	version string
	written bool
}

// maintainRecord writes the node's record whenever it changes, and again when
// someone has removed it.
func (n *Node) maintainRecord(ctx context.Context) {
	w := &recordWriter{}
	failures := 0
	for ctx.Err() == nil {
		changed := n.control.changed()
		s := n.State()
		want := n.ownRecord(s)
		want.Change = w.held.Change
		if !n.needsWrite(w, s, want) {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		err := n.writeRecord(ctx, w, want)
		if err == nil {
			failures = 0
			continue
		}
		failures++
		n.logEvent(eventRecordNotWritten, "own record was not written", err)
		sleep(ctx, writeBackoff.After(failures, n.randomFraction()))
	}
}

// needsWrite is whether the store should be told of the record. A node that
// does not know its backend server yet says nothing.
func (n *Node) needsWrite(w *recordWriter, s *State, want HostRecord) bool {
	if want.Life == kqmember.LifeJoining {
		return false
	}
	held := w.held
	if held.ServerState == want.ServerState {
		// When the server started is only read once it leaves.
		held.Born = want.Born
	}
	if !w.written || held != want {
		return true
	}
	_, listed := s.Hosts[want.NodeID]
	return s.HostsKnown && !listed && n.control.isRemoved(want.NodeID)
}

func (n *Node) writeRecord(ctx context.Context, w *recordWriter, want HostRecord) error {
	want.Change++
	value, err := json.Marshal(want)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "write record"), ErrNode)
	}
	o := kqstore.Object{Name: want.NodeID, Version: w.version, Value: value}
	written, err := n.store.Put(ctx, kqstore.KindHosts, o)
	if errors.Is(err, kqstore.ErrConflict) || errors.Is(err, kqstore.ErrNotFound) {
		return n.overwriteRecord(ctx, w, o, err)
	}
	if err != nil {
		return err
	}
	n.markWritten(w, want, written)
	return nil
}

// overwriteRecord writes over what an earlier start, or a write whose answer was
// lost, has left.
func (n *Node) overwriteRecord(ctx context.Context, w *recordWriter, o kqstore.Object, cause error) error {
	held, err := n.store.Get(ctx, kqstore.KindHosts, o.Name)
	switch {
	case errors.Is(err, kqstore.ErrNotFound):
		o.Version = ""
	case err != nil:
		return errors.CombineErrors(cause, err)
	default:
		o.Version = held.Version
	}
	written, err := n.store.Put(ctx, kqstore.KindHosts, o)
	if err != nil {
		return err
	}
	var want HostRecord
	if err := json.Unmarshal(o.Value, &want); err != nil {
		return errors.Mark(errors.Wrap(err, "read own record"), ErrNode)
	}
	n.markWritten(w, want, written)
	return nil
}

func (n *Node) markWritten(w *recordWriter, want HostRecord, written kqstore.Object) {
	w.held, w.version, w.written = want, written.Version, true
	n.control.send(hostEvent{name: want.NodeID, record: want})
	n.logEvent(eventRecordWritten, "own record says "+string(want.Life)+" at version "+written.Version, nil, kqlog.Text(fieldState, string(want.Life)), kqlog.Text("StoreVersion", written.Version))
}

// sleep waits, or returns early when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
