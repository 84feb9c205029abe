package kqnode_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqhome"
	"kumquatlink/io/kqbackend"
	"kumquatlink/io/kqfleet"
	"kumquatlink/io/kqwire"
)

// keyFleet is a fleet with two entries and several nodes of the service orders.
type keyFleet struct {
	*kqfleet.Fleet
	entries []*kqfleet.Member
	orders  []*kqfleet.Member
	// backend holds the settings of the service's backend servers.
	backend kqbackend.Settings
}

// startKeyFleet starts the fleet, and waits until its buckets are balanced over the
// given number of nodes of the service.
func startKeyFleet(ctx context.Context, t testing.TB, nodes int, backend kqbackend.Settings) *keyFleet {
	t.Helper()
	fleet := newFleet(ctx, t)
	f := &keyFleet{Fleet: fleet}
	for i := range 2 {
		m, err := fleet.AddNode(kqfleet.Place{NodeID: fmt.Sprintf("entry-%d", i), Region: "lothian", FailureDomain: "lothian-a"})
		if err != nil {
			t.Fatal(err)
		}
		f.entries = append(f.entries, m)
	}
	backend.Service = "orders"
	if backend.Slots == 0 {
		backend.Slots = 64
	}
	f.backend = backend
	if nodes == 0 {
		return f
	}
	f.addOrders(t, nodes)
	if err := fleet.AwaitServices(ctx, "orders"); err != nil {
		t.Fatal(err)
	}
	f.awaitKeyHomes(ctx, t, nodes)
	return f
}

// addOrders adds nodes of the service.
func (f *keyFleet) addOrders(t testing.TB, nodes int) {
	t.Helper()
	for range nodes {
		m, err := f.AddBackend(kqfleet.Place{NodeID: fmt.Sprintf("orders-%d", len(f.orders)), Region: "lothian", FailureDomain: "lothian-b"}, f.backend)
		if err != nil {
			t.Fatal(err)
		}
		f.orders = append(f.orders, m)
	}
}

// awaitKeyHomes waits until the tables of both entries spread the buckets evenly
// over the given number of nodes.
func (f *keyFleet) awaitKeyHomes(ctx context.Context, t testing.TB, nodes int) {
	t.Helper()
	share := (kqhome.Buckets + nodes - 1) / nodes
	eventually(ctx, t, "buckets are spread evenly", func() bool {
		for _, m := range f.entries {
			table, _ := m.Node.KeyHomes("orders")
			holders := map[string]int{}
			for _, token := range table.Tokens {
				if holders[token.Holder.NodeID]++; holders[token.Holder.NodeID] > share {
					return false
				}
			}
			if len(m.Node.State().Members.Upstreams("orders")) != nodes || len(holders) != nodes || holders[""] > 0 || len(table.Members) != nodes {
				return false
			}
		}
		return true
	})
}

// runs returns the number of runs of each key at all backend servers together.
func (f *keyFleet) runs() map[string]int {
	runs := map[string]int{}
	for _, m := range f.orders {
		for _, r := range m.Backend.Runs() {
			runs[r.Key]++
		}
	}
	return runs
}

// purchase returns a function that makes a request a purchase with the given key.
func purchase(key, body string) func(*fasthttp.Request) {
	return func(r *fasthttp.Request) {
		r.Header.SetMethod(fasthttp.MethodPost)
		r.Header.Set(kqwire.HeaderService, "orders")
		r.Header.Set(kqwire.HeaderClass, "purchase")
		r.Header.Set(kqwire.HeaderIdempotencyKey, key)
		r.SetBodyString(body)
	}
}

// outcomeAndCause returns the outcome and the cause in the header of an answer,
// with a blank between them.
func outcomeAndCause(r *fasthttp.Response) string {
	return string(r.Header.Peek(kqwire.HeaderOutcome)) + " " + string(r.Header.Peek(kqwire.HeaderCause))
}

func TestKeySentThroughTwoEntriesRunsOnce(t *testing.T) {
	ctx := testContext(t)
	f := startKeyFleet(ctx, t, 4, kqbackend.Settings{})
	for i := range 64 {
		key := fmt.Sprintf("key-%d", i)
		first := call(t, f.entries[0].Node.CallerAddress(), purchase(key, key))
		if got, want := outcomeAndCause(first), "ran Done"; got != want {
			t.Fatalf("first copy of %s: got %q, want %q", key, got, want)
		}
		second := call(t, f.entries[1].Node.CallerAddress(), purchase(key, key))
		if got, want := outcomeAndCause(second), "ran KeyReplayed"; got != want {
			t.Errorf("second copy of %s: got %q, want %q", key, got, want)
		}
		if got, want := string(second.Body()), string(first.Body()); got != want {
			t.Errorf("replayed body: got %q, want %q", got, want)
		}
		other := call(t, f.entries[1].Node.CallerAddress(), purchase(key, "another"))
		if got, want := outcomeAndCause(other), "not-run KeyMismatch"; got != want {
			t.Errorf("another request with %s: got %q, want %q", key, got, want)
		}
	}
	runs := f.runs()
	for i := range 64 {
		if got, want := runs[fmt.Sprintf("key-%d", i)], 1; got != want {
			t.Errorf("runs of key-%d: got %d, want %d", i, got, want)
		}
	}
}

func TestShutdownHandsOverKeysWhileStoreIsDown(t *testing.T) {
	ctx := testContext(t)
	f := startKeyFleet(ctx, t, 4, kqbackend.Settings{})
	for i := range 64 {
		call(t, f.entries[0].Node.CallerAddress(), purchase(fmt.Sprintf("key-%d", i), ""))
	}
	if err := f.Store.Close(); err != nil {
		t.Fatal(err)
	}
	if err := f.orders[1].Node.Shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	eventually(ctx, t, "the node that shut down is the home of no bucket", func() bool {
		table, _ := f.entries[1].Node.KeyHomes("orders")
		for b := range kqhome.Buckets {
			if table.Tokens[b].Holder.NodeID == "orders-1" {
				return false
			}
		}
		return true
	})
	for i := range 128 {
		want := "ran Done"
		if i < 64 {
			want = "ran KeyReplayed"
		}
		got := outcomeAndCause(call(t, f.entries[1].Node.CallerAddress(), purchase(fmt.Sprintf("key-%d", i), "")))
		if got != want {
			t.Errorf("key-%d after the handover: got %q, want %q", i, got, want)
		}
	}
}

func TestExplainReturnsDecisionsOfOneRequest(t *testing.T) {
	ctx := testContext(t)
	f := startKeyFleet(ctx, t, 3, kqbackend.Settings{})
	for _, id := range []string{"request-1", "request-2"} {
		call(t, f.entries[0].Node.CallerAddress(), func(r *fasthttp.Request) {
			purchase(id, "")(r)
			r.Header.Set(kqwire.HeaderRequestID, id)
		})
	}
	counts := map[string]int{}
	for _, m := range append(f.entries, f.orders...) {
		for _, d := range m.Node.Explain("request-1").Decisions {
			counts[d.Decision.Decision]++
		}
	}
	for name, want := range map[string]int{"Home": 1, "Route": 1, "Admit": 1, "Answer": 1} {
		if got := counts[name]; got != want {
			t.Errorf("%s decisions: got %d, want %d", name, got, want)
		}
	}
}
