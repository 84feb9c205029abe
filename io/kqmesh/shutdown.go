package kqmesh

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqedge"
	"kumquatlink/io/kqlog"
)

// Times of a shutdown.
const (
	// lameDuckTime is how long the node at least goes on serving its callers
	// after it reports that it is not ready, so that they can notice and go
	// elsewhere.
	lameDuckTime = 2500 * time.Millisecond
	// acceptTime is how long requests are at most accepted from callers who go
	// on sending. A later request might not be finished in time.
	acceptTime = 3 * time.Second
	// quietTime is how long no request must have arrived before the node stops
	// accepting requests.
	quietTime = 300 * time.Millisecond
	// slowReadTime is how long a partly received request may take to arrive
	// after the node stopped accepting requests. Then its connection is closed.
	slowReadTime = 500 * time.Millisecond
	// shutdownMargin is the part of the shutdown time that is reserved for
	// closing.
	shutdownMargin = 400 * time.Millisecond
	// answerMargin is how long before that the requests that still run are given
	// up, so that their callers get an answer.
	answerMargin = 200 * time.Millisecond
	shutdownPoll = 20 * time.Millisecond
)

// errNodeEnds is the cause for which requests are given up that are still running
// when the node ends.
var errNodeEnds = errors.New("node ends")

// Shutdown drains the node and closes it. The node reports that it is not ready
// and takes no more calls from other nodes. It serves its callers and the onward
// calls of its backend server until they are finished, and then closes. It refuses
// requests of callers that may not be finished in time. Requests that are still
// running when the shutdown time is almost over are answered as unknown, and the
// returned error, marked with [ErrNode], says how many. A second call returns
// nil at once. When ctx ends, the node closes without further waiting.
func (n *Node) Shutdown(ctx context.Context) error {
	if !n.shutDown.CompareAndSwap(false, true) {
		return nil
	}
	started := n.now()
	n.logEvent(eventNodeLeaves, "node drains: it was told to end", nil)
	bound := n.tunables.Load().ShutdownTime.Value() - shutdownMargin
	n.endsAt.Store(int64(n.clock() + bound - answerMargin))
	done := make(chan struct{})
	n.control.send(shutdownEvent{done: done})
	select {
	case <-done:
	case <-ctx.Done():
	}
	n.callerServer.Drain()
	for acceptUntil := started.Add(min(acceptTime, bound/2)); ctx.Err() == nil && n.now().Before(acceptUntil) && !n.isQuiet(started); {
		sleep(ctx, shutdownPoll)
	}
	// From here on no request is accepted, so that none can begin between the
	// last check of the requests in flight and the closing.
	n.callerServer.Shutdown()
	stopped := n.now()
	mayArrive := func() bool {
		since := n.now().Sub(stopped)
		return since < kqedge.LateRequestTime || since < slowReadTime && n.callerServer.Reading() > 0
	}
	for ctx.Err() == nil && n.now().Sub(started) < bound-answerMargin && (n.isBusy() || mayArrive()) {
		sleep(ctx, shutdownPoll)
	}
	givenUp := n.callerServer.InFlight() + n.gate.activeCalls()
	n.giveUpCalls(errNodeEnds)
	for ctx.Err() == nil && n.now().Sub(started) < bound && n.isBusy() {
		sleep(ctx, shutdownPoll)
	}
	if givenUp > 0 {
		// The last answers are on their way to peers and callers.
		sleep(ctx, started.Add(bound).Sub(n.now()))
	}
	err := n.closeAll()
	if givenUp > 0 {
		err = errors.CombineErrors(err, errors.Newf("%d requests were given up when the shutdown time was over", givenUp))
	}
	took := n.now().Sub(started)
	n.logEvent(eventNodeEnded, "node ended: shutdown took "+took.String(), err, kqlog.Micros(fieldTook, took))
	if n.ownsLog {
		n.log.Close()
	}
	return errors.Mark(err, ErrNode)
}

// Stop closes the node at once, without draining, as the loss of its host would.
func (n *Node) Stop() {
	if n.shutDown.CompareAndSwap(false, true) {
		if err := n.closeAll(); err != nil {
			n.logEvent(eventNodeStopped, "node was stopped at once, and closing it failed", err)
		}
	}
}

// closeAll closes the node's servers and connections and waits for its
// goroutines.
func (n *Node) closeAll() error {
	n.callerServer.Close()
	n.ready.Close()
	n.noticeServer.Close()
	err := n.server.Close()
	if n.metricsServer != nil {
		err = errors.CombineErrors(err, n.metricsServer.Close())
	}
	n.dialer.Close()
	n.cancel()
	n.loops.Wait()
	n.pool.Release()
	return errors.CombineErrors(err, n.metrics.Close())
}

// refuseLate refuses a request of a caller that may still be running when the node
// ends. An onward call is not refused, since its parent runs already.
func (n *Node) refuseLate(q *call) *callAnswer {
	return n.refuseUnfit(q, n.recentTimes.Fits)
}

// refuseUnfit does so for a request that does not fit.
func (n *Node) refuseUnfit(q *call, fits func(now time.Duration, route string, timeLeft, remaining time.Duration) bool) *callAnswer {
	if !q.state.Leaving || q.parent != nil {
		return nil
	}
	now := n.clock()
	remaining := time.Duration(n.endsAt.Load()) - now
	if fits(now, q.head.Route, q.deadline.Sub(n.now()), remaining) {
		return nil
	}
	q.detail = "node ends in " + remaining.String() + ": the request may take longer"
	return endOnly(kqcall.NotRun(kqcall.CauseDraining))
}

// untilEnd returns a context that ends with ctx, or when the node gives up its calls.
func (n *Node) untilEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(n.callsCtx, func() { cancel(context.Cause(n.callsCtx)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// isBusy reports whether a request or a call is in flight, or an answer is being sent.
func (n *Node) isBusy() bool {
	return n.callerServer.InFlight() > 0 || n.gate.activeCalls() > 0 || n.server.UnansweredCalls() > 0
}

// isQuiet reports whether nothing is in flight, no request arrived for a while,
// and callers have had time to notice that the node is not ready.
func (n *Node) isQuiet(started time.Time) bool {
	now := n.now()
	if now.Sub(started) < lameDuckTime || n.isBusy() {
		return false
	}
	return now.Sub(time.Unix(0, n.callerServer.LastReceived())) >= quietTime
}
