package kqedge_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqbody"
	"kumquatlink/io/kqedge"
)

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// TestRequestsSentAheadOutliveTheirCaller guards against a caller whose departure is not
// noticed while a request that it sent ahead waits for the one before.
func TestRequestsSentAheadOutliveTheirCaller(t *testing.T) {
	s := newTestServer(t)
	c, _ := dial(t, s.address)
	send(t, c, post("/wait-1", "one")+post("/wait-2", "two")+get("/wait-3"))
	if got, want := <-s.started, "/wait-1"; got != want {
		t.Fatalf("first request: got %s, want %s", got, want)
	}
	_ = c.Close()
	if got, want := <-s.cancelled, "/wait-1"; got != want {
		t.Errorf("cancelled request: got %s, want %s", got, want)
	}
	s.server.Close()
	select {
	case got := <-s.started:
		t.Errorf("request after the caller has left: got %s started, want none", got)
	default:
	}
}

// TestRequestsSentAheadKeepTheirOrder checks that a request that must not run beside
// another starts after the answer to that one, and that all are answered in order.
func TestRequestsSentAheadKeepTheirOrder(t *testing.T) {
	s := newTestServer(t)
	c, r := dial(t, s.address)
	paths := []string{"/wait-1", "/wait-2", "/wait-3"}
	text := ""
	for _, path := range paths {
		text += post(path, "x")
	}
	send(t, c, text+get("/last"))
	for i, want := range paths {
		if got := <-s.started; got != want {
			t.Errorf("start %d: got %s, want %s", i, got, want)
		}
		select {
		case got := <-s.started:
			t.Errorf("start beside %s: got %s, want none", want, got)
		default:
		}
		s.release <- struct{}{}
	}
	for _, want := range []string{"POST /wait-1 x", "POST /wait-2 x", "POST /wait-3 x", "GET /last "} {
		response := &fasthttp.Response{}
		if err := response.Read(r); err != nil || string(response.Body()) != want {
			t.Errorf("answer: got %q, %v, want %q", response.Body(), err, want)
		}
	}
}

// TestBodiesOfRequestsSentAheadAreNotCounted guards against memory that callers take with
// small bodies of requests which wait for the one before on their connection.
func TestBodiesOfRequestsSentAheadAreNotCounted(t *testing.T) {
	const count, size = 12, 60_000
	memory := kqbody.NewBudget(16 << 20)
	s := newTestServer(t, kqedge.WithMemory(memory))
	c, r := dial(t, s.address)
	send(t, c, post("/wait", "")+strings.Repeat(post("/ahead", strings.Repeat("x", size)), count))
	await := func(what string, condition func(inUse int) bool) {
		t.Helper()
		for begun := time.Now(); !condition(memory.InUse()); runtime.Gosched() {
			if time.Since(begun) > testTimeout {
				t.Fatalf("memory in use: got %d, want %s", memory.InUse(), what)
			}
		}
	}
	<-s.started
	await("the bodies that wait", func(inUse int) bool { return inUse >= count*size })
	s.release <- struct{}{}
	for range count + 1 {
		response := &fasthttp.Response{}
		if err := response.Read(r); err != nil || response.StatusCode() != fasthttp.StatusOK {
			t.Fatalf("answer: got %d, %v, want 200", response.StatusCode(), err)
		}
	}
	await("none after the answers", func(inUse int) bool { return inUse == 0 })
}
