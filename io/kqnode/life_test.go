package kqnode_test

import (
	"context"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqmember"
	"kumquatlink/io/kqbackend"
	"kumquatlink/io/kqfleet"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqnode"
	"kumquatlink/io/kqobject"
	"kumquatlink/io/kqwire"
)

// lifeFleet is a fleet with an entry and two nodes with backend servers of the
// service catalog.
type lifeFleet struct {
	*kqfleet.Fleet
	entry *kqfleet.Member
	nodes []*kqfleet.Member
	log   *logOutput
}

func newLifeFleet(t *testing.T, ctx context.Context) *lifeFleet {
	t.Helper()
	fleet, err := kqfleet.New()
	if err != nil {
		t.Fatal(err)
	}
	f := &lifeFleet{Fleet: fleet, log: &logOutput{}}
	t.Cleanup(func() { _ = fleet.Close() })
	if err := fleet.Configure(ctx, testClasses()); err != nil {
		t.Fatal(err)
	}
	if f.entry, err = fleet.AddNode(kqfleet.Place{NodeID: "entry-1", Region: "lothian", FailureDomain: "lothian-a"}); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"catalog-1", "catalog-2"} {
		log := kqlog.New(f.log, kqlog.WithNode(id, "lothian-b"))
		place := kqfleet.Place{NodeID: id, Region: "lothian", FailureDomain: "lothian-b"}
		m, err := fleet.AddBackend(place, kqbackend.Settings{Service: "catalog", Slots: 4}, kqnode.WithLog(log))
		if err != nil {
			t.Fatal(err)
		}
		f.nodes = append(f.nodes, m)
	}
	f.waitUpstreams(t, ctx, "catalog-1 catalog-2")
	return f
}

// waitUpstreams waits until the entry routes calls of the service to exactly the
// nodes in want, a list of IDs separated by blanks.
func (f *lifeFleet) waitUpstreams(t *testing.T, ctx context.Context, want string) {
	t.Helper()
	got := ""
	err := f.entry.Node.WaitFor(ctx, func(s *kqnode.State) bool {
		var names []string
		for _, r := range s.Members.Upstreams("catalog") {
			names = append(names, r.NodeID)
		}
		got = strings.Join(names, " ")
		return got == want && s.Classes != nil
	})
	if err != nil {
		t.Fatalf("upstreams: got %q, want %q: %v", got, want, err)
	}
}

// callCatalog makes a call through the entry and checks its outcome.
func (f *lifeFleet) callCatalog(t *testing.T, want string) {
	t.Helper()
	response := call(t, f.entry.Node.CallerAddress(), func(r *fasthttp.Request) { r.Header.Set(kqwire.HeaderService, "catalog") })
	if got := string(response.Header.Peek(kqwire.HeaderOutcome)); got != want {
		t.Errorf("outcome: got %q (%s), want %q", got, response.Header.Peek(kqwire.HeaderCause), want)
	}
}

func TestLeavingBackendServerGetsNoNewCallsUntilItIsReadyAgain(t *testing.T) {
	ctx := testContext(t)
	f := newLifeFleet(t, ctx)
	first := f.nodes[0]
	if err := first.Backend.Announce(kqwire.StateLeaving); err != nil {
		t.Fatal(err)
	}
	// The gate drains at once, before an entry can have received the new state.
	if err := first.Node.WaitFor(ctx, func(s *kqnode.State) bool { return s.Life == kqmember.LifeDraining }); err != nil {
		t.Fatal(err)
	}
	f.waitUpstreams(t, ctx, "catalog-2")
	ran := len(first.Backend.Runs())
	for range 10 {
		f.callCatalog(t, "ran")
	}
	if got, want := len(first.Backend.Runs()), ran; got != want {
		t.Errorf("runs at the leaving backend server: got %d, want %d", got, want)
	}
	if err := first.Backend.Announce(kqwire.StateReady); err != nil {
		t.Fatal(err)
	}
	f.waitUpstreams(t, ctx, "catalog-1 catalog-2")
}

func TestNodeOfAStoppedBackendServerIsNotReady(t *testing.T) {
	ctx := testContext(t)
	f := newLifeFleet(t, ctx)
	// The backend server stops without announcing that it leaves.
	if err := f.nodes[0].Backend.Close(); err != nil {
		t.Fatal(err)
	}
	f.waitUpstreams(t, ctx, "catalog-2")
	if got, want := f.nodes[0].Node.State().Life, kqmember.LifeJoining; got != want {
		t.Errorf("state of the node with a stopped backend server: got %s, want %s", got, want)
	}
}

func TestNodeThatShutsDownIsRemovedFromEveryView(t *testing.T) {
	ctx := testContext(t)
	f := newLifeFleet(t, ctx)
	if err := f.nodes[1].Node.Shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	f.Members = f.Members[:2]
	for _, m := range f.Members {
		err := m.Node.WaitFor(ctx, func(s *kqnode.State) bool {
			for _, r := range s.Members.Records {
				if r.NodeID == "catalog-2" {
					return false
				}
			}
			return true
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	f.callCatalog(t, "ran")
}

func TestNodeDrainsWhenALaterOneStartsWithItsID(t *testing.T) {
	ctx := testContext(t)
	f := newLifeFleet(t, ctx)
	if _, err := f.AddNode(kqfleet.Place{NodeID: "catalog-1", Region: "lothian", FailureDomain: "lothian-b"}); err != nil {
		t.Fatal(err)
	}
	if err := f.nodes[0].Node.WaitFor(ctx, func(s *kqnode.State) bool { return s.Life == kqmember.LifeDraining }); err != nil {
		t.Fatalf("the earlier node did not drain: %v", err)
	}
	f.waitUpstreams(t, ctx, "catalog-2")
	f.callCatalog(t, "ran")
}

func TestNodeStartedWhileTheStoreIsDownJoinsThroughPeers(t *testing.T) {
	ctx := testContext(t)
	f := newLifeFleet(t, ctx)
	f.Store.SetFaults(kqobject.Faults{Down: true})
	late, err := f.AddNode(kqfleet.Place{NodeID: "late-1", Region: "clyde", FailureDomain: "clyde-a"})
	if err != nil {
		t.Fatal(err)
	}
	err = late.Node.WaitFor(ctx, func(s *kqnode.State) bool {
		return s.Classes != nil && len(s.Members.Upstreams("catalog")) == 2
	})
	if err != nil {
		t.Fatalf("node did not join while the store is down: %v", err)
	}
}
