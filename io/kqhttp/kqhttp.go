// Package kqhttp sends HTTP/1.1 calls with fasthttp's codec over connections
// that it owns itself, since fasthttp's client neither tells whether a failed
// call was sent nor gives up a connection when a call is cancelled.
//
// # Usage
//
//	pool := kqhttp.NewPool("127.0.0.1:8080", kqhttp.WithMaxIdle(64))
//	err := pool.Do(ctx, request, response)
//
// Errors marked [ErrNotSent] prove that no byte of the call was written; those
// marked [ErrLost] leave open whether the server ran it. A cancelled call
// closes its connection, which is how the server learns of it. Nothing is ever
// repeated here.
package kqhttp

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqbody"
)

// Errors of this package.
var (
	// ErrNotSent marks errors that prove that nothing was written.
	ErrNotSent = errors.New("call was not sent")
	// ErrLost marks errors after which the server may have run the call.
	ErrLost = errors.New("answer was lost")
)

// Defaults of a pool.
const (
	defaultMaxIdle = 64
	defaultMaxAge  = 5 * time.Second
	defaultMaxBody = 16 << 20
	// maxBodies bounds the memory of all large answers that are being read: a
	// sixth of that of the smallest hosts.
	maxBodies   = 32 << 20
	dialTimeout = time.Second
	bufferSize  = 4 << 10
	// maxStrayAnswers is how many answers are read for one call before the
	// connection is given up.
	maxStrayAnswers = 4
)

// Pool keeps idle connections to one server.
type Pool struct {
	address string
	maxIdle int
	maxAge  time.Duration
	maxBody int
	// bodies bounds what the answers that are being read take together.
	bodies *kqbody.Allowance
	dial   func(ctx context.Context, address string) (net.Conn, error)
	now    func() time.Time
	// matches is whether an answer belongs to the call.
	matches func(request *fasthttp.Request, response *fasthttp.Response) bool

	mutex sync.Mutex
	idle  []*connection
}

// connection is one connection with its buffers.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	since  time.Time
	probe  *probe

	// timer runs while a call is on the connection.
	timer  *time.Timer
	busy   atomic.Bool
	silent atomic.Bool
}

func newConnection(c net.Conn) *connection {
	return &connection{
		Conn:   c,
		reader: bufio.NewReaderSize(c, bufferSize),
		writer: bufio.NewWriterSize(c, bufferSize),
		probe:  newProbe(c),
	}
}

// Option changes a pool.
type Option func(*Pool)

// WithMaxIdle sets how many idle connections are kept.
func WithMaxIdle(n int) Option {
	return func(p *Pool) { p.maxIdle = n }
}

// WithMaxAge sets how long a connection may stay idle. It should be shorter
// than the server's own idle timeout, so that no call is written into a
// connection that the server is closing.
func WithMaxAge(d time.Duration) Option {
	return func(p *Pool) { p.maxAge = d }
}

// WithDial replaces how connections are opened.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(p *Pool) { p.dial = dial }
}

// WithAnswerMatcher sets how an answer is recognised as that of the call. Answers
// that belong to another one, which a faulty server may send late or twice,
// are passed over.
func WithAnswerMatcher(matches func(request *fasthttp.Request, response *fasthttp.Response) bool) Option {
	return func(p *Pool) { p.matches = matches }
}

// NewPool makes a pool without connections.
func NewPool(address string, options ...Option) *Pool {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
	}}
	p := &Pool{
		address: address,
		maxIdle: defaultMaxIdle,
		maxAge:  defaultMaxAge,
		maxBody: defaultMaxBody,
		bodies:  kqbody.NewAllowance(maxBodies),
		now:     time.Now,
		matches: func(*fasthttp.Request, *fasthttp.Response) bool { return true },
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// Do sends the call and reads the whole answer.
func (p *Pool) Do(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) error {
	c, err := p.take(ctx)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "connect to %s", p.address), ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	if ctx.Err() != nil {
		_ = c.Close()
		return errors.Mark(errors.Wrap(ctx.Err(), "call was cancelled"), ErrNotSent)
	}
	c.watch()
	err = p.exchange(c, request, response)
	c.unwatch()
	if err != nil {
		stop()
		_ = c.Close()
		return p.lost(c, err)
	}
	if !stop() || response.ConnectionClose() || request.ConnectionClose() {
		_ = c.Close()
		return nil
	}
	p.put(c)
	return nil
}

// lost turns a failed exchange into this layer's error. What has silenced one
// connection may have silenced those that wait in the pool, so they go too.
func (p *Pool) lost(c *connection, err error) error {
	err = errors.Mark(errors.Wrapf(err, "call %s", p.address), ErrLost)
	if !c.silent.Load() {
		return err
	}
	p.Close()
	return errors.Mark(err, ErrSilent)
}

// exchange writes the call and reads the answer to it, with its body unless
// that is to be streamed.
func (p *Pool) exchange(c *connection, request *fasthttp.Request, response *fasthttp.Response) error {
	streams := response.StreamBody
	writeErr := request.Write(c.writer)
	if writeErr == nil {
		writeErr = c.writer.Flush()
	}
	// A server may answer before it has read the whole call, and close then.
	for range maxStrayAnswers {
		response.StreamBody = true
		err := response.ReadLimitBody(c.reader, 0)
		if err == nil && !streams {
			err = p.readBody(response)
		}
		if err != nil {
			return errors.CombineErrors(errors.Wrap(writeErr, "write call"), errors.Wrap(err, "read answer"))
		}
		if p.matches(request, response) {
			if writeErr != nil {
				response.SetConnectionClose()
			}
			return nil
		}
		skip := response.SkipBody
		response.Reset()
		response.SkipBody = skip
	}
	return errors.Newf("%d answers belong to other calls", maxStrayAnswers)
}

// readBody reads the body whose head has been read.
func (p *Pool) readBody(response *fasthttp.Response) error {
	response.StreamBody = false
	stream := response.BodyStream()
	if stream == nil {
		return nil
	}
	body, err := p.bodies.Read(stream, response.Header.ContentLength(), p.maxBody)
	err = errors.CombineErrors(err, response.CloseBodyStream())
	response.SetBodyRaw(body)
	return err
}

// take gives the idle connection that was used last, or opens one.
func (p *Pool) take(ctx context.Context) (*connection, error) {
	for c := p.takeIdle(); c != nil; c = p.takeIdle() {
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

func (p *Pool) takeIdle() *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	if p.now().Sub(c.since) > p.maxAge {
		closeAll(p.idle)
		p.idle = nil
		return nil
	}
	p.idle = p.idle[:last]
	return c
}

func (p *Pool) put(c *connection) {
	c.since = p.now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle) >= p.maxIdle {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Close closes the idle connections.
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
