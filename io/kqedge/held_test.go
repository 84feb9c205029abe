package kqedge_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"kumquatlink/io/kqedge"
)

// readStatus reads an answer whole and returns its status.
func readStatus(r *bufio.Reader) (int, error) {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// TestBodiesOfRunningRequestsUseBoundedMemory guards against a server whose memory grows
// with the uploads that run: their bodies counted only while they were read. One that does
// not fit beside them is refused before its body has been sent, and all that were begun
// are answered.
func TestBodiesOfRunningRequestsUseBoundedMemory(t *testing.T) {
	const (
		bodyBytes = 8 << 20
		// fitting is how many such bodies fit into the memory for bodies.
		fitting = 4
	)
	s := newTestServer(t, kqedge.WithLimits(func() kqedge.Limits { return kqedge.Limits{BodyBytes: 2 * bodyBytes} }))
	body := strings.Repeat("b", bodyBytes)
	upload := func(path string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", path, bodyBytes)
	}
	statuses := make(chan int, fitting)
	for i := range fitting {
		c, r := dial(t, s.address)
		send(t, c, upload(fmt.Sprintf("/wait/%d", i))+body)
		<-s.started
		go func() {
			status, err := readStatus(r)
			if err != nil {
				t.Errorf("answer to an upload: got %v, want one", err)
			}
			statuses <- status
		}()
	}
	c, r := dial(t, s.address)
	send(t, c, upload("/too-much"))
	if err := c.SetReadDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if got, err := readStatus(r); err != nil || got != http.StatusServiceUnavailable {
		t.Errorf("upload that does not fit, before its body: got %d, %v, want status 503", got, err)
	}
	c, r = dial(t, s.address)
	send(t, c, get("/small"))
	if got, err := readStatus(r); err != nil || got != http.StatusOK {
		t.Errorf("small request beside the uploads: got %d, %v, want status 200", got, err)
	}
	for range fitting {
		s.release <- struct{}{}
	}
	for range fitting {
		if got := <-statuses; got != http.StatusOK {
			t.Errorf("upload that was begun: got status %d, want 200", got)
		}
	}
	got := 0
	for begun := time.Now(); got != http.StatusOK && time.Since(begun) < testTimeout; {
		c, r := dial(t, s.address)
		send(t, c, upload("/later")+body)
		if status, err := readStatus(r); err == nil {
			got = status
		}
	}
	if got != http.StatusOK {
		t.Errorf("upload after the others: got status %d, want 200", got)
	}
}

// TestSlowBodyIsCutOffWithTheHeader sends a header at once and its body in parts, over
// several times the time for a header. It must be served; a body whose sender pauses for
// longer than an idle connection may, and a header that takes too long, must not.
func TestSlowBodyIsCutOffWithTheHeader(t *testing.T) {
	t.Parallel()
	limits := kqedge.Limits{HeaderTime: 200 * time.Millisecond, IdleTime: 700 * time.Millisecond, BodyBytes: 1 << 20}
	s := newTestServer(t, kqedge.WithLimits(func() kqedge.Limits { return limits }))
	const head = "POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n"
	for _, c := range []struct {
		name   string
		parts  []string
		pause  time.Duration
		served bool
	}{
		{"body in parts", []string{head, "v", "o", "i", "c", "e"}, limits.HeaderTime, true},
		{"body with a long pause", []string{head + "v", "oice"}, 2 * limits.IdleTime, false},
		{"header in parts", []string{head[:10], head[10:20], head[20:] + "voice"}, limits.HeaderTime, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			conn, r := dial(t, s.address)
			for i, part := range c.parts {
				if i > 0 {
					<-time.After(c.pause)
				}
				// A server that has given up may have closed the connection.
				_, _ = io.WriteString(conn, part)
			}
			status, err := readStatus(r)
			if c.served && (err != nil || status != http.StatusOK) {
				t.Errorf("slow request: got status %d, %v, want 200", status, err)
			}
			if !c.served && err == nil {
				t.Errorf("slow request: got status %d, want its connection closed", status)
			}
		})
	}
}
