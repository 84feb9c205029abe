package kqaccept_test

import (
	"net"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqaccept"
)

// scriptedListener returns the errors of a list, nil standing for a connection.
type scriptedListener struct {
	net.Listener
	results []error
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	err := l.results[0]
	l.results = l.results[1:]
	if err != nil {
		return nil, &net.OpError{Op: "accept", Err: err}
	}
	c, _ := net.Pipe()
	return c, nil
}

// TestPassingErrorEndsTheLoop guards against an accept loop that ends at an error
// which passes.
func TestPassingErrorEndsTheLoop(t *testing.T) {
	for _, passing := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ECONNABORTED, syscall.EINTR, syscall.ENOMEM, errors.New("odd")} {
		for _, last := range []error{net.ErrClosed, os.ErrDeadlineExceeded} {
			l := &scriptedListener{results: []error{nil, passing, passing, nil, nil, passing, nil, last}}
			accepted := 0
			var observed []string
			err := kqaccept.Run(l, func(net.Conn) { accepted++ }, kqaccept.WithSleep(func(time.Duration) {}), kqaccept.WithObserver(func(err error) {
				observed = append(observed, map[bool]string{true: "lost", false: "back"}[err != nil])
			}))
			if accepted != 4 || !errors.Is(err, last) {
				t.Errorf("%v: got %d connections and %v, want 4 and %v", passing, accepted, err, last)
			}
			if want := []string{"lost", "back", "lost", "back"}; !slices.Equal(observed, want) {
				t.Errorf("%v: observed %v, want %v", passing, observed, want)
			}
		}
	}
}

// TestPausesAreBounded counts the pauses of a shortage that lasts.
func TestPausesAreBounded(t *testing.T) {
	results := append(slices.Repeat([]error{syscall.EMFILE}, 20), net.ErrClosed)
	var longest, sum time.Duration
	_ = kqaccept.Run(&scriptedListener{results: results}, func(net.Conn) {}, kqaccept.WithSleep(func(d time.Duration) {
		longest, sum = max(longest, d), sum+d
	}))
	if longest > 200*time.Millisecond || sum < time.Second {
		t.Errorf("pauses: got %s at most and %s in all, want at most 200ms each and over a second in 20 attempts", longest, sum)
	}
}
