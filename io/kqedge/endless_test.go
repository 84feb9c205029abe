package kqedge_test

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"kumquatlink/io/kqedge"
)

const (
	// endlessCallers is the number of concurrent callers with an endless request.
	endlessCallers = 100
	// endlessMemory is the heap growth in bytes that they may cause together:
	// the budget for bodies, as much again for garbage, and buffers.
	endlessMemory = 96 << 20
)

// TestEndlessRequestsUseBoundedMemory guards against callers that exhaust memory.
// Many of them announce a large body and send little of it, or send without end,
// while another caller is served.
func TestEndlessRequestsUseBoundedMemory(t *testing.T) {
	for name, e := range map[string]struct{ head, more string }{
		"announced": {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 16777216\r\n\r\n", "b"},
		"one chunk": {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nfffff0\r\n", "b"},
		"chunks":    {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("4\r\nbody\r\n", 4096)},
		"header":    {"POST / HTTP/1.1\r\nHost: a\r\nX-Long: ", strings.Repeat("a", 4096)},
		"headers":   {"POST / HTTP/1.1\r\nHost: a\r\n", strings.Repeat("X-More: a\r\n", 512)},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, kqedge.WithLimits(func() kqedge.Limits { return kqedge.Limits{BodyBytes: 16 << 20} }))
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			before := m.HeapAlloc
			for range endlessCallers {
				c, _ := dial(t, s.address)
				go sendEndlessly(c, e.head, []byte(e.more))
			}
			other, answers := dial(t, s.address)
			peak := uint64(0)
			for range 20 {
				send(t, other, get("/other"))
				expectAnswer(t, answers, "GET /other ")
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapAlloc-min(before, m.HeapAlloc))
			}
			if peak > endlessMemory {
				t.Errorf("memory: grew by %d bytes, want at most %d", peak, endlessMemory)
			}
		})
	}
}

// sendEndlessly writes head and then repeats more until the connection is closed.
func sendEndlessly(c net.Conn, head string, more []byte) {
	ticks := time.NewTicker(time.Millisecond)
	defer ticks.Stop()
	for _, err := io.WriteString(c, head); err == nil; _, err = c.Write(more) {
		<-ticks.C
	}
}

// TestLargeBodiesAreRead sends bodies that are large enough to count against the
// memory budget, and truncated ones.
func TestLargeBodiesAreRead(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 300<<10/16)
	s := newTestServer(t)
	for name, request := range map[string]string{
		"length": fmt.Sprintf("POST /length HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunks": fmt.Sprintf("POST /chunks HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	} {
		c, r := dial(t, s.address)
		send(t, c, request+get("/next"))
		expectAnswer(t, r, "POST /"+name+" "+body)
		expectAnswer(t, r, "GET /next ")
		truncated, answers := dial(t, s.address)
		send(t, truncated, request[:len(request)-100])
		if err := truncated.CloseWrite(); err != nil {
			t.Fatal(err)
		}
		if status, got, _ := readAnswer(t, answers); status != 0 && status != 400 {
			t.Errorf("truncated body with %s: got %d %.50q, want none or 400", name, status, got)
		}
	}
}
