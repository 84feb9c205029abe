package kqmesh_test

import (
	"testing"
	"time"

	"kumquatlink/core/kqroutes"
	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqmesh"
	"kumquatlink/io/kqobject"
)

// TestOlderAndUnreadableRoutesAreRefused writes older and unreadable routes between newer
// ones, and newer ones with a faulty part, which are in force but for that part.
func TestOlderAndUnreadableRoutesAreRefused(t *testing.T) {
	f := newFleet(t)
	h := f.add("orders-1", "orders")
	h.reportState(kqserver.Ready)
	f.writeRoutes(5, route("/a/", "orders", false))
	f.awaitConvergence(5, 1)
	f.awaitState(h, "its watch of the store", isWatching)
	// Each document is awaited, since a node that opens its watch later sees only
	// the last one.
	f.writeRoutes(3, route("/b/", "orders", false))
	f.awaitLogged("routes of version 3 from the store are refused: version 5 is in force")
	f.putRoutes([]byte("[]"))
	f.awaitLogged("routes from the store can't be read")
	if got, want := h.node.State().Routes.Document().Version, int64(5); got != want {
		t.Errorf("routes in force after two that are refused: got version %d, want %d", got, want)
	}
	f.writeRoutes(6, route("/c/", "orders", false), kqroutes.Route{})
	f.awaitState(h, "version 6", func(s *kqmesh.State) bool { return s.Routes.Document().Version == 6 })
	f.awaitLogged("routes of version 6 from the store are in force but for 5 faults, the first: Routes[1].Host")
	if got := h.request("GET", "/c/", "c", ""); got.status != 200 {
		t.Errorf("request on a newer route: got %+v, want 200", got)
	}
}

func TestRoutesOfTheSameVersionWithAnotherTextAreLogged(t *testing.T) {
	f := newFleet(t)
	h := f.add("orders-1", "orders")
	f.writeRoutes(5, route("/a/", "orders", false))
	f.awaitState(h, "its watch of the store", func(s *kqmesh.State) bool { return s.Watching && s.Routes != nil })
	f.writeRoutes(5, route("/b/", "orders", false))
	f.awaitLogged("routes of version 5 from the store are refused: version 5 is in force")
}

// TestNodeWithoutStoreLearnsRoutesFromPeers gives newer routes to one node while
// the store is down. The other node must learn of them through its calls to the
// first.
func TestNodeWithoutStoreLearnsRoutesFromPeers(t *testing.T) {
	f := newFleet(t)
	disconnected, other := f.add("orders-1", "orders"), f.add("packs-1", "packs")
	disconnected.reportState(kqserver.Ready)
	other.reportState(kqserver.Ready)
	f.writeRoutes(1, route("/look/", "packs", false))
	f.awaitConvergence(1, 2)
	// The routes arrive at one node only, as if the store rejected the other.
	offered := kqroutes.Document{
		Version: 2, Routes: []kqroutes.Route{route("/look/", "packs", false), route("/more/", "packs", false)},
		Services: []kqroutes.Service{{Name: "packs"}},
	}
	f.store.SetFaults(kqobject.Faults{Down: true})
	if err := other.node.OfferRoutes(offered); err != nil {
		t.Fatal(err)
	}
	f.awaitState(other, "version 2", func(s *kqmesh.State) bool { return s.Routes.Document().Version == 2 })
	if got := disconnected.request("GET", "/look/", "a", ""); got.status != 200 {
		t.Fatalf("request to the peer: got %+v, want 200", got)
	}
	f.awaitState(disconnected, "version 2", func(s *kqmesh.State) bool { return s.Routes.Document().Version == 2 })
	if got := disconnected.request("GET", "/more/", "b", ""); got.status != 200 {
		t.Errorf("request on the newer route: got %+v, want 200", got)
	}
}

// TestTrafficContinuesWhileStoreIsDown takes the store down while the nodes keep
// running. A notice of draining from that time must reach the other node when
// the store is back.
func TestTrafficContinuesWhileStoreIsDown(t *testing.T) {
	f := newFleet(t)
	first, second := f.add("orders-1", "orders"), f.add("packs-1", "packs")
	first.reportState(kqserver.Ready)
	second.reportState(kqserver.Ready)
	f.writeRoutes(1, route("/look/", "packs", false))
	f.awaitConvergence(1, 2)
	f.store.SetFaults(kqobject.Faults{Down: true})
	for _, id := range requestIDs("r", 20) {
		if got := first.request("GET", "/look/", id, ""); got.status != 200 {
			t.Errorf("request %s: got %+v, want 200", id, got)
		}
	}
	if got := first.ready(); got != 200 {
		t.Errorf("ready while the store is down: got %d, want 200", got)
	}
	// The record that follows from this notice is written when the store is
	// back.
	if got := second.reportState(kqserver.Draining); got != kqserver.Taken {
		t.Errorf("notice while the store is down: got %s, want Taken", got)
	}
	f.store.SetFaults(kqobject.Faults{})
	f.awaitState(first, "no upstream", func(s *kqmesh.State) bool { return s.Upstreams["packs"] == nil })
}

// TestRemovedRecordIsWrittenAgain deletes the record of a running node from the
// store.
func TestRemovedRecordIsWrittenAgain(t *testing.T) {
	f := newFleet(t)
	h := f.add("orders-1", "orders")
	h.reportState(kqserver.Ready)
	f.writeRoutes(1, route("/look/", "orders", false))
	f.awaitConvergence(1, 1)
	f.removeRecord("orders-1")
	f.awaitConvergence(1, 1)
	f.awaitState(h, "its record", func(s *kqmesh.State) bool { return s.Hosts["orders-1"].NodeID != "" && f.holdsRecord("orders-1") })
}

// TestNodeStartedWithoutStoreLearnsFromPeers restarts a node while the store is
// down. It must get the routes and the list of nodes from a peer that calls it.
func TestNodeStartedWithoutStoreLearnsFromPeers(t *testing.T) {
	f := newFleet(t)
	first, second := f.add("orders-1", "orders"), f.add("packs-1", "packs")
	first.reportState(kqserver.Ready)
	second.reportState(kqserver.Ready)
	f.writeRoutes(1, route("/buy/", "orders", false), route("/look/", "packs", false))
	f.awaitConvergence(1, 2)
	f.store.SetFaults(kqobject.Faults{Down: true})
	address := first.node.State().Hosts["orders-1"].Address
	first.node.Stop()
	first.settings.PeerAddress = address
	f.start(first)
	first.sequence++
	first.reportState(kqserver.Ready)
	// The node learns of its peer when that calls it.
	known := func(s *kqmesh.State) bool { return s.Routes != nil && s.Upstreams["packs"] != nil }
	for begun := time.Now(); !known(first.node.State()); {
		second.request("GET", "/buy/", "knock", "")
		if time.Since(begun) > testTimeout {
			t.Fatalf("state of the node without the store: got %+v, want routes and its peer as upstream", first.node.State())
		}
	}
	if got := first.request("GET", "/look/", "after", ""); got.status != 200 {
		t.Errorf("request to the peer: got %+v, want 200", got)
	}
	if got := first.ready(); got != 200 {
		t.Errorf("ready without the store: got %d, want 200", got)
	}
}
