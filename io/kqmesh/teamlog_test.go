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
)

// requestWithKey sends a request with a team's key, and with a name of a team that the
// caller made up, over a new connection. It returns the status of the answer.
func (h *host) requestWithKey(key, id string) int {
	h.t.Helper()
	c, err := net.Dial("tcp", h.settings.CallerAddress)
	if err != nil {
		h.t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = fmt.Fprintf(c, "GET /buy/ HTTP/1.1\r\nHost: shop\r\nKumquatlink-Request-Id: %s\r\n%s: %s\r\n%s: made-up\r\nContent-Length: 0\r\n\r\n",
		id, kqmesh.HeaderTeamKey, key, kqmesh.HeaderTeam)
	response := &fasthttp.Response{}
	if err := response.Read(bufio.NewReader(c)); err != nil {
		h.t.Fatal(err)
	}
	return response.StatusCode()
}

// writeTeamRoutes writes the first routes to the store: one to the service orders, whose
// requests must not run twice, and teams.
func (f *fleet) writeTeamRoutes(teams ...kqroutes.Team) {
	f.t.Helper()
	value, err := json.Marshal(kqroutes.Document{
		Version: 1, Routes: []kqroutes.Route{route("/buy/", "orders", true)},
		Services: []kqroutes.Service{{Name: "orders", HealthPath: "/health"}}, Teams: teams,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.putRoutes(value)
}

// TestLogsNameTeamsAndNeverKeys sends requests with a key that a team holds and with one
// that no team holds, and checks what the server and the logs have of them.
func TestLogsNameTeamsAndNeverKeys(t *testing.T) {
	const key, unknown = "key-of-harbour-shop", "key-of-nobody"
	f := newFleet(t)
	near, far := f.add("catalog-1", "catalog"), f.add("orders-1", "orders")
	f.writeTeamRoutes(kqroutes.Team{Name: "harbour-shop", Keys: []string{key}})
	near.reportState(kqserver.Ready)
	far.reportState(kqserver.Ready)
	f.awaitConvergence(1, 2)

	if got, want := near.requestWithKey(key, "known-1"), fasthttp.StatusOK; got != want {
		t.Errorf("request with the key of a team: got status %d, want %d", got, want)
	}
	if got, want := far.header(kqmesh.HeaderTeam), "harbour-shop"; got != want {
		t.Errorf("team that the server got: got %q, want %q", got, want)
	}
	if got, want := far.header(kqmesh.HeaderTeamKey), ""; got != want {
		t.Errorf("key that the server got: got %q, want none", got)
	}
	// A node that has not heard from the store yet can't tell that the key is unknown.
	got, begun := fasthttp.StatusServiceUnavailable, time.Now()
	for got == fasthttp.StatusServiceUnavailable && time.Since(begun) < testTimeout {
		got = near.requestWithKey(unknown, "unknown-1")
	}
	if want := fasthttp.StatusUnauthorized; got != want {
		t.Errorf("request with an unknown key: got status %d, want %d", got, want)
	}
	if got, want := far.runCount("unknown-1"), 0; got != want {
		t.Errorf("runs of the request with an unknown key: got %d, want %d", got, want)
	}
	f.awaitLogged(`"Team":"harbour-shop"`)
	f.awaitLogged(`"Cause":"UnknownKey"`)
	for _, secret := range []string{key, unknown} {
		if strings.Contains(f.logged(), secret) {
			t.Errorf("log: got key %s, want no key", secret)
		}
	}
}
