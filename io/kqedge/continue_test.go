package kqedge_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqedge"
)

const putWithExpect = "PUT /put HTTP/1.1\r\nHost: shop\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n"

// TestInterimAnswerOvertakesAnEarlierAnswer guards against "100 Continue" for a request
// that was sent ahead in the midst of, or before, the answer to an earlier one.
func TestInterimAnswerOvertakesAnEarlierAnswer(t *testing.T) {
	s := newTestServer(t)
	c, r := dial(t, s.address)
	send(t, c, get("/wait")+putWithExpect)
	<-s.started
	// The second request has been read when a third byte of time has passed: nothing may
	// be written before the first answer.
	_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if got, err := r.Peek(1); err == nil {
		t.Fatalf("before the first answer: got %q, want nothing", got)
	}
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	s.release <- struct{}{}
	response := &fasthttp.Response{}
	if err := response.Read(r); err != nil || string(response.Body()) != "GET /wait " {
		t.Fatalf("first answer: got %q, %v, want that to GET /wait", response.Body(), err)
	}
	line, err := r.ReadString('\n')
	if want := "HTTP/1.1 100 Continue\r\n"; err != nil || line != want {
		t.Fatalf("after the first answer: got %q, %v, want %q", line, err, want)
	}
	if _, err := r.Discard(len("\r\n")); err != nil {
		t.Fatal(err)
	}
	send(t, c, "body")
	if err := response.Read(r); err != nil || string(response.Body()) != "PUT /put body" {
		t.Errorf("second answer: got %q, %v, want that to PUT /put", response.Body(), err)
	}
}

// TestInterimAnswerStandsInABody has a caller read a long answer slowly, with a request
// behind it that expects an interim answer.
func TestInterimAnswerStandsInABody(t *testing.T) {
	long := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	server := kqedge.New(func(_ context.Context, e *kqedge.Exchange) {
		if e.Request.Header.IsGet() {
			e.Response.SetBodyRaw(long)
			return
		}
		e.Response.SetBodyString("done " + string(e.Request.Body()))
	})
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	c, r := dial(t, address)
	send(t, c, get("/long")+putWithExpect)
	first, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Body.Close()
	got, err := io.ReadAll(first.Body)
	if err != nil || !bytes.Equal(got, long) {
		t.Fatalf("body of the long answer: got %d bytes, %v, want its %d bytes unchanged", len(got), err, len(long))
	}
	send(t, c, "body")
	second, err := http.ReadResponse(r, nil)
	if err != nil || second.StatusCode != http.StatusContinue {
		t.Fatalf("after the long answer: got %+v, %v, want status 100", second, err)
	}
	defer second.Body.Close()
	last, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer last.Body.Close()
	if got, err := io.ReadAll(last.Body); err != nil || string(got) != "done body" {
		t.Errorf("last answer: got %q, %v, want %q", got, err, "done body")
	}
}

// TestCallerThatLeavesBeforeTheInterimAnswer has a caller leave while the interim answer
// waits for an earlier one, whose request must be cancelled.
func TestCallerThatLeavesBeforeTheInterimAnswer(t *testing.T) {
	s := newTestServer(t)
	c, _ := dial(t, s.address)
	send(t, c, get("/wait")+putWithExpect)
	<-s.started
	_ = c.Close()
	if got, want := <-s.cancelled, "/wait"; got != want {
		t.Errorf("cancelled request: got %s, want %s", got, want)
	}
}

// TestSlowBodyAfterTheInterimAnswer checks that the time for the body begins with the
// interim answer: a caller that sends none is cut off, and one whose interim answer had to
// wait for longer than that is not.
func TestSlowBodyAfterTheInterimAnswer(t *testing.T) {
	const idleTime = 300 * time.Millisecond
	s := newTestServer(t, kqedge.WithLimits(func() kqedge.Limits { return kqedge.Limits{IdleTime: idleTime} }))
	c, r := dial(t, s.address)
	send(t, c, get("/wait")+putWithExpect)
	<-s.started
	pause := time.NewTimer(3 * idleTime)
	defer pause.Stop()
	<-pause.C
	s.release <- struct{}{}
	for _, want := range []int{http.StatusOK, http.StatusContinue} {
		response, err := http.ReadResponse(r, nil)
		if err != nil || response.StatusCode != want {
			t.Fatalf("answer: got %+v, %v, want status %d", response, err, want)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if got, err := r.Peek(1); err == nil {
		t.Errorf("without a body: got %q, want the connection closed", got)
	}
}
