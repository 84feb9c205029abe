package kqnode_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqfleet"
	"kumquatlink/io/kqwire"
)

// odd000 has the answers of a server that writes the status 000, which the codec would
// read as 200: as its final answer, in place of an interim one and after one.
var odd000 = map[string]string{
	"final":         "HTTP/1.1 000 \r\nContent-Length: 5\r\n\r\nwrong",
	"interim":       "HTTP/1.1 000 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright",
	"after interim": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 000 \r\nContent-Length: 5\r\n\r\nwrong",
}

// TestStatus000ReachesTheCaller lets a server answer with the status 000, after it has
// read the call and before, beside the caller's node and at another one.
func TestStatus000ReachesTheCaller(t *testing.T) {
	ctx := testContext(t)
	entry, gate, fleet := startTwoNodes(ctx, t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	answers := make(chan func(c net.Conn, r *bufio.Reader, q *fasthttp.Request), 1)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(c)
			q := &fasthttp.Request{}
			if err := q.Header.Read(r); err == nil {
				(<-answers)(c, r, q)
			}
			_ = c.Close()
		}
	}()
	(&scriptedBackend{listener: listener}).announce(t, gate.Node.BackendAddress(), "catalog", scriptSlots, kqwire.StateReady)
	if err := fleet.AwaitServices(ctx, "catalog"); err != nil {
		t.Fatal(err)
	}
	upload := bytes.Repeat([]byte("b"), 4<<20)
	for name, text := range odd000 {
		for _, isEarly := range []bool{false, true} {
			for _, m := range []*kqfleet.Member{entry, gate} {
				answers <- func(c net.Conn, r *bufio.Reader, q *fasthttp.Request) {
					if !isEarly {
						if err := q.ContinueReadBody(r, 0, false); err != nil {
							return
						}
						_, _ = io.WriteString(c, text)
						return
					}
					_, _ = io.WriteString(c, text)
					_, _ = io.Copy(io.Discard, io.LimitReader(r, int64(len(upload))))
				}
				response := call(t, m.Node.CallerAddress(), func(r *fasthttp.Request) {
					nonRepeatable(r)
					r.Header.SetMethod(fasthttp.MethodPost)
					r.SetBodyRaw(upload)
				})
				if got := outcomeAndCause(response); response.StatusCode() != fasthttp.StatusGatewayTimeout || got != "unknown BackendLost" {
					t.Errorf("%s, early %t: got status %d, %q, body %.20q, want 504, unknown BackendLost", name, isEarly, response.StatusCode(), got, response.Body())
				}
			}
		}
	}
}
