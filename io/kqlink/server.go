package kqlink

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"kumquatlink/io/kqtrust"
)

// Handlers process what peers send. All fields must be set.
type Handlers struct {
	// Call runs a call that has arrived whole, and returns its answer. ctx ends
	// when the peer cancels the call. peer is the name in the peer's certificate.
	Call func(ctx context.Context, peer string, head CallHead, body []byte) (AnswerHead, []byte)
	// Message returns the reply to a control message. An error resets the stream.
	Message func(ctx context.Context, peer string, message []byte) ([]byte, error)
	// Submit runs a task on the worker pool for calls, without blocking. It
	// returns an error if the pool is full.
	Submit func(task func()) error
}

// Server accepts links from peers and serves their calls and messages.
type Server struct {
	listener *quic.Listener
	handlers Handlers
	cancel   context.CancelFunc
	// closeSocket closes the listener's socket, unless the listener does so itself.
	closeSocket func()
	// overflow limits the control messages that are served at once outside the
	// full pool; it holds one element for each.
	overflow chan struct{}
}

// Listen starts a server at a UDP address. The server runs until Close.
func Listen(address string, identity *kqtrust.Identity, handlers Handlers, opts ...Option) (*Server, error) {
	listener, closeSocket, err := newOptions(opts).listen(address, identity.ServerTLS())
	if err != nil {
		return nil, errors.Wrapf(err, "listen for links at %s", address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: listener, handlers: handlers, cancel: cancel, closeSocket: closeSocket, overflow: make(chan struct{}, maxOverflowMessages)}
	go s.acceptLinks(ctx)
	return s, nil
}

// Address returns the UDP address at which the server listens.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Port returns the UDP port at which the server listens.
func (s *Server) Port() int {
	if a, ok := s.listener.Addr().(*net.UDPAddr); ok {
		return a.Port
	}
	return 0
}

// Close stops the server and closes all links at once.
func (s *Server) Close() error {
	s.cancel()
	defer s.closeSocket()
	return errors.Wrap(s.listener.Close(), "close listener")
}

func (s *Server) acceptLinks(ctx context.Context) {
	for {
		c, err := s.listener.Accept(ctx)
		if err != nil {
			return
		}
		go s.acceptStreams(ctx, c)
	}
}

func (s *Server) acceptStreams(ctx context.Context, c *quic.Conn) {
	peer := peerName(c)
	for {
		stream, err := c.AcceptStream(ctx)
		if err != nil {
			return
		}
		if err := s.handlers.Submit(func() { s.serve(stream, peer) }); err != nil {
			s.serveOverflow(stream, peer)
		}
	}
}

// serveOverflow serves a stream while the pool for calls is full. It answers
// control messages only, so that a node under load does not look dead to its
// peers, and refuses everything else.
func (s *Server) serveOverflow(stream *quic.Stream, peer string) {
	select {
	case s.overflow <- struct{}{}:
	default:
		resetStream(stream, codeRefused)
		return
	}
	go func() {
		defer func() { <-s.overflow }()
		var kind [1]byte
		err := stream.SetReadDeadline(time.Now().Add(overflowTimeout))
		if err == nil {
			_, err = io.ReadFull(stream, kind[:])
		}
		if err != nil || streamKind(kind[0]) != kindMessage {
			resetStream(stream, codeRefused)
			return
		}
		s.serveMessage(stream, peer)
	}()
}

// peerName returns the common name in the peer's certificate, which is the ID of
// its node.
func peerName(c *quic.Conn) string {
	certificates := c.ConnectionState().TLS.PeerCertificates
	if len(certificates) == 0 {
		return ""
	}
	return certificates[0].Subject.CommonName
}

// resetStream ends both directions of the stream with the code.
func resetStream(stream *quic.Stream, code quic.StreamErrorCode) {
	stream.CancelRead(code)
	stream.CancelWrite(code)
}

// serve reads the kind of a stream and serves the stream.
func (s *Server) serve(stream *quic.Stream, peer string) {
	var kind [1]byte
	if _, err := io.ReadFull(stream, kind[:]); err != nil {
		resetStream(stream, codeMalformed)
		return
	}
	switch streamKind(kind[0]) {
	case kindCall:
		s.serveCall(stream, peer)
	case kindMessage:
		s.serveMessage(stream, peer)
	case kindPing:
		writeAnswer(stream, kind[:], nil)
	default:
		resetStream(stream, codeMalformed)
	}
}

// serveCall reads a call, runs it and writes the answer.
func (s *Server) serveCall(stream *quic.Stream, peer string) {
	var head CallHead
	if err := readFrame(stream, MaxHeadBytes, &head); err != nil {
		resetStream(stream, codeMalformed)
		return
	}
	body, err := readBody(stream, head.BodyLength, MaxBodyBytes)
	if err != nil {
		resetStream(stream, codeMalformed)
		return
	}
	answer, answerBody := s.handlers.Call(stream.Context(), peer, head, body)
	answer.BodyLength = len(answerBody)
	frame, err := appendFrame(nil, answer)
	if err != nil {
		stream.CancelWrite(codeFailed)
		return
	}
	writeAnswer(stream, frame, answerBody)
}

// serveMessage reads a control message and writes the reply.
func (s *Server) serveMessage(stream *quic.Stream, peer string) {
	var message []byte
	if err := readFrame(stream, MaxMessageBytes, &message); err != nil {
		resetStream(stream, codeMalformed)
		return
	}
	reply, err := s.handlers.Message(stream.Context(), peer, message)
	if err != nil {
		resetStream(stream, codeFailed)
		return
	}
	frame, err := appendFrame(nil, reply)
	if err != nil {
		stream.CancelWrite(codeFailed)
		return
	}
	writeAnswer(stream, frame, nil)
}

// writeAnswer writes an answer and ends the stream. If a write fails, it resets the
// stream, so that the peer does not take a part of the answer for the whole.
func writeAnswer(stream *quic.Stream, frame, body []byte) {
	for _, p := range joinBuffers(frame, body) {
		if _, err := stream.Write(p); err != nil {
			stream.CancelWrite(codeFailed)
			return
		}
	}
	if err := stream.Close(); err != nil {
		stream.CancelWrite(codeFailed)
	}
}
