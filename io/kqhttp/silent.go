package kqhttp

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Settings for detecting a connection that no longer passes bytes. The kernel
// sends a TCP keep-alive probe on a quiet connection each second, and the
// server's kernel acknowledges it even if the server process is busy. So a
// connection without any acknowledgement for longer than silentAfter is broken.
const (
	serverKeepAliveIdle     = time.Second
	serverKeepAliveInterval = time.Second
	serverKeepAliveCount    = 4
	silentAfter             = 1400 * time.Millisecond
	silenceCheckPeriod      = 100 * time.Millisecond
	// maxUnansweredProbes is how many probes of a closed window may be under way
	// without an answer: the last one may have just been sent.
	maxUnansweredProbes = 1
)

// ErrSilent marks errors of calls, marked [ErrLost] as well, whose connection
// was closed because it received no acknowledgement for too long.
var ErrSilent = errors.New("connection received no more acknowledgements")

// withDescriptor calls f with the file descriptor of c.
func withDescriptor(c syscall.Conn, f func(descriptor int) error) error {
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

// socketProbe queries the kernel for the state of a connection. It holds its
// buffer and callback, so that isReadable allocates nothing. It is not safe for
// concurrent use.
type socketProbe struct {
	raw      syscall.RawConn
	peek     func(descriptor uintptr)
	readable bool
	buffer   [1]byte
}

// newSocketProbe returns a probe of the connection, or nil if it is not TCP. The
// methods of a nil probe report false.
func newSocketProbe(c net.Conn) *socketProbe {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	p := &socketProbe{raw: raw}
	p.peek = p.checkReadable
	return p
}

// checkReadable records, without blocking, whether the socket has data, an end
// of stream or an error to read.
func (p *socketProbe) checkReadable(descriptor uintptr) {
	_, _, err := unix.Recvfrom(int(descriptor), p.buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	p.readable = err != unix.EAGAIN
}

// isReadable reports whether the server has closed the idle connection or sent
// data without a call.
func (p *socketProbe) isReadable() bool {
	if p == nil {
		return false
	}
	p.readable = true
	_ = p.raw.Control(p.peek)
	return p.readable
}

// isSilent reports whether the connection has received no acknowledgement for
// longer than silentAfter. A server that does not read closes its window. The kernel
// then sends no keep-alive probes but asks for the window, less and less often, so that
// the last acknowledgement may be older than that. Such a connection is silent only if
// those probes are not answered.
func (p *socketProbe) isSilent() bool {
	info := p.info()
	if info == nil || time.Duration(info.Last_ack_recv)*time.Millisecond <= silentAfter {
		return false
	}
	// All that was sent is acknowledged, and more waits to be sent.
	isWindowClosed := info.Unacked == 0 && info.Notsent_bytes > 0
	return !isWindowClosed || info.Probes > maxUnansweredProbes
}

// info returns the kernel's figures of the connection, nil if there are none.
func (p *socketProbe) info() *unix.TCPInfo {
	if p == nil {
		return nil
	}
	var info *unix.TCPInfo
	_ = p.raw.Control(func(descriptor uintptr) {
		info, _ = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info
}

// isHalfClosed reports whether the server has ended its stream, without a reset, and may
// still read.
func (p *socketProbe) isHalfClosed() bool {
	info := p.info()
	return info != nil && info.State == unix.BPF_TCP_CLOSE_WAIT
}

// acknowledged returns the number of bytes that the server's kernel has received.
func (p *socketProbe) acknowledged() uint64 {
	info := p.info()
	if info == nil {
		return 0
	}
	return info.Bytes_acked
}

// isStale reports whether an idle connection can't take another call.
func (c *connection) isStale(now time.Time) bool {
	return c.reader.Buffered() > 0 || c.probe.isReadable() || (now.Sub(c.idleSince) > serverKeepAliveIdle && c.probe.isSilent())
}

// startWatchdog checks the connection for silence until stopWatchdog is called.
func (c *connection) startWatchdog() {
	c.busy.Store(true)
	if c.timer == nil {
		c.timer = time.AfterFunc(silentAfter, c.checkSilence)
		return
	}
	c.timer.Reset(silentAfter)
}

func (c *connection) stopWatchdog() {
	c.busy.Store(false)
	c.timer.Stop()
}

// checkSilence closes the connection if it has gone silent during a call.
func (c *connection) checkSilence() {
	if !c.busy.Load() {
		return
	}
	if c.probe.isSilent() {
		c.silent.Store(true)
		_ = c.Close()
		return
	}
	c.timer.Reset(silenceCheckPeriod)
}
