package kqmesh_test

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqtrunk"
)

// TestUnsignedSuccessReachesTheCaller guards against successes that the backend
// server has not given: only one that bears its signature is its answer.
func TestUnsignedSuccessReachesTheCaller(t *testing.T) {
	f := newFleet(t)
	f.dialect.Headers.Signature = "X-Stamp"
	h := f.add("orders-1", "orders")
	f.writeRoutes(1, route("/buy/", "orders", true), route("/look/", "orders", false))
	h.reportState(kqserver.Ready)
	f.awaitConvergence(1, 1)
	for i, c := range []struct {
		status int
		header string
		want   int
	}{
		{200, "X-Stamp: s\r\n", 200},
		{200, "x-stamp: s\r\n", 200},
		{204, "X-Stamp: s\r\n", 204},
		{404, "", 404},
		{500, "", 500},
		{200, "", 502},
		{200, "X-Stamp:\r\n", 502},
		{201, "X-Stamped: s\r\n", 502},
		{299, "", 502},
	} {
		for _, path := range []string{"/buy/", "/look/"} {
			id := fmt.Sprintf("%s%d", strings.Trim(path, "/"), i)
			h.setAnswer(func(connection net.Conn, _ *fasthttp.Request) {
				_, _ = fmt.Fprintf(connection, "HTTP/1.1 %d Odd\r\n%s%sContent-Length: 0\r\n\r\n", c.status, idHeader(id), c.header)
			})
			got := h.request("POST", path, id, "")
			h.setAnswer(nil)
			h.awaitUpstream(f)
			if got.status != c.want {
				t.Errorf("%s answered with %d and %q: got %+v, want %d", path, c.status, c.header, got, c.want)
			}
		}
	}
}

// TestSpoiledAnswerOfAnOldGateReachesTheCaller guards against gates of a former
// build, which pass on answers whose status or fields are malformed.
func TestSpoiledAnswerOfAnOldGateReachesTheCaller(t *testing.T) {
	f := newFleet(t)
	entry := f.add("packs-1", "packs")
	f.writeRoutes(1, route("/buy/", "orders", true))
	old := f.addOldGate("orders-1", "orders", "")
	entry.reportState(kqserver.Ready)
	f.awaitConvergence(1, 2)
	for i, c := range []struct{ status, want int }{{200, 200}, {0, 502}, {99, 502}, {101, 502}, {199, 502}, {600, 502}, {-1, 502}} {
		old.status.Store(int64(c.status))
		if got := entry.request("POST", "/buy/", fmt.Sprint("b", i), ""); got.status != c.want {
			t.Errorf("answer of the gate with status %d: got %+v, want %d", c.status, got, c.want)
		}
	}
	old.status.Store(200)
	for i, c := range []struct {
		field kqtrunk.Header
		want  int
	}{
		{kqtrunk.Header{Name: "X-Odd", Value: "a \xe9"}, 200},
		{kqtrunk.Header{Name: "X-Odd"}, 200},
		{kqtrunk.Header{Name: "X Odd", Value: "a"}, 502},
		{kqtrunk.Header{Name: "X-Odd ", Value: "a"}, 502},
		{kqtrunk.Header{Name: "X-\x01Odd", Value: "a"}, 502},
		{kqtrunk.Header{Name: "X:Odd", Value: "a"}, 502},
		{kqtrunk.Header{Value: "a"}, 502},
		{kqtrunk.Header{Name: "X-Odd", Value: "a\x00"}, 502},
		{kqtrunk.Header{Name: "X-Odd", Value: "a\r\nX-Other: b"}, 502},
	} {
		old.field.Store(&c.field)
		if got := entry.request("POST", "/buy/", fmt.Sprint("f", i), ""); got.status != c.want {
			t.Errorf("answer of the gate with field %+v: got %+v, want %d", c.field, got, c.want)
		}
	}
}
