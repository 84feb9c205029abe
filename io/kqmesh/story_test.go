package kqmesh_test

import (
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqclass"
	"kumquatlink/io/kqmesh"
	"kumquatlink/io/kqstory"
)

// storyLogs is the folder in which the logs of these requests are kept. Package
// kqstory makes the examples of the operations page from them.
const storyLogs = "../kqstory/testdata/"

// TestLogsExplainFailedRequests lets requests fail in three ways and checks that
// the logs alone show the cause of each.
func TestLogsExplainFailedRequests(t *testing.T) {
	f := newFleet(t)
	near, far := f.add("catalog-1", "catalog"), f.add("orders-1", "orders")
	short := route("/buy/", "orders", true)
	short.Timeout = kqclass.Duration(300 * time.Millisecond)
	f.startServing(near, far, short, route("/hold/", "orders", true))
	release := make(chan struct{})
	far.holdAnswers(release)
	results := make(chan result, 4)
	for _, id := range requestIDs("holder-", cap(results)) {
		go func() { results <- near.request("POST", "/hold/", id, "") }()
	}
	for range cap(results) {
		<-far.begun
	}
	if got := near.request("POST", "/buy/", "refused-1", ""); got.status != fasthttp.StatusServiceUnavailable {
		t.Errorf("request behind full slots: got %+v, want 503", got)
	}
	close(release)
	for range cap(results) {
		<-results
	}
	f.checkStory("refused", "refused-1", "gate orders-1, server none: not-run Deadline")

	far.setAnswer(func(c net.Conn, _ *fasthttp.Request) { _ = c.Close() })
	if got := near.request("POST", "/buy/", "lost-1", ""); got.status != fasthttp.StatusBadGateway {
		t.Errorf("request whose answer is lost: got %+v, want 502", got)
	}
	f.checkStory("lost", "lost-1", "BackendLost")

	far.setAnswer(nil)
	// The story of a request has only events close to it in time, so the routes
	// must arrive soon after they are written.
	f.awaitState(near, "its watch of the store", isWatching)
	f.awaitWatches()
	if got := near.request("GET", "/new/", "early-1", ""); got.status != fasthttp.StatusNotFound {
		t.Errorf("request before its route: got %+v, want 404", got)
	}
	f.writeRoutes(2, short, route("/hold/", "orders", true), route("/new/", "catalog", false))
	f.awaitState(near, "version 2", func(s *kqmesh.State) bool { return s.Routes.Document().Version == 2 })
	f.checkStory("early", "early-1", "routes of version 2 from the store are in force after version 1")
}

// checkStory waits until the log is complete and checks that the story of the
// request contains the cause. With -update it saves the log lines.
func (f *fleet) checkStory(name, id, cause string) {
	f.t.Helper()
	pause := time.NewTicker(10 * time.Millisecond)
	defer pause.Stop()
	for begun := time.Now(); ; <-pause.C {
		text := f.logged()
		lines, _, err := kqstory.Read(strings.NewReader(text))
		if err != nil {
			f.t.Fatal(err)
		}
		var story strings.Builder
		if err := kqstory.BuildTrace(lines, id).Write(&story); err != nil {
			f.t.Fatal(err)
		}
		if strings.Contains(story.String(), id+", class") && strings.Contains(story.String(), cause) {
			if *update {
				if err := os.WriteFile(storyLogs+name+".log", []byte(text), 0o600); err != nil {
					f.t.Fatal(err)
				}
			}
			return
		}
		if time.Since(begun) > testTimeout {
			f.t.Fatalf("story of %s: got\n%s\nwant one with %q", id, story.String(), cause)
		}
	}
}
