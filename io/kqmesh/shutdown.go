package kqmesh

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

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
	shutdownPoll   = 20 * time.Millisecond
)

// Shutdown drains the node and closes it. The node reports that it is not ready
// and takes no more calls from other nodes. It serves its callers and the onward
// calls of its backend server until they are finished, and then closes. Requests
// that are still in flight when the shutdown time is over are cut off, and the
// returned error, marked with [ErrNode], says how many. A second call returns
// nil at once. When ctx ends, the node closes without further waiting.
func (n *Node) Shutdown(ctx context.Context) error {
	if !n.shutDown.CompareAndSwap(false, true) {
		return nil
	}
	started := n.now()
	done := make(chan struct{})
	n.control.send(shutdownEvent{done: done})
	select {
	case <-done:
	case <-ctx.Done():
	}
	n.callerServer.Drain()
	n.logEvent(eventNodeLeaves, "node drains: it was told to end", nil)
	bound := n.tunables.Load().ShutdownTime.Value() - shutdownMargin
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
	for ctx.Err() == nil && n.now().Sub(started) < bound && (n.isBusy() || mayArrive()) {
		sleep(ctx, shutdownPoll)
	}
	cutOff := n.callerServer.InFlight() + n.gate.activeCalls()
	err := n.closeAll()
	if cutOff > 0 {
		err = errors.CombineErrors(err, errors.Newf("%d requests were cut off when the shutdown time was over", cutOff))
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

// isBusy reports whether a request or a call is in flight.
func (n *Node) isBusy() bool {
	return n.callerServer.InFlight() > 0 || n.gate.activeCalls() > 0
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
