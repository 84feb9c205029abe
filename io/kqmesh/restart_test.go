package kqmesh_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqmesh"
	"kumquatlink/io/kqobject"
	"kumquatlink/io/kqstore"
)

// TestDrainingServerIsNotUsedAfterNodeRestart restarts the node of a server that
// drains. A delayed notice from before the draining, which arrives after the
// restart, must not make the server ready again.
func TestDrainingServerIsNotUsedAfterNodeRestart(t *testing.T) {
	f := newFleet(t)
	entry, draining := f.add("packs-1", "packs"), f.add("orders-1", "orders")
	f.startServing(entry, draining, route("/buy/", "orders", true))
	draining.reportState(kqserver.Draining)
	f.awaitState(entry, "the draining record", func(s *kqmesh.State) bool { return s.Hosts["orders-1"].ServerState == kqserver.Draining })
	draining.node.Stop()
	draining.settings.FirstStart = false
	f.start(draining)
	f.awaitState(draining, "the store's list", func(s *kqmesh.State) bool { return s.HostsKnown && s.Routes != nil })
	if got := draining.reportState(kqserver.Ready); got == kqserver.Taken {
		t.Errorf("notice from before the restart: got %s, want it ignored", got)
	}
	f.awaitState(draining, "what the former process knew", func(s *kqmesh.State) bool { return s.Recalled })
	if got := draining.node.State().ServerState; got != kqserver.Draining {
		t.Errorf("server state after the restart: got %s, want Draining", got)
	}
	if got := draining.reportState(kqserver.Ready); got == kqserver.Taken || got == kqserver.Held {
		t.Errorf("notice from before the restart, once the former process is known: got %s, want it ignored", got)
	}
	// The same server ID with a later start time is another server.
	draining.sequence = 0
	if got := draining.node.ApplyNotice(kqserver.Notice{ServerID: draining.id, Service: "orders", Address: draining.address(), Slots: 4, State: kqserver.Ready, Sequence: 1, Born: 2}); got != kqserver.Taken && got != kqserver.Held {
		t.Errorf("notice of a later start of the server: got %s, want it taken, or held back until the server confirms it", got)
	}
	f.awaitState(draining, "the later start", func(s *kqmesh.State) bool { return s.ServerState == kqserver.Ready && s.Server.Born == 2 })
}

// TestReadyServerIsUsedAfterNodeRestart restarts a node whose server keeps
// running. The draining of the node must not be mistaken for one of the server.
func TestReadyServerIsUsedAfterNodeRestart(t *testing.T) {
	f := newFleet(t)
	entry, other := f.add("packs-1", "packs"), f.add("orders-1", "orders")
	f.startServing(entry, other, route("/buy/", "orders", true))
	if err := other.node.Shutdown(t.Context()); err != nil {
		t.Fatal(err)
	}
	other.settings.FirstStart = false
	f.start(other)
	f.awaitState(other, "what the former process knew", func(s *kqmesh.State) bool { return s.Recalled && s.Confirmed && s.HostsKnown && s.Routes != nil })
	if got := other.reportState(kqserver.Ready); got != kqserver.Taken {
		t.Errorf("notice after the node's restart: got %s, want it taken", got)
	}
}

// TestServerThatLeavesIsUsedAfterARestartWithAStaleList restarts the node of a server
// that drains, while the store lists the records as they were before.
func TestServerThatLeavesIsUsedAfterARestartWithAStaleList(t *testing.T) {
	f := newFleet(t)
	entry, draining := f.add("packs-1", "packs"), f.add("orders-1", "orders")
	f.startServing(entry, draining, route("/buy/", "orders", true))
	objects, version, err := draining.store.List(t.Context(), kqstore.KindHosts)
	if err != nil {
		t.Fatal(err)
	}
	draining.reportState(kqserver.Draining)
	f.awaitStored("orders-1", "Draining", drains)
	draining.node.Stop()
	stale := *draining.store
	stale.List = func(ctx context.Context, kind string) ([]kqstore.Object, string, error) {
		if kind == kqstore.KindHosts {
			return objects, version, nil
		}
		return draining.store.List(ctx, kind)
	}
	stale.Watch = func(ctx context.Context, _, _, _ string, _ func(kqstore.Object) error) error {
		<-ctx.Done()
		return ctx.Err()
	}
	restarted := &host{backend: draining.backend, settings: draining.settings, store: &stale, sequence: draining.sequence}
	restarted.settings.FirstStart = false
	f.start(restarted)
	f.awaitState(restarted, "the stale list", func(s *kqmesh.State) bool { return s.HostsKnown && s.Routes != nil })
	restarted.reportState(kqserver.Ready)
	f.awaitState(restarted, "the state from before the restart", func(s *kqmesh.State) bool { return s.ServerState == kqserver.Draining })
}

// TestLeavingIsAcknowledgedBeforeItIsStored has a server leave while writes of the
// store take a moment. The node's next process learns of it from the store alone.
func TestLeavingIsAcknowledgedBeforeItIsStored(t *testing.T) {
	f := newFleet(t)
	h := f.add("orders-1", "orders")
	f.writeRoutes(1, route("/buy/", "orders", true))
	h.reportState(kqserver.Ready)
	f.awaitConvergence(1, 1)
	f.store.SetFaults(kqobject.Faults{Delay: 100 * time.Millisecond})
	if got := h.sendNotice(h.id, 1, 2, kqserver.Draining); got != 200 {
		t.Fatalf("notice of draining: got status %d, want 200", got)
	}
	if stored, _ := f.storedRecord("orders-1"); !drains(stored) {
		t.Errorf("record in the store when the notice is acknowledged: got %+v, want Draining", stored)
	}
}

// TestNodeIsIgnoredAfterItsClockWasSetBack starts a node whose earlier start has
// written its last record by a clock that was an hour ahead.
func TestNodeIsIgnoredAfterItsClockWasSetBack(t *testing.T) {
	f := newFleet(t)
	entry := f.add("packs-1", "packs")
	former := kqmesh.HostRecord{
		NodeID: "orders-1", Incarnation: uint64(time.Now().Add(time.Hour).UnixMilli()), Change: 4, Address: "127.0.0.1:9", Region: "south", FailureDomain: "south-a",
		Service: "orders", ServerID: "i-former", ServerState: kqserver.Ready, Born: 1, Slots: 4, Life: kqmember.LifeDraining,
	}
	value, err := json.Marshal(former)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := kqstore.NewHTTP(f.store.Address()).Put(t.Context(), kqstore.KindHosts, kqstore.Object{Name: "orders-1", Value: value}); err != nil {
		t.Fatal(err)
	}
	f.awaitState(entry, "the former record", func(s *kqmesh.State) bool { return s.Hosts["orders-1"].Life == kqmember.LifeDraining })
	restarted := f.add("orders-1", "orders")
	f.startServing(entry, restarted, route("/buy/", "orders", true))
	if got := entry.request("GET", "/buy/", "a", ""); got.status != 200 {
		t.Errorf("request to the node: got %+v, want 200", got)
	}
}
