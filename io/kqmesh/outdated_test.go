package kqmesh_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqroutes"
	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqmesh"
	"kumquatlink/io/kqobject"
)

// writeTeams writes routes to one service, with teams.
func (f *fleet) writeTeams(version int64, teams []kqroutes.Team, routes ...kqroutes.Route) {
	f.t.Helper()
	d := kqroutes.Document{Version: version, Routes: routes, Teams: teams, Services: []kqroutes.Service{{Name: routes[0].Parts[0].Service, HealthPath: "/health"}}}
	value, err := json.Marshal(d)
	if err != nil {
		f.t.Fatal(err)
	}
	f.putRoutes(value)
}

// requestWithHeaders sends one request with further header fields over a connection
// of its own.
func (h *host) requestWithHeaders(path, id string, headers ...string) result {
	h.t.Helper()
	c, err := net.Dial("tcp", h.settings.CallerAddress)
	if err != nil {
		h.t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: shop\r\nKumquatlink-Request-Id: %s\r\n%s\r\n", path, id, strings.Join(append(headers, ""), "\r\n"))
	response := &fasthttp.Response{}
	if err := response.Read(bufio.NewReader(c)); err != nil {
		return result{body: "no answer"}
	}
	return result{response.StatusCode(), string(response.Body()), string(response.Header.Peek(fasthttp.HeaderRetryAfter))}
}

// TestUnknownKeyIsDeniedByANodeThatMayHaveMissedIt gives a key to a team while the store
// is away. A node that can't have heard of it must not say that no team holds the key:
// its caller would not ask again.
func TestUnknownKeyIsDeniedByANodeThatMayHaveMissedIt(t *testing.T) {
	f := newFleet(t)
	h := f.add("orders-1", "orders")
	h.reportState(kqserver.Ready)
	north := kqroutes.Team{Name: "north", Keys: []string{"old"}}
	f.writeTeams(1, []kqroutes.Team{north}, route("/look/", "orders", false))
	f.awaitConvergence(1, 1)
	f.awaitState(h, "its watch of the store", isWatching)
	awaitStatus := func(status int, key string) result {
		t.Helper()
		for begun := time.Now(); ; {
			got := h.requestWithHeaders("/look/", "new-key", kqmesh.HeaderTeamKey+": "+key)
			if got.status == status {
				return got
			}
			if time.Since(begun) > testTimeout {
				t.Fatalf("request with the key %q: got %+v within the test timeout, want status %d", key, got, status)
			}
		}
	}
	awaitStatus(401, "new")
	f.store.SetFaults(kqobject.Faults{Down: true})
	if got := awaitStatus(503, "new"); got.retryAfter == "" {
		t.Errorf("answer of a node that can't tell: got %+v, want one with Retry-After", got)
	}
	if got := h.requestWithHeaders("/look/", "known-key", kqmesh.HeaderTeamKey+": old"); got.status != 200 {
		t.Errorf("request with a known key while the store is away: got %+v, want 200", got)
	}
	f.store.SetFaults(kqobject.Faults{})
	north.Keys = append(north.Keys, "new")
	f.writeTeams(2, []kqroutes.Team{north}, route("/look/", "orders", false))
	awaitStatus(200, "new")
	awaitStatus(401, "other")
	if got := h.runCount("new-key"); got == 0 {
		t.Error("request with the new key: got no run, want one")
	}
}
