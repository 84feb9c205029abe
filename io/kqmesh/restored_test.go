package kqmesh_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqmesh"
	"kumquatlink/io/kqstore"
)

// reportDelay is how late reports of the store are, longer than a write takes.
const reportDelay = 200 * time.Millisecond

// storedRecord returns a node's record in the store and its object, or none.
func (f *fleet) storedRecord(name string) (kqmesh.HostRecord, kqstore.Object) {
	f.t.Helper()
	o, err := kqstore.NewHTTP(f.store.Address()).Get(context.Background(), kqstore.KindHosts, name)
	if errors.Is(err, kqstore.ErrNotFound) {
		return kqmesh.HostRecord{}, o
	}
	var h kqmesh.HostRecord
	if err == nil {
		err = json.Unmarshal(o.Value, &h)
	}
	if err != nil {
		f.t.Fatal(err)
	}
	return h, o
}

// awaitStored waits until the store holds a record of the node that meets the
// condition.
func (f *fleet) awaitStored(name, what string, condition func(kqmesh.HostRecord) bool) {
	f.t.Helper()
	ticks := time.NewTicker(20 * time.Millisecond)
	defer ticks.Stop()
	for begun := time.Now(); ; <-ticks.C {
		h, _ := f.storedRecord(name)
		if condition(h) {
			return
		}
		if time.Since(begun) > testTimeout {
			f.t.Fatalf("record of %s in the store: got %+v, want %s", name, h, what)
		}
	}
}

func drains(h kqmesh.HostRecord) bool { return h.ServerState == kqserver.Draining }

// eachRole runs a test with a node that watches the store, and with one that gets
// updates of the watchers.
func eachRole(t *testing.T, test func(t *testing.T, f *fleet, h *host)) {
	for name, watches := range map[string]bool{"watcher": true, "other": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startDomain(t, 5)
			for _, h := range f.hosts {
				if h.node.State().Watching == watches {
					test(t, f, h)
					return
				}
			}
			t.Fatalf("node that watches %t: got none", watches)
		})
	}
}

// TestRecordThatARestoreMadeOlderIsNotWrittenAgain restores the store from a copy
// that was taken before the backend server of a node began to drain.
func TestRecordThatARestoreMadeOlderIsNotWrittenAgain(t *testing.T) {
	eachRole(t, func(_ *testing.T, f *fleet, h *host) {
		name := h.settings.NodeID
		f.awaitStored(name, "a record", func(r kqmesh.HostRecord) bool { return r.Life == kqmember.LifeServing })
		backup := f.store.Backup()
		h.reportState(kqserver.Draining)
		f.awaitStored(name, "a draining server", drains)
		f.store.Restore(backup)
		f.awaitStored(name, "a draining server again", drains)
	})
}

// TestRecordThatARestoreRemovedIsNotWrittenAgain restores the store from a copy
// that was taken before a node started.
func TestRecordThatARestoreRemovedIsNotWrittenAgain(t *testing.T) {
	t.Parallel()
	f := startDomain(t, 4)
	backup := f.store.Backup()
	h := f.add("orders-late", "orders")
	h.reportState(kqserver.Ready)
	f.awaitStored("orders-late", "a record", kqmesh.HostRecord.TakesWork)
	f.awaitConvergence(1, 5)
	f.store.Restore(backup)
	f.awaitStored("orders-late", "a record again", kqmesh.HostRecord.TakesWork)
	f.awaitConvergence(1, 5)
}

// TestRecordThatALateWriteMadeOlderIsNotWrittenAgain puts an earlier record over
// the current one, as a write does that the store makes late.
func TestRecordThatALateWriteMadeOlderIsNotWrittenAgain(t *testing.T) {
	eachRole(t, func(t *testing.T, f *fleet, h *host) {
		name := h.settings.NodeID
		f.awaitStored(name, "a record", func(r kqmesh.HostRecord) bool { return r.Life == kqmember.LifeServing })
		_, earlier := f.storedRecord(name)
		h.reportState(kqserver.Draining)
		f.awaitStored(name, "a draining server", drains)
		for _, other := range f.hosts {
			f.awaitState(other, "the draining server", func(s *kqmesh.State) bool { return drains(s.Hosts[name]) })
		}
		_, current := f.storedRecord(name)
		earlier.Version = current.Version
		if _, err := kqstore.NewHTTP(f.store.Address()).Put(t.Context(), kqstore.KindHosts, earlier); err != nil {
			t.Fatal(err)
		}
		f.awaitStored(name, "a draining server again", drains)
	})
}

// TestRemovedRecordIsNotWrittenAgain removes the record of a node that may not be
// told so by the store itself.
func TestRemovedRecordIsNotWrittenAgain(t *testing.T) {
	eachRole(t, func(_ *testing.T, f *fleet, h *host) {
		name := h.settings.NodeID
		f.awaitStored(name, "a record", kqmesh.HostRecord.TakesWork)
		f.removeRecord(name)
		f.awaitStored(name, "a record again", kqmesh.HostRecord.TakesWork)
		f.awaitConvergence(1, len(f.hosts))
	})
}

// TestLateReportsOfTheStoreDoNotRepeatWrites lets every report of the store reach
// the nodes late. A node must not take its own earlier record for a lost write.
func TestLateReportsOfTheStoreDoNotRepeatWrites(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	reported := make(chan uint64, 16)
	f.wrap = func(_ string, c *kqstore.Client) *kqstore.Client {
		late := *c
		late.Watch = func(ctx context.Context, kind, name, version string, handle func(kqstore.Object) error) error {
			return c.Watch(ctx, kind, name, version, func(o kqstore.Object) error {
				select {
				case <-time.After(reportDelay):
				case <-ctx.Done():
				}
				err := handle(o)
				var r kqmesh.HostRecord
				if kind == kqstore.KindHosts && json.Unmarshal(o.Value, &r) == nil {
					reported <- r.Change
				}
				return err
			})
		}
		return &late
	}
	f.writeRoutes(1, route("/look/", "orders", false))
	h := f.add("orders-1", "orders")
	h.reportState(kqserver.Ready)
	f.awaitStored("orders-1", "a record", kqmesh.HostRecord.TakesWork)
	h.reportState(kqserver.Draining)
	f.awaitStored("orders-1", "a draining server", drains)
	h.reportState(kqserver.Gone)
	f.awaitStored("orders-1", "a server that is gone", func(r kqmesh.HostRecord) bool { return r.ServerState == kqserver.Gone })
	before, _ := f.storedRecord("orders-1")
	for change := range reported {
		if change >= before.Change {
			break
		}
	}
	if after, _ := f.storedRecord("orders-1"); after != before {
		t.Errorf("record after late reports: got change %d, want %d", after.Change, before.Change)
	}
}

// TestServerThatLeftIsUsedAgainAfterARestore restores the store from a copy that
// was taken before a node and its server left for good. A node that starts later
// must not take the server for one that serves.
func TestServerThatLeftIsUsedAgainAfterARestore(t *testing.T) {
	t.Parallel()
	f := startDomain(t, 4)
	h := f.add("orders-left", "orders")
	h.reportState(kqserver.Ready)
	f.awaitStored("orders-left", "a record", kqmesh.HostRecord.TakesWork)
	f.awaitConvergence(1, 5)
	backup := f.store.Backup()
	h.reportState(kqserver.Gone)
	f.awaitStored("orders-left", "a server that is gone", func(r kqmesh.HostRecord) bool { return !r.TakesWork() })
	delete(f.hosts, "orders-left")
	f.awaitConvergence(1, 4)
	h.node.Stop()
	f.store.Restore(backup)
	f.awaitStored("orders-left", "a server that is gone again", func(r kqmesh.HostRecord) bool { return !r.TakesWork() })
	late := f.add("orders-new", "orders")
	f.awaitState(late, "the list of nodes", func(s *kqmesh.State) bool { return s.HostsKnown })
	if got := late.node.State().Hosts["orders-left"]; got.TakesWork() {
		t.Errorf("record of the node that left, at a new node: got %s, want one that takes no work", got.Life)
	}
}
