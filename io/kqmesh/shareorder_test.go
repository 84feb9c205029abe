package kqmesh_test

import (
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqfair"
	"kumquatlink/core/kqroutes"
	"kumquatlink/core/kqserver"
)

// awaitQueued waits until so many calls wait at the gate of the host.
func (h *host) awaitQueued(want int) {
	h.t.Helper()
	pause := time.NewTicker(10 * time.Millisecond)
	defer pause.Stop()
	for begun := time.Now(); h.node.Queued() != want; <-pause.C {
		if time.Since(begun) > testTimeout {
			h.t.Fatalf("calls that wait: got %d, want %d", h.node.Queued(), want)
		}
	}
}

// TestSmallTeamDoesNotWaitForALargeOne has requests of a large team wait for the slots of
// a server at another node, and then some of a small team. Those of the small team, which
// is within its share, run first.
func TestSmallTeamDoesNotWaitForALargeOne(t *testing.T) {
	const slots, large, small = 4, 8, 4
	f := newFleet(t)
	near, far := f.add("catalog-1", "catalog"), f.add("orders-1", "orders")
	f.writeTeamRoutes(kqroutes.Team{Name: "large", Keys: []string{"large-key"}}, kqroutes.Team{Name: "small", Keys: []string{"small-key"}})
	near.reportState(kqserver.Ready)
	far.reportState(kqserver.Ready)
	f.awaitConvergence(1, 2)
	near.node.SetDemand(kqfair.NewCurve([]float64{900, 20}), map[string]float64{"large": 900, "small": 20})

	release := make(chan struct{})
	far.holdAnswers(release)
	results := make(chan int, slots+large+small)
	send := func(team, prefix string, n int, low, high float64) {
		for i, sent := 0, 0; sent < n; i++ {
			id := prefix + strconv.Itoa(i)
			if hash := float64(kqfair.Order(nil, 0, id)) / math.MaxUint32; hash < low || hash >= high {
				continue
			}
			sent++
			go func() { results <- near.requestWithKey(team+"-key", id) }()
		}
	}
	send("large", "holder-", slots, 0, 1)
	for range slots {
		<-far.begun
	}
	// By their hashes, all of the large team would come before all of the small one.
	send("large", "large-", large, 0.5, 0.8)
	far.awaitQueued(large)
	send("small", "small-", small, 0.8, 1)
	far.awaitQueued(large + small)
	for i := range large + small {
		release <- struct{}{}
		id := <-far.begun
		if got, want := id[:6], "small-"; i < small && got != want {
			t.Errorf("run %d after the slots were full: got %s, want a request of the small team", i+1, id)
		}
	}
	close(release)
	for range slots + large + small {
		if got, want := <-results, fasthttp.StatusOK; got != want {
			t.Errorf("answer: got status %d, want %d", got, want)
		}
	}
}
