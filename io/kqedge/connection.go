package kqedge

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqbody"
)

// connection is one caller's connection: one goroutine reads, one writes.
type connection struct {
	server *Server
	raw    net.Conn
	// answers holds the exchanges in the order of their requests.
	answers chan *Exchange
	mutex   sync.Mutex
	active  map[*Exchange]struct{}
	gone    bool
	closing atomic.Bool
	// finishing is whether no more requests may be begun, though answers are
	// due, and reading whether a request has begun to come in.
	finishing bool
	reading   bool
}

// finish has the connection begin no more requests. One that comes in within
// LateRequestTime, or has begun to, is refused when it has come.
func (c *connection) finish() {
	c.mutex.Lock()
	c.finishing = true
	c.mutex.Unlock()
	time.AfterFunc(LateRequestTime, c.finishIdle)
}

// finishIdle ends a connection on which nothing is under way.
func (c *connection) finishIdle() {
	c.mutex.Lock()
	idle := len(c.active) == 0 && !c.reading
	if idle {
		c.closing.Store(true)
	}
	c.mutex.Unlock()
	if idle {
		c.hangUp()
	}
}

// read reads requests until the caller is gone, and cancels what runs then.
func (c *connection) read() {
	defer close(c.answers)
	defer c.endReading()
	limits := c.server.limits().WithDefaults()
	reader := bufio.NewReaderSize(c.raw, firstBufferBytes)
	var last *Exchange
	for !c.closing.Load() {
		if !c.await(reader, limits.IdleTime) || !c.beginReading() {
			break
		}
		limits = c.server.limits().WithDefaults()
		e := &Exchange{Request: fasthttp.AcquireRequest(), Response: fasthttp.AcquireResponse(), done: make(chan struct{})}
		e.ctx, e.cancel = context.WithCancel(context.Background())
		_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTime))
		var err error
		reader, err = c.readRequest(reader, e, limits)
		e.ReceivedAt = time.Now()
		if err != nil {
			c.refuse(e, err)
			return
		}
		_ = c.raw.SetReadDeadline(time.Time{})
		if c.refusesLate() {
			c.refuse(e, ErrShuttingDown)
			return
		}
		if !c.begin(e) {
			// What was read before goes on until it is answered.
			c.watchEnd()
			return
		}
		c.endReading()
		if last != nil && !mayOverlap(e) {
			<-last.done
		}
		last = e
		if !c.start(e) {
			return
		}
	}
	c.lose()
	if c.closing.Load() {
		c.linger()
	}
}

// linger reads what the caller still sends behind an answer that closes the
// connection, since closing with unread bytes would reset it and might take
// the answer away.
func (c *connection) linger() {
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.raw)
	_ = c.raw.Close()
}

// mayOverlap is whether the request may begin before the ones ahead of it
// have been answered.
func mayOverlap(e *Exchange) bool {
	return e.Request.Header.IsGet() || e.Request.Header.IsHead()
}

// await waits for the first byte of a request. While requests run, the
// connection may stay quiet for as long as it likes.
func (c *connection) await(reader *bufio.Reader, idle time.Duration) bool {
	for {
		deadline := time.Now().Add(idle)
		_ = c.raw.SetReadDeadline(deadline)
		if c.closing.Load() {
			// The deadline for lingering may just have been set over.
			return false
		}
		_, err := reader.Peek(1)
		if err == nil {
			return true
		}
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() || !c.isActive() {
			return false
		}
	}
}

func (c *connection) isActive() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.active) > 0
}

// readRequest reads one request, with a larger buffer when its header does not
// fit into the first.
func (c *connection) readRequest(reader *bufio.Reader, e *Exchange, limits Limits) (*bufio.Reader, error) {
	err := e.Request.Header.Read(reader)
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) && reader.Size() < limits.HeaderBytes {
		held, _ := reader.Peek(reader.Buffered())
		held = bytes.Clone(held)
		reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(held), c.raw), limits.HeaderBytes)
		err = e.Request.Header.Read(reader)
	}
	if err != nil {
		return reader, err
	}
	if e.Request.MayContinue() {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return reader, err
		}
	}
	return reader, c.server.readBody(reader, e.Request, limits.BodyBytes)
}

// readBody reads the body of a request. Memory for one that is large, or of
// which the length isn't known, follows the bytes that come.
func (s *Server) readBody(reader *bufio.Reader, r *fasthttp.Request, most int) error {
	length := r.Header.ContentLength()
	if length > most {
		return fasthttp.ErrBodyTooLarge
	}
	if length >= 0 && length <= kqbody.SmallBytes || length < chunkedLength {
		return r.ContinueReadBody(reader, most, false)
	}
	if err := r.ContinueReadBodyStream(reader, most, false); err != nil {
		return err
	}
	body, err := s.bodies.Read(r.BodyStream(), length, most)
	if err == nil && length > len(body) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	r.SetBodyRaw(body)
	return nil
}

// beginReading notes that a request comes in, and says whether it may.
func (c *connection) beginReading() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing.Load() {
		return false
	}
	c.reading = true
	c.server.reading.Add(1)
	return true
}

// endReading notes that a request has come in, or will not.
func (c *connection) endReading() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.reading {
		c.reading = false
		c.server.reading.Add(-1)
	}
}

// refusesLate is whether a request that has come in is to be refused since the
// server finishes. Behind others it is not read, as the last answer tells.
func (c *connection) refusesLate() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.finishing && !c.closing.Load() && len(c.active) == 0
}

// begin counts a request in, unless an answer has already said that the
// connection closes. While the server finishes, only requests that are refused
// are counted in.
func (c *connection) begin(e *Exchange) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing.Load() || c.finishing && !e.refused {
		return false
	}
	c.server.inFlight.Add(1)
	c.server.lastCame.Store(e.ReceivedAt.UnixNano())
	if c.active == nil {
		c.active = map[*Exchange]struct{}{}
	}
	c.active[e] = struct{}{}
	if c.gone {
		e.cancel()
	}
	return true
}

// start queues the answer's place and runs the handler.
func (c *connection) start(e *Exchange) bool {
	last := e.Request.ConnectionClose()
	if last {
		c.closing.Store(true)
	}
	c.answers <- e
	err := c.server.submit(func() {
		defer close(e.done)
		c.server.handle(e.ctx, e)
	})
	if err != nil {
		e.Abort = true
		close(e.done)
		return false
	}
	if last {
		// Nothing more is read, but a caller that leaves is still noticed.
		c.watchEnd()
		return false
	}
	return true
}

// watchEnd waits until the caller closes its side or the answer is out.
func (c *connection) watchEnd() {
	if !c.closing.Load() {
		_ = c.raw.SetReadDeadline(time.Time{})
		if c.closing.Load() {
			_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
		}
	}
	_, _ = io.Copy(io.Discard, c.raw)
	c.lose()
	_ = c.raw.Close()
}

// refuse answers a request that could not be read, and ends the connection.
func (c *connection) refuse(e *Exchange, err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		c.lose()
		return
	}
	var timeout net.Error
	if errors.As(err, &timeout) {
		c.lose()
		_ = c.raw.Close()
		return
	}
	e.refused = true
	if !c.begin(e) {
		c.watchEnd()
		return
	}
	c.closing.Store(true)
	c.server.refused(e.Response, err)
	e.Response.SetConnectionClose()
	close(e.done)
	c.answers <- e
}

// lose cancels what runs for a caller that is gone.
func (c *connection) lose() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.gone = true
	for e := range c.active {
		e.cancel()
	}
}

// write writes the answers in the order of their requests.
func (c *connection) write() {
	writer := bufio.NewWriterSize(c.raw, firstBufferBytes)
	broken := false
	for e := range c.answers {
		<-e.done
		if !broken && !c.answer(writer, e) {
			broken = true
			// Requests behind this answer have not been read, as far as the
			// caller can tell.
			c.lose()
			c.hangUp()
		}
		c.end(e)
	}
	if !c.closing.Load() {
		_ = c.raw.Close()
	}
	c.server.mutex.Lock()
	delete(c.server.open, c)
	c.server.mutex.Unlock()
}

// hangUp ends the connection behind the last answer. The reading goroutine
// closes it when the caller has seen that.
func (c *connection) hangUp() {
	half, ok := c.raw.(interface{ CloseWrite() error })
	if !c.closing.Load() || !ok || half.CloseWrite() != nil {
		_ = c.raw.Close()
		return
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
}

// closes says whether the connection ends behind the answer: its caller wants
// that, or the server drains and no further request is under way.
func (c *connection) closes(e *Exchange) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if e.Response.ConnectionClose() || e.Request.ConnectionClose() || c.server.draining.Load() && len(c.active) == 1 {
		c.closing.Store(true)
		return true
	}
	return false
}

// answer writes one answer and says whether the connection goes on.
func (c *connection) answer(writer *bufio.Writer, e *Exchange) bool {
	if e.Abort || e.ctx.Err() != nil {
		return false
	}
	closes := c.closes(e)
	if closes {
		e.Response.SetConnectionClose()
	}
	e.Response.SkipBody = e.Request.Header.IsHead()
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := e.Response.Write(writer); err != nil {
		return false
	}
	if err := writer.Flush(); err != nil {
		return false
	}
	return !closes
}

// leave takes out an exchange whose answer is out, and says whether the
// connection ends with it though the answer could not say so yet: the server
// finished while the answer was being written.
func (c *connection) leave(e *Exchange) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.active, e)
	if !c.finishing || len(c.active) > 0 || c.closing.Load() {
		return false
	}
	c.closing.Store(true)
	return true
}

func (c *connection) end(e *Exchange) {
	e.cancel()
	c.server.inFlight.Add(-1)
	if c.leave(e) {
		c.hangUp()
	}
	fasthttp.ReleaseRequest(e.Request)
	fasthttp.ReleaseResponse(e.Response)
}
