package kqlink

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// link is a QUIC connection to a peer, or one that is being opened.
type link struct {
	address string
	// ready is closed when conn or err is set.
	ready chan struct{}
	conn  *quic.Conn
	err   error

	// outstanding is the number of calls and messages in flight.
	outstanding atomic.Int64
	// lastReplyAt is when a reply last arrived on the link. waitingSince is since
	// when calls have been waiting without a reply to any of them. Both are in Unix
	// nanoseconds, 0 for never. A call that ends without a reply leaves
	// waitingSince as it is, so that a silent link is detected even if all calls
	// have short deadlines.
	lastReplyAt  atomic.Int64
	waitingSince atomic.Int64
	// silent is set before the link is closed because nothing arrives on it.
	silent atomic.Bool

	// The fields below are used by the goroutine that monitors the links only.

	// pingedAt is when a ping was sent that is not answered yet, or zero.
	pingedAt time.Time
	// replacement is the link that new calls use since this one is suspected, or
	// nil.
	replacement *link
	// comparedAt is when the link and its replacement were pinged side by side, or zero.
	comparedAt time.Time
}

func newLink(address string) *link {
	return &link{address: address, ready: make(chan struct{})}
}

// startCall counts a call on the link.
func (l *link) startCall(now time.Time) {
	l.outstanding.Add(1)
	l.waitingSince.CompareAndSwap(0, now.UnixNano())
}

// endCall removes a call that startCall counted.
func (l *link) endCall() {
	l.outstanding.Add(-1)
}

// recordReply records that a reply arrived, so that the link passes bytes both
// ways. ownCalls is the number of outstanding calls that the reply ends: 1 if it
// is that of a call, and 0 if it is that of a ping, which is not counted.
func (l *link) recordReply(now time.Time, ownCalls int64) {
	l.lastReplyAt.Store(now.UnixNano())
	if l.outstanding.Load() > ownCalls {
		l.waitingSince.Store(now.UnixNano())
		return
	}
	l.waitingSince.Store(0)
}

// quietTime returns how long calls have been waiting without a reply to any of
// them.
func (l *link) quietTime(now time.Time) time.Duration {
	since := l.waitingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Duration(now.UnixNano() - since)
}

// ended reports whether the link was closed after it had opened, or failed to
// open.
func (l *link) ended() bool {
	return l.isReady() && (l.err != nil || l.conn.Context().Err() != nil)
}

// isReady reports whether the attempt to open the link is over.
func (l *link) isReady() bool {
	select {
	case <-l.ready:
		return true
	default:
		return false
	}
}

// closeWhenReady waits until the attempt to open the link is over, and closes it.
func (l *link) closeWhenReady() {
	<-l.ready
	if l.conn != nil {
		_ = l.conn.CloseWithError(0, "closed")
	}
}

// markReadError marks the error with which reading an answer failed. If the peer
// reset the stream as refused or malformed, it did not run the call.
func (l *link) markReadError(stream *quic.Stream, err error) error {
	if l.silent.Load() {
		return errors.Mark(errors.Mark(err, ErrSilent), ErrLost)
	}
	if isRefusal(err) {
		return errors.Mark(errors.Mark(err, ErrRefused), ErrNotSent)
	}
	stream.CancelRead(codeCancelled)
	return errors.Mark(err, ErrLost)
}

// isRefusal reports whether the peer reset a stream without running the call.
func isRefusal(err error) bool {
	var reset *quic.StreamError
	return errors.As(err, &reset) && reset.Remote && (reset.ErrorCode == codeRefused || reset.ErrorCode == codeMalformed)
}

// pingTimeout returns the time within which a ping on the link must be answered.
func (l *link) pingTimeout() time.Duration {
	return suspectAfter + suspectRoundTrips*l.conn.ConnectionStats().SmoothedRTT
}

// ping sends a ping and waits for the peer's reply. Any reply, even a reset of the
// stream, shows that the link passes bytes both ways and is recorded. Errors are
// ignored, since a link without replies is detected by its quiet time.
func (l *link) ping(now func() time.Time) {
	stream, err := l.conn.OpenStream()
	if err != nil {
		return
	}
	if _, err := stream.Write([]byte{byte(kindPing)}); err != nil {
		return
	}
	if err := stream.Close(); err != nil {
		return
	}
	var reply [1]byte
	_, err = stream.Read(reply[:])
	var reset *quic.StreamError
	if err == nil || (errors.As(err, &reset) && reset.Remote) || isEOF(err) {
		l.recordReply(now(), 0)
	}
}
