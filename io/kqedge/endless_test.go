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
	// endlessCallers is how many callers send without end at once.
	endlessCallers = 100
	// endlessMemory is what they may take together: the allowance for bodies,
	// as much again for the garbage that it leaves, and buffers.
	endlessMemory = 96 << 20
)

// TestRequestsWithoutEndTakeLittleMemory has many callers announce a large body
// and send little of it, or send on and on, while another one is served.
func TestRequestsWithoutEndTakeLittleMemory(t *testing.T) {
	for name, e := range map[string]struct{ head, more string }{
		"announced": {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 16777216\r\n\r\n", "b"},
		"one chunk": {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nfffff0\r\n", "b"},
		"chunks":    {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("4\r\nbody\r\n", 4096)},
		"header":    {"POST / HTTP/1.1\r\nHost: a\r\nX-Long: ", strings.Repeat("a", 4096)},
		"headers":   {"POST / HTTP/1.1\r\nHost: a\r\n", strings.Repeat("X-More: a\r\n", 512)},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, kqedge.WithLimits(func() kqedge.Limits { return kqedge.Limits{BodyBytes: 16 << 20} }))
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			before := m.HeapAlloc
			for range endlessCallers {
				c, _ := dial(t, s.address)
				go sendOn(c, e.head, []byte(e.more))
			}
			other, answers := dial(t, s.address)
			most := uint64(0)
			for range 20 {
				send(t, other, get("/other"))
				wantAnswer(t, answers, "GET /other ")
				runtime.ReadMemStats(&m)
				most = max(most, m.HeapAlloc-min(before, m.HeapAlloc))
			}
			if most > endlessMemory {
				t.Errorf("memory: grew by %d bytes, want at most %d", most, endlessMemory)
			}
		})
	}
}

// sendOn sends until the connection is closed.
func sendOn(c net.Conn, head string, more []byte) {
	ticks := time.NewTicker(time.Millisecond)
	defer ticks.Stop()
	for _, err := io.WriteString(c, head); err == nil; _, err = c.Write(more) {
		<-ticks.C
	}
}

// TestLargeBodiesAreRead sends bodies that are larger than what is read without
// regard to others, and one that is cut off.
func TestLargeBodiesAreRead(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 300<<10/16)
	s := newSite(t)
	for name, request := range map[string]string{
		"length": fmt.Sprintf("POST /length HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunks": fmt.Sprintf("POST /chunks HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	} {
		c, r := dial(t, s.address)
		send(t, c, request+get("/next"))
		wantAnswer(t, r, "POST /"+name+" "+body)
		wantAnswer(t, r, "GET /next ")
		cut, answers := dial(t, s.address)
		send(t, cut, request[:len(request)-100])
		if err := cut.CloseWrite(); err != nil {
			t.Fatal(err)
		}
		if status, got, _ := answer(t, answers); status != 0 && status != 400 {
			t.Errorf("%s that is cut off: got %d %.50q, want none or 400", name, status, got)
		}
	}
}
