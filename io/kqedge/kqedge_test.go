package kqedge_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqedge"
)

// testTimeout ends a test that hangs.
const testTimeout = time.Minute

// testServer is a server that echoes requests. Each request to "/wait..." is
// reported on started and waits for a value on release; if it is cancelled, it is
// reported on cancelled.
type testServer struct {
	server    *kqedge.Server
	address   string
	started   chan string
	cancelled chan string
	release   chan struct{}
}

func newTestServer(t *testing.T, options ...kqedge.Option) *testServer {
	t.Helper()
	s := &testServer{started: make(chan string, 64), cancelled: make(chan string, 64), release: make(chan struct{}, 64)}
	s.server = kqedge.New(s.handle, options...)
	address, err := s.server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = address
	t.Cleanup(s.server.Close)
	return s
}

func (s *testServer) handle(ctx context.Context, e *kqedge.Exchange) {
	path := string(e.Request.Header.RequestURI())
	if strings.HasPrefix(path, "/wait") {
		s.started <- path
		select {
		case <-s.release:
		case <-ctx.Done():
			s.cancelled <- path
			return
		}
	}
	e.Response.SetBodyString(string(e.Request.Header.Method()) + " " + path + " " + string(e.Request.Body()))
}

func dial(t *testing.T, address string) (*net.TCPConn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return c.(*net.TCPConn), bufio.NewReader(c)
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: shop.example\r\n\r\n"
}

// readAnswer reads an answer and reports whether it says that the connection
// closes.
func readAnswer(t *testing.T, r *bufio.Reader) (status int, body string, closes bool) {
	t.Helper()
	response := &fasthttp.Response{}
	if err := response.Read(r); err != nil {
		t.Fatalf("read answer: %v", err)
	}
	return response.StatusCode(), string(response.Body()), response.ConnectionClose()
}

func expectAnswer(t *testing.T, r *bufio.Reader, want string) {
	t.Helper()
	if status, body, _ := readAnswer(t, r); status != 200 || body != want {
		t.Fatalf("answer: got %d %q, want 200 %q", status, body, want)
	}
}

func TestPipelinedRequestsStartAtOnceAndAreAnsweredInOrder(t *testing.T) {
	s := newTestServer(t)
	c, r := dial(t, s.address)
	send(t, c, get("/wait/1")+get("/wait/2")+get("/quick"))
	<-s.started
	<-s.started
	s.release <- struct{}{}
	s.release <- struct{}{}
	expectAnswer(t, r, "GET /wait/1 ")
	expectAnswer(t, r, "GET /wait/2 ")
	expectAnswer(t, r, "GET /quick ")
}

// TestUnsafePipelinedRequestWaits sends a request that may not be repeated after
// a slow one. It must not start before the answer: a connection that closes in
// between must not have run it.
func TestUnsafePipelinedRequestWaits(t *testing.T) {
	s := newTestServer(t)
	c, r := dial(t, s.address)
	send(t, c, get("/wait/1")+"POST /wait/2 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\n\r\nbuy")
	if got := <-s.started; got != "/wait/1" {
		t.Fatalf("first request started: got %s, want /wait/1", got)
	}
	select {
	case got := <-s.started:
		t.Fatalf("unsafe request after an unanswered one: %s started, want it to wait", got)
	default:
	}
	s.release <- struct{}{}
	expectAnswer(t, r, "GET /wait/1 ")
	if got := <-s.started; got != "/wait/2" {
		t.Fatalf("second request started: got %s, want /wait/2", got)
	}
	s.release <- struct{}{}
	expectAnswer(t, r, "POST /wait/2 buy")
}

func TestBodies(t *testing.T) {
	s := newTestServer(t)
	c, r := dial(t, s.address)
	send(t, c, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	expectAnswer(t, r, "POST /a abcde")
	send(t, c, "GET /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nGET ")
	expectAnswer(t, r, "GET /b GET ")
	send(t, c, "DELETE /c HTTP/1.1\r\nHost: h\r\n\r\n")
	expectAnswer(t, r, "DELETE /c ")
	send(t, c, "POST /d HTTP/1.1\r\nHost: h\r\nContent-Type: multipart/form-data; boundary=x\r\nContent-Length: 9\r\n\r\nnot parts")
	expectAnswer(t, r, "POST /d not parts")
	send(t, c, "GET /%2e/a//b?x=%20y HTTP/1.1\r\nHost: h\r\n\r\n")
	expectAnswer(t, r, "GET /%2e/a//b?x=%20y ")
}

func TestLargeHeaderIsReadWithinItsLimit(t *testing.T) {
	s := newTestServer(t, kqedge.WithLimits(func() kqedge.Limits { return kqedge.Limits{HeaderBytes: 16 << 10, BodyBytes: 100} }))
	c, r := dial(t, s.address)
	send(t, c, "GET /large HTTP/1.1\r\nHost: h\r\nX-Long: "+strings.Repeat("v", 12<<10)+"\r\n\r\n"+get("/next"))
	expectAnswer(t, r, "GET /large ")
	expectAnswer(t, r, "GET /next ")
	send(t, c, "GET /huge HTTP/1.1\r\nHost: h\r\nX-Long: "+strings.Repeat("v", 20<<10)+"\r\n\r\n")
	if status, _, closes := readAnswer(t, r); status != fasthttp.StatusRequestHeaderFieldsTooLarge || !closes {
		t.Errorf("header beyond the limit: got %d, closes %t, want 431, true", status, closes)
	}
	c, r = dial(t, s.address)
	send(t, c, "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n")
	if status, _, closes := readAnswer(t, r); status != fasthttp.StatusRequestEntityTooLarge || !closes {
		t.Errorf("body beyond the limit: got %d, closes %t, want 413, true", status, closes)
	}
}

func TestMalformedRequestIsRefusedAndClosesTheConnection(t *testing.T) {
	for _, text := range []string{
		"nonsense\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	} {
		s := newTestServer(t)
		c, r := dial(t, s.address)
		send(t, c, text+get("/smuggled"))
		if status, _, closes := readAnswer(t, r); status != fasthttp.StatusBadRequest || !closes {
			t.Errorf("%q: got %d, closes %t, want 400, true", text, status, closes)
		}
		if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
			t.Errorf("%q: got %q, %v after the refusal, want the end", text, rest, err)
		}
	}
}

func TestDisconnectCancelsAllRequestsOfTheCaller(t *testing.T) {
	for _, last := range []string{"", "Connection: close\r\n"} {
		s := newTestServer(t)
		c, _ := dial(t, s.address)
		send(t, c, get("/wait/1")+"GET /wait/2 HTTP/1.1\r\nHost: h\r\n"+last+"\r\n")
		<-s.started
		<-s.started
		if err := c.Close(); err != nil {
			t.Fatal(err)
		}
		<-s.cancelled
		<-s.cancelled
	}
}

// TestDrainingServerAnswersWhatItHasRead checks that a draining server closes a
// connection only after the last request that has started.
func TestDrainingServerAnswersWhatItHasRead(t *testing.T) {
	s := newTestServer(t)
	c, r := dial(t, s.address)
	send(t, c, get("/wait/1")+get("/wait/2"))
	<-s.started
	<-s.started
	s.server.Drain()
	s.release <- struct{}{}
	s.release <- struct{}{}
	if _, body, closes := readAnswer(t, r); body != "GET /wait/1 " || closes {
		t.Errorf("first answer: got %q, closes %t, want it to stay open", body, closes)
	}
	if _, body, closes := readAnswer(t, r); body != "GET /wait/2 " || !closes {
		t.Errorf("last answer: got %q, closes %t, want it to close", body, closes)
	}
	c, r = dial(t, s.address)
	send(t, c, get("/new"))
	if _, body, closes := readAnswer(t, r); body != "GET /new " || !closes {
		t.Errorf("new connection while draining: got %q, closes %t, want an answer that closes", body, closes)
	}
	_ = c
}

func TestNoRequestStartsAfterShutdown(t *testing.T) {
	s := newTestServer(t)
	busy, busyReader := dial(t, s.address)
	idle, idleReader := dial(t, s.address)
	send(t, idle, get("/before"))
	expectAnswer(t, idleReader, "GET /before ")
	send(t, busy, get("/wait/1"))
	<-s.started
	s.server.Shutdown()
	if _, err := idleReader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: got %v, want io.EOF", err)
	}
	send(t, busy, get("/late"))
	select {
	case path := <-s.cancelled:
		t.Fatalf("request %s was cancelled by a later one that the server no longer reads", path)
	case <-time.After(100 * time.Millisecond):
	}
	s.release <- struct{}{}
	if _, body, closes := readAnswer(t, busyReader); body != "GET /wait/1 " || !closes {
		t.Errorf("answer after the shutdown: got %q, closes %t, want it to close", body, closes)
	}
	if rest, err := io.ReadAll(busyReader); err != nil || len(rest) > 0 {
		t.Errorf("after the last answer: got %q, %v, want the end", rest, err)
	}
	if c, err := net.Dial("tcp", s.address); err == nil {
		_ = c.Close()
		t.Error("connection after the shutdown: it was accepted, want it refused")
	}
}

// shutdownBody is the body of an answer. It shuts its server down when it has been
// written, while the request still counts as in flight.
type shutdownBody struct {
	io.Reader
	shutdown func()
}

func (b *shutdownBody) Close() error {
	b.shutdown()
	return nil
}

// TestShutdownDuringAnAnswerClosesTheConnection shuts the server down when the
// headers of the answer have been written, so that they can't say that the
// connection closes.
func TestShutdownDuringAnAnswerClosesTheConnection(t *testing.T) {
	var server *kqedge.Server
	server = kqedge.New(func(_ context.Context, e *kqedge.Exchange) {
		e.Response.SetBodyStream(&shutdownBody{Reader: strings.NewReader("last"), shutdown: server.Shutdown}, len("last"))
	})
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	c, r := dial(t, address)
	send(t, c, get("/"))
	expectAnswer(t, r, "last")
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the last answer: got %v, want the end", err)
	}
}

// TestCallersGetTheirOwnAnswers guards against mixed-up answers when many callers
// send pipelined requests.
// TestPanickingHandlerAnswersWithSuccess guards against the empty answer with status
// 200 that a response has which no handler has filled.
func TestPanickingHandlerAnswersWithSuccess(t *testing.T) {
	server := kqedge.New(func(_ context.Context, e *kqedge.Exchange) {
		if string(e.Request.Header.RequestURI()) == "/panic" {
			e.Response.SetStatusCode(fasthttp.StatusAccepted)
			panic("handler fails")
		}
		e.Response.SetBodyString("whole")
	}, kqedge.WithSubmit(func(task func()) error {
		go func() {
			defer func() { _ = recover() }()
			task()
		}()
		return nil
	}))
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	c, reader := dial(t, address)
	_, _ = io.WriteString(c, "GET /panic HTTP/1.1\r\nHost: x\r\n\r\nGET /next HTTP/1.1\r\nHost: x\r\n\r\n")
	for _, want := range []struct {
		status int
		body   string
	}{{500, ""}, {200, "whole"}} {
		response := &fasthttp.Response{}
		if err := response.Read(reader); err != nil {
			t.Fatal(err)
		}
		if got := response.StatusCode(); got != want.status || string(response.Body()) != want.body {
			t.Errorf("answer: got status %d and body %q, want %d and %q", got, response.Body(), want.status, want.body)
		}
	}
}

// TestBurstOfConnectionsCutsOffRequests opens more connections than the server keeps:
// new ones replace idle ones, and those with a request go on.
func TestBurstOfConnectionsCutsOffRequests(t *testing.T) {
	const limit = 4
	s := newTestServer(t, kqedge.WithMaxConnections(limit))
	busy, busyReader := dial(t, s.address)
	_, _ = io.WriteString(busy, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
	<-s.started
	for i := range 3 * limit {
		c, reader := dial(t, s.address)
		path := fmt.Sprint("/", i)
		_, _ = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
		response := &fasthttp.Response{}
		if err := response.Read(reader); err != nil || string(response.Body()) != "GET "+path+" " {
			t.Fatalf("connection %d: got %q, %v, want its answer", i, response.Body(), err)
		}
		// The server closes its side of a connection that a later one replaces.
		go func() {
			_, _ = io.Copy(io.Discard, reader)
			_ = c.Close()
		}()
	}
	s.release <- struct{}{}
	response := &fasthttp.Response{}
	if err := response.Read(busyReader); err != nil || response.StatusCode() != fasthttp.StatusOK {
		t.Errorf("request of a connection that was busy all the while: got %v, want its answer", err)
	}
}

func TestCallersGetTheirOwnAnswers(t *testing.T) {
	s := newTestServer(t)
	done := make(chan error, 8)
	for i := range cap(done) {
		c, r := dial(t, s.address)
		go func() {
			for j := range 50 {
				text := ""
				for k := range 4 {
					text += get(fmt.Sprintf("/%d/%d/%d", i, j, k))
				}
				if _, err := io.WriteString(c, text); err != nil {
					done <- err
					return
				}
				for k := range 4 {
					response := &fasthttp.Response{}
					if err := response.Read(r); err != nil {
						done <- err
						return
					}
					if got, want := string(response.Body()), fmt.Sprintf("GET /%d/%d/%d ", i, j, k); got != want {
						done <- fmt.Errorf("answer: got %q, want %q", got, want)
						return
					}
				}
			}
			done <- nil
		}()
	}
	for range cap(done) {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

func FuzzRequest(f *testing.F) {
	f.Add(get("/a") + get("/b"))
	f.Add("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("GET / HTTP/1.1\r\nHost: h\r\n Folded: x\r\n\r\n")
	server := kqedge.New(func(_ context.Context, e *kqedge.Exchange) { e.Response.SetBodyString("ok") })
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(server.Close)
	f.Fuzz(func(t *testing.T, text string) {
		c, r := dial(t, address)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if err := c.CloseWrite(); err != nil {
			return
		}
		for {
			if err := (&fasthttp.Response{}).Read(r); err != nil {
				return
			}
		}
	})
}
