// Package kqlink carries calls and control messages between nodes over QUIC. A
// link is a QUIC connection to a peer; it is encrypted, and both ends authenticate
// each other with the certificates of kqtrust. Each call and each message has a
// stream of its own, so that resetting the stream cancels just that call, and no
// call waits for another one's bytes.
//
// # Usage
//
// A node listens with a [Server] and reaches its peers with a [Dialer]:
//
//	server, err := kqlink.Listen("127.0.0.1:0", identity, handlers)
//	dialer := kqlink.NewDialer(identity)
//	answer, err := dialer.Call(ctx, address, head, body)
//
// The error of a call shows whether the peer may have run it. An error marked
// [ErrNotSent] proves that it did not. After one marked [ErrLost] the call may or
// may not have run.
//
// # Frames
//
// A stream to the server consists of a byte for its kind, a frame and, for a call,
// the body. The answer consists of a frame and a body. A frame is a length of four
// bytes, followed by a value in CBOR. Requests and answers are processed only if
// they arrived whole.
//
// # Failure detection
//
// A link on which calls wait and nothing arrives is pinged. If the ping is not
// answered in time, the dialer suspects the link: it opens a replacement for new
// calls. When the replacement works and the suspected link still delivers nothing,
// or after a fixed time without any answer, the link is retired: it is closed, and
// its calls fail with [ErrSilent]. A peer that can't be reached is dialed again in
// the background, with growing pauses.
//
// # Overload
//
// Streams are served by the worker pool for calls. While it is full, calls are
// refused, and a limited number of control messages is still answered.
package kqlink

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// Errors of this package.
var (
	// ErrNotSent marks errors after which the peer can't have run the call, since
	// it did not receive all of it or refused it.
	ErrNotSent = errors.New("call was not sent")
	// ErrLost marks errors after which it is unknown whether the peer ran the
	// call.
	ErrLost = errors.New("answer was lost")
	// ErrSilent marks errors of calls whose link was retired because nothing
	// arrived on it. They are marked ErrLost as well.
	ErrSilent = errors.New("link went silent")
	// ErrFrame marks frames and bodies that can't be decoded or are too large.
	ErrFrame = errors.New("frame is malformed")
	// ErrUnexpectedNode marks errors of links that were closed because the
	// PeerCheck of the dialer does not accept the node at the address.
	ErrUnexpectedNode = errors.New("unexpected node at the address")
	// ErrRefused marks errors of calls that the peer refused without running
	// them. They are marked ErrNotSent as well.
	ErrRefused = errors.New("peer refused the stream")
)

// Error codes of stream resets.
const (
	codeCancelled quic.StreamErrorCode = 1
	codeMalformed quic.StreamErrorCode = 2
	codeRefused   quic.StreamErrorCode = 3
	codeFailed    quic.StreamErrorCode = 4
)

// Settings of all links.
const (
	// MaxBodyBytes is the largest body of a call or an answer, in bytes.
	MaxBodyBytes     = 16 << 20
	handshakeTimeout = 2 * time.Second
	idleTimeout      = 30 * time.Second
	// linkTimeout is how long a call waits for a link that is being opened.
	linkTimeout = 500 * time.Millisecond
	// redialPause is the pause after the first failed attempt to reach a peer. It
	// doubles with each further failure in a row, up to maxRedialDoublings times.
	redialPause        = 500 * time.Millisecond
	maxRedialDoublings = 4
	maxStreamsPerLink  = 4096
	// maxOverflowMessages is how many control messages are served at once while
	// the pool is full, and overflowTimeout how long each may take to arrive.
	maxOverflowMessages = 64
	overflowTimeout     = 2 * time.Second
)

// quicConfig returns the configuration of both ends of a link. Unidirectional
// streams are not used and refused.
func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIdleTimeout:        idleTimeout,
		MaxIncomingStreams:    maxStreamsPerLink,
		MaxIncomingUniStreams: -1,
	}
}
