// Package kqhttp is an HTTP/1.1 client with a connection pool, and a listener
// that detects callers that disconnect while their request is running.
//
// It writes calls with the codec of fasthttp but manages its connections itself, since
// the client of fasthttp does not report whether a failed call was sent, and does
// not close the connection of a call that is cancelled. It reads answers itself, since
// the codec accepts and repairs malformed ones; package kqanswer has the grammar.
//
// # Usage
//
//	pool := kqhttp.NewPool("127.0.0.1:8080", kqhttp.WithMaxIdle(64))
//	err := pool.Do(ctx, request, response)
//
// An error marked [ErrNotSent] proves that no byte of the call was written.
// After one marked [ErrLost], also for a malformed answer, the server may or may not have
// run the call. An error of a connection that stopped passing bytes is marked [ErrSilent]
// as well. A cancelled call closes its connection, so that the server notices the
// cancellation. The pool never retries a call.
//
// [Pool.Stream] passes on a body while it arrives, over a connection outside
// the pool.
//
// A server wraps its listener to learn that the caller of a running request
// has disconnected:
//
//	listener, err := kqhttp.NewListener(tcpListener)
//	...
//	defer kqhttp.OnDisconnect(requestCtx.Conn(), cancel)()
package kqhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqanswer"
	"kumquatlink/io/kqbody"
)

// Errors that tell whether the server may have run a call.
var (
	// ErrNotSent marks errors that prove that no byte of the call was written.
	ErrNotSent = errors.New("call was not sent")
	// ErrLost marks errors after which the server may have run the call.
	ErrLost = errors.New("answer was lost")
)

// Defaults of a pool.
const (
	defaultMaxIdle      = 64
	defaultMaxAge       = 5 * time.Second
	defaultMaxBodyBytes = 16 << 20
	// maxBodyMemory bounds the memory in bytes of all large answer bodies that
	// a pool is reading: a sixth of the memory of the smallest hosts.
	maxBodyMemory = 32 << 20
	dialTimeout   = time.Second
	bufferSize    = 4 << 10
	// receiveBuffer bounds what the kernel holds, in bytes, of an answer whose reading
	// pauses.
	receiveBuffer = 256 << 10
	// maxStrayAnswers is the number of answers to other calls after which a
	// call fails and its connection is closed.
	maxStrayAnswers = 4
)

// Pool sends calls to one server and keeps its idle connections. It is safe
// for concurrent use.
type Pool struct {
	address      string
	maxIdle      int
	maxAge       time.Duration
	maxBodyBytes int
	// bodyBudget bounds the memory of all answer bodies that are being read or held, and
	// patience how long reading one pauses for room.
	bodyBudget *kqbody.Budget
	patience   time.Duration
	dial       func(ctx context.Context, address string) (net.Conn, error)
	now        func() time.Time
	// matches reports whether the answer belongs to the call.
	matches func(request *fasthttp.Request, response *fasthttp.Response) bool

	mutex sync.Mutex
	idle  []*connection
}

// connection is a connection to the server with its buffers. One call at a time uses
// it.
type connection struct {
	net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	probe     *socketProbe
	// head is the head that is being read.
	head kqanswer.Head
	// releaseBody gives the memory of the body that was read back to the pool's budget.
	releaseBody func()
	// upload is the body of the call that is still being written, nil if there is none.
	upload *upload
	// broken is the error with which the connection failed, other than the end of
	// the server's stream.
	broken atomic.Pointer[error]

	// timer checks for silence while a call uses the connection, which busy
	// reports. silent reports that the connection was closed for its silence.
	timer  *time.Timer
	busy   atomic.Bool
	silent atomic.Bool
}

func newConnection(raw net.Conn) *connection {
	c := &connection{Conn: raw, probe: newSocketProbe(raw), releaseBody: func() {}}
	c.reader = bufio.NewReaderSize(c, bufferSize)
	c.writer = bufio.NewWriterSize(c, bufferSize)
	return c
}

// Read reads what has arrived. The kernel reports a reset once, to the call that meets
// it, and an end of stream from then on. Read reports the reset again, since an answer
// without a length would seem to be complete.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		c.remember(err)
		return n, err
	}
	if c.upload != nil && !c.probe.isHalfClosed() {
		// The upload fails at once, and may have met the reset.
		<-c.upload.done
	}
	if broken := c.broken.Load(); broken != nil {
		return n, *broken
	}
	return n, err
}

// Write writes p and remembers its error for Read, apart from EPIPE: the first write after
// a reset fails with it only if the server had ended its stream before, and then the
// stream is complete.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if !errors.Is(err, syscall.EPIPE) {
		c.remember(err)
	}
	return n, err
}

// remember keeps an error with which the connection failed.
func (c *connection) remember(err error) {
	if err == nil {
		return
	}
	failure := err
	c.broken.Store(&failure)
}

// Option configures a [Pool].
type Option func(*Pool)

// WithMaxIdle sets the maximum number of idle connections; the default is 64.
func WithMaxIdle(n int) Option {
	return func(p *Pool) { p.maxIdle = n }
}

// WithMaxAge sets how long a connection may stay idle; the default is 5 s. It
// should be shorter than the server's own idle timeout, so that no call is
// written into a connection that the server is closing.
func WithMaxAge(d time.Duration) Option {
	return func(p *Pool) { p.maxAge = d }
}

// WithDial sets the function that opens connections. The default is TCP with
// keep-alive probes. Silence is detected on connections of type *net.TCPConn
// only.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(p *Pool) { p.dial = dial }
}

// WithAnswerMatcher sets the function that reports whether an answer belongs to
// the call. Answers to other calls, which a faulty server may send late or
// twice, are skipped. It is for [Pool.Do] only.
func WithAnswerMatcher(matches func(request *fasthttp.Request, response *fasthttp.Response) bool) Option {
	return func(p *Pool) { p.matches = matches }
}

// WithBodyBudget sets the budget of the memory of answer bodies, and how long reading one
// pauses for room in it. The default is a budget of 32 MiB of the pool's own, and no pause.
func WithBodyBudget(budget *kqbody.Budget, patience time.Duration) Option {
	return func(p *Pool) { p.bodyBudget, p.patience = budget, patience }
}

// WithMaxBodyBytes sets the length in bytes of the largest answer body; the default is
// 16 MiB.
func WithMaxBodyBytes(n int) Option {
	return func(p *Pool) { p.maxBodyBytes = n }
}

// NewPool returns a pool of connections to the address. It opens none yet.
func NewPool(address string, options ...Option) *Pool {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: serverKeepAliveIdle, Interval: serverKeepAliveInterval, Count: serverKeepAliveCount,
	}}
	p := &Pool{
		address:      address,
		maxIdle:      defaultMaxIdle,
		maxAge:       defaultMaxAge,
		maxBodyBytes: defaultMaxBodyBytes,
		bodyBudget:   kqbody.NewBudget(maxBodyMemory),
		now:          time.Now,
		matches:      func(*fasthttp.Request, *fasthttp.Response) bool { return true },
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			if err := c.(*net.TCPConn).SetReadBuffer(receiveBuffer); err != nil {
				_ = c.Close()
				return nil, err
			}
			return c, nil
		},
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// Do sends the call and reads the whole answer. The request must have a path as its URI
// and a Host field. The response must not have StreamBody set, see [Pool.Stream]. An
// answer that comes before the call is written counts. Do sends the rest of the call then,
// as long as the server receives it. An error is marked with [ErrNotSent] or [ErrLost].
func (p *Pool) Do(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) error {
	release, err := p.DoHeld(ctx, request, response)
	release()
	return err
}

// DoHeld sends the call like [Pool.Do]. The body of the answer counts against the budget
// until the function is called that it returns, also with an error.
func (p *Pool) DoHeld(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) (release func(), err error) {
	c, err := p.acquire(ctx)
	if err != nil {
		return func() {}, errors.Mark(errors.Wrapf(err, "connect to %s", p.address), ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	if ctx.Err() != nil {
		_ = c.Close()
		return func() {}, errors.Mark(errors.Wrap(ctx.Err(), "call was cancelled before it was sent"), ErrNotSent)
	}
	c.startWatchdog()
	_, err = p.exchange(ctx, c, request, response)
	release, c.releaseBody = c.releaseBody, func() {}
	isWritten := err == nil && c.finishUpload()
	c.stopWatchdog()
	if err != nil {
		stop()
		return release, p.wrapExchangeError(c, errors.CombineErrors(err, c.abortUpload()))
	}
	if !stop() || !isWritten || response.ConnectionClose() || request.ConnectionClose() {
		_ = c.Close()
		return release, nil
	}
	p.release(c)
	return release, nil
}

// wrapExchangeError marks the error of a failed exchange. If the connection
// went silent, it also closes the idle connections, since the same network
// fault may affect them.
func (p *Pool) wrapExchangeError(c *connection, err error) error {
	err = errors.Mark(errors.Wrapf(err, "call %s", p.address), ErrLost)
	if !c.silent.Load() {
		return err
	}
	p.Close()
	return errors.Mark(err, ErrSilent)
}

// exchange writes the call and reads its answer. If the response has StreamBody set, it
// returns the body, or nil if there is none, instead of reading it. A large call may not
// be written yet when it returns.
func (p *Pool) exchange(ctx context.Context, c *connection, request *fasthttp.Request, response *fasthttp.Response) (io.Reader, error) {
	isHEAD, wantsStream := request.Header.IsHead(), response.StreamBody
	writeErr := c.send(request)
	// The answer is read even if writing failed: a server may answer before it
	// has read the whole call and then close the connection.
	for range maxStrayAnswers {
		c.releaseBody()
		body, err := p.readAnswer(ctx, c, response, isHEAD, wantsStream)
		if err != nil {
			return nil, errors.CombineErrors(errors.Wrap(writeErr, "write call"), errors.Wrap(err, "read answer"))
		}
		if p.matches(request, response) {
			if writeErr != nil {
				response.SetConnectionClose()
			}
			return body, nil
		}
		response.Reset()
	}
	return nil, errors.Newf("gave up after %d answers that belong to other calls", maxStrayAnswers)
}

// readAnswer reads an answer. It returns the body if that is to be a stream.
func (p *Pool) readAnswer(ctx context.Context, c *connection, response *fasthttp.Response, isHEAD, wantsStream bool) (io.Reader, error) {
	if err := c.readAnswerHead(response); err != nil {
		return nil, err
	}
	body, length := c.body(isHEAD)
	if body == nil || wantsStream {
		return body, nil
	}
	content, release, err := p.bodyBudget.HoldPatiently(ctx, p.patience, body, length, p.maxBodyBytes)
	c.releaseBody = release
	response.SetBodyRaw(content)
	return nil, err
}

// acquire returns the most recently used idle connection that can take a call,
// or opens a new one.
func (p *Pool) acquire(ctx context.Context) (*connection, error) {
	for c := p.popIdle(); c != nil; c = p.popIdle() {
		if !c.isStale(p.now()) {
			return c, nil
		}
		_ = c.Close()
	}
	c, err := p.dial(ctx, p.address)
	if err != nil {
		return nil, err
	}
	return newConnection(c), nil
}

// popIdle removes the most recently used idle connection from the pool. It
// returns nil if there is none, or if that one is older than maxAge: then all
// the others are older still, and all are closed.
func (p *Pool) popIdle() *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	if p.now().Sub(c.idleSince) > p.maxAge {
		closeAll(p.idle)
		p.idle = nil
		return nil
	}
	p.idle = p.idle[:last]
	return c
}

// release returns a connection to the pool, or closes it if the pool is full.
func (p *Pool) release(c *connection) {
	c.head.Reset()
	c.idleSince = p.now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle) >= p.maxIdle {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Close closes the idle connections. Calls in flight go on, and the pool can be
// used again.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	closeAll(p.idle)
	p.idle = nil
}

func closeAll(connections []*connection) {
	for _, c := range connections {
		_ = c.Close()
	}
}
