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

// testPatience only ends a test that hangs.
const testPatience = time.Minute

// site is a server whose requests to "/wait..." wait until they are let go.
type site struct {
	server  *kqedge.Server
	address string
	begun   chan string
	gone    chan string
	letGo   chan struct{}
}

func newSite(t *testing.T, options ...kqedge.Option) *site {
	t.Helper()
	s := &site{begun: make(chan string, 64), gone: make(chan string, 64), letGo: make(chan struct{}, 64)}
	s.server = kqedge.New(s.handle, options...)
	address, err := s.server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = address
	t.Cleanup(s.server.Close)
	return s
}

func (s *site) handle(ctx context.Context, e *kqedge.Exchange) {
	path := string(e.Request.Header.RequestURI())
	if strings.HasPrefix(path, "/wait") {
		s.begun <- path
		select {
		case <-s.letGo:
		case <-ctx.Done():
			s.gone <- path
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
	if err := c.SetDeadline(time.Now().Add(testPatience)); err != nil {
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

// answer reads one answer.
func answer(t *testing.T, r *bufio.Reader) (status int, body string, closes bool) {
	t.Helper()
	response := &fasthttp.Response{}
	if err := response.Read(r); err != nil {
		t.Fatalf("read answer: %v", err)
	}
	return response.StatusCode(), string(response.Body()), response.ConnectionClose()
}

func wantAnswer(t *testing.T, r *bufio.Reader, want string) {
	t.Helper()
	if status, body, _ := answer(t, r); status != 200 || body != want {
		t.Fatalf("answer: got %d %q, want 200 %q", status, body, want)
	}
}

func TestRequestsSentAheadBeginAtOnceAndAreAnsweredInOrder(t *testing.T) {
	s := newSite(t)
	c, r := dial(t, s.address)
	send(t, c, get("/wait/1")+get("/wait/2")+get("/quick"))
	<-s.begun
	<-s.begun
	s.letGo <- struct{}{}
	s.letGo <- struct{}{}
	wantAnswer(t, r, "GET /wait/1 ")
	wantAnswer(t, r, "GET /wait/2 ")
	wantAnswer(t, r, "GET /quick ")
}

// TestUnsafeRequestSentAheadWaits has a request that may not be repeated
// behind another: a connection that closes before has not read it.
func TestUnsafeRequestSentAheadWaits(t *testing.T) {
	s := newSite(t)
	c, r := dial(t, s.address)
	send(t, c, get("/wait/1")+"POST /wait/2 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\n\r\nbuy")
	if got := <-s.begun; got != "/wait/1" {
		t.Fatalf("first request begun: got %s", got)
	}
	select {
	case got := <-s.begun:
		t.Fatalf("request behind an unanswered one: got %s begun", got)
	default:
	}
	s.letGo <- struct{}{}
	wantAnswer(t, r, "GET /wait/1 ")
	if got := <-s.begun; got != "/wait/2" {
		t.Fatalf("second request begun: got %s", got)
	}
	s.letGo <- struct{}{}
	wantAnswer(t, r, "POST /wait/2 buy")
}

func TestBodies(t *testing.T) {
	s := newSite(t)
	c, r := dial(t, s.address)
	send(t, c, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	wantAnswer(t, r, "POST /a abcde")
	send(t, c, "GET /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nGET ")
	wantAnswer(t, r, "GET /b GET ")
	send(t, c, "DELETE /c HTTP/1.1\r\nHost: h\r\n\r\n")
	wantAnswer(t, r, "DELETE /c ")
	send(t, c, "POST /d HTTP/1.1\r\nHost: h\r\nContent-Type: multipart/form-data; boundary=x\r\nContent-Length: 9\r\n\r\nnot parts")
	wantAnswer(t, r, "POST /d not parts")
	send(t, c, "GET /%2e/a//b?x=%20y HTTP/1.1\r\nHost: h\r\n\r\n")
	wantAnswer(t, r, "GET /%2e/a//b?x=%20y ")
}

func TestLargeHeaderIsReadWithinItsLimit(t *testing.T) {
	s := newSite(t, kqedge.WithLimits(func() kqedge.Limits { return kqedge.Limits{HeaderBytes: 16 << 10, BodyBytes: 100} }))
	c, r := dial(t, s.address)
	send(t, c, "GET /large HTTP/1.1\r\nHost: h\r\nX-Long: "+strings.Repeat("v", 12<<10)+"\r\n\r\n"+get("/next"))
	wantAnswer(t, r, "GET /large ")
	wantAnswer(t, r, "GET /next ")
	send(t, c, "GET /huge HTTP/1.1\r\nHost: h\r\nX-Long: "+strings.Repeat("v", 20<<10)+"\r\n\r\n")
	if status, _, closes := answer(t, r); status != fasthttp.StatusRequestHeaderFieldsTooLarge || !closes {
		t.Errorf("header beyond the limit: got %d, closes %t, want 431, true", status, closes)
	}
	c, r = dial(t, s.address)
	send(t, c, "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n")
	if status, _, closes := answer(t, r); status != fasthttp.StatusRequestEntityTooLarge || !closes {
		t.Errorf("body beyond the limit: got %d, closes %t, want 413, true", status, closes)
	}
}

func TestMalformedRequestIsRefusedAndEndsTheConnection(t *testing.T) {
	for _, text := range []string{
		"nonsense\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	} {
		s := newSite(t)
		c, r := dial(t, s.address)
		send(t, c, text+get("/smuggled"))
		if status, _, closes := answer(t, r); status != fasthttp.StatusBadRequest || !closes {
			t.Errorf("%q: got %d, closes %t, want 400, true", text, status, closes)
		}
		if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
			t.Errorf("%q: got %q, %v behind the refusal, want the end", text, rest, err)
		}
	}
}

func TestCallerThatLeavesCancelsAllItsRequests(t *testing.T) {
	for _, last := range []string{"", "Connection: close\r\n"} {
		s := newSite(t)
		c, _ := dial(t, s.address)
		send(t, c, get("/wait/1")+"GET /wait/2 HTTP/1.1\r\nHost: h\r\n"+last+"\r\n")
		<-s.begun
		<-s.begun
		if err := c.Close(); err != nil {
			t.Fatal(err)
		}
		<-s.gone
		<-s.gone
	}
}

// TestDrainingServerAnswersWhatItHasRead closes the connection only behind
// the last request that it has begun.
func TestDrainingServerAnswersWhatItHasRead(t *testing.T) {
	s := newSite(t)
	c, r := dial(t, s.address)
	send(t, c, get("/wait/1")+get("/wait/2"))
	<-s.begun
	<-s.begun
	s.server.Drain()
	s.letGo <- struct{}{}
	s.letGo <- struct{}{}
	if _, body, closes := answer(t, r); body != "GET /wait/1 " || closes {
		t.Errorf("first answer: got %q, closes %t, want it to stay open", body, closes)
	}
	if _, body, closes := answer(t, r); body != "GET /wait/2 " || !closes {
		t.Errorf("last answer: got %q, closes %t, want it to close", body, closes)
	}
	c, r = dial(t, s.address)
	send(t, c, get("/new"))
	if _, body, closes := answer(t, r); body != "GET /new " || !closes {
		t.Errorf("new connection while draining: got %q, closes %t, want an answer that closes", body, closes)
	}
	_ = c
}

func TestFinishedServerReadsNothingMore(t *testing.T) {
	s := newSite(t)
	busy, busyReader := dial(t, s.address)
	idle, idleReader := dial(t, s.address)
	send(t, idle, get("/before"))
	wantAnswer(t, idleReader, "GET /before ")
	send(t, busy, get("/wait/1"))
	<-s.begun
	s.server.Shutdown()
	if _, err := idleReader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: got %v, want its end", err)
	}
	send(t, busy, get("/late"))
	select {
	case path := <-s.gone:
		t.Fatalf("request %s was cancelled by one that is not read any more", path)
	case <-time.After(100 * time.Millisecond):
	}
	s.letGo <- struct{}{}
	if _, body, closes := answer(t, busyReader); body != "GET /wait/1 " || !closes {
		t.Errorf("answer of a finishing server: got %q, closes %t, want it to close", body, closes)
	}
	if rest, err := io.ReadAll(busyReader); err != nil || len(rest) > 0 {
		t.Errorf("behind the last answer: got %q, %v, want the end", rest, err)
	}
	if c, err := net.Dial("tcp", s.address); err == nil {
		_ = c.Close()
		t.Error("connection to a finished server: got one, want none")
	}
}

// finishingBody is the body of an answer that finishes its server when it has
// been written, before the server counts the request out.
type finishingBody struct {
	io.Reader
	finish func()
}

func (b *finishingBody) Close() error {
	b.finish()
	return nil
}

// TestServerThatFinishesDuringAnAnswerEndsTheConnection has the server finish
// when the answer can't say any more that the connection closes.
func TestServerThatFinishesDuringAnAnswerEndsTheConnection(t *testing.T) {
	var server *kqedge.Server
	server = kqedge.New(func(_ context.Context, e *kqedge.Exchange) {
		e.Response.SetBodyStream(&finishingBody{Reader: strings.NewReader("last"), finish: server.Shutdown}, len("last"))
	})
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	c, r := dial(t, address)
	send(t, c, get("/"))
	wantAnswer(t, r, "last")
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("behind the last answer: got %v, want the end", err)
	}
}

// TestAnswersOfManyCallersAreTheirOwn has callers with several requests ahead.
func TestAnswersOfManyCallersAreTheirOwn(t *testing.T) {
	s := newSite(t)
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
