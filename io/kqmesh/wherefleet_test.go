package kqmesh_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqroutes"
	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqmesh"
	"kumquatlink/io/kqstore"
)

// askWhere asks the node where a request of a team would go.
func (h *host) askWhere(q kqmesh.WhereQuery) kqmesh.Where {
	h.t.Helper()
	status, body, err := fasthttp.Get(nil, "http://"+h.settings.MetricsAddress+q.URL())
	if err != nil || status != fasthttp.StatusOK {
		h.t.Fatalf("question to %s: got status %d and %v, want 200", h.settings.NodeID, status, err)
	}
	var x kqmesh.Where
	if err := json.Unmarshal(body, &x); err != nil {
		h.t.Fatal(err)
	}
	return x
}

// TestWhereOfRunningNodes asks a node of another service about a request, sends it, and
// asks again after the only server has begun to drain. Nothing that is asked reaches the
// server or another node, or is counted.
func TestWhereOfRunningNodes(t *testing.T) {
	const questions = 200
	f := newFleet(t)
	server := f.add("orders-1", "orders")
	entry := &host{backend: newBackend(t, "i-packs-1"), store: kqstore.NewHTTP(f.store.Address())}
	f.startOnFreeAddresses(entry, func() {
		entry.settings = f.settingsOf(entry, "south", "packs-1", "packs")
		entry.settings.MetricsAddress = address(t)
	})
	f.hosts["packs-1"] = entry
	f.writeNamedTeams(kqroutes.Team{Name: "limited", Rate: 50, Burst: 50})
	f.serveAll(server, entry)
	q := kqmesh.WhereQuery{Method: "GET", Host: "shop", Path: "/look/", Team: "limited", RequestID: "r1"}
	var x kqmesh.Where
	for range questions {
		x = entry.askWhere(q)
	}
	if x.Answer.Expect != kqmesh.ExpectSent || len(x.Servers) != 1 || x.Servers[0].ServerID != "i-orders-1" || x.Servers[0].Picked != 1 {
		t.Errorf("answer: got %+v and servers %+v, want it sent to i-orders-1", x.Answer, x.Servers)
	}
	if x.Quota == nil || !x.Quota.Admitted || x.Quota.Rate != 50 || x.RoutesVersion != 1 {
		t.Errorf("quota: got %+v by version %d, want 50/s that admits, by version 1", x.Quota, x.RoutesVersion)
	}
	if got := server.totalRuns(); got != 0 {
		t.Errorf("requests at the server after %d questions: got %d, want none", questions, got)
	}
	if got := entry.requestAs("limited", "r1"); got.status != fasthttp.StatusOK {
		t.Errorf("request: got %+v, want 200 as foretold", got)
	}
	for _, kind := range []string{"Admit", "Answer"} {
		line := `"Decision":"` + kind + `"`
		f.awaitLogged(line)
		if got, want := f.logCount(line), 1; got != want {
			t.Errorf("decisions %s in the log: got %d, want %d", kind, got, want)
		}
	}
	server.reportState(kqserver.Draining)
	f.awaitState(entry, "no server", func(s *kqmesh.State) bool { return s.Upstreams["orders"] == nil })
	x = entry.askWhere(q)
	if x.Answer.Status != fasthttp.StatusServiceUnavailable || x.Answer.Cause != "NoUpstream" || len(x.Servers) != 1 || x.Servers[0].Reason != "Draining" {
		t.Errorf("answer while the server drains: got %+v and servers %+v, want 503 NoUpstream and the server Draining", x.Answer, x.Servers)
	}
	if got := entry.requestAs("limited", "r2"); got.status != x.Answer.Status || got.retryAfter != fmt.Sprintf("%.3f", x.Answer.RetryAfter.Value().Seconds()) || !strings.Contains(got.body, "NoUpstream") {
		t.Errorf("request while the server drains: got %+v, want it refused as foretold", got)
	}
	status, _, err := fasthttp.Get(nil, "http://"+entry.settings.MetricsAddress+"/where?host=shop&path=/&key=x")
	if err != nil || status != fasthttp.StatusBadRequest {
		t.Errorf("question with a key: got status %d and %v, want 400", status, err)
	}
	status, _, err = fasthttp.Post(nil, "http://"+entry.settings.MetricsAddress+q.URL(), nil)
	if err != nil || status != fasthttp.StatusMethodNotAllowed {
		t.Errorf("question by POST: got status %d and %v, want 405", status, err)
	}
}
