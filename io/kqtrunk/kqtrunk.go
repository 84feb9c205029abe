// Package kqtrunk carries calls between mesh nodes. Each node keeps one TCP
// connection, a trunk, to each peer that it calls; any number of calls and
// messages share it. The connections are neither encrypted nor authenticated:
// the package is for private networks in which the platform keeps others away
// from the nodes' ports. [kqlink] is the transport with certificates.
//
// # Usage
//
//	server, err := kqtrunk.Listen("10.1.0.8:7620", kqtrunk.Handlers{Call: run, Message: take})
//	dialer := kqtrunk.NewDialer(kqtrunk.Handlers{Message: take})
//	answer, err := dialer.Call(ctx, "10.1.0.9:7620", head, body)
//
// When ctx ends, the call is cancelled at the peer. An error marked [ErrNotSent]
// proves that the peer did not receive the whole call. After one marked
// [ErrLost] the call may or may not have run.
//
// # Frames
//
// A frame consists of the length of its payload, its kind, the number of the
// call, and the payload. The payload of a call or an answer consists of the
// length of the head, the head in CBOR, and the body.
//
// A long answer is offered first, with its length, and sent when the peer has granted it.
// So a peer takes no more answers than it has memory for, while other calls go on.
//
// # Failure detection
//
// A connection on which calls wait and no frame arrives is pinged. If the peer
// does not answer the ping, the connection is retired: it takes no new calls,
// and its calls fail. Calls with [CallHead.RunOnce] keep waiting on it, since the
// peer may only have stalled and they can't be run elsewhere. They fail when the
// peer answers on a new connection but not on the retired one.
//
// # Versions
//
// Each end advertises the version of the frames that it knows in the number of
// an unsolicited pong. Nodes from before the first version ignore that number.
// Heads are CBOR arrays of a fixed length, so a field can only be added for peers
// that advertise a version with it; see [ClassThreshold]. With [WithCompression]
// heads are compressed with references to heads sent earlier on the connection.
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
	"kumquatlink/io/kqbody"
)

// Errors of this package.
var (
	// ErrNotSent marks errors after which the peer can't have run the call,
	// since it did not receive all of it.
	ErrNotSent = errors.New("call was not sent")
	// ErrLost marks errors after which it is unknown whether the peer ran the
	// call.
	ErrLost = errors.New("answer was lost")
	// ErrSilent marks errors of calls whose connection delivered no frame and
	// no answer to a ping. They are marked ErrLost as well.
	ErrSilent = errors.New("connection went silent")
	// ErrNoMemory marks errors of calls for whose answer this node had no memory. They
	// are marked ErrLost as well.
	ErrNoMemory = errors.New("no memory for the answer")
	// ErrFrame marks frames that can't be encoded or decoded, or are too large.
	ErrFrame = errors.New("frame is malformed")
)

// Timeouts after which a connection counts as dead. Nodes answer a ping
// regardless of the calls that they run, and the farthest nodes are 40 ms away.
const (
	dialTimeout = 700 * time.Millisecond
	// pingDelay is how long calls wait without a frame from the peer before a ping
	// is sent.
	pingDelay = 250 * time.Millisecond
	// pingTimeout is how long the peer has to answer a ping.
	pingTimeout = 450 * time.Millisecond
	// writeTimeout bounds a write to a peer that does not read its socket.
	writeTimeout = 2 * time.Second
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection. It is longer than a host usually stalls.
	unackedTimeout    = 6 * time.Second
	keepaliveIdle     = 2 * time.Second
	keepaliveInterval = time.Second
	keepaliveProbes   = 2
)

// MaxFrameBytes is the largest payload of a frame, in bytes. A frame holds a
// whole request or answer.
const MaxFrameBytes = 65 << 20

// Header is one HTTP header field.
type Header struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// CallHead holds all of a call but its body.
type CallHead struct {
	_         struct{} `cbor:",toarray"`
	RequestID string
	Service   string
	// Route names the route that the call takes.
	Route string
	// Root is the ID of the request for which the call is made, and Class and
	// Rank are those of that request. A call that is not known to belong to
	// another request is its own root.
	Root  string
	Class string
	Rank  int
	// Depth is the number of hops between the root and the call.
	Depth int
	// Repeat reports whether the call, or a call above it in the call chain,
	// was handed to a backend server before.
	Repeat bool
	// RunOnce reports whether the call must not run more than once.
	RunOnce bool
	// Budget is the time left until the deadline when the call was sent.
	Budget time.Duration
	// From is the service of the host where the request began.
	From    string
	Method  string
	Path    string
	Host    string
	Headers []Header
	// RoutesVersion is the version of the routes by which the call was routed.
	RoutesVersion int64
	// AskLoad reports whether the call only requests the gate's load; the backend
	// server is not called then.
	AskLoad bool
	// Order is the position, among the requests of the same rank, by which gates
	// order the call and its onward calls; a lower one is more important. 0 stands
	// for the position that follows from Root. On the wire it is an element of
	// Headers.
	Order uint32 `cbor:"-"`
	// HandBack asks the gate to hand the call back, as not run, instead of having it
	// wait for a slot. On the wire it is part of the element for Order.
	HandBack bool `cbor:"-"`
}

// Load is the state of a gate, which it reports with every answer. InFlight and
// Queued count calls at the backend server and in the gate's queue; Limit is the
// gate's concurrency limit.
type Load struct {
	_        struct{} `cbor:",toarray"`
	InFlight int
	Queued   int
	Limit    int
	// Withheld is the gate's admission threshold, encoded as by
	// kqadmit.Level.Withheld; 0 admits every call.
	Withheld uint64
	// Deep lists the downstream thresholds: for each class the strictest
	// admission threshold of the services further down the call chain.
	Deep []ClassThreshold
	// LimitWithheld is the gate's admission threshold, encoded like Withheld,
	// while its backend server names a limit on requests a second. It then takes
	// the place of Withheld: it speaks for this server, not for the service. On
	// the wire it is an element of Deep.
	LimitWithheld uint64 `cbor:"-"`
}

// AnswerHead holds all of an answer but its body.
type AnswerHead struct {
	_       struct{} `cbor:",toarray"`
	End     kqcall.End
	Status  int
	Headers []Header
	Load    Load
	// ServerID is the ID of the backend server that ran the call, or empty.
	ServerID string
	// Onward is the number of calls that the backend server was observed to
	// make for this call.
	Onward int
	// Queue and Run are how long the call spent in the gate's queue and at the
	// backend server.
	Queue time.Duration
	Run   time.Duration
	// RoutesVersion is the version of the routes that the answering node holds.
	RoutesVersion int64
	// Release gives the memory of the body back that is counted, nil if none is. It is
	// not sent. Whoever takes an answer calls it when the body is not used any more.
	Release func() `cbor:"-"`
}

// Discard gives the memory of the body back.
func (h AnswerHead) Discard() {
	if h.Release != nil {
		h.Release()
	}
}

// Answer is the answer to a call.
type Answer struct {
	Head AnswerHead
	Body []byte
}

// Handlers process what peers send. Any of them may be nil; messages and updates
// without a handler are dropped.
type Handlers struct {
	// Call runs a call and returns when the call or ctx has ended. If it is nil,
	// a connection on which a call arrives is closed.
	Call func(ctx context.Context, peer string, head CallHead, body []byte) (AnswerHead, []byte)
	// Message processes a message of [Dialer.SendMessage] or
	// [Server.SendMessage]; reply sends one back on the same connection.
	Message func(peer string, payload []byte, reply func([]byte))
	// Update processes an update of [Dialer.SendUpdate]; reply is as for Message.
	Update func(peer string, payload []byte, reply func([]byte))
	// Submit runs a task in the background, without blocking. If it is nil, each
	// task runs on a goroutine of its own. An error closes the connection.
	Submit func(task func()) error
	// ConnectionChanged is called when a dialer has made a connection, has
	// failed to, or has lost one; err says why if up is false. It must not call
	// the dialer, which holds a lock on the peer's connection.
	ConnectionChanged func(peer string, up bool, err error)
	// Memory bounds the memory of large payloads that arrive, nil stands for no bound. A
	// call without room for it is answered as not run. A long answer of a peer that
	// offers it first waits there for room until the call ends; any other answer is lost
	// if the budget is far exceeded.
	Memory *kqbody.Budget
	// AcceptFailed is called with the first of several errors in a row of a server
	// that accepts no connections for the moment, and with nil when it does again.
	AcceptFailed func(err error)
}

func (h Handlers) submit(task func()) error {
	if h.Submit != nil {
		return h.Submit(task)
	}
	go task()
	return nil
}

// setTimeouts makes the kernel detect and close dead connections: by keepalive
// probes while nothing is sent, and by the lack of acknowledgements otherwise.
func setTimeouts(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	err := tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepaliveIdle, Interval: keepaliveInterval, Count: keepaliveProbes})
	raw, rawErr := tcp.SyscallConn()
	if rawErr != nil {
		return errors.CombineErrors(err, rawErr)
	}
	var optionErr error
	controlErr := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, errors.CombineErrors(controlErr, optionErr))
}
