package kqedge_test

import (
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"
)

// TestRequestsDuringShutdownAreAnsweredOrRefused shuts the server down while
// requests arrive on a connection with a partly read request, on an idle one and
// on a new one. None of them may be closed without an answer.
func TestRequestsDuringShutdownAreAnsweredOrRefused(t *testing.T) {
	s := newTestServer(t)
	partial, partialReader := dial(t, s.address)
	idle, idleReader := dial(t, s.address)
	send(t, idle, get("/before"))
	expectAnswer(t, idleReader, "GET /before ")
	send(t, partial, "GET /half HTTP/1.1\r\nHo")
	for s.server.Reading() == 0 {
		runtime.Gosched()
	}
	fresh, freshReader := dial(t, s.address)
	shutDown := make(chan struct{})
	go func() {
		s.server.Shutdown()
		close(shutDown)
	}()
	send(t, idle, get("/kept"))
	send(t, fresh, get("/fresh"))
	<-shutDown
	send(t, partial, "st: a\r\n\r\n")
	for name, r := range map[string]io.Reader{"half": partialReader, "kept": idleReader, "fresh": freshReader} {
		text, err := io.ReadAll(r)
		if err != nil && !errors.Is(err, io.EOF) {
			t.Errorf("%s: got %v, want an answer", name, err)
		}
		// A request that started before the shutdown has been served.
		served := "GET /" + name + " "
		if got := string(text); !strings.Contains(got, "HTTP/1.1 503 ") && !strings.Contains(got, served) {
			t.Errorf("%s: got %q, want a refusal or an answer", name, got)
		}
	}
}
