package kqhttp_test

import (
	"bufio"
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

// testTimeout ends a test that hangs.
const testTimeout = time.Minute

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// dropIncoming attaches a socket filter that drops each segment that arrives on
// the connection before TCP processes it, so that nothing is acknowledged. This
// needs no network device or proxy between the two ends.
func dropIncoming(t testing.TB, c net.Conn) {
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

// segmentsReceived returns the number of segments received on the connection.
func segmentsReceived(t testing.TB, c net.Conn) uint32 {
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

// server echoes the body of each call. Calls to "/wait" are answered only after
// unblock is closed.
type server struct {
	connections chan net.Conn
	callStarted chan struct{}
	unblock     chan struct{}
}

func newServer(l net.Listener) *server {
	s := &server{connections: make(chan net.Conn, 64), callStarted: make(chan struct{}, 64), unblock: make(chan struct{})}
	h := &fasthttp.Server{NoDefaultServerHeader: true, Handler: func(c *fasthttp.RequestCtx) {
		if string(c.Path()) == "/wait" {
			s.callStarted <- struct{}{}
			<-s.unblock
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

// TestSilentConnectionIsDetectedDuringCall drops all segments while a call is
// running: the call must fail without waiting for its deadline, and the next
// one must use a new connection.
func TestSilentConnectionIsDetectedDuringCall(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	l := listen(t)
	s := newServer(l)
	defer close(s.unblock)
	p := kqhttp.NewPool(l.Addr().String())
	result := make(chan error, 1)
	go func() { result <- post(ctx, p, "/wait") }()
	<-s.callStarted
	dropIncoming(t, <-s.connections)
	if err := <-result; !errors.Is(err, kqhttp.ErrSilent) || !errors.Is(err, kqhttp.ErrLost) {
		t.Errorf("call on the silent connection: got %v, want an error marked ErrSilent and ErrLost", err)
	}
	if err := post(ctx, p, "/list"); err != nil {
		t.Errorf("call over a new connection: got %v, want an answer", err)
	}
}

// uploadTo sends a large body to a server that reads the head of the request, calls
// pause, and then reads the rest and answers. It returns the error of the call.
func uploadTo(ctx context.Context, t *testing.T, pause func(c net.Conn)) error {
	t.Helper()
	l := listen(t)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		var head fasthttp.RequestHeader
		r := bufio.NewReader(c)
		if head.Read(r) != nil {
			return
		}
		pause(c)
		if _, err := io.CopyN(io.Discard, r, int64(head.ContentLength())); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("/upload")
	request.Header.SetHost("backend")
	request.SetBodyRaw(make([]byte, 32<<20))
	return kqhttp.NewPool(l.Addr().String()).Do(ctx, request, response)
}

// TestServerThatStopsReadingIsCutOff guards against taking a server that does not read
// for a while, within the deadline of the call, for a silent connection. The kernel
// then asks for the window at growing intervals, of 1.6 s and more after 3 s.
func TestServerThatStopsReadingIsCutOff(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := uploadTo(ctx, t, func(net.Conn) { <-time.After(5 * time.Second) }); err != nil {
		t.Errorf("upload to a server that read on after 5 s: got %v, want an answer", err)
	}
}

// TestSilentConnectionWithClosedWindowIsFound drops all segments of a server that has
// stopped reading. The call must fail without waiting for its deadline.
func TestSilentConnectionWithClosedWindowIsFound(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	begun := time.Now()
	err := uploadTo(ctx, t, func(c net.Conn) {
		<-time.After(300 * time.Millisecond)
		dropIncoming(t, c)
		<-ctx.Done()
	})
	if !errors.Is(err, kqhttp.ErrSilent) || !errors.Is(err, kqhttp.ErrLost) {
		t.Errorf("upload to a server that is gone: got %v, want an error marked ErrSilent and ErrLost", err)
	}
	if got, want := time.Since(begun), 4*time.Second; got > want {
		t.Errorf("time until the call failed: got %s, want at most %s", got, want)
	}
}

// TestSlowServerKeepsItsConnection guards against taking a slow server for a
// silent connection. The call waits until the kernel has sent several probes.
func TestSlowServerKeepsItsConnection(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	l := listen(t)
	s := newServer(l)
	p := kqhttp.NewPool(l.Addr().String())
	result := make(chan error, 1)
	go func() { result <- post(ctx, p, "/wait") }()
	<-s.callStarted
	c := <-s.connections
	before := segmentsReceived(t, c)
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for segmentsReceived(t, c) < before+3 {
		select {
		case err := <-result:
			t.Fatalf("slow call: ended with %v before the server answered", err)
		case <-ticker.C:
		case <-ctx.Done():
			t.Fatal("timed out: the kernel sent no keep-alive probes on the connection")
		}
	}
	close(s.unblock)
	if err := <-result; err != nil {
		t.Errorf("slow call: got %v, want an answer", err)
	}
}

// TestClosedIdleConnectionIsNotUsed closes the idle connection of the pool on
// the server's side. A call written into it would be lost.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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
	defer close(s.unblock)
	result := make(chan error, 1)
	go func() { result <- post(ctx, kqhttp.NewPool(l.Addr().String()), "/wait") }()
	<-s.callStarted
	cancel()
	if err := <-result; !errors.Is(err, kqhttp.ErrLost) {
		t.Errorf("cancelled call: got %v, want an error marked ErrLost", err)
	}
}

// serveUntilDisconnect runs a server whose handler for "/wait" returns when its
// caller disconnects, which it reports on disconnected, or when unblock is
// closed. It returns the address.
func serveUntilDisconnect(t *testing.T, disconnected, unblock chan struct{}) string {
	t.Helper()
	watched, err := kqhttp.NewListener(listen(t))
	if err != nil {
		t.Fatal(err)
	}
	h := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
		if string(c.Path()) != "/wait" {
			return
		}
		notified := make(chan struct{})
		defer kqhttp.OnDisconnect(c.Conn(), func() { close(notified) })()
		select {
		case <-notified:
			disconnected <- struct{}{}
		case <-unblock:
		}
	}}
	go func() { _ = h.Serve(watched) }()
	t.Cleanup(func() { _ = h.Shutdown() })
	return watched.Addr().String()
}

func TestDisconnectedCallerIsDetected(t *testing.T) {
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
			t.Run(name+" with "+strings.Fields(ahead + "nothing")[0]+" pipelined", func(t *testing.T) {
				disconnected := make(chan struct{}, 1)
				address := serveUntilDisconnect(t, disconnected, nil)
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
				case <-disconnected:
				case <-time.After(testTimeout):
					t.Error("the caller's disconnect was not detected")
				}
			})
		}
	}
}

// TestPipelinedCallsAreAnswered guards against a listener that reads bytes of
// pipelined requests while it watches for a disconnect.
func TestPipelinedCallsAreAnswered(t *testing.T) {
	disconnected, unblock := make(chan struct{}, 1), make(chan struct{})
	c, err := net.Dial("tcp", serveUntilDisconnect(t, disconnected, unblock))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, strings.Repeat("GET /wait HTTP/1.1\r\nHost: entry\r\n\r\n", 3)); err != nil {
		t.Fatal(err)
	}
	close(unblock)
	var got strings.Builder
	buffer := make([]byte, 4096)
	for strings.Count(got.String(), "HTTP/1.1 200 OK") < 3 {
		n, err := c.Read(buffer)
		got.Write(buffer[:n])
		if err != nil {
			t.Fatalf("read answers: got %v after %q, want three answers", err, got.String())
		}
	}
	if len(disconnected) != 0 {
		t.Error("a caller that waits for its answers was reported as disconnected")
	}
}

// BenchmarkSilentConnection measures the longest time from the start of the
// silence to the failure of the call on the connection.
func BenchmarkSilentConnection(b *testing.B) {
	l := listen(b)
	s := newServer(l)
	defer close(s.unblock)
	p := kqhttp.NewPool(l.Addr().String())
	longest := time.Duration(0)
	for range b.N {
		result := make(chan error, 1)
		go func() { result <- post(context.Background(), p, "/wait") }()
		<-s.callStarted
		dropIncoming(b, <-s.connections)
		start := time.Now()
		if err := <-result; !errors.Is(err, kqhttp.ErrSilent) {
			b.Fatal(err)
		}
		longest = max(longest, time.Since(start))
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
