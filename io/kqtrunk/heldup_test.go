package kqtrunk_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqtrunk"
)

// holder stands between a dialer and a peer, and holds bytes up on the
// connections that it is told.
type holder struct {
	listener net.Listener
	mutex    sync.Mutex
	// held is closed when the bytes of a connection may go on, and next those
	// of the connections that are still to come.
	held []chan struct{}
	next chan struct{}
}

func newHolder(t *testing.T, to string) *holder {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &holder{listener: l, next: make(chan struct{})}
	close(h.next)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				_ = near.Close()
				continue
			}
			h.mutex.Lock()
			number := len(h.held)
			h.held = append(h.held, h.next)
			h.mutex.Unlock()
			go h.pass(number, far, near)
			go h.pass(number, near, far)
		}
	}()
	return h
}

func (h *holder) pass(number int, to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		h.mutex.Lock()
		held := h.held[number]
		h.mutex.Unlock()
		<-held
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// hold holds up the connections that stand, and those made later as well if
// the whole peer is held up.
func (h *holder) hold(peer bool) chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	letGo := make(chan struct{})
	for i := range h.held {
		h.held[i] = letGo
	}
	if peer {
		h.next = letGo
	}
	return letGo
}

// callThen begins a call that waits at the peer and gives its end.
func callThen(t *testing.T, p *peer, d *kqtrunk.Dialer, address string, head kqtrunk.CallHead) chan error {
	t.Helper()
	head.Service = "wait"
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testPatience)
		defer cancel()
		_, err := d.Call(ctx, address, head, nil)
		ended <- err
	}()
	<-p.begun
	return ended
}

// heldUp is for how long a peer is silent: longer than until that is found.
const heldUp = 1500 * time.Millisecond

// TestRunsAtAPeerThatIsHeldUpAreWaitedFor has a peer say nothing for a while,
// on any connection, and go on then. What may run elsewhere is given up.
func TestRunsAtAPeerThatIsHeldUpAreWaitedFor(t *testing.T) {
	p := newPeer(t)
	h := newHolder(t, p.server.Address())
	address := h.listener.Addr().String()
	d := kqtrunk.NewDialer(kqtrunk.Handlers{})
	defer d.Close()
	once := callThen(t, p, d, address, kqtrunk.CallHead{RequestID: "once", RunOnce: true})
	often := callThen(t, p, d, address, kqtrunk.CallHead{RequestID: "often"})
	letGo := h.hold(true)
	awake := time.AfterFunc(heldUp, func() { close(letGo) })
	defer awake.Stop()
	if err := <-often; !errors.Is(err, kqtrunk.ErrSilent) {
		t.Errorf("call that may run elsewhere: got %v, want an error marked ErrSilent", err)
	}
	close(p.letGo)
	if err := <-once; err != nil {
		t.Errorf("call that must not run twice: got %v, want its answer", err)
	}
	if _, err := d.Call(patient(t), address, kqtrunk.CallHead{RequestID: "next"}, nil); err != nil {
		t.Errorf("next call: got %v, want an answer", err)
	}
}

// TestRunsOnAConnectionThatIsDeadAreGivenUp has only the connection fall silent
// for good, while new ones work.
func TestRunsOnAConnectionThatIsDeadAreGivenUp(t *testing.T) {
	p := newPeer(t)
	h := newHolder(t, p.server.Address())
	address := h.listener.Addr().String()
	d := kqtrunk.NewDialer(kqtrunk.Handlers{})
	defer d.Close()
	once := callThen(t, p, d, address, kqtrunk.CallHead{RequestID: "once", RunOnce: true})
	letGo := h.hold(false)
	defer close(letGo)
	begun := time.Now()
	if err := <-once; !errors.Is(err, kqtrunk.ErrSilent) || !errors.Is(err, kqtrunk.ErrLost) {
		t.Errorf("call on a dead connection: got %v, want an error marked ErrSilent and ErrLost", err)
	}
	if took := time.Since(begun); took > testPatience/2 {
		t.Errorf("call on a dead connection: given up after %s, want it long before its time is over", took)
	}
}
