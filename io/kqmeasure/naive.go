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

// Constants of the naive policy.
const (
	naiveRetries = 3
	naiveTimeout = time.Second
)

// naiveClient makes the calls of the naive policy, the baseline: straight to
// backend servers, round robin over all upstreams, with a fixed timeout for each
// try and a fixed number of retries at each hop.
type naiveClient struct {
	next  atomic.Int64
	mutex sync.Mutex
	// upstreams holds the upstreams by service. A slice is replaced and never
	// modified, so that it may be read without the mutex.
	upstreams map[string][]*naiveUpstream
}

// naiveUpstream is a backend server with the open connections to it.
type naiveUpstream struct {
	host *host
	pool *kqhttp.Pool

	mutex     sync.Mutex
	openConns []*silentConn
	dropped   *atomic.Int64
}

// startNaive starts the store and the backend servers without nodes.
func (tb *testbed) startNaive() error {
	tb.naive = &naiveClient{upstreams: map[string][]*naiveUpstream{}}
	tb.store = kqobject.New()
	if err := tb.store.Listen(anyPort); err != nil {
		return errors.Wrap(err, "start store")
	}
	tb.send = func(ctx context.Context, region string, c kqbackend.Call, _ *rand.Rand) (kqbackend.Answer, string) {
		return tb.naive.send(ctx, kqfleet.Place{Region: region}, c), ""
	}
	for _, s := range tb.profile.Services {
		for i, place := range places(tb.profile, s.Name) {
			if err := tb.addNaiveHost(place, tb.settings(s, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

// addNaiveHost starts a backend server that makes its onward calls directly.
func (tb *testbed) addNaiveHost(place kqfleet.Place, settings kqbackend.Settings) error {
	settings.Send = func(ctx context.Context, c kqbackend.Call) kqbackend.Answer {
		return tb.naive.send(ctx, place, c)
	}
	h := &host{place: place, service: settings.Service, backend: kqbackend.New(settings)}
	if err := h.backend.Listen(anyPort); err != nil {
		return err
	}
	u := &naiveUpstream{host: h, dropped: &atomic.Int64{}}
	u.pool = kqhttp.NewPool(h.backend.Address(), kqhttp.WithMaxIdle(maxIdleCallers), kqhttp.WithDial(u.dial))
	tb.mutex.Lock()
	tb.backends = append(tb.backends, h)
	tb.mutex.Unlock()
	tb.naive.mutex.Lock()
	defer tb.naive.mutex.Unlock()
	tb.naive.upstreams[h.service] = append(slices.Clone(tb.naive.upstreams[h.service]), u)
	return nil
}

// removeHost removes a host from the list of upstreams.
func (n *naiveClient) removeHost(h *host) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.upstreams[h.service] = slices.DeleteFunc(slices.Clone(n.upstreams[h.service]), func(u *naiveUpstream) bool { return u.host == h })
}

func (n *naiveClient) upstreamsOf(service string) []*naiveUpstream {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.upstreams[service]
}

// send makes a call and retries it until it succeeds or the retries are used
// up. It returns the last answer.
func (n *naiveClient) send(ctx context.Context, from kqfleet.Place, c kqbackend.Call) kqbackend.Answer {
	var answer kqbackend.Answer
	for try := 0; try <= naiveRetries && ctx.Err() == nil; try++ {
		upstreams := n.upstreamsOf(c.Service)
		u := upstreams[int(n.next.Add(1))%len(upstreams)]
		answer = u.sendOnce(ctx, from, c)
		if answer.Err == nil && answer.Status == fasthttp.StatusOK {
			return answer
		}
	}
	return answer
}

// sendOnce makes a call once and adds the network latency between the places.
// There is none between a caller and an upstream of its region.
func (u *naiveUpstream) sendOnce(ctx context.Context, from kqfleet.Place, c kqbackend.Call) kqbackend.Answer {
	latency := kqfleet.RoundTrip(from, u.host.place)
	if from.FailureDomain == "" && from.Region == u.host.place.Region {
		latency = 0
	}
	ctx, cancel := context.WithTimeout(ctx, naiveTimeout)
	defer cancel()
	if !sleep(ctx, latency/2) {
		return kqbackend.Answer{Err: ctx.Err()}
	}
	answer := sendCall(ctx, u.pool, u.host.place.NodeID, c)
	if answer.Status == fasthttp.StatusServiceUnavailable {
		answer.Cause = string(kqcall.CauseBackendShed)
	}
	if !sleep(ctx, latency-latency/2) {
		return kqbackend.Answer{Err: ctx.Err()}
	}
	return answer
}

// sleep waits for d and reports whether ctx did not end before.
func sleep(ctx context.Context, d time.Duration) bool {
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

// dial connects to the upstream, and records the connection so that dropFlows can
// silence it.
func (u *naiveUpstream) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s := &silentConn{Conn: c, dropped: u.dropped, closed: make(chan struct{})}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.openConns = append(u.openConns, s)
	return s, nil
}

// dropFlows makes every connection that is open now silent for good.
func (u *naiveUpstream) dropFlows() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for _, s := range u.openConns {
		s.silent.Store(true)
	}
	u.openConns = nil
}

// silentConn is a connection that can be made silent: it then stays open, but
// loses everything that is sent either way. It counts what it drops.
type silentConn struct {
	net.Conn
	silent  atomic.Bool
	dropped *atomic.Int64
	closed  chan struct{}
	once    sync.Once
}

// Write drops the bytes of a silent connection and reports success.
func (s *silentConn) Write(p []byte) (int, error) {
	if s.silent.Load() {
		s.dropped.Add(1)
		return len(p), nil
	}
	return s.Conn.Write(p)
}

// Read drops bytes that arrive on a silent connection and blocks until Close.
func (s *silentConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if err == nil && s.silent.Load() {
		s.dropped.Add(1)
		<-s.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Close closes the connection and ends a blocked Read.
func (s *silentConn) Close() error {
	s.once.Do(func() { close(s.closed) })
	return s.Conn.Close()
}
