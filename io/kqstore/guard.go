package kqstore

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqbackoff"
)

// Pauses between attempts while the store fails. Once the store recovers, a
// change must be in force within 4 seconds: the longest pause is well below the
// part of that time that a watch has to resume. It is also long enough that the
// attempts of 24 watchers put little load on the store.
const (
	firstPause = 200 * time.Millisecond
	maxPause   = 2 * time.Second
)

// CallRecord describes one call to the store, for logs and metrics.
type CallRecord struct {
	// Operation is "Get", "Put", "List", "Delete" or "Watch".
	Operation string
	// Kind and Name identify the object. Name is empty if the call concerns the
	// whole kind.
	Kind string
	Name string
	// Took is the duration of the call.
	Took time.Duration
	// Era is the era of the store after the call, and FormerEra the one after the
	// call before. If they differ, the store was restored from a copy, unless
	// FormerEra is [UnknownEra].
	Era       int64
	FormerEra int64
	// Err is nil if the call succeeded.
	Err error
}

// Restored reports whether the store was restored since the call before.
func (r CallRecord) Restored() bool {
	return r.FormerEra != UnknownEra && r.Era != r.FormerEra
}

// guard is a circuit breaker around a client.
type guard struct {
	inner   *Client
	now     func() time.Time
	random  func() float64
	observe func(CallRecord)

	mutex   sync.Mutex
	breaker *kqbackoff.Breaker
	era     int64
}

// BreakerOption configures a client made by [NewBreakerClient].
type BreakerOption func(*guard)

// WithObserver calls observe after every call, including those that the circuit
// breaker refused.
func WithObserver(observe func(CallRecord)) BreakerOption {
	return func(g *guard) { g.observe = observe }
}

// WithClock replaces the clock and the source of random numbers, which must be
// in [0, 1).
func WithClock(now func() time.Time, random func() float64) BreakerOption {
	return func(g *guard) { g.now, g.random = now, random }
}

// NewBreakerClient returns a client that puts a circuit breaker around inner.
// While the store fails, calls are attempted only after pauses with exponential
// backoff and jitter. Between attempts, calls fail with [ErrUnavailable] without
// reaching the store. The client never repeats a write.
func NewBreakerClient(inner *Client, options ...BreakerOption) *Client {
	g := &guard{
		inner: inner, now: time.Now, random: rand.Float64, observe: func(CallRecord) {}, era: UnknownEra,
		breaker: kqbackoff.NewBreaker(kqbackoff.Pause{First: firstPause, Max: maxPause}),
	}
	for _, o := range options {
		o(g)
	}
	return &Client{Get: g.get, Put: g.put, Watch: g.watch, List: g.list, Delete: g.delete, Era: inner.CurrentEra, HeardAt: inner.heardAt()}
}

func (g *guard) get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := g.call(CallRecord{Operation: "Get", Kind: kind, Name: name}, func() (err error) {
		o, err = g.inner.Get(ctx, kind, name)
		return err
	})
	return o, err
}

func (g *guard) put(ctx context.Context, kind string, object Object) (Object, error) {
	var o Object
	err := g.call(CallRecord{Operation: "Put", Kind: kind, Name: object.Name}, func() (err error) {
		o, err = g.inner.Put(ctx, kind, object)
		return err
	})
	return o, err
}

func (g *guard) list(ctx context.Context, kind string) ([]Object, string, error) {
	var objects []Object
	var version string
	err := g.call(CallRecord{Operation: "List", Kind: kind}, func() (err error) {
		objects, version, err = g.inner.List(ctx, kind)
		return err
	})
	return objects, version, err
}

func (g *guard) delete(ctx context.Context, kind string, object Object) error {
	return g.call(CallRecord{Operation: "Delete", Kind: kind, Name: object.Name}, func() error {
		return g.inner.Delete(ctx, kind, object)
	})
}

func (g *guard) watch(ctx context.Context, kind, name, version string, handle func(Object) error) error {
	return g.call(CallRecord{Operation: "Watch", Kind: kind, Name: name}, func() error {
		err := g.inner.Watch(ctx, kind, name, version, handle)
		if ctx.Err() != nil {
			// The caller ended the watch, so its end is no failure of the store.
			return errors.Wrap(ctx.Err(), "watch ended by its caller")
		}
		return err
	})
}

func (g *guard) call(record CallRecord, do func() error) error {
	started := g.now()
	record.Err = g.admit(started)
	if record.Err == nil {
		record.Err = do()
		g.recordResult(record.Err)
	}
	record.Took = g.now().Sub(started)
	record.FormerEra, record.Era = g.updateEra()
	g.observe(record)
	return record.Err
}

// updateEra returns the era after the call before and the one after this call.
func (g *guard) updateEra() (int64, int64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	former := g.era
	g.era = g.inner.CurrentEra()
	return former, g.era
}

// admit returns an error if the circuit breaker refuses a call at this time.
func (g *guard) admit(now time.Time) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if wait := g.breaker.WaitTime(now); wait > 0 {
		return errors.Mark(errors.Newf("store is not called: %d consecutive failures, next attempt in %s", g.breaker.Failures(), wait), ErrUnavailable)
	}
	return nil
}

// recordResult reports the result of a call to the circuit breaker. Only calls
// that the store did not answer are failures. A conflict, for example, is an
// answer.
func (g *guard) recordResult(err error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if errors.Is(err, ErrUnavailable) {
		g.breaker.RecordFailure(g.now(), g.random())
		return
	}
	g.breaker.RecordSuccess()
}
