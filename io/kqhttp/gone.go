package kqhttp

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"kumquatlink/core/kqrequest"
)

// TCP keep-alive settings of caller connections. The kernel closes a quiet
// connection whose caller acknowledges none of the probes.
const (
	callerKeepAliveIdle     = 10 * time.Second
	callerKeepAliveInterval = 2 * time.Second
	callerKeepAliveCount    = 3
)

// maxEventsPerWait bounds the disconnects that one epoll wait returns.
const maxEventsPerWait = 64

// Listener accepts TCP connections and notifies handlers when a caller
// disconnects; see [OnDisconnect]. The fasthttp server does not notice this, as
// it reads nothing while a handler runs. Listener uses epoll, which reports the
// disconnect even while pipelined requests are still unread, and reads no bytes
// that belong to the server. The bytes that the server reads are checked by
// [kqrequest]: it never gets a complete request that does not follow the grammar.
type Listener struct {
	net.Listener
	events *os.File

	mutex       sync.Mutex
	nextID      uint64
	connections map[uint64]*watchedConn
}

// watchedConn is an accepted connection that epoll watches for a disconnect.
type watchedConn struct {
	net.Conn
	listener *Listener
	id       uint64
	// requests checks what is read, and malformed is the error that ends the reading.
	// Only the server's reading goroutine uses them.
	requests  kqrequest.Stream
	malformed error

	mutex        sync.Mutex
	disconnected bool
	onDisconnect func()
}

// NewListener wraps a TCP listener to watch the connections that it accepts.
func NewListener(l net.Listener) (*Listener, error) {
	descriptor, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, errors.Wrap(err, "create epoll instance")
	}
	if err := unix.SetNonblock(descriptor, true); err != nil {
		_ = unix.Close(descriptor)
		return nil, errors.Wrap(err, "make epoll descriptor non-blocking")
	}
	w := &Listener{
		Listener:    l,
		events:      os.NewFile(uintptr(descriptor), "caller events"),
		connections: map[uint64]*watchedConn{},
	}
	go w.pollEvents()
	return w, nil
}

// Accept returns the next connection. A TCP connection is watched and sends
// keep-alive probes.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: callerKeepAliveIdle, Interval: callerKeepAliveInterval, Count: callerKeepAliveCount,
	})
	return l.add(tcp), nil
}

// Close closes the listener. Open connections stay open but are no longer
// watched.
func (l *Listener) Close() error {
	return errors.CombineErrors(l.Listener.Close(), l.events.Close())
}

// add watches a connection. If epoll refuses it, it is served unwatched.
func (l *Listener) add(c *net.TCPConn) net.Conn {
	l.mutex.Lock()
	l.nextID++
	w := &watchedConn{Conn: c, listener: l, id: l.nextID}
	l.connections[w.id] = w
	l.mutex.Unlock()
	err := withDescriptor(l.events, func(events int) error {
		return withDescriptor(c, func(descriptor int) error {
			return unix.EpollCtl(events, unix.EPOLL_CTL_ADD, descriptor, &unix.EpollEvent{
				Events: unix.EPOLLRDHUP | unix.EPOLLET,
				Fd:     int32(uint32(w.id)),
				Pad:    int32(uint32(w.id >> 32)),
			})
		})
	})
	if err != nil {
		l.remove(w.id)
	}
	return w
}

func (l *Listener) remove(id uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.connections, id)
}

// pollEvents handles the disconnects that epoll reports until the listener is
// closed.
func (l *Listener) pollEvents() {
	raw, err := l.events.SyscallConn()
	if err != nil {
		return
	}
	events := make([]unix.EpollEvent, maxEventsPerWait)
	for {
		n := 0
		err := raw.Read(func(descriptor uintptr) bool {
			var err error
			n, err = unix.EpollWait(int(descriptor), events, 0)
			return err != nil || n > 0
		})
		if err != nil {
			return
		}
		for _, e := range events[:max(n, 0)] {
			l.handleDisconnect(uint64(uint32(e.Fd)) | uint64(uint32(e.Pad))<<32)
		}
	}
}

// handleDisconnect marks the connection as disconnected and runs its callback.
func (l *Listener) handleDisconnect(id uint64) {
	l.mutex.Lock()
	w := l.connections[id]
	l.mutex.Unlock()
	if w == nil {
		return
	}
	w.mutex.Lock()
	w.disconnected = true
	onDisconnect := w.onDisconnect
	w.mutex.Unlock()
	if onDisconnect != nil {
		onDisconnect()
	}
}

// Read reads what the caller has sent. From a malformed request on, it returns an error of
// [kqrequest].
func (w *watchedConn) Read(p []byte) (int, error) {
	if w.malformed != nil {
		return 0, w.malformed
	}
	n, err := w.Conn.Read(p)
	valid, malformed := w.requests.Check(p[:n])
	if malformed == nil {
		return n, err
	}
	w.malformed = malformed
	if valid == 0 {
		err = malformed
	}
	return valid, err
}

// Close closes the connection and stops watching it.
func (w *watchedConn) Close() error {
	w.listener.remove(w.id)
	return w.Conn.Close()
}

// OnDisconnect calls f once when the caller at the other end of c disconnects,
// immediately if it already has. A later call of OnDisconnect for c replaces f, and
// stop removes it. A caller that has closed only its sending direction counts
// as disconnected, as with most HTTP servers. f must not block. Connections
// that were not accepted by a [Listener] are not watched: f is never called.
func OnDisconnect(c net.Conn, f func()) (stop func()) {
	w, ok := c.(*watchedConn)
	if !ok {
		return func() {}
	}
	w.mutex.Lock()
	w.onDisconnect = f
	disconnected := w.disconnected
	w.mutex.Unlock()
	if disconnected {
		f()
	}
	return func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.onDisconnect = nil
	}
}
