package kqmesh_test

import (
	"fmt"
	"testing"
	"time"

	"kumquatlink/core/kqserver"
)

// TestNodeOfAnotherRegionIsNeverCalledAgain guards against an entry that refuses all
// requests for a service whose only node, in another region, was killed and is back at
// its former address.
func TestNodeOfAnotherRegionIsNeverCalledAgain(t *testing.T) {
	f := newFleet(t)
	entry, far := f.addIn("south", "packs-1", "packs"), f.addIn("north", "orders-1", "orders")
	f.startServing(entry, far, route("/buy/", "orders", true))
	if got, want := entry.request("POST", "/buy/", "before", "").status, 200; got != want {
		t.Fatalf("request before the kill: got status %d, want %d", got, want)
	}
	address := entry.node.State().Hosts["orders-1"].Address
	far.node.Stop()
	// The connection is lost, and two attempts to make another fail.
	for i := 0; f.logCount("PeerLost") < 3; i++ {
		if got := entry.request("POST", "/buy/", fmt.Sprint("away-", i), "").status; got == 200 {
			t.Fatalf("request while the node is away: got status %d, want a failure", got)
		}
	}
	far.settings.FirstStart, far.settings.PeerAddress = false, address
	f.startElsewhere(far)
	far.reportState(kqserver.Ready)
	pause := time.NewTicker(10 * time.Millisecond)
	defer pause.Stop()
	begun := time.Now()
	for i := 0; ; i++ {
		got := entry.request("POST", "/buy/", fmt.Sprint("after-", i), "")
		if got.status == 200 {
			return
		}
		if time.Since(begun) > testTimeout {
			t.Fatalf("request after the node is back: got %+v, want status 200", got)
		}
		<-pause.C
	}
}

// TestUpdatesEndWithTheConnectionToAPeer guards against a watcher that tells a node of
// its failure domain nothing more once the connection to it was lost: neither of the two
// has changed, and no call is sent there.
func TestUpdatesEndWithTheConnectionToAPeer(t *testing.T) {
	f := newFleet(t)
	f.writeRoutes(1, route("/look/", "orders", false))
	var hosts []*host
	links := map[string]*link{}
	for _, name := range []string{"orders-1", "orders-2", "orders-3"} {
		h, l := f.addBehindLink(name, "orders")
		hosts, links[name] = append(hosts, h), l
	}
	f.serveAll(hosts...)
	f.awaitLogged("node watches the store: true")
	for name, l := range links {
		lost, connected := f.logCount("PeerLost"), f.logCount("PeerConnected")
		l.cut()
		f.awaitLines(lost+1, "PeerLost")
		l.mend()
		f.awaitLines(connected+1, "PeerConnected")
		t.Logf("connections to %s are made again", name)
	}
}
