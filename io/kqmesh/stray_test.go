package kqmesh_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// refuse answers a request as not run, with the given ID.
func refuse(c net.Conn, id string) {
	_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n"+idHeader(id)+"Kumquatlink-Shed: 1\r\nContent-Length: 0\r\n\r\n")
}

func idHeader(id string) string {
	if id == "" {
		return ""
	}
	return "Kumquatlink-Request-Id: " + id + "\r\n"
}

// TestRepeatedRefusalIsTakenForTheNextAnswer has a server send a refusal once more on a
// kept connection: of the former request, of none, and twice in a row. The request
// that runs meanwhile must get its own answer, and run once.
func TestRepeatedRefusalIsTakenForTheNextAnswer(t *testing.T) {
	for name, strays := range map[string][]string{
		"of the former request":       {"first"},
		"without an ID":               {""},
		"of the former request twice": {"first", "first"},
		"with and without an ID":      {"first", ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			entry, gate := f.add("packs-1", "packs"), f.add("orders-1", "orders")
			f.startServing(entry, gate, route("/buy/", "orders", true))
			gate.setAnswer(func(c net.Conn, q *fasthttp.Request) {
				id := string(q.Header.Peek("Kumquatlink-Request-Id"))
				if id == "first" {
					refuse(c, id)
					return
				}
				for _, stray := range strays {
					refuse(c, stray)
				}
				echo(c, q)
			})
			if got := entry.request("POST", "/buy/", "first", ""); got.status != fasthttp.StatusServiceUnavailable {
				t.Errorf("refused request: got %+v, want 503", got)
			}
			if got := entry.request("POST", "/buy/", "second", "x"); got.status != 200 || got.body != "POST /buy/ x" {
				t.Errorf("request behind a repeated refusal: got %+v, want its own answer", got)
			}
			if got := gate.runCount("second"); got != 1 {
				t.Errorf("runs of the request behind a repeated refusal: got %d, want 1", got)
			}
		})
	}
}

// TestAnswerCutInItsHeadIsPassedOnAsWhole has a server stop at each byte of two heads
// and close the connection.
func TestAnswerCutInItsHeadIsPassedOnAsWhole(t *testing.T) {
	f := newFleet(t)
	entry, gate := f.add("packs-1", "packs"), f.add("orders-1", "orders")
	f.startServing(entry, gate, route("/buy/", "orders", true))
	for kind, rest := range map[string]string{"length": "Content-Length: 4\r\nX-Stamp: s\r\n\r\n", "no length": "X-Stamp: s\r\nConnection: close\r\n\r\n"} {
		head := "HTTP/1.1 200 OK\r\nKumquatlink-Request-Id: %s\r\n" + rest
		for cut := range len(head) {
			id := fmt.Sprintf("%s-%d", strings.ReplaceAll(kind, " ", "-"), cut)
			gate.setAnswer(func(c net.Conn, _ *fasthttp.Request) {
				text := fmt.Sprintf(head, id)
				_, _ = io.WriteString(c, text[:len(text)-len(head)+cut])
				_ = c.Close()
			})
			if got := entry.request("POST", "/buy/", id, ""); got.status != fasthttp.StatusBadGateway {
				t.Errorf("%s, cut %d bytes before the end of the head: got %+v, want 502", kind, len(head)-cut, got)
			}
		}
	}
}
