package kqrequest_test

import (
	"bytes"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqrequest"
)

// The grammar of RFC 9112, sections 2 to 7, as the reference. Bytes are matched as runes
// of the same value.
const (
	token   = "[!#$%&'*+.^_`|~0-9A-Za-z-]+"
	text    = `[\t -~\x{80}-\x{ff}]*`
	quoted  = `"([\t !#-\[\]-~\x{80}-\x{ff}]|\\[\t -~\x{80}-\x{ff}])*"`
	host    = `[A-Za-z0-9._~!$&'()*+,;=:\[\]%\x{80}-\x{ff}-]+`
	visible = `[!-~\x{80}-\x{ff}]*`
)

var (
	requestLine = regexp.MustCompile(`^(` + token + `) ([^ ]*) (HTTP/[0-9]\.[0-9])$`)
	originForm  = regexp.MustCompile(`^/` + visible + `$`)
	wholeForm   = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9+.-]*://` + host + `([/?]` + visible + `)?$`)
	hostForm    = regexp.MustCompile(`^` + host + `$`)
	field       = regexp.MustCompile(`^(` + token + `):(` + text + `)$`)
	digits      = regexp.MustCompile(`^[0-9]+$`)
	chunk       = regexp.MustCompile(`^([0-9A-Fa-f]+)([ \t]*;[ \t]*` + token + `([ \t]*=[ \t]*(` + token + `|` + quoted + `))?)*$`)
)

// verdict is what becomes of bytes: a request of a number of bytes, a refusal with a
// status, or the wait for more bytes, which is the zero value.
type verdict struct {
	status, length int
	body           string
}

// wait is the verdict on bytes that may go on as a request.
var wait = verdict{}

const (
	sound     = 200
	malformed = 400
	unspoken  = 505
)

// runes returns a text with a rune for each byte.
func runes(text []byte) string {
	var s strings.Builder
	for _, b := range text {
		s.WriteRune(rune(b))
	}
	return s.String()
}

// reference is the second decider. It splits bytes into lines and matches these one by
// one.
func reference(input []byte) verdict {
	rest := input
	next := func() (line string, status int) {
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			return "", 0
		}
		line, rest = runes(rest[:end]), rest[end+1:]
		if !strings.HasSuffix(line, "\r") {
			return "", malformed
		}
		return strings.TrimSuffix(line, "\r"), sound
	}
	line, status := next()
	for status == sound && line == "" {
		line, status = next()
	}
	if status != sound {
		return verdict{status: status}
	}
	m := requestLine.FindStringSubmatch(line)
	if m == nil {
		return verdict{status: malformed}
	}
	method, target, isOld := m[1], m[2], m[3] == "HTTP/1.0"
	if !isOld && m[3] != "HTTP/1.1" {
		return verdict{status: unspoken}
	}
	if method == "CONNECT" && !hostForm.MatchString(target) ||
		method != "CONNECT" && !originForm.MatchString(target) && !wholeForm.MatchString(target) && (method != "OPTIONS" || target != "*") {
		return verdict{status: malformed}
	}
	fields := map[string][]string{}
	for {
		if line, status = next(); status != sound {
			return verdict{status: status}
		}
		if line == "" {
			break
		}
		m := field.FindStringSubmatch(line)
		if m == nil {
			return verdict{status: malformed}
		}
		name, value := strings.ToLower(m[1]), strings.Trim(m[2], " \t")
		fields[name] = append(fields[name], value)
		switch name {
		case "host":
			if len(fields[name]) > 1 || !hostForm.MatchString(value) && (value != "" || !isOld) {
				return verdict{status: malformed}
			}
		case "content-length":
			if len(fields[name]) > 1 || !digits.MatchString(value) {
				return verdict{status: malformed}
			}
		case "transfer-encoding":
			if len(fields[name]) > 1 || !strings.EqualFold(value, "chunked") {
				return verdict{status: malformed}
			}
		}
	}
	lengths, codings := fields["content-length"], fields["transfer-encoding"]
	if len(fields["host"]) == 0 && !isOld || len(codings) > 0 && (isOld || len(lengths) > 0) {
		return verdict{status: malformed}
	}
	if len(lengths) > 0 {
		length, err := strconv.Atoi(lengths[0])
		if err != nil || length > len(rest) {
			return wait
		}
		return verdict{sound, len(input) - len(rest) + length, string(rest[:length])}
	}
	if len(codings) == 0 {
		return verdict{sound, len(input) - len(rest), ""}
	}
	body := ""
	for {
		if line, status = next(); status != sound {
			return verdict{status: status}
		}
		m := chunk.FindStringSubmatch(line)
		if m == nil {
			return verdict{status: malformed}
		}
		size, err := strconv.ParseInt(m[1], 16, 61)
		if err != nil {
			return verdict{status: malformed}
		}
		if size == 0 {
			break
		}
		if int(size) > len(rest) {
			return wait
		}
		body += string(rest[:size])
		rest = rest[size:]
		if !bytes.HasPrefix(rest, []byte("\r\n")) {
			if len(rest) == 0 || string(rest) == "\r" {
				return wait
			}
			return verdict{status: malformed}
		}
		rest = rest[2:]
	}
	for {
		if line, status = next(); status != sound {
			return verdict{status: status}
		}
		if line == "" {
			return verdict{sound, len(input) - len(rest), body}
		}
		m := field.FindStringSubmatch(line)
		if m == nil || strings.EqualFold(m[1], "content-length") || strings.EqualFold(m[1], "transfer-encoding") {
			return verdict{status: malformed}
		}
	}
}

// statusOf returns the status of an error of the package.
func statusOf(t *testing.T, input []byte, err error) int {
	t.Helper()
	reason := kqrequest.ReasonOf(err)
	if !errors.Is(err, kqrequest.ErrMalformed) || reason == "" {
		t.Fatalf("%q: got %v, want an error with a reason, marked ErrMalformed", input, err)
	}
	if reason == kqrequest.ReasonVersion {
		return unspoken
	}
	return malformed
}

// decide is the verdict of the package.
func decide(t *testing.T, input []byte) verdict {
	t.Helper()
	rest := input
	refused := func(err error) verdict { return verdict{status: statusOf(t, input, err)} }
	// next calls handle with the next line, and reports false if there is none.
	next := func(handle func(line []byte) error) (bool, error) {
		end := bytes.IndexByte(rest, '\n') + 1
		if end == 0 {
			return false, nil
		}
		line := rest[:end]
		rest = rest[end:]
		return true, handle(line)
	}
	var head kqrequest.Head
	for isComplete := false; !isComplete; {
		found, err := next(func(line []byte) (err error) {
			isComplete, err = head.AddLine(line)
			return err
		})
		if err != nil {
			return refused(err)
		}
		if !found {
			return wait
		}
	}
	framing, length := head.Framing()
	if framing != kqrequest.FramingChunks {
		if length > len(rest) {
			return wait
		}
		return verdict{sound, len(input) - len(rest) + length, string(rest[:length])}
	}
	body := ""
	for {
		size := 0
		found, err := next(func(line []byte) (err error) {
			size, err = kqrequest.ParseChunkLine(line)
			return err
		})
		if err != nil {
			return refused(err)
		}
		if !found || size > len(rest) {
			return wait
		}
		if size == 0 {
			break
		}
		body += string(rest[:size])
		rest = rest[size:]
		if len(rest) == 0 || string(rest) == "\r" {
			return wait
		}
		if err := kqrequest.CheckChunkEnd(rest[:min(2, len(rest))]); err != nil {
			return refused(err)
		}
		rest = rest[2:]
	}
	for isComplete := false; !isComplete; {
		found, err := next(func(line []byte) (err error) {
			isComplete, err = kqrequest.CheckTrailerLine(line)
			return err
		})
		if err != nil {
			return refused(err)
		}
		if !found {
			return wait
		}
	}
	return verdict{sound, len(input) - len(rest), body}
}

// seeds are requests that are sound or nearly so.
var seeds = []string{
	"GET /a HTTP/1.1\r\nHost: shop.example\r\n\r\n",
	"\r\nGET /a?b=c%20d HTTP/1.1\r\nhost:[::1]:80\r\nX-Foo: \t a b \xff\t\r\nX-Bar:\r\n\r\nGET /b HTTP/1.1\r\n",
	"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
	"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\na\r\n002\r\nbc\r\n0\r\nX-Foo: a\r\n\r\nrest",
	"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
	"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
	"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"GET /a HTTP/1.0\r\nConnection: keep-alive\r\nHost:\r\n\r\n",
	"GET /a HTTP/2.0\r\nHost: h\r\n\r\n",
	"GET http://h:80?a HTTP/1.1\r\nHost: h\r\n\r\n",
	"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
	"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: h\r\nX Foo: a\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: h\r\nX-Foo : a\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: h\r\nX-Foo: a\r\n b\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n",
	"GET /a HTTP/1.1\nHost: h\n\n",
	"GET /a HTTP/1.1\r\nHost: h\r\nX-Foo: a\rb\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 3\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
}

// FuzzRequest compares the verdict of the package on any bytes with that of the second
// decider.
func FuzzRequest(f *testing.F) {
	for _, s := range seeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		if got, want := decide(t, input), reference(input); got != want {
			t.Errorf("%q: got %+v, want %+v as the second decider says", input, got, want)
		}
	})
}

// FuzzStream checks requests that follow each other, in pieces of a size, against the
// second decider.
func FuzzStream(f *testing.F) {
	for i, s := range seeds {
		f.Add([]byte(s+seeds[(i+1)%len(seeds)]), uint8(i))
	}
	f.Fuzz(func(t *testing.T, input []byte, size uint8) {
		var stream kqrequest.Stream
		got, taken := wait.status, 0
		for piece := range slices.Chunk(input, int(size)+1) {
			valid, err := stream.Check(bytes.Clone(piece))
			taken += valid
			if err != nil {
				got = statusOf(t, input, err)
				break
			}
		}
		want, sent := reference(input), 0
		for want.status == sound {
			sent += want.length
			want = reference(input[sent:])
		}
		if got != want.status || got != wait.status && taken < sent || got == wait.status && taken != len(input) {
			t.Errorf("%q: got status %d after %d bytes, want %d after %d or more", input, got, taken, want.status, sent)
		}
	})
}

// TestReasonsOfMalformedRequests reads why requests are refused.
func TestReasonsOfMalformedRequests(t *testing.T) {
	const start = "POST /a HTTP/1.1\r\nHost: h\r\n"
	for input, want := range map[string]kqrequest.Reason{
		"GET /a\r\n":                          kqrequest.ReasonRequestLine,
		"GET /a\x01 HTTP/1.1\r\n":             kqrequest.ReasonTarget,
		"GET /a HTTP/3.0\r\n":                 kqrequest.ReasonVersion,
		"GET /a HTTP/1.1\n":                   kqrequest.ReasonLineEnd,
		start + " a\r\n":                      kqrequest.ReasonFolding,
		start + "X Foo: a\r\n":                kqrequest.ReasonFieldName,
		start + "X-Foo: \x00\r\n":             kqrequest.ReasonFieldValue,
		start + "Host: h\r\n":                 kqrequest.ReasonHost,
		start + "Content-Length: 1, 1\r\n":    kqrequest.ReasonLength,
		start + "Transfer-Encoding: gzip\r\n": kqrequest.ReasonCoding,
		start + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n": kqrequest.ReasonLength,
		"GET /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n":           kqrequest.ReasonCoding,
		"GET /a HTTP/1.1\r\n\r\n":                                         kqrequest.ReasonHost,
	} {
		var head kqrequest.Head
		var err error
		for line := range bytes.Lines([]byte(input)) {
			if _, err = head.AddLine(line); err != nil {
				break
			}
		}
		if got := kqrequest.ReasonOf(err); got != want {
			t.Errorf("%q: got reason %q, want %q", input, got, want)
		}
	}
	if _, err := kqrequest.ParseChunkLine([]byte("g\r\n")); kqrequest.ReasonOf(err) != kqrequest.ReasonChunk {
		t.Errorf("chunk: got %v, want the reason Chunk", err)
	}
	if _, err := kqrequest.CheckTrailerLine([]byte("X Foo: a\r\n")); kqrequest.ReasonOf(err) != kqrequest.ReasonTrailer {
		t.Errorf("trailer: got %v, want the reason Trailer", err)
	}
}

// TestLengthBeyondAllNumbers reads a length that no int holds.
func TestLengthBeyondAllNumbers(t *testing.T) {
	var head kqrequest.Head
	for line := range bytes.Lines([]byte("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 92233720368547758070000\r\n\r\n")) {
		if _, err := head.AddLine(line); err != nil {
			t.Fatal(err)
		}
	}
	if _, got := head.Framing(); got != math.MaxInt {
		t.Errorf("length: got %d, want the largest int", got)
	}
}

func BenchmarkHead(b *testing.B) {
	var lines [][]byte
	for _, line := range []string{
		"GET /look/some/path?of=a&request=1 HTTP/1.1\r\n", "Host: shop.example\r\n", "User-Agent: some-client/1.0\r\n", "Accept: */*\r\n",
		"X-Request-Id: 9c41d07be2a35f68\r\n", "X-Deadline: 6000\r\n", "Content-Type: application/json\r\n", "Content-Length: 512\r\n", "\r\n",
	} {
		lines = append(lines, []byte(line))
	}
	b.ReportAllocs()
	for range b.N {
		var head kqrequest.Head
		for _, line := range lines {
			if _, err := head.AddLine(line); err != nil {
				b.Fatal(err)
			}
		}
	}
}
