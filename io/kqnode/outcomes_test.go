package kqnode_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqbackend"
	"kumquatlink/io/kqfleet"
	"kumquatlink/io/kqlink"
	"kumquatlink/io/kqobject"
	"kumquatlink/io/kqwire"
)

// scriptSlots is the number of slots that a scripted backend server announces.
const scriptSlots = 4

// scriptedBackend is a backend server for which a test writes every byte of the
// answers. received counts the calls.
type scriptedBackend struct {
	listener net.Listener
	answer   atomic.Pointer[func(net.Conn, string)]
	received atomic.Int64
}

// newScriptedBackend starts a backend server and announces it to the node with
// that address.
func newScriptedBackend(t *testing.T, node, service string) *scriptedBackend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedBackend{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go s.accept()
	s.announce(t, node, service, scriptSlots, kqwire.StateReady)
	return s
}

// announce announces the backend server to the node with that address.
func (s *scriptedBackend) announce(t *testing.T, node, service string, slots int, state string) {
	t.Helper()
	body, err := json.Marshal(kqwire.Announcement{Service: service, Address: s.listener.Addr().String(), Slots: slots, State: state})
	if err != nil {
		t.Fatal(err)
	}
	response := call(t, node, func(r *fasthttp.Request) {
		r.Header.SetMethod(fasthttp.MethodPut)
		r.SetRequestURI(kqwire.PathAnnounce)
		r.Header.SetHost(node)
		r.SetBody(body)
	})
	if got, want := response.StatusCode(), fasthttp.StatusOK; got != want {
		t.Fatalf("announce: got %d, want %d", got, want)
	}
}

func (s *scriptedBackend) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// serve reads whole calls and answers each as the test has set.
func (s *scriptedBackend) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		var request fasthttp.Request
		if err := request.Read(reader); err != nil {
			return
		}
		s.received.Add(1)
		(*s.answer.Load())(c, string(request.Header.Peek(kqwire.HeaderContext)))
	}
}

// setAnswer sets the function that answers calls.
func (s *scriptedBackend) setAnswer(answer func(net.Conn)) {
	s.setAnswerWithContext(func(c net.Conn, _ string) { answer(c) })
}

// setAnswerWithContext sets the function that answers calls and gets their
// context tokens.
func (s *scriptedBackend) setAnswerWithContext(answer func(c net.Conn, token string)) {
	s.answer.Store(&answer)
}

// writeAndClose returns a function that writes the text and closes the connection.
func writeAndClose(text string) func(net.Conn) {
	return func(c net.Conn) {
		_, _ = c.Write([]byte(text))
		_ = c.Close()
	}
}

// failurePoint is one row of the table of outcomes: a point at which a call fails
// and the answer that its caller must get.
type failurePoint struct {
	name   string
	end    kqcall.End
	status int
	// handed reports whether the backend server receives the call.
	handed bool
	// answer is what the backend server does, or nil if it receives no call.
	answer func(net.Conn)
	call   func(*fasthttp.Request)
}

// browse addresses a call to the service catalog. Its class is repeatable.
func browse(r *fasthttp.Request) {
	r.Header.Set(kqwire.HeaderService, "catalog")
}

// header returns a function that addresses a call as browse does and sets a header
// field.
func header(name, value string) func(*fasthttp.Request) {
	return func(r *fasthttp.Request) {
		browse(r)
		r.Header.Set(name, value)
	}
}

// silentBudget is the budget, in milliseconds, of a call that is not answered.
const silentBudget = "300"

// failurePoints returns the table of outcomes. docs/design/outcomes.md must have
// the same rows. Calls that stall are held until the channel is closed.
func failurePoints(hold <-chan struct{}) []failurePoint {
	stall := func(net.Conn) { <-hold }
	return []failurePoint{
		{name: "answered", end: kqcall.Ran(), status: 200, handed: true, answer: writeAndClose("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"), call: browse},
		{name: "backend server answers 500", end: kqcall.Ran(), status: 500, handed: true, answer: writeAndClose("HTTP/1.1 500 Bad\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno"), call: browse},
		{name: "backend server answers 503 without the shed header", end: kqcall.Ran(), status: 503, handed: true, answer: writeAndClose("HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno"), call: browse},
		{name: "backend server sheds explicitly", end: kqcall.NotRun(kqcall.CauseBackendShed), status: 503, handed: true, answer: writeAndClose("HTTP/1.1 503 Busy\r\nConnection: close\r\nKumquatlink-Shed: 1\r\nContent-Length: 0\r\n\r\n"), call: browse},
		{name: "backend server closes before its answer", end: kqcall.Unknown(kqcall.CauseBackendLost), status: 504, handed: true, answer: writeAndClose(""), call: nonRepeatable},
		{name: "answer's header is cut", end: kqcall.Unknown(kqcall.CauseBackendLost), status: 504, handed: true, answer: writeAndClose("HTTP/1.1 200 OK\r\nContent-Le"), call: nonRepeatable},
		{name: "answer's body is cut", end: kqcall.Unknown(kqcall.CauseBackendLost), status: 504, handed: true, answer: writeAndClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"), call: nonRepeatable},
		{name: "answer's last chunk is cut", end: kqcall.Unknown(kqcall.CauseBackendLost), status: 504, handed: true, answer: writeAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"), call: nonRepeatable},
		{name: "deadline passes while the backend server works", end: kqcall.Unknown(kqcall.CauseDeadline), status: 504, handed: true, answer: stall, call: func(r *fasthttp.Request) {
			nonRepeatable(r)
			r.Header.Set(kqwire.HeaderBudget, silentBudget)
		}},
		{name: "deadline has passed at the entry", end: kqcall.NotRun(kqcall.CauseDeadline), status: 503, call: header(kqwire.HeaderBudget, "0")},
		{name: "service is unknown", end: kqcall.NotRun(kqcall.CauseNoService), status: 404, call: header(kqwire.HeaderService, "nowhere")},
		{name: "class is unknown", end: kqcall.NotRun(kqcall.CauseNoClass), status: 400, call: header(kqwire.HeaderClass, "nobody")},
		{name: "budget is malformed", end: kqcall.NotRun(kqcall.CauseBadRequest), status: 400, call: header(kqwire.HeaderBudget, "soon")},
		{name: "home of the key is not known", end: kqcall.NotRun(kqcall.CauseKeyHomeUnreached), status: 503, call: func(r *fasthttp.Request) {
			nonRepeatable(r)
			r.Header.Set(kqwire.HeaderService, "homeless")
			r.Header.Set(kqwire.HeaderIdempotencyKey, "key")
		}},
	}
}

// nonRepeatable addresses a call to the service catalog. Its class must run only
// once, so that the entry does not try the call at another upstream.
func nonRepeatable(r *fasthttp.Request) {
	browse(r)
	r.Header.Set(kqwire.HeaderClass, "purchase")
}

// row returns the row of docs/design/outcomes.md.
func (p failurePoint) row() string {
	handed := "no"
	if p.handed {
		handed = "yes"
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %d |", p.name, handed, p.end.Outcome, p.end.Cause, p.status)
}

func TestEveryFailurePointHasItsOutcome(t *testing.T) {
	ctx := testContext(t)
	entry, gate, fleet := startTwoNodes(ctx, t)
	backend := newScriptedBackend(t, gate.Node.BackendAddress(), "catalog")
	// Only a node that has read the configuration can pass it on.
	if err := fleet.AwaitServices(ctx); err != nil {
		t.Fatal(err)
	}
	// Without the store, no node can claim the keys of a new service, so the keys
	// of the service homeless have no home.
	fleet.Store.SetFaults(kqobject.Faults{Down: true})
	lone, err := fleet.AddNode(kqfleet.Place{NodeID: "homeless-1", Region: "lothian", FailureDomain: "lothian-b"})
	if err != nil {
		t.Fatal(err)
	}
	newScriptedBackend(t, lone.Node.BackendAddress(), "homeless").setAnswer(writeAndClose(""))
	if err := fleet.AwaitServices(ctx, "catalog", "homeless"); err != nil {
		t.Fatal(err)
	}
	hold := make(chan struct{})
	release := sync.OnceFunc(func() { close(hold) })
	defer release()
	for _, p := range failurePoints(hold) {
		if p.answer != nil {
			backend.setAnswer(p.answer)
		}
		before := backend.received.Load()
		response := call(t, entry.Node.CallerAddress(), p.call)
		got := outcomeAndCause(response) + fmt.Sprintf(" %d", response.StatusCode())
		if want := fmt.Sprintf("%s %s %d", p.end.Outcome, p.end.Cause, p.status); got != want {
			t.Errorf("%s: got %q, want %q", p.name, got, want)
		}
		if got := backend.received.Load() > before; got != p.handed {
			t.Errorf("%s: received by the backend server: got %v, want %v", p.name, got, p.handed)
		}
	}
}

// startTwoNodes starts an entry and a gate that have no backend servers yet.
func startTwoNodes(ctx context.Context, t *testing.T) (entry, gate *kqfleet.Member, fleet *kqfleet.Fleet) {
	t.Helper()
	fleet = newFleet(ctx, t)
	for _, m := range []struct {
		name string
		to   **kqfleet.Member
	}{{"entry-1", &entry}, {"catalog-1", &gate}} {
		var err error
		if *m.to, err = fleet.AddNode(kqfleet.Place{NodeID: m.name, Region: "lothian", FailureDomain: "lothian-a"}); err != nil {
			t.Fatal(err)
		}
	}
	return entry, gate, fleet
}

func TestGateRefusesAKeyThatNoHomeSent(t *testing.T) {
	ctx := testContext(t)
	_, gate, fleet := startTwoNodes(ctx, t)
	backend := newScriptedBackend(t, gate.Node.BackendAddress(), "catalog")
	if err := fleet.AwaitServices(ctx, "catalog"); err != nil {
		t.Fatal(err)
	}
	identity, err := fleet.Authority.Issue("peer-1")
	if err != nil {
		t.Fatal(err)
	}
	dialer := kqlink.NewDialer(identity)
	defer dialer.Close()
	head := kqcall.Head{RequestID: "r", Service: "catalog", Class: "purchase", Key: "key", Budget: testTimeout}
	answer, err := dialer.Call(ctx, gate.Node.PeerAddress(), kqlink.CallHead{Head: head, Method: "POST", Path: "/"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := answer.Head.End, kqcall.NotRun(kqcall.CauseMoved); got != want {
		t.Errorf("end: got %v, want %v", got, want)
	}
	if got, want := backend.received.Load(), int64(0); got != want {
		t.Errorf("calls at the backend server: got %d, want %d", got, want)
	}
}

func TestOutcomesPageHasEveryRow(t *testing.T) {
	page, err := os.ReadFile("../../docs/design/outcomes.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range failurePoints(nil) {
		if want := p.row(); !strings.Contains(string(page), want+"\n") {
			t.Errorf("docs/design/outcomes.md: want the row %s", want)
		}
	}
}

func TestRunOnceCallWithUnknownOutcomeIsNotTriedElsewhere(t *testing.T) {
	ctx := testContext(t)
	entry, gate, fleet := startTwoNodes(ctx, t)
	other, err := fleet.AddNode(kqfleet.Place{NodeID: "catalog-2", Region: "lothian", FailureDomain: "lothian-a"})
	if err != nil {
		t.Fatal(err)
	}
	backends := []*scriptedBackend{newScriptedBackend(t, gate.Node.BackendAddress(), "catalog"), newScriptedBackend(t, other.Node.BackendAddress(), "catalog")}
	for _, b := range backends {
		b.setAnswer(writeAndClose(""))
	}
	eventually(ctx, t, "both upstreams are known", func() bool { return len(entry.Node.State().Members.Upstreams("catalog")) == 2 })
	if err := fleet.AwaitServices(ctx, "catalog"); err != nil {
		t.Fatal(err)
	}
	response := call(t, entry.Node.CallerAddress(), nonRepeatable)
	if got, want := outcomeAndCause(response), "unknown BackendLost"; got != want {
		t.Errorf("end: got %q, want %q", got, want)
	}
	if got, want := backends[0].received.Load()+backends[1].received.Load(), int64(1); got != want {
		t.Errorf("calls at the backend servers: got %d, want %d", got, want)
	}
}

// A backend server that sheds a call after an onward call may have run has begun
// to run the call, so the outcome is unknown whatever it answers. If no onward call
// may have run, the shed call counts as not run.
func TestShedAfterOnwardCallHasUnknownOutcome(t *testing.T) {
	ctx := testContext(t)
	entry, gate, fleet := startTwoNodes(ctx, t)
	if _, err := fleet.AddBackend(kqfleet.Place{NodeID: "orders-1", Region: "lothian", FailureDomain: "lothian-a"}, kqbackend.Settings{Service: "orders", Slots: 4}); err != nil {
		t.Fatal(err)
	}
	backend := newScriptedBackend(t, gate.Node.BackendAddress(), "catalog")
	if err := fleet.AwaitServices(ctx, "catalog", "orders"); err != nil {
		t.Fatal(err)
	}
	for service, want := range map[string]string{"orders": "unknown BackendShed", "nowhere": "not-run BackendShed"} {
		backend.setAnswerWithContext(func(c net.Conn, token string) {
			call(t, gate.Node.BackendAddress(), func(r *fasthttp.Request) {
				r.Header.Set(kqwire.HeaderService, service)
				r.Header.Set(kqwire.HeaderContext, token)
			})
			writeAndClose("HTTP/1.1 503 Busy\r\nConnection: close\r\nKumquatlink-Shed: 1\r\nContent-Length: 0\r\n\r\n")(c)
		})
		if got := outcomeAndCause(call(t, entry.Node.CallerAddress(), nonRepeatable)); got != want {
			t.Errorf("shed after an onward call to %s: got %q, want %q", service, got, want)
		}
	}
}
