package kqnode_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqclass"
	"kumquatlink/io/kqbackend"
	"kumquatlink/io/kqfleet"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqnode"
	"kumquatlink/io/kqoperator"
	"kumquatlink/io/kqwire"
)

// testClasses returns the classes of the tests: purchase, whose calls must run
// only once, and browse, which is the class of the service catalog.
func testClasses() []kqclass.Class {
	return []kqclass.Class{
		{Name: "purchase", Target: kqclass.Target{Complete: 99.9, Within: kqclass.Duration(30 * time.Second)}, RunOnce: true},
		{Name: "browse", Target: kqclass.Target{Complete: 95, Within: kqclass.Duration(30 * time.Second)}, Services: []string{"catalog"}},
	}
}

// logOutput collects the output of a log and can be read while the log is
// written. mutex guards buffer.
type logOutput struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write appends p.
func (l *logOutput) Write(p []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.buffer.Write(p)
}

// decisions returns the fields of all lines that were logged so far.
func (l *logOutput) decisions(t *testing.T) []map[string]any {
	t.Helper()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var all []map[string]any
	for line := range strings.Lines(l.buffer.String()) {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("log line %q: %v", line, err)
		}
		all = append(all, fields)
	}
	return all
}

// call sends one call to an address of a node and returns the answer. fill sets
// the header and the body.
func call(t *testing.T, address string, fill func(*fasthttp.Request)) *fasthttp.Response {
	t.Helper()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := &fasthttp.Response{}
	request.SetRequestURI("/list?page=2")
	request.Header.SetHost(address)
	fill(request)
	client := &fasthttp.HostClient{Addr: address, MaxIdemponentCallAttempts: 1}
	if err := client.Do(request, response); err != nil {
		t.Fatalf("call: %v", err)
	}
	return response
}

func TestCallThroughTwoNodes(t *testing.T) {
	ctx := testContext(t)
	fleet := newFleet(ctx, t)
	output := &logOutput{}
	log := kqlog.New(output, kqlog.WithNode("entry-1", "lothian-a"))
	entry, err := fleet.AddNode(kqfleet.Place{NodeID: "entry-1", Region: "lothian", FailureDomain: "lothian-a"}, kqnode.WithLog(log))
	if err != nil {
		t.Fatal(err)
	}
	upstream, err := fleet.AddBackend(
		kqfleet.Place{NodeID: "catalog-1", Region: "lothian", FailureDomain: "lothian-b"},
		kqbackend.Settings{Service: "catalog", Slots: 4},
	)
	if err != nil {
		t.Fatal(err)
	}
	if err := fleet.AwaitServices(ctx, "catalog"); err != nil {
		t.Fatal(err)
	}
	response := call(t, entry.Node.CallerAddress(), func(r *fasthttp.Request) {
		r.Header.SetMethod(fasthttp.MethodPost)
		r.Header.Set(kqwire.HeaderService, "catalog")
		r.Header.Set(kqwire.HeaderRequestID, "request-1")
		r.SetBodyString("voices")
	})
	if got, want := string(response.Body()), "catalog POST /list?page=2 voices"; got != want {
		t.Errorf("body: got %q, want %q", got, want)
	}
	for name, want := range map[string]string{kqwire.HeaderOutcome: "ran", kqwire.HeaderCause: "Done", kqwire.HeaderRequestID: "request-1"} {
		if got := string(response.Header.Peek(name)); got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
	runs := upstream.Backend.Runs()
	if got, want := len(runs), 1; got != want {
		t.Fatalf("runs: got %d, want %d", got, want)
	}
	if got, want := runs[0].Class, "browse"; got != want {
		t.Errorf("class at the backend server: got %q, want %q", got, want)
	}
	wantMetrics(ctx, t, entry.Node.OperatorAddress(),
		`kumquatlink_answers{cause="Done",outcome="ran"} 1`,
		`kumquatlink_routes{cause="Done",outcome="ran"} 1`)
	wantMetrics(ctx, t, upstream.Node.OperatorAddress(), `kumquatlink_admissions{cause="Done",outcome="ran"} 1`)
	log.Close()
	routes := 0
	for _, d := range output.decisions(t) {
		if d["Decision"] == "Route" {
			routes++
			if got, want := d["Chosen"], "catalog-1"; got != want {
				t.Errorf("chosen: got %v, want %v", got, want)
			}
		}
	}
	if got, want := routes, 1; got != want {
		t.Errorf("routing lines: got %d, want %d", got, want)
	}
}

// wantMetrics waits until the metrics of the node with that operator address
// contain the lines.
func wantMetrics(ctx context.Context, t *testing.T, address string, lines ...string) {
	t.Helper()
	for _, line := range lines {
		eventually(ctx, t, line, func() bool {
			text, err := kqoperator.Get(ctx, address, kqnode.PathMetrics)
			return err == nil && strings.Contains(string(text), line+"\n")
		})
	}
}
