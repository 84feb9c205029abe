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

// Bounds of a shutdown.
const (
	// shutdownMargin is what a shutdown may take beyond the longest deadline.
	shutdownMargin = 10 * time.Second
	// handOffTimeout bounds the hand-over of the node's buckets.
	handOffTimeout = 5 * time.Second
	// closeTimeout bounds the closing of connections without calls on them.
	closeTimeout = 2 * time.Second
	// answerLinger is how long links stay open behind the last answer, since
	// closing a link cuts off what the peer has not acknowledged.
	answerLinger = 500 * time.Millisecond
	drainPoll    = 10 * time.Millisecond
)

// work counts the calls that are on their way through the node. Calls that
// come after it was closed are not waited for: the gate and the homes refuse
// them.
type work struct {
	mutex    sync.Mutex
	closed   bool
	inFlight int
	empty    chan struct{}
	answered time.Time
}

func newWork() *work {
	return &work{empty: make(chan struct{})}
}

// enter counts a call in and says whether the node still takes new work.
func (w *work) enter() (leave func(), open bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed {
		return func() {}, false
	}
	w.inFlight++
	return sync.OnceFunc(w.leave), true
}

func (w *work) leave() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.inFlight--
	if w.closed && w.inFlight == 0 {
		close(w.empty)
	}
}

// close ends the taking of new work.
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

// wait waits until the calls that were counted in are over.
func (w *work) wait(ctx context.Context) error {
	select {
	case <-w.empty:
		return nil
	case <-ctx.Done():
		w.mutex.Lock()
		defer w.mutex.Unlock()
		return errors.Mark(errors.Newf("%d calls were cut off at the bound of the shutdown", w.inFlight), ErrNode)
	}
}

// recordPeerAnswer records when a peer's call was last answered.
func (w *work) recordPeerAnswer(at time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.answered = at
}

func (w *work) lastAnswer() time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.answered
}

// submitPeer runs a peer's stream on the pool and counts it as work.
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

// ShutdownBound is how long a shutdown takes at most: the longest deadline of
// the classes in force, and a margin for closing.
func (n *Node) ShutdownBound() time.Duration {
	longest := time.Duration(0)
	for _, c := range n.State().Configuration.Classes {
		longest = max(longest, time.Duration(c.Target.Within))
	}
	return longest + shutdownMargin
}

// Shutdown refuses new work as not run, lets everything that is in flight
// finish, hands over the keys that this node remembers, tells its peers that
// it is gone, and ends. Calls that are still in flight when ctx ends are cut
// off, and the error says how many. A second call does nothing.
func (n *Node) Shutdown(ctx context.Context) error {
	if !n.shutDown.CompareAndSwap(false, true) {
		return nil
	}
	n.control.send(leaveEvent{})
	err := n.WaitFor(ctx, func(s *State) bool { return s.Life == kqmember.LifeDraining || s.Life == kqmember.LifeGone })
	n.work.close()
	n.keys.handOff(ctx)
	err = errors.CombineErrors(err, n.work.wait(ctx))
	err = errors.CombineErrors(err, n.keys.finish(ctx))
	err = errors.CombineErrors(err, n.closeHTTP())
	n.announceGone(ctx)
	n.linger(ctx)
	return errors.Mark(errors.CombineErrors(err, n.stop()), ErrNode)
}

// closeHTTP closes the HTTP addresses; no call is in flight on them.
func (n *Node) closeHTTP() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var err error
	for _, s := range []*fasthttp.Server{n.callers, n.backend, n.operator} {
		if e := s.ShutdownWithContext(ctx); e != nil {
			err = errors.CombineErrors(err, errors.Wrap(e, "close connections"))
		}
	}
	return err
}

// linger keeps links open until the last answers have surely arrived.
func (n *Node) linger(ctx context.Context) {
	left := answerLinger - n.now().Sub(n.work.lastAnswer())
	if left <= 0 {
		return
	}
	select {
	case <-time.After(left):
	case <-ctx.Done():
	}
}

// stop ends the loops and closes what is left.
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

// handOff gives the buckets of this node to others of its service. When there
// are none, or they do not answer in time, the keys are claimed later, in
// doubt.
func (k *keyManager) handOff(ctx context.Context) {
	k.leaving.Store(true)
	ctx, cancel := context.WithTimeout(ctx, handOffTimeout)
	defer cancel()
	for k.mayHandOff() {
		select {
		case <-time.After(drainPoll):
		case <-ctx.Done():
			k.node.log.Event(zerolog.WarnLevel, "keys were not handed over", ctx.Err())
			return
		}
	}
}

// mayHandOff is whether this node has buckets and somebody to give them to.
func (k *keyManager) mayHandOff() bool {
	k.mutex.Lock()
	none := k.home == nil || len(k.home.ActiveBuckets()) == 0 && len(k.home.PendingOffers()) == 0
	k.mutex.Unlock()
	return !none && len(k.successors(k.node.State())) > 0
}

// finish refuses new keys and waits until the running ones are done.
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
		case <-time.After(drainPoll):
		case <-ctx.Done():
			return errors.Mark(errors.Newf("%d calls with a key were cut off at the bound of the shutdown", left), ErrNode)
		}
	}
}

// handOverAll hands all buckets over to the others of the service.
func (k *keyManager) handOverAll(ctx context.Context, s *State) {
	k.mutex.Lock()
	holds := k.home.ActiveBuckets()
	k.mutex.Unlock()
	for _, b := range holds {
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
