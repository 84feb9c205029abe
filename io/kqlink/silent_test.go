package kqlink_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqlink"
	"kumquatlink/io/kqtrust"
)

// testPatience only ends a test that hangs.
const testPatience = time.Minute

// relay stands between two ends like something that keeps track of flows: it
// can lose track of those it knows, and passes new ones all the same.
type relay struct {
	t      testing.TB
	target *net.UDPAddr
	front  *net.UDPConn
	// seen gets a value for each datagram towards the target.
	seen chan struct{}

	mutex     sync.Mutex
	flows     map[string]*flow
	closed    bool
	dead      atomic.Bool
	swallowed atomic.Int64
}

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
		if f.silent.Load() || r.dead.Load() {
			r.swallowed.Add(1)
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
				r.swallowed.Add(1)
				continue
			}
			_, _ = r.front.WriteToUDP(buffer[:n], from)
		}
	}()
	return f
}

// silence loses track of all flows of the moment.
func (r *relay) silence() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, f := range r.flows {
		f.silent.Store(true)
	}
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

// peer is a server whose calls to "/wait" wait until they are let go.
type peer struct {
	server *kqlink.Server
	dialer *kqlink.Dialer
	begun  chan string
	letGo  chan struct{}
	ended  chan struct{}
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
	p := &peer{begun: make(chan string, 64), letGo: make(chan struct{}), ended: make(chan struct{}, 64)}
	p.server, err = kqlink.Listen("127.0.0.1:0", identity, kqlink.Handlers{
		Call: func(ctx context.Context, _ string, head kqlink.CallHead, body []byte) (kqlink.AnswerHead, []byte) {
			if head.Path == "/wait" {
				p.begun <- head.Head.RequestID
				select {
				case <-p.letGo:
				case <-ctx.Done():
					p.ended <- struct{}{}
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

func call(ctx context.Context, d *kqlink.Dialer, address, path string) error {
	answer, err := d.Call(ctx, address, kqlink.CallHead{Head: kqcall.Head{RequestID: path}, Path: path}, []byte("voices"))
	if err == nil && string(answer.Body) != "voices" {
		return errors.New("answer is not that of the call: " + string(answer.Body))
	}
	return err
}

func TestSilentLinkIsRetiredForAllCalls(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testPatience)
	defer cancel()
	p := newPeer(t)
	r := newRelay(t, p.server.Address())
	const waiting = 8
	ended := make(chan error, waiting)
	for range waiting {
		go func() { ended <- call(ctx, p.dialer, r.address(), "/wait") }()
	}
	for range waiting {
		<-p.begun
	}
	r.silence()
	for range waiting {
		err := <-ended
		if !errors.Is(err, kqlink.ErrSilent) || !errors.Is(err, kqlink.ErrLost) {
			t.Errorf("call on the silent link: got %v, want an error marked ErrSilent and ErrLost", err)
		}
	}
	if err := call(ctx, p.dialer, r.address(), "/list"); err != nil {
		t.Errorf("call after the silence: got %v, want an answer", err)
	}
	if r.swallowed.Load() == 0 {
		t.Error("the relay swallowed nothing, so that the test proves nothing")
	}
}

// TestShortCallsFindSilentLink sends only calls that give up before a ping is
// due.
func TestShortCallsFindSilentLink(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testPatience)
	defer cancel()
	p := newPeer(t)
	r := newRelay(t, p.server.Address())
	if err := call(ctx, p.dialer, r.address(), "/list"); err != nil {
		t.Fatal(err)
	}
	r.silence()
	for ctx.Err() == nil {
		short, stop := context.WithTimeout(ctx, 30*time.Millisecond)
		err := call(short, p.dialer, r.address(), "/list")
		stop()
		if err == nil {
			break
		}
	}
	if ctx.Err() != nil {
		t.Error("no call has got through since the silence")
	}
	if r.swallowed.Load() == 0 {
		t.Error("the relay swallowed nothing, so that the test proves nothing")
	}
}

// TestSlowCallKeepsItsLink lets a call wait for far longer than a link may be
// quiet; the pings that go past show that time has passed.
func TestSlowCallKeepsItsLink(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testPatience)
	defer cancel()
	p := newPeer(t)
	r := newRelay(t, p.server.Address())
	ended := make(chan error, 1)
	go func() { ended <- call(ctx, p.dialer, r.address(), "/wait") }()
	<-p.begun
	for range 40 {
		select {
		case <-r.seen:
		case <-ctx.Done():
			t.Fatal("no pings are sent while a call is owed")
		}
	}
	close(p.letGo)
	if err := <-ended; err != nil {
		t.Errorf("slow call: got %v, want an answer", err)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if got, want := len(r.flows), 1; got != want {
		t.Errorf("links: got %d, want %d", got, want)
	}
}

// TestSilentPeerIsGivenUp has new links go silent as well, as when the peer's
// host is gone.
func TestSilentPeerIsGivenUp(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testPatience)
	defer cancel()
	p := newPeer(t)
	r := newRelay(t, p.server.Address())
	ended := make(chan error, 1)
	go func() { ended <- call(ctx, p.dialer, r.address(), "/wait") }()
	<-p.begun
	r.dead.Store(true)
	if err := <-ended; !errors.Is(err, kqlink.ErrSilent) {
		t.Errorf("call to a peer that is gone: got %v, want an error marked ErrSilent", err)
	}
	if err := call(ctx, p.dialer, r.address(), "/list"); !errors.Is(err, kqlink.ErrNotSent) {
		t.Errorf("next call: got %v, want an error marked ErrNotSent", err)
	}
	for p.dialer.Usable(r.address()) {
		_ = call(ctx, p.dialer, r.address(), "/list")
	}
	r.dead.Store(false)
	for !p.dialer.Usable(r.address()) {
		select {
		case <-r.seen:
		case <-ctx.Done():
			t.Fatal("the peer came back and is not usable")
		}
	}
	if err := call(ctx, p.dialer, r.address(), "/list"); err != nil {
		t.Errorf("call after the peer came back: got %v, want an answer", err)
	}
	if r.swallowed.Load() == 0 {
		t.Error("the relay swallowed nothing, so that the test proves nothing")
	}
}

func TestCancelledCallEndsAtThePeer(t *testing.T) {
	p := newPeer(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- call(ctx, p.dialer, p.server.Address(), "/wait") }()
	<-p.begun
	cancel()
	<-p.ended
	if err := <-ended; !errors.Is(err, kqlink.ErrLost) {
		t.Errorf("cancelled call: got %v, want an error marked ErrLost", err)
	}
}

// TestUnreachablePeerIsNotUsable also shows that the peer is tried again in
// the background.
func TestUnreachablePeerIsNotUsable(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testPatience)
	defer cancel()
	p := newPeer(t)
	nobody, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer nobody.Close()
	address := nobody.LocalAddr().String()
	for p.dialer.Usable(address) {
		if err := call(ctx, p.dialer, address, "/list"); !errors.Is(err, kqlink.ErrNotSent) {
			t.Fatalf("call to nobody: got %v, want an error marked ErrNotSent", err)
		}
	}
	if err := call(ctx, p.dialer, address, "/list"); !errors.Is(err, kqlink.ErrNotSent) {
		t.Errorf("call to a peer known to be away: got %v, want an error marked ErrNotSent", err)
	}
}

// BenchmarkSilentLink gives the time from the silence to the end of a call on
// the silent link.
func BenchmarkSilentLink(b *testing.B) {
	p := newPeer(b)
	longest := time.Duration(0)
	for range b.N {
		r := newRelay(b, p.server.Address())
		ended := make(chan error, 1)
		go func() { ended <- call(context.Background(), p.dialer, r.address(), "/wait") }()
		<-p.begun
		r.silence()
		begun := time.Now()
		if err := <-ended; !errors.Is(err, kqlink.ErrSilent) {
			b.Fatal(err)
		}
		longest = max(longest, time.Since(begun))
	}
	b.ReportMetric(float64(longest.Milliseconds()), "longest-ms")
}
