package kqedge

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqrequest"
	"kumquatlink/io/kqbody"
)

// connection is the connection of a caller. One goroutine reads its requests and
// another one writes the answers.
type connection struct {
	server *Server
	raw    net.Conn
	// answers holds the exchanges in the order of their requests.
	answers chan *Exchange
	mutex   sync.Mutex
	// active holds the exchanges that have been read and not yet answered.
	active map[*Exchange]struct{}
	// callerGone reports whether the caller has disconnected or the connection
	// has ended: further exchanges are cancelled at once.
	callerGone bool
	// closing reports whether the connection ends after the answers that are
	// due: no further request is read.
	closing atomic.Bool
	// shuttingDown reports whether no more requests may start, while answers are
	// still due, and reading whether a request has been partly read.
	shuttingDown bool
	reading      bool
	// idleSince is when the connection was opened or its last answer written.
	idleSince time.Time
	// held is the number of bytes of answers that are ready and not yet written.
	held atomic.Int64
	// progressAt is when the writing of an answer began or the caller took a piece of it,
	// in Unix nanoseconds, or 0 if no answer is being written.
	progressAt atomic.Int64
}

// input reads from a connection. While a body is read, its sender may take a pause of
// bodyPause before each part, until bodyEnd.
type input struct {
	net.Conn
	bodyPause time.Duration
	bodyEnd   time.Time
}

// Read reads what has arrived, like the connection.
func (i *input) Read(p []byte) (int, error) {
	if i.bodyPause > 0 {
		until := time.Now().Add(i.bodyPause)
		if until.After(i.bodyEnd) {
			until = i.bodyEnd
		}
		if err := i.SetReadDeadline(until); err != nil {
			return 0, err
		}
	}
	return i.Conn.Read(p)
}

// beginBody lets the sender of a body take its time, beyond that of the header.
func (i *input) beginBody(pause time.Duration) {
	i.bodyPause, i.bodyEnd = pause, time.Now().Add(max(pause, maxBodyTime))
}

// endBody ends the time for a body.
func (i *input) endBody() {
	i.bodyPause = 0
}

// idle reports whether no request is being read or answered, and since when.
func (c *connection) idle() (time.Time, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.idleSince, !c.reading && len(c.active) == 0 && !c.closing.Load()
}

// shutdown lets the connection start no more requests. A request that begins to
// arrive within LateRequestTime, or has begun already, is read whole and refused.
func (c *connection) shutdown() {
	c.mutex.Lock()
	c.shuttingDown = true
	c.mutex.Unlock()
	time.AfterFunc(LateRequestTime, c.closeIfIdle)
}

// closeIfIdle closes the connection unless it is reading a request or has an
// answer due.
func (c *connection) closeIfIdle() {
	c.mutex.Lock()
	idle := len(c.active) == 0 && !c.reading
	if idle {
		c.closing.Store(true)
	}
	c.mutex.Unlock()
	if idle {
		c.closeGracefully()
	}
}

// readRequests reads and dispatches requests until the caller disconnects, and
// then cancels those that are running.
func (c *connection) readRequests() {
	defer close(c.answers)
	defer c.endReading()
	limits := c.server.limits().WithDefaults()
	in := &input{Conn: c.raw}
	reader := bufio.NewReaderSize(in, initialBufferBytes)
	var previous *Exchange
	for !c.closing.Load() {
		if !c.awaitRequest(reader, limits.IdleTime) || !c.beginReading() {
			break
		}
		limits = c.server.limits().WithDefaults()
		e := &Exchange{
			Request: fasthttp.AcquireRequest(), Response: fasthttp.AcquireResponse(), started: make(chan struct{}), done: make(chan struct{}),
			releaseRequest: func() {}, releaseResponse: func() {},
		}
		e.ctx, e.cancel = context.WithCancel(context.Background())
		_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTime))
		var err error
		reader, err = c.readRequest(in, reader, e, limits)
		e.ReceivedAt = time.Now()
		if err != nil {
			c.refuse(e, err)
			return
		}
		_ = c.raw.SetReadDeadline(time.Time{})
		if c.mustRefuse() {
			c.refuse(e, ErrShuttingDown)
			return
		}
		if !c.register(e) {
			e.releaseRequest()
			// Earlier requests keep running until they are answered.
			c.awaitDisconnect()
			return
		}
		c.endReading()
		if !c.dispatch(e, previous) {
			return
		}
		previous = e
	}
	c.cancelAll()
	if c.closing.Load() {
		c.lingerAndClose()
	}
}

// lingerAndClose discards what the caller still sends after the last answer, and
// then closes the connection. Closing it with unread bytes would reset it, and
// the caller might lose the answer.
func (c *connection) lingerAndClose() {
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.raw)
	_ = c.raw.Close()
}

// mayRunConcurrently reports whether the request may start before the earlier
// requests of its connection have been answered. GET and HEAD requests may, since
// a caller may repeat them.
func mayRunConcurrently(e *Exchange) bool {
	return e.Request.Header.IsGet() || e.Request.Header.IsHead()
}

// awaitRequest waits for the first byte of a request and reports whether one
// arrived. The idle timeout does not apply while requests are running.
func (c *connection) awaitRequest(reader *bufio.Reader, idle time.Duration) bool {
	for {
		deadline := time.Now().Add(idle)
		_ = c.raw.SetReadDeadline(deadline)
		if c.closing.Load() {
			// closeGracefully may have set its own deadline just before, which
			// the line above has overwritten.
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

// isActive reports whether an answer is due.
func (c *connection) isActive() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.active) > 0
}

// readRequest reads a request. If its head does not fit into the buffer of reader, it
// goes on with a larger one. It returns the reader to use next. The time for a head ends
// when that is read; a body may take as long as the sender does not pause for longer
// than an idle connection may, up to maxBodyTime.
func (c *connection) readRequest(in *input, reader *bufio.Reader, e *Exchange, limits Limits) (*bufio.Reader, error) {
	reader, head, err := awaitHead(in, reader, limits)
	if err != nil {
		return reader, err
	}
	if c.server.memory.Excess() > maxExcess {
		return reader, errors.Mark(errors.New("memory is short"), kqbody.ErrNoRoom)
	}
	framing, length := head.Framing()
	switch {
	case length > limits.BodyBytes:
		return reader, errors.Mark(errors.Newf("body of %d bytes", length), kqbody.ErrTooLarge)
	case !c.server.bodyBudget.HasRoom(length):
		// Refused before the caller has sent the body.
		return reader, errors.Mark(errors.Newf("body of %d bytes", length), kqbody.ErrNoRoom)
	}
	if err := decodeHead(e.Request, reader); err != nil {
		return reader, err
	}
	if e.Request.MayContinue() {
		// The caller may wait for the interim answer, which may wait for earlier answers.
		_ = c.raw.SetReadDeadline(time.Time{})
		if c.closing.Load() {
			// The line above may have overwritten the deadline of closeGracefully.
			_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
		}
		c.answers <- newInterim(limits.IdleTime)
		if _, err := reader.Peek(1); err != nil {
			return reader, err
		}
	}
	in.beginBody(limits.IdleTime)
	defer in.endBody()
	if framing == kqrequest.FramingChunks {
		return reader, c.server.readChunks(reader, e, limits)
	}
	return reader, c.server.readBody(reader, e, limits.BodyBytes)
}

// readBody reads the body of a request, of at most maxBytes, unless it is in chunks. For
// a large body, memory is allocated as bytes arrive, within the server's budget, and
// counts until the exchange is finished.
func (s *Server) readBody(reader *bufio.Reader, e *Exchange, maxBytes int) error {
	r := e.Request
	length := r.Header.ContentLength()
	if length <= kqbody.SmallBytes {
		return r.ContinueReadBody(reader, maxBytes, false)
	}
	if err := r.ContinueReadBodyStream(reader, maxBytes, false); err != nil {
		return err
	}
	body, release, err := s.bodyBudget.Hold(r.BodyStream(), length, maxBytes)
	if err == nil && length > len(body) {
		err = io.ErrUnexpectedEOF
	}
	return e.setBody(body, release, err)
}

// readChunks reads a body in chunks within the limits, like readBody.
func (s *Server) readChunks(reader *bufio.Reader, e *Exchange, limits Limits) error {
	chunks := &chunkedBody{reader: reader, room: limits.BodyBytes, trailerRoom: limits.HeaderBytes}
	return e.setBody(s.bodyBudget.Hold(chunks, -1, limits.BodyBytes))
}

// setBody sets the body of the request, and what gives its memory back. With an error it
// gives that back at once.
func (e *Exchange) setBody(body []byte, release func(), err error) error {
	if err != nil {
		release()
		return err
	}
	e.Request.SetBodyRaw(body)
	e.releaseRequest = release
	return nil
}

// beginReading records that a request is being read. It returns false if the
// connection is closing, so that the request must not be read.
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

// endReading records that a request has been read or abandoned.
func (c *connection) endReading() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.reading {
		c.reading = false
		c.server.reading.Add(-1)
	}
}

// mustRefuse reports whether a request that was read is answered with a refusal
// because the server is shutting down. If earlier answers are due, the request
// counts as unread instead: the last answer says that the connection closes.
func (c *connection) mustRefuse() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.shuttingDown && !c.closing.Load() && len(c.active) == 0
}

// register adds a request to those in flight. It returns false if an answer has
// already said that the connection closes, or if the server is shutting down
// and the request is not a refused one.
func (c *connection) register(e *Exchange) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing.Load() || c.shuttingDown && !e.refused {
		return false
	}
	e.charged = exchangeBytes
	c.server.memory.Add(exchangeBytes)
	c.server.inFlight.Add(1)
	c.server.lastReceived.Store(e.ReceivedAt.UnixNano())
	if c.active == nil {
		c.active = map[*Exchange]struct{}{}
	}
	c.active[e] = struct{}{}
	if c.callerGone {
		e.cancel()
	}
	return true
}

// dispatch queues the exchange for its answer and runs the handler, now or after that of
// the previous exchange. It returns false if no further request is read.
func (c *connection) dispatch(e, previous *Exchange) bool {
	isLast := e.Request.ConnectionClose()
	if isLast {
		c.closing.Store(true)
	}
	c.answers <- e
	if earlier := mustAwait(e, previous); earlier != nil {
		if size := len(e.Request.Body()); size <= kqbody.SmallBytes {
			// Of the requests that wait a connection may hold many.
			e.releaseRequest = c.server.memory.Charge(size)
		}
		go c.startAfter(earlier, e)
	} else if !c.start(e) {
		return false
	}
	if isLast {
		// No further request is read, but a disconnect must still cancel.
		c.awaitDisconnect()
		return false
	}
	return true
}

// mustAwait returns a channel that is closed when the handler of the request may run, or
// nil if it may now.
func mustAwait(e, previous *Exchange) <-chan struct{} {
	if previous == nil {
		return nil
	}
	earlier := previous.done
	if mayRunConcurrently(e) {
		earlier = previous.started
	}
	select {
	case <-earlier:
		return nil
	default:
		return earlier
	}
}

// startAfter runs the handler once the channel is closed, unless the request is cancelled
// before. The reading goroutine does not wait for that: it has to notice that the caller
// disconnects.
func (c *connection) startAfter(previous <-chan struct{}, e *Exchange) {
	select {
	case <-previous:
	case <-e.ctx.Done():
	}
	if e.ctx.Err() != nil {
		e.Abort = true
		close(e.started)
		close(e.done)
		return
	}
	c.start(e)
}

// start runs the handler. It returns false if there is no room for it; the connection ends
// then.
func (c *connection) start(e *Exchange) bool {
	defer close(e.started)
	err := c.server.submit(func() {
		defer close(e.done)
		defer c.holdAnswer(e)
		isAnswered := false
		defer func() {
			if !isAnswered {
				// An unfilled response has the status 200.
				e.Response.Reset()
				e.Response.SetStatusCode(fasthttp.StatusInternalServerError)
			}
		}()
		c.server.handle(e.ctx, e)
		isAnswered = true
	})
	if err != nil {
		e.Abort = true
		close(e.done)
	}
	return err == nil
}

// awaitDisconnect discards input until the caller closes its side, or until
// lingerTime after the last answer was written. It then cancels what is running
// and closes the connection.
func (c *connection) awaitDisconnect() {
	if !c.closing.Load() {
		_ = c.raw.SetReadDeadline(time.Time{})
		if c.closing.Load() {
			_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
		}
	}
	_, _ = io.Copy(io.Discard, c.raw)
	c.cancelAll()
	_ = c.raw.Close()
}

// refuse answers a request that can't be read or taken, and ends the connection.
// A request whose caller disconnected or was too slow gets no answer.
func (c *connection) refuse(e *Exchange, err error) {
	e.releaseRequest()
	e.releaseRequest = func() {}
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		c.cancelAll()
		return
	}
	var timeout net.Error
	if errors.As(err, &timeout) {
		c.cancelAll()
		_ = c.raw.Close()
		return
	}
	e.refused = true
	if !c.register(e) {
		c.awaitDisconnect()
		return
	}
	c.closing.Store(true)
	c.server.refused(e.Response, err)
	e.Response.SetConnectionClose()
	close(e.done)
	c.answers <- e
}

// cancelAll cancels the requests of a caller that has disconnected, and those
// that are registered later.
func (c *connection) cancelAll() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.callerGone = true
	for e := range c.active {
		e.cancel()
	}
}

// newInterim returns an exchange that stands for the interim answer to a request in the
// queue of answers. Once it is written, the body has to begin within bodyTime.
func newInterim(bodyTime time.Duration) *Exchange {
	return &Exchange{interim: bodyTime}
}

// writeInterim writes an interim answer and reports whether the connection stays open.
func (c *connection) writeInterim(writer *bufio.Writer, e *Exchange) bool {
	now := time.Now()
	_ = c.raw.SetWriteDeadline(now.Add(writeTimeout))
	_, err := writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
	if err != nil || writer.Flush() != nil {
		return false
	}
	_ = c.raw.SetReadDeadline(now.Add(e.interim))
	return true
}

// writeAnswers writes the answers in the order of their requests.
func (c *connection) writeAnswers() {
	writer := bufio.NewWriterSize(output{c}, initialBufferBytes)
	ended := false
	for e := range c.answers {
		if e.interim > 0 {
			if !ended && !c.writeInterim(writer, e) {
				ended = true
				c.cancelAll()
				c.closeGracefully()
			}
			continue
		}
		<-e.done
		if !ended && !c.writeAnswer(writer, e) {
			ended = true
			// No later request gets an answer: for the caller they count as
			// unread.
			c.cancelAll()
			c.closeGracefully()
		}
		c.finishExchange(e)
	}
	if !c.closing.Load() {
		_ = c.raw.Close()
	}
	c.server.mutex.Lock()
	delete(c.server.connections, c)
	c.server.mutex.Unlock()
}

// closeGracefully closes the sending direction after the last answer. The
// reading goroutine closes the connection once the caller has closed its side,
// or after lingerTime. A connection that can't be half-closed, or that ends
// without a last answer, is closed at once.
func (c *connection) closeGracefully() {
	halfCloser, ok := c.raw.(interface{ CloseWrite() error })
	if !c.closing.Load() || !ok || halfCloser.CloseWrite() != nil {
		_ = c.raw.Close()
		return
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
}

// shouldClose decides whether the connection closes after the answer: the
// request or the answer asks for it, or the server is draining and no other
// request is in flight.
func (c *connection) shouldClose(e *Exchange) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if e.Response.ConnectionClose() || e.Request.ConnectionClose() || c.server.draining.Load() && len(c.active) == 1 {
		c.closing.Store(true)
		return true
	}
	return false
}

// writeAnswer writes an answer and reports whether the connection stays open.
func (c *connection) writeAnswer(writer *bufio.Writer, e *Exchange) bool {
	if e.Abort || e.ctx.Err() != nil {
		return false
	}
	closes := c.shouldClose(e)
	if closes {
		e.Response.SetConnectionClose()
	}
	e.Response.SkipBody = e.Request.Header.IsHead()
	now := time.Now()
	c.progressAt.Store(now.UnixNano())
	defer c.progressAt.Store(0)
	_ = c.raw.SetWriteDeadline(now.Add(writeTimeout))
	if err := e.Response.Write(writer); err != nil {
		return false
	}
	if err := writer.Flush(); err != nil {
		return false
	}
	return !closes
}

// unregister removes an exchange whose answer was written. It reports whether
// the connection must close although the answer did not say so, because the
// server began to shut down while the answer was being written.
func (c *connection) unregister(e *Exchange) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.active, e)
	c.idleSince = time.Now()
	if !c.shuttingDown || len(c.active) > 0 || c.closing.Load() {
		return false
	}
	c.closing.Store(true)
	return true
}

// finishExchange removes an exchange from those in flight and releases its
// buffers.
func (c *connection) finishExchange(e *Exchange) {
	e.cancel()
	c.server.inFlight.Add(-1)
	if c.unregister(e) {
		c.closeGracefully()
	}
	fasthttp.ReleaseRequest(e.Request)
	fasthttp.ReleaseResponse(e.Response)
	e.releaseRequest()
	e.releaseResponse()
	c.server.memory.Add(-e.charged)
	c.held.Add(-e.held)
}
