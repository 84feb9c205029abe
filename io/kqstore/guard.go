package kqstore

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqbackoff"
)

// Pauses of a guarded client while the store fails. The longest is well under
// a watch's share of the 4 seconds in which a change is in force once the
// store answers again, and far above what 24 watchers could load it with.
const (
	firstPause = 200 * time.Millisecond
	mostPause  = 2 * time.Second
)

// CallRecord is one call of the store, for logs and metrics.
type CallRecord struct {
	// Operation is "Get", "Put", "List", "Delete" or "Watch".
	Operation string
	Kind      string
	Name      string
	Took      time.Duration
	Err       error
}

// guard stands between the node and a client.
type guard struct {
	inner   *Client
	now     func() time.Time
	random  func() float64
	observe func(CallRecord)

	mutex   sync.Mutex
	breaker *kqbackoff.Breaker
}

// BreakerOption changes a guarded client.
type BreakerOption func(*guard)

// WithObserver is told of every call that was made or refused.
func WithObserver(observe func(CallRecord)) BreakerOption {
	return func(g *guard) { g.observe = observe }
}

// WithClock replaces the clock and the random numbers in [0, 1).
func WithClock(now func() time.Time, random func() float64) BreakerOption {
	return func(g *guard) { g.now, g.random = now, random }
}

// NewBreakerClient returns a client that stops calling a store that fails, and tries again
// after pauses that grow and are spread. A refused call fails with
// ErrUnavailable without reaching the store. Writes are never repeated here.
func NewBreakerClient(inner *Client, options ...BreakerOption) *Client {
	g := &guard{
		inner: inner, now: time.Now, random: rand.Float64, observe: func(CallRecord) {},
		breaker: kqbackoff.NewBreaker(kqbackoff.Pause{First: firstPause, Max: mostPause}),
	}
	for _, o := range options {
		o(g)
	}
	return &Client{Get: g.get, Put: g.put, Watch: g.watch, List: g.list, Delete: g.delete}
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

func (g *guard) watch(ctx context.Context, kind, name, version string, take func(Object) error) error {
	return g.call(CallRecord{Operation: "Watch", Kind: kind, Name: name}, func() error {
		err := g.inner.Watch(ctx, kind, name, version, take)
		if ctx.Err() != nil {
			// Its end says nothing of the store.
			return errors.Wrap(ctx.Err(), "watch was ended")
		}
		return err
	})
}

func (g *guard) call(record CallRecord, do func() error) error {
	begun := g.now()
	record.Err = g.admit(begun)
	if record.Err == nil {
		record.Err = do()
		g.settle(record.Err)
	}
	record.Took = g.now().Sub(begun)
	g.observe(record)
	return record.Err
}

func (g *guard) admit(now time.Time) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if wait := g.breaker.WaitTime(now); wait > 0 {
		return errors.Mark(errors.Newf("store has failed %d times, next try in %s", g.breaker.Failures(), wait), ErrUnavailable)
	}
	return nil
}

// settle tells the breaker how a call went. Only silence and outages count as
// failures: a conflict is an answer.
func (g *guard) settle(err error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if errors.Is(err, ErrUnavailable) {
		g.breaker.RecordFailure(g.now(), g.random())
		return
	}
	g.breaker.RecordSuccess()
}
