package kqobject

import (
	"bufio"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// heartbeatInterval is the interval at which a watch writes a blank line, so
// that a client can distinguish an idle watch from a broken connection.
const heartbeatInterval = time.Second

// headerEra names the header with the era of the store: one more than the number
// of its restores from a copy.
const headerEra = "Store-Era"

// errorBody is the JSON body of an error answer.
type errorBody struct {
	Reason  string `json:"reason"`
	Message string `json:"message"`
}

// Listen starts to serve on a TCP address. [Store.Close] stops it.
func (s *Store) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	s.address = listener.Addr().String()
	s.server = &fasthttp.Server{Handler: s.handle, MaxRequestBodySize: MaxValueBytes + 4096, NoDefaultServerHeader: true, CloseOnShutdown: true}
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

// Close ends all watches and stops serving.
func (s *Store) Close() error {
	faults := Faults{CutWatches: true}
	s.SetFaults(faults)
	return errors.Wrap(s.server.Shutdown(), "stop store")
}

func (s *Store) handle(c *fasthttp.RequestCtx) {
	s.mutex.Lock()
	faults := s.faults
	s.mutex.Unlock()
	if string(c.Path()) == "/faults" {
		s.handleFaults(c)
		return
	}
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	era := s.currentEra()
	c.Response.Header.Set(headerEra, strconv.FormatInt(era, 10))
	if faults.Down {
		writeJSON(c, fasthttp.StatusServiceUnavailable, errorBody{"Unavailable", "the store is down"})
		return
	}
	s.handleObject(c)
	if s.currentEra() != era {
		writeJSON(c, fasthttp.StatusServiceUnavailable, errorBody{"Unavailable", "the store was restored meanwhile"})
	}
}

// currentEra returns the era of the store.
func (s *Store) currentEra() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era
}

// handleObject answers a call for one object or for a kind of objects.
func (s *Store) handleObject(c *fasthttp.RequestCtx) {
	p, ok := parsePath(string(c.Path()))
	if !ok {
		writeJSON(c, fasthttp.StatusNotFound, errorBody{"NotFound", "no such path"})
		return
	}
	switch {
	case c.IsGet() && c.QueryArgs().GetBool("watch"):
		s.handleWatch(c, p)
	case c.IsGet() && p.name == "":
		objects, version := s.list(p)
		writeJSON(c, fasthttp.StatusOK, struct {
			Metadata Metadata `json:"metadata"`
			Items    []Object `json:"items"`
		}{Metadata{ResourceVersion: version}, objects})
	case c.IsGet():
		s.handleGet(c, p)
	case c.IsPut() && p.name != "":
		s.handlePut(c, p)
	case c.IsDelete() && p.name != "":
		if err := s.remove(p, string(c.QueryArgs().Peek("resourceVersion"))); err != nil {
			writeJSON(c, fasthttp.StatusConflict, errorBody{"Conflict", err.Error()})
			return
		}
		writeJSON(c, fasthttp.StatusOK, struct{}{})
	default:
		writeJSON(c, fasthttp.StatusMethodNotAllowed, errorBody{"MethodNotAllowed", "GET, PUT or DELETE"})
	}
}

// handleFaults sets the injected faults on a PUT and answers with the counts of
// calls. It serves trials whose store runs in another process.
func (s *Store) handleFaults(c *fasthttp.RequestCtx) {
	if c.IsPut() {
		var f Faults
		if err := json.Unmarshal(c.PostBody(), &f); err != nil {
			writeJSON(c, fasthttp.StatusBadRequest, errorBody{"BadRequest", err.Error()})
			return
		}
		s.SetFaults(f)
	}
	writeJSON(c, fasthttp.StatusOK, s.Counts())
}

func (s *Store) handleGet(c *fasthttp.RequestCtx, p path) {
	o, found := s.get(p)
	if !found {
		writeJSON(c, fasthttp.StatusNotFound, errorBody{"NotFound", p.name + " is not there"})
		return
	}
	writeJSON(c, fasthttp.StatusOK, o)
}

func (s *Store) handlePut(c *fasthttp.RequestCtx, p path) {
	var o Object
	if err := json.Unmarshal(c.PostBody(), &o); err != nil {
		writeJSON(c, fasthttp.StatusBadRequest, errorBody{"BadRequest", err.Error()})
		return
	}
	if delay, late := s.consumeLateWrite(); late {
		time.AfterFunc(delay, func() {
			// A stale version means that the condition no longer holds.
			_, _ = s.put(p, o)
		})
		dropAnswer(c)
		return
	}
	written, err := s.put(p, o)
	if s.consumeLostAnswer() {
		dropAnswer(c)
		return
	}
	if err != nil {
		writeJSON(c, fasthttp.StatusConflict, errorBody{"Conflict", "version is " + written.Metadata.ResourceVersion})
		return
	}
	writeJSON(c, fasthttp.StatusOK, written)
}

// dropAnswer closes the connection without an answer.
func dropAnswer(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(net.Conn) {})
}

// consumeLateWrite reports whether this write must be processed late, and by how
// much, and decrements the number of writes still to delay.
func (s *Store) consumeLateWrite() (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.LateWrites == 0 {
		return 0, false
	}
	s.faults.LateWrites--
	return s.faults.LateBy, true
}

// consumeLostAnswer reports whether the answer to this write must be dropped, and
// decrements the number of answers still to drop.
func (s *Store) consumeLostAnswer() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

func (s *Store) handleWatch(c *fasthttp.RequestCtx, p path) {
	from, err := strconv.ParseInt(string(c.QueryArgs().Peek("resourceVersion")), 10, 64)
	if err != nil {
		from = 0
	}
	s.mutex.Lock()
	s.counts.Watches++
	unknown := from > s.version || len(s.history) > 0 && from < s.history[0].version-1
	refused := s.faults.CutWatches
	era := s.era
	s.mutex.Unlock()
	if unknown {
		writeJSON(c, fasthttp.StatusGone, errorBody{"Expired", "the store does not have the version"})
		return
	}
	if refused {
		writeJSON(c, fasthttp.StatusServiceUnavailable, errorBody{"Unavailable", "watches are cut"})
		return
	}
	c.SetBodyStreamWriter(func(w *bufio.Writer) { s.stream(w, p, from, era) })
}

// stream writes events until a write to the client fails or the store ends the
// watch.
func (s *Store) stream(w *bufio.Writer, p path, from, era int64) {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		events, changed, ended := s.eventsAfter(p, from, era)
		if ended {
			return
		}
		for _, e := range events {
			from = e.version
			if !writeEvent(w, e.event) {
				return
			}
		}
		if w.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			if _, err := w.WriteString("\n"); err != nil {
				return
			}
		}
	}
}

// writeEvent writes an event as one line and reports whether it succeeded.
func writeEvent(w *bufio.Writer, e Event) bool {
	line, err := json.Marshal(e)
	if err != nil {
		return false
	}
	_, err = w.Write(append(line, '\n'))
	return err == nil
}

// eventsAfter returns the events after a version that match the path, a channel
// that is closed at the next change, and whether the watch must end.
func (s *Store) eventsAfter(p path, from, era int64) ([]historyEntry, chan struct{}, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.SilentWatches {
		return nil, s.changed, false
	}
	var events []historyEntry
	for _, e := range s.history {
		if e.version > from && e.kind == p.kind && (p.name == "" || p.name == e.event.Object.Metadata.Name) {
			events = append(events, e)
		}
	}
	return events, s.changed, s.faults.CutWatches || s.faults.Down || era != s.era
}

// writeJSON answers a request with a status and a JSON body.
func writeJSON(c *fasthttp.RequestCtx, code int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		code, data = fasthttp.StatusInternalServerError, nil
	}
	c.SetStatusCode(code)
	c.SetContentType("application/json")
	c.SetBody(data)
}
