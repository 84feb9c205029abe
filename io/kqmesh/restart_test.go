package kqmesh_test

import (
	"testing"

	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqmesh"
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
	if got := draining.node.State().ServerState; got != kqserver.Draining {
		t.Errorf("server state after the restart: got %s, want Draining", got)
	}
	// The same server ID with a later start time is another server.
	draining.sequence = 0
	if got := draining.node.ApplyNotice(kqserver.Notice{ServerID: draining.id, Service: "orders", Address: draining.address(), Slots: 4, State: kqserver.Ready, Sequence: 1, Born: 2}); got != kqserver.Taken {
		t.Errorf("notice of a later start of the server: got %s, want it taken", got)
	}
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
	f.awaitState(other, "the store's list", func(s *kqmesh.State) bool { return s.HostsKnown && s.Routes != nil })
	if got := other.reportState(kqserver.Ready); got != kqserver.Taken {
		t.Errorf("notice after the node's restart: got %s, want it taken", got)
	}
}
