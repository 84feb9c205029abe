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
	"kumquatlink/io/kqmesh"
	"kumquatlink/io/kqwire"
)

// Timing and behaviour of the simulated callers.
const (
	requestTimeout = 2 * time.Second
	// answerGrace is how long after requestTimeout a caller still waits. No
	// answer by then violates a guarantee.
	answerGrace = 2 * time.Second
	// maxThinkTime is the longest pause between two requests of a caller.
	maxThinkTime = 30 * time.Millisecond
	// disconnectShare is the share of requests whose callers disconnect early.
	disconnectShare = 0.05
	healthPath      = "/health"
	hostName        = "shop"
	// headerOnward asks the backend server to make an onward call.
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
	// fromRepeat reports whether it is an onward call of a repeated run.
	fromRepeat bool
	// budgetMillis is the time budget header, in milliseconds; empty sends none.
	budgetMillis string
	// key is the key of a team, or empty.
	key string
	// origin is the host whose node it is sent to.
	origin *host
}

// answer is what a caller received. A status of 0 means no answer.
type answer struct {
	status int
	body   string
	err    error
}

// send sends one request over a new pool and checks its answer.
func (h *host) send(ctx context.Context, c call) answer {
	return h.sendOver(ctx, h.newCallerPool(), c)
}

func (h *host) sendOver(ctx context.Context, pool *kqhttp.Pool, c call) answer {
	ledger := h.soak.ledger
	c.origin = h
	ledger.recordSent(c)
	startedAt := time.Now()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(c.path)
	request.Header.SetHost(hostName)
	request.Header.Set(kqwire.HeaderRequestID, c.id)
	if c.budgetMillis != "" {
		request.Header.Set(kqwire.HeaderBudget, c.budgetMillis)
	}
	if c.onward {
		request.Header.Set(headerOnward, "1")
	}
	if c.key != "" {
		request.Header.Set(kqmesh.HeaderTeamKey, c.key)
	}
	request.SetBodyString(c.body)
	err := pool.Do(ctx, request, response)
	if err != nil {
		ledger.recordAnswer(c.id, 0, false)
		h.checkLostAnswer(ctx, c, startedAt, err)
		return answer{err: err, body: err.Error()}
	}
	a := answer{status: response.StatusCode(), body: string(response.Body())}
	ledger.recordAnswer(c.id, a.status, saysNotRun(a.status))
	if a.status == fasthttp.StatusOK {
		if want := expectedBody(c.id, request); a.body != want {
			ledger.recordViolation("%s got body %q, want %q", c.id, a.body, want)
		}
	}
	if saysWhen := a.status == fasthttp.StatusServiceUnavailable || a.status == fasthttp.StatusTooManyRequests; saysWhen && len(response.Header.Peek(fasthttp.HeaderRetryAfter)) == 0 {
		ledger.recordViolation("%s was answered %d without a Retry-After header", c.id, a.status)
	}
	return a
}

// saysNotRun reports whether a status tells the caller that its request was not run.
func saysNotRun(status int) bool {
	return status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusUnauthorized
}

// checkLostAnswer records a violation if a request had run and its connection
// ended without an answer while no injected fault could have broken it.
func (h *host) checkLostAnswer(ctx context.Context, c call, startedAt time.Time, err error) {
	if ctx.Err() != nil || errors.Is(err, kqhttp.ErrNotSent) || h.soak.ledger.isLossAllowed(startedAt) || h.soak.ledger.runCount(c.id) == 0 {
		return
	}
	h.soak.ledger.recordViolation("%s to %s had run, but its connection ended without an answer: %v", c.id, h.name, err)
}

// runCaller sends requests to a host, one at a time, until ctx ends.
func (s *soak) runCaller(ctx context.Context, h *host, random *rand.Rand) {
	pool := h.newCallerPool()
	defer pool.Close()
	for ctx.Err() == nil {
		c := call{service: services[random.IntN(len(services))], runOnce: random.IntN(2) == 0, body: fmt.Sprint(random.Uint64())}
		c.id = s.ledger.newID(c.service)
		c.path = s.newestPath(c.service)
		if c.runOnce {
			c.path = oncePath(c.service)
		}
		c.onward = c.service == services[0] && random.IntN(2) == 0
		limit := requestTimeout + answerGrace
		disconnects := random.Float64() < disconnectShare
		if disconnects {
			limit = time.Duration(random.Int64N(int64(20 * time.Millisecond)))
		}
		calling, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
		startedAt := time.Now()
		a := h.sendOver(calling, pool, c)
		cancel()
		if !disconnects && a.status == 0 && time.Since(startedAt) >= limit && !s.ledger.isLossAllowed(startedAt) {
			s.ledger.recordViolation("%s to %s had no answer after %s", c.id, h.name, limit)
		}
		sleep(ctx, time.Duration(random.Int64N(int64(maxThinkTime))))
	}
}

// expectedBody returns the answer body for a request. It contains the request's
// ID, method, URI and body hash, so that a mixed-up answer is detected.
func expectedBody(id string, q *fasthttp.Request) string {
	return fmt.Sprintf("%s %s %s %x", id, q.Header.Method(), q.Header.RequestURI(), xxhash.Sum64(q.Body()))
}

// serviceTime returns how long a request runs. It is a hash of the request's
// ID, so that it needs no lock and does not differ between runs.
func serviceTime(id string) time.Duration {
	return time.Duration(xxhash.Sum64String(id)%20) * time.Millisecond
}

// uniformShare returns a number in [0, 1) for a request's ID, by hashing it like
// serviceTime does.
func uniformShare(id string) float64 {
	return float64(xxhash.Sum64String("share "+id)%1000) / 1000
}
