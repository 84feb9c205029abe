package kqedge_test

import (
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"
)

// TestRequestsThatCrossTheEndAreRefusedAndNotCutOff finishes the server while
// requests come in on connections of all kinds.
func TestRequestsThatCrossTheEndAreRefusedAndNotCutOff(t *testing.T) {
	s := newSite(t)
	half, halfReader := dial(t, s.address)
	kept, keptReader := dial(t, s.address)
	send(t, kept, get("/before"))
	wantAnswer(t, keptReader, "GET /before ")
	send(t, half, "GET /half HTTP/1.1\r\nHo")
	for s.server.Reading() == 0 {
		runtime.Gosched()
	}
	fresh, freshReader := dial(t, s.address)
	finished := make(chan struct{})
	go func() {
		s.server.Shutdown()
		close(finished)
	}()
	send(t, kept, get("/kept"))
	send(t, fresh, get("/fresh"))
	<-finished
	send(t, half, "st: a\r\n\r\n")
	for name, r := range map[string]io.Reader{"half": halfReader, "kept": keptReader, "fresh": freshReader} {
		text, err := io.ReadAll(r)
		if err != nil && !errors.Is(err, io.EOF) {
			t.Errorf("%s: got %v, want an answer", name, err)
		}
		// A request that was begun before the end has been served.
		served := "GET /" + name + " "
		if got := string(text); !strings.Contains(got, "HTTP/1.1 503 ") && !strings.Contains(got, served) {
			t.Errorf("%s: got %q, want a refusal or an answer", name, got)
		}
	}
}
