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

// Sizes of the test of whole answers.
const (
	wholeCallers      = 200
	wholeCallsEach    = 12
	wholeMostBytes    = 8 << 10
	wholeImpatience   = 2 * time.Millisecond
	wholeBudget       = "20"
	wholeShuffle      = 16
	wholeLongestDelay = 8 * time.Millisecond
)

// hashed is the answer that belongs to a request, padded so that lengths
// differ.
func hashed(body []byte) []byte {
	answer := fmt.Appendf(nil, "%016x ", xxhash.Sum64(body))
	for n := int(xxhash.Sum64(body) % wholeMostBytes); len(answer) < n; {
		answer = append(answer, answer[:17]...)
	}
	return answer
}

// shuffler answers calls late and out of order, and some of them twice.
type shuffler struct {
	doubled atomic.Int64
	// hold keeps connections open on which an answer was doubled.
	hold chan struct{}
}

func (s *shuffler) handle(c *fasthttp.RequestCtx) {
	body := append([]byte(nil), c.PostBody()...)
	random := rand.New(rand.NewPCG(xxhash.Sum64(body), 1))
	time.Sleep(time.Duration(random.Int64N(int64(wholeLongestDelay))))
	c.SetBody(hashed(body))
	if random.IntN(wholeShuffle) == 0 {
		s.doubled.Add(1)
		c.HijackSetNoResponse(true)
		c.Hijack(func(conn net.Conn) {
			text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(hashed(body)), hashed(body))
			_, _ = conn.Write([]byte(text + text))
			<-s.hold
		})
	}
}

func TestEveryCallerGetsItsOwnWholeAnswer(t *testing.T) {
	ctx := patient(t)
	entry, gate, fleet := startPlain(ctx, t)
	backend := &shuffler{hold: make(chan struct{})}
	defer close(backend.hold)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: backend.handle, NoDefaultServerHeader: true}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	(&script{listener: listener}).announce(t, gate.Node.BackendAddress(), "catalog", 4096, kqwire.StateReady)
	if err := fleet.AwaitServices(ctx, "catalog"); err != nil {
		t.Fatal(err)
	}
	var whole, gaveUp, refused atomic.Int64
	var callers sync.WaitGroup
	for i := range wholeCallers {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(uint64(i), 2))
			for j := range wholeCallsEach {
				answerOf(t, entry, random, fmt.Sprintf("caller %d call %d", i, j), &whole, &gaveUp, &refused)
			}
		})
	}
	callers.Wait()
	t.Logf("%d whole answers, %d callers gave up, %d refused, %d answers doubled", whole.Load(), gaveUp.Load(), refused.Load(), backend.doubled.Load())
	for name, n := range map[string]int64{"whole": whole.Load(), "gave up": gaveUp.Load(), "doubled": backend.doubled.Load()} {
		if n == 0 {
			t.Errorf("%s: got 0, want some, else the test proves nothing", name)
		}
	}
}

// answerOf sends one call and checks what comes back; some callers go away
// before the answer, and some calls have little time.
func answerOf(t *testing.T, entry *kqfleet.Member, random *rand.Rand, name string, whole, gaveUp, refused *atomic.Int64) {
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
	patience := testPatience
	switch random.IntN(4) {
	case 0:
		patience = wholeImpatience
	case 1:
		request.Header.Set(kqwire.HeaderBudget, wholeBudget)
	}
	client := &fasthttp.HostClient{Addr: entry.Node.CallerAddress(), MaxIdemponentCallAttempts: 1}
	defer client.CloseIdleConnections()
	if err := client.DoTimeout(request, response, patience); err != nil {
		gaveUp.Add(1)
		return
	}
	if string(response.Header.Peek(kqwire.HeaderOutcome)) != "ran" {
		refused.Add(1)
		return
	}
	if got, want := string(response.Body()), string(hashed(body)); got != want {
		t.Errorf("%s: got %d bytes %.40q, want %d bytes %.40q", name, len(got), got, len(want), want)
	}
	whole.Add(1)
}
