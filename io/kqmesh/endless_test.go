package kqmesh_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqserver"
)

// TestBytesWithoutEndHarmOtherRequests lets a backend server answer some requests with
// bytes that go on until the connection is closed, while it serves others. Each of the
// others must get its answer, and those requests none that looks whole.
func TestBytesWithoutEndHarmOtherRequests(t *testing.T) {
	const faulty, sound = 24, 60
	f := newFleet(t)
	gate, entry := f.add("orders-1", "orders"), f.add("packs-1", "packs")
	look := route("/look/", "orders", false)
	look.Timeout = kqclass.Duration(time.Second)
	f.startServing(gate, entry, look, route("/buy/", "orders", true))
	gate.node.ApplyNotice(kqserver.Notice{ServerID: gate.id, Service: "orders", Address: gate.address(), Slots: 2 * faulty, State: kqserver.Ready, Sequence: 2, Born: 1})
	for _, x := range []struct{ name, head, more string }{
		{"bytes that are no answer", "", "\x00\x01n"},
		{"a line", "", "n"},
		{"fields", "HTTP/1.1 200 OK\r\n", "X-More: a\r\n"},
		{"a field", "HTTP/1.1 200 OK\r\nX-Long: ", "a"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		{"a body without length", "HTTP/1.1 200 OK\r\n%s\r\n", "body"},
		{"chunks", "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
		{"a trailer", "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: a\r\n"},
	} {
		gate.setAnswer(func(c net.Conn, q *fasthttp.Request) {
			if !strings.HasPrefix(string(q.RequestURI()), "/look/") {
				echo(c, q)
				return
			}
			defer c.Close()
			text := strings.Repeat(x.more, 16<<10)
			_, err := io.WriteString(c, strings.Replace(x.head, "%s", idHeader(string(q.Header.Peek("Kumquatlink-Request-Id"))), 1))
			for ; err == nil; _, err = io.WriteString(c, text) {
			}
		})
		var callers sync.WaitGroup
		for i := range faulty {
			callers.Add(1)
			go func() {
				defer callers.Done()
				if got := entry.request("GET", "/look/", fmt.Sprintf("%s %d", x.name, i), ""); got.status < 500 {
					t.Errorf("%s without end: got status %d and a body of %d bytes, want a failure", x.name, got.status, len(got.body))
				}
			}()
		}
		for i := range sound {
			id := fmt.Sprintf("sound %s %d", x.name, i)
			want := result{status: 200, body: "POST /buy/ " + id}
			if got := entry.request("POST", "/buy/", id, id); got != want {
				t.Errorf("request beside %s without end: got %+v, want %+v", x.name, got, want)
			}
		}
		callers.Wait()
	}
	gate.setAnswer(nil)
	entry.awaitUpstream(f)
}
