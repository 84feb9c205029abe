package kqmesh_test

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqserver"
)

// TestUploadsOfSeveralEntriesTakeAGateOverItsMemory sends uploads from three entries to one
// server that does not answer yet. Each entry has room for its own, the gate not for all.
// Those beyond must be refused as not run, with a time to come back, and the others
// answered.
func TestUploadsOfSeveralEntriesTakeAGateOverItsMemory(t *testing.T) {
	const (
		bodyBytes = 8 << 20
		perEntry  = 3
		// fitting is how many such bodies fit into the memory of a gate.
		fitting = 6
	)
	f := newFleet(t)
	gate := f.add("orders-1", "orders")
	entries := []*host{f.add("packs-1", "packs"), f.add("packs-2", "packs"), f.add("packs-3", "packs")}
	f.writeRoutes(1, route("/look/", "orders", false))
	f.serveAll(append(entries, gate)...)
	gate.node.ApplyNotice(kqserver.Notice{ServerID: gate.id, Service: "orders", Address: gate.address(), Slots: 16, State: kqserver.Ready, Sequence: 2, Born: 1})
	release := make(chan struct{})
	gate.setAnswer(func(c net.Conn, q *fasthttp.Request) {
		<-release
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nKumquatlink-Request-Id: %s\r\nX-Stamp: s\r\nContent-Length: 0\r\n\r\n", q.Header.Peek("Kumquatlink-Request-Id"))
	})
	body := strings.Repeat("b", bodyBytes)
	answers := make(chan result, len(entries)*perEntry)
	for i, e := range entries {
		for j := range perEntry {
			go func() { answers <- e.request("POST", "/look/upload", fmt.Sprintf("upload-%d-%d", i, j), body) }()
		}
	}
	refused := len(entries)*perEntry - fitting
	for range refused {
		if got := <-answers; got.status != 503 || got.retryAfter == "" {
			t.Errorf("upload beyond the gate's memory: got %+v, want status 503 with a time to come back", got)
		}
	}
	close(release)
	for range fitting {
		if got := <-answers; got.status != 200 {
			t.Errorf("upload that was begun: got %+v, want status 200", got)
		}
	}
}
