package kqbackend

import (
	"net"
	"sync"
)

// watchBufferBytes bounds what is read ahead on one connection.
const watchBufferBytes = 4 << 10

// watchedListener hands out connections that notice their end while a handler
// runs, which fasthttp's server does not.
type watchedListener struct {
	net.Listener
}

// Accept waits for the next connection.
func (l *watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	w := &watchedConn{Conn: c, gone: make(chan struct{})}
	w.ready = sync.NewCond(&w.mutex)
	go w.readAhead()
	return w, nil
}

// watchedConn reads at most one buffer ahead, so that the end of the
// connection is seen as soon as it comes.
type watchedConn struct {
	net.Conn
	gone chan struct{}

	mutex   sync.Mutex
	ready   *sync.Cond
	pending []byte
	err     error
}

func (w *watchedConn) readAhead() {
	buffer := make([]byte, watchBufferBytes)
	for {
		n, err := w.Conn.Read(buffer)
		w.mutex.Lock()
		w.pending = buffer[:n]
		w.err = err
		w.ready.Broadcast()
		if err != nil {
			w.mutex.Unlock()
			close(w.gone)
			return
		}
		for len(w.pending) > 0 {
			w.ready.Wait()
		}
		w.mutex.Unlock()
	}
}

// Read gives what was read ahead.
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

// Close closes the connection and lets go of what was read ahead.
func (w *watchedConn) Close() error {
	err := w.Conn.Close()
	w.mutex.Lock()
	w.pending = nil
	w.ready.Broadcast()
	w.mutex.Unlock()
	return err
}

// goneOf gives the channel that closes when the connection ends.
func goneOf(c net.Conn) <-chan struct{} {
	if w, ok := c.(*watchedConn); ok {
		return w.gone
	}
	return nil
}
