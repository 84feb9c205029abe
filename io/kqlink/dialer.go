package kqlink

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"kumquatlink/io/kqtrust"
)

// Dialer makes and keeps the links of this node to its peers. Peers are named by
// their UDP address; a link is opened on demand and shared by all calls to the
// peer. Each link has a UDP port of its own, so that a firewall or address
// translator that has lost the state of one link still passes its replacement.
// A dialer is safe for concurrent use.
type Dialer struct {
	identity *kqtrust.Identity
	options  options
	now      func() time.Time

	// mutex guards the fields below.
	mutex sync.Mutex
	peers map[string]*peer
	// links holds all links that have not ended, including those that are no
	// longer the current one of their peer.
	links  map[*link]struct{}
	closed chan struct{}
}

// peer is the state of the dialer for one address.
type peer struct {
	// current is the link that new calls use.
	current *link
	// failedAt is when an attempt to open a link last failed, or zero, and
	// failures is the number of failed attempts in a row.
	failedAt time.Time
	failures int
	// wantedAt is when a link to the peer was last needed and there was none.
	wantedAt time.Time
}

// backingOff reports whether the pause after a failed attempt is not over.
func (p *peer) backingOff(now time.Time) bool {
	if p.failures == 0 {
		return false
	}
	return now.Sub(p.failedAt) < redialPause<<min(p.failures-1, maxRedialDoublings)
}

// Answer is the answer to a call.
type Answer struct {
	Head AnswerHead
	Body []byte
}

// NewDialer returns a dialer without links. Close releases its resources.
func NewDialer(identity *kqtrust.Identity, opts ...Option) *Dialer {
	d := &Dialer{
		identity: identity,
		options:  newOptions(opts),
		now:      time.Now,
		peers:    map[string]*peer{},
		links:    map[*link]struct{}{},
		closed:   make(chan struct{}),
	}
	go d.monitorLinks()
	return d
}

// Close closes all links. It must be called once.
func (d *Dialer) Close() {
	close(d.closed)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for l := range d.links {
		go l.closeWhenReady()
	}
	d.peers = map[string]*peer{}
	d.links = map[*link]struct{}{}
}

// Call sends a call to the peer, connecting to it first if need be, and waits for
// the whole answer. When ctx ends first, the call is cancelled at the peer. Errors
// are marked ErrNotSent if the peer can't have run the call, and ErrLost if it may
// have.
func (d *Dialer) Call(ctx context.Context, address string, head CallHead, body []byte) (*Answer, error) {
	head.BodyLength = len(body)
	frame, err := appendFrame([]byte{byte(kindCall)}, head)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	if len(frame) > MaxHeadBytes {
		return nil, errors.Mark(errors.Newf("head of call has %d bytes, the limit is %d", len(frame), MaxHeadBytes), ErrNotSent)
	}
	answer := &Answer{}
	err = d.exchange(ctx, address, frame, body, func(s *quic.Stream) error {
		if err := readFrame(s, MaxHeadBytes, &answer.Head); err != nil {
			return err
		}
		var err error
		answer.Body, err = readBody(s, answer.Head.BodyLength, MaxBodyBytes)
		return err
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// SendMessage sends a control message to the peer and returns the reply. Errors
// are marked as for Call.
func (d *Dialer) SendMessage(ctx context.Context, address string, message []byte) ([]byte, error) {
	frame, err := appendFrame([]byte{byte(kindMessage)}, message)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	var reply []byte
	err = d.exchange(ctx, address, frame, nil, func(s *quic.Stream) error {
		return readFrame(s, MaxMessageBytes, &reply)
	})
	return reply, err
}

// exchange sends a request on a stream of its own, and calls read to read the
// whole answer from it.
func (d *Dialer) exchange(ctx context.Context, address string, frame, body []byte, read func(*quic.Stream) error) error {
	l, err := d.connect(ctx, address)
	if err != nil {
		return errors.Mark(err, ErrNotSent)
	}
	l.startCall(d.now())
	defer l.endCall()
	stream, err := l.conn.OpenStreamSync(ctx)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "open stream"), ErrNotSent)
	}
	defer context.AfterFunc(ctx, func() { resetStream(stream, codeCancelled) })()
	if err := send(stream, frame, body); err != nil {
		// The peer may refuse a request before it has read all of it.
		if isRefusal(context.Cause(stream.Context())) {
			err = errors.Mark(err, ErrRefused)
		}
		return errors.Mark(err, ErrNotSent)
	}
	if err := read(stream); err != nil {
		return l.markReadError(stream, err)
	}
	l.recordReply(d.now(), 1)
	return nil
}

// send writes the whole request. If that fails, it resets the stream. The peer
// runs only requests that arrived whole, so that an error proves that it did not
// run this one.
func send(stream *quic.Stream, frame, body []byte) error {
	for _, p := range joinBuffers(frame, body) {
		if _, err := stream.Write(p); err != nil {
			resetStream(stream, codeCancelled)
			return errors.Wrap(err, "write request")
		}
	}
	if err := stream.Close(); err != nil {
		resetStream(stream, codeCancelled)
		return errors.Wrap(err, "end request")
	}
	return nil
}

// Usable reports whether a call to the peer is worth trying: the last attempt to
// open a link to it, if any, did not fail. A peer that could not be reached is
// dialed again in the background, for a while after the last call of Usable or
// Call for it, and becomes usable when a link to it is open.
func (d *Dialer) Usable(address string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p, found := d.peers[address]
	if !found || p.failures == 0 {
		return true
	}
	p.wantedAt = d.now()
	return false
}

// connect returns an open link to the peer, and opens one if there is none. Calls
// that arrive during the handshake all wait for it, for at most linkTimeout.
func (d *Dialer) connect(ctx context.Context, address string) (*link, error) {
	l, err := d.currentLink(address)
	if err != nil {
		return nil, err
	}
	select {
	case <-l.ready:
		return l, l.err
	default:
	}
	timer := time.NewTimer(linkTimeout)
	defer timer.Stop()
	select {
	case <-l.ready:
		return l, l.err
	case <-timer.C:
		return nil, errors.Newf("link to %s did not open within %s", address, linkTimeout)
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for link")
	}
}

// currentLink returns the link that new calls to the peer use, and starts to open
// one if there is none. The link may not be ready yet.
func (d *Dialer) currentLink(address string) (*link, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p, found := d.peers[address]
	if !found {
		p = &peer{}
		d.peers[address] = p
	}
	if p.current != nil && !p.current.ended() {
		return p.current, nil
	}
	p.wantedAt = d.now()
	if p.backingOff(p.wantedAt) {
		return nil, errors.Newf("last attempt to reach %s failed, and the pause before the next one is not over", address)
	}
	return d.startLink(address, p), nil
}

// startLink starts to open a new current link to the peer. The mutex must be held.
func (d *Dialer) startLink(address string, p *peer) *link {
	l := newLink(address)
	p.current = l
	d.links[l] = struct{}{}
	go d.dial(l)
	return l
}

// dial opens the link, checks that the expected node is at its address, and
// records the result.
func (d *Dialer) dial(l *link) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	conn, err := d.options.dial(ctx, l.address, d.identity.ClientTLS())
	if err == nil && d.options.expect != nil && !d.options.expect(l.address, peerName(conn)) {
		_ = conn.CloseWithError(0, "another node was meant")
		err = errors.Mark(errors.Newf("node at the address is %q", peerName(conn)), ErrUnexpectedNode)
	}
	if err != nil {
		err = errors.Wrapf(err, "open link to %s", l.address)
	}
	l.conn, l.err = conn, err
	close(l.ready)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p, found := d.peers[l.address]
	if !found || p.current != l {
		return
	}
	if err == nil {
		p.failures = 0
		return
	}
	p.failures++
	p.failedAt = d.now()
}
