package kqmesh_test

import (
	"context"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqclass"
	"kumquatlink/io/kqmesh"
)

// TestRequestTakenLateInAPlannedStopIsCutOff guards against a planned stop that takes
// requests which can't end before the node does, and then closes their connections:
// also such that may not be repeated. A request that was running before gets an
// answer, too.
func TestRequestTakenLateInAPlannedStopIsCutOff(t *testing.T) {
	f := newFleet(t)
	entry, gate := f.add("packs-1", "packs"), f.add("orders-1", "orders")
	other := f.add("catalog-1", "catalog")
	f.writeRoutes(1, route("/buy/", "orders", true), route("/look/", "catalog", false))
	f.serveAll(entry, gate, other)
	if got := entry.request("GET", "/look/", "before", ""); got.status != fasthttp.StatusOK {
		t.Fatalf("request before the stop: got %+v, want 200", got)
	}
	entry.settings.ShutdownTime = kqclass.Duration(2 * time.Second)
	entry.node.Retune(entry.settings.Tunables)
	gate.holdAnswers(make(chan struct{}))
	running := make(chan result, 1)
	go func() { running <- entry.request("POST", "/buy/", "running", "") }()
	for id := ""; id != "running"; id = <-gate.begun {
	}
	ended := make(chan error, 1)
	go func() { ended <- entry.node.Shutdown(context.Background()) }()
	f.awaitState(entry, "the stop", func(s *kqmesh.State) bool { return s.Leaving })
	if got := entry.request("GET", "/look/", "quick", ""); got.status != fasthttp.StatusOK {
		t.Errorf("request that ends in time: got %+v, want 200", got)
	}
	if got := entry.request("POST", "/buy/", "late", ""); got.status != fasthttp.StatusServiceUnavailable || got.retryAfter == "" {
		t.Errorf("request that may not end in time: got %+v, want 503 with Retry-After", got)
	}
	if got := gate.runCount("late"); got != 0 {
		t.Errorf("runs of the refused request: got %d, want 0", got)
	}
	if got := <-running; got.status != fasthttp.StatusBadGateway {
		t.Errorf("request that still ran at the end of the stop: got %+v, want 502", got)
	}
	if err := <-ended; err == nil {
		t.Error("stop that gave up a request: got no error, want one")
	}
}

// TestStoppedGateAnswersWhatItGaveUp stops the node beside the server that runs a
// request: its entry learns that the request was given up, not only that a link is lost.
func TestStoppedGateAnswersWhatItGaveUp(t *testing.T) {
	f := newFleet(t)
	entry, gate := f.add("packs-1", "packs"), f.add("orders-1", "orders")
	f.startServing(entry, gate, route("/buy/", "orders", true))
	gate.settings.ShutdownTime = kqclass.Duration(2 * time.Second)
	gate.node.Retune(gate.settings.Tunables)
	gate.holdAnswers(make(chan struct{}))
	running := make(chan result, 1)
	go func() { running <- entry.request("POST", "/buy/", "running", "") }()
	<-gate.begun
	_ = gate.node.Shutdown(context.Background())
	if got, want := <-running, (result{status: fasthttp.StatusBadGateway, body: "unknown: Draining\n"}); got != want {
		t.Errorf("request at the node that was stopped: got %+v, want %+v", got, want)
	}
}
