package kqedge_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"kumquatlink/io/kqbody"
	"kumquatlink/io/kqedge"
)

// reclaimMemory is the budget of the servers, and longBytes the size of an answer that no
// kernel holds.
const (
	reclaimMemory = 64 << 20
	longBytes     = 20 << 20
)

// newReclaimServer returns a server that answers "/long" with longBytes, and the budget on
// which it draws. stalled receives the callers that it closes.
func newReclaimServer(t *testing.T) (s *testServer, memory *kqbody.Budget, stalled chan kqedge.Stalled) {
	t.Helper()
	stalled = make(chan kqedge.Stalled, 64)
	s = &testServer{}
	memory = kqbody.NewBudget(reclaimMemory, kqbody.WithShortage(func() { s.server.Reclaim() }))
	s.server = kqedge.New(func(_ context.Context, e *kqedge.Exchange) {
		e.Response.SetBodyString("short")
		if string(e.Request.URI().Path()) == "/long" {
			e.Response.SetBodyRaw(make([]byte, longBytes))
		}
	}, kqedge.WithMemory(memory), kqedge.WithReclaimObserver(func(c kqedge.Stalled) { stalled <- c }))
	var err error
	if s.address, err = s.server.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.server.Close)
	return s, memory, stalled
}

// TestStalledCallersAreClosedWhenMemoryIsShort has callers leave long answers unread until
// memory is short. They must be closed, and a caller that reads gets its whole answer.
func TestStalledCallersAreClosedWhenMemoryIsShort(t *testing.T) {
	s, memory, stalled := newReclaimServer(t)
	for range reclaimMemory / longBytes {
		c, r := dial(t, s.address)
		send(t, c, get("/long"))
		if _, err := r.Peek(1); err != nil {
			t.Fatal(err)
		}
	}
	c, r := dial(t, s.address)
	send(t, c, get("/short"))
	expectAnswer(t, r, "short")
	send(t, c, get("/long"))
	expectLongAnswer(t, r)
	for memory.Missing() > 0 {
		runtime.Gosched()
	}
	if got := <-stalled; got.Bytes < longBytes || got.Time == 0 {
		t.Errorf("caller that was closed: got %+v, want its answer and how long it stalled", got)
	}
	expectAnswerAgain(t, s)
}

// expectLongAnswer reads a long answer whole.
func expectLongAnswer(t *testing.T, r *bufio.Reader) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if got, err := io.Copy(io.Discard, response.Body); err != nil || got != longBytes {
		t.Errorf("long answer: got %d bytes and %v, want %d", got, err, longBytes)
	}
}

// expectAnswerAgain expects an ordinary request to be answered.
func expectAnswerAgain(t *testing.T, s *testServer) {
	t.Helper()
	c, r := dial(t, s.address)
	send(t, c, get("/short"))
	expectAnswer(t, r, "short")
}

// TestSlowCallersAreKeptWhileMemoryLasts leaves one long answer unread beside others.
func TestSlowCallersAreKeptWhileMemoryLasts(t *testing.T) {
	s, memory, stalled := newReclaimServer(t)
	slow, slowReader := dial(t, s.address)
	send(t, slow, get("/long"))
	if _, err := slowReader.Peek(1); err != nil {
		t.Fatal(err)
	}
	s.server.Reclaim()
	expectAnswerAgain(t, s)
	expectLongAnswer(t, slowReader)
	if len(stalled) > 0 {
		t.Errorf("closed callers: got %+v, want none", <-stalled)
	}
	for memory.InUse() > 0 {
		runtime.Gosched()
	}
}

// TestRequestsAreRefusedWhenMemoryIsExceeded exceeds the budget. A request must be refused
// before it runs, with 503, and be served when the memory has been given back.
func TestRequestsAreRefusedWhenMemoryIsExceeded(t *testing.T) {
	s, memory, _ := newReclaimServer(t)
	release := memory.Charge(2 * reclaimMemory)
	c, r := dial(t, s.address)
	send(t, c, get("/short"))
	if status, body, closes := readAnswer(t, r); status != http.StatusServiceUnavailable || !closes {
		t.Errorf("request without memory: got status %d %q, closes %t, want 503 and the end of the connection", status, body, closes)
	}
	release()
	expectAnswerAgain(t, s)
}

// TestUnreadPipelineIsClosedWhenMemoryIsExceeded has the answers of a caller queue up
// behind one that it does not read, until memory is exceeded.
func TestUnreadPipelineIsClosedWhenMemoryIsExceeded(t *testing.T) {
	s, memory, stalled := newReclaimServer(t)
	c, _ := dial(t, s.address)
	send(t, c, strings.Repeat(get("/long"), 8))
	if got := <-stalled; got.Bytes < longBytes {
		t.Errorf("caller that was closed: got %+v, want an answer at least", got)
	}
	for memory.InUse() > 0 {
		runtime.Gosched()
	}
	expectAnswerAgain(t, s)
}
