package kqsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqhttp"
	"kumquatlink/io/kqwire"
)

// Figures of the callers.
const (
	requestTimeout = 2 * time.Second
	// patience is how much longer than a request may take a caller waits for
	// its answer before the answer counts as held back.
	patience = 2 * time.Second
	// thinkTime is the longest pause between two requests of a caller.
	thinkTime = 30 * time.Millisecond
	// leaveShare is the share of requests whose callers leave before the end.
	leaveShare = 0.05
	healthPath = "/health"
	hostName   = "shop"
	// headerOnward asks the backend server to make a call of its own.
	headerOnward = "Soak-Onward"
)

// call is one request that a caller sends.
type call struct {
	id      string
	path    string
	service string
	body    string
	runOnce bool
	onward  bool
	// inherited is whether it is made by a run that was itself a repeat.
	inherited bool
	// left is the time that the caller gives, in milliseconds.
	left string
}

// answer is what a caller got; a status of 0 is none.
type answer struct {
	status int
	body   string
	err    error
}

// send sends one request over a connection of its own and checks its answer.
func (h *host) send(ctx context.Context, c call) answer {
	return h.sendOver(ctx, h.poolFor(), c)
}

func (h *host) sendOver(ctx context.Context, pool *kqhttp.Pool, c call) answer {
	ledger := h.soak.ledger
	ledger.sent(c)
	begun := time.Now()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(c.path)
	request.Header.SetHost(hostName)
	request.Header.Set(kqwire.HeaderRequestID, c.id)
	if c.left != "" {
		request.Header.Set(kqwire.HeaderBudget, c.left)
	}
	if c.onward {
		request.Header.Set(headerOnward, "1")
	}
	request.SetBodyString(c.body)
	err := pool.Do(ctx, request, response)
	if err != nil {
		ledger.answered(c.id, 0, false)
		h.checkLoss(ctx, c, begun, err)
		return answer{err: err, body: err.Error()}
	}
	a := answer{status: response.StatusCode(), body: string(response.Body())}
	ledger.answered(c.id, a.status, a.status == fasthttp.StatusServiceUnavailable || a.status == fasthttp.StatusTooManyRequests)
	if a.status == fasthttp.StatusOK {
		if want := bodyOf(c.id, request); a.body != want {
			ledger.broke("%s got %q, want its own answer %q", c.id, a.body, want)
		}
	}
	if a.status == fasthttp.StatusServiceUnavailable && len(response.Header.Peek(fasthttp.HeaderRetryAfter)) == 0 {
		ledger.broke("%s was refused and not told when to come back", c.id)
	}
	return a
}

// checkLoss finds a request that was cut off without any fault to excuse it.
func (h *host) checkLoss(ctx context.Context, c call, begun time.Time, err error) {
	if ctx.Err() != nil || errors.Is(err, kqhttp.ErrNotSent) || h.soak.ledger.isDisturbed(begun) || h.soak.ledger.ranOften(c.id) == 0 {
		return
	}
	h.soak.ledger.broke("%s to %s had run and its connection ended without an answer: %v", c.id, h.name, err)
}

// call sends requests to a host until ctx ends.
func (s *soak) call(ctx context.Context, h *host, random *rand.Rand) {
	pool := h.poolFor()
	defer pool.Close()
	for ctx.Err() == nil {
		c := call{service: services[random.IntN(len(services))], runOnce: random.IntN(2) == 0, body: fmt.Sprint(random.Uint64())}
		c.id = s.ledger.newID(c.service)
		c.path = s.newestPath(c.service)
		if c.runOnce {
			c.path = oncePath(c.service)
		}
		c.onward = c.service == services[0] && random.IntN(2) == 0
		limit := requestTimeout + patience
		leaves := random.Float64() < leaveShare
		if leaves {
			limit = time.Duration(random.Int64N(int64(20 * time.Millisecond)))
		}
		calling, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
		begun := time.Now()
		a := h.sendOver(calling, pool, c)
		cancel()
		if !leaves && a.status == 0 && time.Since(begun) >= limit && !s.ledger.isDisturbed(begun) {
			s.ledger.broke("%s to %s had no answer after %s", c.id, h.name, limit)
		}
		pause(ctx, time.Duration(random.Int64N(int64(thinkTime))))
	}
}

// bodyOf is the answer that belongs to a request.
func bodyOf(id string, q *fasthttp.Request) string {
	return fmt.Sprintf("%s %s %s %x", id, q.Header.Method(), q.Header.RequestURI(), xxhash.Sum64(q.Body()))
}

// serviceTime and share are drawn from a request's ID, so that they need no
// lock and do not differ between runs.
func serviceTime(id string) time.Duration {
	return time.Duration(xxhash.Sum64String(id)%20) * time.Millisecond
}

func share(id string) float64 {
	return float64(xxhash.Sum64String("share "+id)%1000) / 1000
}
