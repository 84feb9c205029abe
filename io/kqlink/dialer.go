package kqlink

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"kumquatlink/io/kqtrust"
)

// Dialer reaches peers over links that it opens on demand and shares between
// calls.
type Dialer struct {
	identity *kqtrust.Identity
	options  options
	mutex    sync.Mutex
	links    map[string]*link
}

// link is one connection to a peer, or one that is being opened.
type link struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
}

// Answer is a whole answer.
type Answer struct {
	Head AnswerHead
	Body []byte
}

// NewDialer makes a dialer without links.
func NewDialer(identity *kqtrust.Identity, list ...Option) *Dialer {
	return &Dialer{identity: identity, options: newOptions(list), links: map[string]*link{}}
}

// Close closes all links.
func (d *Dialer) Close() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for address, l := range d.links {
		delete(d.links, address)
		go closeLink(l)
	}
}

func closeLink(l *link) {
	<-l.ready
	if l.conn != nil {
		_ = l.conn.CloseWithError(0, "closed")
	}
}

// Call sends a call to the peer and reads its whole answer. When ctx ends
// first, the call is cancelled at the peer.
func (d *Dialer) Call(ctx context.Context, address string, head CallHead, body []byte) (*Answer, error) {
	head.BodyLength = len(body)
	frame, err := appendFrame([]byte{byte(kindCall)}, head)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	if len(frame) > MaxHeadBytes {
		return nil, errors.Mark(errors.Newf("head of %d bytes, at most %d are sent", len(frame), MaxHeadBytes), ErrNotSent)
	}
	stream, err := d.send(ctx, address, frame, body)
	if err != nil {
		return nil, err
	}
	defer context.AfterFunc(ctx, func() { stream.CancelRead(codeCancelled) })()
	answer := &Answer{}
	if err := readFrame(stream, MaxHeadBytes, &answer.Head); err != nil {
		return nil, d.lost(stream, err)
	}
	answer.Body, err = readBody(stream, answer.Head.BodyLength, MaxBodyBytes)
	if err != nil {
		return nil, d.lost(stream, err)
	}
	return answer, nil
}

// Message sends a control message to the peer and reads the reply.
func (d *Dialer) Message(ctx context.Context, address string, message []byte) ([]byte, error) {
	frame, err := appendFrame([]byte{byte(kindMessage)}, message)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	stream, err := d.send(ctx, address, frame, nil)
	if err != nil {
		return nil, err
	}
	defer context.AfterFunc(ctx, func() { stream.CancelRead(codeCancelled) })()
	var reply []byte
	if err := readFrame(stream, MaxMessageBytes, &reply); err != nil {
		return nil, d.lost(stream, err)
	}
	return reply, nil
}

// send opens a stream and writes the whole request. A request that was not
// written to its end is reset, and the peer acts only on whole requests, so
// that every error here proves that the peer did not run it.
func (d *Dialer) send(ctx context.Context, address string, frame, body []byte) (*quic.Stream, error) {
	c, err := d.open(ctx, address)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	stream, err := c.OpenStreamSync(ctx)
	if err != nil {
		d.retire(address, c)
		return nil, errors.Mark(errors.Wrap(err, "open stream"), ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() { stream.CancelWrite(codeCancelled) })
	defer stop()
	for _, p := range [][]byte{frame, body} {
		if _, err := stream.Write(p); err != nil {
			refuse(stream, codeCancelled)
			return nil, errors.Mark(errors.Wrap(err, "write call"), ErrNotSent)
		}
	}
	if err := stream.Close(); err != nil {
		refuse(stream, codeCancelled)
		return nil, errors.Mark(errors.Wrap(err, "end call"), ErrNotSent)
	}
	return stream, nil
}

// lost turns a failed read into this layer's error.
func (d *Dialer) lost(stream *quic.Stream, err error) error {
	var reset *quic.StreamError
	if errors.As(err, &reset) && reset.Remote && (reset.ErrorCode == codeRefused || reset.ErrorCode == codeMalformed) {
		return errors.Mark(errors.Mark(err, ErrRefused), ErrNotSent)
	}
	stream.CancelRead(codeCancelled)
	return errors.Mark(err, ErrLost)
}

// open gives the link to the peer, opening it when there is none. Calls that
// come while it opens wait for the same handshake.
func (d *Dialer) open(ctx context.Context, address string) (*quic.Conn, error) {
	d.mutex.Lock()
	l, found := d.links[address]
	if found && l.over() {
		found = false
	}
	if !found {
		l = &link{ready: make(chan struct{})}
		d.links[address] = l
		go d.dial(address, l)
	}
	d.mutex.Unlock()
	select {
	case <-l.ready:
		return l.conn, l.err
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for link")
	}
}

// Usable is whether nothing is known against sending to the peer now.
func (d *Dialer) Usable(address string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	l, found := d.links[address]
	return !found || !l.over()
}

// over is whether the link was opened and has ended since, or failed to open.
func (l *link) over() bool {
	select {
	case <-l.ready:
		return l.err != nil || l.conn.Context().Err() != nil
	default:
		return false
	}
}

func (d *Dialer) dial(address string, l *link) {
	defer close(l.ready)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	l.conn, l.err = d.options.dial(ctx, address, d.identity.ClientTLS())
	if l.err == nil && d.options.expect != nil && !d.options.expect(address, peerName(l.conn)) {
		_ = l.conn.CloseWithError(0, "another node was meant")
		l.err = errors.Mark(errors.Newf("node %q answers", peerName(l.conn)), ErrAnotherNode)
	}
	if l.err != nil {
		l.err = errors.Wrapf(l.err, "open link to %s", address)
	}
}

// retire closes a link for all calls on it; the next call opens another.
func (d *Dialer) retire(address string, c *quic.Conn) {
	d.mutex.Lock()
	if l, found := d.links[address]; found && l.conn == c {
		delete(d.links, address)
	}
	d.mutex.Unlock()
	_ = c.CloseWithError(0, "retired")
}
