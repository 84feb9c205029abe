package kqnode_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqfleet"
	"kumquatlink/io/kqwire"
)

// Parameters of TestEveryCallerReceivesItsOwnCompleteAnswer.
const (
	callerCount      = 200
	callsPerCaller   = 12
	maxAnswerPadding = 8 << 10
	shortTimeout     = 2 * time.Millisecond
	shortBudget      = "20"
	duplicateOneIn   = 16
	maxAnswerDelay   = 8 * time.Millisecond
)

// expectedAnswer returns the answer to a request body: the body's hash, padded to
// a length that depends on it.
func expectedAnswer(body []byte) []byte {
	answer := fmt.Appendf(nil, "%016x ", xxhash.Sum64(body))
	for n := int(xxhash.Sum64(body) % maxAnswerPadding); len(answer) < n; {
		answer = append(answer, answer[:17]...)
	}
	return answer
}

// duplicatingServer is a backend server that answers calls late and out of order,
// and writes some answers twice.
type duplicatingServer struct {
	duplicated atomic.Int64
	// hold keeps connections open, until closed, on which an answer was written twice.
	hold chan struct{}
}

func (s *duplicatingServer) handle(c *fasthttp.RequestCtx) {
	body := append([]byte(nil), c.PostBody()...)
	random := rand.New(rand.NewPCG(xxhash.Sum64(body), 1))
	time.Sleep(time.Duration(random.Int64N(int64(maxAnswerDelay))))
	c.SetBody(expectedAnswer(body))
	if random.IntN(duplicateOneIn) == 0 {
		s.duplicated.Add(1)
		c.HijackSetNoResponse(true)
		c.Hijack(func(conn net.Conn) {
			text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(expectedAnswer(body)), expectedAnswer(body))
			_, _ = conn.Write([]byte(text + text))
			<-s.hold
		})
	}
}

// TestEveryCallerReceivesItsOwnCompleteAnswer guards against answers that are cut
// short or reach the wrong caller, while other callers disconnect, calls run out of
// budget, and the backend server writes some answers twice.
func TestEveryCallerReceivesItsOwnCompleteAnswer(t *testing.T) {
	ctx := testContext(t)
	entry, gate, fleet := startTwoNodes(ctx, t)
	backend := &duplicatingServer{hold: make(chan struct{})}
	defer close(backend.hold)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: backend.handle, NoDefaultServerHeader: true}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	(&scriptedBackend{listener: listener}).announce(t, gate.Node.BackendAddress(), "catalog", 4096, kqwire.StateReady)
	if err := fleet.AwaitServices(ctx, "catalog"); err != nil {
		t.Fatal(err)
	}
	var complete, gaveUp, refused atomic.Int64
	var callers sync.WaitGroup
	for i := range callerCount {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(uint64(i), 2))
			for j := range callsPerCaller {
				callAndCheck(t, entry, random, fmt.Sprintf("caller %d call %d", i, j), &complete, &gaveUp, &refused)
			}
		})
	}
	callers.Wait()
	t.Logf("%d complete answers, %d callers gave up, %d calls refused, %d answers duplicated", complete.Load(), gaveUp.Load(), refused.Load(), backend.duplicated.Load())
	for name, n := range map[string]int64{"whole": complete.Load(), "gave up": gaveUp.Load(), "doubled": backend.duplicated.Load()} {
		if n == 0 {
			t.Errorf("%s: got 0, want at least one, or the test checks nothing", name)
		}
	}
}

// callAndCheck sends one call, checks the answer and counts the result. Some
// callers give up before the answer, and some calls have a short budget.
func callAndCheck(t *testing.T, entry *kqfleet.Member, random *rand.Rand, name string, complete, gaveUp, refused *atomic.Int64) {
	body := []byte(name)
	for range random.IntN(64) {
		body = fnv.New64a().Sum(body)
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("/whole")
	request.Header.SetHost(entry.Node.CallerAddress())
	request.Header.Set(kqwire.HeaderService, "catalog")
	request.SetBody(body)
	timeout := testTimeout
	switch random.IntN(4) {
	case 0:
		timeout = shortTimeout
	case 1:
		request.Header.Set(kqwire.HeaderBudget, shortBudget)
	}
	client := &fasthttp.HostClient{Addr: entry.Node.CallerAddress(), MaxIdemponentCallAttempts: 1}
	defer client.CloseIdleConnections()
	if err := client.DoTimeout(request, response, timeout); err != nil {
		gaveUp.Add(1)
		return
	}
	if string(response.Header.Peek(kqwire.HeaderOutcome)) != "ran" {
		refused.Add(1)
		return
	}
	if got, want := string(response.Body()), string(expectedAnswer(body)); got != want {
		t.Errorf("%s: got %d bytes %.40q, want %d bytes %.40q", name, len(got), got, len(want), want)
	}
	complete.Add(1)
}
