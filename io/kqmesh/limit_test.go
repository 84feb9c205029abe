package kqmesh_test

import (
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqmesh"
)

// The users' bound on the requests that reach a server which names a limit: the
// factor of the limit and the number of requests beyond it, in a window.
const (
	boundFactor = 1.5
	boundExtra  = 5
	boundWindow = 4 * time.Second
)

// mayGet returns how many requests a server that names a limit may get since a
// time.
func mayGet(limit float64, since time.Time) int {
	return int(boundFactor*limit*max(time.Since(since), boundWindow).Seconds()) + boundExtra
}

// stateInAnswers makes the backend server answer with additional header lines.
func (b *backend) stateInAnswers(headers string) {
	b.setAnswer(func(c net.Conn, q *fasthttp.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nKumquatlink-Request-Id: %s\r\n%sContent-Length: 0\r\n\r\n", q.Header.Peek("Kumquatlink-Request-Id"), headers)
	})
}

// nameLimit makes the backend server name a limit in its answers.
func (b *backend) nameLimit(limit float64) {
	b.stateInAnswers("Kumquatlink-Rate-Limit: " + strconv.FormatFloat(limit, 'f', -1, 64) + "\r\n")
}

// totalRuns returns how many requests the backend server has begun.
func (b *backend) totalRuns() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	total := 0
	for _, n := range b.runs {
		total += n
	}
	return total
}

// TestServerGetsMoreRequestsThanItsLimit sends requests from two entries, which
// the limited server's neighbor has room for.
func TestServerGetsMoreRequestsThanItsLimit(t *testing.T) {
	const limit, rounds = 2.0, 60
	f := newFleet(t)
	first, limited, free := f.add("catalog-1", "catalog"), f.add("orders-1", "orders"), f.add("orders-2", "orders")
	f.writeRoutes(1, route("/look/", "orders", false), route("/buy/", "orders", true))
	f.serveAll(first, limited, free)
	limited.nameLimit(limit)
	begun := time.Now()
	for i := range rounds {
		for _, entry := range []*host{first, limited} {
			for _, path := range []string{"/look/", "/buy/"} {
				id := fmt.Sprintf("%s-%s-%d", entry.settings.NodeID, path[1:4], i)
				if got := entry.request("GET", path, id, ""); got.status != fasthttp.StatusOK {
					t.Fatalf("request %s while a server has room: got %+v, want 200", id, got)
				}
			}
		}
	}
	if got, want := limited.totalRuns(), mayGet(limit, begun); got > want {
		t.Errorf("requests that the limited server got: got %d, want at most %d", got, want)
	}
}

// TestLeavingStatedInAnAnswerIsIgnored sends requests after an answer has said
// that its server leaves.
func TestLeavingStatedInAnAnswerIsIgnored(t *testing.T) {
	f := newFleet(t)
	entry, leaving, other := f.add("catalog-1", "catalog"), f.add("orders-1", "orders"), f.addIn("north", "orders-2", "orders")
	f.writeRoutes(1, route("/look/", "orders", false))
	f.serveAll(entry, leaving, other)
	leaving.stateInAnswers("Kumquatlink-Leaving: 1\r\n")
	if got := entry.request("GET", "/look/", "told", ""); got.status != fasthttp.StatusOK || leaving.runCount("told") != 1 {
		t.Fatalf("request to the server that leaves: got %+v, run there %d times, want 200 and 1", got, leaving.runCount("told"))
	}
	for _, id := range requestIDs("later-", 20) {
		if got := entry.request("GET", "/look/", id, ""); got.status != fasthttp.StatusOK {
			t.Errorf("request %s after the answer: got %+v, want 200 of the other server", id, got)
		}
	}
	if got, want := leaving.totalRuns(), 1; got != want {
		t.Errorf("requests that the leaving server got: got %d, want %d", got, want)
	}
	if got, want := leaving.reportState(kqserver.Ready), kqserver.Over; got != want {
		t.Errorf("notice of the leaving server that it is ready: got %s, want %s", got, want)
	}
	f.awaitState(entry, "the record of the server that leaves", func(s *kqmesh.State) bool { return s.Hosts["orders-1"].ServerState == kqserver.Draining })
}

// TestRestartedServerIsHeldToItsFormerLimit restarts a server under its former ID
// and has it name no limit.
func TestRestartedServerIsHeldToItsFormerLimit(t *testing.T) {
	f := newFleet(t)
	entry, server := f.add("catalog-1", "catalog"), f.add("orders-1", "orders")
	f.startServing(entry, server, route("/look/", "orders", false))
	server.nameLimit(0)
	if got := entry.request("GET", "/look/", "named", ""); got.status != fasthttp.StatusOK {
		t.Fatalf("request at which the limit is named: got %+v, want 200", got)
	}
	if got := entry.request("GET", "/look/", "over", ""); got.status != fasthttp.StatusServiceUnavailable || got.retryAfter == "" || server.runCount("over") != 0 {
		t.Errorf("request over the limit: got %+v, run %d times, want 503 with Retry-After and none", got, server.runCount("over"))
	}
	server.setAnswer(nil)
	server.node.ApplyNotice(kqserver.Notice{ServerID: server.id, Service: "orders", Address: server.address(), Slots: 4, State: kqserver.Ready, Sequence: 1, Born: 2})
	for _, id := range requestIDs("after-", 20) {
		if got := entry.request("GET", "/look/", id, ""); got.status != fasthttp.StatusOK {
			t.Errorf("request %s after the server's restart: got %+v, want 200", id, got)
		}
	}
}

// TestRestartedNodeForgetsTheLimitOfItsServer restarts the node of a limited
// server while many calls for it come in at once.
func TestRestartedNodeForgetsTheLimitOfItsServer(t *testing.T) {
	const limit, burst = 0.5, 40
	f := newFleet(t)
	entry, limited := f.add("catalog-1", "catalog"), f.add("orders-1", "orders")
	f.startServing(entry, limited, route("/look/", "orders", false))
	limited.nameLimit(limit)
	begun := time.Now()
	if got := entry.request("GET", "/look/", "named", ""); got.status != fasthttp.StatusOK {
		t.Fatalf("request at which the limit is named: got %+v, want 200", got)
	}
	<-limited.begun
	former := limited.node.State().Hosts["orders-1"].Incarnation
	limited.node.Stop()
	limited.settings.FirstStart = false
	release := make(chan struct{})
	limited.holdAnswers(release)
	f.start(limited)
	f.awaitState(limited, "routes", func(s *kqmesh.State) bool { return s.Routes != nil })
	limited.node.ApplyNotice(kqserver.Notice{ServerID: limited.id, Service: "orders", Address: limited.address(), Slots: burst, State: kqserver.Ready, Sequence: 9, Born: 1})
	f.awaitState(entry, "the record of the new process", func(s *kqmesh.State) bool {
		return s.Hosts["orders-1"].Incarnation > former && s.Hosts["orders-1"].ServerState == kqserver.Ready
	})
	answered := make(chan result, burst)
	for _, id := range requestIDs("burst-", burst) {
		go func() { answered <- entry.request("GET", "/look/", id, "") }()
	}
	for range burst {
		select {
		case <-limited.begun:
		case r := <-answered:
			if r.status != fasthttp.StatusServiceUnavailable {
				t.Errorf("request that the server did not get: got %+v, want 503", r)
			}
		}
	}
	if got, want := limited.totalRuns(), mayGet(limit, begun); got > want {
		t.Errorf("requests that the limited server got around the restart: got %d, want at most %d", got, want)
	}
	close(release)
}
