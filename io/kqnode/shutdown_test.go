package kqnode_test

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqbackend"
	"kumquatlink/io/kqfleet"
	"kumquatlink/io/kqwire"
)

// load makes purchases with idempotency keys from several callers until it is
// stopped, and counts their outcomes.
type load struct {
	stop    chan struct{}
	callers sync.WaitGroup
	mutex   sync.Mutex
	// outcomes counts answers by outcome and cause.
	outcomes map[string]int
	// ran holds the keys whose caller was answered with the outcome "ran".
	ran map[string]bool
	// lost counts calls without an answer.
	lost atomic.Int64
}

func startLoad(f *keyFleet, callers int) *load {
	l := &load{stop: make(chan struct{}), outcomes: map[string]int{}, ran: map[string]bool{}}
	for i := range callers {
		l.callers.Go(func() { l.run(f.entries[i%len(f.entries)], i) })
	}
	return l
}

// run makes one purchase after the other, each with a new key.
func (l *load) run(entry *kqfleet.Member, caller int) {
	client := &fasthttp.HostClient{Addr: entry.Node.CallerAddress(), MaxIdemponentCallAttempts: 1}
	for j := 0; ; j++ {
		select {
		case <-l.stop:
			return
		default:
		}
		key := fmt.Sprintf("caller-%d-%d", caller, j)
		var request fasthttp.Request
		var response fasthttp.Response
		request.SetRequestURI("/buy")
		request.Header.SetHost(client.Addr)
		purchase(key, key)(&request)
		if err := client.Do(&request, &response); err != nil {
			l.lost.Add(1)
			continue
		}
		l.mutex.Lock()
		l.outcomes[outcomeAndCause(&response)]++
		if string(response.Header.Peek(kqwire.HeaderOutcome)) == "ran" {
			l.ran[key] = true
		}
		l.mutex.Unlock()
	}
}

// end stops the callers and waits for them.
func (l *load) end() {
	close(l.stop)
	l.callers.Wait()
}

// check fails on calls without an answer, on unknown outcomes, on keys that were
// run more than once, and on answers that differ from what was run.
func (l *load) check(t *testing.T, f *keyFleet) {
	t.Helper()
	t.Logf("outcomes: %v", l.outcomes)
	if got, want := l.lost.Load(), int64(0); got != want {
		t.Errorf("calls without an answer: got %d, want %d", got, want)
	}
	for outcome, n := range l.outcomes {
		if len(outcome) > 7 && outcome[:7] == "unknown" {
			t.Errorf("answers with outcome %s: got %d, want 0", outcome, n)
		}
	}
	runs := f.runs()
	for key, n := range runs {
		if n != 1 {
			t.Errorf("runs of %s: got %d, want 1", key, n)
		}
		if !l.ran[key] {
			t.Errorf("%s was run, but no caller got the outcome \"ran\"", key)
		}
	}
	for key := range l.ran {
		if runs[key] == 0 {
			t.Errorf("%s was not run, but its caller got the outcome \"ran\"", key)
		}
	}
}

// rollCallers is the number of concurrent callers while nodes are replaced.
const rollCallers = 12

// All nodes of a service are replaced one by one under load. No call may be lost,
// run twice, or answered with the outcome "unknown".
func TestRollingShutdownOfAServiceLosesNoCall(t *testing.T) {
	ctx := testContext(t)
	f := startKeyFleet(ctx, t, 3, kqbackend.Settings{ServiceTime: 3 * time.Millisecond})
	l := startLoad(f, rollCallers)
	for i := range 3 {
		m, err := f.AddBackend(kqfleet.Place{NodeID: fmt.Sprintf("orders-%d", 3+i), Region: "lothian", FailureDomain: "lothian-b"},
			kqbackend.Settings{Service: "orders", Slots: 64, ServiceTime: 3 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		f.orders = append(f.orders, m)
		eventually(ctx, t, "the new node to be a home of keys", func() bool {
			table, _ := f.entries[0].Node.KeyHomes("orders")
			for _, k := range table.Tokens {
				if k.Holder.NodeID == fmt.Sprintf("orders-%d", 3+i) {
					return true
				}
			}
			return false
		})
		if err := f.orders[i].Node.Shutdown(ctx); err != nil {
			t.Errorf("shutdown of node %d: %v", i, err)
		}
	}
	l.end()
	l.check(t, f)
	if got := l.outcomes["ran Done"]; got == 0 {
		t.Error("calls that ran: got 0, want some, or the test checks nothing")
	}
}

// A draining node must still send the onward calls of the calls that it runs, or
// those could not be completed.
func TestShutdownStillSendsOnwardCallsOfRunningCalls(t *testing.T) {
	ctx := testContext(t)
	entry, gate, fleet := startTwoNodes(ctx, t)
	deep, err := fleet.AddBackend(kqfleet.Place{NodeID: "orders-1", Region: "lothian", FailureDomain: "lothian-a"}, kqbackend.Settings{Service: "orders", Slots: 4})
	if err != nil {
		t.Fatal(err)
	}
	backend := newScriptedBackend(t, gate.Node.BackendAddress(), "catalog")
	started, resume := make(chan struct{}), make(chan struct{})
	var runs atomic.Int64
	backend.setAnswerWithContext(func(c net.Conn, token string) {
		if runs.Add(1) > 1 {
			// A call that waits for the shutdown came before it was in force.
			writeAndClose("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")(c)
			return
		}
		close(started)
		<-resume
		onward := call(t, gate.Node.BackendAddress(), func(r *fasthttp.Request) {
			r.Header.Set(kqwire.HeaderService, "orders")
			r.Header.Set(kqwire.HeaderContext, token)
		})
		writeAndClose("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 8\r\n\r\n" + outcomeAndCause(onward))(c)
	})
	if err := fleet.AwaitServices(ctx, "catalog", "orders"); err != nil {
		t.Fatal(err)
	}
	answered := make(chan string, 1)
	go func() {
		response := call(t, entry.Node.CallerAddress(), browse)
		answered <- outcomeAndCause(response) + ": " + string(response.Body())
	}()
	<-started
	ended := make(chan error, 1)
	go func() { ended <- gate.Node.Shutdown(ctx) }()
	ranBefore := int64(0)
	eventually(ctx, t, "new calls to be refused", func() bool {
		end := outcomeAndCause(call(t, gate.Node.CallerAddress(), browse))
		if end == "ran Done" {
			ranBefore++
		}
		return end == "not-run Draining"
	})
	close(resume)
	if got, want := runs.Load(), 1+ranBefore; got != want {
		t.Errorf("runs at the backend server: got %d, want %d: one, and those of calls before the shutdown", got, want)
	}
	if got, want := <-answered, "ran Done: ran Done"; got != want {
		t.Errorf("answer: got %q, want %q", got, want)
	}
	if err := <-ended; err != nil {
		t.Errorf("shutdown: %v", err)
	}
	if got, want := len(deep.Backend.Runs()), 1; got != want {
		t.Errorf("onward runs: got %d, want %d", got, want)
	}
}

func TestShutdownWithAStalledBackendServerEndsAtTheDeadline(t *testing.T) {
	ctx := testContext(t)
	entry, gate, fleet := startTwoNodes(ctx, t)
	backend := newScriptedBackend(t, gate.Node.BackendAddress(), "catalog")
	release, started := make(chan struct{}), make(chan struct{})
	defer close(release)
	backend.setAnswer(func(net.Conn) {
		close(started)
		<-release
	})
	if err := fleet.AwaitServices(ctx, "catalog"); err != nil {
		t.Fatal(err)
	}
	answered := make(chan string, 1)
	go func() {
		answered <- outcomeAndCause(call(t, entry.Node.CallerAddress(), func(r *fasthttp.Request) {
			nonRepeatable(r)
			r.Header.Set(kqwire.HeaderBudget, "1000")
		}))
	}()
	<-started
	if got, want := gate.Node.ShutdownBound(), 40*time.Second; got != want {
		t.Errorf("shutdown bound: got %s, want %s", got, want)
	}
	if err := gate.Node.Shutdown(ctx); err != nil {
		t.Errorf("shutdown: %v", err)
	}
	if got, want := <-answered, "unknown Deadline"; got != want {
		t.Errorf("answer: got %q, want %q", got, want)
	}
}
