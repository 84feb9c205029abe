package kqlink

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"kumquatlink/io/kqtrust"
)

// Dialer reaches peers over links that it opens on demand and shares between
// calls. Each link has a UDP port of its own, so that something between the
// ends that has lost track of one link does not lose the next one as well.
type Dialer struct {
	identity *kqtrust.Identity
	options  options
	now      func() time.Time

	mutex sync.Mutex
	peers map[string]*peer
	// links are all links that are not over, also those that are no longer
	// the current one of their peer.
	links  map[*link]struct{}
	closed chan struct{}
}

// peer is what the dialer holds of one address.
type peer struct {
	// current is the link that new calls take.
	current *link
	// failedAt is when the last try to open a link failed, or zero, and
	// failures how many did in a row.
	failedAt time.Time
	failures int
	// wantedAt is when a call last asked for the peer.
	wantedAt time.Time
}

// resting is whether it is too early to try again to reach the peer.
func (p *peer) resting(now time.Time) bool {
	if p.failures == 0 {
		return false
	}
	return now.Sub(p.failedAt) < redialPause<<min(p.failures-1, maxRedialDoublings)
}

// Answer is a whole answer.
type Answer struct {
	Head AnswerHead
	Body []byte
}

// NewDialer makes a dialer without links.
func NewDialer(identity *kqtrust.Identity, list ...Option) *Dialer {
	d := &Dialer{
		identity: identity,
		options:  newOptions(list),
		now:      time.Now,
		peers:    map[string]*peer{},
		links:    map[*link]struct{}{},
		closed:   make(chan struct{}),
	}
	go d.watch()
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

// SendMessage sends a control message to the peer and reads the reply.
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

// exchange sends a request over a stream of its own and lets read take the
// whole answer.
func (d *Dialer) exchange(ctx context.Context, address string, frame, body []byte, read func(*quic.Stream) error) error {
	l, err := d.open(ctx, address)
	if err != nil {
		return errors.Mark(err, ErrNotSent)
	}
	l.begin(d.now())
	defer l.end()
	stream, err := l.conn.OpenStreamSync(ctx)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "open stream"), ErrNotSent)
	}
	defer context.AfterFunc(ctx, func() { refuse(stream, codeCancelled) })()
	if err := send(stream, frame, body); err != nil {
		return errors.Mark(err, ErrNotSent)
	}
	if err := read(stream); err != nil {
		return l.lost(stream, err)
	}
	l.progressed(d.now(), 1)
	return nil
}

// send writes the whole request. A request that was not written to its end is
// reset, and the peer acts only on whole requests, so that every error here
// proves that the peer did not run it.
func send(stream *quic.Stream, frame, body []byte) error {
	for _, p := range joinSmall(frame, body) {
		if _, err := stream.Write(p); err != nil {
			refuse(stream, codeCancelled)
			return errors.Wrap(err, "write call")
		}
	}
	if err := stream.Close(); err != nil {
		refuse(stream, codeCancelled)
		return errors.Wrap(err, "end call")
	}
	return nil
}

// Usable is whether calls can be sent to the peer at this moment. A peer that
// could not be reached is tried again in the background, and becomes usable
// when a link to it stands.
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

// open gives the link to the peer, opening it when there is none. Calls that
// come while it opens wait for the same handshake, but not for long.
func (d *Dialer) open(ctx context.Context, address string) (*link, error) {
	l, err := d.current(address)
	if err != nil {
		return nil, err
	}
	select {
	case <-l.ready:
		return l, l.err
	default:
	}
	patience := time.NewTimer(linkPatience)
	defer patience.Stop()
	select {
	case <-l.ready:
		return l, l.err
	case <-patience.C:
		return nil, errors.Newf("no link to %s within %s", address, linkPatience)
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for link")
	}
}

// current gives the link that new calls to the peer take.
func (d *Dialer) current(address string) (*link, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p, found := d.peers[address]
	if !found {
		p = &peer{}
		d.peers[address] = p
	}
	if p.current != nil && !p.current.over() {
		return p.current, nil
	}
	p.wantedAt = d.now()
	if p.resting(p.wantedAt) {
		return nil, errors.Newf("%s could not be reached a moment ago", address)
	}
	return d.begin(address, p), nil
}

// begin opens a new current link to the peer. The mutex must be held.
func (d *Dialer) begin(address string, p *peer) *link {
	l := newLink(address)
	p.current = l
	d.links[l] = struct{}{}
	go d.dial(l)
	return l
}

func (d *Dialer) dial(l *link) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	conn, err := d.options.dial(ctx, l.address, d.identity.ClientTLS())
	if err == nil && d.options.expect != nil && !d.options.expect(l.address, peerName(conn)) {
		_ = conn.CloseWithError(0, "another node was meant")
		err = errors.Mark(errors.Newf("node %q answers", peerName(conn)), ErrUnexpectedNode)
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
