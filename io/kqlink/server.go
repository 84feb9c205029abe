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

// Handlers are what a server does with streams. All fields must be set.
type Handlers struct {
	// Call runs a whole call. Its context ends when the caller cancels.
	Call func(ctx context.Context, peer string, head CallHead, body []byte) (AnswerHead, []byte)
	// Message answers a control message.
	Message func(ctx context.Context, peer string, message []byte) ([]byte, error)
	// Submit runs a task on the pool for calls, or fails when it is full.
	Submit func(task func()) error
}

// Server takes links from peers.
type Server struct {
	listener *quic.Listener
	handlers Handlers
	cancel   context.CancelFunc
	// closeSocket closes the socket below the listener.
	closeSocket func()
	// spare bounds the control messages that are served beside the pool.
	spare chan struct{}
}

// Listen starts a server at a UDP address.
func Listen(address string, identity *kqtrust.Identity, handlers Handlers, list ...Option) (*Server, error) {
	listener, closeSocket, err := newOptions(list).listen(address, identity.ServerTLS())
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers at %s", address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: listener, handlers: handlers, cancel: cancel, closeSocket: closeSocket, spare: make(chan struct{}, spareMessages)}
	go s.acceptLinks(ctx)
	return s, nil
}

// Address is the address that the server listens at.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Port is the UDP port that the server listens at.
func (s *Server) Port() int {
	if a, ok := s.listener.Addr().(*net.UDPAddr); ok {
		return a.Port
	}
	return 0
}

// Close ends all links at once.
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
			s.serveSpare(stream, peer)
		}
	}
}

// serveSpare takes control messages, and nothing else, while the pool for
// calls is full: a node under load must not look dead to its neighbours.
func (s *Server) serveSpare(stream *quic.Stream, peer string) {
	select {
	case s.spare <- struct{}{}:
	default:
		refuse(stream, codeRefused)
		return
	}
	go func() {
		defer func() { <-s.spare }()
		var kind [1]byte
		err := stream.SetReadDeadline(time.Now().Add(spareTimeout))
		if err == nil {
			_, err = io.ReadFull(stream, kind[:])
		}
		if err != nil || streamKind(kind[0]) != kindMessage {
			refuse(stream, codeRefused)
			return
		}
		s.serveMessage(stream, peer)
	}()
}

// peerName is the name that the peer's certificate was issued to.
func peerName(c *quic.Conn) string {
	certificates := c.ConnectionState().TLS.PeerCertificates
	if len(certificates) == 0 {
		return ""
	}
	return certificates[0].Subject.CommonName
}

func refuse(stream *quic.Stream, code quic.StreamErrorCode) {
	stream.CancelRead(code)
	stream.CancelWrite(code)
}

func (s *Server) serve(stream *quic.Stream, peer string) {
	var kind [1]byte
	if _, err := io.ReadFull(stream, kind[:]); err != nil {
		refuse(stream, codeMalformed)
		return
	}
	switch streamKind(kind[0]) {
	case kindCall:
		s.serveCall(stream, peer)
	case kindMessage:
		s.serveMessage(stream, peer)
	case kindPing:
		writeAll(stream, kind[:], nil)
	default:
		refuse(stream, codeMalformed)
	}
}

func (s *Server) serveCall(stream *quic.Stream, peer string) {
	var head CallHead
	if err := readFrame(stream, MaxHeadBytes, &head); err != nil {
		refuse(stream, codeMalformed)
		return
	}
	body, err := readBody(stream, head.BodyLength, MaxBodyBytes)
	if err != nil {
		refuse(stream, codeMalformed)
		return
	}
	answer, answerBody := s.handlers.Call(stream.Context(), peer, head, body)
	answer.BodyLength = len(answerBody)
	frame, err := appendFrame(nil, answer)
	if err != nil {
		stream.CancelWrite(codeFailed)
		return
	}
	writeAll(stream, frame, answerBody)
}

func (s *Server) serveMessage(stream *quic.Stream, peer string) {
	var message []byte
	if err := readFrame(stream, MaxMessageBytes, &message); err != nil {
		refuse(stream, codeMalformed)
		return
	}
	reply, err := s.handlers.Message(stream.Context(), peer, message)
	if err != nil {
		refuse(stream, codeFailed)
		return
	}
	frame, err := appendFrame(nil, reply)
	if err != nil {
		stream.CancelWrite(codeFailed)
		return
	}
	writeAll(stream, frame, nil)
}

// writeAll writes an answer and ends the stream; a part that fails resets it,
// so that a cut answer never looks whole.
func writeAll(stream *quic.Stream, frame, body []byte) {
	for _, p := range joinSmall(frame, body) {
		if _, err := stream.Write(p); err != nil {
			stream.CancelWrite(codeFailed)
			return
		}
	}
	if err := stream.Close(); err != nil {
		stream.CancelWrite(codeFailed)
	}
}
