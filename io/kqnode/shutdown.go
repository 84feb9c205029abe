package kqnode

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqmember"
)

// Time limits of a shutdown.
const (
	// shutdownMargin is how long a shutdown may take beyond the longest deadline.
	shutdownMargin = 10 * time.Second
	// handOverTimeout limits the handover of the node's buckets of idempotency
	// keys.
	handOverTimeout = 5 * time.Second
	// closeTimeout limits the closing of idle connections.
	closeTimeout = 2 * time.Second
	// answerLinger is how long links stay open after the last answer, since
	// closing a link discards data that the peer has not acknowledged.
	answerLinger = 500 * time.Millisecond
	// drainPollPeriod is how often a wait for keys checks its condition.
	drainPollPeriod = 10 * time.Millisecond
)

// work counts the calls in flight in the node. A shutdown closes it and waits
// until it is empty. Calls that arrive later are not counted: the gate and the
// homes (the nodes that keep idempotency keys) refuse them.
type work struct {
	mutex    sync.Mutex
	closed   bool
	inFlight int
	// empty is closed when work is closed and no call is in flight.
	empty    chan struct{}
	answered time.Time
}

func newWork() *work {
	return &work{empty: make(chan struct{})}
}

// enter counts a call that begins and returns the function that counts its end.
// It returns false for open, and counts nothing, if work is closed.
func (w *work) enter() (leave func(), open bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed {
		return func() {}, false
	}
	w.inFlight++
	return sync.OnceFunc(w.leave), true
}

// leave counts the end of a call.
func (w *work) leave() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.inFlight--
	if w.closed && w.inFlight == 0 {
		close(w.empty)
	}
}

// close stops the counting of new calls.
func (w *work) close() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	if w.inFlight == 0 {
		close(w.empty)
	}
}

// wait waits until all counted calls have ended. If ctx ends first, it returns an
// error with the number of calls that are left.
func (w *work) wait(ctx context.Context) error {
	select {
	case <-w.empty:
		return nil
	case <-ctx.Done():
		w.mutex.Lock()
		defer w.mutex.Unlock()
		return errors.Mark(errors.Newf("%d calls were cut off when the shutdown time was over", w.inFlight), ErrNode)
	}
}

// recordPeerAnswer records the time of the last answer to a peer's call.
func (w *work) recordPeerAnswer(at time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.answered = at
}

// lastAnswer returns when a peer's call was last answered.
func (w *work) lastAnswer() time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.answered
}

// submitPeer runs the task of a peer's stream on the pool and counts it as a call
// in flight. It returns an error if the pool is full.
func (n *Node) submitPeer(task func()) error {
	leave, _ := n.work.enter()
	err := n.pool.Submit(func() {
		defer leave()
		task()
	})
	if err != nil {
		leave()
	}
	return err
}

// ShutdownBound returns the longest time that a shutdown should take: the longest
// deadline of the classes in force, and 10 s for closing. Use it as the timeout
// of the context passed to [Node.Shutdown].
func (n *Node) ShutdownBound() time.Duration {
	longest := time.Duration(0)
	for _, c := range n.State().Configuration.Classes {
		longest = max(longest, time.Duration(c.Target.Within))
	}
	return longest + shutdownMargin
}

// Shutdown drains the node and stops it. It refuses new calls with the outcome
// not-run, hands over this node's idempotency keys, waits for the calls in
// flight, advertises the state Gone to its peers, and closes all connections.
// Calls that are still in flight when ctx ends are cut off, and the error, marked
// with [ErrNode], states their number. A second call does nothing.
func (n *Node) Shutdown(ctx context.Context) error {
	if !n.shutdownBegun.CompareAndSwap(false, true) {
		return nil
	}
	n.control.send(shutdownEvent{})
	err := n.WaitFor(ctx, func(s *State) bool { return s.Life == kqmember.LifeDraining || s.Life == kqmember.LifeGone })
	n.work.close()
	n.keys.handOverBuckets(ctx)
	err = errors.CombineErrors(err, n.work.wait(ctx))
	err = errors.CombineErrors(err, n.keys.finish(ctx))
	err = errors.CombineErrors(err, n.closeHTTP())
	n.announceGone(ctx)
	n.linger(ctx)
	return errors.Mark(errors.CombineErrors(err, n.stop()), ErrNode)
}

// closeHTTP closes the HTTP servers. It is called when no call is in flight.
func (n *Node) closeHTTP() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var err error
	for _, s := range []*fasthttp.Server{n.callers, n.backend, n.operator} {
		if e := s.ShutdownWithContext(ctx); e != nil {
			err = errors.CombineErrors(err, errors.Wrap(e, "close HTTP connections"))
		}
	}
	return err
}

// linger waits until answerLinger has passed since the last answer to a peer.
func (n *Node) linger(ctx context.Context) {
	remaining := answerLinger - n.now().Sub(n.work.lastAnswer())
	if remaining <= 0 {
		return
	}
	select {
	case <-time.After(remaining):
	case <-ctx.Done():
	}
}

// stop ends the goroutines started by loop and releases all other resources.
func (n *Node) stop() error {
	n.cancel()
	n.loops.Wait()
	err := errors.CombineErrors(n.server.Close(), n.metrics.Close())
	n.dialer.Close()
	n.pool.Release()
	n.exchanges.Release()
	if n.ownsLog {
		n.log.Close()
	}
	return err
}

// handOverBuckets starts the handover of this node's buckets to other nodes of
// its service and waits for its end. If there is no other node, or none answers
// in time, the buckets are claimed later, and the keys in them are in doubt.
func (k *keyManager) handOverBuckets(ctx context.Context) {
	k.leaving.Store(true)
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for k.canHandOver() {
		select {
		case <-time.After(drainPollPeriod):
		case <-ctx.Done():
			k.node.log.Event(zerolog.WarnLevel, "idempotency keys were not handed over in time, they will be in doubt", ctx.Err())
			return
		}
	}
}

// canHandOver reports whether this node has buckets, or pending offers of them,
// and there is another node to take them.
func (k *keyManager) canHandOver() bool {
	k.mutex.Lock()
	none := k.home == nil || len(k.home.ActiveBuckets()) == 0 && len(k.home.PendingOffers()) == 0
	k.mutex.Unlock()
	return !none && len(k.successors(k.node.State())) > 0
}

// finish refuses calls with new keys and waits until the running calls with a key
// have ended.
func (k *keyManager) finish(ctx context.Context) error {
	k.closed.Store(true)
	for {
		k.mutex.Lock()
		left := len(k.runs)
		k.mutex.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-time.After(drainPollPeriod):
		case <-ctx.Done():
			return errors.Mark(errors.Newf("%d calls with an idempotency key were cut off when the shutdown time was over", left), ErrNode)
		}
	}
}

// handOverAll hands each bucket of this node over to the least loaded other node
// of the service.
func (k *keyManager) handOverAll(ctx context.Context, s *State) {
	k.mutex.Lock()
	buckets := k.home.ActiveBuckets()
	k.mutex.Unlock()
	for _, b := range buckets {
		others := k.successors(s)
		if len(others) == 0 {
			return
		}
		k.mutex.Lock()
		table := k.home.Table()
		k.mutex.Unlock()
		least, _ := leastLoaded(table, others)
		k.handOver(ctx, b, nodeOf(least))
	}
}
