package kqmesh_test

import (
	"fmt"
	"net"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"
)

// stateStretch makes the backend server state how long work takes there.
func (b *backend) stateStretch() {
	b.stateInAnswers("Kumquatlink-Load: 1,0,8,100\r\n")
}

// TestFullGateHandsCallsBack fills the slots of a server through another entry, after
// the server has stated how long work takes there. Calls that must run once go to the
// server of another region; none waits.
func TestFullGateHandsCallsBack(t *testing.T) {
	const slots = 4
	f := newFleet(t)
	other, full, free := f.add("catalog-1", "catalog"), f.add("orders-1", "orders"), f.addIn("north", "orders-2", "orders")
	f.writeRoutes(1, route("/look/", "orders", true))
	f.serveAll(other, full, free)
	full.stateStretch()
	for _, id := range requestIDs("first-", slots) {
		if got := full.request("GET", "/look/", id, ""); got.status != fasthttp.StatusOK {
			t.Fatalf("request %s: got %+v, want 200", id, got)
		}
		<-full.begun
	}
	f.awaitLogged(`"EvenRouting"`)
	release := make(chan struct{})
	full.holdAnswers(release)
	var held sync.WaitGroup
	for _, id := range requestIDs("held-", slots) {
		held.Go(func() { other.request("GET", "/look/", id, "") })
	}
	for range slots {
		<-full.begun
	}
	const calls = 10
	for _, id := range requestIDs("later-", calls) {
		if got := full.request("GET", "/look/", id, ""); got.status != fasthttp.StatusOK {
			t.Errorf("request %s while the near server is full: got %+v, want 200", id, got)
		}
	}
	if got := free.totalRuns(); got != calls {
		t.Errorf("requests at the server that is free: got %d, want %d", got, calls)
	}
	f.awaitLogged(`"HandedBack"`)
	close(release)
	held.Wait()
}

// TestOnlyServerIsFull has a call wait although its entry lets gates hand calls back,
// since no other server is left.
func TestOnlyServerIsFull(t *testing.T) {
	const slots = 4
	f := newFleet(t)
	entry, server, gone := f.add("catalog-1", "catalog"), f.add("orders-1", "orders"), f.addIn("north", "orders-2", "orders")
	f.writeRoutes(1, route("/look/", "orders", true))
	f.serveAll(entry, server, gone)
	server.stateStretch()
	gone.setAnswer(func(c net.Conn, q *fasthttp.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nKumquatlink-Request-Id: %s\r\nKumquatlink-Shed: 1\r\nContent-Length: 0\r\n\r\n", q.Header.Peek("Kumquatlink-Request-Id"))
	})
	if got := entry.request("GET", "/look/", "first", ""); got.status != fasthttp.StatusOK {
		t.Fatalf("first request: got %+v, want 200", got)
	}
	<-server.begun
	release := make(chan struct{})
	server.holdAnswers(release)
	var held sync.WaitGroup
	for _, id := range requestIDs("held-", slots+1) {
		held.Go(func() {
			if got := entry.request("GET", "/look/", id, ""); got.status != fasthttp.StatusOK {
				t.Errorf("request %s: got %+v, want 200 once a slot is free", id, got)
			}
		})
	}
	for range slots {
		<-server.begun
	}
	f.awaitLogged(`"HandedBack"`)
	server.awaitQueued(1)
	close(release)
	held.Wait()
}

// TestGateKeepsCallsUnlessServersStateTheirPace is the same without such a statement:
// calls are served as before.
func TestGateKeepsCallsUnlessServersStateTheirPace(t *testing.T) {
	f := newFleet(t)
	near, far := f.add("orders-1", "orders"), f.addIn("north", "orders-2", "orders")
	f.writeRoutes(1, route("/look/", "orders", true))
	f.serveAll(near, far)
	near.stateInAnswers("Kumquatlink-Load: 1,0,8\r\n")
	for _, id := range requestIDs("first-", 20) {
		if got := near.request("GET", "/look/", id, ""); got.status != fasthttp.StatusOK {
			t.Fatalf("request %s: got %+v, want 200", id, got)
		}
	}
	for _, text := range []string{`"EvenRouting"`, `"HandedBack"`, `use 0.`} {
		if got := f.logCount(text); got != 0 {
			t.Errorf("log lines with %s: got %d, want none", text, got)
		}
	}
}
