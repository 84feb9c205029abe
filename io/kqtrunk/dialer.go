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

// redialBackoff bounds the pause between failed attempts to connect to a peer.
var redialBackoff = kqbackoff.Pause{First: 200 * time.Millisecond, Max: 2 * time.Second}

// reportedFailures is how many failed attempts in a row are reported.
const reportedFailures = 2

// Dialer makes and keeps the connections of this node to its peers. Peers are
// named by their TCP address. It is safe for concurrent use.
type Dialer struct {
	handlers Handlers
	dial     func(ctx context.Context, address string) (net.Conn, error)
	compress func(address string) bool

	mutex  sync.Mutex
	routes map[string]*route
}

// route holds the connection to one peer and the state of dialing it. It has
// nothing to do with the routes by which calls are routed.
type route struct {
	address string
	mutex   sync.Mutex
	trunk   *trunk
	// dialing is closed when the current attempt to connect has ended; it is nil
	// if there is none.
	dialing chan struct{}
	breaker *kqbackoff.Breaker
	// failed is the error of the last attempt, or nil.
	failed error
}

// DialerOption configures a dialer.
type DialerOption func(*Dialer)

// WithDial replaces the function that opens TCP connections.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) DialerOption {
	return func(d *Dialer) { d.dial = dial }
}

// WithCompression selects the peers with which heads are compressed in both
// directions, if the peer supports it. Compression saves bytes on the link and
// costs processor time at both ends. By default no heads are compressed.
func WithCompression(compress func(address string) bool) DialerOption {
	return func(d *Dialer) { d.compress = compress }
}

// NewDialer returns a dialer without connections.
func NewDialer(handlers Handlers, options ...DialerOption) *Dialer {
	netDialer := &net.Dialer{Timeout: dialTimeout}
	d := &Dialer{handlers: handlers, routes: map[string]*route{}, compress: func(string) bool { return false }, dial: func(ctx context.Context, address string) (net.Conn, error) {
		return netDialer.DialContext(ctx, "tcp", address)
	}}
	for _, o := range options {
		o(d)
	}
	return d
}

// route returns the route to the peer, made if there is none.
func (d *Dialer) route(address string) *route {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	r, found := d.routes[address]
	if !found {
		r = &route{address: address, breaker: kqbackoff.NewBreaker(redialBackoff)}
		d.routes[address] = r
	}
	return r
}

// known returns the route to the peer, or nil if no call was ever sent there.
func (d *Dialer) known(address string) *route {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.routes[address]
}

// Usable reports whether a call to the peer is worth trying: the peer is
// connected, or dialing it has failed less than twice in a row and no pause
// before the next attempt is left. Calls are not sent to a peer that is not
// usable, so Usable itself has it dialed again, in the background, whenever the
// pause is over.
func (d *Dialer) Usable(address string) bool {
	r := d.known(address)
	if r == nil {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.trunk != nil && r.trunk.acceptsCalls() {
		return true
	}
	if r.breaker.Failures() < 2 {
		return r.breaker.WaitTime(time.Now()) == 0
	}
	d.warm(r)
	return false
}

// Connected reports whether a connection to the peer is open and takes calls.
func (d *Dialer) Connected(address string) bool {
	r := d.route(address)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.trunk != nil && r.trunk.acceptsCalls()
}

// HoldsRateLimits reports whether the peer is known to be a node whose gate holds
// the limit on requests a second that its backend server names.
func (d *Dialer) HoldsRateLimits(address string) bool {
	r := d.known(address)
	if r == nil {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.trunk != nil && r.trunk.acceptsCalls() && r.trunk.version.Load() >= versionRateLimit
}

// Warm starts to connect to the peer in the background, unless it is connected,
// is being dialed, or the pause after a failed attempt is not over.
func (d *Dialer) Warm(address string) {
	r := d.route(address)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	d.warm(r)
}

// warm is Warm for a route whose mutex the caller holds.
func (d *Dialer) warm(r *route) {
	if r.trunk != nil && r.trunk.acceptsCalls() || r.dialing != nil || r.breaker.WaitTime(time.Now()) > 0 {
		return
	}
	d.startDial(r)
}

// startDial dials the peer in the background and returns a channel that is closed
// when the attempt has ended. The caller holds the route's mutex.
func (d *Dialer) startDial(r *route) chan struct{} {
	done := make(chan struct{})
	r.dialing = done
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		conn, err := d.dial(ctx, r.address)
		cancel()
		if err == nil {
			if err = setTimeouts(conn); err != nil {
				_ = conn.Close()
			}
		}
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.dialing = nil
		defer close(done)
		r.failed = err
		if err != nil {
			r.breaker.RecordFailure(time.Now(), rand.Float64())
			// A peer that stays away is dialed for as long as it is wanted.
			if r.breaker.Failures() <= reportedFailures {
				d.reportChange(r.address, false, err)
			}
			return
		}
		r.breaker.RecordSuccess()
		previous := r.trunk
		r.trunk = newTrunk(r.address, conn, d.handlers)
		r.trunk.onRetire = func() { d.Warm(r.address) }
		if previous != nil {
			r.trunk.onFirstFrame = previous.closeUnlessAnswered
		}
		r.trunk.compress.Store(d.compress(r.address))
		go d.runTrunk(r.trunk)
		d.reportChange(r.address, true, nil)
	}()
	return done
}

// runTrunk serves a connection until it ends and reports the end.
func (d *Dialer) runTrunk(t *trunk) {
	err := t.run()
	d.reportChange(t.peer, false, err)
}

// reportChange calls the handler for changes of connections, if there is one.
func (d *Dialer) reportChange(peer string, up bool, err error) {
	if d.handlers.ConnectionChanged != nil {
		d.handlers.ConnectionChanged(peer, up, err)
	}
}

// connect returns the connection to the peer, and dials it if there is none.
// Errors are marked [ErrNotSent].
func (d *Dialer) connect(ctx context.Context, address string) (*trunk, error) {
	r := d.route(address)
	for {
		r.mutex.Lock()
		if r.trunk != nil && r.trunk.acceptsCalls() {
			defer r.mutex.Unlock()
			return r.trunk, nil
		}
		done := r.dialing
		if done == nil {
			if wait := r.breaker.WaitTime(time.Now()); wait > 0 {
				defer r.mutex.Unlock()
				return nil, errors.Mark(errors.Wrapf(r.failed, "next attempt to connect in %s", wait), ErrNotSent)
			}
			done = d.startDial(r)
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

// Call sends a call to the peer, connecting to it first if need be, and waits for
// the answer. Errors are marked [ErrNotSent] if the peer can't have run the call,
// and [ErrLost] if it may have.
func (d *Dialer) Call(ctx context.Context, address string, head CallHead, body []byte) (*Answer, error) {
	t, err := d.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return t.call(ctx, head, body)
}

// SendMessage sends a message to the peer. Without a connection to it the error is
// marked [ErrNotSent].
func (d *Dialer) SendMessage(address string, payload []byte) error {
	r := d.route(address)
	r.mutex.Lock()
	t := r.trunk
	r.mutex.Unlock()
	if t == nil || !t.acceptsCalls() {
		return errors.Mark(errors.Newf("no connection to %s", address), ErrNotSent)
	}
	return t.send(frame{kind: frameMessage, payload: payload})
}

// SendUpdate sends an update to the peer. If there is no connection to it, or it
// has not advertised a version with updates, the error is marked [ErrNotSent].
func (d *Dialer) SendUpdate(address string, payload []byte) error {
	r := d.route(address)
	r.mutex.Lock()
	t := r.trunk
	r.mutex.Unlock()
	if t == nil || !t.acceptsCalls() || t.version.Load() < versionUpdate {
		return errors.Mark(errors.Newf("no connection to %s that takes updates", address), ErrNotSent)
	}
	return t.send(frame{kind: frameUpdate, payload: payload})
}

// Peers returns the addresses of the connected peers, in no particular order.
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
		if r.trunk != nil && r.trunk.acceptsCalls() {
			peers = append(peers, r.address)
		}
		r.mutex.Unlock()
	}
	return peers
}

// Retain closes the connections to the peers for which keep returns false. A peer
// that is being dialed, or whose connection has calls in flight, is left for a
// later call of Retain.
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
		if dialing != nil || t != nil && t.isOpen() && t.callCount() > 0 {
			continue
		}
		if t != nil {
			_ = t.fail(errors.Mark(errors.New("peer was removed"), ErrLost))
		}
		delete(d.routes, address)
	}
}

// Close closes all connections. Calls on them fail.
func (d *Dialer) Close() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, r := range d.routes {
		r.mutex.Lock()
		if r.trunk != nil {
			_ = r.trunk.fail(errors.Mark(errors.New("node shuts down"), ErrLost))
		}
		r.mutex.Unlock()
	}
}
