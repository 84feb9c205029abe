// Package kqlink carries calls and control messages between nodes over QUIC:
// one stream for one call, so that a reset stream is a cancelled call and
// nothing is ever shared between two callers.
//
// # Usage
//
// A node listens with a [Server] and reaches its peers with a [Dialer]:
//
//	server, err := kqlink.Listen("127.0.0.1:0", identity, handlers)
//	dialer := kqlink.NewDialer(identity)
//	answer, err := dialer.Call(ctx, peer, head, body)
//
// The error of a call tells whether the peer may have got it: errors marked
// [ErrNotSent] prove that it did not, those marked [ErrLost] do not.
package kqlink

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// Errors of this package.
var (
	// ErrNotSent marks errors that prove that the peer got no whole call.
	ErrNotSent = errors.New("call was not sent")
	// ErrLost marks errors after which the peer may have run the call.
	ErrLost = errors.New("answer was lost")
	// ErrSilent marks lost answers of a link that had stopped passing bytes.
	ErrSilent = errors.New("link went silent")
	// ErrFrame marks malformed or oversized frames.
	ErrFrame = errors.New("malformed frame")
	// ErrUnexpectedNode marks links that lead to another node than was meant.
	ErrUnexpectedNode = errors.New("another node answers at the address")
	// ErrRefused marks calls that the peer refused to read at all.
	ErrRefused = errors.New("peer refused the stream")
)

// Codes with which streams are reset.
const (
	codeCancelled quic.StreamErrorCode = 1
	codeMalformed quic.StreamErrorCode = 2
	codeRefused   quic.StreamErrorCode = 3
	codeFailed    quic.StreamErrorCode = 4
)

// Settings of all links.
const (
	// MaxBodyBytes bounds a call's and an answer's body.
	MaxBodyBytes     = 16 << 20
	handshakeTimeout = 2 * time.Second
	idleTimeout      = 30 * time.Second
	// linkPatience is how long a call waits for a link that is being opened.
	linkPatience = 500 * time.Millisecond
	// redialPause lies between two tries to reach a peer. It doubles with each
	// failure, up to maxRedialDoublings times.
	redialPause        = 500 * time.Millisecond
	maxRedialDoublings = 4
	maxStreamsPerLink  = 4096
	// spareMessages and spareTimeout bound what is served beside a full pool.
	spareMessages = 64
	spareTimeout  = 2 * time.Second
)

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIdleTimeout:        idleTimeout,
		MaxIncomingStreams:    maxStreamsPerLink,
		MaxIncomingUniStreams: -1,
	}
}
