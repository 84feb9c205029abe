package kqhttp

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Times with which a connection that has gone silent is found. The kernel
// probes a quiet connection each second, and the server's kernel acknowledges
// the probe however busy the server is. So a connection without any
// acknowledgement for longer than silentAfter passes no bytes.
const (
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 4
	silentAfter   = 1400 * time.Millisecond
	checkPeriod   = 100 * time.Millisecond
)

// ErrSilent marks lost answers of a connection that had stopped passing bytes.
var ErrSilent = errors.New("connection went silent")

// onDescriptor runs f on the file descriptor.
func onDescriptor(c syscall.Conn, f func(descriptor int) error) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var inner error
	if err := raw.Control(func(descriptor uintptr) { inner = f(int(descriptor)) }); err != nil {
		return err
	}
	return inner
}

// isSilent is whether the connection has had no acknowledgement for too long.
// What is not TCP never is.
func isSilent(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	silent := false
	_ = onDescriptor(tcp, func(descriptor int) error {
		info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
		silent = err == nil && time.Duration(info.Last_ack_recv)*time.Millisecond > silentAfter
		return err
	})
	return silent
}

// isStale is whether a connection that waited in the pool can't take a call:
// the server has closed it or sent something unasked, or it passes no bytes.
func isStale(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	stale := true
	_ = onDescriptor(tcp, func(descriptor int) error {
		var b [1]byte
		_, _, err := unix.Recvfrom(descriptor, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		stale = !errors.Is(err, unix.EAGAIN)
		return err
	})
	return stale || isSilent(c)
}

// watch looks after the connection while a call is on it.
func (c *connection) watch() {
	c.busy.Store(true)
	if c.timer == nil {
		c.timer = time.AfterFunc(silentAfter, c.check)
		return
	}
	c.timer.Reset(silentAfter)
}

func (c *connection) unwatch() {
	c.busy.Store(false)
	c.timer.Stop()
}

// check closes a connection that has gone silent under a call.
func (c *connection) check() {
	if !c.busy.Load() {
		return
	}
	if isSilent(c.Conn) {
		c.silent.Store(true)
		_ = c.Close()
		return
	}
	c.timer.Reset(checkPeriod)
}
