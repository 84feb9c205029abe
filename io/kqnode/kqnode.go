// Package kqnode implements the node, the process that runs beside every
// backend server. A node has three parts:
//
//   - The entry takes calls from callers, and onward calls (calls made while
//     running another call) from its own backend server. It picks a node of
//     the called service and routes the call there.
//   - The gate admits or refuses each call to the node's own backend server.
//   - The member exchanges gossip with other nodes. It knows which nodes exist
//     and spreads the configuration of the request classes.
//
// One goroutine, the control goroutine, owns the control state: membership,
// configuration and the node's state of life. Other goroutines send it events,
// and it publishes an immutable [State] after each change. Calls run on a pool
// of goroutines and only read the last published State.
//
// # Usage
//
//	node, err := kqnode.New(settings, identity, client, kqnode.WithLog(log))
//	err = node.Start()
//	...
//	err = node.Shutdown(ctx)
//
// [Node.Status] reports the node's state, and an HTTP server at the operator
// address serves it together with the metrics.
package kqnode

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqconfig"
	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqrequest"
	"kumquatlink/core/kqretry"
	"kumquatlink/io/kqhttp"
	"kumquatlink/io/kqlink"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqmetric"
	"kumquatlink/io/kqsettings"
	"kumquatlink/io/kqstore"
	"kumquatlink/io/kqtrust"
)

// ErrNode marks all errors of this package.
var ErrNode = errors.New("node failed")

// Limits of a node.
const (
	defaultPoolSize = 8192
	maxBodyBytes    = kqlink.MaxBodyBytes
	// readBufferBytes limits the size of the header of an HTTP call.
	readBufferBytes = 16 << 10
)

// State is the published control state that calls read. It is immutable: a
// change publishes a new State.
type State struct {
	Members *kqmember.Snapshot
	Classes *kqclass.Table
	// Configuration is the configuration in force, from which Classes was
	// derived. InForceSince is when it came into force, by this node's clock.
	Configuration kqclass.Configuration
	InForceSince  time.Time
	// Refusals counts the configurations that were refused.
	Refusals kqconfig.Refusals
	Store    StoreView
	// Fleet describes the fleet as this node sees it.
	Fleet FleetView
	// Life is the node's current state of life, as advertised to other nodes.
	Life kqmember.Life
	// Backend is the backend server that announced itself last, or nil.
	Backend *Backend
}

// Node runs the entry, the gate and the member of one process. Use [New] and
// [Node.Start] to run it, and [Node.Shutdown] to end it.
type Node struct {
	settings kqsettings.Node
	identity *kqtrust.Identity
	store    *kqstore.Client
	log      *kqlog.Log
	metrics  *kqmetric.Metrics
	ownsLog  bool
	now      func() time.Time
	// linkOptions apply to the links to other nodes.
	linkOptions []kqlink.Option

	pool *ants.Pool
	// exchanges runs the sending of control messages and the probes of the
	// backend server, off the control goroutine.
	exchanges *ants.Pool
	dialer    *kqlink.Dialer
	server    *kqlink.Server
	callers   *fasthttp.Server
	backend   *fasthttp.Server
	operator  *fasthttp.Server

	callerAddress   string
	operatorAddress string
	backendAddress  string

	state   atomic.Pointer[State]
	control *control
	// startedAt is when the node started. clockReadAt is when the control
	// goroutine last read the clock, in nanoseconds since startedAt.
	startedAt   time.Time
	clockReadAt atomic.Int64
	// refusalLoggedAt is when a refused peer was last logged, in Unix nanoseconds.
	refusalLoggedAt atomic.Int64
	gate            *gate
	router          *router
	shed            *shedder
	keys            *keyManager
	work            *work
	shutdownBegun   atomic.Bool
	history         *history
	flights         *flights
	// failed holds the IDs of recently failed requests, so that a resend by the
	// caller is recognised.
	failed kqretry.RecentFailures

	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// Option configures a node.
type Option func(*Node)

// WithLog sets the log that receives decisions and events. Without it the node
// writes no log. The caller closes the log.
func WithLog(l *kqlog.Log) Option {
	return func(n *Node) { n.log = l }
}

// WithLinkOptions sets options of the links to other nodes.
func WithLinkOptions(list ...kqlink.Option) Option {
	return func(n *Node) { n.linkOptions = list }
}

// WithNow replaces time.Now as the clock of the node.
func WithNow(now func() time.Time) Option {
	return func(n *Node) { n.now = now }
}

// logPanic logs a panic in a goroutine of a pool, whose call gets no answer.
func (n *Node) logPanic(reason any) {
	n.log.Event(zerolog.ErrorLevel, fmt.Sprintf("call ended by a panic: %v\n%s", reason, debug.Stack()), nil)
}

// New returns a node that is not started. The settings must be valid. Errors
// are marked with [ErrNode].
func New(settings kqsettings.Node, identity *kqtrust.Identity, store *kqstore.Client, options ...Option) (*Node, error) {
	var n *Node
	onPanic := ants.WithPanicHandler(func(reason any) { n.logPanic(reason) })
	pool, err := ants.NewPool(defaultPoolSize, ants.WithNonblocking(true), onPanic)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "create goroutine pool for calls"), ErrNode)
	}
	exchanges, err := ants.NewPool(exchangePoolSize, ants.WithNonblocking(true), onPanic)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "create goroutine pool for exchanges with peers"), ErrNode)
	}
	n = &Node{settings: settings, identity: identity, now: time.Now, pool: pool, exchanges: exchanges, work: newWork(), history: newHistory()}
	for _, o := range options {
		o(n)
	}
	if n.log == nil {
		n.log = kqlog.New(io.Discard, kqlog.WithNode(settings.NodeID, settings.FailureDomain))
		n.ownsLog = true
	}
	if n.metrics, err = kqmetric.New(); err != nil {
		return nil, errors.Mark(err, ErrNode)
	}
	n.store = kqstore.NewBreakerClient(store, kqstore.WithObserver(n.observeStore))
	n.dialer = kqlink.NewDialer(identity, append(n.linkOptions, kqlink.WithPeerCheck(n.acceptsPeer))...)
	identity.OnRefusal(n.logRefusal)
	n.gate = newGate(n)
	n.shed = newShedder(n)
	n.router = newRouter(n)
	n.keys = newKeyManager(n)
	n.flights = newFlights()
	n.control = newControl(n)
	return n, nil
}

// Start opens the node's addresses, starts its goroutines and begins to join the
// fleet. It returns before the node has joined; see [Node.WaitFor]. Errors are
// marked with [ErrNode].
func (n *Node) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	var err error
	n.server, err = kqlink.Listen(n.settings.PeerAddress, n.identity, kqlink.Handlers{
		Call:    n.handlePeerCall,
		Message: n.handlePeerMessage,
		Submit:  n.submitPeer,
	}, n.linkOptions...)
	if err != nil {
		return errors.Mark(err, ErrNode)
	}
	n.operator = n.newHTTPServer(n.handleOperator)
	if n.settings.OperatorAddress != "" {
		if n.operatorAddress, err = listen(n.operator, n.settings.OperatorAddress); err != nil {
			return err
		}
	}
	n.control.start(n.server.Address())
	n.callers = n.newHTTPServer(n.handleCaller)
	n.backend = n.newHTTPServer(n.handleBackend)
	if n.settings.CallerAddress != "" {
		if n.callerAddress, err = listen(n.callers, n.settings.CallerAddress); err != nil {
			return err
		}
	}
	if n.backendAddress, err = listen(n.backend, n.settings.BackendAddress); err != nil {
		return err
	}
	n.loop(ctx, n.control.run)
	n.loop(ctx, n.runConfigurationWatch)
	n.loop(ctx, n.runMembership)
	n.loop(ctx, n.keys.run)
	n.loop(ctx, n.runSeeds)
	n.loop(ctx, n.runTrust)
	n.loop(ctx, n.runMetrics)
	return nil
}

// loop runs a function on a goroutine that stop waits for.
func (n *Node) loop(ctx context.Context, run func(context.Context)) {
	n.loops.Add(1)
	go func() {
		defer n.loops.Done()
		run(ctx)
	}()
}

// OperatorAddress returns the TCP address for operators. It is empty if the
// settings have none.
func (n *Node) OperatorAddress() string { return n.operatorAddress }

// CallerAddress returns the TCP address for callers. It is empty if the
// settings have none.
func (n *Node) CallerAddress() string { return n.callerAddress }

// BackendAddress returns the TCP address for the node's own backend server: its
// announcements and onward calls.
func (n *Node) BackendAddress() string { return n.backendAddress }

// PeerAddress returns the UDP address for other nodes.
func (n *Node) PeerAddress() string { return n.server.Address() }

// State returns the last published state. It is nil before [Node.Start].
func (n *Node) State() *State { return n.state.Load() }

// WaitFor waits until the node's published state satisfies the condition. It
// returns an error marked with [ErrNode] if ctx ends first.
func (n *Node) WaitFor(ctx context.Context, condition func(*State) bool) error {
	for {
		changed := n.control.changed()
		if condition(n.State()) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Mark(errors.Wrap(ctx.Err(), "wait for a state of the node"), ErrNode)
		}
	}
}

func (n *Node) newHTTPServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               handler,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		MaxRequestBodySize:    maxBodyBytes,
		ReadBufferSize:        readBufferBytes,
		ErrorHandler:          n.handleMalformed,
		Logger:                serverLog{log: n.log},
	}
}

// serverLog writes messages of an HTTP server to the node's log at debug level.
type serverLog struct {
	log *kqlog.Log
}

// Printf writes one line to the node's log.
func (l serverLog) Printf(format string, values ...any) {
	l.log.Event(zerolog.DebugLevel, fmt.Sprintf(format, values...), nil)
}

// handleMalformed answers a call whose HTTP request does not follow the grammar or
// exceeds a size limit.
func (n *Node) handleMalformed(c *fasthttp.RequestCtx, err error) {
	cause := kqcall.CauseBadRequest
	var small *fasthttp.ErrSmallBuffer
	if errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.As(err, &small) {
		cause = kqcall.CauseTooLarge
	}
	reason := kqrequest.ReasonOf(err)
	if reason != "" {
		n.metrics.Count(kqmetric.MalformedRequests, string(reason))
	}
	n.recordDecision(kqlog.Decision{Decision: decisionAnswer, Cause: string(cause), Outcome: string(kqcall.OutcomeNotRun), Detail: string(reason)})
	writeAnswer(c, "", &callAnswer{end: kqcall.NotRun(cause)})
	if reason == kqrequest.ReasonVersion {
		c.SetStatusCode(fasthttp.StatusHTTPVersionNotSupported)
	}
}

// listen serves s at the address and returns the address that was opened, which
// differs if the port is 0.
func listen(s *fasthttp.Server, address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Mark(errors.Wrapf(err, "listen at %s", address), ErrNode)
	}
	wrapped, err := kqhttp.NewListener(listener)
	if err != nil {
		return "", errors.Mark(errors.CombineErrors(err, listener.Close()), ErrNode)
	}
	go func() { _ = s.Serve(wrapped) }()
	return listener.Addr().String(), nil
}

// newID returns a random 128-bit identifier in hexadecimal. It comes from a
// cryptographic source, so it can't be guessed.
func newID() string {
	var b [16]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return hex.EncodeToString(b[:])
}
