// Package kqedge is an HTTP/1.1 server for callers, with support for pipelined
// requests, cancellation and graceful shutdown.
//
// It takes a request only if its bytes follow the grammar, by [kqrequest]. Then it uses
// the codec of fasthttp, but manages its connections itself. The server
// of fasthttp runs one request of a connection at a time, and does not notice a
// caller that disconnects meanwhile. This server reads ahead, so that pipelined
// requests start at once and a closed connection cancels its requests.
//
// # Usage
//
//	server := kqedge.New(handle, kqedge.WithLimits(limits))
//	address, err := server.Listen("10.1.0.8:8304")
//	...
//	server.Drain()    // answers say that the connection will close
//	server.Shutdown() // no further request starts
//	server.Close()
//
// A handler gets an [Exchange], fills its response and returns. Its ctx ends
// when the caller disconnects. Answers are written in the order of the requests
// of a connection. GET and HEAD requests start as soon as they have been read. A
// request with another method may not be repeated, so it starts only after the
// earlier requests of its connection have been answered: a connection that
// closes before that has not read it.
//
// The server shuts down in steps. After [Server.Drain] it still takes requests,
// but its answers say that the connection closes. After [Server.Shutdown] it
// only answers the requests that are in flight or being read, which
// [Server.InFlight] and [Server.Reading] count. [Server.Close] cuts off the
// rest.
package kqedge

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqrequest"
	"kumquatlink/io/kqaccept"
	"kumquatlink/io/kqbody"
)

// Bounds of a server and its connections.
const (
	// maxPipelined is the capacity of the queue of exchanges of a connection that
	// await their answer. When it is full, reading waits.
	maxPipelined = 16
	// initialBufferBytes is the size of a connection's buffers. Headers that do
	// not fit are read with a larger buffer, of at most Limits.HeaderBytes.
	initialBufferBytes = 4 << 10
	// writeTimeout bounds writing an answer to a caller that does not read it.
	writeTimeout = 10 * time.Second
	// maxBodyMemory bounds the memory in bytes of all large request bodies that
	// a server reads or holds, until they are answered: a seventh of the memory of the
	// smallest hosts.
	maxBodyMemory = 40 << 20
	// maxBodyTime is how long a body may take to arrive, unless an idle connection may
	// pause for longer.
	maxBodyTime = time.Minute
	// pieceBytes is the size of the pieces in which answers are written. A caller makes
	// progress when it has taken one.
	pieceBytes = 64 << 10
	// stallTime is how long a caller may take no piece of its answer before it is closed
	// while memory is short, and excessStallTime if more is in use than the budget covers.
	stallTime       = 2 * time.Second
	excessStallTime = 100 * time.Millisecond
	// reclaimPeriod is the time between two checks for stalled callers while memory is
	// short.
	reclaimPeriod = 50 * time.Millisecond
	// maxExcess is the part of the budget of memory by which it may be exceeded before
	// requests are refused.
	maxExcess = 0.125
	// exchangeBytes is about what a request takes, beside bodies, until it is answered:
	// its head, the buffers of the codec and the stacks of its goroutines.
	exchangeBytes = 16 << 10
	// backlogTime is how long a server that shuts down accepts the connections
	// that wait in the listener's backlog.
	backlogTime = 20 * time.Millisecond
	// lingerTime is how long a caller may take to close its side after the
	// server has closed the sending direction.
	lingerTime = time.Second
	// lingeringShare is the part of the limit on connections by which it may be
	// exceeded while the idle ones that were replaced end, and minLingering the
	// least number.
	lingeringShare = 10
	minLingering   = 64
)

// LateRequestTime is how long after [Server.Shutdown] requests that were on
// their way are still read, and refused.
const LateRequestTime = 100 * time.Millisecond

// Defaults of [Limits].
const (
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 16 << 20
	defaultHeaderTime  = 5 * time.Second
	defaultIdleTime    = 60 * time.Second
)

// Limits bound what a caller may send. A limit of 0 stands for its default.
type Limits struct {
	// HeaderBytes bounds the request line and headers, and the trailer of a body in
	// chunks, and BodyBytes the body.
	// The defaults are 16 KiB and 16 MiB.
	HeaderBytes int
	BodyBytes   int
	// HeaderTime is how long a header may take to arrive from its first byte on, and
	// IdleTime how long a connection may stay without a request, or its caller pause
	// within a body. The defaults are 5 s and 60 s.
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// WithDefaults returns the limits with defaults in place of those that are not
// positive.
func (l Limits) WithDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderTime <= 0 {
		l.HeaderTime = defaultHeaderTime
	}
	if l.IdleTime <= 0 {
		l.IdleTime = defaultIdleTime
	}
	return l
}

// Exchange is a request and its response. Both are reused after the answer.
type Exchange struct {
	Request  *fasthttp.Request
	Response *fasthttp.Response
	// ReceivedAt is the time at which the request had been read whole.
	ReceivedAt time.Time
	// Abort closes the connection instead of writing the response. The handler
	// may set it.
	Abort bool
	// refused reports whether the request is answered without the handler.
	refused bool
	// interim is the time for the body of the request to which the interim answer is due
	// that this exchange stands for, or 0.
	interim time.Duration
	// ReleaseBody gives the memory of the response's body back once it has been written.
	// The handler may set it if that memory is counted already.
	ReleaseBody func()
	// releaseRequest and releaseResponse give the memory of the bodies back to the
	// server's budget. charged is the number of further bytes that count there.
	releaseRequest  func()
	releaseResponse func()
	charged         int
	// held is the number of bytes that the answer takes until it has been written.
	held int64

	ctx    context.Context
	cancel context.CancelFunc
	// started is closed when the handler runs or never will, and done at its end.
	started chan struct{}
	done    chan struct{}
}

// Server is an HTTP/1.1 server. Its methods are safe for concurrent use, except
// that Listen is called once and first.
type Server struct {
	handle func(ctx context.Context, e *Exchange)
	limits func() Limits
	submit func(task func()) error
	// refused fills the response to a request that can't be read or taken.
	refused func(response *fasthttp.Response, err error)

	listener net.Listener
	// accepted is closed when no more connections are accepted.
	accepted    chan struct{}
	draining    atomic.Bool
	mutex       sync.Mutex
	closed      bool
	connections map[*connection]struct{}
	// maxConnections is the number of connections from which on idle ones are
	// replaced, or 0 for no limit.
	maxConnections int
	// acceptFailed is told of errors of the listener that pass.
	acceptFailed func(err error)
	// memory bounds the memory of request bodies and answers. bodyBudget is its share for
	// large request bodies.
	memory     *kqbody.Budget
	bodyBudget *kqbody.Budget
	// reclaiming reports whether stalled callers are being closed. reclaimed is called for
	// each of them.
	reclaiming atomic.Bool
	reclaimed  func(Stalled)
	inFlight   atomic.Int64
	// reading counts the requests that are being read. lastReceived is in Unix
	// nanoseconds.
	reading      atomic.Int64
	lastReceived atomic.Int64
}

// Option configures a [Server].
type Option func(*Server)

// WithLimits sets the function that returns the current limits. It is called for
// each request, so that the limits may change.
func WithLimits(limits func() Limits) Option {
	return func(s *Server) { s.limits = limits }
}

// WithSubmit sets the function that runs handlers; the default starts a goroutine
// for each. It must not block. If it returns an error, the connection is closed
// without an answer.
func WithSubmit(submit func(task func()) error) Option {
	return func(s *Server) { s.submit = submit }
}

// WithMaxConnections sets the number of connections from which on a new one replaces
// an idle one, or is closed. The default is no limit.
func WithMaxConnections(count int) Option {
	return func(s *Server) { s.maxConnections = count }
}

// WithMemory sets the budget that bounds the memory of request bodies and answers, beside
// others that draw on it. While it is short, [Server.Reclaim] has to be called. The default
// is a budget of 40 MiB of the server's own.
func WithMemory(memory *kqbody.Budget) Option {
	return func(s *Server) {
		s.memory = memory
		s.bodyBudget = kqbody.NewBudget(maxBodyMemory, kqbody.WithParent(memory), kqbody.WithLoneBodies(), kqbody.WithShortage(s.Reclaim))
	}
}

// WithReclaimObserver sets a function that is called for each caller that is closed because
// it stalled while memory was short.
func WithReclaimObserver(observe func(Stalled)) Option {
	return func(s *Server) { s.reclaimed = observe }
}

// WithAcceptObserver sets a function that is called with the first of several errors
// in a row of the listener, and with nil when it accepts connections again.
func WithAcceptObserver(observe func(err error)) Option {
	return func(s *Server) { s.acceptFailed = observe }
}

// WithErrorHandler sets the function that fills the response to a request that
// can't be read or taken. The default sets the status of [StatusOf] and the error
// as the body.
func WithErrorHandler(handleError func(response *fasthttp.Response, err error)) Option {
	return func(s *Server) { s.refused = handleError }
}

// New returns a server that calls handle for each request.
func New(handle func(ctx context.Context, e *Exchange), options ...Option) *Server {
	s := &Server{
		handle: handle, limits: func() Limits { return Limits{} }, connections: map[*connection]struct{}{},
		acceptFailed: func(error) {}, reclaimed: func(Stalled) {},
		submit: func(task func()) error { go task(); return nil },
		refused: func(r *fasthttp.Response, err error) {
			r.SetStatusCode(StatusOf(err))
			r.SetBodyString(err.Error() + "\n")
		},
	}
	s.memory = kqbody.NewBudget(maxBodyMemory, kqbody.WithShortage(s.Reclaim))
	s.bodyBudget = s.memory
	for _, o := range options {
		o(s)
	}
	return s
}

// Errors of requests that can't be read or taken, beside those of [kqrequest] and
// [kqbody].
var (
	// ErrShuttingDown marks requests that were read whole after [Server.Shutdown].
	ErrShuttingDown = errors.New("server takes no more requests")
	// ErrHeadTooLarge marks requests whose head or trailer exceeds Limits.HeaderBytes.
	ErrHeadTooLarge = errors.New("head of the request is too large")
)

// StatusOf returns the HTTP status for the error of a request that can't be read
// or taken.
func StatusOf(err error) int {
	switch {
	case errors.Is(err, kqbody.ErrTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, kqbody.ErrNoRoom) || errors.Is(err, ErrShuttingDown):
		return fasthttp.StatusServiceUnavailable
	case errors.Is(err, ErrHeadTooLarge):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case kqrequest.ReasonOf(err) == kqrequest.ReasonVersion:
		return fasthttp.StatusHTTPVersionNotSupported
	default:
		return fasthttp.StatusBadRequest
	}
}

// Listen starts to serve at a TCP address and returns the address with the port
// that was chosen.
func (s *Server) Listen(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrapf(err, "listen at %s", address)
	}
	s.listener, s.accepted = l, make(chan struct{})
	go s.accept(l)
	return l.Addr().String(), nil
}

// accept serves connections until the listener is closed or its deadline has
// passed.
func (s *Server) accept(l net.Listener) {
	defer close(s.accepted)
	_ = kqaccept.Run(l, s.serve, kqaccept.WithObserver(s.acceptFailed))
}

// serve serves a connection. One beyond the limit replaces an idle one, or is closed
// if there is none, or if those that were replaced have not ended yet.
func (s *Server) serve(raw net.Conn) {
	c := &connection{server: s, raw: raw, answers: make(chan *Exchange, maxPipelined), idleSince: time.Now()}
	s.mutex.Lock()
	count := len(s.connections)
	mayServe := !s.closed && (s.maxConnections <= 0 || count < s.maxConnections+max(s.maxConnections/lingeringShare, minLingering))
	var replaced *connection
	if mayServe && s.maxConnections > 0 && count >= s.maxConnections {
		replaced = s.longestIdle()
		mayServe = replaced != nil
	}
	if mayServe {
		s.connections[c] = struct{}{}
	}
	s.mutex.Unlock()
	if replaced != nil {
		replaced.closeIfIdle()
	}
	if !mayServe {
		_ = raw.Close()
		return
	}
	go c.readRequests()
	go c.writeAnswers()
}

// longestIdle returns the connection that has been idle for the longest time, or nil.
// The mutex is held.
func (s *Server) longestIdle() *connection {
	var found *connection
	var since time.Time
	for c := range s.connections {
		if at, idle := c.idle(); idle && (found == nil || at.Before(since)) {
			found, since = c, at
		}
	}
	return found
}

// Drain lets each further answer say that its connection closes, unless other
// requests of the connection are in flight. New connections and requests are
// still taken.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Shutdown calls [Server.Drain] and starts no more requests. It does not wait for
// those in flight. Connections in the listener's backlog are still accepted,
// then the listener is closed. A request that arrives on an idle connection
// within [LateRequestTime] is refused rather than cut off; after that, idle
// connections are closed, and the others after their last answer.
func (s *Server) Shutdown() {
	s.Drain()
	if s.listener != nil {
		s.acceptBacklog()
		_ = s.listener.Close()
	}
	s.mutex.Lock()
	connections := make([]*connection, 0, len(s.connections))
	for c := range s.connections {
		connections = append(connections, c)
	}
	s.mutex.Unlock()
	for _, c := range connections {
		c.shutdown()
	}
}

// acceptBacklog accepts the connections that the kernel has already established.
func (s *Server) acceptBacklog() {
	withDeadline, ok := s.listener.(interface{ SetDeadline(t time.Time) error })
	if ok && withDeadline.SetDeadline(time.Now().Add(backlogTime)) == nil {
		<-s.accepted
	}
}

// Reading returns the number of requests that are being read.
func (s *Server) Reading() int {
	return int(s.reading.Load())
}

// InFlight returns the number of requests that were read and not yet answered.
func (s *Server) InFlight() int {
	return int(s.inFlight.Load())
}

// LastReceived returns the time at which the last request had been read, in Unix
// nanoseconds, or 0 if there was none.
func (s *Server) LastReceived() int64 {
	return s.lastReceived.Load()
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mutex.Lock()
	s.closed = true
	connections := s.connections
	s.connections = map[*connection]struct{}{}
	s.mutex.Unlock()
	for c := range connections {
		_ = c.raw.Close()
	}
}
