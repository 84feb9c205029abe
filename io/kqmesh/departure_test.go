package kqmesh_test

import (
	"context"
	"fmt"
	"testing"

	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqmesh"
	"kumquatlink/io/kqobject"
	"kumquatlink/io/kqstore"
)

// restart stops the node of a host at once, as a kill does, and starts it again.
func (f *fleet) restart(h *host) {
	f.t.Helper()
	h.node.Stop()
	h.settings.FirstStart = false
	f.startElsewhere(h)
}

// TestServerThatLeftWhileTheStoreWasAwayIsUsedAfterARestart guards against a node
// that acknowledges a leaving which only its own process knows: after a kill it took
// a late notice for the first one of the server, and sent it requests until its end.
func TestServerThatLeftWhileTheStoreWasAwayIsUsedAfterARestart(t *testing.T) {
	for _, state := range []kqserver.State{kqserver.Draining, kqserver.Gone} {
		t.Run(string(state), func(t *testing.T) {
			f := newFleet(t)
			entry, leaver := f.add("packs-1", "packs"), f.add("orders-1", "orders")
			other, third := f.add("orders-2", "orders"), f.add("orders-3", "orders")
			f.writeRoutes(1, route("/buy/", "orders", true))
			f.serveAll(entry, leaver, other, third)
			f.store.SetFaults(kqobject.Faults{Down: true})
			if got := leaver.sendNotice(leaver.id, 1, 3, state); got != 200 {
				t.Fatalf("notice of leaving while the store is away: got status %d, want 200, since the other nodes keep it", got)
			}
			f.restart(leaver)
			// Two late notices: one before the node knows its former process, and one after.
			late := func(sequence int64) {
				leaver.node.ApplyNotice(kqserver.Notice{ServerID: leaver.id, Service: "orders", Address: leaver.address(), Slots: 4, State: kqserver.Ready, Sequence: sequence, Born: 1})
			}
			late(1)
			f.store.SetFaults(kqobject.Faults{})
			f.awaitState(leaver, "what the former process knew", func(s *kqmesh.State) bool { return s.Recalled })
			late(2)
			leaves := func(s *kqmesh.State) bool {
				return s.ServerState == kqserver.Draining || s.ServerState == kqserver.Gone
			}
			f.awaitState(leaver, "that the server leaves", leaves)
			f.awaitStored("orders-1", "that the server leaves", func(h kqmesh.HostRecord) bool { return h.ServerState == state })
			for i := range 20 {
				id := fmt.Sprint("after-", i)
				if got := entry.request("POST", "/buy/", id, ""); got.status != 200 {
					t.Errorf("request beside a server that left: got %+v, want 200", got)
				}
				if got := leaver.runCount(id); got != 0 {
					t.Errorf("runs at the server that left: got %d, want 0", got)
				}
			}
		})
	}
}

// TestServerThatLeftIsUsedWhenAllNodesWereKilled guards against a leaving that the store
// has not taken and that is forgotten with all nodes that keep it: a late notice, of before,
// is the first that the next process hears of the server.
func TestServerThatLeftIsUsedWhenAllNodesWereKilled(t *testing.T) {
	for _, state := range []kqserver.State{kqserver.Draining, kqserver.Gone} {
		t.Run(string(state), func(t *testing.T) {
			f := newFleet(t)
			entry, leaver := f.add("packs-1", "packs"), f.add("orders-1", "orders")
			other, third := f.add("orders-2", "orders"), f.add("orders-3", "orders")
			f.writeRoutes(1, route("/buy/", "orders", true))
			f.serveAll(entry, leaver, other, third)
			f.store.SetFaults(kqobject.Faults{Down: true})
			leaver.health.Store(503)
			if got := leaver.sendNotice(leaver.id, 1, 5, state); got != 200 {
				t.Fatalf("notice of leaving while the store is away: got status %d, want 200, since the other nodes keep it", got)
			}
			for name, h := range f.hosts {
				// A host keeps its address.
				h.settings.PeerAddress = entry.node.State().Hosts[name].Address
			}
			for _, h := range f.hosts {
				h.node.Stop()
			}
			for _, h := range f.hosts {
				f.restart(h)
			}
			f.store.SetFaults(kqobject.Faults{})
			f.awaitState(leaver, "what is left of the former process", func(s *kqmesh.State) bool { return s.Recalled && s.Routes != nil })
			for sequence := range int64(3) {
				if got := leaver.sendNotice(leaver.id, 1, sequence+2, kqserver.Ready); got != 200 {
					t.Errorf("late notice: got status %d, want 200", got)
				}
			}
			for _, h := range []*host{entry, other, third} {
				h.reportState(kqserver.Ready)
			}
			f.awaitState(other, "its server", func(s *kqmesh.State) bool { return s.ServerState == kqserver.Ready })
			f.awaitState(third, "its server", func(s *kqmesh.State) bool { return s.ServerState == kqserver.Ready })
			f.awaitState(entry, "all nodes", func(s *kqmesh.State) bool {
				return s.Routes != nil && s.Upstreams["orders"] != nil && len(s.Upstreams["orders"].Upstreams()) == 3
			})
			for i := range 20 {
				id := fmt.Sprint("after-", i)
				if got := entry.request("POST", "/buy/", id, ""); got.status != 200 {
					t.Errorf("request beside a server that left: got %+v, want 200", got)
				}
				if got := leaver.runCount(id); got != 0 {
					t.Errorf("runs at the server that left: got %d, want 0", got)
				}
			}
			// The next server at that address takes over.
			leaver.health.Store(200)
			if got := leaver.sendNotice(leaver.id, 2, 1, kqserver.Ready); got != 200 {
				t.Errorf("notice of the next start: got status %d, want 200", got)
			}
			f.awaitState(leaver, "its next server", func(s *kqmesh.State) bool { return s.ServerState == kqserver.Ready && s.Server.Born == 2 })
		})
	}
}

// TestHealthyAnswerOfAServerThatLeavesIsBelieved has a server that leaves answer to the
// health probe of a restarted node that it is healthy and, as in all its answers, that it
// leaves.
func TestHealthyAnswerOfAServerThatLeavesIsBelieved(t *testing.T) {
	f := newFleet(t)
	h := f.add("orders-1", "orders")
	f.writeRoutes(1, route("/buy/", "orders", true))
	f.serveAll(h)
	h.leaves.Store(true)
	f.restart(h)
	f.awaitState(h, "that the server leaves", func(s *kqmesh.State) bool { return s.ServerState == kqserver.Draining })
	if got := h.sendNotice(h.id, 1, 9, kqserver.Ready); got != 200 {
		t.Errorf("late notice: got status %d, want 200", got)
	}
	if got := h.node.State().ServerState; got != kqserver.Draining {
		t.Errorf("server state after a late notice: got %s, want Draining", got)
	}
}

// TestLeavingIsAcknowledgedThatNothingKeeps guards against an acknowledgement that
// ends with the process: neither the store nor another node has heard of it.
func TestLeavingIsAcknowledgedThatNothingKeeps(t *testing.T) {
	f := newFleet(t)
	h := f.add("orders-1", "orders")
	f.writeRoutes(1, route("/buy/", "orders", true))
	f.serveAll(h)
	f.store.SetFaults(kqobject.Faults{Down: true})
	if got := h.sendNotice(h.id, 1, 2, kqserver.Draining); got != 503 {
		t.Errorf("notice of leaving that nothing keeps: got status %d, want 503", got)
	}
	if got := h.node.State().ServerState; got != kqserver.Draining {
		t.Errorf("server state: got %s, want Draining, acknowledged or not", got)
	}
	f.store.SetFaults(kqobject.Faults{})
	f.awaitStored("orders-1", "Draining", drains)
	if got := h.sendNotice(h.id, 1, 3, kqserver.Draining); got != 200 {
		t.Errorf("notice of leaving that the store keeps: got status %d, want 200", got)
	}
}

// TestNodeUsesItsServerBeforeItKnowsItsFormerProcess restarts a node while neither the
// store nor a peer answers.
func TestNodeUsesItsServerBeforeItKnowsItsFormerProcess(t *testing.T) {
	f := newFleet(t)
	h := f.add("orders-1", "orders")
	f.writeRoutes(1, route("/buy/", "orders", true))
	f.serveAll(h)
	f.store.SetFaults(kqobject.Faults{Down: true})
	f.restart(h)
	h.reportState(kqserver.Ready)
	if got := h.node.State().ServerState; got != kqserver.Unknown {
		t.Errorf("server state before anything is known: got %s, want Unknown", got)
	}
	f.store.SetFaults(kqobject.Faults{})
	f.awaitState(h, "the notice that was held back", func(s *kqmesh.State) bool { return s.ServerState == kqserver.Ready })
}

// TestRecordThatContradictsADepartureIsUsed has a node whose former process told only
// its peers that the server leaves, and which hears of none of them when it starts,
// say that the server is ready. The peers must not use the server, and tell the node.
func TestRecordThatContradictsADepartureIsUsed(t *testing.T) {
	f := newFleet(t)
	entry, leaver := f.add("packs-1", "packs"), f.add("orders-1", "orders")
	other, third := f.add("orders-2", "orders"), f.add("orders-3", "orders")
	f.writeRoutes(1, route("/buy/", "orders", true))
	f.serveAll(entry, leaver, other, third)
	f.store.SetFaults(kqobject.Faults{Down: true})
	if got := leaver.sendNotice(leaver.id, 1, 3, kqserver.Draining); got != 200 {
		t.Fatalf("notice of leaving: got status %d, want 200", got)
	}
	leaver.node.Stop()
	f.store.SetFaults(kqobject.Faults{})
	// The restarted node sees no other node in the store until it has taken the notice.
	alone := *leaver.store
	alone.List = func(ctx context.Context, kind string) ([]kqstore.Object, string, error) {
		objects, version, err := leaver.store.List(ctx, kind)
		if kind == kqstore.KindHosts {
			objects = nil
		}
		return objects, version, err
	}
	restarted := &host{backend: leaver.backend, settings: leaver.settings, store: &alone, sequence: 1}
	restarted.settings.FirstStart = false
	f.start(restarted)
	restarted.reportState(kqserver.Ready)
	f.awaitState(restarted, "that the server leaves, from a peer", func(s *kqmesh.State) bool { return s.ServerState == kqserver.Draining })
	f.awaitStored("orders-1", "Draining", drains)
	f.awaitLogged("DepartureTold")
}

// TestSameIDStartsAgainAfterADeparture has a server come back under its ID, which no
// departure may keep from requests.
func TestSameIDStartsAgainAfterADeparture(t *testing.T) {
	f := newFleet(t)
	entry, gate := f.add("packs-1", "packs"), f.add("orders-1", "orders")
	f.startServing(entry, gate, route("/buy/", "orders", true))
	if got := gate.sendNotice(gate.id, 1, 2, kqserver.Gone); got != 200 {
		t.Fatalf("notice of leaving: got status %d, want 200", got)
	}
	f.awaitState(entry, "the departure", func(s *kqmesh.State) bool { return s.Hosts["orders-1"].ServerState == kqserver.Gone })
	if got := gate.sendNotice(gate.id, 2, 1, kqserver.Ready); got != 200 {
		t.Fatalf("notice of the next start: got status %d, want 200", got)
	}
	f.awaitConvergence(1, 2)
	if got := entry.request("POST", "/buy/", "b", "x"); got.status != 200 {
		t.Errorf("request to the next start: got %+v, want 200", got)
	}
}

// TestFormerBuildKeepsNoDeparture checks that a node of a build without departures
// does not count as one that keeps them.
func TestFormerBuildKeepsNoDeparture(t *testing.T) {
	f := newFleet(t)
	h := f.add("orders-1", "orders")
	f.writeRoutes(1, route("/buy/", "orders", true))
	f.addOldGate("orders-2", "orders", "")
	h.reportState(kqserver.Ready)
	f.awaitConvergence(1, 2)
	f.store.SetFaults(kqobject.Faults{Down: true})
	if got := h.sendNotice(h.id, 1, 2, kqserver.Draining); got != 503 {
		t.Errorf("notice of leaving beside a node of a former build: got status %d, want 503", got)
	}
}
