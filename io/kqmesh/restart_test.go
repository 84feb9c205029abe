package kqmesh_test

import (
	"testing"

	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqmesh"
)

// TestServerThatLeftIsNotUsedAgainAfterARestart restarts the node of a server
// that drains; a heartbeat from before that was held up arrives afterwards.
func TestServerThatLeftIsNotUsedAgainAfterARestart(t *testing.T) {
	f := newFleet(t)
	entry, left := f.add("packs-1", "packs"), f.add("orders-1", "orders")
	f.startServing(entry, left, route("/buy/", "orders", true))
	left.reportState(kqserver.Draining)
	f.awaitState(entry, "the draining record", func(s *kqmesh.State) bool { return s.Hosts["orders-1"].ServerState == kqserver.Draining })
	left.node.Stop()
	left.settings.FirstStart = false
	f.start(left)
	f.awaitState(left, "the store's list", func(s *kqmesh.State) bool { return s.HostsKnown && s.Routes != nil })
	if got := left.reportState(kqserver.Ready); got == kqserver.Taken {
		t.Errorf("heartbeat from before the restart: got %s, want it ignored", got)
	}
	if got := left.node.State().ServerState; got != kqserver.Draining {
		t.Errorf("server after the restart: got %s, want Draining", got)
	}
	// The same name with a later start is another server.
	left.sequence = 0
	if got := left.node.ApplyNotice(kqserver.Notice{ServerID: left.id, Service: "orders", Address: left.address(), Slots: 4, State: kqserver.Ready, Sequence: 1, Born: 2}); got != kqserver.Taken {
		t.Errorf("heartbeat of a later start: got %s, want it taken", got)
	}
}

// TestNodeThatWasRestartedUsesItsServerAgain restarts a node whose server goes
// on.
func TestNodeThatWasRestartedUsesItsServerAgain(t *testing.T) {
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
		t.Errorf("heartbeat after the node's restart: got %s, want it taken", got)
	}
}
