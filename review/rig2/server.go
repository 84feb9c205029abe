package rig2

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Run is one request that a backend server has begun to work on.
type Run struct {
	ID, Method, Path, Caller, Team, Server string
	Body                                   int
	At                                     time.Time
	// Ended is when the server ended the work, zero while it works.
	Ended time.Time
	// Dropped reports whether the connection was closed while the server worked.
	Dropped bool
}

// Server is a backend server beside a node. It serves one request at a time on a
// connection.
type Server struct {
	ID, Service string
	Slots       int
	node        *Node
	record      *Record
	listener    net.Listener
	// Answer does the work for a request and writes the answer. The default waits for Work
	// and writes Size bytes.
	Answer func(c net.Conn, r *http.Request, run *Run)
	Work   time.Duration
	Size   int

	Born     int64
	sequence atomic.Int64
	state    atomic.Value
	stop     chan struct{}
	isMute   atomic.Bool
	// isUnwell has the health check answer 503.
	isUnwell atomic.Bool
	mutex    sync.Mutex
	runs     []*Run
	// open holds the connections, and crashes counts the crashes.
	open    map[net.Conn]bool
	crashes int
	isDown  bool
	// Ahead is called when the head of a request has come, before its body is read. If it
	// returns true, it has answered.
	Ahead func(c net.Conn, r *http.Request, body io.Reader) bool
}

// NewServer starts a backend server beside a node, with heartbeats.
func NewServer(n *Node, id string) *Server {
	s := &Server{
		ID: id, Service: n.Service, Slots: 36, node: n, record: n.fleet.Record, Work: 20 * time.Millisecond, Size: 1000,
		Born: time.Now().UnixMilli(), stop: make(chan struct{}), open: map[net.Conn]bool{},
	}
	s.state.Store("ready")
	s.Answer = s.answer
	l, err := net.Listen("tcp", n.App())
	if err != nil {
		n.fleet.Abort("server can't listen: %v", err)
	}
	s.listener = l
	go s.accept()
	go s.heartbeats()
	return s
}

// Runs returns the requests that the server has begun to work on.
func (s *Server) Runs() []Run {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	runs := make([]Run, 0, len(s.runs))
	for _, r := range s.runs {
		runs = append(runs, *r)
	}
	return runs
}

// SetState sets the state in the next heartbeats, and sends one.
func (s *Server) SetState(state string) int {
	s.state.Store(state)
	return s.Beat()
}

// SetHealth sets what the health check says, while the state is ready.
func (s *Server) SetHealth(isWell bool) { s.isUnwell.Store(!isWell) }

// Mute ends the heartbeats.
func (s *Server) Mute() { s.isMute.Store(true) }

// Stop ends the server and its heartbeats.
func (s *Server) Stop() {
	close(s.stop)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_ = s.listener.Close()
	for c := range s.open {
		_ = c.Close()
	}
}

// Crash ends the server without notice, and starts it again under its ID after a time.
func (s *Server) Crash(down time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isDown {
		return
	}
	s.isDown = true
	s.crashes++
	s.record.Printf("server %s crashes for %s, time number %d", s.ID, down, s.crashes)
	_ = s.listener.Close()
	for c := range s.open {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	s.open = map[net.Conn]bool{}
	time.AfterFunc(down, s.restart)
}

func (s *Server) restart() {
	l, err := net.Listen("tcp", s.node.App())
	if err != nil {
		s.node.fleet.Abort("server can't listen again: %v", err)
	}
	s.mutex.Lock()
	s.listener, s.isDown, s.Born = l, false, time.Now().UnixMilli()
	s.sequence.Store(0)
	s.mutex.Unlock()
	s.record.Printf("server %s is back", s.ID)
	go s.accept()
	s.Beat()
}

// Crashes returns how often the server has crashed.
func (s *Server) Crashes() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.crashes
}

// Beat sends a heartbeat and returns the status of the answer, 0 without one.
func (s *Server) Beat() int { return s.MakeBeat()() }

// MakeBeat makes a heartbeat, and returns the function that sends it.
func (s *Server) MakeBeat() func() int {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,%q:"0ms","sequence":%d,"born":%d}`,
		s.Service, s.node.App(), s.node.Zone, s.Slots, s.state.Load(), Name("cold"), s.sequence.Add(1), s.Born)
	return func() int { return s.post(Name("heartbeat")+s.ID, body) }
}

// Leave announces that the server leaves, and returns the status of the answer.
func (s *Server) Leave() int {
	return s.post(Name("leave")+s.ID, fmt.Sprintf(`{"born":%d,"sequence":%d}`, s.Born, s.sequence.Add(1)))
}

func (s *Server) post(path, body string) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Post("http://"+s.node.Control()+path, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode
}

func (s *Server) heartbeats() {
	for {
		s.mutex.Lock()
		isDown := s.isDown
		s.mutex.Unlock()
		if !isDown && !s.isMute.Load() {
			s.Beat()
		}
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-s.stop:
			return
		}
	}
}

func (s *Server) accept() {
	s.mutex.Lock()
	l := s.listener
	s.mutex.Unlock()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.open[c] = true
		s.mutex.Unlock()
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		s.mutex.Lock()
		delete(s.open, c)
		s.mutex.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReaderSize(c, 64<<10)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			status := "200 OK"
			if s.state.Load() != "ready" || s.isUnwell.Load() {
				status = "503 Service Unavailable"
			}
			fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s: %s\r\n%s: 0,0,%d\r\nContent-Length: 0\r\n\r\n", status, Name("instance"), s.ID, Name("load"), s.Slots)
			continue
		}
		id := r.Header.Get(Name("request"))
		if expected := r.Header.Get(Name("expect")); expected != "" && expected != s.ID {
			_, _ = io.Copy(io.Discard, r.Body)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", Name("instance"), s.ID, Name("request"), id)
			continue
		}
		if s.Ahead != nil && s.Ahead(c, r, r.Body) {
			continue
		}
		body, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		run := &Run{ID: id, Method: r.Method, Path: r.URL.RequestURI(), Caller: r.Header.Get(Name("caller")), Team: r.Header.Get(Name("team")), Server: s.ID, Body: int(body), At: time.Now()}
		s.mutex.Lock()
		s.runs = append(s.runs, run)
		s.mutex.Unlock()
		s.record.Printf("server %s runs %s %s %s", s.ID, id, r.Method, run.Path)
		s.Answer(c, r, run)
		s.mutex.Lock()
		run.Ended = time.Now()
		s.mutex.Unlock()
	}
}

func (s *Server) answer(c net.Conn, r *http.Request, run *Run) {
	time.Sleep(s.Work)
	_, _ = c.Write(s.Bytes(run.ID, s.Size))
}

// Stamp returns the signature of an answer.
func (s *Server) Stamp(id string) string { return "3e1b." + s.ID + "." + id }

// Content returns the bytes of an answer's body.
func Content(id string, size int) []byte {
	return bytes.Repeat([]byte(id+"-"), size/(len(id)+1)+1)[:size]
}

// Bytes returns a whole answer.
func (s *Server) Bytes(id string, size int) []byte {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s: 1,0,%d\r\nContent-Length: %d\r\n\r\n", Name("request"), id, Name("stamp"), s.Stamp(id), Name("load"), s.Slots, size)
	return append([]byte(head), Content(id, size)...)
}
