package kqbackend

import (
	"context"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqwire"
)

// work is a call that the stand-in has received.
type work struct {
	run *Run
	// context is the token of the call, which its onward calls carry.
	context string
	// disconnected is closed when the connection of the call ends.
	disconnected <-chan struct{}
	// ctx ends when the connection of the call does.
	ctx context.Context
}

func newWork(c *fasthttp.RequestCtx) *work {
	return &work{
		run: &Run{
			RequestID: string(c.Request.Header.Peek(kqwire.HeaderRequestID)),
			Key:       string(c.Request.Header.Peek(kqwire.HeaderIdempotencyKey)),
			Class:     string(c.Request.Header.Peek(kqwire.HeaderClass)),
			Path:      string(c.Path()),
			Attempt:   string(c.Request.Header.Peek(headerAttempt)),
		},
		context:      string(c.Request.Header.Peek(kqwire.HeaderContext)),
		disconnected: disconnectedOf(c.Conn()),
	}
}

// handle admits or sheds a call, waits for a slot, and runs the call in it.
func (b *Backend) handle(c *fasthttp.RequestCtx) {
	w := newWork(c)
	b.state(&c.Response.Header)
	if !b.admit(w) {
		c.Response.Header.Set(kqwire.HeaderShed, "1")
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	defer b.inFlight.Add(-1)
	select {
	case b.slots <- struct{}{}:
	case <-w.disconnected:
		c.SetConnectionClose()
		return
	}
	defer func() { <-b.slots }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.ctx = ctx
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-w.disconnected:
			cancel()
		case <-ended:
		}
	}()
	b.writeAnswer(c, w, b.perform(w))
}

// state sets the header fields by which an answer names the limit of the stand-in
// and says that it leaves.
func (b *Backend) state(h *fasthttp.ResponseHeader) {
	f := b.faults.get()
	if f.RateLimit > 0 {
		h.Set(kqwire.HeaderRateLimit, strconv.FormatFloat(f.RateLimit, 'f', -1, 64))
	}
	if f.Leaving {
		h.Set(kqwire.HeaderLeaving, "1")
	}
}

// admit reports whether the call may run or wait for a slot. A refused call is
// recorded as shed.
func (b *Backend) admit(w *work) bool {
	capacity := int64(b.settings.Slots + b.settings.Queue)
	if b.inFlight.Add(1) <= capacity && !b.faults.get().Refuse {
		return true
	}
	b.inFlight.Add(-1)
	b.record.update(func() {
		b.record.sheds = append(b.record.sheds, Shed{RequestID: w.run.RequestID, Class: w.run.Class, Path: w.run.Path, Attempt: w.run.Attempt, At: time.Now()})
	})
	return false
}

// perform runs the call and returns the status of its answer, or 0 if the caller
// disconnected.
func (b *Backend) perform(w *work) int {
	w.run.At = time.Now()
	b.record.addRun(w.run)
	if !b.waitWhile(w.disconnected, func(f Faults) bool { return f.Stall || f.Silent }) {
		return 0
	}
	required := b.drawServiceTime(b.serviceTimeFactor(b.faults.get()))
	start := time.Now()
	completed := sleep(required, w.disconnected)
	spent := min(time.Since(start), required)
	if completed {
		spent = required
	}
	b.record.update(func() { w.run.Worked, w.run.Saved = spent, required-spent })
	if !completed {
		return 0
	}
	if !b.callOnward(w) {
		return fasthttp.StatusBadGateway
	}
	if !b.waitWhile(w.disconnected, func(f Faults) bool { return f.Stall || f.Silent }) {
		return 0
	}
	return fasthttp.StatusOK
}

// drawServiceTime returns the service time of a call: ServiceTime times factor,
// with the random spread. The spread leaves the mean unchanged.
func (b *Backend) drawServiceTime(factor float64) time.Duration {
	s := b.settings
	if s.Spread > 0 {
		b.randomMutex.Lock()
		normal := b.random.NormFloat64()
		b.randomMutex.Unlock()
		factor *= math.Exp(s.Spread*normal - s.Spread*s.Spread/2)
	}
	return time.Duration(float64(s.ServiceTime) * factor)
}

// sleep waits for a time. It returns false if the caller disconnects first.
func sleep(d time.Duration, disconnected <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-disconnected:
		return false
	}
}

// writeAnswer writes the answer with a status, and records the end of the run.
// Status 0 closes the connection.
func (b *Backend) writeAnswer(c *fasthttp.RequestCtx, w *work, status int) {
	if status == fasthttp.StatusOK {
		c.Response.Header.Set("Content-Type", "text/plain")
		c.Response.AppendBodyString(Echo(b.settings.Service, string(c.Method()), string(c.RequestURI()), c.PostBody()))
	}
	if status == 0 {
		c.SetConnectionClose()
		status = fasthttp.StatusServiceUnavailable
	}
	c.SetStatusCode(status)
	answered := true
	select {
	case <-w.disconnected:
		answered = false
	default:
	}
	b.record.update(func() {
		w.run.Ended, w.run.Answered, w.run.Status = time.Now(), answered, status
	})
}
