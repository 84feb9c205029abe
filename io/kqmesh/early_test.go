package kqmesh_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// TestPartOfAnEarlyAnswerReachesTheCaller lets a backend server answer uploads before it
// has read them, and end the connection in several ways, or neither end it nor read on.
// A caller beside the server and one at another host must get the whole answer or none.
func TestPartOfAnEarlyAnswerReachesTheCaller(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	f := newFleet(t)
	near, far := f.add("orders-1", "orders"), f.add("packs-1", "packs")
	f.startServing(near, far, route("/buy/", "orders", true), route("/look/", "orders", false))
	body := strings.Repeat("b", 8<<20)
	for i, x := range []struct {
		name, rest string
		end        func(c net.Conn)
		want       result
	}{
		{"no length, reset", "\r\npart", reset, result{status: 502, body: "unknown: BackendLost\n"}},
		{"length, reset within the body", "Content-Length: 5\r\n\r\npart", reset, result{status: 502, body: "unknown: BackendLost\n"}},
		{"length, reset", "Content-Length: 5\r\n\r\nwhole", reset, result{status: 200, body: "whole"}},
		{"length, upload not read", "Content-Length: 5\r\n\r\nwhole", func(c net.Conn) {
			<-release
			_ = c.Close()
		}, result{status: 200, body: "whole"}},
		{"no length, ended, then reset", "\r\nwhole", func(c net.Conn) {
			_ = c.(*net.TCPConn).CloseWrite()
			reset(c)
		}, result{status: 200, body: "whole"}},
	} {
		for _, path := range []string{"/buy/", "/look/"} {
			for _, entry := range []*host{near, far} {
				near.setEarlyAnswer(func(c net.Conn, q *fasthttp.Request) {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Stamp: s\r\n"+idHeader(string(q.Header.Peek("Kumquatlink-Request-Id")))+x.rest)
					x.end(c)
				})
				got := entry.request("POST", path, fmt.Sprintf("%s%s%d", entry.settings.NodeID, strings.Trim(path, "/"), i), body)
				near.setEarlyAnswer(nil)
				entry.awaitUpstream(f)
				if got != x.want {
					t.Errorf("%s, %s at %s: got %+v, want %+v", x.name, path, entry.settings.NodeID, got, x.want)
				}
			}
		}
	}
}

// TestEarlyAnswerWithStatus000ReachesTheCaller lets a backend server answer uploads with
// the status 000 before it has read them: as the final answer, in place of an interim one
// and after one.
func TestEarlyAnswerWithStatus000ReachesTheCaller(t *testing.T) {
	f := newFleet(t)
	near, far := f.add("orders-1", "orders"), f.add("packs-1", "packs")
	f.startServing(near, far, route("/buy/", "orders", true), route("/look/", "orders", false))
	body := strings.Repeat("b", 8<<20)
	for i, heads := range []string{
		"HTTP/1.1 000 \r\n",
		"HTTP/1.1 000 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 000 \r\n",
	} {
		for _, entry := range []*host{near, far} {
			near.setEarlyAnswer(func(c net.Conn, q *fasthttp.Request) {
				_, _ = io.WriteString(c, heads+"X-Stamp: s\r\n"+idHeader(string(q.Header.Peek("Kumquatlink-Request-Id")))+"Content-Length: 5\r\n\r\nwrong")
				_, _ = io.Copy(io.Discard, io.LimitReader(c, int64(len(body))))
			})
			got := entry.request("POST", "/buy/", fmt.Sprintf("%s-%d", entry.settings.NodeID, i), body)
			near.setEarlyAnswer(nil)
			entry.awaitUpstream(f)
			if want := (result{status: 502, body: "unknown: BackendLost\n"}); got != want {
				t.Errorf("%q at %s: got %+v, want %+v", heads, entry.settings.NodeID, got, want)
			}
		}
	}
}
