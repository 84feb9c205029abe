package kqlink_test

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqlink"
	"kumquatlink/io/kqtrust"
)

// testTimeout ends a test that hangs.
const testTimeout = time.Minute

// relay forwards datagrams between dialers and a target. Like a firewall or address
// translator, it keeps state for each flow. It can drop the flows that it knows,
// and still forward new ones.
type relay struct {
	t      testing.TB
	target *net.UDPAddr
	front  *net.UDPConn
	// seen receives a value for each datagram towards the target.
	seen chan struct{}

	mutex  sync.Mutex
	flows  map[string]*flow
	closed bool
	// down is set while the relay drops all datagrams towards the target.
	down atomic.Bool
	// dropped counts the datagrams that were not forwarded.
	dropped atomic.Int64
}

// flow is the state of the relay for one address of a dialer. While silent is set,
// its datagrams are dropped in both directions.
type flow struct {
	back   *net.UDPConn
	silent atomic.Bool
}

func newRelay(t testing.TB, target string) *relay {
	t.Helper()
	address, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		t.Fatal(err)
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{t: t, target: address, front: front, seen: make(chan struct{}, 1024), flows: map[string]*flow{}}
	go r.run()
	t.Cleanup(r.close)
	return r
}

func (r *relay) address() string {
	return r.front.LocalAddr().String()
}

// run forwards the datagrams towards the target until the relay is closed.
func (r *relay) run() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := r.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		f := r.flow(from)
		if f == nil {
			return
		}
		if f.silent.Load() || r.down.Load() {
			r.dropped.Add(1)
			select {
			case r.seen <- struct{}{}:
			default:
			}
			continue
		}
		_, _ = f.back.Write(buffer[:n])
		select {
		case r.seen <- struct{}{}:
		default:
		}
	}
}

// flow returns the flow from the address, and starts it if it is new. It returns
// nil if that is not possible.
func (r *relay) flow(from *net.UDPAddr) *flow {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if f, found := r.flows[from.String()]; found || r.closed {
		return f
	}
	back, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		r.t.Errorf("relay: %v", err)
		return nil
	}
	f := &flow{back: back}
	r.flows[from.String()] = f
	go func() {
		buffer := make([]byte, 2048)
		for {
			n, err := back.Read(buffer)
			if err != nil {
				return
			}
			if f.silent.Load() {
				r.dropped.Add(1)
				continue
			}
			_, _ = r.front.WriteToUDP(buffer[:n], from)
		}
	}()
	return f
}

// dropFlows drops the later datagrams of all flows that exist now.
func (r *relay) dropFlows() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, f := range r.flows {
		f.silent.Store(true)
	}
}

// awaitPings waits until the datagrams of several pings have passed, which takes far
// longer than until a link without replies is pinged.
func (r *relay) awaitPings(ctx context.Context) {
	r.t.Helper()
	for range 40 {
		select {
		case <-r.seen:
		case <-ctx.Done():
			r.t.Fatal("no pings are sent while a call waits for its answer")
		}
	}
}

// allFlows returns all flows that exist now.
func (r *relay) allFlows() []*flow {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Collect(maps.Values(r.flows))
}

func (r *relay) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	_ = r.front.Close()
	for _, f := range r.flows {
		_ = f.back.Close()
	}
}

// peer is a server that echoes the bodies of calls, with a dialer for it. It answers
// calls to the path "/wait" only after release is closed.
type peer struct {
	server    *kqlink.Server
	dialer    *kqlink.Dialer
	started   chan string
	release   chan struct{}
	cancelled chan struct{}
}

func newPeer(t testing.TB) *peer {
	t.Helper()
	authority, err := kqtrust.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	identity, err := authority.Issue("node-1")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{started: make(chan string, 64), release: make(chan struct{}), cancelled: make(chan struct{}, 64)}
	p.server, err = kqlink.Listen("127.0.0.1:0", identity, kqlink.Handlers{
		Call: func(ctx context.Context, _ string, head kqlink.CallHead, body []byte) (kqlink.AnswerHead, []byte) {
			if head.Path == "/wait" {
				p.started <- head.Head.RequestID
				select {
				case <-p.release:
				case <-ctx.Done():
					p.cancelled <- struct{}{}
				}
			}
			return kqlink.AnswerHead{End: kqcall.Ran(), Status: 200}, body
		},
		Message: func(_ context.Context, _ string, message []byte) ([]byte, error) { return message, nil },
		Submit:  func(task func()) error { go task(); return nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	p.dialer = kqlink.NewDialer(identity)
	t.Cleanup(func() {
		p.dialer.Close()
		_ = p.server.Close()
	})
	return p
}

// call makes a call and checks that its answer is the body.
func call(ctx context.Context, d *kqlink.Dialer, address, path string) error {
	answer, err := d.Call(ctx, address, kqlink.CallHead{Head: kqcall.Head{RequestID: path}, Path: path}, []byte("voices"))
	if err == nil && string(answer.Body) != "voices" {
		return errors.New("answer is not the body of the call: " + string(answer.Body))
	}
	return err
}

func TestSilentLinkFailsAllItsCalls(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	p := newPeer(t)
	r := newRelay(t, p.server.Address())
	const waiting = 8
	ended := make(chan error, waiting)
	for range waiting {
		go func() { ended <- call(ctx, p.dialer, r.address(), "/wait") }()
	}
	for range waiting {
		<-p.started
	}
	r.dropFlows()
	for range waiting {
		err := <-ended
		if !errors.Is(err, kqlink.ErrSilent) || !errors.Is(err, kqlink.ErrLost) {
			t.Errorf("call on the silent link: got %v, want an error marked ErrSilent and ErrLost", err)
		}
	}
	if err := call(ctx, p.dialer, r.address(), "/list"); err != nil {
		t.Errorf("call after the link went silent: got %v, want an answer", err)
	}
	if r.dropped.Load() == 0 {
		t.Error("the relay dropped no datagram, so that the test proves nothing")
	}
}

// TestShortCallsDetectSilentLink sends only calls whose deadlines are shorter than
// the time after which a link is pinged.
func TestShortCallsDetectSilentLink(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	p := newPeer(t)
	r := newRelay(t, p.server.Address())
	if err := call(ctx, p.dialer, r.address(), "/list"); err != nil {
		t.Fatal(err)
	}
	r.dropFlows()
	for ctx.Err() == nil {
		short, stop := context.WithTimeout(ctx, 30*time.Millisecond)
		err := call(short, p.dialer, r.address(), "/list")
		stop()
		if err == nil {
			break
		}
	}
	if ctx.Err() != nil {
		t.Error("no call was answered after the link went silent")
	}
	if r.dropped.Load() == 0 {
		t.Error("the relay dropped no datagram, so that the test proves nothing")
	}
}

// TestSlowCallKeepsItsLink has a call wait for far longer than the time after which
// a link without replies is pinged. The datagrams of the pings show that the time
// has passed.
func TestSlowCallKeepsItsLink(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	p := newPeer(t)
	r := newRelay(t, p.server.Address())
	ended := make(chan error, 1)
	go func() { ended <- call(ctx, p.dialer, r.address(), "/wait") }()
	<-p.started
	r.awaitPings(ctx)
	close(p.release)
	if err := <-ended; err != nil {
		t.Errorf("slow call: got %v, want an answer", err)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if got, want := len(r.flows), 1; got != want {
		t.Errorf("links: got %d, want %d", got, want)
	}
}

// TestLinkThatLostAPingIsRetired has a link lose what is sent for a while, until its
// replacement is being opened. It repeats what was lost only after a pause that grows,
// while all that the replacement sends is new. The link must be kept, since it passes
// bytes again.
func TestLinkThatLostAPingIsRetired(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for i := range 5 {
		p := newPeer(t)
		r := newRelay(t, p.server.Address())
		ended := make(chan error, 1)
		go func() { ended <- call(ctx, p.dialer, r.address(), "/wait") }()
		<-p.started
		r.dropFlows()
		for len(r.allFlows()) < 2 {
			select {
			case <-r.seen:
			case <-ctx.Done():
				t.Fatal("no replacement is opened for a link that is silent")
			}
		}
		for _, f := range r.allFlows() {
			f.silent.Store(false)
		}
		r.awaitPings(ctx)
		close(p.release)
		if err := <-ended; err != nil {
			t.Errorf("call %d on a link that passes bytes again: got %v, want an answer", i, err)
		}
	}
}

// TestSilentPeerIsUnusableUntilItReturns has new links go silent as well, as if the
// peer's host was gone for a time.
func TestSilentPeerIsUnusableUntilItReturns(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	p := newPeer(t)
	r := newRelay(t, p.server.Address())
	ended := make(chan error, 1)
	go func() { ended <- call(ctx, p.dialer, r.address(), "/wait") }()
	<-p.started
	r.down.Store(true)
	if err := <-ended; !errors.Is(err, kqlink.ErrSilent) {
		t.Errorf("waiting call to a silent peer: got %v, want an error marked ErrSilent", err)
	}
	if err := call(ctx, p.dialer, r.address(), "/list"); !errors.Is(err, kqlink.ErrNotSent) {
		t.Errorf("later call to a silent peer: got %v, want an error marked ErrNotSent", err)
	}
	for p.dialer.Usable(r.address()) {
		_ = call(ctx, p.dialer, r.address(), "/list")
	}
	r.down.Store(false)
	for !p.dialer.Usable(r.address()) {
		select {
		case <-r.seen:
		case <-ctx.Done():
			t.Fatal("the peer can be reached again, but did not become usable")
		}
	}
	if err := call(ctx, p.dialer, r.address(), "/list"); err != nil {
		t.Errorf("call after the peer can be reached again: got %v, want an answer", err)
	}
	if r.dropped.Load() == 0 {
		t.Error("the relay dropped no datagram, so that the test proves nothing")
	}
}

func TestCancelledCallEndsAtThePeer(t *testing.T) {
	p := newPeer(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- call(ctx, p.dialer, p.server.Address(), "/wait") }()
	<-p.started
	cancel()
	<-p.cancelled
	if err := <-ended; !errors.Is(err, kqlink.ErrLost) {
		t.Errorf("cancelled call: got %v, want an error marked ErrLost", err)
	}
}

// TestUnreachablePeerIsNotUsable calls an address whose socket is open but never
// read.
func TestUnreachablePeerIsNotUsable(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	p := newPeer(t)
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	address := socket.LocalAddr().String()
	for p.dialer.Usable(address) {
		if err := call(ctx, p.dialer, address, "/list"); !errors.Is(err, kqlink.ErrNotSent) {
			t.Fatalf("call to an unreachable peer: got %v, want an error marked ErrNotSent", err)
		}
	}
	if err := call(ctx, p.dialer, address, "/list"); !errors.Is(err, kqlink.ErrNotSent) {
		t.Errorf("call to a peer known to be unreachable: got %v, want an error marked ErrNotSent", err)
	}
}

// BenchmarkSilentLink measures the time until a call on a link that goes silent
// fails, and reports the longest.
func BenchmarkSilentLink(b *testing.B) {
	p := newPeer(b)
	longest := time.Duration(0)
	for range b.N {
		r := newRelay(b, p.server.Address())
		ended := make(chan error, 1)
		go func() { ended <- call(context.Background(), p.dialer, r.address(), "/wait") }()
		<-p.started
		r.dropFlows()
		start := time.Now()
		if err := <-ended; !errors.Is(err, kqlink.ErrSilent) {
			b.Fatal(err)
		}
		longest = max(longest, time.Since(start))
	}
	b.ReportMetric(float64(longest.Milliseconds()), "longest-ms")
}
