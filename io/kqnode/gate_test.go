package kqnode

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqmember"
	"kumquatlink/io/kqhttp"
	"kumquatlink/io/kqsettings"
	"kumquatlink/io/kqtrust"
	"kumquatlink/io/kqwire"
)

// fakeServer is a backend server that answers each call after a fixed service
// time. Connections to it are pipes in memory. mutex guards ran.
type fakeServer struct {
	serviceTime time.Duration

	mutex sync.Mutex
	ran   []string
}

func (f *fakeServer) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	go f.serve(server)
	return client, nil
}

func (f *fakeServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		f.mutex.Lock()
		f.ran = append(f.ran, r.Header.Get(kqwire.HeaderRequestID))
		f.mutex.Unlock()
		time.Sleep(f.serviceTime)
		if _, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// runs returns the IDs of the requests that were run, in order.
func (f *fakeServer) runs() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]string(nil), f.ran...)
}

// runInVirtualTime runs a test in a synctest bubble, with a node that does not
// listen and whose backend server is the fake. The node's pool and metrics are
// created and closed outside of the bubble.
func runInVirtualTime(t *testing.T, f *fakeServer, test func(t *testing.T, n *Node)) {
	t.Helper()
	n, err := New(kqsettings.Node{NodeID: "gate-1"}, &kqtrust.Identity{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		n.gate, n.shed = newGate(n), newShedder(n)
		n.startedAt = n.now()
		n.clockReadAt.Store(int64(time.Hour))
		defer f.attach(n)()
		test(t, n)
	})
	n.pool.Release()
	n.log.Close()
}

// attach makes the fake the node's backend server. The returned function closes
// the connections to it.
func (f *fakeServer) attach(n *Node) func() {
	b := &Backend{Announcement: kqwire.Announcement{Service: "orders", Address: "fake", Slots: 1}, pool: kqhttp.NewPool("fake", kqhttp.WithDial(f.dial))}
	n.state.Store(&State{Life: kqmember.LifeServing, Members: kqmember.NewView(kqmember.Record{NodeID: "gate-1"}).Snapshot(), Backend: b})
	return b.pool.Close
}

// gateCall returns a call to the gate. Calls of rank 0 must run only once.
func gateCall(id string, rank int) *call {
	return &call{method: "GET", path: "/", head: kqcall.Head{
		RequestID: id, Service: "orders", Class: "class-" + strconv.Itoa(rank), Rank: rank, Repeatable: rank > 0, Budget: 10 * time.Second,
	}}
}

// startCall runs a call at the gate in the background, and returns when the call
// has ended or waits. The answer is sent to the returned channel.
func startCall(ctx context.Context, n *Node, q *call) chan *callAnswer {
	done := make(chan *callAnswer, 1)
	go func() {
		ctx, cancel := withBudget(ctx, q.head)
		defer cancel()
		done <- n.gate.run(ctx, q)
	}()
	synctest.Wait()
	return done
}

func TestGateRunsMoreImportantCallsFirst(t *testing.T) {
	f := &fakeServer{serviceTime: 10 * time.Millisecond}
	runInVirtualTime(t, f, func(t *testing.T, n *Node) {
		ctx := context.Background()
		var waiting []chan *callAnswer
		for _, q := range []*call{gateCall("holds", 2), gateCall("browse", 2), gateCall("download", 1), gateCall("buy", 0)} {
			waiting = append(waiting, startCall(ctx, n, q))
		}
		for _, w := range waiting {
			if got, want := (<-w).end, kqcall.Ran(); got != want {
				t.Errorf("end: got %+v, want %+v", got, want)
			}
		}
		got, want := fmt.Sprint(f.runs()), "[holds buy download browse]"
		if got != want {
			t.Errorf("order: got %s, want %s", got, want)
		}
	})
}

func TestGateRefusesExcessCallsImmediately(t *testing.T) {
	f := &fakeServer{serviceTime: time.Second}
	runInVirtualTime(t, f, func(t *testing.T, n *Node) {
		begun := time.Now()
		refused := 0
		for i := range 30 {
			select {
			case r := <-startCall(context.Background(), n, gateCall(strconv.Itoa(i), 1)):
				refused++
				if r.end.Outcome != kqcall.OutcomeNotRun || r.end.RetryAfter <= 0 {
					t.Errorf("end: got %+v, want a call that did not run, with a retry time", r.end)
				}
			default:
			}
		}
		if got := time.Since(begun); got != 0 {
			t.Errorf("time until the refusals: got %s, want 0s", got)
		}
		n.state.Store(stateWithTarget(n))
		if got := n.GateStatus().Targets; len(got) != 1 || got[0].Met || !got[0].Pays {
			t.Errorf("targets: got %+v, want one class whose target is not met and that pays", got)
		}
		if got, want := refused, 10; got < want {
			t.Errorf("refused: got %d, want at least %d", got, want)
		}
		time.Sleep(time.Minute)
		s := n.GateStatus()
		if len(s.Targets) != 0 {
			t.Errorf("targets evaluated a minute later: got %+v, want none", s.Targets)
		}
		if s.InFlight != 0 || s.Queued != 0 || s.Classes["class-1"].Offered != 30 {
			t.Errorf("status after all calls have ended: got %+v, want none in flight or queued and 30 offered", s)
		}
	})
}

// stateWithTarget returns the node's state with a class that has a target.
func stateWithTarget(n *Node) *State {
	s := *n.State()
	s.Classes = kqclass.NewTable(kqclass.Configuration{Classes: []kqclass.Class{{Name: "class-1", Target: kqclass.Target{Complete: 99}}}})
	return &s
}

func TestQueuedCallIsCancelledWhenItsCallerLeaves(t *testing.T) {
	f := &fakeServer{serviceTime: 20 * time.Millisecond}
	runInVirtualTime(t, f, func(t *testing.T, n *Node) {
		holds := startCall(context.Background(), n, gateCall("holds", 1))
		ctx, cancel := context.WithCancel(context.Background())
		gone := startCall(ctx, n, gateCall("gone", 0))
		cancel()
		if got, want := (<-gone).end, kqcall.NotRun(kqcall.CauseCallerGone); got != want {
			t.Errorf("end: got %+v, want %+v", got, want)
		}
		<-holds
		if got, want := fmt.Sprint(f.runs()), "[holds]"; got != want {
			t.Errorf("ran: got %s, want %s", got, want)
		}
	})
}

func TestDrainingGateRunsQueuedCalls(t *testing.T) {
	f := &fakeServer{serviceTime: 20 * time.Millisecond}
	runInVirtualTime(t, f, func(t *testing.T, n *Node) {
		ctx := context.Background()
		holds, waits := startCall(ctx, n, gateCall("holds", 1)), startCall(ctx, n, gateCall("waits", 1))
		s := *n.State()
		s.Life = kqmember.LifeDraining
		n.state.Store(&s)
		if got, want := (<-startCall(ctx, n, gateCall("late", 0))).end, kqcall.NotRun(kqcall.CauseDraining); got != want {
			t.Errorf("late call: got %+v, want %+v", got, want)
		}
		for _, w := range []chan *callAnswer{holds, waits} {
			if got, want := (<-w).end, kqcall.Ran(); got != want {
				t.Errorf("earlier call: got %+v, want %+v", got, want)
			}
		}
	})
}
