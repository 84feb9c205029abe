package kqbackend

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqhttp"
	"kumquatlink/io/kqwire"
)

// testTimeout ends a test that hangs.
const testTimeout = time.Minute

// start starts a stand-in without a node, and closes it when the test ends.
func start(t *testing.T, s Settings) *Backend {
	t.Helper()
	b := New(s)
	if err := b.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := b.Close(); err != nil {
			t.Errorf("close: %v", err)
		}
	})
	return b
}

// await waits until a condition holds. The test fails if it takes longer than
// testTimeout.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for start := time.Now(); !holds(); runtime.Gosched() {
		if time.Since(start) > testTimeout {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// post sends a call directly to a stand-in. It also reports whether the stand-in
// shed the call.
func post(ctx context.Context, b *Backend, c Call) (Answer, bool) {
	pool := kqhttp.NewPool(b.Address())
	defer pool.Close()
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	FillRequest(request, b.Address(), c)
	if err := pool.Do(ctx, request, response); err != nil {
		return Answer{Err: err}, false
	}
	return ReadAnswer(response), string(response.Header.Peek(kqwire.HeaderShed)) == "1"
}

func TestRunStopsWhenCallerDisconnects(t *testing.T) {
	b := start(t, Settings{Service: "packs", Slots: 1, ServiceTime: time.Hour})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go post(ctx, b, Call{Service: "packs", Path: "/list", Body: []byte("voice")})
	await(t, "the start of the run", func() bool { return len(b.Runs()) == 1 })
	cancel()
	await(t, "the end of the run", func() bool { return !b.Runs()[0].Ended.IsZero() })
	run := b.Runs()[0]
	if run.Answered {
		t.Error("answered: got true, want false")
	}
	if got, want := run.Worked+run.Saved, time.Hour; got != want {
		t.Errorf("worked and saved: got %v, want %v", got, want)
	}
	if run.Saved < time.Minute {
		t.Errorf("saved: got %v, want at least a minute", run.Saved)
	}
}

func TestOnwardCallsAreCancelledWithTheirParent(t *testing.T) {
	downstream := start(t, Settings{Service: "licensing", Slots: 1, ServiceTime: time.Hour})
	send := func(ctx context.Context, c Call) Answer {
		a, _ := post(ctx, downstream, c)
		return a
	}
	plans := map[string]Step{"browse": {Service: "packs", Steps: []Step{{Service: "licensing"}}}}
	b := start(t, Settings{Service: "packs", Slots: 1, Plans: plans, Send: send})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go post(ctx, b, Call{Service: "packs", Path: Position{Kind: "browse", CallID: "q0.0"}.Path()})
	await(t, "the start of the onward call", func() bool { return len(downstream.Runs()) == 1 })
	cancel()
	await(t, "the end of the onward call", func() bool { return !downstream.Runs()[0].Ended.IsZero() })
	if downstream.Runs()[0].Answered {
		t.Error("onward call answered: got true, want false")
	}
}

func TestFullBackendShedsWithoutRunning(t *testing.T) {
	b := start(t, Settings{Service: "packs", Slots: 1, Queue: 1})
	b.SetFaults(Faults{Stall: true})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	answers := make(chan Answer, 2)
	for range 2 {
		go func() {
			a, _ := post(ctx, b, Call{Service: "packs", Path: "/list"})
			answers <- a
		}()
	}
	await(t, "two calls in flight", func() bool { return b.inFlight.Load() == 2 })
	a, shed := post(ctx, b, Call{Service: "packs", Path: "/third"})
	if got, want := a.Status, fasthttp.StatusServiceUnavailable; got != want || !shed {
		t.Errorf("third call: got status %d and shed %v, want %d and true", got, shed, want)
	}
	b.SetFaults(Faults{})
	for range 2 {
		if got, want := (<-answers).Status, fasthttp.StatusOK; got != want {
			t.Errorf("status after the stall: got %d, want %d", got, want)
		}
	}
	if got, want := len(b.Runs()), 2; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
	if got, want := len(b.Sheds()), 1; got != want {
		t.Errorf("sheds: got %d, want %d", got, want)
	}
}

func TestPlanMakesOnwardCalls(t *testing.T) {
	var b *Backend
	calls := make(chan Call, 4)
	send := func(ctx context.Context, c Call) Answer {
		calls <- c
		a, _ := post(ctx, b, c)
		return a
	}
	plan := Step{Service: "packs", Parallel: true, Steps: []Step{{Service: "packs", Steps: []Step{{Service: "packs"}}}, {Service: "packs"}}}
	b = start(t, Settings{Service: "packs", Slots: 8, Plans: map[string]Step{"browse": plan}, Send: send})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := Call{Service: "packs", Path: Position{Kind: "browse", CallID: "q0.0"}.Path(), Key: "k", RequestID: "q0", Body: []byte("voice")}
	a, _ := post(ctx, b, c)
	if !a.Matches(c) {
		t.Errorf("answer: got body %q, want the echo of the call of %s", a.Body, c.Path)
	}
	close(calls)
	paths := map[string]int{}
	for c := range calls {
		p, ok := ParsePosition(c.Path)
		if !ok {
			t.Errorf("path %q: not a position of a plan", c.Path)
		}
		paths[p.CallID]++
	}
	if got, want := len(paths), 3; got != want {
		t.Errorf("distinct IDs of onward calls: got %d, want %d", got, want)
	}
	if got, want := len(b.Runs()), 4; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

func TestServiceTimeFactorWithColdStartFaultsAndCollapse(t *testing.T) {
	b := New(Settings{Service: "packs", Slots: 4, ColdStart: time.Hour, ColdFactor: 3, Collapse: 0.5, CollapseLimit: 2})
	b.started = time.Now()
	if got := b.serviceTimeFactor(Faults{}); got < 2.9 || got > 3 {
		t.Errorf("factor at the cold start: got %.2f, want 2.9 to 3", got)
	}
	b.started = time.Now().Add(-2 * time.Hour)
	for _, c := range []struct {
		inFlight int64
		faults   Faults
		want     float64
	}{{0, Faults{}, 1}, {4, Faults{}, 1}, {6, Faults{}, 1.25}, {100, Faults{}, 2}, {0, Faults{Slow: 4}, 4}, {6, Faults{Slow: 4}, 5}} {
		b.inFlight.Store(c.inFlight)
		if got := b.serviceTimeFactor(c.faults); got != c.want {
			t.Errorf("%d in flight, %+v: got factor %.2f, want %.2f", c.inFlight, c.faults, got, c.want)
		}
	}
}

func FuzzParsePosition(f *testing.F) {
	f.Add("/plan/browse/r.0.1/q0.0-a1.0")
	f.Add("/plan/browse/r/")
	f.Add("/plan//r.-1/x")
	f.Fuzz(func(t *testing.T, path string) {
		p, ok := ParsePosition(path)
		if !ok {
			return
		}
		reparsed, ok := ParsePosition(p.Path())
		if !ok || reparsed.Path() != p.Path() {
			t.Errorf("%q: got %q after parsing its own path, want the same", path, reparsed.Path())
		}
	})
}
