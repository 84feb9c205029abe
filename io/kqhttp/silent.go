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

// probe asks the kernel about one connection. It keeps what it needs, so that
// asking allocates nothing. It is used by one goroutine at a time.
type probe struct {
	raw    syscall.RawConn
	peek   func(descriptor uintptr)
	ended  bool
	buffer [1]byte
}

// newProbe gives a probe of the connection, or nil for what is not TCP.
func newProbe(c net.Conn) *probe {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	p := &probe{raw: raw}
	p.peek = p.peekOnce
	return p
}

// peekOnce finds out without waiting whether anything, be it the end, has
// come in on an idle connection.
func (p *probe) peekOnce(descriptor uintptr) {
	_, _, err := unix.Recvfrom(int(descriptor), p.buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	p.ended = err != unix.EAGAIN
}

// isEnded is whether the server has closed the idle connection, or sent
// something unasked.
func (p *probe) isEnded() bool {
	if p == nil {
		return false
	}
	p.ended = true
	_ = p.raw.Control(p.peek)
	return p.ended
}

// isSilent is whether the connection has had no acknowledgement for too long.
func (p *probe) isSilent() bool {
	if p == nil {
		return false
	}
	silent := false
	_ = p.raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		silent = err == nil && time.Duration(info.Last_ack_recv)*time.Millisecond > silentAfter
	})
	return silent
}

// isStale is whether a connection that waited in the pool since then can't
// take a call.
func (c *connection) isStale(now time.Time) bool {
	return c.reader.Buffered() > 0 || c.probe.isEnded() || (now.Sub(c.since) > probeIdle && c.probe.isSilent())
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
	if c.probe.isSilent() {
		c.silent.Store(true)
		_ = c.Close()
		return
	}
	c.timer.Reset(checkPeriod)
}
