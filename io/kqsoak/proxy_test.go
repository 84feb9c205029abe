package kqsoak

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// scarceListener has no descriptor left for the first connections.
type scarceListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *scarceListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestProxyEndsWithoutDescriptors guards against a proxy that takes no connection any
// more once the soak had no descriptor left for a moment: the nodes behind it then fail.
func TestProxyEndsWithoutDescriptors(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = target.Close() }()
	go func() {
		if c, err := target.Accept(); err == nil {
			_, _ = io.WriteString(c, "sound")
			_ = c.Close()
		}
	}()
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = front.Close() }()
	l := &scarceListener{Listener: front}
	l.failures.Store(3)
	s := &soak{startedAt: time.Now()}
	p := &proxy{listener: l, target: target.Addr().String(), observe: s.recordAcceptError, connections: map[*connection]struct{}{}}
	go p.accept(l)
	c, err := net.Dial("tcp", front.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	if got, err := io.ReadAll(c); err != nil || string(got) != "sound" {
		t.Errorf("bytes through the proxy: got %q, %v, want %q", got, err, "sound")
	}
	if got, want := s.acceptErrors.Load(), int64(1); got != want {
		t.Errorf("failures that were seen: got %d, want %d in a row as one", got, want)
	}
}
