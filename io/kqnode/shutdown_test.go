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

// load sends purchases with a key until it is stopped, and counts their ends.
type load struct {
	stop    chan struct{}
	callers sync.WaitGroup
	mutex   sync.Mutex
	ends    map[string]int
	ran     map[string]bool
	lost    atomic.Int64
}

func startLoad(f *keyFleet, callers int) *load {
	l := &load{stop: make(chan struct{}), ends: map[string]int{}, ran: map[string]bool{}}
	for i := range callers {
		l.callers.Go(func() { l.run(f.entries[i%len(f.entries)], i) })
	}
	return l
}

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
		l.ends[outcomeAndCause(&response)]++
		if string(response.Header.Peek(kqwire.HeaderOutcome)) == "ran" {
			l.ran[key] = true
		}
		l.mutex.Unlock()
	}
}

func (l *load) end() {
	close(l.stop)
	l.callers.Wait()
}

// check fails on calls that were cut off or told what is not so.
func (l *load) check(t *testing.T, f *keyFleet) {
	t.Helper()
	t.Logf("ends: %v", l.ends)
	if got, want := l.lost.Load(), int64(0); got != want {
		t.Errorf("calls without an answer: got %d, want %d", got, want)
	}
	for end, n := range l.ends {
		if len(end) > 7 && end[:7] == "unknown" {
			t.Errorf("%s: got %d, want 0", end, n)
		}
	}
	runs := f.runs()
	for key, n := range runs {
		if n != 1 {
			t.Errorf("runs of %s: got %d, want 1", key, n)
		}
		if !l.ran[key] {
			t.Errorf("%s was run, but its caller was not told so", key)
		}
	}
	for key := range l.ran {
		if runs[key] == 0 {
			t.Errorf("%s was not run, but its caller was told so", key)
		}
	}
}

// rollCallers is how many callers buy while nodes are replaced.
const rollCallers = 12

func TestRollingShutdownOfAServiceCutsNothing(t *testing.T) {
	ctx := patient(t)
	f := startKeyFleet(ctx, t, 3, kqbackend.Settings{ServiceTime: 3 * time.Millisecond})
	l := startLoad(f, rollCallers)
	for i := range 3 {
		m, err := f.AddBackend(kqfleet.Place{NodeID: fmt.Sprintf("orders-%d", 3+i), Region: "lothian", FailureDomain: "lothian-b"},
			kqbackend.Settings{Service: "orders", Slots: 64, ServiceTime: 3 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		f.orders = append(f.orders, m)
		eventually(ctx, t, "the new node is a home", func() bool {
			table, _ := f.entries[0].Node.KeyHomes("orders")
			for _, k := range table.Tokens {
				if k.Holder.NodeID == fmt.Sprintf("orders-%d", 3+i) {
					return true
				}
			}
			return false
		})
		if err := f.orders[i].Node.Shutdown(ctx); err != nil {
			t.Errorf("shut down %d: %v", i, err)
		}
	}
	l.end()
	l.check(t, f)
	if got := l.ends["ran Done"]; got == 0 {
		t.Error("ran: got 0, want some, else the test proves nothing")
	}
}

func TestShutdownLetsOnwardCallsOfRunningCallsOut(t *testing.T) {
	ctx := patient(t)
	entry, gate, fleet := startTwoNodes(ctx, t)
	deep, err := fleet.AddBackend(kqfleet.Place{NodeID: "orders-1", Region: "lothian", FailureDomain: "lothian-a"}, kqbackend.Settings{Service: "orders", Slots: 4})
	if err != nil {
		t.Fatal(err)
	}
	backend := newScriptedBackend(t, gate.Node.BackendAddress(), "catalog")
	begun, goOn := make(chan struct{}), make(chan struct{})
	backend.setAnswerWithContext(func(c net.Conn, token string) {
		close(begun)
		<-goOn
		onward := call(t, gate.Node.BackendAddress(), func(r *fasthttp.Request) {
			r.Header.Set(kqwire.HeaderService, "orders")
			r.Header.Set(kqwire.HeaderContext, token)
		})
		says("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 8\r\n\r\n" + outcomeAndCause(onward))(c)
	})
	if err := fleet.AwaitServices(ctx, "catalog", "orders"); err != nil {
		t.Fatal(err)
	}
	answered := make(chan string, 1)
	go func() {
		response := call(t, entry.Node.CallerAddress(), browse)
		answered <- outcomeAndCause(response) + ": " + string(response.Body())
	}()
	<-begun
	ended := make(chan error, 1)
	go func() { ended <- gate.Node.Shutdown(ctx) }()
	eventually(ctx, t, "new calls are refused", func() bool {
		end := outcomeAndCause(call(t, gate.Node.CallerAddress(), browse))
		return end == "not-run Draining"
	})
	close(goOn)
	if got, want := <-answered, "ran Done: ran Done"; got != want {
		t.Errorf("answer: got %q, want %q", got, want)
	}
	if err := <-ended; err != nil {
		t.Errorf("shut down: %v", err)
	}
	if got, want := len(deep.Backend.Runs()), 1; got != want {
		t.Errorf("onward runs: got %d, want %d", got, want)
	}
}

func TestShutdownOfANodeWhoseBackendServerStallsEndsWithTheDeadline(t *testing.T) {
	ctx := patient(t)
	entry, gate, fleet := startTwoNodes(ctx, t)
	backend := newScriptedBackend(t, gate.Node.BackendAddress(), "catalog")
	hold, begun := make(chan struct{}), make(chan struct{})
	defer close(hold)
	backend.setAnswer(func(net.Conn) {
		close(begun)
		<-hold
	})
	if err := fleet.AwaitServices(ctx, "catalog"); err != nil {
		t.Fatal(err)
	}
	answered := make(chan string, 1)
	go func() {
		answered <- outcomeAndCause(call(t, entry.Node.CallerAddress(), func(r *fasthttp.Request) {
			once(r)
			r.Header.Set(kqwire.HeaderBudget, "1000")
		}))
	}()
	<-begun
	if got, want := gate.Node.ShutdownBound(), 40*time.Second; got != want {
		t.Errorf("bound: got %s, want %s", got, want)
	}
	if err := gate.Node.Shutdown(ctx); err != nil {
		t.Errorf("shut down: %v", err)
	}
	if got, want := <-answered, "unknown Deadline"; got != want {
		t.Errorf("answer: got %q, want %q", got, want)
	}
}
