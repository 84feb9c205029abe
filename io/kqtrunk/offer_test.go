package kqtrunk_test

import (
	"context"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqbody"
	"kumquatlink/io/kqtrunk"
)

// longBytes is the size of a long answer, and memoryBytes the budget of the calling end.
const (
	longBytes   = 3 << 20
	memoryBytes = 4 << 20
)

// newLongPeer returns a server whose answers are of longBytes for the service "long", of
// 256 KB for "medium", and short otherwise. ended receives a value when the memory of an
// answer is given back.
func newLongPeer(t *testing.T, memory *kqbody.Budget) (address string, ended chan struct{}) {
	t.Helper()
	ended = make(chan struct{}, 16)
	server, err := kqtrunk.Listen("127.0.0.1:0", kqtrunk.Handlers{
		Memory: memory,
		Call: func(_ context.Context, _ string, head kqtrunk.CallHead, _ []byte) (kqtrunk.AnswerHead, []byte) {
			size := map[string]int{"long": longBytes, "medium": 256 << 10}[head.Service]
			return kqtrunk.AnswerHead{End: kqcall.Ran(), Status: 200, Release: func() { ended <- struct{}{} }}, make([]byte, max(size, 5))
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return server.Address(), ended
}

// TestLongAnswerWaitsForMemory takes the memory of the calling end. A long answer must stay
// at its server until there is memory for it, while shorter ones pass, and must not be
// held any more when its call has been given up.
func TestLongAnswerWaitsForMemory(t *testing.T) {
	address, ended := newLongPeer(t, nil)
	memory := kqbody.NewBudget(memoryBytes)
	d := kqtrunk.NewDialer(kqtrunk.Handlers{Memory: memory})
	defer d.Close()
	call := func(ctx context.Context, service string) (*kqtrunk.Answer, error) {
		return d.Call(ctx, address, kqtrunk.CallHead{Service: service, RequestID: service, RunOnce: true, Budget: time.Minute}, nil)
	}
	expectAnswer := func(service string, want int) {
		t.Helper()
		answer, err := call(testContext(t), service)
		if err != nil || len(answer.Body) != want {
			t.Fatalf("%s answer: got %v, want %d bytes", service, err, want)
		}
		if want > kqbody.SmallBytes && memory.InUse() < want {
			t.Errorf("memory beside a %s answer: got %d bytes in use, want %d at least", service, memory.InUse(), want)
		}
		answer.Head.Discard()
		<-ended
	}
	expectAnswer("short", 5)
	expectAnswer("long", longBytes)
	release, err := memory.Reserve(memoryBytes / 2)
	if err != nil {
		t.Fatal(err)
	}
	awaitLong := func(ctx context.Context) chan error {
		missing, done := memory.Missing(), make(chan error, 1)
		go func() {
			answer, err := call(ctx, "long")
			if err == nil {
				answer.Head.Discard()
			}
			done <- err
		}()
		for memory.Missing() == missing {
			runtime.Gosched()
		}
		return done
	}
	ctx, cancel := context.WithCancel(testContext(t))
	givenUp, waiting := awaitLong(ctx), awaitLong(testContext(t))
	expectAnswer("short", 5)
	expectAnswer("medium", 256<<10)
	cancel()
	if err := <-givenUp; !errors.Is(err, kqtrunk.ErrLost) || !errors.Is(err, kqtrunk.ErrNoMemory) {
		t.Errorf("call that was given up: got %v, want errors marked ErrLost and ErrNoMemory", err)
	}
	<-ended
	release()
	if err := <-waiting; err != nil {
		t.Errorf("call after there is memory: got %v, want its answer", err)
	}
	<-ended
	if got := memory.InUse(); got != 0 {
		t.Errorf("memory at the end: got %d bytes in use, want 0", got)
	}
}

// TestAnswerWithoutMemoryIsDropped exceeds the memory of the calling end by more than
// answers may. One that is too short to be offered must be lost, and the link go on.
func TestAnswerWithoutMemoryIsDropped(t *testing.T) {
	address, _ := newLongPeer(t, nil)
	memory := kqbody.NewBudget(memoryBytes)
	d := kqtrunk.NewDialer(kqtrunk.Handlers{Memory: memory})
	defer d.Close()
	release := memory.Charge(2 * memoryBytes)
	for _, c := range []struct {
		service string
		want    error
	}{{"medium", kqtrunk.ErrNoMemory}, {"short", nil}} {
		_, err := d.Call(testContext(t), address, kqtrunk.CallHead{Service: c.service, RunOnce: true, Budget: time.Minute}, nil)
		if !errors.Is(err, c.want) || (err != nil) != errors.Is(err, kqtrunk.ErrLost) {
			t.Errorf("%s answer: got %v, want %v", c.service, err, c.want)
		}
	}
	release()
	answer, err := d.Call(testContext(t), address, kqtrunk.CallHead{Service: "medium", RunOnce: true, Budget: time.Minute}, nil)
	if err != nil {
		t.Fatalf("answer with memory: got %v, want one", err)
	}
	answer.Head.Discard()
	if got := memory.InUse(); got != 0 {
		t.Errorf("memory at the end: got %d bytes in use, want 0", got)
	}
}

// TestCallWithoutMemoryIsNotRun sends a large call to a server without memory for it.
func TestCallWithoutMemoryIsNotRun(t *testing.T) {
	memory := kqbody.NewBudget(memoryBytes)
	address, _ := newLongPeer(t, memory)
	d := kqtrunk.NewDialer(kqtrunk.Handlers{})
	defer d.Close()
	release, err := memory.Reserve(memoryBytes)
	if err != nil {
		t.Fatal(err)
	}
	upload := func() kqcall.End {
		t.Helper()
		answer, err := d.Call(testContext(t), address, kqtrunk.CallHead{Service: "short", RunOnce: true, Budget: time.Minute}, make([]byte, longBytes))
		if err != nil {
			t.Fatal(err)
		}
		return answer.Head.End
	}
	if got, want := upload(), kqcall.NotRun(kqcall.CauseShedGate); got != want {
		t.Errorf("call without memory: got %+v, want %+v", got, want)
	}
	release()
	if got, want := upload(), kqcall.Ran(); got != want {
		t.Errorf("call with memory: got %+v, want %+v", got, want)
	}
	for memory.InUse() > 0 {
		runtime.Gosched()
	}
}

// TestDroppedCompressedHeadKeepsTheDictionary has no memory for a call with a body of
// 64 KiB and a compressed head. The heads after it must be those that were sent.
func TestDroppedCompressedHeadKeepsTheDictionary(t *testing.T) {
	memory := kqbody.NewBudget(memoryBytes)
	server, err := kqtrunk.Listen("127.0.0.1:0", kqtrunk.Handlers{
		Memory: memory,
		Call: func(_ context.Context, _ string, head kqtrunk.CallHead, _ []byte) (kqtrunk.AnswerHead, []byte) {
			return kqtrunk.AnswerHead{End: kqcall.Ran(), Status: 200}, []byte(head.Path)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	d := kqtrunk.NewDialer(kqtrunk.Handlers{}, kqtrunk.WithCompression(func(string) bool { return true }))
	defer d.Close()
	call := func(path string, body []byte) *kqtrunk.Answer {
		t.Helper()
		answer, err := d.Call(testContext(t), server.Address(), kqtrunk.CallHead{Path: path, RequestID: path, Budget: time.Minute, Headers: headers(path)}, body)
		if err != nil {
			t.Fatalf("call of %s: got %v, want an answer", path, err)
		}
		return answer
	}
	// The first answer shows that the server's version, which comes before it, is known.
	call("/first", nil)
	release := memory.Charge(memoryBytes)
	call("/large", make([]byte, kqbody.SmallBytes))
	release()
	for _, want := range []string{"/after", "/large", "/first"} {
		if got := string(call(want, nil).Body); got != want {
			t.Errorf("path at the server: got %q, want %q", got, want)
		}
	}
}

// TestCancelledCompressedAnswerKeepsTheDictionary gives up a call whose answer has a body
// of 64 KiB and comes nevertheless. The heads after it must be those that were sent.
func TestCancelledCompressedAnswerKeepsTheDictionary(t *testing.T) {
	begun := make(chan struct{})
	server, err := kqtrunk.Listen("127.0.0.1:0", kqtrunk.Handlers{
		Call: func(ctx context.Context, _ string, head kqtrunk.CallHead, _ []byte) (kqtrunk.AnswerHead, []byte) {
			answer := kqtrunk.AnswerHead{End: kqcall.Ran(), Status: 200, Headers: headers(head.RequestID)}
			if head.Path != "/large" {
				return answer, nil
			}
			close(begun)
			<-ctx.Done()
			return answer, make([]byte, kqbody.SmallBytes)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	d := kqtrunk.NewDialer(kqtrunk.Handlers{}, kqtrunk.WithCompression(func(string) bool { return true }))
	defer d.Close()
	call := func(ctx context.Context, path string) (*kqtrunk.Answer, error) {
		return d.Call(ctx, server.Address(), kqtrunk.CallHead{Path: path, RequestID: path, Budget: time.Minute, Headers: headers(path)}, nil)
	}
	// Each end compresses once it has a frame of the other one.
	for range 2 {
		if _, err := call(testContext(t), "/first"); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(testContext(t))
	go func() {
		<-begun
		cancel()
	}()
	if _, err := call(ctx, "/large"); !errors.Is(err, kqtrunk.ErrLost) {
		t.Fatalf("call that was given up: got %v, want an error marked ErrLost", err)
	}
	// The answer may come before or after the first of these.
	for _, want := range []string{"/after", "/large2", "/first", "/other"} {
		answer, err := call(testContext(t), want)
		if err != nil {
			t.Fatalf("call of %s: got %v, want an answer", want, err)
		}
		if got := answer.Head.Headers[1].Value; got != want {
			t.Errorf("ID in the answer: got %q, want %q", got, want)
		}
	}
}

// TestOddFramesGiveTheirMemoryBack sends frames with large payloads that are none for their
// kind, and one with a malformed compressed head.
func TestOddFramesGiveTheirMemoryBack(t *testing.T) {
	memory := kqbody.NewBudget(memoryBytes)
	address, _ := newLongPeer(t, memory)
	const kindCancel, kindPing, kindPong, kindOffer, kindGrant = 3, 5, 6, 10, 11
	for _, kind := range []byte{kindCancel, kindPing, kindPong, kindOffer, kindGrant, kindCallCompressed, kindAnswerCompressed} {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write(rawFrame(kind, 1, []byte{1, 2, 3}, make([]byte, 2*kqbody.SmallBytes))); err != nil {
			t.Fatal(err)
		}
		_ = c.(*net.TCPConn).CloseWrite()
		// The server closes the connection when it has handled the frame.
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
		if got := memory.InUse(); got != 0 {
			t.Fatalf("memory after a frame of kind %d: got %d bytes in use, want 0", kind, got)
		}
	}
}

// TestAnswerCountsUntilItIsSent has a peer of a former version read a long answer late: it
// is not offered, but its call must count until the answer has been sent.
func TestAnswerCountsUntilItIsSent(t *testing.T) {
	const size = 48 << 20
	begun := make(chan struct{})
	server, err := kqtrunk.Listen("127.0.0.1:0", kqtrunk.Handlers{
		Call: func(context.Context, string, kqtrunk.CallHead, []byte) (kqtrunk.AnswerHead, []byte) {
			defer close(begun)
			return kqtrunk.AnswerHead{End: kqcall.Ran(), Status: 200}, make([]byte, size)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	c, err := net.Dial("tcp", server.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	writeRawFrame(t, c, kindCall, 1, kqtrunk.CallHead{Budget: time.Minute})
	<-begun
	// The answer does not fit into the kernel's buffers.
	if got := server.UnansweredCalls(); got != 1 {
		t.Errorf("calls while the answer is sent: got %d, want 1", got)
	}
	if _, err := io.CopyN(io.Discard, c, size); err != nil {
		t.Fatal(err)
	}
	for server.UnansweredCalls() > 0 {
		runtime.Gosched()
	}
}
