package kqhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqhttp"
)

const (
	// endlessCalls is how many faulty answers come at once.
	endlessCalls = 100
	// endlessMemory is what they may take together: the pool's allowance for
	// bodies, as much again for the garbage that it leaves, and buffers.
	endlessMemory = 96 << 20
	// callTime is what each call is given, and endsWithin by when it must have
	// ended, on a machine that does other things as well.
	callTime   = 500 * time.Millisecond
	endsWithin = 5 * time.Second
)

// announced is the longest body that a pool reads by default.
const announced = 16 << 20

// endless are answers that never come to their end: what is written once, and
// what is written again and again.
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
	{"answers to others", "", "HTTP/1.1 200 OK\r\nX-Of: another\r\nContent-Length: 4\r\n\r\nbody"},
}

// serveEndless answers each connection with bytes that do not end, in pieces of
// that many bytes and with that pause between them.
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

// TestAnswersWithoutEndTakeLittleMemoryAndEndInTime has many answers at once
// that go on until the connection is closed, as fast as they are read and in
// small pieces.
func TestAnswersWithoutEndTakeLittleMemoryAndEndInTime(t *testing.T) {
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
				grown := watchMemory(t)
				var calls sync.WaitGroup
				begun := time.Now()
				for range endlessCalls {
					calls.Add(1)
					go func() {
						defer calls.Done()
						ctx, cancel := context.WithTimeout(context.Background(), callTime)
						defer cancel()
						response := &fasthttp.Response{}
						err := callPool(ctx, pool, response)
						// One that was announced may come in whole, and a call may
						// find no time to connect.
						whole := err == nil && len(response.Body()) == announced
						if !whole && !errors.Is(err, kqhttp.ErrLost) && !errors.Is(err, kqhttp.ErrNotSent) {
							t.Errorf("call: got %v and a body of %d bytes, want an error marked ErrLost", err, len(response.Body()))
						}
					}()
				}
				calls.Wait()
				if took := time.Since(begun); took > endsWithin {
					t.Errorf("calls: ended after %s, want at most %s", took, endsWithin)
				}
				if got := grown(); got > endlessMemory {
					t.Errorf("memory: grew by %d bytes, want at most %d", got, endlessMemory)
				}
			})
		}
	}
}

// watchMemory gives by how much the heap has grown at most, when it is asked.
func watchMemory(t *testing.T) func() int64 {
	t.Helper()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	before, most := int64(m.HeapAlloc), int64(0)
	ended, stop := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		ticks := time.NewTicker(20 * time.Millisecond)
		defer ticks.Stop()
		for {
			runtime.ReadMemStats(&m)
			most = max(most, int64(m.HeapAlloc)-before)
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
		return most
	}
}

// TestLargeAnswersAreRead reads bodies of all kinds of framing that are larger
// than what is read without regard to others.
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

// TestAnswersThatBreakOffAreLost ends an answer at every byte but the last.
func TestAnswersThatBreakOffAreLost(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n",
	} {
		for end := range len(answer) {
			l := listen(t)
			serveOnce(l, answer[:end])
			response := &fasthttp.Response{}
			if err := do(kqhttp.NewPool(l.Addr().String()), response); !errors.Is(err, kqhttp.ErrLost) {
				t.Errorf("answer that ends behind %q: got %v with body %q, want an error marked ErrLost", answer[:end], err, response.Body())
			}
		}
	}
}

// serveOnce answers one call and closes the connection.
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
	ctx, cancel := context.WithTimeout(context.Background(), testPatience)
	defer cancel()
	return callPool(ctx, p, response)
}

func callPool(ctx context.Context, p *kqhttp.Pool, response *fasthttp.Response) error {
	request := &fasthttp.Request{}
	request.SetRequestURI("/")
	request.Header.SetHost("server")
	return p.Do(ctx, request, response)
}
