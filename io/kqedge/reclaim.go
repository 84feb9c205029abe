package kqedge

import (
	"cmp"
	"slices"
	"time"
)

// Stalled describes a caller that was closed because it did not read its answers while
// memory was short.
type Stalled struct {
	// Address is the caller's address, and Bytes the size of its answers that waited.
	Address string
	Bytes   int
	// Time is how long the caller had not taken a piece of its answer.
	Time time.Duration
}

// output writes to a connection in pieces and records the caller's progress.
type output struct {
	connection *connection
}

// Write writes p.
func (o output) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(len(p), written+pieceBytes)]
		n, err := o.connection.raw.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
		o.connection.progressAt.Store(time.Now().UnixNano())
		if written == len(p) {
			return written, nil
		}
	}
}

// holdAnswer counts an answer from when it is ready until it has been written. The body of
// the request is not used any more.
func (c *connection) holdAnswer(e *Exchange) {
	e.Request.ResetBody()
	e.releaseRequest()
	e.releaseRequest = func() {}
	if e.Response.IsBodyStream() {
		return
	}
	size := len(e.Response.Body())
	e.held = int64(size) + exchangeBytes
	if held := c.held.Add(e.held); held > e.held && c.server.memory.Excess() > maxExcess {
		// An answer before it is not written yet: the caller does not keep up.
		e.Abort = true
		e.Response.ResetBody()
		if e.ReleaseBody != nil {
			e.ReleaseBody()
		}
		c.closeStalled(Stalled{Address: c.raw.RemoteAddr().String(), Bytes: int(held)})
		return
	}
	if release := e.ReleaseBody; release != nil {
		e.releaseResponse = release
		return
	}
	e.charged += size
	c.server.memory.Add(size)
}

// Reclaim closes callers that don't read their answers, while memory is short: those that
// hold most first. It does not block.
func (s *Server) Reclaim() {
	if s.reclaiming.CompareAndSwap(false, true) {
		go s.reclaim()
	}
}

// reclaim closes stalled callers until memory is not short any more.
func (s *Server) reclaim() {
	ticker := time.NewTicker(reclaimPeriod)
	defer ticker.Stop()
	for missing := s.memory.Missing(); missing > 0 && !s.isClosed(); missing = s.memory.Missing() {
		limit := stallTime
		if s.memory.Excess() > 0 {
			limit = excessStallTime
		}
		s.closeStalled(time.Now(), limit, missing)
		<-ticker.C
	}
	s.reclaiming.Store(false)
	if s.memory.Missing() > 0 && !s.isClosed() {
		// Memory has become short again meanwhile.
		s.Reclaim()
	}
}

func (s *Server) isClosed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closed
}

// closeStalled closes callers that have taken no piece of their answer for limit, those
// that hold most first, until they held the missing bytes.
func (s *Server) closeStalled(now time.Time, limit time.Duration, missing int) {
	type candidate struct {
		connection *connection
		progressAt int64
		Stalled
	}
	var found []candidate
	s.mutex.Lock()
	for c := range s.connections {
		progressAt := c.progressAt.Load()
		stalled := now.Sub(time.Unix(0, progressAt))
		if progressAt > 0 && stalled >= limit {
			found = append(found, candidate{c, progressAt, Stalled{Address: c.raw.RemoteAddr().String(), Bytes: int(c.held.Load()), Time: stalled}})
		}
	}
	s.mutex.Unlock()
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(b.Time, a.Time))
	})
	for _, f := range found {
		if missing <= 0 {
			return
		}
		if f.connection.progressAt.Load() != f.progressAt {
			continue
		}
		missing -= f.Bytes
		f.connection.closeStalled(f.Stalled)
	}
}

// closeStalled closes the connection and cancels its requests, so that no more answers
// wait for it.
func (c *connection) closeStalled(s Stalled) {
	c.cancelAll()
	if c.raw.Close() == nil {
		c.server.reclaimed(s)
	}
}
