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
	// lameDuckTime is how long callers may take to see that the node is not
	// ready, as long as it goes on serving them.
	lameDuckTime = 2500 * time.Millisecond
	// acceptTime is how long requests are still taken from callers who do not
	// turn away; what comes later could not be finished in time.
	acceptTime = 3 * time.Second
	// quietTime is how long no request must have come before the node ends.
	quietTime = 300 * time.Millisecond
	// slowReadTime is how long a request that comes in slowly may take when no more
	// are begun; then its connection is closed.
	slowReadTime = 500 * time.Millisecond
	// shutdownMargin is what is kept of the time of a shutdown for closing.
	shutdownMargin = 400 * time.Millisecond
	shutdownPoll   = 20 * time.Millisecond
)

// Shutdown takes the node out of service: it says that it is not ready, takes
// no more calls of other nodes, serves its callers and its backend server's
// onward calls until they are through, and ends. What is still under way when
// the time of a shutdown is over is cut off, and the error says how much.
func (n *Node) Shutdown(ctx context.Context) error {
	if !n.shutDown.CompareAndSwap(false, true) {
		return nil
	}
	begun := n.now()
	done := make(chan struct{})
	n.control.send(shutdownEvent{done: done})
	select {
	case <-done:
	case <-ctx.Done():
	}
	n.callerServer.Drain()
	n.logEvent(eventNodeLeaves, "node leaves", nil)
	bound := n.tunables.Load().ShutdownTime.Value() - shutdownMargin
	for taking := begun.Add(min(acceptTime, bound/2)); ctx.Err() == nil && n.now().Before(taking) && !n.isQuiet(begun); {
		sleep(ctx, shutdownPoll)
	}
	// From here on no request is begun, so that none can slip in between the
	// look at those in flight and the end.
	n.callerServer.Finish()
	finished := n.now()
	late := func() bool {
		since := n.now().Sub(finished)
		return since < kqedge.LateTime || since < slowReadTime && n.callerServer.Reading() > 0
	}
	for ctx.Err() == nil && n.now().Sub(begun) < bound && (n.isBusy() || late()) {
		sleep(ctx, shutdownPoll)
	}
	left := n.callerServer.InFlight() + n.gate.activeCalls()
	err := n.closeAll()
	if left > 0 {
		err = errors.CombineErrors(err, errors.Newf("%d requests were cut off at the bound of the shutdown", left))
	}
	took := n.now().Sub(begun)
	n.logEvent(eventNodeEnded, "node ended after "+took.String(), err, kqlog.Micros(fieldTook, took))
	if n.ownsLog {
		n.log.Close()
	}
	return errors.Mark(err, ErrNode)
}

// Stop ends the node at once, as the loss of its host would.
func (n *Node) Stop() {
	if n.shutDown.CompareAndSwap(false, true) {
		if err := n.closeAll(); err != nil {
			n.logEvent(eventNodeStopped, "node was stopped", err)
		}
	}
}

// closeAll closes all that is open.
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

// isBusy is whether a request or a call is under way.
func (n *Node) isBusy() bool {
	return n.callerServer.InFlight() > 0 || n.gate.activeCalls() > 0
}

// isQuiet is whether nothing is under way and callers have had time to turn
// away.
func (n *Node) isQuiet(begun time.Time) bool {
	now := n.now()
	if now.Sub(begun) < lameDuckTime || n.isBusy() {
		return false
	}
	return now.Sub(time.Unix(0, n.callerServer.LastCame())) >= quietTime
}
