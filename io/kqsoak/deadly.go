package kqsoak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// A deadly request crashes each server that runs it. Later than deadlyGrace after it
// has crashed servers convictingCrashes times, it may reach servers maxLateRuns times
// through nodes that no fault has affected for as long.
const (
	deadlyBody        = "deadly"
	convictingCrashes = 3
	maxLateRuns       = 3
	deadlyGrace       = 3 * time.Second
	// meanDeadlyPause is the mean pause between two deadly requests, and maxCrashTime
	// how long a server is away at most.
	meanDeadlyPause = 500 * time.Millisecond
	maxCrashTime    = time.Second
)

// deadlyRuns counts the runs of the deadly request.
type deadlyRuns struct {
	mutex   sync.Mutex
	crashes int
	// convictedAt is when it had crashed convictingCrashes servers.
	convictedAt time.Time
	late        int
}

// sendDeadly sends the deadly request to random hosts for the length of the soak.
func (s *soak) sendDeadly(ctx context.Context, random *rand.Rand) {
	for until := time.Now().Add(s.options.Length); time.Now().Before(until) && ctx.Err() == nil; {
		h := s.hosts[random.IntN(len(s.hosts))]
		sending, cancel := context.WithTimeout(ctx, requestTimeout+answerGrace)
		h.send(sending, call{id: s.ledger.newID(deadlyBody), path: oncePath(services[1]), service: services[1], body: deadlyBody, runOnce: true})
		cancel()
		sleep(ctx, time.Duration(random.Int64N(int64(2*meanDeadlyPause))))
	}
}

// isDeadly reports whether the request crashes the server that runs it.
func isDeadly(q *fasthttp.Request) bool {
	return string(q.Body()) == deadlyBody
}

// crash ends the backend server under the deadly request, and starts another one at
// its address some time later.
func (h *host) crash() {
	h.soak.ledger.allowLoss(time.Now().Add(maxCrashTime + lossGrace))
	h.soak.deadly.record(h)
	if !h.crashing.CompareAndSwap(false, true) {
		return
	}
	h.soak.recordEvent("%s: server %s crashes under a request", h.name, h.current().id)
	h.backendProxy.end()
	time.AfterFunc(time.Duration(rand.Int64N(int64(maxCrashTime))), func() {
		defer h.crashing.Store(false)
		// Another program may use the address for a moment.
		for err := h.backendProxy.restart(); err != nil; err = h.backendProxy.restart() {
			h.soak.recordEvent("%s: server could not start again: %v", h.name, err)
			time.Sleep(openPollPeriod)
		}
		h.replace()
	})
}

// record records a run at a host, and a violation if there are too many.
func (d *deadlyRuns) record(h *host) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	d.crashes++
	switch {
	case d.crashes == convictingCrashes:
		d.convictedAt = now
	case d.crashes > convictingCrashes && now.After(d.convictedAt.Add(deadlyGrace)) && now.After(h.lastFault().Add(deadlyGrace)):
		d.late++
	}
	if d.late == maxLateRuns+1 {
		h.soak.ledger.recordViolation("the deadly request reached %s and so servers %d times later than %s after it had crashed %d", h.name, d.late, deadlyGrace, convictingCrashes)
	}
}
