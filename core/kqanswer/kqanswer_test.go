package kqanswer_test

import (
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"kumquatlink/core/kqanswer"
)

// The grammar of RFC 9112, section 4 and 5, as the reference. Bytes are matched as runes
// of the same value.
const (
	token = "[!#$%&'*+.^_`|~0-9A-Za-z-]+"
	text  = `[\t -~\x{80}-\x{ff}]*`
	// quoted is a quoted string.
	quoted = `"([\t !#-\[\]-~\x{80}-\x{ff}]|\\[\t -~\x{80}-\x{ff}])*"`
)

var (
	statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] ([0-9]{3}) ` + text + `\r\n$`)
	fieldLine  = regexp.MustCompile(`^(` + token + `):(` + text + `)\r\n$`)
	chunkLine  = regexp.MustCompile(`^([0-9A-Fa-f]+)([ \t]*;[ \t]*` + token + `([ \t]*=[ \t]*(` + token + `|` + quoted + `))?)*\r\n$`)
)

// runes returns a text with a rune for each byte of the line.
func runes(line []byte) string {
	var s strings.Builder
	for _, b := range line {
		s.WriteRune(rune(b))
	}
	return s.String()
}

// bytesOf returns the bytes that runes made a text of.
func bytesOf(text string) string {
	var s []byte
	for _, r := range text {
		s = append(s, byte(r))
	}
	return string(s)
}

// lines generates lines that are valid, or nearly so.
func lines(valid ...string) *rapid.Generator[[]byte] {
	return rapid.Custom(func(t *rapid.T) []byte {
		line := []byte(rapid.SampledFrom(valid).Draw(t, "line"))
		odd := rapid.SampledFrom([]byte("\x00\t\n\v\r !\"%(:;=0159aFgHT/.\\{}\x7f\x80\xff"))
		for range rapid.IntRange(0, 3).Draw(t, "changes") {
			i := rapid.IntRange(0, len(line)-1).Draw(t, "at")
			b := odd.Draw(t, "byte")
			switch rapid.IntRange(0, 2).Draw(t, "change") {
			case 0:
				line[i] = b
			case 1:
				line = append(line[:i], append([]byte{b}, line[i:]...)...)
			default:
				line = append(line[:i], line[i+1:]...)
			}
			if len(line) == 0 {
				break
			}
		}
		return line
	})
}

// checkError checks an error about a line that the reference takes or not.
func checkError(t *rapid.T, line []byte, isValid bool, err error) {
	t.Helper()
	if isValid && err != nil || !isValid && !errors.Is(err, kqanswer.ErrMalformed) {
		t.Fatalf("%q: got %v, the reference says %v", line, err, isValid)
	}
}

func TestStatusLineFollowsTheGrammar(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := lines(
			"HTTP/1.1 200 OK\r\n", "HTTP/1.0 404 \r\n", "HTTP/1.1 103 Early Hints\r\n", "HTTP/1.1 599 \xe9\r\n",
			"HTTP/1.1 000 \r\n", "HTTP/1.1 099 Odd\r\n", "HTTP/1.1 101 Odd\r\n", "HTTP/1.1 600 Odd\r\n",
		).Draw(t, "status line")
		var h kqanswer.Head
		isComplete, err := h.AddLine(line)
		want := 0
		if m := statusLine.FindStringSubmatch(runes(line)); m != nil {
			want, _ = strconv.Atoi(m[1])
		}
		isValid := want >= 100 && want <= 599 && want != 101
		checkError(t, line, isValid, err)
		if isValid && h.Status != want || isComplete {
			t.Fatalf("%q: got status %d, complete %v, want %d and more lines", line, h.Status, isComplete, want)
		}
	})
}

func TestFieldLineFollowsTheGrammar(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := lines("X-Y: a\r\n", "x:\r\n", "X-Y: \t a b \t\r\n", "!#~: \xff\x80:\r\n").Draw(t, "field line")
		if string(line) == "\r\n" {
			return
		}
		var h kqanswer.Head
		if _, err := h.AddLine([]byte("HTTP/1.1 200 OK\r\n")); err != nil {
			t.Fatal(err)
		}
		_, err := h.AddLine(line)
		m := fieldLine.FindStringSubmatch(runes(line))
		checkError(t, line, m != nil, err)
		if m == nil {
			return
		}
		want := kqanswer.Field{Name: m[1], Value: bytesOf(strings.Trim(m[2], " \t"))}
		if h.Fields[0] != want {
			t.Fatalf("%q: got %+v, want %+v", line, h.Fields[0], want)
		}
		if err := kqanswer.CheckField(want.Name, want.Value); err != nil {
			t.Fatalf("field of %q: got %v, want none", line, err)
		}
	})
}

func TestChunkLineFollowsTheGrammar(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := lines("4\r\n", "0\r\n", "00Af;a=b\r\n", "1 ; a = b\r\n", "1;a=\"b\\\"\";c\r\n", "fffffffffffffff\r\n").Draw(t, "chunk line")
		m := chunkLine.FindStringSubmatch(runes(line))
		want, isTooLarge := int64(0), false
		if m != nil {
			var err error
			want, err = strconv.ParseInt(m[1], 16, 61)
			isTooLarge = err != nil
		}
		isValid := m != nil && !isTooLarge
		got, err := kqanswer.ParseChunkLine(line)
		checkError(t, line, isValid, err)
		if isValid && int64(got) != want {
			t.Fatalf("%q: got size %d, want %d", line, got, want)
		}
	})
}

// TestFramingOfHeads reads how bodies end from whole heads.
func TestFramingOfHeads(t *testing.T) {
	for _, c := range []struct {
		head    string
		framing kqanswer.Framing
		length  int
		closes  bool
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", kqanswer.FramingLength, 7, false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 7\r\nConnection: keep-alive, Close\r\n\r\n", kqanswer.FramingLength, 7, true},
		{"HTTP/1.1 200 OK\r\nContent-Length: 7\r\nConnection: closed\r\n\r\n", kqanswer.FramingLength, 7, false},
		{"HTTP/1.0 200 OK\r\nContent-Length: 7\r\n\r\n", kqanswer.FramingLength, 7, true},
		{"HTTP/1.0 200 OK\r\nContent-Length: 7\r\nConnection: Keep-Alive\r\n\r\n", kqanswer.FramingLength, 7, false},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", kqanswer.FramingChunks, 0, false},
		{"HTTP/1.1 200 OK\r\n\r\n", kqanswer.FramingClose, 0, true},
		{"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n", kqanswer.FramingClose, 0, true},
		{"HTTP/1.1 204 No Content\r\n\r\n", kqanswer.FramingNone, 0, false},
		{"HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n", kqanswer.FramingNone, 7, false},
		{"HTTP/1.1 100 Continue\r\n\r\n", kqanswer.FramingNone, 0, false},
	} {
		var h kqanswer.Head
		for line := range strings.SplitAfterSeq(c.head, "\n") {
			if isComplete, err := h.AddLine([]byte(line)); err != nil {
				t.Errorf("%q: got %v, want no error", c.head, err)
			} else if isComplete {
				break
			}
		}
		framing, length := h.Framing(false)
		if framing != c.framing || length != c.length || h.Closes() != c.closes {
			t.Errorf("%q: got framing %d, length %d, closes %v, want %d, %d, %v", c.head, framing, length, h.Closes(), c.framing, c.length, c.closes)
		}
		if framing, _ := h.Framing(true); framing != kqanswer.FramingNone {
			t.Errorf("%q for a HEAD request: got framing %d, want none", c.head, framing)
		}
	}
}

// TestFieldsOfOtherNodesAreChecked checks fields that no line was parsed for.
func TestFieldsOfOtherNodesAreChecked(t *testing.T) {
	for _, f := range []kqanswer.Field{
		{"", "a"},
		{"X Y", "a"},
		{"X-Y ", "a"},
		{"X:Y", "a"},
		{"X\r\nY", "a"},
		{"X-\x01", "a"},
		{"X-\xe9", "a"},
		{"X", "a\r\nY: b"},
		{"X", "a\x00"},
		{"X", "\x7f"},
	} {
		if err := kqanswer.CheckField(f.Name, f.Value); !errors.Is(err, kqanswer.ErrMalformed) {
			t.Errorf("%+v: got %v, want an error marked ErrMalformed", f, err)
		}
	}
}

func BenchmarkHead(b *testing.B) {
	var lines [][]byte
	for _, line := range []string{
		"HTTP/1.1 200 OK\r\n", "Content-Type: application/octet-stream\r\n", "Content-Length: 512\r\n", "X-Request-Id: 9c41d07be2a35f68\r\n",
		"X-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n", "X-Load: 3,0,8\r\n", "Keep-Alive: timeout=5\r\n", "\r\n",
	} {
		lines = append(lines, []byte(line))
	}
	var h kqanswer.Head
	b.ReportAllocs()
	for range b.N {
		h.Reset()
		for _, line := range lines {
			if _, err := h.AddLine(line); err != nil {
				b.Fatal(err)
			}
		}
	}
}
