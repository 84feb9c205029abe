package kqhttp_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"kumquatlink/io/kqhttp"
)

// testPatience only ends a test that hangs.
const testPatience = time.Minute

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// swallow has the kernel drop every segment that comes in on the connection
// before TCP sees it, so that nothing is acknowledged, and counts on nothing
// in between the ends.
func swallow(t testing.TB, c net.Conn) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	var inner error
	err = raw.Control(func(descriptor uintptr) {
		program := unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]}
		inner = unix.SetsockoptSockFprog(int(descriptor), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if err = errors.CombineErrors(err, inner); err != nil {
		t.Fatal(err)
	}
}

// segments is how many segments have come in on the connection.
func segments(t testing.TB, c net.Conn) uint32 {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	count := uint32(0)
	err = raw.Control(func(descriptor uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			count = info.Segs_in
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return count
}

// server answers every call on a connection, except that the calls to "/wait"
// wait until they are let go.
type server struct {
	connections chan net.Conn
	begun       chan struct{}
	letGo       chan struct{}
}

func newServer(l net.Listener) *server {
	s := &server{connections: make(chan net.Conn, 64), begun: make(chan struct{}, 64), letGo: make(chan struct{})}
	h := &fasthttp.Server{NoDefaultServerHeader: true, Handler: func(c *fasthttp.RequestCtx) {
		if string(c.Path()) == "/wait" {
			s.begun <- struct{}{}
			<-s.letGo
		}
		c.SetBody(c.PostBody())
	}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections <- c
			go func() { _ = h.ServeConn(c) }()
		}
	}()
	return s
}

func post(ctx context.Context, p *kqhttp.Pool, path string) error {
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(path)
	request.Header.SetHost("backend")
	request.SetBodyString("voices")
	if err := p.Do(ctx, request, response); err != nil {
		return err
	}
	if got := string(response.Body()); got != "voices" {
		return errors.Newf("body: got %q, want %q", got, "voices")
	}
	return nil
}

func TestSilentConnectionIsFoundUnderACall(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testPatience)
	defer cancel()
	l := listen(t)
	s := newServer(l)
	defer close(s.letGo)
	p := kqhttp.NewPool(l.Addr().String())
	ended := make(chan error, 1)
	go func() { ended <- post(ctx, p, "/wait") }()
	<-s.begun
	swallow(t, <-s.connections)
	if err := <-ended; !errors.Is(err, kqhttp.ErrSilent) || !errors.Is(err, kqhttp.ErrLost) {
		t.Errorf("call on the silent connection: got %v, want an error marked ErrSilent and ErrLost", err)
	}
	if err := post(ctx, p, "/list"); err != nil {
		t.Errorf("call over a new connection: got %v, want an answer", err)
	}
}

// TestSlowServerKeepsItsConnection lets a call wait until the kernel has
// probed the connection several times.
func TestSlowServerKeepsItsConnection(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testPatience)
	defer cancel()
	l := listen(t)
	s := newServer(l)
	p := kqhttp.NewPool(l.Addr().String())
	ended := make(chan error, 1)
	go func() { ended <- post(ctx, p, "/wait") }()
	<-s.begun
	c := <-s.connections
	before := segments(t, c)
	look := time.NewTicker(20 * time.Millisecond)
	defer look.Stop()
	for segments(t, c) < before+3 {
		select {
		case err := <-ended:
			t.Fatalf("slow call: got %v before its answer", err)
		case <-look.C:
		case <-ctx.Done():
			t.Fatal("the kernel does not probe the connection")
		}
	}
	close(s.letGo)
	if err := <-ended; err != nil {
		t.Errorf("slow call: got %v, want an answer", err)
	}
}

// TestClosedIdleConnectionIsNotUsed closes the connection that waits in the
// pool; a call written into it would be lost.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testPatience)
	defer cancel()
	l := listen(t)
	s := newServer(l)
	p := kqhttp.NewPool(l.Addr().String())
	for range 50 {
		if err := post(ctx, p, "/list"); err != nil {
			t.Fatalf("call: got %v, want an answer", err)
		}
		c := <-s.connections
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
	}
}

func TestCancelledCallClosesItsConnection(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	l := listen(t)
	s := newServer(l)
	defer close(s.letGo)
	ended := make(chan error, 1)
	go func() { ended <- post(ctx, kqhttp.NewPool(l.Addr().String()), "/wait") }()
	<-s.begun
	cancel()
	if err := <-ended; !errors.Is(err, kqhttp.ErrLost) {
		t.Errorf("cancelled call: got %v, want an error marked ErrLost", err)
	}
}

// serveGone runs a server whose handler waits until its caller is found gone,
// or is let go.
func serveGone(t *testing.T, gone, letGo chan struct{}) string {
	t.Helper()
	watched, err := kqhttp.NewListener(listen(t))
	if err != nil {
		t.Fatal(err)
	}
	h := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
		if string(c.Path()) != "/wait" {
			return
		}
		found := make(chan struct{})
		defer kqhttp.OnDisconnect(c.Conn(), func() { close(found) })()
		select {
		case <-found:
			gone <- struct{}{}
		case <-letGo:
		}
	}}
	go func() { _ = h.Serve(watched) }()
	t.Cleanup(func() { _ = h.Shutdown() })
	return watched.Addr().String()
}

func TestGoneCallerIsFound(t *testing.T) {
	ends := map[string]func(*net.TCPConn) error{
		"closed": func(c *net.TCPConn) error { return c.Close() },
		"reset": func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		},
	}
	for name, end := range ends {
		for _, ahead := range []string{"", "GET /list HTTP/1.1\r\nHost: entry\r\n\r\n"} {
			t.Run(name+" with "+strings.Fields(ahead + "nothing")[0]+" sent ahead", func(t *testing.T) {
				gone := make(chan struct{}, 1)
				address := serveGone(t, gone, nil)
				c, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.WriteString(c, "GET /wait HTTP/1.1\r\nHost: entry\r\n\r\n"+ahead); err != nil {
					t.Fatal(err)
				}
				if err := end(c.(*net.TCPConn)); err != nil {
					t.Fatal(err)
				}
				select {
				case <-gone:
				case <-time.After(testPatience):
					t.Error("the caller's end was not found")
				}
			})
		}
	}
}

// TestCallsSentAheadAreAnswered shows that watching takes no bytes away.
func TestCallsSentAheadAreAnswered(t *testing.T) {
	gone, letGo := make(chan struct{}, 1), make(chan struct{})
	c, err := net.Dial("tcp", serveGone(t, gone, letGo))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, strings.Repeat("GET /wait HTTP/1.1\r\nHost: entry\r\n\r\n", 3)); err != nil {
		t.Fatal(err)
	}
	close(letGo)
	var got strings.Builder
	buffer := make([]byte, 4096)
	for strings.Count(got.String(), "HTTP/1.1 200 OK") < 3 {
		n, err := c.Read(buffer)
		got.Write(buffer[:n])
		if err != nil {
			t.Fatalf("read answers: %v after %q", err, got.String())
		}
	}
	if len(gone) != 0 {
		t.Error("a caller that waits counts as gone")
	}
}

// BenchmarkSilentConnection gives the time from the silence to the end of a
// call on the silent connection.
func BenchmarkSilentConnection(b *testing.B) {
	l := listen(b)
	s := newServer(l)
	defer close(s.letGo)
	p := kqhttp.NewPool(l.Addr().String())
	longest := time.Duration(0)
	for range b.N {
		ended := make(chan error, 1)
		go func() { ended <- post(context.Background(), p, "/wait") }()
		<-s.begun
		swallow(b, <-s.connections)
		begun := time.Now()
		if err := <-ended; !errors.Is(err, kqhttp.ErrSilent) {
			b.Fatal(err)
		}
		longest = max(longest, time.Since(begun))
	}
	b.ReportMetric(float64(longest.Milliseconds()), "longest-ms")
}

func BenchmarkDo(b *testing.B) {
	l := listen(b)
	newServer(l)
	p := kqhttp.NewPool(l.Addr().String())
	b.ReportAllocs()
	for range b.N {
		if err := post(context.Background(), p, "/list"); err != nil {
			b.Fatal(err)
		}
	}
}
