package kqmesh_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqmesh"
)

func TestRequestsAreRoutedToLocalAndRemoteServers(t *testing.T) {
	f := newFleet(t)
	catalog, orders := f.add("catalog-1", "catalog"), f.add("orders-1", "orders")
	if got := catalog.ready(); got != fasthttp.StatusServiceUnavailable {
		t.Errorf("ready without routes: got %d, want 503", got)
	}
	if got := catalog.request("GET", "/voices/1", "early", ""); got.status != fasthttp.StatusServiceUnavailable || got.retryAfter == "" {
		t.Errorf("request without routes: got %+v, want 503 with Retry-After", got)
	}
	f.startServing(catalog, orders, route("/voices/", "catalog", false), route("/orders/", "orders", true))
	if got := catalog.ready(); got != fasthttp.StatusOK {
		t.Errorf("ready with routes: got %d, want 200", got)
	}
	want := result{status: 200, body: "POST /orders/1?x=%2f buy"}
	if got := catalog.request("POST", "/orders/1?x=%2f", "o-1", "buy"); got != want {
		t.Errorf("request to another host: got %+v, want %+v", got, want)
	}
	if got := orders.header("Kumquatlink-Caller-Service"); got != "catalog" {
		t.Errorf("caller's service: got %q, want catalog", got)
	}
	if got := orders.header("Kumquatlink-Budget-Milliseconds"); got == "" {
		t.Error("time left: got none")
	}
	want = result{status: 200, body: "GET /voices/1 "}
	if got := catalog.request("GET", "/voices/1", "v-1", ""); got != want {
		t.Errorf("request to the own host: got %+v, want %+v", got, want)
	}
	if got := catalog.request("GET", "/attic/1", "a-1", ""); got.status != fasthttp.StatusNotFound {
		t.Errorf("request without a route: got %+v, want 404", got)
	}
}

// TestAnswersToRequestsAtFaultyServers lets a backend server fail in many ways
// and compares with a golden file what a caller gets and how often the request
// was begun. A request that must run only once may not be begun again.
func TestAnswersToRequestsAtFaultyServers(t *testing.T) {
	head := func(q *fasthttp.Request, rest string) string {
		return "HTTP/1.1 200 OK\r\nKumquatlink-Request-Id: " + string(q.Header.Peek("Kumquatlink-Request-Id")) + "\r\n" + rest
	}
	closing := func(text func(q *fasthttp.Request) string) func(net.Conn, *fasthttp.Request) {
		return func(c net.Conn, q *fasthttp.Request) {
			_, _ = io.WriteString(c, text(q))
			_ = c.Close()
		}
	}
	withStatus := func(status string) func(net.Conn, *fasthttp.Request) {
		return closing(func(q *fasthttp.Request) string {
			return strings.Replace(head(q, "Content-Length: 5\r\n\r\nbytes"), "200 OK", status, 1)
		})
	}
	faults := []struct {
		name   string
		answer func(net.Conn, *fasthttp.Request)
	}{
		{"closes without a byte", func(c net.Conn, _ *fasthttp.Request) { _ = c.Close() }},
		{"resets", func(c net.Conn, _ *fasthttp.Request) { reset(c) }},
		{"sends nonsense", closing(func(*fasthttp.Request) string { return "nonsense\r\n\r\n" })},
		{"breaks off within the body", closing(func(q *fasthttp.Request) string { return head(q, "Content-Length: 10\r\n\r\nfive.") })},
		{"breaks off within the header", closing(func(q *fasthttp.Request) string { return head(q, "Content-Le") })},
		{"breaks off within a chunk", closing(func(q *fasthttp.Request) string { return head(q, "Transfer-Encoding: chunked\r\n\r\nA\r\nfive.") })},
		{"resets a body without length", func(c net.Conn, q *fasthttp.Request) {
			_, _ = io.WriteString(c, head(q, "Connection: close\r\n\r\nfive."))
			reset(c)
		}},
		{"ends a body without length", closing(func(q *fasthttp.Request) string { return head(q, "Connection: close\r\n\r\nwhole") })},
		{"answers another request first", func(c net.Conn, q *fasthttp.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nKumquatlink-Request-Id: stranger\r\nContent-Length: 5\r\n\r\nwrong")
			echo(c, q)
		}},
		{"answers only another request", closing(func(*fasthttp.Request) string {
			return "HTTP/1.1 200 OK\r\nKumquatlink-Request-Id: stranger\r\nContent-Length: 5\r\n\r\nwrong"
		})},
		{"encodes the body", func(c net.Conn, q *fasthttp.Request) {
			_, _ = io.WriteString(c, head(q, "Content-Encoding: gzip\r\nContent-Length: 5\r\n\r\nbytes"))
		}},
		{"sheds", func(c net.Conn, q *fasthttp.Request) {
			_, _ = io.WriteString(c, strings.Replace(head(q, "Kumquatlink-Shed: 1\r\nContent-Length: 0\r\n\r\n"), "200 OK", "503 Full", 1))
		}},
		{"says 503 without having shed", func(c net.Conn, q *fasthttp.Request) {
			_, _ = io.WriteString(c, strings.Replace(head(q, "Content-Length: 0\r\n\r\n"), "200 OK", "503 Tired", 1))
		}},
		{"fails", func(c net.Conn, q *fasthttp.Request) {
			_, _ = io.WriteString(c, strings.Replace(head(q, "Content-Length: 5\r\n\r\nsorry"), "200 OK", "500 Error", 1))
		}},
		{"is another server", func(c net.Conn, q *fasthttp.Request) {
			_, _ = io.WriteString(c, strings.Replace(head(q, "Content-Length: 0\r\n\r\n"), "200 OK", "421 Misdirected", 1))
		}},
		{"answers with status 000", withStatus("000 ")},
		{"answers with status 099", withStatus("099 Odd")},
		{"answers with status 600", withStatus("600 Odd")},
		{"answers with status 999", withStatus("999 Odd")},
		{"switches protocols", withStatus("101 Switching Protocols")},
		{"sends only an interim answer", withStatus("100 Continue")},
		{"answers with status 000 after hints", func(c net.Conn, q *fasthttp.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
			withStatus("000 ")(c, q)
		}},
		{"sends an interim answer with status 000", func(c net.Conn, q *fasthttp.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 000 Early Hints\r\nLink: x\r\n\r\n")
			echo(c, q)
		}},
		{"has a blank in the name of a field", closing(func(q *fasthttp.Request) string { return head(q, "X Odd: a\r\nContent-Length: 5\r\n\r\nbytes") })},
		{"has a blank in the name of the length", closing(func(q *fasthttp.Request) string { return head(q, "Content Length: 3\r\n\r\nbytes") })},
		{"has a blank after the name of a field", closing(func(q *fasthttp.Request) string { return head(q, "Content-Length : 3\r\n\r\nbytes") })},
		{"has a control byte in the name of a field", closing(func(q *fasthttp.Request) string { return head(q, "X-\x01Odd: a\r\nContent-Length: 5\r\n\r\nbytes") })},
		{"has a line feed before the name of a field", closing(func(q *fasthttp.Request) string { return head(q, "\nX-Odd: a\r\nContent-Length: 5\r\n\r\nbytes") })},
		{"has a control byte in the value of a field", closing(func(q *fasthttp.Request) string { return head(q, "X-Odd: \x01\r\nContent-Length: 5\r\n\r\nbytes") })},
		{"has a control byte in the reason", withStatus("200 O\x01K")},
		{"folds a field", closing(func(q *fasthttp.Request) string { return head(q, "X-Odd: a\r\n b\r\nContent-Length: 5\r\n\r\nbytes") })},
		{"ends a line without CR", closing(func(q *fasthttp.Request) string { return head(q, "X-Odd: a\nContent-Length: 5\r\n\r\nbytes") })},
		{"speaks HTTP/2.0", closing(func(q *fasthttp.Request) string {
			return strings.Replace(head(q, "Content-Length: 5\r\n\r\nbytes"), "HTTP/1.1", "HTTP/2.0", 1)
		})},
		{"has a blank in a name of its hints", func(c net.Conn, q *fasthttp.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nX Odd: a\r\n\r\n")
			echo(c, q)
		}},
		{"has a length and chunks", closing(func(q *fasthttp.Request) string {
			return head(q, "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n0\r\n\r\n")
		})},
		{"has chunks in HTTP/1.0", closing(func(q *fasthttp.Request) string {
			return strings.Replace(head(q, "Transfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n0\r\n\r\n"), "HTTP/1.1", "HTTP/1.0", 1)
		})},
		{"has a control byte after the size of a chunk", closing(func(q *fasthttp.Request) string {
			return head(q, "Transfer-Encoding: chunked\r\n\r\n5;\x01\r\nbytes\r\n0\r\n\r\n")
		})},
		{"has a blank in the name of a trailer's field", closing(func(q *fasthttp.Request) string {
			return head(q, "Transfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n0\r\nX Odd: a\r\n\r\n")
		})},
		{"has extensions and a trailer", closing(func(q *fasthttp.Request) string {
			return head(q, "Transfer-Encoding: chunked\r\n\r\n5;a=\"b\"\r\nbytes\r\n0\r\nX-Odd: a\r\n\r\n")
		})},
		{"sends hints first", func(c net.Conn, q *fasthttp.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
			echo(c, q)
		}},
	}
	f := newFleet(t)
	h := f.add("orders-1", "orders")
	f.writeRoutes(1, route("/buy/", "orders", true), route("/look/", "orders", false))
	h.reportState(kqserver.Ready)
	f.awaitConvergence(1, 1)
	var text strings.Builder
	for i, x := range faults {
		for _, path := range []string{"/buy/", "/look/"} {
			id := fmt.Sprintf("%s%d", strings.Trim(path, "/"), i)
			h.setAnswer(x.answer)
			got := h.request("POST", path, id, "")
			// A failed upstream is ejected for a while; a good answer ends that.
			h.setAnswer(nil)
			h.awaitUpstream(f)
			fmt.Fprintf(&text, "%s, %s: %d %q, begun %d times\n", x.name, path, got.status, strings.TrimSpace(got.body), h.runCount(id))
			if path == "/buy/" && h.runCount(id) > 1 {
				t.Errorf("%s: a request that must run only once was begun %d times", x.name, h.runCount(id))
			}
			if got.status == fasthttp.StatusServiceUnavailable && got.retryAfter == "" {
				t.Errorf("%s: refusal has no Retry-After", x.name)
			}
		}
	}
	compareGolden(t, "faulty.txt", text.String())
}

// awaitUpstream sends requests until one is answered, so that the upstream is no
// longer ejected.
func (h *host) awaitUpstream(f *fleet) {
	f.t.Helper()
	pause := time.NewTicker(20 * time.Millisecond)
	defer pause.Stop()
	for begun := time.Now(); time.Since(begun) < testTimeout; <-pause.C {
		if got := h.request("GET", "/look/", "restore", ""); got.status == 200 {
			return
		}
	}
	f.t.Fatal("the upstream stays ejected")
}

func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	f := newFleet(t)
	first, second := f.add("orders-1", "orders"), f.add("orders-2", "orders")
	f.startServing(first, second, route("/buy/", "orders", true))
	release := make(chan struct{})
	first.holdAnswers(release)
	running := make(chan result, 1)
	// The server that runs a request is chosen at random.
	for i, begun := 0, false; !begun; i++ {
		go func() { running <- first.request("POST", "/buy/", fmt.Sprintf("running-%d", i), "") }()
		select {
		case <-first.begun:
			begun = true
		case <-running:
		}
	}
	first.setAnswer(nil)
	if got := first.reportState(kqserver.Draining); got != kqserver.Taken {
		t.Fatalf("notice of draining: got %s", got)
	}
	for _, id := range requestIDs("after-", 20) {
		if got := first.request("POST", "/buy/", id, ""); got.status != 200 {
			t.Errorf("request %s after draining: got %+v, want the other server's answer", id, got)
		}
		if first.runCount(id) > 0 {
			t.Errorf("request %s was sent to a draining server", id)
		}
	}
	if got := first.reportState(kqserver.Ready); got == kqserver.Taken {
		t.Error("late notice of a draining server: got Taken")
	}
	close(release)
	if got := <-running; got.status != 200 {
		t.Errorf("request that ran when its server began to drain: got %+v, want its answer", got)
	}
}

// TestRestartedNodeKeepsAServerThatLeftOutOfService restarts a node after its
// backend server reported that it is gone. The server reports nothing more, so
// the node must take the state from its record in the store.
func TestRestartedNodeKeepsAServerThatLeftOutOfService(t *testing.T) {
	f := newFleet(t)
	h := f.add("orders-1", "orders")
	f.writeRoutes(1, route("/buy/", "orders", true))
	h.reportState(kqserver.Ready)
	f.awaitConvergence(1, 1)
	h.reportState(kqserver.Gone)
	h.node.Stop()
	h.health.Store(fasthttp.StatusServiceUnavailable)
	h.setAnswer(func(c net.Conn, _ *fasthttp.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Leaving\r\nContent-Length: 0\r\n\r\n")
	})
	h.settings.FirstStart = false
	f.start(h)
	f.awaitState(h, "routes", func(s *kqmesh.State) bool { return s.Routes != nil })
	if got := h.request("POST", "/buy/", "late", ""); got.status != fasthttp.StatusServiceUnavailable || h.runCount("late") > 0 {
		t.Errorf("request to a server that has left: got %+v, begun %d times, want 503 and none", got, h.runCount("late"))
	}
}

func TestCallerThatDisconnectsCancelsItsRequest(t *testing.T) {
	f := newFleet(t)
	near, far := f.add("catalog-1", "catalog"), f.add("orders-1", "orders")
	f.startServing(near, far, route("/near/", "catalog", false), route("/far/", "orders", false))
	for path, h := range map[string]*host{"/near/": near, "/far/": far} {
		h.holdAnswers(make(chan struct{}))
		c, err := net.Dial("tcp", near.settings.CallerAddress)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: shop\r\nKumquatlink-Request-Id: left\r\n\r\n", path)
		<-h.begun
		_ = c.Close()
		if got := <-h.callersGone; got != "left" {
			t.Errorf("%s: server stopped %q, want left", path, got)
		}
	}
}

func TestRequestIsAnsweredAtItsTimeout(t *testing.T) {
	f := newFleet(t)
	h := f.add("orders-1", "orders")
	short := route("/short/", "orders", true)
	short.Timeout = kqclass.Duration(50 * time.Millisecond)
	f.writeRoutes(1, short)
	h.reportState(kqserver.Ready)
	f.awaitConvergence(1, 1)
	h.holdAnswers(make(chan struct{}))
	if got := h.request("POST", "/short/", "slow", ""); got.status != fasthttp.StatusGatewayTimeout {
		t.Errorf("request at its timeout: got %+v, want 504", got)
	}
	if got := <-h.callersGone; got != "slow" {
		t.Errorf("server stopped %q, want slow", got)
	}
}

// TestRequestThatTimesOutInTheQueueIsNotRun sends more requests than there are
// slots until they time out. Those that waited get a 503 and were not run; the
// others get a 504.
func TestRequestThatTimesOutInTheQueueIsNotRun(t *testing.T) {
	f := newFleet(t)
	h := f.add("orders-1", "orders")
	short := route("/short/", "orders", true)
	short.Timeout = kqclass.Duration(200 * time.Millisecond)
	f.writeRoutes(1, short)
	h.reportState(kqserver.Ready)
	f.awaitConvergence(1, 1)
	h.holdAnswers(make(chan struct{}))
	results := make(chan result, 12)
	for _, id := range requestIDs("r", cap(results)) {
		go func() {
			got := h.request("POST", "/short/", id, "")
			if refused := got.status == fasthttp.StatusServiceUnavailable; refused == (h.runCount(id) > 0) {
				t.Errorf("request %s: got %+v, begun %d times", id, got, h.runCount(id))
			}
			results <- got
		}()
	}
	counts := map[int]int{}
	for range cap(results) {
		counts[(<-results).status]++
	}
	if counts[fasthttp.StatusGatewayTimeout] < 4 || counts[fasthttp.StatusServiceUnavailable] == 0 {
		t.Errorf("12 requests for 4 slots: got %v, want 4 or more of 504, and some of 503", counts)
	}
}

func TestShutdownFinishesRequestsInFlight(t *testing.T) {
	f := newFleet(t)
	first, second := f.add("orders-1", "orders"), f.add("orders-2", "orders")
	f.startServing(first, second, route("/buy/", "orders", true))
	release := make(chan struct{})
	first.holdAnswers(release)
	second.holdAnswers(release)
	results := make(chan result, 4)
	for _, id := range requestIDs("r", cap(results)) {
		go func() { results <- first.request("POST", "/buy/", id, "") }()
	}
	for range cap(results) {
		select {
		case <-first.begun:
		case <-second.begun:
		}
	}
	ended := make(chan error, 1)
	go func() { ended <- first.node.Shutdown(context.Background()) }()
	f.awaitState(first, "leaving", func(s *kqmesh.State) bool { return s.Leaving })
	if got := first.ready(); got == fasthttp.StatusOK {
		t.Errorf("ready while leaving: got %d", got)
	}
	close(release)
	for range cap(results) {
		if got := <-results; got.status != 200 {
			t.Errorf("request in flight at the shutdown: got %+v, want its answer", got)
		}
	}
	if err := <-ended; err != nil {
		t.Errorf("shutdown: got %v", err)
	}
}

// TestRequestThatRanIsNotReportedAsNotRun lets a request fail at one server and
// be refused by the next. The caller must get the failure, since the refusal
// would say that the request was not run.
func TestRequestThatRanIsNotReportedAsNotRun(t *testing.T) {
	f := newFleet(t)
	first, second := f.add("orders-1", "orders"), f.add("orders-2", "orders")
	f.startServing(first, second, route("/look/", "orders", false))
	tries := make(chan struct{}, 256)
	script := func(c net.Conn, q *fasthttp.Request) {
		status, shed := "500 Error", ""
		if len(tries) > 0 {
			status, shed = "503 Full", "Kumquatlink-Shed: 1\r\n"
		}
		tries <- struct{}{}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nKumquatlink-Request-Id: %s\r\n%sContent-Length: 0\r\n\r\n", status, q.Header.Peek("Kumquatlink-Request-Id"), shed)
	}
	first.setAnswer(script)
	second.setAnswer(script)
	if got := first.request("GET", "/look/", "twice", ""); got.status != fasthttp.StatusInternalServerError || len(tries) != 2 {
		t.Errorf("request that failed and was then refused, after %d tries: got %+v, want 500 after 2", len(tries), got)
	}
}
