package kqtrunk_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqtrunk"
)

// testTimeout ends a test that hangs.
const testTimeout = time.Minute

// testContext returns a context that ends with the test or after testTimeout.
func testContext(t testing.TB) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// peer is a server that echoes the bodies of calls. It answers calls to the
// service "wait" only after release is closed.
type peer struct {
	server    *kqtrunk.Server
	started   chan string
	cancelled chan string
	release   chan struct{}
}

func newPeer(t testing.TB) *peer {
	t.Helper()
	p := &peer{started: make(chan string, 64), cancelled: make(chan string, 64), release: make(chan struct{})}
	var err error
	p.server, err = kqtrunk.Listen("127.0.0.1:0", kqtrunk.Handlers{Call: p.call, Message: func(_ string, payload []byte, reply func([]byte)) {
		reply(append([]byte("heard "), payload...))
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.server.Close() })
	return p
}

func (p *peer) call(ctx context.Context, _ string, head kqtrunk.CallHead, body []byte) (kqtrunk.AnswerHead, []byte) {
	if head.Service == "wait" {
		p.started <- head.RequestID
		select {
		case <-p.release:
		case <-ctx.Done():
			p.cancelled <- head.RequestID
		}
	}
	return kqtrunk.AnswerHead{End: kqcall.Ran(), Status: 200, Headers: []kqtrunk.Header{{Name: "X", Value: head.RequestID}}}, body
}

// TestPanicLeavesACallWithoutAnswer has the handler of one call panic. The peer must
// learn at once that the call may have run, and other calls of the link go on.
func TestPanicLeavesACallWithoutAnswer(t *testing.T) {
	server, err := kqtrunk.Listen("127.0.0.1:0", kqtrunk.Handlers{
		Call: func(_ context.Context, _ string, head kqtrunk.CallHead, body []byte) (kqtrunk.AnswerHead, []byte) {
			if head.Service == "panic" {
				panic("handler fails")
			}
			return kqtrunk.AnswerHead{End: kqcall.Ran(), Status: 200}, body
		},
		Submit: func(task func()) error {
			go func() {
				defer func() { _ = recover() }()
				task()
			}()
			return nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	d := kqtrunk.NewDialer(kqtrunk.Handlers{})
	defer d.Close()
	for _, c := range []struct {
		service string
		want    kqcall.End
	}{{"echo", kqcall.Ran()}, {"panic", kqcall.Unknown(kqcall.CausePanic)}, {"echo", kqcall.Ran()}} {
		answer, err := d.Call(testContext(t), server.Address(), kqtrunk.CallHead{Service: c.service, RequestID: "r", Budget: time.Minute}, []byte("body"))
		if err != nil {
			t.Fatalf("call to %s: got %v, want an answer", c.service, err)
		}
		if got := answer.Head.End; got != c.want {
			t.Errorf("call to %s: got %+v, want %+v", c.service, got, c.want)
		}
	}
}

func TestConcurrentCallsShareOneConnection(t *testing.T) {
	p := newPeer(t)
	d := kqtrunk.NewDialer(kqtrunk.Handlers{})
	defer d.Close()
	var group sync.WaitGroup
	for i := range 200 {
		group.Add(1)
		go func() {
			defer group.Done()
			id := fmt.Sprint(i)
			body := bytes.Repeat([]byte(id), i*50)
			a, err := d.Call(testContext(t), p.server.Address(), kqtrunk.CallHead{RequestID: id}, body)
			if err != nil {
				t.Errorf("call %s: %v", id, err)
				return
			}
			if a.Head.Headers[0].Value != id || !bytes.Equal(a.Body, body) {
				t.Errorf("call %s: got the answer to %s with %d bytes, want %d bytes", id, a.Head.Headers[0].Value, len(a.Body), len(body))
			}
		}()
	}
	group.Wait()
	if got := len(d.Peers()); got != 1 {
		t.Errorf("connections: got %d, want 1", got)
	}
}

func TestCancelledContextCancelsTheCallAtThePeer(t *testing.T) {
	p := newPeer(t)
	d := kqtrunk.NewDialer(kqtrunk.Handlers{})
	defer d.Close()
	ctx, cancel := context.WithCancel(testContext(t))
	ended := make(chan error, 1)
	go func() {
		_, err := d.Call(ctx, p.server.Address(), kqtrunk.CallHead{RequestID: "a", Service: "wait"}, nil)
		ended <- err
	}()
	<-p.started
	cancel()
	if err := <-ended; !errors.Is(err, kqtrunk.ErrLost) || errors.Is(err, kqtrunk.ErrNotSent) {
		t.Errorf("cancelled call: got %v, want ErrLost", err)
	}
	<-p.cancelled
	if _, err := d.Call(testContext(t), p.server.Address(), kqtrunk.CallHead{RequestID: "b"}, nil); err != nil {
		t.Errorf("call after a cancelled one: got %v, want an answer", err)
	}
}

func TestClosedConnectionEndsItsCallsOnBothEnds(t *testing.T) {
	p := newPeer(t)
	changes := make(chan bool, 8)
	d := kqtrunk.NewDialer(kqtrunk.Handlers{ConnectionChanged: func(_ string, up bool, _ error) { changes <- up }})
	ended := make(chan error, 1)
	go func() {
		_, err := d.Call(testContext(t), p.server.Address(), kqtrunk.CallHead{RequestID: "a", Service: "wait"}, nil)
		ended <- err
	}()
	<-p.started
	if up := <-changes; !up {
		t.Error("first change: got lost, want connected")
	}
	d.Close()
	if err := <-ended; !errors.Is(err, kqtrunk.ErrLost) || errors.Is(err, kqtrunk.ErrNotSent) {
		t.Errorf("call on a closed connection: got %v, want ErrLost", err)
	}
	<-p.cancelled
	if up := <-changes; up {
		t.Error("second change: got connected, want lost")
	}
}

func TestCallToUnreachablePeerIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	d := kqtrunk.NewDialer(kqtrunk.Handlers{})
	defer d.Close()
	for range 3 {
		if _, err := d.Call(testContext(t), address, kqtrunk.CallHead{RequestID: "a"}, nil); !errors.Is(err, kqtrunk.ErrNotSent) {
			t.Errorf("call to an unreachable peer: got %v, want ErrNotSent", err)
		}
	}
}

// lossyProxy forwards bytes between a dialer and a peer. After dropBytes it drops
// them, until the next connection is made.
type lossyProxy struct {
	listener net.Listener
	mutex    sync.Mutex
	silent   bool
}

func newLossyProxy(t *testing.T, to string) *lossyProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &lossyProxy{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				_ = near.Close()
				continue
			}
			s.mutex.Lock()
			s.silent = false
			s.mutex.Unlock()
			go s.forward(far, near)
			go s.forward(near, far)
		}
	}()
	return s
}

func (s *lossyProxy) forward(to, from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		s.mutex.Lock()
		silent := s.silent
		s.mutex.Unlock()
		if !silent {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
	}
}

func (s *lossyProxy) dropBytes() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = true
}

func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	p := newPeer(t)
	s := newLossyProxy(t, p.server.Address())
	address := s.listener.Addr().String()
	d := kqtrunk.NewDialer(kqtrunk.Handlers{})
	defer d.Close()
	if _, err := d.Call(testContext(t), address, kqtrunk.CallHead{RequestID: "a"}, nil); err != nil {
		t.Fatal(err)
	}
	s.dropBytes()
	if _, err := d.Call(testContext(t), address, kqtrunk.CallHead{RequestID: "b"}, nil); !errors.Is(err, kqtrunk.ErrSilent) || !errors.Is(err, kqtrunk.ErrLost) {
		t.Errorf("call on an unresponsive connection: got %v, want ErrSilent and ErrLost", err)
	}
	if _, err := d.Call(testContext(t), address, kqtrunk.CallHead{RequestID: "c"}, nil); err != nil {
		t.Errorf("call over a new connection: got %v, want an answer", err)
	}
}

// TestAnsweredPingsKeepTheConnectionOfALongCall has a call run for longer than it
// takes to retire a connection on which pings are not answered.
func TestAnsweredPingsKeepTheConnectionOfALongCall(t *testing.T) {
	p := newPeer(t)
	d := kqtrunk.NewDialer(kqtrunk.Handlers{})
	defer d.Close()
	ended := make(chan error, 1)
	go func() {
		_, err := d.Call(testContext(t), p.server.Address(), kqtrunk.CallHead{RequestID: "a", Service: "wait"}, nil)
		ended <- err
	}()
	<-p.started
	quiet := time.NewTimer(1500 * time.Millisecond)
	defer quiet.Stop()
	select {
	case err := <-ended:
		t.Fatalf("long call: ended with %v before its answer", err)
	case <-quiet.C:
	}
	close(p.release)
	if err := <-ended; err != nil {
		t.Errorf("long call: got %v, want an answer", err)
	}
}

func TestMessagesAreSentInBothDirections(t *testing.T) {
	p := newPeer(t)
	received := make(chan string, 1)
	d := kqtrunk.NewDialer(kqtrunk.Handlers{Message: func(_ string, payload []byte, _ func([]byte)) { received <- string(payload) }})
	defer d.Close()
	if err := d.SendMessage(p.server.Address(), []byte("x")); !errors.Is(err, kqtrunk.ErrNotSent) {
		t.Errorf("message without a connection: got %v, want ErrNotSent", err)
	}
	if _, err := d.Call(testContext(t), p.server.Address(), kqtrunk.CallHead{}, nil); err != nil {
		t.Fatal(err)
	}
	if err := d.SendMessage(p.server.Address(), []byte("routes?")); err != nil {
		t.Fatal(err)
	}
	if got := <-received; got != "heard routes?" {
		t.Errorf("reply: got %q", got)
	}
}

// FuzzFrames sends arbitrary bytes to a server, which must not crash.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 5, 0, 0, 0, 0, 0, 0, 0, 1})
	f.Add([]byte{0, 0, 0, 8, 1, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 200, 0x80, 0, 0, 0})
	f.Add([]byte{255, 255, 255, 255, 1})
	p := newPeer(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := net.Dial("tcp", p.server.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := c.Write(data); err != nil {
			return
		}
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
}

// FuzzCallArrivesUnchanged sends a call whose path, header value and body hold any bytes
// over one link. They must arrive as they are, and so must the answer's. A value that
// can't be sent ends its own call only.
func FuzzCallArrivesUnchanged(f *testing.F) {
	server, err := kqtrunk.Listen("127.0.0.1:0", kqtrunk.Handlers{
		Call: func(_ context.Context, _ string, head kqtrunk.CallHead, body []byte) (kqtrunk.AnswerHead, []byte) {
			return kqtrunk.AnswerHead{End: kqcall.Ran(), Status: 200, Headers: append(head.Headers, kqtrunk.Header{Name: "Path", Value: head.Path})}, body
		},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = server.Close() })
	d := kqtrunk.NewDialer(kqtrunk.Handlers{})
	f.Cleanup(d.Close)
	// The peer's version is known after the first answer.
	if _, err := d.Call(testContext(f), server.Address(), kqtrunk.CallHead{}, nil); err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, path, value string, body []byte) {
		answer, err := d.Call(testContext(t), server.Address(), kqtrunk.CallHead{Path: path, Headers: []kqtrunk.Header{{Name: "Value", Value: value}}}, body)
		if err != nil {
			t.Fatalf("call with path %q and value %q: got %v, want an answer", path, value, err)
		}
		got := answer.Head.Headers
		if len(got) != 2 || got[0].Value != value || got[1].Value != path || !bytes.Equal(answer.Body, body) {
			t.Errorf("call with path %q, value %q and body %q: got %q and %q, want them unchanged", path, value, body, got, answer.Body)
		}
	})
}

func BenchmarkCall(b *testing.B) {
	p := newPeer(b)
	d := kqtrunk.NewDialer(kqtrunk.Handlers{})
	defer d.Close()
	body := make([]byte, 1500)
	b.ReportAllocs()
	for range b.N {
		if _, err := d.Call(context.Background(), p.server.Address(), kqtrunk.CallHead{RequestID: "a"}, body); err != nil {
			b.Fatal(err)
		}
	}
}
