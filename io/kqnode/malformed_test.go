package kqnode_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqwire"
)

// TestMalformedCallIsRun sends calls that break the grammar to a node, each with another
// one behind it. Neither may be run, and the connection has to be closed.
func TestMalformedCallIsRun(t *testing.T) {
	entry, upstream, ctx := startCatalog(t)
	const (
		head   = "POST /list HTTP/1.1\r\nHost: a\r\nKumquatlink-Service: catalog\r\n"
		chunks = head + "Transfer-Encoding: chunked\r\n\r\n"
		behind = "GET /list HTTP/1.1\r\nHost: a\r\nKumquatlink-Service: catalog\r\n\r\n"
	)
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"blank in a name", head + "X Foo: a\r\n\r\n", 400},
		{"blank before the colon", head + "X-Foo : a\r\n\r\n", 400},
		{"control byte in a name", head + "X-\x01Foo: a\r\n\r\n", 400},
		{"folded field", head + "X-Foo: a\r\n b\r\n\r\n", 400},
		{"field without CR", head + "X-Foo: a\nX-Bar: b\r\n\r\n", 400},
		{"head that ends without CR", head + "\n", 400},
		{"request line without CR", strings.Replace(head, "\r\n", "\n", 1) + "\r\n", 400},
		{"blank in the target", strings.Replace(head, "/list", "/list a", 1) + "\r\n", 400},
		{"version 2.0", strings.Replace(head, "HTTP/1.1", "HTTP/2.0", 1) + "\r\n", 505},
		{"version 1.2", strings.Replace(head, "HTTP/1.1", "HTTP/1.2", 1) + "\r\n", 505},
		{"no host", strings.Replace(head, "Host: a\r\n", "", 1) + "\r\n", 400},
		{"two hosts", head + "Host: a\r\n\r\n", 400},
		{"user in the host", strings.Replace(head, "Host: a", "Host: u@a", 1) + "\r\n", 400},
		{"two lengths", head + "Content-Length: 0\r\nContent-Length: 5\r\n\r\n", 400},
		{"length beside chunks", head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"coding identity", head + "Transfer-Encoding: identity\r\n\r\n", 400},
		{"chunk without CR", chunks + "5\nbytes\r\n0\r\n\r\n", 400},
		{"chunk longer than its size", chunks + "4\r\nbytes\r\n0\r\n\r\n", 400},
		{"control byte after a chunk's size", chunks + "5;\x01\r\nbytes\r\n0\r\n\r\n", 400},
		{"blank after a chunk's size", chunks + "5 \r\nbytes\r\n0\r\n\r\n", 400},
		{"folded trailer", chunks + "0\r\nX-Foo: a\r\n b\r\n\r\n", 400},
		{"length in a trailer", chunks + "0\r\nContent-Length: 60\r\n\r\n", 400},
	} {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", entry.Node.CallerAddress())
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		if _, err := io.WriteString(conn, c.text+behind); err != nil {
			t.Fatal(err)
		}
		r := bufio.NewReader(conn)
		response := &fasthttp.Response{}
		if err := response.Read(r); err != nil || response.StatusCode() != c.status || outcome(response) != "not-run BadRequest" {
			t.Errorf("%s: got status %d, %q, %v, want %d, not-run BadRequest", c.name, response.StatusCode(), outcome(response), err, c.status)
		}
		if rest, _ := io.ReadAll(r); len(rest) > 0 {
			t.Errorf("%s: got %q after the answer, want the connection closed", c.name, rest)
		}
		_ = conn.Close()
	}
	if got := len(upstream.Backend.Runs()); got != 0 {
		t.Errorf("runs: got %d, want none", got)
	}
	response := call(t, entry.Node.CallerAddress(), func(r *fasthttp.Request) { r.Header.Set(kqwire.HeaderService, "catalog") })
	if got, want := outcome(response), "ran Done"; got != want {
		t.Errorf("sound call afterwards: got %q, want %q", got, want)
	}
}
