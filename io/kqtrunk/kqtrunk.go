// Package kqtrunk carries calls between nodes over one TCP connection for each
// pair and direction, on which any number of calls and messages run side by
// side. It is for private networks, where the platform keeps others away from
// the nodes' ports; [kqlink] is the carrier with certificates.
//
// # Usage
//
//	server, err := kqtrunk.Listen("10.1.0.8:7620", kqtrunk.Handlers{Call: run, Message: take})
//	dialer := kqtrunk.NewDialer(kqtrunk.Handlers{Message: take})
//	answer, err := dialer.Call(ctx, "10.1.0.9:7620", head, body)
//
// A frame is its length and kind, the number of the call, and a payload: a
// CBOR head, its length before it, and the body. The end of ctx cancels the
// call at the peer. Errors marked [ErrNotSent] prove that the peer was not
// sent the whole call; those marked [ErrLost] leave open whether it ran. A
// connection that passes no bytes while calls wait on it is pinged, and takes no
// more calls when the peer does not answer. Calls that must not run twice go on
// waiting on it: the peer may only be held up. They are given up when the peer
// answers on a new connection and not on the old one.
//
// Both ends of a connection say which frames they know, in the number of a
// pong that nobody asked for: nodes that know nothing of it pass it over. Heads
// are CBOR arrays, read by their length, so that a field can only be added for
// peers that have said so; see [ClassThreshold]. Between peers to whom bytes are dear
// heads are squeezed with references to those sent before.
//
// [kqlink]: kumquatlink/io/kqlink
package kqtrunk

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"kumquatlink/core/kqcall"
)

// Errors of this package.
var (
	// ErrNotSent marks errors that prove that the peer did not get the call.
	ErrNotSent = errors.New("call was not sent")
	// ErrLost marks errors after which the peer may have run the call.
	ErrLost = errors.New("answer was lost")
	// ErrSilent marks lost answers of a connection that stopped passing bytes.
	ErrSilent = errors.New("connection went silent")
	// ErrFrame marks connections on which something else than frames came.
	ErrFrame = errors.New("frame is malformed")
)

// Times after which a connection is found to be dead. Nodes answer a ping
// without regard to what they run, and the farthest are 40 ms away.
const (
	dialTimeout = 700 * time.Millisecond
	// quietTime is how long calls wait without any byte before a ping is sent.
	quietTime = 250 * time.Millisecond
	// pingTime is how long the peer has to answer a ping.
	pingTime = 450 * time.Millisecond
	// writeTimeout bounds a write to a peer that does not read.
	writeTimeout = 2 * time.Second
	// unackedTime is how long the kernel waits for an acknowledgement of what
	// was sent before it gives the connection up: longer than a host is
	// usually held up.
	unackedTime   = 6 * time.Second
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// MaxFrameBytes bounds one frame, which holds a whole request or answer.
const MaxFrameBytes = 65 << 20

// Header is one HTTP header field.
type Header struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// CallHead is all of a call but its body.
type CallHead struct {
	_         struct{} `cbor:",toarray"`
	RequestID string
	Service   string
	// Route is the route of this call.
	Route string
	// Root is the ID of the request for which the call is made, and Class and
	// Rank are those of that request. A call that nobody is known to have made
	// for another is its own root.
	Root  string
	Class string
	Rank  int
	// Depth is the number of hops above the call.
	Depth int
	// Repeat is whether the call, or one above it, was handed to a backend
	// server before.
	Repeat bool
	// RunOnce is whether the call must not run more than once.
	RunOnce bool
	// Budget is the time left when the call was sent.
	Budget time.Duration
	// From is the service of the host where the request began.
	From    string
	Method  string
	Path    string
	Host    string
	Headers []Header
	// RoutesVersion is that of the routes by which the call was decided.
	RoutesVersion int64
	// AskLoad is whether only the gate's load is asked for; nothing is run then.
	AskLoad bool
}

// Load is what a gate tells about itself on every answer.
type Load struct {
	_        struct{} `cbor:",toarray"`
	InFlight int
	Queued   int
	Limit    int
	// Withheld gives the gate's cut as kqadmit.Level.Withheld does; 0 lets
	// every call in.
	Withheld uint64
	// Deep lists the strictest cuts behind the gate, by class.
	Deep []ClassThreshold
}

// AnswerHead is all of an answer but its body.
type AnswerHead struct {
	_       struct{} `cbor:",toarray"`
	End     kqcall.End
	Status  int
	Headers []Header
	Load    Load
	// ServerID is the backend server that ran the call, or empty.
	ServerID string
	// Onward is how many calls the backend server was seen to make for it.
	Onward int
	// Queue and Run are the times spent in the gate's queue and at the backend
	// server.
	Queue time.Duration
	Run   time.Duration
	// RoutesVersion is that of the routes which the answering node holds.
	RoutesVersion int64
}

// Answer is a whole answer.
type Answer struct {
	Head AnswerHead
	Body []byte
}

// Handlers take what peers send.
type Handlers struct {
	// Call runs a call until it ends or ctx does.
	Call func(ctx context.Context, peer string, head CallHead, body []byte) (AnswerHead, []byte)
	// Message takes a message; reply sends one back on the same connection.
	Message func(peer string, payload []byte, reply func([]byte))
	// Update takes a message of [Dialer.SendUpdate]; reply is as for Message.
	Update func(peer string, payload []byte, reply func([]byte))
	// Submit runs a task without blocking; nil starts a goroutine.
	Submit func(task func()) error
	// ConnectionChanged is told when a connection to a peer was made or lost.
	ConnectionChanged func(peer string, up bool, err error)
}

func (h Handlers) submit(task func()) error {
	if h.Submit != nil {
		return h.Submit(task)
	}
	go task()
	return nil
}

// tune sets what finds dead connections.
func tune(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	err := tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount})
	raw, rawErr := tcp.SyscallConn()
	if rawErr != nil {
		return errors.CombineErrors(err, rawErr)
	}
	var optionErr error
	controlErr := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTime.Milliseconds()))
	})
	return errors.CombineErrors(err, errors.CombineErrors(controlErr, optionErr))
}
