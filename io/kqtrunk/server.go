package kqtrunk

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqaccept"
)

// Server accepts the connections of peers. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	handlers Handlers

	mutex  sync.Mutex
	closed bool
	trunks map[*trunk]struct{}
}

// Listen starts a server at a TCP address, host and port.
func Listen(address string, handlers Handlers) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s", address)
	}
	s := &Server{listener: l, handlers: handlers, trunks: map[*trunk]struct{}{}}
	var options []kqaccept.Option
	if handlers.AcceptFailed != nil {
		options = append(options, kqaccept.WithObserver(handlers.AcceptFailed))
	}
	go func() { _ = kqaccept.Run(l, s.serve, options...) }()
	return s, nil
}

// Address returns the address at which the server listens.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// serve serves the connection of a peer.
func (s *Server) serve(conn net.Conn) {
	t := newTrunk(conn.RemoteAddr().String(), conn, s.handlers)
	if err := setTimeouts(conn); err != nil || !s.add(t) {
		_ = conn.Close()
		return
	}
	go func() {
		_ = t.run()
		s.remove(t)
	}()
}

// add registers a connection and reports whether the server is still open.
func (s *Server) add(t *trunk) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.closed {
		s.trunks[t] = struct{}{}
	}
	return !s.closed
}

func (s *Server) remove(t *trunk) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.trunks, t)
}

// SendMessage sends a message on the connection that the peer has made from this
// address. Without such a connection the message is dropped.
func (s *Server) SendMessage(peer string, payload []byte) {
	s.mutex.Lock()
	var found *trunk
	for t := range s.trunks {
		if t.peer == peer {
			found = t
		}
	}
	s.mutex.Unlock()
	if found == nil {
		return
	}
	if err := found.send(frame{kind: frameMessage, payload: payload}); err != nil {
		_ = found.fail(errors.Mark(err, ErrLost))
	}
}

// UnansweredCalls returns the number of calls of peers whose answers have not been sent
// whole.
func (s *Server) UnansweredCalls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for t := range s.trunks {
		count += t.runningCount()
	}
	return count
}

// Close stops listening and closes all connections. Calls on them end.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.mutex.Lock()
	s.closed = true
	trunks := s.trunks
	s.trunks = map[*trunk]struct{}{}
	s.mutex.Unlock()
	for t := range trunks {
		_ = t.fail(errors.Mark(errors.New("node shuts down"), ErrLost))
	}
	return errors.Wrap(err, "close listener")
}
