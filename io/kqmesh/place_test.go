package kqmesh_test

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqserver"
)

// TestFullRegionSpillsOverToAnother checks that a request is sent to another
// region while all slots of the entry's own region are taken.
func TestFullRegionSpillsOverToAnother(t *testing.T) {
	f := newFleet(t)
	entry, near := f.add("catalog-1", "catalog"), f.add("orders-1", "orders")
	far := f.addIn("north", "orders-2", "orders")
	short := route("/buy/", "orders", true)
	short.Timeout = kqclass.Duration(2 * time.Second)
	f.writeRoutes(1, short, route("/hold/", "orders", true))
	for _, h := range []*host{entry, near, far} {
		h.reportState(kqserver.Ready)
	}
	f.awaitConvergence(1, 3)
	if got := entry.request("POST", "/buy/", "first-1", ""); got.status != fasthttp.StatusOK || near.runCount("first-1") != 1 {
		t.Fatalf("request while the own region is free: got %+v, run there %d times, want 200 and 1", got, near.runCount("first-1"))
	}
	<-near.begun
	release := make(chan struct{})
	near.holdAnswers(release)
	results := make(chan result, 4)
	for _, id := range requestIDs("holder-", cap(results)) {
		go func() { results <- entry.request("POST", "/hold/", id, "") }()
	}
	for range cap(results) {
		<-near.begun
	}
	if got := entry.request("POST", "/buy/", "spilled-1", ""); got.status != fasthttp.StatusOK {
		t.Errorf("request while only another region has room: got %+v, want 200", got)
	}
	if got, want := far.runCount("spilled-1"), 1; got != want {
		t.Errorf("runs in the other region: got %d, want %d", got, want)
	}
	close(release)
	for range cap(results) {
		<-results
	}
}

// TestLogSaysThatTheRepeatBudgetIsSpent checks that a request whose connection
// the server closes is not sent to another server while the budget of repeats is
// empty, and that the log says why.
func TestLogSaysThatTheRepeatBudgetIsSpent(t *testing.T) {
	f := newFleet(t)
	entry, broken, sound := f.add("catalog-1", "catalog"), f.add("orders-1", "orders"), f.addIn("north", "orders-2", "orders")
	f.writeRoutes(1, route("/look/", "orders", false))
	for _, h := range []*host{entry, broken, sound} {
		h.reportState(kqserver.Ready)
	}
	f.awaitConvergence(1, 3)
	none := entry.settings.Tunables
	none.RepeatRatio, none.RepeatSlack = 0, 0
	entry.node.Retune(none)
	broken.setAnswer(func(c net.Conn, _ *fasthttp.Request) { _ = c.Close() })
	if got := entry.request("GET", "/look/", "spent-1", ""); got.status != fasthttp.StatusBadGateway {
		t.Errorf("lost request while the budget of repeats is empty: got %+v, want 502", got)
	}
	if got, want := sound.runCount("spent-1"), 0; got != want {
		t.Errorf("runs at the other server: got %d, want %d", got, want)
	}
	f.awaitLogged("the repeats of the moment are spent")
}
