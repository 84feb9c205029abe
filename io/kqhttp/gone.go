package kqhttp

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Times after which the kernel gives up a caller that acknowledges nothing.
const (
	callerKeepAliveIdle     = 10 * time.Second
	callerKeepAliveInterval = 2 * time.Second
	callerKeepAliveCount    = 3
)

// eventsAtOnce bounds the connections whose end is taken in at once.
const eventsAtOnce = 64

// Listener takes TCP connections and tells handlers when a caller has gone.
// fasthttp reads nothing while a handler runs and so does not notice. The
// kernel tells of a caller's end even when calls that were sent ahead are
// still unread, and nothing is read here that belongs to the server.
type Listener struct {
	net.Listener
	events *os.File

	mutex       sync.Mutex
	nextID      uint64
	connections map[uint64]*watched
}

// watched is a connection whose caller may be found gone.
type watched struct {
	net.Conn
	listener *Listener
	id       uint64

	mutex  sync.Mutex
	gone   bool
	onGone func()
}

// NewListener watches the connections of a TCP listener.
func NewListener(l net.Listener) (*Listener, error) {
	descriptor, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, errors.Wrap(err, "make event queue")
	}
	if err := unix.SetNonblock(descriptor, true); err != nil {
		_ = unix.Close(descriptor)
		return nil, errors.Wrap(err, "set up event queue")
	}
	w := &Listener{
		Listener:    l,
		events:      os.NewFile(uintptr(descriptor), "caller events"),
		connections: map[uint64]*watched{},
	}
	go w.watch()
	return w, nil
}

// Accept takes the next connection.
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

// Close ends the listener. Connections that stand are no longer watched.
func (l *Listener) Close() error {
	return errors.CombineErrors(l.Listener.Close(), l.events.Close())
}

// add watches a connection. One that can't be watched is served all the same.
func (l *Listener) add(c *net.TCPConn) net.Conn {
	l.mutex.Lock()
	l.nextID++
	w := &watched{Conn: c, listener: l, id: l.nextID}
	l.connections[w.id] = w
	l.mutex.Unlock()
	err := onDescriptor(l.events, func(events int) error {
		return onDescriptor(c, func(descriptor int) error {
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

// watch takes in the ends of connections until the listener is closed.
func (l *Listener) watch() {
	raw, err := l.events.SyscallConn()
	if err != nil {
		return
	}
	events := make([]unix.EpollEvent, eventsAtOnce)
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
			l.ended(uint64(uint32(e.Fd)) | uint64(uint32(e.Pad))<<32)
		}
	}
}

func (l *Listener) ended(id uint64) {
	l.mutex.Lock()
	w := l.connections[id]
	l.mutex.Unlock()
	if w == nil {
		return
	}
	w.mutex.Lock()
	w.gone = true
	onGone := w.onGone
	w.mutex.Unlock()
	if onGone != nil {
		onGone()
	}
}

// Close closes the connection.
func (w *watched) Close() error {
	w.listener.remove(w.id)
	return w.Conn.Close()
}

// OnDisconnect has f called once the caller at the other end of c has gone, until
// stop is called. A caller that has ended its own direction counts as gone,
// as with most HTTP servers. f must not block. Connections that did not come
// from a [Listener] are not watched.
func OnDisconnect(c net.Conn, f func()) (stop func()) {
	w, ok := c.(*watched)
	if !ok {
		return func() {}
	}
	w.mutex.Lock()
	w.onGone = f
	gone := w.gone
	w.mutex.Unlock()
	if gone {
		f()
	}
	return func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.onGone = nil
	}
}
