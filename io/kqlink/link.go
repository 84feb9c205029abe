package kqlink

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// link is one connection to a peer, or one that is being opened.
type link struct {
	address string
	// ready closes when conn or err is set.
	ready chan struct{}
	conn  *quic.Conn
	err   error

	outstanding atomic.Int64
	// progressAt is when something last came back over the link, and
	// waitingSince is since when something is owed, both in nanoseconds of the
	// Unix clock, 0 for never. A call that gives up leaves waitingSince as it
	// is, so that calls with short deadlines find a silent link as well.
	progressAt   atomic.Int64
	waitingSince atomic.Int64
	// silent is set before the link is closed for being silent.
	silent atomic.Bool

	// The rest belongs to the watch goroutine.

	// pingAt is when the ping that is out was sent, or zero.
	pingAt time.Time
	// replacement is the link that was opened since this one is suspected.
	replacement *link
}

func newLink(address string) *link {
	return &link{address: address, ready: make(chan struct{})}
}

// begin counts a call on the link.
func (l *link) begin(now time.Time) {
	l.outstanding.Add(1)
	l.waitingSince.CompareAndSwap(0, now.UnixNano())
}

func (l *link) end() {
	l.outstanding.Add(-1)
}

// progressed notes that the link passes bytes both ways. The call that saw it
// still counts as outstanding when own is 1.
func (l *link) progressed(now time.Time, own int64) {
	l.progressAt.Store(now.UnixNano())
	if l.outstanding.Load() > own {
		l.waitingSince.Store(now.UnixNano())
		return
	}
	l.waitingSince.Store(0)
}

// quiet is for how long something is owed and nothing has come back.
func (l *link) quiet(now time.Time) time.Duration {
	since := l.waitingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Duration(now.UnixNano() - since)
}

// over is whether the link was opened and has ended since, or failed to open.
func (l *link) over() bool {
	return l.isReady() && (l.err != nil || l.conn.Context().Err() != nil)
}

func (l *link) isReady() bool {
	select {
	case <-l.ready:
		return true
	default:
		return false
	}
}

func (l *link) closeWhenReady() {
	<-l.ready
	if l.conn != nil {
		_ = l.conn.CloseWithError(0, "closed")
	}
}

// lost turns a failed read into this layer's error.
func (l *link) lost(stream *quic.Stream, err error) error {
	if l.silent.Load() {
		return errors.Mark(errors.Mark(err, ErrSilent), ErrLost)
	}
	var reset *quic.StreamError
	if errors.As(err, &reset) && reset.Remote && (reset.ErrorCode == codeRefused || reset.ErrorCode == codeMalformed) {
		return errors.Mark(errors.Mark(err, ErrRefused), ErrNotSent)
	}
	stream.CancelRead(codeCancelled)
	return errors.Mark(err, ErrLost)
}

// ping asks the peer for one byte. Any reply, even a refusal, shows that the
// link passes bytes both ways; the progress that it notes is what counts.
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
	if err == nil || (errors.As(err, &reset) && reset.Remote) || isEnd(err) {
		l.progressed(now(), 0)
	}
}
