package kqmesh_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// lateCopyDelay is the time after an answer at which its duplicate is sent on the
// idle connection.
const lateCopyDelay = 5 * time.Millisecond

// duplicatingServer sends every answer twice, the second time at the moment that
// when names.
type duplicatingServer struct {
	mutex sync.Mutex
	// last holds the latest answer on each connection.
	last map[net.Conn]string
	when string
}

func (s *duplicatingServer) answer(c net.Conn, q *fasthttp.Request) {
	body := fmt.Sprintf("%s %s %s", q.Header.Method(), q.Header.RequestURI(), q.Body())
	own := fmt.Sprintf("HTTP/1.1 200 OK\r\nKumquatlink-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", q.Header.Peek("Kumquatlink-Request-Id"), len(body), body)
	s.mutex.Lock()
	former := s.last[c]
	s.last[c] = own
	s.mutex.Unlock()
	switch s.when {
	case "with the answer":
		own += own
	case "while the connection rests":
		time.AfterFunc(lateCopyDelay, func() { _, _ = io.WriteString(c, own) })
	case "before the next answer":
		own = former + own
	case "half before the next answer":
		own = former[:len(former)/2] + own
	case "half while the connection rests":
		time.AfterFunc(lateCopyDelay, func() { _, _ = io.WriteString(c, own[:len(own)/2]) })
	}
	_, _ = io.WriteString(c, own)
}

// TestDuplicateAnswersReachNoOtherRequest checks that a duplicate of an answer,
// which a faulty server sends at different moments, whole or in part, is never
// taken for the answer to the next request on the same connection. Callers send
// their requests one after the other, through another node.
func TestDuplicateAnswersReachNoOtherRequest(t *testing.T) {
	for _, when := range []string{"with the answer", "while the connection rests", "before the next answer", "half before the next answer", "half while the connection rests"} {
		t.Run(when, func(t *testing.T) {
			f := newFleet(t)
			entry, server := f.add("packs-1", "packs"), f.add("orders-1", "orders")
			f.startServing(entry, server, route("/buy/", "orders", true), route("/look/", "orders", false))
			s := &duplicatingServer{last: map[net.Conn]string{}, when: when}
			server.setAnswer(s.answer)
			var callers sync.WaitGroup
			for _, caller := range requestIDs("c", 4) {
				callers.Add(1)
				go func() {
					defer callers.Done()
					for i := range 20 {
						path := []string{"/buy/", "/look/"}[i%2]
						id := fmt.Sprintf("%s-%d", caller, i)
						got := entry.request("POST", path, id, "body of "+id)
						want := fmt.Sprintf("POST %s body of %s", path, id)
						if got.status == fasthttp.StatusOK && got.body != want {
							t.Errorf("request %s: got body %q, want %q or a failure", id, got.body, want)
						}
						if path == "/buy/" && server.runCount(id) > 1 {
							t.Errorf("request %s, which must run only once: begun %d times", id, server.runCount(id))
						}
						if got.status == fasthttp.StatusServiceUnavailable && server.runCount(id) > 0 {
							t.Errorf("request %s: got 503 with %q, but the server has run it", id, strings.TrimSpace(got.body))
						}
					}
				}()
			}
			callers.Wait()
		})
	}
}
