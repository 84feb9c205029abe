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

// watchBeat is how often an idle watch writes a blank line, so that a watcher
// can tell an idle watch from a silent one.
const watchBeat = time.Second

// status is the body of a refusal.
type status struct {
	Reason  string `json:"reason"`
	Message string `json:"message"`
}

// Listen starts to serve at a TCP address.
func (s *Store) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen at %s", address)
	}
	s.address = listener.Addr().String()
	s.server = &fasthttp.Server{Handler: s.handle, MaxRequestBodySize: MaxValueBytes + 4096, NoDefaultServerHeader: true, CloseOnShutdown: true}
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

// Close ends all watches and stops serving.
func (s *Store) Close() error {
	f := Faults{CutWatches: true}
	s.SetFaults(f)
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
	if faults.Down {
		answer(c, fasthttp.StatusServiceUnavailable, status{"Unavailable", "the store is down"})
		return
	}
	p, ok := parsePath(string(c.Path()))
	if !ok {
		answer(c, fasthttp.StatusNotFound, status{"NotFound", "no such path"})
		return
	}
	switch {
	case c.IsGet() && c.QueryArgs().GetBool("watch"):
		s.handleWatch(c, p)
	case c.IsGet() && p.name == "":
		objects, version := s.list(p)
		answer(c, fasthttp.StatusOK, struct {
			Metadata Metadata `json:"metadata"`
			Items    []Object `json:"items"`
		}{Metadata{ResourceVersion: version}, objects})
	case c.IsGet():
		s.handleGet(c, p)
	case c.IsPut() && p.name != "":
		s.handlePut(c, p)
	case c.IsDelete() && p.name != "":
		if err := s.remove(p, string(c.QueryArgs().Peek("resourceVersion"))); err != nil {
			answer(c, fasthttp.StatusConflict, status{"Conflict", err.Error()})
			return
		}
		answer(c, fasthttp.StatusOK, struct{}{})
	default:
		answer(c, fasthttp.StatusMethodNotAllowed, status{"MethodNotAllowed", "GET, PUT or DELETE"})
	}
}

// handleFaults lets trials set the switches from outside.
func (s *Store) handleFaults(c *fasthttp.RequestCtx) {
	if c.IsPut() {
		var f Faults
		if err := json.Unmarshal(c.PostBody(), &f); err != nil {
			answer(c, fasthttp.StatusBadRequest, status{"BadRequest", err.Error()})
			return
		}
		s.SetFaults(f)
	}
	answer(c, fasthttp.StatusOK, s.Counts())
}

func (s *Store) handleGet(c *fasthttp.RequestCtx, p path) {
	o, found := s.get(p)
	if !found {
		answer(c, fasthttp.StatusNotFound, status{"NotFound", p.name + " is not there"})
		return
	}
	answer(c, fasthttp.StatusOK, o)
}

func (s *Store) handlePut(c *fasthttp.RequestCtx, p path) {
	var o Object
	if err := json.Unmarshal(c.PostBody(), &o); err != nil {
		answer(c, fasthttp.StatusBadRequest, status{"BadRequest", err.Error()})
		return
	}
	written, err := s.put(p, o)
	if s.takeLoss() {
		c.HijackSetNoResponse(true)
		c.Hijack(func(net.Conn) {})
		return
	}
	if err != nil {
		answer(c, fasthttp.StatusConflict, status{"Conflict", "version is " + written.Metadata.ResourceVersion})
		return
	}
	answer(c, fasthttp.StatusOK, written)
}

// takeLoss is whether the answer of this write is to be lost.
func (s *Store) takeLoss() bool {
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
	tooOld := len(s.history) > 0 && from < s.history[0].version-1
	cut := s.faults.CutWatches
	epoch := s.epoch
	s.mutex.Unlock()
	if tooOld {
		answer(c, fasthttp.StatusGone, status{"Expired", "the version is too old"})
		return
	}
	if cut {
		answer(c, fasthttp.StatusServiceUnavailable, status{"Unavailable", "watches are cut"})
		return
	}
	c.SetBodyStreamWriter(func(w *bufio.Writer) { s.stream(w, p, from, epoch) })
}

// stream writes events until the watcher has gone or the watch is cut.
func (s *Store) stream(w *bufio.Writer, p path, from int64, epoch int) {
	beat := time.NewTicker(watchBeat)
	defer beat.Stop()
	for {
		events, changed, cut := s.after(p, from, epoch)
		if cut {
			return
		}
		for _, e := range events {
			from = e.version
			if !writeLine(w, e.event) {
				return
			}
		}
		if w.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-beat.C:
			if _, err := w.WriteString("\n"); err != nil {
				return
			}
		}
	}
}

func writeLine(w *bufio.Writer, e Event) bool {
	line, err := json.Marshal(e)
	if err != nil {
		return false
	}
	_, err = w.Write(append(line, '\n'))
	return err == nil
}

// after lists the events of the kind behind a version.
func (s *Store) after(p path, from int64, epoch int) ([]entry, chan struct{}, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.SilentWatches {
		return nil, s.changed, false
	}
	var events []entry
	for _, e := range s.history {
		if e.version > from && e.kind == p.kind && (p.name == "" || p.name == e.event.Object.Metadata.Name) {
			events = append(events, e)
		}
	}
	return events, s.changed, s.faults.CutWatches || s.faults.Down || epoch != s.epoch
}

func answer(c *fasthttp.RequestCtx, code int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		code, data = fasthttp.StatusInternalServerError, nil
	}
	c.SetStatusCode(code)
	c.SetContentType("application/json")
	c.SetBody(data)
}
