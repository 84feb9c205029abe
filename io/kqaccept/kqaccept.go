// Package kqaccept runs the accept loop of a listener. A loop that ends at the first
// error of Accept leaves a listener behind that takes no connection any more, while
// callers go on waiting in its backlog: most errors pass, such as that of a process
// that has no descriptor left for the moment.
//
// # Usage
//
//	err := kqaccept.Run(listener, func(c net.Conn) { go serve(c) }, kqaccept.WithObserver(logFailure))
//
// Run returns when the listener is closed or its deadline has passed. After any other
// error it waits for a moment and goes on.
package kqaccept

import (
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// The pause after an error of Accept doubles from the first to the longest one.
const (
	firstPause   = 5 * time.Millisecond
	longestPause = 200 * time.Millisecond
)

type settings struct {
	observe func(err error)
	sleep   func(time.Duration)
}

// Option configures [Run].
type Option func(*settings)

// WithObserver sets a function that is called with the first of several errors in a
// row, and with nil when a connection was accepted after them.
func WithObserver(observe func(err error)) Option {
	return func(s *settings) { s.observe = observe }
}

// WithSleep sets the function that waits between two attempts. The default is
// [time.Sleep].
func WithSleep(sleep func(time.Duration)) Option {
	return func(s *settings) { s.sleep = sleep }
}

// Run passes the connections that the listener accepts to handle, which must not
// block, and returns the error that shows that the listener was closed or that its
// deadline has passed.
func Run(l net.Listener, handle func(net.Conn), options ...Option) error {
	s := settings{observe: func(error) {}, sleep: time.Sleep}
	for _, o := range options {
		o(&s)
	}
	pause := time.Duration(0)
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			if pause > 0 {
				s.observe(nil)
			}
			pause = 0
			handle(c)
			continue
		case errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded):
			return err
		case pause == 0:
			s.observe(err)
		}
		pause = min(max(2*pause, firstPause), longestPause)
		s.sleep(pause)
	}
}
