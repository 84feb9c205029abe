package kqnode_test

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqbackend"
	"kumquatlink/io/kqfleet"
)

// received returns how many calls a stand-in has received.
func received(b *kqbackend.Backend) int {
	return len(b.Runs()) + len(b.Sheds())
}

// startEntryAndTwoServers starts an entry and two nodes with a backend server of
// the service catalog each.
func startEntryAndTwoServers(t *testing.T) (entry, first *kqfleet.Member) {
	t.Helper()
	ctx := testContext(t)
	fleet := newFleet(ctx, t)
	place := func(name string) kqfleet.Place {
		return kqfleet.Place{NodeID: name, Region: "lothian", FailureDomain: "lothian-a"}
	}
	entry, err := fleet.AddNode(place("entry-1"))
	if err != nil {
		t.Fatal(err)
	}
	servers := []*kqfleet.Member{}
	for _, name := range []string{"catalog-1", "catalog-2"} {
		m, err := fleet.AddBackend(place(name), kqbackend.Settings{Service: "catalog", Slots: 16, ServiceTime: time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		servers = append(servers, m)
	}
	if err := fleet.AwaitServices(ctx, "catalog"); err != nil {
		t.Fatal(err)
	}
	eventually(ctx, t, "both servers to take calls", func() bool {
		call(t, entry.Node.CallerAddress(), browse)
		return received(servers[0].Backend) > 0 && received(servers[1].Backend) > 0
	})
	return entry, servers[0]
}

// TestServerGetsMoreCallsThanItsLimit sends calls to two servers, one of which
// names a limit. The other has room for all of them.
func TestServerGetsMoreCallsThanItsLimit(t *testing.T) {
	const limit, calls = 2.0, 200
	entry, limited := startEntryAndTwoServers(t)
	before := received(limited.Backend)
	limited.Backend.SetFaults(kqbackend.Faults{RateLimit: limit})
	begun := time.Now()
	for i := range calls {
		if got, want := outcomeAndCause(call(t, entry.Node.CallerAddress(), browse)), "ran Done"; got != want {
			t.Errorf("call %d while a server has room: got %s, want %s", i, got, want)
		}
	}
	// The users' bound: one and a half times the limit and 5 more in 4 s.
	bound := int(1.5*limit*max(4, time.Since(begun).Seconds())) + 5
	if got := received(limited.Backend) - before; got > bound {
		t.Errorf("calls that the limited server got: got %d, want at most %d", got, bound)
	}
}

// TestLeavingStatedInAnAnswerIsIgnored has a server say in its answers that it
// leaves, but not to its node.
func TestLeavingStatedInAnAnswerIsIgnored(t *testing.T) {
	entry, leaving := startEntryAndTwoServers(t)
	leaving.Backend.SetFaults(kqbackend.Faults{Leaving: true})
	ctx := testContext(t)
	eventually(ctx, t, "the nodes to pass over the server", func() bool {
		call(t, entry.Node.CallerAddress(), browse)
		return len(entry.Node.State().Members.Upstreams("catalog")) == 1
	})
	before := received(leaving.Backend)
	for range 50 {
		if got, want := call(t, entry.Node.CallerAddress(), browse).StatusCode(), fasthttp.StatusOK; got != want {
			t.Errorf("call after the answer: got %d, want %d of the other server", got, want)
		}
	}
	if got := received(leaving.Backend) - before; got != 0 {
		t.Errorf("calls that the leaving server got: got %d, want 0", got)
	}
}
