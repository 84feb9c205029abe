package kqmesh_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqserver"
)

// TestMalformedRequestReachesTheServer sends requests that break the grammar to a node,
// each with another request behind it. The backend server must get neither, the caller
// is refused, its connection ends, and no log line holds what it sent.
func TestMalformedRequestReachesTheServer(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.writeRoutes(1, route("/look/", "orders", false))
	h := f.add("orders-1", "orders")
	h.reportState(kqserver.Ready)
	f.awaitConvergence(1, 1)
	const (
		secret = "X-Secret: 7d1f90\r\n"
		head   = "POST /look/a HTTP/1.1\r\nHost: shop\r\nKumquatlink-Request-Id: odd\r\n" + secret
		chunks = head + "Transfer-Encoding: chunked\r\n\r\n"
		behind = "GET /look/b HTTP/1.1\r\nHost: shop\r\nKumquatlink-Request-Id: smuggled\r\n\r\n"
	)
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"blank in a name", head + "X Foo: 7d1f90\r\n\r\n", 400},
		{"blank before the colon", head + "X-Secret : 7d1f90\r\n\r\n", 400},
		{"control byte in a name", head + "X-\x01Foo: 7d1f90\r\n\r\n", 400},
		{"folded field", head + "X-Foo: a\r\n 7d1f90\r\n\r\n", 400},
		{"field without CR", head + "X-Foo: 7d1f90\nX-Bar: b\r\n\r\n", 400},
		{"blank in the target", strings.Replace(head, "/look/a", "/look/a 7d1f90", 1) + "\r\n", 400},
		{"version 2.0", strings.Replace(head, "HTTP/1.1", "HTTP/2.0", 1) + "\r\n", 505},
		{"no host", strings.Replace(head, "Host: shop\r\n", "", 1) + "\r\n", 400},
		{"two hosts", head + "Host: shop\r\n\r\n", 400},
		{"two lengths", head + "Content-Length: 0\r\nContent-Length: 5\r\n\r\n", 400},
		{"length beside chunks", head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"coding identity", head + "Transfer-Encoding: identity\r\n\r\n", 400},
		{"types that differ", head + "Content-Type: a/b\r\nContent-Type: b/a\r\n\r\n", 400},
		{"chunk without CR", chunks + "5\nbytes\r\n0\r\n\r\n", 400},
		{"chunk longer than its size", chunks + "4\r\nbytes\r\n0\r\n\r\n", 400},
		{"folded trailer", chunks + "0\r\nX-Foo: a\r\n 7d1f90\r\n\r\n", 400},
		{"length in a trailer", chunks + "0\r\nContent-Length: 60\r\n\r\n", 400},
	} {
		conn, err := net.Dial("tcp", h.settings.CallerAddress)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		if _, err := io.WriteString(conn, c.text+behind); err != nil {
			t.Fatal(err)
		}
		r := bufio.NewReader(conn)
		response := &fasthttp.Response{}
		if err := response.Read(r); err != nil || response.StatusCode() != c.status {
			t.Errorf("%s: got status %d, %v, want %d", c.name, response.StatusCode(), err, c.status)
		}
		if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
			t.Errorf("%s: got %q, %v after the answer, want the connection closed", c.name, rest, err)
		}
		_ = conn.Close()
		if odd, smuggled := h.runCount("odd"), h.runCount("smuggled"); odd+smuggled > 0 {
			t.Fatalf("%s: got %d and %d runs, want none", c.name, odd, smuggled)
		}
	}
	f.awaitLogged("malformed request: name of a field")
	if f.logCount("7d1f90") > 0 {
		t.Error("log: got a value that a caller sent, want none")
	}
	if got := h.request(fasthttp.MethodGet, "/look/a", "sound", ""); got.status != fasthttp.StatusOK {
		t.Errorf("sound request afterwards: got %+v, want 200", got)
	}
}

// TestRequestWithAnAbsoluteTargetIsNotRouted sends a target with a scheme and a host.
func TestRequestWithAnAbsoluteTargetIsNotRouted(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.writeRoutes(1, route("/look/", "orders", false))
	h := f.add("orders-1", "orders")
	h.reportState(kqserver.Ready)
	f.awaitConvergence(1, 1)
	if got := h.request(fasthttp.MethodGet, "http://shop/look/a?b", "absolute", ""); got.status != fasthttp.StatusOK || got.body != "GET /look/a?b " {
		t.Errorf("answer: got %+v, want that of /look/a?b", got)
	}
}
