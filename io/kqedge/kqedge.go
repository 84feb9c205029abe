// Package kqedge serves HTTP/1.1 to callers with fasthttp's codec over
// connections that it owns itself. fasthttp's own server runs one request of a
// connection at a time and does not notice a caller that leaves meanwhile;
// this one reads ahead, so that requests sent behind another begin at once and
// a closed connection cancels what runs for it.
//
// # Usage
//
//	server := kqedge.New(handle, kqedge.WithLimits(limits))
//	address, err := server.Listen("10.1.0.8:8304")
//	...
//	server.Drain()    // answers say that the connection will close
//	server.Shutdown() // nothing new is read
//	server.Close()
//
// A handler gets an [Exchange], fills its response and returns; ctx ends when
// the caller is gone. Answers go out in the order of their requests. Requests
// that may not be repeated are not begun before the ones ahead of them have
// been answered, since a connection that closes in between has not read them.
package kqedge

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqbody"
)

// Bounds of a connection.
const (
	// maxAhead is how many requests of a connection are read ahead.
	maxAhead = 16
	// firstBufferBytes is the size of a connection's reader until a header
	// does not fit into it.
	firstBufferBytes = 4 << 10
	// writeTimeout bounds an answer to a caller that does not read.
	writeTimeout = 10 * time.Second
	// chunkedLength is the length that fasthttp gives a body in chunks; one
	// without any is lower.
	chunkedLength = -1
	// maxBodies bounds the memory of all large requests that are being read: a
	// sixth of that of the smallest hosts.
	maxBodies = 32 << 20
	// acceptTime is how long a server that finishes takes the connections that
	// wait to be accepted.
	acceptTime = 20 * time.Millisecond
	// lingerTime is how long a caller may take to see that the connection was
	// closed behind an answer.
	lingerTime = time.Second
)

// LateRequestTime is how long requests that were on their way when the server finished
// are still read, to be refused.
const LateRequestTime = 100 * time.Millisecond

// Defaults of the limits.
const (
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 16 << 20
	defaultHeaderTime  = 5 * time.Second
	defaultIdleTime    = 60 * time.Second
)

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTime is how long a request may take to come in from its first
	// byte, and IdleTime how long a connection may stay without one.
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// WithDefaults fills in the limits that are 0.
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

// Exchange is one request and its answer.
type Exchange struct {
	Request  *fasthttp.Request
	Response *fasthttp.Response
	// ReceivedAt is when the request had been read.
	ReceivedAt time.Time
	// Abort is set by the handler to close the connection in place of an
	// answer.
	Abort bool
	// refused is whether no handler gets the request.
	refused bool

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

// Server is an HTTP/1.1 server.
type Server struct {
	handle func(ctx context.Context, e *Exchange)
	limits func() Limits
	submit func(task func()) error
	// refused makes the answer to a request that can't be read.
	refused func(response *fasthttp.Response, err error)

	listener net.Listener
	// accepted is closed when no more connections are taken.
	accepted chan struct{}
	draining atomic.Bool
	mutex    sync.Mutex
	closed   bool
	open     map[*connection]struct{}
	// bodies bounds what the requests that are being read take together.
	bodies   *kqbody.Allowance
	inFlight atomic.Int64
	// reading is how many requests are coming in.
	reading  atomic.Int64
	lastCame atomic.Int64
}

// Option changes a server.
type Option func(*Server)

// WithLimits sets where the limits of the moment are read.
func WithLimits(limits func() Limits) Option {
	return func(s *Server) { s.limits = limits }
}

// WithSubmit sets what runs handlers; it must not block.
func WithSubmit(submit func(task func()) error) Option {
	return func(s *Server) { s.submit = submit }
}

// WithErrorHandler sets how a request that can't be read is answered.
func WithErrorHandler(refused func(response *fasthttp.Response, err error)) Option {
	return func(s *Server) { s.refused = refused }
}

// New makes a server.
func New(handle func(ctx context.Context, e *Exchange), options ...Option) *Server {
	s := &Server{
		handle: handle, limits: func() Limits { return Limits{} }, open: map[*connection]struct{}{},
		submit: func(task func()) error { go task(); return nil }, bodies: kqbody.NewAllowance(maxBodies),
		refused: func(r *fasthttp.Response, err error) {
			r.SetStatusCode(StatusOf(err))
			r.SetBodyString(err.Error() + "\n")
		},
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// ErrShuttingDown marks requests that came in whole when no more are begun.
var ErrShuttingDown = errors.New("server takes no more requests")

// StatusOf gives the status for a request that can't be read, or is not taken.
func StatusOf(err error) int {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.Is(err, kqbody.ErrTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, kqbody.ErrNoRoom) || errors.Is(err, ErrShuttingDown):
		return fasthttp.StatusServiceUnavailable
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	default:
		return fasthttp.StatusBadRequest
	}
}

// Listen begins to serve at a TCP address and gives the address.
func (s *Server) Listen(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrapf(err, "listen at %s", address)
	}
	s.listener, s.accepted = l, make(chan struct{})
	go s.accept(l)
	return l.Addr().String(), nil
}

func (s *Server) accept(l net.Listener) {
	defer close(s.accepted)
	for {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		c := &connection{server: s, raw: raw, answers: make(chan *Exchange, maxAhead)}
		s.mutex.Lock()
		closed := s.closed
		if !closed {
			s.open[c] = struct{}{}
		}
		s.mutex.Unlock()
		if closed {
			_ = raw.Close()
			continue
		}
		go c.read()
		go c.write()
	}
}

// Drain has every further answer say that its connection will close. New
// connections and requests are still taken.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Shutdown takes no more connections and begins no more requests; idle
// connections are closed, and the others behind their last answer. What waits
// in the listener's queue is taken, and what comes in within [LateRequestTime] is
// refused rather than cut off.
func (s *Server) Shutdown() {
	s.Drain()
	if s.listener != nil {
		s.acceptRest()
		_ = s.listener.Close()
	}
	s.mutex.Lock()
	open := make([]*connection, 0, len(s.open))
	for c := range s.open {
		open = append(open, c)
	}
	s.mutex.Unlock()
	for _, c := range open {
		c.finish()
	}
}

// acceptRest takes the connections that the kernel has accepted already.
func (s *Server) acceptRest() {
	limited, ok := s.listener.(interface{ SetDeadline(t time.Time) error })
	if ok && limited.SetDeadline(time.Now().Add(acceptTime)) == nil {
		<-s.accepted
	}
}

// Reading is how many requests are coming in.
func (s *Server) Reading() int {
	return int(s.reading.Load())
}

// InFlight is how many requests were read and not answered.
func (s *Server) InFlight() int {
	return int(s.inFlight.Load())
}

// LastReceived is when the last request came, in Unix nanoseconds, or 0.
func (s *Server) LastReceived() int64 {
	return s.lastCame.Load()
}

// Close closes the address and all connections.
func (s *Server) Close() {
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mutex.Lock()
	s.closed = true
	open := s.open
	s.open = map[*connection]struct{}{}
	s.mutex.Unlock()
	for c := range open {
		_ = c.raw.Close()
	}
}
