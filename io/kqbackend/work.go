package kqbackend

import (
	"context"
	"math"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqwire"
)

// work is a call that the stand-in has taken on.
type work struct {
	run     *Run
	context string
	gone    <-chan struct{}
	// ctx ends when the call's connection does.
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
		context: string(c.Request.Header.Peek(kqwire.HeaderContext)),
		gone:    goneOf(c.Conn()),
	}
}

func (b *Backend) handle(c *fasthttp.RequestCtx) {
	w := newWork(c)
	if !b.enter(w) {
		c.Response.Header.Set(kqwire.HeaderShed, "1")
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	defer b.inside.Add(-1)
	select {
	case b.slots <- struct{}{}:
	case <-w.gone:
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
		case <-w.gone:
			cancel()
		case <-ended:
		}
	}()
	b.answer(c, w, b.perform(w))
}

// enter takes the call on unless the stand-in is full.
func (b *Backend) enter(w *work) bool {
	room := int64(b.settings.Slots + b.settings.Queue)
	if b.inside.Add(1) <= room && !b.faults.get().Refuse {
		return true
	}
	b.inside.Add(-1)
	b.record.change(func() {
		b.record.sheds = append(b.record.sheds, Shed{RequestID: w.run.RequestID, Class: w.run.Class, Path: w.run.Path, Attempt: w.run.Attempt, At: time.Now()})
	})
	return false
}

// perform runs the call and gives its status, or 0 when its caller has gone.
func (b *Backend) perform(w *work) int {
	w.run.At = time.Now()
	b.record.begin(w.run)
	if !b.pass(w.gone, func(f Faults) bool { return f.Stall || f.Silent }) {
		return 0
	}
	need := b.draw(b.factor(b.faults.get()))
	begun := time.Now()
	whole := wait(need, w.gone)
	spent := min(time.Since(begun), need)
	if whole {
		spent = need
	}
	b.record.change(func() { w.run.Worked, w.run.Saved = spent, need-spent })
	if !whole {
		return 0
	}
	if !b.callOnward(w) {
		return fasthttp.StatusBadGateway
	}
	if !b.pass(w.gone, func(f Faults) bool { return f.Stall || f.Silent }) {
		return 0
	}
	return fasthttp.StatusOK
}

// draw gives the service time of a call.
func (b *Backend) draw(factor float64) time.Duration {
	s := b.settings
	if s.Spread > 0 {
		b.randomMutex.Lock()
		normal := b.random.NormFloat64()
		b.randomMutex.Unlock()
		factor *= math.Exp(s.Spread*normal - s.Spread*s.Spread/2)
	}
	return time.Duration(float64(s.ServiceTime) * factor)
}

// wait waits unless the caller goes first, and says whether it did not.
func wait(d time.Duration, gone <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-gone:
		return false
	}
}

func (b *Backend) answer(c *fasthttp.RequestCtx, w *work, status int) {
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
	case <-w.gone:
		answered = false
	default:
	}
	b.record.change(func() {
		w.run.Ended, w.run.Answered, w.run.Status = time.Now(), answered, status
	})
}
