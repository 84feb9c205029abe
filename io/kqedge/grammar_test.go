package kqedge_test

import (
	"context"
	"io"
	"strings"
	"sync/atomic"
	"testing"

	"kumquatlink/io/kqedge"
)

// malformedRequest is a request that is refused with a status.
type malformedRequest struct {
	name, text string
	status     int
}

// malformedRequests returns a request for each way in which one may break the grammar.
func malformedRequests() []malformedRequest {
	const host = "Host: shop.example\r\n"
	line := func(requestLine string) string { return requestLine + "\r\n" + host + "\r\n" }
	fields := func(lines string) string { return "POST /a HTTP/1.1\r\n" + host + lines + "\r\n" }
	chunks := func(body string) string { return fields("Transfer-Encoding: chunked\r\n") + body }
	long := strings.Repeat("a", 20<<10)
	return []malformedRequest{
		{"version 2.0", line("GET /a HTTP/2.0"), 505},
		{"version 1.2", line("GET /a HTTP/1.2"), 505},
		{"version 0.9", line("GET /a HTTP/0.9"), 505},
		{"version in lower case", line("GET /a http/1.1"), 400},
		{"version of two digits", line("GET /a HTTP/1.10"), 400},
		{"no version", line("GET /a"), 400},
		{"blank in the target", line("GET /a b HTTP/1.1"), 400},
		{"two blanks before the version", line("GET /a  HTTP/1.1"), 400},
		{"blank after the version", line("GET /a HTTP/1.1 "), 400},
		{"tab for a blank", line("GET\t/a\tHTTP/1.1"), 400},
		{"control byte in the target", line("GET /a\x01b HTTP/1.1"), 400},
		{"NUL in the target", line("GET /a\x00b HTTP/1.1"), 400},
		{"CR in the target", line("GET /a\rb HTTP/1.1"), 400},
		{"DEL in the target", line("GET /a\x7f HTTP/1.1"), 400},
		{"target without a slash", line("GET a HTTP/1.1"), 400},
		{"asterisk for a target", line("GET * HTTP/1.1"), 400},
		{"absolute target without a host", line("GET http:///a HTTP/1.1"), 400},
		{"absolute target with a user", line("GET http://u@shop.example/a HTTP/1.1"), 400},
		{"no method", line(" /a HTTP/1.1"), 400},
		{"method that is no token", line("G(T /a HTTP/1.1"), 400},
		{"blank before the request line", line(" GET /a HTTP/1.1"), 400},
		{"request line without CR", "GET /a HTTP/1.1\n" + host + "\r\n", 400},
		{"empty line without CR first", "\n" + get("/a"), 400},
		{"blank in a name", fields("X Foo: a\r\n"), 400},
		{"blank in the name of the length", fields("Content Length: 3\r\n"), 400},
		{"blank before the colon", fields("X-Foo : a\r\n"), 400},
		{"tab before the colon", fields("X-Foo\t: a\r\n"), 400},
		{"control byte in a name", fields("X-\x01Foo: a\r\n"), 400},
		{"NUL in a name", fields("X-Foo\x00: a\r\n"), 400},
		{"byte over 127 in a name", fields("X-F\xe9: a\r\n"), 400},
		{"no name", fields(": a\r\n"), 400},
		{"no colon", fields("X-Foo\r\n"), 400},
		{"blank before the first field", "POST /a HTTP/1.1\r\n X-Foo: a\r\n" + host + "\r\n", 400},
		{"folded field", fields("X-Foo: a\r\n b\r\n"), 400},
		{"folded field by a tab", fields("X-Foo: a\r\n\tb\r\n"), 400},
		{"folded length", fields("Content-Length:\r\n 3\r\n") + "abc", 400},
		{"field without CR", fields("X-Foo: a\nX-Bar: b\r\n"), 400},
		{"head that ends without CR", "POST /a HTTP/1.1\r\n" + host + "\n", 400},
		{"CR in a value", fields("X-Foo: a\rb\r\n"), 400},
		{"two CRs at the end", fields("X-Foo: a\r\r\n"), 400},
		{"NUL in a value", fields("X-Foo: a\x00b\r\n"), 400},
		{"control byte in a value", fields("X-Foo: a\x01b\r\n"), 400},
		{"no host", "GET /a HTTP/1.1\r\n\r\n", 400},
		{"two hosts", fields("Host: shop.example\r\n"), 400},
		{"two hosts in HTTP/1.0", "GET /a HTTP/1.0\r\n" + host + "hOST: other.example\r\n\r\n", 400},
		{"blank in the host", "GET /a HTTP/1.1\r\nHost: shop .example\r\n\r\n", 400},
		{"path in the host", "GET /a HTTP/1.1\r\nHost: shop.example/b\r\n\r\n", 400},
		{"user in the host", "GET /a HTTP/1.1\r\nHost: u@shop.example\r\n\r\n", 400},
		{"two lengths", fields("Content-Length: 3\r\nContent-Length: 4\r\n") + "abcd", 400},
		{"one length twice", fields("Content-Length: 3\r\ncontent-length: 3\r\n") + "abc", 400},
		{"list of lengths", fields("Content-Length: 3, 3\r\n") + "abc", 400},
		{"length with a sign", fields("Content-Length: +3\r\n") + "abc", 400},
		{"negative length", fields("Content-Length: -3\r\n"), 400},
		{"empty length", fields("Content-Length:\r\n"), 400},
		{"length in hexadecimal", fields("Content-Length: 0x3\r\n") + "abc", 400},
		{"length with a blank", fields("Content-Length: 3 3\r\n") + "abc", 400},
		{"length beside chunks", fields("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n", 400},
		{"chunks beside a length", fields("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n") + "0\r\n\r\n", 400},
		{"coding identity", fields("Transfer-Encoding: identity\r\n"), 400},
		{"coding identity beside a length", fields("Transfer-Encoding: identity\r\nContent-Length: 3\r\n") + "abc", 400},
		{"coding before chunked", fields("Transfer-Encoding: gzip, chunked\r\n") + "0\r\n\r\n", 400},
		{"coding after chunked", fields("Transfer-Encoding: chunked, identity\r\n") + "0\r\n\r\n", 400},
		{"quoted coding", fields("Transfer-Encoding: \"chunked\"\r\n") + "0\r\n\r\n", 400},
		{"empty coding", fields("Transfer-Encoding:\r\n") + "0\r\n\r\n", 400},
		{"chunked twice", fields("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n", 400},
		{"chunks in HTTP/1.0", "POST /a HTTP/1.0\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"chunk without digits", chunks("\r\nabc\r\n0\r\n\r\n"), 400},
		{"chunk with a sign", chunks("+3\r\nabc\r\n0\r\n\r\n"), 400},
		{"chunk in hexadecimal with a prefix", chunks("0x3\r\nabc\r\n0\r\n\r\n"), 400},
		{"chunk of too many digits", chunks("fffffffffffffffff\r\nabc\r\n0\r\n\r\n"), 400},
		{"blank before a chunk", chunks(" 3\r\nabc\r\n0\r\n\r\n"), 400},
		{"blank after a chunk's size", chunks("3 \r\nabc\r\n0\r\n\r\n"), 400},
		{"control byte after a chunk's size", chunks("3;\x01\r\nabc\r\n0\r\n\r\n"), 400},
		{"chunk extension without a name", chunks("3;=b\r\nabc\r\n0\r\n\r\n"), 400},
		{"chunk line without CR", chunks("3\nabc\r\n0\r\n\r\n"), 400},
		{"CR in a chunk line", chunks("3\r;a\r\nabc\r\n0\r\n\r\n"), 400},
		{"chunk longer than its size", chunks("3\r\nabcd\r\n0\r\n\r\n"), 400},
		{"chunk that ends without CR", chunks("3\r\nabc\n0\r\n\r\n"), 400},
		{"trailer with a blank in a name", chunks("0\r\nX Foo: a\r\n\r\n"), 400},
		{"trailer without a colon", chunks("0\r\nX-Foo\r\n\r\n"), 400},
		{"folded trailer", chunks("0\r\nX-Foo: a\r\n b\r\n\r\n"), 400},
		{"length in a trailer", chunks("0\r\nContent-Length: 3\r\n\r\n"), 400},
		{"coding in a trailer", chunks("0\r\nTransfer-Encoding: chunked\r\n\r\n"), 400},
		{"trailer without CR", chunks("0\r\nX-Foo: a\n\r\n"), 400},
		{"trailer that ends without CR", chunks("0\r\n\n"), 400},
		{"long head", fields("X-Foo: " + long + "\r\n"), 431},
		{"long trailer", chunks("0\r\nX-Foo: " + long + "\r\n\r\n"), 431},
		{"long extension of a chunk", chunks("3;a=" + long + "\r\nabc\r\n0\r\n\r\n"), 400},
		{"body beyond the limit", fields("Content-Length: 99999999\r\n"), 413},
		{"length beyond all numbers", fields("Content-Length: 99999999999999999999999999\r\n"), 413},
		{"chunk beyond the limit", chunks("fffffff\r\n"), 413},
	}
}

// smuggled is a request behind a malformed one.
const smuggled = "GET /smuggled HTTP/1.1\r\nHost: shop.example\r\n\r\n"

// TestMalformedRequestIsRun sends requests that break the grammar, each with another
// request behind it. Neither may be run, and the connection has to be closed.
func TestMalformedRequestIsRun(t *testing.T) {
	for _, m := range malformedRequests() {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int64
			server := kqedge.New(func(_ context.Context, e *kqedge.Exchange) {
				runs.Add(1)
				e.Response.SetBodyString("ran")
			})
			address, err := server.Listen("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(server.Close)
			c, r := dial(t, address)
			send(t, c, m.text+smuggled)
			status, _, closes := readAnswer(t, r)
			if status != m.status || !closes {
				t.Errorf("answer: got status %d, says that the connection closes: %t, want %d, true", status, closes, m.status)
			}
			if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
				t.Errorf("after the answer: got %q, %v, want the connection closed", rest, err)
			}
			if got := runs.Load(); got != 0 {
				t.Errorf("runs: got %d, want none", got)
			}
		})
	}
}

// TestSoundRequestIsRefused sends requests that are unusual but follow the grammar, each
// with another one behind it. Both have to be run.
func TestSoundRequestIsRefused(t *testing.T) {
	const host = "Host: shop.example\r\n"
	s := newTestServer(t)
	for _, c := range []struct{ name, text, want string }{
		{"empty line first", "\r\n" + get("/a"), "GET /a "},
		{"unknown method", "BREW-2 /a HTTP/1.1\r\n" + host + "\r\n", "BREW-2 /a "},
		{"server as a whole", "OPTIONS * HTTP/1.1\r\n" + host + "\r\n", "OPTIONS * "},
		{"absolute target", "GET http://shop.example/a?b HTTP/1.1\r\n" + host + "\r\n", "GET /a?b "},
		{"absolute target without a path", "GET http://shop.example?b HTTP/1.1\r\n" + host + "\r\n", "GET /?b "},
		{"encoded target", "GET /%00%20%0d%0a?%7f=+&; HTTP/1.1\r\n" + host + "\r\n", "GET /%00%20%0d%0a?%7f=+&; "},
		{"bytes over 127 in the target", "GET /\xc3\xa9 HTTP/1.1\r\n" + host + "\r\n", "GET /\xc3\xa9 "},
		{"empty value", "GET /a HTTP/1.1\r\n" + host + "X-Foo:\r\nX-Bar: \t \r\n\r\n", "GET /a "},
		{"odd value", "GET /a HTTP/1.1\r\n" + host + "X-Foo: \t\xff\xc3\xa9 : \"{}\\\t\r\n\r\n", "GET /a "},
		{"odd name", "GET /a HTTP/1.1\r\n" + host + "!#$%&'*+-.^_`|~09: a\r\n\r\n", "GET /a "},
		{"host with a port", "GET /a HTTP/1.1\r\nhost:[::1]:80\r\n\r\n", "GET /a "},
		{"length with zeros", "POST /a HTTP/1.1\r\n" + host + "Content-Length: 003 \r\n\r\nabc", "POST /a abc"},
		{"length of 0", "POST /a HTTP/1.1\r\n" + host + "Content-Length: 0\r\n\r\n", "POST /a "},
		{"body of a GET", "GET /a HTTP/1.1\r\n" + host + "Content-Length: 3\r\n\r\nabc", "GET /a abc"},
		{"chunks", "POST /a HTTP/1.1\r\n" + host + "transfer-encoding:CHUNKED\r\n\r\n1;a=b;c=\"d;\\\"\" ; e\r\na\r\n0002\r\nbc\r\n00\r\nX-Foo: a\r\nX-Bar:\r\n\r\n", "POST /a abc"},
		{"no chunks", "POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "POST /a "},
		{"kept connection of HTTP/1.0", "GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", "GET /a "},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, r := dial(t, s.address)
			send(t, conn, c.text+get("/next"))
			expectAnswer(t, r, c.want)
			expectAnswer(t, r, "GET /next ")
		})
	}
}

// TestRequestInPiecesIsJudgedOtherwise sends a malformed head and a sound one byte by
// byte.
func TestRequestInPiecesIsJudgedOtherwise(t *testing.T) {
	s := newTestServer(t)
	for text, want := range map[string]int{
		"POST /a HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-Foo: a\r\n\r\n": 200,
		"GET /a HTTP/1.1\r\nHost: shop.example\r\nX Foo: a\r\n":                                                       400,
	} {
		c, r := dial(t, s.address)
		if err := c.SetNoDelay(true); err != nil {
			t.Fatal(err)
		}
		for i := range len(text) {
			send(t, c, text[i:i+1])
		}
		if status, _, _ := readAnswer(t, r); status != want {
			t.Errorf("answer to %q: got %d, want %d", text, status, want)
		}
	}
}
