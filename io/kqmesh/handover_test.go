package kqmesh_test

import (
	"sync"
	"testing"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqserver"
)

// TestRequestsRunOnceDuringNodeHandover starts a new process of a node while the
// former one still runs, so that two nodes have the same backend server, and then
// stops the former one. Meanwhile requests are sent that must not run twice.
func TestRequestsRunOnceDuringNodeHandover(t *testing.T) {
	f := newFleet(t)
	entry, former := f.add("packs-1", "packs"), f.add("orders-1", "orders")
	f.startServing(entry, former, route("/buy/", "orders", true))
	later := &host{backend: former.backend, store: former.store, settings: former.settings}
	later.settings.FirstStart = false
	requests := requestIDs("buy-", 120)
	results := make([]result, len(requests))
	var callers sync.WaitGroup
	for i, id := range requests {
		switch i {
		case 40:
			f.startElsewhere(later)
			later.node.ApplyNotice(kqserver.Notice{ServerID: former.id, Service: "orders", Address: former.address(), Slots: 4, State: kqserver.Ready, Sequence: 9, Born: 1})
		case 80:
			former.node.Stop()
		}
		callers.Add(1)
		go func() {
			defer callers.Done()
			results[i] = entry.request("POST", "/buy/", id, "")
		}()
		if i%4 == 3 {
			callers.Wait()
		}
	}
	callers.Wait()
	served := 0
	for i, id := range requests {
		got, ran := results[i], former.runCount(id)
		if ran > 1 {
			t.Errorf("request %s: got it begun %d times, want once at most", id, ran)
		}
		if got.status == fasthttp.StatusServiceUnavailable && ran > 0 {
			t.Errorf("request %s: got 503 although it has run, want 503 only if it has not", id)
		}
		if got.status == fasthttp.StatusOK {
			served++
		}
	}
	if want := len(requests) / 2; served < want {
		t.Errorf("served: got %d of %d, want %d at least", served, len(requests), want)
	}
}
