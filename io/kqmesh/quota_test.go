package kqmesh_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqroutes"
	"kumquatlink/io/kqmesh"
)

// maxQuotaRequests bounds the requests that a test sends until one is refused.
const maxQuotaRequests = 4000

// writeNamedTeams writes a route, and teams each of whose key is its name.
func (f *fleet) writeNamedTeams(version int64, teams ...kqroutes.Team) {
	f.t.Helper()
	for i := range teams {
		teams[i].Keys = []string{teams[i].Name}
	}
	f.writeTeams(version, teams, route("/look/", "orders", false))
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
	f.writeNamedTeams(1, kqroutes.Team{Name: "limited", Rate: 1, Burst: 1}, kqroutes.Team{Name: "free"})
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
		f.writeNamedTeams(1, kqroutes.Team{Name: "limited", Rate: 1, Burst: 1})
		f.serveAll(f.hosts["orders-1"], f.hosts["orders-2"])
		left := f.hosts[[]string{"orders-2", "orders-1"}[i]]
		f.hosts[stopped].node.Stop()
		checkRetryAfter(t, f.awaitRefusal(left, "limited", "without-"+stopped))
	}
}
