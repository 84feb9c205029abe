package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is a stand-in of the server beside a node. It runs requests with a
// handler of the case.
type Server struct {
	ID      string
	fleet   *Fleet
	machine *Machine
	born    int64
	slots   int
	server  *http.Server
	stop    chan struct{}

	mutex    sync.Mutex
	sequence int64
	leaving  bool
}

// NewServer starts a server on the machine, which sends heartbeats to the node
// beside it.
func (f *Fleet) NewServer(m *Machine, id string, slots int, run http.HandlerFunc) (*Server, error) {
	l, err := net.Listen("tcp", m.App)
	if err != nil {
		return nil, err
	}
	return f.serve(m, id, slots, run, l)
}

func (f *Fleet) serve(m *Machine, id string, slots int, run http.HandlerFunc, l net.Listener) (*Server, error) {
	s := &Server{ID: id, fleet: f, machine: m, born: time.Now().UnixMilli(), slots: slots, stop: make(chan struct{})}
	s.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			s.answerHealth(w)
			return
		}
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		if expected := r.Header.Get(names.ExpectServer); expected != "" && expected != s.ID {
			w.Header().Set(names.ServerID, s.ID)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set(names.Stamp, "stamp-of-"+s.ID)
		run(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	go s.beat()
	return s, nil
}

func (s *Server) answerHealth(w http.ResponseWriter) {
	w.Header().Set(names.ServerID, s.ID)
	w.Header().Set(names.Load, fmt.Sprintf("0,0,%d", s.slots))
	s.mutex.Lock()
	leaving := s.leaving
	s.mutex.Unlock()
	if leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) beat() {
	ticker := time.NewTicker(1500 * time.Millisecond)
	defer ticker.Stop()
	for {
		s.mutex.Lock()
		state := "ready"
		if s.leaving {
			state = "draining"
		}
		s.mutex.Unlock()
		_ = s.Heartbeat(state)()
		select {
		case <-ticker.C:
		case <-s.stop:
			return
		}
	}
}

// Leave tells the node beside the server that it leaves, without having reported
// before that it drains, and returns the status of the answer. The server sends no
// further heartbeats, and its health check fails; it goes on to serve.
func (s *Server) Leave() int {
	s.mutex.Lock()
	s.leaving = true
	s.sequence++
	body, _ := json.Marshal(map[string]any{"sequence": s.sequence, "born": s.born})
	s.mutex.Unlock()
	close(s.stop)
	return s.post(names.LeavePath, body)
}

// Heartbeat returns a function that sends the next heartbeat, made now, however late.
func (s *Server) Heartbeat(state string) func() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": s.machine.Service, "address": s.machine.App, "zone": s.machine.Zone, "version": "v1", "slots": s.slots,
		"state": state, names.ColdField: "0ms", "sequence": s.sequence, "born": s.born,
	})
	return func() int { return s.post(names.BeatPath, body) }
}

func (s *Server) post(path string, body []byte) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Post("http://"+s.machine.Control+path+s.ID, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode
}

// End ends the server, after [Server.Leave] or without notice.
func (s *Server) End() {
	s.mutex.Lock()
	leaving := s.leaving
	s.leaving = true
	s.mutex.Unlock()
	if !leaving {
		close(s.stop)
	}
	_ = s.server.Close()
}
