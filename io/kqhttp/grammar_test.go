package kqhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqhttp"
)

// brokenHeads lists answers with a malformed line in a head.
var brokenHeads = []string{
	"HTTP/1.1 200 OK\r\nX Y: a\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nX-Y : a\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nX-Y\t: a\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Late : a\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\n X-Y: a\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\n\tX-Y: a\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nX-\x00Y: a\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nX-\x01Y: a\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nX-\x1fY: a\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nX-\x7fY: a\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nX-\x0bY: a\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nX-\rY: a\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nX-\xe9Y: a\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nX-Y(z): a\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\n\"X\": a\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nX@Y: a\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\n: a\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nNoColon\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nX-Y: a\x00b\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nX-Y: a\x01b\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nX-Y: a\x7fb\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nX-Y: a\x0bb\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nX-Y: a\rb\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nX-Y: a\r\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nX-Y: a\r\n folded\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nX-Y: a\r\n\tfolded\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent-Length: 4\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\nbody",
	"HTTP/1.1 200 OK\nContent-Length: 4\n\nbody",
	"\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	" HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1  200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1\t200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200\tOK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 O\x00K\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 O\x01K\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 O\x7fK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 O\rK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/0.9 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.10 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.x 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"http/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTPS/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"ICY 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 103 Early Hints\r\nX Y: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 103 Early Hints\r\nX-\x01: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 100 Continue\n\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 100 Continue\r\n\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
}

// brokenFramings lists answers with malformed, repeated or contradicting fields about the
// length of the body, or with a body of another length.
var brokenFramings = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent-Length: 0x4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent-Length: 4a\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent-Length: 4 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent-Length: 4.0\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999999\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551620\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked;q=1\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n\r\nbody",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nContent-Length: 4\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody",
}

// brokenChunks lists answers in chunks with a malformed line or end.
var brokenChunks = []string{
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbodyxx0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+4\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-4\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0x4\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n 4\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4 \r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4 4\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n;a\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a b\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=\"b\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;\x01\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=\"\x00\"\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000004\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Y: a\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Y : a\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-\x01: a\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Y: \x00\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Y: a\r\n b\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nNoColon\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Y: a\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Y: a\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nContent-Length: 9\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n",
}

// soundAnswers lists unusual answers that are whole, each with the body "body" and at
// most one field of note.
var soundAnswers = []struct {
	text        string
	status      int
	field, want string
}{
	{"HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nbody", 200, "", ""},
	{"HTTP/1.1 200  \t \r\nContent-Length: 4\r\n\r\nbody", 200, "", ""},
	{"HTTP/1.1 200 Gr\xfc\xdfe, (quite) \"odd\"\r\nContent-Length: 4\r\n\r\nbody", 200, "", ""},
	{"HTTP/1.1 299 200\r\nContent-Length: 4\r\n\r\nbody", 299, "", ""},
	{"HTTP/1.1 599 Odd\r\nContent-Length: 4\r\n\r\nbody", 599, "", ""},
	{"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", 200, "", ""},
	{"HTTP/1.0 200 OK\r\n\r\nbody", 200, "", ""},
	{"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\nbody", 200, "", ""},
	{"HTTP/1.2 200 OK\r\nContent-Length: 4\r\n\r\nbody", 200, "", ""},
	{"HTTP/1.1 200 OK\r\n\r\nbody", 200, "", ""},
	{"HTTP/1.1 200 OK\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\nbody", 200, "Connection", "upgrade"},
	{"HTTP/1.1 200 OK\r\nConnection: Upgrade, close\r\n\r\nbody", 200, "", ""},
	{"HTTP/1.1 200 OK\r\nX-Y: a\r\nContent-Length: 4\r\n\r\nbody", 200, "X-Y", "a"},
	{"HTTP/1.1 200 OK\r\nX-Y:a\r\nContent-Length: 4\r\n\r\nbody", 200, "X-Y", "a"},
	{"HTTP/1.1 200 OK\r\nX-Y: \t a b\tc \t\r\nContent-Length: 4\r\n\r\nbody", 200, "X-Y", "a b\tc"},
	{"HTTP/1.1 200 OK\r\nX-Y:\r\nContent-Length: 4\r\n\r\nbody", 200, "X-Y", ""},
	{"HTTP/1.1 200 OK\r\nX-Y: \xe9\xff\x80\r\nContent-Length: 4\r\n\r\nbody", 200, "X-Y", "\xe9\xff\x80"},
	{"HTTP/1.1 200 OK\r\nX-Y: a:b;c=\"d, e\"\r\nContent-Length: 4\r\n\r\nbody", 200, "X-Y", "a:b;c=\"d, e\""},
	{"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09Az: a\r\nContent-Length: 4\r\n\r\nbody", 200, "!#$%&'*+-.^_`|~09Az", "a"},
	{"HTTP/1.1 200 OK\r\n9: a\r\nContent-Length: 4\r\n\r\nbody", 200, "9", "a"},
	{"HTTP/1.1 200 OK\r\ncontent-length: 4\r\nx-y: a\r\n\r\nbody", 200, "X-Y", "a"},
	{"HTTP/1.1 200 OK\r\nContent-Length: 0004\r\n\r\nbody", 200, "", ""},
	{"HTTP/1.1 200 OK\r\nContent-Length:\t4\t\r\n\r\nbody", 200, "", ""},
	{"HTTP/1.1 200 OK\r\nTrailer: Content-Length, X-Y\r\nX-Y: a\r\nContent-Length: 4\r\n\r\nbody", 200, "X-Y", "a"},
	{"HTTP/1.1 200 OK\r\nSet-Cookie: a=b; Path=/\r\nSet-Cookie: c\r\nContent-Length: 4\r\n\r\nbody", 200, "", ""},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: CHUNKED\r\n\r\n4\r\nbody\r\n0\r\n\r\n", 200, "", ""},
	{"HTTP/1.1 200 OK\r\ntransfer-encoding:chunked\r\n\r\n04\r\nbody\r\n000\r\n\r\n", 200, "", ""},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n3\r\nody\r\n0\r\n\r\n", 200, "", ""},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a\r\nbody\r\n0;b=c\r\n\r\n", 200, "", ""},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4 ; a = b\r\nbody\r\n0\r\n\r\n", 200, "", ""},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=\"b;\\\" \xe9\";c\r\nbody\r\n0\r\n\r\n", 200, "", ""},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Y: a\r\nX-Z:\r\n\r\n", 200, "", ""},
	{"HTTP/1.1 200 OK\r\nTrailer: X-Y\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Y: a\r\n\r\n", 200, "", ""},
	{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody\r\n", 200, "", ""},
	{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodymore", 200, "", ""},
	{"HTTP/1.1 100 \r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", 200, "Link", ""},
}

// TestBrokenHeadIsPassedOn guards against malformed heads that are accepted because their
// lines are trimmed, joined or skipped.
func TestBrokenHeadIsPassedOn(t *testing.T) {
	checkLost(t, brokenHeads)
}

// TestOddByteInANameIsPassedOn guards against each byte that the name of a field may not
// have, at its beginning, within it and at its end.
func TestOddByteInANameIsPassedOn(t *testing.T) {
	var answers []string
	for c := range 256 {
		odd := string([]byte{byte(c)})
		if c == ':' || strings.ContainsAny(odd, "!#$%&'*+-.^_`|~") || c >= '0' && c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z' {
			continue
		}
		for _, name := range []string{odd + "X", "X" + odd + "Y", "X" + odd} {
			answers = append(answers, "HTTP/1.1 200 OK\r\n"+name+": a\r\nContent-Length: 4\r\n\r\nbody")
		}
	}
	checkLost(t, answers)
}

// TestBrokenFramingIsPassedOn guards against answers whose end is guessed.
func TestBrokenFramingIsPassedOn(t *testing.T) {
	checkLost(t, brokenFramings)
}

// TestBrokenChunkIsPassedOn guards against bodies whose parts are guessed.
func TestBrokenChunkIsPassedOn(t *testing.T) {
	checkLost(t, brokenChunks)
}

// checkLost checks that none of the answers is passed on.
func checkLost(t *testing.T, answers []string) {
	t.Helper()
	for _, text := range answers {
		l := listen(t)
		serveOnce(l, text)
		response := &fasthttp.Response{}
		if err := do(kqhttp.NewPool(l.Addr().String()), response); !errors.Is(err, kqhttp.ErrLost) {
			t.Errorf("%q: got status %d, body %q, %v, want an error marked ErrLost", text, response.StatusCode(), response.Body(), err)
		}
	}
}

// TestSoundAnswerIsLost guards against a grammar that is stricter than HTTP/1.1.
func TestSoundAnswerIsLost(t *testing.T) {
	for _, c := range soundAnswers {
		l := listen(t)
		serveOnce(l, c.text)
		response := &fasthttp.Response{}
		err := do(kqhttp.NewPool(l.Addr().String()), response)
		if err != nil || response.StatusCode() != c.status || string(response.Body()) != "body" {
			t.Errorf("%q: got status %d, body %q, %v, want %d and the whole body", c.text, response.StatusCode(), response.Body(), err, c.status)
		}
		if got := string(response.Header.Peek(c.field)); c.field != "" && got != c.want {
			t.Errorf("%q: got %q in %s, want %q", c.text, got, c.field, c.want)
		}
	}
}

// TestAnswersWithoutABody reads answers that end with their head, whatever its fields say.
func TestAnswersWithoutABody(t *testing.T) {
	for _, c := range []struct {
		text   string
		isHEAD bool
		status int
	}{
		{"HTTP/1.1 204 No Content\r\n\r\n", false, 204},
		{"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", false, 204},
		{"HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", false, 304},
		{"HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n", false, 304},
		{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", true, 200},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true, 200},
		{"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", true, 200},
		{"HTTP/1.1 200 OK\r\n\r\n", true, 200},
		{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false, 200},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false, 200},
		{"HTTP/1.1 200 OK\r\n\r\n", false, 200},
	} {
		l := listen(t)
		serveOnce(l, c.text)
		request, response := &fasthttp.Request{}, &fasthttp.Response{}
		request.SetRequestURI("/")
		request.Header.SetHost("server")
		if c.isHEAD {
			request.Header.SetMethod(fasthttp.MethodHead)
		}
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		err := kqhttp.NewPool(l.Addr().String()).Do(ctx, request, response)
		cancel()
		if err != nil || response.StatusCode() != c.status || len(response.Body()) != 0 {
			t.Errorf("%q: got status %d, body %q, %v, want %d without a body", c.text, response.StatusCode(), response.Body(), err, c.status)
		}
	}
}

// serveKept answers each request of each connection, and keeps the connections open.
func serveKept(l net.Listener, answer string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			for (&fasthttp.Request{}).Read(r) == nil {
				_, _ = io.WriteString(c, answer)
			}
		}()
	}
}

// TestBrokenAnswerIsTakenForThatOfTheNextCall sends two calls to a server that keeps its
// connections. What follows the first answer on its connection may spoil neither of them.
func TestBrokenAnswerIsTakenForThatOfTheNextCall(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	for _, more := range []string{"\r\n", "HTTP/1.1 000 \r\n\r\n", "\x00", "HTTP/1.1 200 OK\r\nX Y: a\r\n\r\n", strings.Repeat("n", 8<<10)} {
		l := listen(t)
		go serveKept(l, first+more)
		p := kqhttp.NewPool(l.Addr().String())
		for range 2 {
			response := &fasthttp.Response{}
			if err := do(p, response); err != nil || string(response.Body()) != "body" {
				t.Errorf("answer followed by %.20q: got body %q, %v, want the whole body", more, response.Body(), err)
			}
		}
	}
}
