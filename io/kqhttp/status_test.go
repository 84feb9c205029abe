package kqhttp_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqhttp"
)

// TestBytesThatAreNoAnswerAreASuccess guards against status lines that the codec
// takes for another answer than they are: it reads the status 000 as 200.
func TestBytesThatAreNoAnswerAreASuccess(t *testing.T) {
	const rest = "Content-Length: 4\r\n\r\nbody"
	for _, c := range []struct {
		text string
		// want is the status of the answer, or 0 if there is none.
		want int
	}{
		{"HTTP/1.1 200 OK\r\n" + rest, 200},
		{"HTTP/1.1 200 \r\n" + rest, 200},
		{"HTTP/1.0 200 OK\r\n" + rest, 200},
		{"HTTP/1.1 599 Odd\r\n" + rest, 599},
		{"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 404 Not Found\r\n" + rest, 404},
		{strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 4) + "HTTP/1.1 200 OK\r\n" + rest, 200},
		// RFC 9112 lets recipients accept a missing blank after the status; the grammar
		// has neither that nor an empty line before the status line.
		{"HTTP/1.1 200\r\n" + rest, 0},
		{"\r\nHTTP/1.1 200 OK\r\n" + rest, 0},
		{"HTTP/1.1 000 \r\n" + rest, 0},
		{"HTTP/1.1 000\r\n" + rest, 0},
		{"\r\nHTTP/1.1  000 OK\r\n" + rest, 0},
		{"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 000 \r\n" + rest, 0},
		{"HTTP/1.1 000 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, 0},
		{"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 \r\n\r\nHTTP/1.1 200 OK\r\n" + rest, 0},
		{"HTTP/1.1 001 Odd\r\n" + rest, 0},
		{"HTTP/1.1 099 Odd\r\n" + rest, 0},
		{"HTTP/1.1 100 Continue\r\n" + rest, 0},
		{"HTTP/1.1 101 Switching Protocols\r\n" + rest, 0},
		{"HTTP/1.1 199 Odd\r\n" + rest, 0},
		{"HTTP/1.1 600 Odd\r\n" + rest, 0},
		{"HTTP/1.1 999 Odd\r\n" + rest, 0},
		{"HTTP/1.1 0200 OK\r\n" + rest, 0},
		{"HTTP/1.1 20 OK\r\n" + rest, 0},
		{"HTTP/1.1 2OO OK\r\n" + rest, 0},
		{"HTTP/1.1 -20 OK\r\n" + rest, 0},
		{"200 OK HTTP/1.1\r\n" + rest, 0},
		{"nonsense\r\n" + rest, 0},
		{strings.Repeat("n", 8<<10), 0},
		{strings.Repeat("\r\n", 8<<10), 0},
		{strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000) + "HTTP/1.1 200 OK\r\n" + rest, 0},
	} {
		l := listen(t)
		serveOnce(l, c.text)
		response := &fasthttp.Response{}
		err := do(kqhttp.NewPool(l.Addr().String()), response)
		switch {
		case c.want == 0 && !errors.Is(err, kqhttp.ErrLost):
			t.Errorf("%.60q: got status %d, %v, want an error marked ErrLost", c.text, response.StatusCode(), err)
		case c.want != 0 && (err != nil || response.StatusCode() != c.want || string(response.Body()) != "body"):
			t.Errorf("%.60q: got status %d, body %q, %v, want %d and the whole body", c.text, response.StatusCode(), response.Body(), err, c.want)
		}
	}
}

// TestAnswerWithALongHeadIsLost guards against answers that are dropped, after the
// server has run the call, since their head does not fit into a buffer.
func TestAnswerWithALongHeadIsLost(t *testing.T) {
	for _, size := range []int{3 << 10, 5 << 10, 20 << 10, 60 << 10} {
		want := strings.Repeat("x", size)
		l := listen(t)
		serveOnce(l, "HTTP/1.1 103 Early Hints\r\nLink: "+want+"\r\n\r\nHTTP/1.1 200 OK\r\nX-Long: "+want+"\r\nContent-Length: 4\r\n\r\nbody")
		response := &fasthttp.Response{}
		err := do(kqhttp.NewPool(l.Addr().String()), response)
		if got := string(response.Header.Peek("X-Long")); err != nil || got != want || string(response.Body()) != "body" {
			t.Errorf("head of %d bytes: got a header of %d bytes, body %q, %v", size, len(got), response.Body(), err)
		}
	}
}
