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

// stallingProxy forwards bytes between a dialer and a peer, and can delay them for
// a time without dropping any.
type stallingProxy struct {
	listener net.Listener
	mutex    sync.Mutex
	// releases holds a channel for each connection, whose bytes are delayed until
	// it is closed. nextRelease is the channel for connections made later.
	releases    []chan struct{}
	nextRelease chan struct{}
}

func newStallingProxy(t *testing.T, to string) *stallingProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &stallingProxy{listener: l, nextRelease: make(chan struct{})}
	close(h.nextRelease)
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
			number := len(h.releases)
			h.releases = append(h.releases, h.nextRelease)
			h.mutex.Unlock()
			go h.forward(number, far, near)
			go h.forward(number, near, far)
		}
	}()
	return h
}

// forward copies the bytes of one direction of a connection.
func (h *stallingProxy) forward(number int, to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		h.mutex.Lock()
		release := h.releases[number]
		h.mutex.Unlock()
		<-release
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// stall delays all bytes of the existing connections, and with wholePeer those of
// later connections too, until the returned channel is closed.
func (h *stallingProxy) stall(wholePeer bool) chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	release := make(chan struct{})
	for i := range h.releases {
		h.releases[i] = release
	}
	if wholePeer {
		h.nextRelease = release
	}
	return release
}

// startWaitingCall starts a call that waits at the peer. Its error is sent on the
// returned channel.
func startWaitingCall(t *testing.T, p *peer, d *kqtrunk.Dialer, address string, head kqtrunk.CallHead) chan error {
	t.Helper()
	head.Service = "wait"
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_, err := d.Call(ctx, address, head, nil)
		ended <- err
	}()
	<-p.started
	return ended
}

// stallTime is how long a peer stalls: longer than it takes to retire its
// connection.
const stallTime = 1500 * time.Millisecond

// TestRunOnceCallWaitsForAStalledPeer has a peer stall for a while, on all
// connections. A call that must not run twice has to get its answer after the
// stall. One that may run elsewhere has to fail early.
func TestRunOnceCallWaitsForAStalledPeer(t *testing.T) {
	p := newPeer(t)
	h := newStallingProxy(t, p.server.Address())
	address := h.listener.Addr().String()
	d := kqtrunk.NewDialer(kqtrunk.Handlers{})
	defer d.Close()
	runOnce := startWaitingCall(t, p, d, address, kqtrunk.CallHead{RequestID: "once", RunOnce: true})
	repeatable := startWaitingCall(t, p, d, address, kqtrunk.CallHead{RequestID: "often"})
	release := h.stall(true)
	resume := time.AfterFunc(stallTime, func() { close(release) })
	defer resume.Stop()
	if err := <-repeatable; !errors.Is(err, kqtrunk.ErrSilent) {
		t.Errorf("call that may run elsewhere: got %v, want an error marked ErrSilent", err)
	}
	close(p.release)
	if err := <-runOnce; err != nil {
		t.Errorf("call that must not run twice: got %v, want its answer", err)
	}
	if _, err := d.Call(testContext(t), address, kqtrunk.CallHead{RequestID: "next"}, nil); err != nil {
		t.Errorf("next call: got %v, want an answer", err)
	}
}

// TestRunOnceCallOnADeadConnectionFails has only one connection go silent for good,
// while the peer answers on new ones. A call that must not run twice has to fail
// then, and not to wait for its deadline.
func TestRunOnceCallOnADeadConnectionFails(t *testing.T) {
	p := newPeer(t)
	h := newStallingProxy(t, p.server.Address())
	address := h.listener.Addr().String()
	d := kqtrunk.NewDialer(kqtrunk.Handlers{})
	defer d.Close()
	runOnce := startWaitingCall(t, p, d, address, kqtrunk.CallHead{RequestID: "once", RunOnce: true})
	release := h.stall(false)
	defer close(release)
	begun := time.Now()
	if err := <-runOnce; !errors.Is(err, kqtrunk.ErrSilent) || !errors.Is(err, kqtrunk.ErrLost) {
		t.Errorf("call on a dead connection: got %v, want an error marked ErrSilent and ErrLost", err)
	}
	if took := time.Since(begun); took > testTimeout/2 {
		t.Errorf("call on a dead connection: failed after %s, want it to fail long before its deadline", took)
	}
}
