package kqslopes

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqlink"
	"kumquatlink/io/kqtrust"
)

// Size and timing of the measurements of links.
const (
	handshakeTrials = 20
	exchangeTrials  = 50
	// exchangeGap is longer than the delay of an acknowledgement, so that each
	// exchange includes its own, as between gossip neighbours.
	exchangeGap = 100 * time.Millisecond
	trialBytes  = 40
	// headerBytes is the size of the IP and UDP headers of a packet.
	headerBytes = 28
	linkTimeout = time.Minute
)

// Link is the cost of links between nodes, as the sum of both ends.
type Link struct {
	// HandshakeBytes and HandshakeMicros are for opening a link and one exchange
	// on it.
	HandshakeBytes  float64
	HandshakeMicros float64
	// ExchangeBytes counts the bytes of all packets of an exchange, without the
	// message and its reply.
	ExchangeBytes float64
	// ExchangeMicros is the processor time of an exchange, in microseconds.
	ExchangeMicros float64
}

// countedSocket counts the bytes that a socket sends, with IP and UDP headers.
type countedSocket struct {
	net.PacketConn
	buffers *net.UDPConn
	sent    *atomic.Int64
}

// WriteTo sends a packet and counts it.
func (c countedSocket) WriteTo(p []byte, to net.Addr) (int, error) {
	c.sent.Add(int64(len(p) + headerBytes))
	return c.PacketConn.WriteTo(p, to)
}

// SetReadBuffer sets the receive buffer of the socket, for the link library.
func (c countedSocket) SetReadBuffer(size int) error {
	return errors.Wrap(c.buffers.SetReadBuffer(size), "size buffer")
}

// SetWriteBuffer sets the send buffer of the socket, for the link library.
func (c countedSocket) SetWriteBuffer(size int) error {
	return errors.Wrap(c.buffers.SetWriteBuffer(size), "size buffer")
}

// countedSockets opens sockets that add the bytes they send to sent.
func countedSockets(sent *atomic.Int64) kqlink.Sockets {
	return func(address string) (net.PacketConn, error) {
		local, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			return nil, errors.Wrap(err, "read address")
		}
		socket, err := net.ListenUDP("udp", local)
		if err != nil {
			return nil, errors.Wrap(err, "open socket")
		}
		return countedSocket{PacketConn: socket, buffers: socket, sent: sent}, nil
	}
}

// measureLink opens links on loopback and exchanges messages over them.
func measureLink() (*Link, error) {
	ctx, cancel := context.WithTimeout(context.Background(), linkTimeout)
	defer cancel()
	authority, err := kqtrust.NewAuthority()
	if err != nil {
		return nil, err
	}
	identity, err := authority.Issue("node-1")
	if err != nil {
		return nil, err
	}
	var sent atomic.Int64
	sockets := kqlink.WithSockets(countedSockets(&sent))
	server, err := kqlink.Listen("127.0.0.1:0", identity, kqlink.Handlers{
		Message: func(_ context.Context, _ string, message []byte) ([]byte, error) { return message, nil },
		Submit:  func(task func()) error { go task(); return nil },
	}, sockets)
	if err != nil {
		return nil, err
	}
	defer func() { _ = server.Close() }()
	l := &Link{}
	if err := l.measureHandshakes(ctx, server.Address(), identity, sockets, &sent); err != nil {
		return nil, err
	}
	return l, l.measureExchanges(ctx, server.Address(), identity, sockets, &sent)
}

// measureHandshakes opens a new link for each trial.
func (l *Link) measureHandshakes(ctx context.Context, address string, identity *kqtrust.Identity, sockets kqlink.Option, sent *atomic.Int64) error {
	before, usedBefore := sent.Load(), processorTime()
	for range handshakeTrials {
		dialer := kqlink.NewDialer(identity, sockets)
		_, err := dialer.SendMessage(ctx, address, make([]byte, trialBytes))
		dialer.Close()
		if err != nil {
			return err
		}
	}
	l.HandshakeBytes = float64(sent.Load()-before) / handshakeTrials
	l.HandshakeMicros = float64((processorTime() - usedBefore).Microseconds()) / handshakeTrials
	return nil
}

// measureExchanges exchanges messages on one link that is already open.
func (l *Link) measureExchanges(ctx context.Context, address string, identity *kqtrust.Identity, sockets kqlink.Option, sent *atomic.Int64) error {
	dialer := kqlink.NewDialer(identity, sockets)
	defer dialer.Close()
	if _, err := dialer.SendMessage(ctx, address, make([]byte, trialBytes)); err != nil {
		return err
	}
	time.Sleep(exchangeGap)
	before, usedBefore := sent.Load(), processorTime()
	for range exchangeTrials {
		if _, err := dialer.SendMessage(ctx, address, make([]byte, trialBytes)); err != nil {
			return err
		}
		time.Sleep(exchangeGap)
	}
	l.ExchangeBytes = float64(sent.Load()-before)/exchangeTrials - 2*trialBytes
	l.ExchangeMicros = float64((processorTime() - usedBefore).Microseconds()) / exchangeTrials
	return nil
}

// processorTime returns the user and system time that this process has used on
// all cores, or 0 if it can not be read.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
