package kqmeasure

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqbackend"
	"kumquatlink/io/kqfleet"
	"kumquatlink/io/kqhttp"
	"kumquatlink/io/kqobject"
)

// Habits of the naive policy.
const (
	naiveRetries = 3
	naiveTimeout = time.Second
)

// naive is the baseline: round robin over all upstreams, a fixed timeout for
// each try and a fixed number of retries at each hop, straight from caller to
// backend server.
type naive struct {
	next  atomic.Int64
	mutex sync.Mutex
	// upstreams are by service; the slices are replaced and never changed.
	upstreams map[string][]*naiveUpstream
}

// naiveUpstream is a backend server with the connections to it.
type naiveUpstream struct {
	host *host
	pool *kqhttp.Pool

	mutex     sync.Mutex
	open      []*silentConn
	swallowed *atomic.Int64
}

func (w *world) startNaive() error {
	w.naive = &naive{upstreams: map[string][]*naiveUpstream{}}
	w.store = kqobject.New()
	if err := w.store.Listen(anyPort); err != nil {
		return errors.Wrap(err, "start store")
	}
	w.send = func(ctx context.Context, region string, c kqbackend.Call, _ *rand.Rand) (kqbackend.Answer, string) {
		return w.naive.send(ctx, kqfleet.Place{Region: region}, c), ""
	}
	for _, s := range w.profile.Services {
		for i, place := range places(w.profile, s.Name) {
			if err := w.addNaive(place, w.settings(s, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *world) addNaive(place kqfleet.Place, settings kqbackend.Settings) error {
	settings.Send = func(ctx context.Context, c kqbackend.Call) kqbackend.Answer {
		return w.naive.send(ctx, place, c)
	}
	h := &host{place: place, service: settings.Service, backend: kqbackend.New(settings)}
	if err := h.backend.Listen(anyPort); err != nil {
		return err
	}
	u := &naiveUpstream{host: h, swallowed: &atomic.Int64{}}
	u.pool = kqhttp.NewPool(h.backend.Address(), kqhttp.WithMaxIdle(maxIdleCallers), kqhttp.WithDial(u.dial))
	w.mutex.Lock()
	w.backends = append(w.backends, h)
	w.mutex.Unlock()
	w.naive.mutex.Lock()
	defer w.naive.mutex.Unlock()
	w.naive.upstreams[h.service] = append(slices.Clone(w.naive.upstreams[h.service]), u)
	return nil
}

// forget takes a host from the list, as a registry does after a while.
func (n *naive) forget(h *host) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.upstreams[h.service] = slices.DeleteFunc(slices.Clone(n.upstreams[h.service]), func(u *naiveUpstream) bool { return u.host == h })
}

func (n *naive) list(service string) []*naiveUpstream {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.upstreams[service]
}

// send makes a call with its retries.
func (n *naive) send(ctx context.Context, from kqfleet.Place, c kqbackend.Call) kqbackend.Answer {
	var answer kqbackend.Answer
	for try := 0; try <= naiveRetries && ctx.Err() == nil; try++ {
		upstreams := n.list(c.Service)
		u := upstreams[int(n.next.Add(1))%len(upstreams)]
		answer = u.try(ctx, from, c)
		if answer.Err == nil && answer.Status == fasthttp.StatusOK {
			return answer
		}
	}
	return answer
}

// try makes a call once, with the latency between the places.
func (u *naiveUpstream) try(ctx context.Context, from kqfleet.Place, c kqbackend.Call) kqbackend.Answer {
	latency := kqfleet.RoundTrip(from, u.host.place)
	if from.FailureDomain == "" && from.Region == u.host.place.Region {
		latency = 0
	}
	ctx, cancel := context.WithTimeout(ctx, naiveTimeout)
	defer cancel()
	if !pause(ctx, latency/2) {
		return kqbackend.Answer{Err: ctx.Err()}
	}
	answer := post(ctx, u.pool, u.host.place.NodeID, c)
	if answer.Status == fasthttp.StatusServiceUnavailable {
		answer.Cause = string(kqcall.CauseBackendShed)
	}
	if !pause(ctx, latency-latency/2) {
		return kqbackend.Answer{Err: ctx.Err()}
	}
	return answer
}

// pause waits and says whether ctx lasted.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (u *naiveUpstream) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s := &silentConn{Conn: c, swallowed: u.swallowed, closed: make(chan struct{})}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.open = append(u.open, s)
	return s, nil
}

// silence makes every connection that is open by now go silent for good.
func (u *naiveUpstream) silence() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for _, s := range u.open {
		s.silent.Store(true)
	}
	u.open = nil
}

// silentConn is a connection that may go silent.
type silentConn struct {
	net.Conn
	silent    atomic.Bool
	swallowed *atomic.Int64
	closed    chan struct{}
	once      sync.Once
}

// Write swallows the bytes of a silent connection.
func (s *silentConn) Write(p []byte) (int, error) {
	if s.silent.Load() {
		s.swallowed.Add(1)
		return len(p), nil
	}
	return s.Conn.Write(p)
}

// Read never gives a byte that came after the connection went silent.
func (s *silentConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if err == nil && s.silent.Load() {
		s.swallowed.Add(1)
		<-s.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Close closes the connection.
func (s *silentConn) Close() error {
	s.once.Do(func() { close(s.closed) })
	return s.Conn.Close()
}
