package kqmesh_test

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqroutes"
	"kumquatlink/io/kqmesh"
	"kumquatlink/io/kqwire"
)

// maxQuotaRequests bounds the requests that a test sends until one is refused.
const maxQuotaRequests = 4000

// writeNamedTeams writes the first routes, and teams each of whose key is its name.
func (f *fleet) writeNamedTeams(teams ...kqroutes.Team) {
	f.t.Helper()
	for i := range teams {
		teams[i].Keys = []string{teams[i].Name}
	}
	f.writeTeams(1, teams, route("/look/", "orders", false))
}

// requestAs sends a request with a key to the node.
func (h *host) requestAs(key, id string) result {
	h.t.Helper()
	return h.requestWithHeaders("/look/", id, kqmesh.HeaderTeamKey+": "+key)
}

// awaitRefusal sends requests of a team until the node answers one with 429.
func (f *fleet) awaitRefusal(h *host, team, id string) result {
	f.t.Helper()
	for i := range maxQuotaRequests {
		if got := h.requestAs(team, fmt.Sprintf("%s-%d", id, i)); got.status == fasthttp.StatusTooManyRequests {
			return got
		} else if got.status != fasthttp.StatusOK {
			f.t.Fatalf("request of team %s at %s: got %+v, want 200 or 429", team, h.settings.NodeID, got)
		}
	}
	f.t.Fatalf("requests of team %s at %s: got no 429 among %d", team, h.settings.NodeID, maxQuotaRequests)
	return result{}
}

// checkRetryAfter checks that a refusal says when to come back.
func checkRetryAfter(t *testing.T, got result) {
	t.Helper()
	if after, err := strconv.ParseFloat(got.retryAfter, 64); err != nil || after <= 0 {
		t.Errorf("refusal beyond the quota: got Retry-After %q, want a positive number of seconds", got.retryAfter)
	}
}

// TestTeamBeyondItsQuotaIsRefused sends more requests of a team than its quota at one
// node, and then one at the other.
func TestTeamBeyondItsQuotaIsRefused(t *testing.T) {
	f := newFleet(t)
	first, second := f.add("orders-1", "orders"), f.add("orders-2", "orders")
	f.writeNamedTeams(kqroutes.Team{Name: "limited", Rate: 1, Burst: 1}, kqroutes.Team{Name: "free"})
	f.serveAll(first, second)
	checkRetryAfter(t, f.awaitRefusal(first, "limited", "first"))
	checkRetryAfter(t, f.awaitRefusal(second, "limited", "second"))
	f.awaitLogged("team limited sends")
	for _, h := range []*host{first, second} {
		if got := h.requestAs("free", "free-"+h.settings.NodeID); got.status != fasthttp.StatusOK {
			t.Errorf("request of a team without a quota at %s: got %+v, want 200", h.settings.NodeID, got)
		}
	}
}

// TestQuotaIsHeldWithoutItsHome stops each of two nodes in turn, one of which is the
// home of the team. The other one must hold the quota.
func TestQuotaIsHeldWithoutItsHome(t *testing.T) {
	for i, stopped := range []string{"orders-1", "orders-2"} {
		f := newFleet(t)
		f.add("orders-1", "orders")
		f.add("orders-2", "orders")
		f.writeNamedTeams(kqroutes.Team{Name: "limited", Rate: 1, Burst: 1})
		f.serveAll(f.hosts["orders-1"], f.hosts["orders-2"])
		left := f.hosts[[]string{"orders-2", "orders-1"}[i]]
		f.hosts[stopped].node.Stop()
		checkRetryAfter(t, f.awaitRefusal(left, "limited", "without-"+stopped))
	}
}

// TestRequestThatComesDuringAnotherIsCounted sends requests of a team while the server
// beside the node runs another one that has the same deadline. They carry a key, so they
// can't be calls that the server makes, and count like all others.
func TestRequestThatComesDuringAnotherIsCounted(t *testing.T) {
	const requests = 100
	f := newFleet(t)
	h := f.add("orders-1", "orders")
	limited := kqroutes.Team{Name: "limited", Rate: 1, Burst: 1}
	f.writeNamedTeams(limited)
	f.serveAll(h)
	begun := time.Now()
	ends, release := make(chan time.Time, 1), make(chan struct{})
	h.setAnswer(func(c net.Conn, q *fasthttp.Request) {
		if string(q.Header.Peek("Kumquatlink-Request-Id")) == "first" {
			left, _ := strconv.Atoi(string(q.Header.Peek(kqwire.HeaderBudget)))
			ends <- time.Now().Add(time.Duration(left) * time.Millisecond)
			<-release
		}
		echo(c, q)
	})
	first := make(chan result, 1)
	go func() { first <- h.requestAs("limited", "first") }()
	deadline := <-ends
	admitted := 1
	for i := range requests {
		left := fmt.Sprintf(kqwire.HeaderBudget+": %d", time.Until(deadline).Milliseconds())
		got := h.requestWithHeaders("/look/b", fmt.Sprintf("during-%d", i), kqmesh.HeaderTeamKey+": limited", left)
		if got.status == fasthttp.StatusOK {
			admitted++
		}
	}
	close(release)
	if got := <-first; got.status != fasthttp.StatusOK {
		t.Errorf("first request: got %+v, want 200", got)
	}
	if want := quotaBound(limited, time.Since(begun)); admitted > want {
		t.Errorf("requests during another one that ran: got %d of %d, want at most %d", admitted, requests+1, want)
	}
}

// fail answers a request with status 500.
func fail(c net.Conn, q *fasthttp.Request) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 500 Failed\r\nKumquatlink-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", q.Header.Peek(kqwire.HeaderRequestID))
}

// requestSteadily sends n requests of the team limited one after the other, at most 50 a second, and
// returns at the first answer with another status.
func (h *host) requestSteadily(id string, n, want int) (result, bool) {
	h.t.Helper()
	pause := time.NewTicker(20 * time.Millisecond)
	defer pause.Stop()
	for i := range n {
		<-pause.C
		if got := h.requestAs("limited", fmt.Sprintf("%s-%d", id, i)); got.status != want {
			return got, false
		}
	}
	return result{}, true
}

// awaitSteady sends requests of the team limited until a home that knows all entries admits them.
func (h *host) awaitSteady() {
	h.t.Helper()
	for i, begun := 0, time.Now(); ; i++ {
		got, ok := h.requestSteadily(fmt.Sprintf("first-%d", i), 50, fasthttp.StatusOK)
		if ok {
			return
		}
		if time.Since(begun) > testTimeout {
			h.t.Fatalf("request within the quota: got %+v, want 200", got)
		}
	}
}

// TestRequestWithoutAFurtherServerIsCountedTwice sends requests that fail at the one server
// there is.
func TestRequestWithoutAFurtherServerIsCountedTwice(t *testing.T) {
	f := newFleet(t)
	h := f.add("orders-1", "orders")
	f.writeNamedTeams(kqroutes.Team{Name: "limited", Rate: 70, Burst: 70})
	f.serveAll(h)
	h.awaitSteady()
	h.setAnswer(fail)
	if got, ok := h.requestSteadily("failed", 250, fasthttp.StatusInternalServerError); !ok {
		t.Errorf("request within the quota that one server has run: got %+v, want 500", got)
	}
}

// quotaBound returns how many requests of a team may run in a time.
func quotaBound(team kqroutes.Team, d time.Duration) int {
	return int((team.Rate*d.Seconds()+team.Burst)*1.1) + 20
}

// TestNodesChooseTheSameHomes checks the hosts among which nodes choose homes, that of a
// node whose own record is gone or unknown as well.
func TestNodesChooseTheSameHomes(t *testing.T) {
	hosts := map[string]kqmesh.HostRecord{}
	for name, life := range map[string]kqmember.Life{"a": kqmember.LifeServing, "b": kqmember.LifeDraining, "c": kqmember.LifeGone} {
		r := kqmesh.HostRecord{NodeID: name}
		r.Life = life
		hosts[name] = r
	}
	for _, self := range []string{"a", "b", "c", "unknown"} {
		got := kqmesh.HomeHosts(hosts, self)
		slices.Sort(got)
		if want := []string{"a", "b"}; !slices.Equal(got, want) {
			t.Errorf("hosts among which %s chooses homes: got %v, want %v", self, got, want)
		}
	}
	if got, want := kqmesh.HomeHosts(nil, "a"), []string{"a"}; !slices.Equal(got, want) {
		t.Errorf("hosts among which a node that knows none chooses homes: got %v, want %v", got, want)
	}
}
