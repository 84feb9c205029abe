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

// testPatience only ends a test that hangs.
const testPatience = time.Minute

// start starts a stand-in without a node.
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

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for begun := time.Now(); !holds(); runtime.Gosched() {
		if time.Since(begun) > testPatience {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// post sends a call straight to a stand-in.
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

func TestWorkStopsWhenItsCallerGoes(t *testing.T) {
	b := start(t, Settings{Service: "packs", Slots: 1, ServiceTime: time.Hour})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go post(ctx, b, Call{Service: "packs", Path: "/list", Body: []byte("voice")})
	await(t, "the run", func() bool { return len(b.Runs()) == 1 })
	cancel()
	await(t, "the end", func() bool { return !b.Runs()[0].Ended.IsZero() })
	run := b.Runs()[0]
	if run.Answered {
		t.Error("answered: got true, want false")
	}
	if got, want := run.Worked+run.Saved, time.Hour; got != want {
		t.Errorf("worked and saved: got %v, want %v", got, want)
	}
	if run.Saved < time.Minute {
		t.Errorf("saved: got %v, want most of an hour", run.Saved)
	}
}

func TestOnwardCallsStopWithTheirParent(t *testing.T) {
	deep := start(t, Settings{Service: "licensing", Slots: 1, ServiceTime: time.Hour})
	send := func(ctx context.Context, c Call) Answer {
		a, _ := post(ctx, deep, c)
		return a
	}
	plans := map[string]Step{"browse": {Service: "packs", Steps: []Step{{Service: "licensing"}}}}
	b := start(t, Settings{Service: "packs", Slots: 1, Plans: plans, Send: send})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go post(ctx, b, Call{Service: "packs", Path: Position{Kind: "browse", CallID: "q0.0"}.Path()})
	await(t, "the deep run", func() bool { return len(deep.Runs()) == 1 })
	cancel()
	await(t, "the deep end", func() bool { return !deep.Runs()[0].Ended.IsZero() })
	if deep.Runs()[0].Answered {
		t.Error("deep answered: got true, want false")
	}
}

func TestFullStandInShedsWithoutRunning(t *testing.T) {
	b := start(t, Settings{Service: "packs", Slots: 1, Queue: 1})
	b.SetFaults(Faults{Stall: true})
	ctx, cancel := context.WithTimeout(context.Background(), testPatience)
	defer cancel()
	answers := make(chan Answer, 2)
	for range 2 {
		go func() {
			a, _ := post(ctx, b, Call{Service: "packs", Path: "/list"})
			answers <- a
		}()
	}
	await(t, "two calls inside", func() bool { return b.inside.Load() == 2 })
	a, shed := post(ctx, b, Call{Service: "packs", Path: "/third"})
	if got, want := a.Status, fasthttp.StatusServiceUnavailable; got != want || !shed {
		t.Errorf("third call: got status %d and shed %v, want %d and true", got, shed, want)
	}
	b.SetFaults(Faults{})
	for range 2 {
		if got, want := (<-answers).Status, fasthttp.StatusOK; got != want {
			t.Errorf("status once the stall is over: got %d, want %d", got, want)
		}
	}
	if got, want := len(b.Runs()), 2; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
	if got, want := len(b.Sheds()), 1; got != want {
		t.Errorf("sheds: got %d, want %d", got, want)
	}
}

func TestPlansMakeTheirOnwardCalls(t *testing.T) {
	var b *Backend
	calls := make(chan Call, 4)
	send := func(ctx context.Context, c Call) Answer {
		calls <- c
		a, _ := post(ctx, b, c)
		return a
	}
	plan := Step{Service: "packs", Parallel: true, Steps: []Step{{Service: "packs", Steps: []Step{{Service: "packs"}}}, {Service: "packs"}}}
	b = start(t, Settings{Service: "packs", Slots: 8, Plans: map[string]Step{"browse": plan}, Send: send})
	ctx, cancel := context.WithTimeout(context.Background(), testPatience)
	defer cancel()
	c := Call{Service: "packs", Path: Position{Kind: "browse", CallID: "q0.0"}.Path(), Key: "k", RequestID: "q0", Body: []byte("voice")}
	a, _ := post(ctx, b, c)
	if !a.Matches(c) {
		t.Errorf("answer: got %q, want that of %s", a.Body, c.Path)
	}
	close(calls)
	paths := map[string]int{}
	for c := range calls {
		p, ok := ParsePosition(c.Path)
		if !ok {
			t.Errorf("path %q: got no position, want one", c.Path)
		}
		paths[p.CallID]++
	}
	if got, want := len(paths), 3; got != want {
		t.Errorf("onward calls with an ID of their own: got %d, want %d", got, want)
	}
	if got, want := len(b.Runs()), 4; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

func TestFactorFollowsColdStartFaultsAndCollapse(t *testing.T) {
	b := New(Settings{Service: "packs", Slots: 4, ColdStart: time.Hour, ColdFactor: 3, Collapse: 0.5, CollapseLimit: 2})
	b.started = time.Now()
	if got := b.factor(Faults{}); got < 2.9 || got > 3 {
		t.Errorf("cold: got %.2f, want nearly 3", got)
	}
	b.started = time.Now().Add(-2 * time.Hour)
	for _, c := range []struct {
		inside int64
		faults Faults
		want   float64
	}{{0, Faults{}, 1}, {4, Faults{}, 1}, {6, Faults{}, 1.25}, {100, Faults{}, 2}, {0, Faults{Slow: 4}, 4}, {6, Faults{Slow: 4}, 5}} {
		b.inside.Store(c.inside)
		if got := b.factor(c.faults); got != c.want {
			t.Errorf("%d inside, %+v: got %.2f, want %.2f", c.inside, c.faults, got, c.want)
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
		again, ok := ParsePosition(p.Path())
		if !ok || again.Path() != p.Path() {
			t.Errorf("%q: got %q after writing and reading, want the same", path, again.Path())
		}
	})
}
