package kqmesh_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// TestLostConnectionIsTakenForACrash breaks single connections of a server that goes
// on, and then ends the server.
func TestLostConnectionIsTakenForACrash(t *testing.T) {
	f := newFleet(t)
	entry, gate := f.add("packs-1", "packs"), f.add("orders-1", "orders")
	f.startServing(entry, gate, route("/look/", "orders", false))
	gate.setAnswer(func(c net.Conn, q *fasthttp.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-")
		if string(q.Header.RequestURI()) == "/look/crash" {
			_ = gate.listener.Close()
		}
		_ = c.Close()
	})
	for i := range 5 {
		if got := entry.request("GET", "/look/cut", fmt.Sprintf("cut-%d", i), ""); got.status == 200 {
			t.Errorf("request with a cut answer: got %+v, want a failure", got)
		}
	}
	if logged := f.logged(); strings.Contains(logged, "ServerCrashed") {
		t.Error("log after lost connections: got ServerCrashed, want none")
	}
	entry.request("GET", "/look/crash", "crash", "")
	f.awaitLogged("has ended without notice while it ran 1 requests")
}
