package kqtrunk

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqbackoff"
)

// redialPause bounds the pauses between two tries to reach a peer.
var redialPause = kqbackoff.Pause{First: 200 * time.Millisecond, Max: 2 * time.Second}

// Dialer keeps the connections that this node made to its peers.
type Dialer struct {
	handlers Handlers
	dial     func(ctx context.Context, address string) (net.Conn, error)
	thrifty  func(address string) bool

	mutex  sync.Mutex
	routes map[string]*route
}

// route is the way to one peer.
type route struct {
	address string
	mutex   sync.Mutex
	trunk   *trunk
	// dialing is closed when the try under way has ended.
	dialing chan struct{}
	breaker *kqbackoff.Breaker
	failed  error
}

// DialerOption changes a dialer.
type DialerOption func(*Dialer)

// WithDial replaces how connections are opened.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) DialerOption {
	return func(d *Dialer) { d.dial = dial }
}

// WithCompression sets to which peers bytes are dear. Heads to and from them are
// squeezed, if they know how; that takes processor time at both ends.
func WithCompression(thrifty func(address string) bool) DialerOption {
	return func(d *Dialer) { d.thrifty = thrifty }
}

// NewDialer makes a dialer without connections.
func NewDialer(handlers Handlers, options ...DialerOption) *Dialer {
	plain := &net.Dialer{Timeout: dialTimeout}
	d := &Dialer{handlers: handlers, routes: map[string]*route{}, thrifty: func(string) bool { return false }, dial: func(ctx context.Context, address string) (net.Conn, error) {
		return plain.DialContext(ctx, "tcp", address)
	}}
	for _, o := range options {
		o(d)
	}
	return d
}

func (d *Dialer) route(address string) *route {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	r, found := d.routes[address]
	if !found {
		r = &route{address: address, breaker: kqbackoff.NewBreaker(redialPause)}
		d.routes[address] = r
	}
	return r
}

// Usable is whether a call to the peer may be tried: it is connected, or its
// last try did not just fail.
func (d *Dialer) Usable(address string) bool {
	r := d.route(address)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.trunk != nil && r.trunk.alive() {
		return true
	}
	return r.breaker.WaitTime(time.Now()) == 0 && r.breaker.Failures() < 2
}

// Connected is whether a connection to the peer stands.
func (d *Dialer) Connected(address string) bool {
	r := d.route(address)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.trunk != nil && r.trunk.alive()
}

// Warm begins to connect to the peer, if no connection stands and the last
// try did not just fail.
func (d *Dialer) Warm(address string) {
	r := d.route(address)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.trunk != nil && r.trunk.alive() || r.dialing != nil || r.breaker.WaitTime(time.Now()) > 0 {
		return
	}
	d.begin(r)
}

// begin dials in the background; the route's mutex is held.
func (d *Dialer) begin(r *route) chan struct{} {
	done := make(chan struct{})
	r.dialing = done
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		raw, err := d.dial(ctx, r.address)
		cancel()
		if err == nil {
			if err = tune(raw); err != nil {
				_ = raw.Close()
			}
		}
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.dialing = nil
		defer close(done)
		r.failed = err
		if err != nil {
			r.breaker.RecordFailure(time.Now(), rand.Float64())
			d.tell(r.address, false, err)
			return
		}
		r.breaker.RecordSuccess()
		former := r.trunk
		r.trunk = newTrunk(r.address, raw, d.handlers)
		r.trunk.retired = func() { d.Warm(r.address) }
		if former != nil {
			r.trunk.met = former.doubt
		}
		r.trunk.thrifty.Store(d.thrifty(r.address))
		go d.watch(r.trunk)
		d.tell(r.address, true, nil)
	}()
	return done
}

func (d *Dialer) watch(t *trunk) {
	err := t.run()
	d.tell(t.peer, false, err)
}

func (d *Dialer) tell(peer string, up bool, err error) {
	if d.handlers.ConnectionChanged != nil {
		d.handlers.ConnectionChanged(peer, up, err)
	}
}

// connect gives the connection to the peer, made if need be.
func (d *Dialer) connect(ctx context.Context, address string) (*trunk, error) {
	r := d.route(address)
	for {
		r.mutex.Lock()
		if r.trunk != nil && r.trunk.alive() {
			defer r.mutex.Unlock()
			return r.trunk, nil
		}
		done := r.dialing
		if done == nil {
			if wait := r.breaker.WaitTime(time.Now()); wait > 0 {
				defer r.mutex.Unlock()
				return nil, errors.Mark(errors.Wrapf(r.failed, "next try in %s", wait), ErrNotSent)
			}
			done = d.begin(r)
		}
		r.mutex.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
			return nil, errors.Mark(errors.Wrap(ctx.Err(), "connect to "+address), ErrNotSent)
		}
		r.mutex.Lock()
		failed := r.failed
		r.mutex.Unlock()
		if failed != nil {
			return nil, errors.Mark(errors.Wrap(failed, "connect to "+address), ErrNotSent)
		}
	}
}

// Call sends a call to the peer and waits for its answer.
func (d *Dialer) Call(ctx context.Context, address string, head CallHead, body []byte) (*Answer, error) {
	t, err := d.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return t.call(ctx, head, body)
}

// SendMessage sends a message to the peer, if a connection stands.
func (d *Dialer) SendMessage(address string, payload []byte) error {
	r := d.route(address)
	r.mutex.Lock()
	t := r.trunk
	r.mutex.Unlock()
	if t == nil || !t.alive() {
		return errors.Mark(errors.Newf("no connection to %s", address), ErrNotSent)
	}
	return t.send(frame{kind: frameMessage, payload: payload})
}

// SendUpdate sends news to the peer, if a connection stands and the peer knows
// such frames.
func (d *Dialer) SendUpdate(address string, payload []byte) error {
	r := d.route(address)
	r.mutex.Lock()
	t := r.trunk
	r.mutex.Unlock()
	if t == nil || !t.alive() || t.version.Load() < versionNews {
		return errors.Mark(errors.Newf("no connection for news to %s", address), ErrNotSent)
	}
	return t.send(frame{kind: frameNews, payload: payload})
}

// Peers lists the addresses to which a connection stands.
func (d *Dialer) Peers() []string {
	d.mutex.Lock()
	routes := make([]*route, 0, len(d.routes))
	for _, r := range d.routes {
		routes = append(routes, r)
	}
	d.mutex.Unlock()
	var peers []string
	for _, r := range routes {
		r.mutex.Lock()
		if r.trunk != nil && r.trunk.alive() {
			peers = append(peers, r.address)
		}
		r.mutex.Unlock()
	}
	return peers
}

// Retain drops the connections to all peers that keep does not name and on which
// no call is under way.
func (d *Dialer) Retain(keep func(address string) bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for address, r := range d.routes {
		if keep(address) {
			continue
		}
		r.mutex.Lock()
		t, dialing := r.trunk, r.dialing
		r.mutex.Unlock()
		if dialing != nil || t != nil && t.open() && t.busy() > 0 {
			continue
		}
		if t != nil {
			_ = t.fail(errors.Mark(errors.New("peer has left"), ErrLost))
		}
		delete(d.routes, address)
	}
}

// Close ends all connections.
func (d *Dialer) Close() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, r := range d.routes {
		r.mutex.Lock()
		if r.trunk != nil {
			_ = r.trunk.fail(errors.Mark(errors.New("node ends"), ErrLost))
		}
		r.mutex.Unlock()
	}
}
