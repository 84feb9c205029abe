package kqhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqhttp"
)

const (
	// endlessCalls is the number of concurrent calls with an endless answer.
	endlessCalls = 100
	// endlessMemory is the heap growth in bytes that they may cause together:
	// the pool's budget for bodies, as much again for garbage, and buffers.
	endlessMemory = 96 << 20
	// callTime is the timeout of each call, and endsWithin the time by which all
	// must have ended, with a margin for a machine that is busy otherwise.
	callTime   = 500 * time.Millisecond
	endsWithin = 5 * time.Second
)

// announcedBytes is the largest body that a pool reads by default.
const announcedBytes = 16 << 20

// endless lists answers without an end: head is written once, and more is
// written repeatedly.
var endless = []struct{ name, head, more string }{
	{"status line", "HTTP/1.1 200 ", "O"},
	{"header name", "HTTP/1.1 200 OK\r\nX-", "a"},
	{"header value", "HTTP/1.1 200 OK\r\nX-Long: ", "a"},
	{"headers", "HTTP/1.1 200 OK\r\n", "X-More: a\r\n"},
	{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"early hints", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	{"body without length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "body "},
	{"body that was announced", "HTTP/1.1 200 OK\r\nContent-Length: 16777216\r\n\r\n", "body "},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
	{"one large chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffff0\r\n", "body"},
	{"chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "a"},
	{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: a\r\n"},
	{"lines that end nowhere", "", "n"},
	{"blank lines", "", "\r\n"},
	{"control bytes", "", "\x00\x01"},
	{"answers without a status", "", "HTTP/1.1 000 \r\n\r\n"},
	{"reason of an interim answer", "HTTP/1.1 103 ", "a"},
	{"small chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;a=\"b\"\r\nx\r\n"},
	{"empty fields of a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a:\r\n"},
	{"answers to other calls", "", "HTTP/1.1 200 OK\r\nX-Of: another\r\nContent-Length: 4\r\n\r\nbody"},
}

// serveEndless answers the first request of each connection with head and then
// with repetitions of more, in pieces of at least the given size in bytes and
// with the given pause between them.
func serveEndless(l net.Listener, head, more string, piece int, pause time.Duration) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			if err := (&fasthttp.Request{}).Read(bufio.NewReader(c)); err != nil {
				return
			}
			text := []byte(strings.Repeat(more, piece/len(more)+1))
			ticks := time.NewTicker(pause)
			defer ticks.Stop()
			for _, err := io.WriteString(c, head); err == nil; _, err = c.Write(text) {
				<-ticks.C
			}
		}()
	}
}

// TestEndlessAnswersUseBoundedMemoryAndTime guards against a faulty server that
// exhausts memory or blocks callers. It reads many answers at once that go on
// until the connection is closed, either as fast as they are read or slowly.
func TestEndlessAnswersUseBoundedMemoryAndTime(t *testing.T) {
	collectLikeANode(t)
	for _, speed := range []struct {
		name  string
		piece int
		pause time.Duration
	}{{"fast", 64 << 10, time.Nanosecond}, {"trickle", 1, 50 * time.Millisecond}} {
		for _, e := range endless {
			t.Run(speed.name+" "+e.name, func(t *testing.T) {
				l := listen(t)
				go serveEndless(l, e.head, e.more, speed.piece, speed.pause)
				pool := kqhttp.NewPool(l.Addr().String(), kqhttp.WithAnswerMatcher(func(_ *fasthttp.Request, r *fasthttp.Response) bool {
					return len(r.Header.Peek("X-Of")) == 0
				}))
				peakGrowth := measureHeapGrowth(t)
				var calls sync.WaitGroup
				started := time.Now()
				for range endlessCalls {
					calls.Add(1)
					go func() {
						defer calls.Done()
						ctx, cancel := context.WithTimeout(context.Background(), callTime)
						defer cancel()
						response := &fasthttp.Response{}
						err := callPool(ctx, pool, response)
						// A body of the announced length may be read whole, and a
						// call may time out before it has connected.
						whole := err == nil && len(response.Body()) == announcedBytes
						if !whole && !errors.Is(err, kqhttp.ErrLost) && !errors.Is(err, kqhttp.ErrNotSent) {
							t.Errorf("call: got %v and a body of %d bytes, want an error marked ErrLost", err, len(response.Body()))
						}
					}()
				}
				calls.Wait()
				if took := time.Since(started); took > endsWithin {
					t.Errorf("calls: ended after %s, want at most %s", took, endsWithin)
				}
				if got := peakGrowth(); got > endlessMemory {
					t.Errorf("memory: grew by %d bytes, want at most %d", got, endlessMemory)
				}
			})
		}
	}
}

// collectLikeANode sets how often garbage is collected to that of a node. By default a
// busy machine collects so late that garbage exceeds what is held several times.
func collectLikeANode(t *testing.T) {
	t.Helper()
	percent, limit := debug.SetGCPercent(50), debug.SetMemoryLimit(200<<20)
	t.Cleanup(func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
	})
}

// measureHeapGrowth samples the heap until the returned function is called, which
// returns the largest growth in bytes.
func measureHeapGrowth(t *testing.T) func() int64 {
	t.Helper()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	before, peak := int64(m.HeapAlloc), int64(0)
	ended, stop := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		ticks := time.NewTicker(20 * time.Millisecond)
		defer ticks.Stop()
		for {
			runtime.ReadMemStats(&m)
			peak = max(peak, int64(m.HeapAlloc)-before)
			select {
			case <-ticks.C:
			case <-stop:
				return
			}
		}
	}()
	return func() int64 {
		close(stop)
		<-ended
		return peak
	}
}

// TestLargeAnswersAreRead reads bodies of each kind of framing that are large
// enough to count against the memory budget.
func TestLargeAnswersAreRead(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 300<<10/16)
	for name, answer := range map[string]string{
		"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunks": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"close":  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
	} {
		l := listen(t)
		serveOnce(l, answer)
		response := &fasthttp.Response{}
		if err := do(kqhttp.NewPool(l.Addr().String()), response); err != nil || string(response.Body()) != body {
			t.Errorf("%s: got %v and a body of %d bytes, want one of %d", name, err, len(response.Body()), len(body))
		}
	}
}

// TestTruncatedAnswersAreLost closes the connection after each proper prefix of
// an answer.
func TestTruncatedAnswersAreLost(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n",
	} {
		for end := range len(answer) {
			l := listen(t)
			serveOnce(l, answer[:end])
			response := &fasthttp.Response{}
			if err := do(kqhttp.NewPool(l.Addr().String()), response); !errors.Is(err, kqhttp.ErrLost) {
				t.Errorf("answer that ends after %q: got %v with body %q, want an error marked ErrLost", answer[:end], err, response.Body())
			}
		}
	}
}

// serveOnce writes the answer to one call and closes the connection.
func serveOnce(l net.Listener, answer string) {
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if err := (&fasthttp.Request{}).Read(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, answer)
		}
	}()
}

func do(p *kqhttp.Pool, response *fasthttp.Response) error {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return callPool(ctx, p, response)
}

func callPool(ctx context.Context, p *kqhttp.Pool, response *fasthttp.Response) error {
	request := &fasthttp.Request{}
	request.SetRequestURI("/")
	request.Header.SetHost("server")
	return p.Do(ctx, request, response)
}
