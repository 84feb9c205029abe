// Package kqnode is the process that stands beside every backend server. It
// is three things at once: the entry takes calls from callers and its own
// backend server's onward calls, the gate decides what its backend server
// runs, and the member knows the other nodes and the configuration.
//
// # Usage
//
//	node, err := kqnode.New(settings, identity, client, kqnode.WithLog(log))
//	err = node.Start()
//	...
//	err = node.Shutdown(ctx)
//
// One goroutine owns control state and publishes an immutable [State]; call
// traffic runs on a pool and only ever reads the state of the moment.
package kqnode

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
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

// Defaults of a node.
const (
	defaultPoolSize = 8192
	maxBodyBytes    = kqlink.MaxBodyBytes
	// readBufferBytes bounds the header of an HTTP call.
	readBufferBytes = 16 << 10
)

// State is what call traffic reads; it is immutable.
type State struct {
	Members *kqmember.Snapshot
	Classes *kqclass.Table
	// Configuration is what Classes was derived from, and InForceSince when it
	// was, by this node's clock.
	Configuration kqclass.Configuration
	InForceSince  time.Time
	// Refusals counts the configurations that were refused.
	Refusals kqconfig.Refusals
	Store    StoreView
	// Fleet is the node's place in the fleet.
	Fleet FleetView
	// Life is the state of the node's own chart.
	Life kqmember.Life
	// Backend is the backend server's announcement, or nil.
	Backend *Backend
}

// Node is one process of the system.
type Node struct {
	settings kqsettings.Node
	identity *kqtrust.Identity
	store    *kqstore.Client
	log      *kqlog.Log
	metrics  *kqmetric.Metrics
	ownsLog  bool
	now      func() time.Time
	// linkOptions are options of the links to other nodes.
	linkOptions []kqlink.Option

	pool *ants.Pool
	// exchanges sends control messages.
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
	// startedAt is when the node started, and clockReadAt the nanoseconds since then
	// at which the control goroutine last looked at the clock.
	startedAt   time.Time
	clockReadAt atomic.Int64
	// refusedAt is when a refused peer was last logged, in Unix nanoseconds.
	refusedAt atomic.Int64
	gate      *gate
	router    *router
	shed      *shedder
	keys      *keyManager
	work      *work
	shutDown  atomic.Bool
	history   *history
	flights   *flights
	// failed remembers requests whose callers may send them again.
	failed kqretry.RecentFailures

	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// Option changes a node.
type Option func(*Node)

// WithLog sets the log that decisions are written to.
func WithLog(l *kqlog.Log) Option {
	return func(n *Node) { n.log = l }
}

// WithLinkOptions sets options of the links to other nodes.
func WithLinkOptions(list ...kqlink.Option) Option {
	return func(n *Node) { n.linkOptions = list }
}

// WithNow sets the clock that the node reads.
func WithNow(now func() time.Time) Option {
	return func(n *Node) { n.now = now }
}

// New makes a node from checked settings.
func New(settings kqsettings.Node, identity *kqtrust.Identity, store *kqstore.Client, options ...Option) (*Node, error) {
	pool, err := ants.NewPool(defaultPoolSize, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "make pool"), ErrNode)
	}
	exchanges, err := ants.NewPool(exchangePoolSize, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "make pool"), ErrNode)
	}
	n := &Node{settings: settings, identity: identity, now: time.Now, pool: pool, exchanges: exchanges, work: newWork(), history: newHistory()}
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
	n.dialer = kqlink.NewDialer(identity, append(n.linkOptions, kqlink.WithPeerCheck(n.expects))...)
	identity.OnRefusal(n.tellRefusal)
	n.gate = newGate(n)
	n.shed = newShedder(n)
	n.router = newRouter(n)
	n.keys = newKeyManager(n)
	n.flights = newFlights()
	n.control = newControl(n)
	return n, nil
}

// Start opens the node's addresses and joins the fleet.
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

func (n *Node) loop(ctx context.Context, run func(context.Context)) {
	n.loops.Add(1)
	go func() {
		defer n.loops.Done()
		run(ctx)
	}()
}

// OperatorAddress is the TCP address that operators use, or empty.
func (n *Node) OperatorAddress() string { return n.operatorAddress }

// CallerAddress is the TCP address that callers use.
func (n *Node) CallerAddress() string { return n.callerAddress }

// BackendAddress is the TCP address that the backend server uses.
func (n *Node) BackendAddress() string { return n.backendAddress }

// PeerAddress is the UDP address that other nodes use.
func (n *Node) PeerAddress() string { return n.server.Address() }

// State is the state of the moment.
func (n *Node) State() *State { return n.state.Load() }

// WaitFor waits until the node's state satisfies the condition.
func (n *Node) WaitFor(ctx context.Context, condition func(*State) bool) error {
	for {
		changed := n.control.changed()
		if condition(n.State()) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Mark(errors.Wrap(ctx.Err(), "wait for state"), ErrNode)
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
		ErrorHandler:          handleMalformed,
		Logger:                serverLog{log: n.log},
	}
}

// serverLog writes what the HTTP server has to say as lines of the node's log.
type serverLog struct {
	log *kqlog.Log
}

// Printf writes one line.
func (l serverLog) Printf(format string, values ...any) {
	l.log.Event(zerolog.DebugLevel, fmt.Sprintf(format, values...), nil)
}

// handleMalformed answers a caller whose call could not be read at all.
func handleMalformed(c *fasthttp.RequestCtx, err error) {
	cause := kqcall.CauseBadRequest
	var small *fasthttp.ErrSmallBuffer
	if errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.As(err, &small) {
		cause = kqcall.CauseTooLarge
	}
	writeResult(c, "", &callAnswer{end: kqcall.NotRun(cause)})
}

func listen(s *fasthttp.Server, address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Mark(errors.Wrapf(err, "listen at %s", address), ErrNode)
	}
	watched, err := kqhttp.NewListener(listener)
	if err != nil {
		return "", errors.Mark(errors.CombineErrors(err, listener.Close()), ErrNode)
	}
	go func() { _ = s.Serve(watched) }()
	return listener.Addr().String(), nil
}

// newID makes an identifier that nobody can guess.
func newID() string {
	var b [16]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return hex.EncodeToString(b[:])
}
