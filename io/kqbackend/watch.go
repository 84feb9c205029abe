package kqbackend

import (
	"net"
	"sync"
)

// readAheadBytes is the maximum number of bytes that are read ahead on a
// connection.
const readAheadBytes = 4 << 10

// watchedListener accepts connections that detect a disconnect of the caller
// while a handler runs. The server of fasthttp does not detect it, since it reads
// nothing from the connection until the handler returns.
type watchedListener struct {
	net.Listener
}

// Accept returns the next connection, as a watchedConn.
func (l *watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	w := &watchedConn{Conn: c, disconnected: make(chan struct{})}
	w.ready = sync.NewCond(&w.mutex)
	go w.readAhead()
	return w, nil
}

// watchedConn reads one buffer ahead, so that it notices at once when the
// connection ends.
type watchedConn struct {
	net.Conn
	// disconnected is closed when the connection ends.
	disconnected chan struct{}

	mutex sync.Mutex
	// ready is signalled when pending or err changes.
	ready *sync.Cond
	// pending holds the bytes that were read ahead and not yet returned by Read.
	pending []byte
	err     error
}

// readAhead fills pending until the connection ends. It reads more only after
// pending has been consumed.
func (w *watchedConn) readAhead() {
	buffer := make([]byte, readAheadBytes)
	for {
		n, err := w.Conn.Read(buffer)
		w.mutex.Lock()
		w.pending = buffer[:n]
		w.err = err
		w.ready.Broadcast()
		if err != nil {
			w.mutex.Unlock()
			close(w.disconnected)
			return
		}
		for len(w.pending) > 0 {
			w.ready.Wait()
		}
		w.mutex.Unlock()
	}
}

// Read returns bytes that were read ahead, and waits for some if there are none.
func (w *watchedConn) Read(p []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for len(w.pending) == 0 && w.err == nil {
		w.ready.Wait()
	}
	if len(w.pending) == 0 {
		return 0, w.err
	}
	n := copy(p, w.pending)
	w.pending = w.pending[n:]
	w.ready.Broadcast()
	return n, nil
}

// Close closes the connection and discards what was read ahead, so that readAhead
// ends.
func (w *watchedConn) Close() error {
	err := w.Conn.Close()
	w.mutex.Lock()
	w.pending = nil
	w.ready.Broadcast()
	w.mutex.Unlock()
	return err
}

// disconnectedOf returns the channel that is closed when the connection ends, or
// nil if it is no watchedConn.
func disconnectedOf(c net.Conn) <-chan struct{} {
	if w, ok := c.(*watchedConn); ok {
		return w.disconnected
	}
	return nil
}
