package kqlink

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// Sockets opens UDP sockets. Trials replace it to put latency and faults
// between nodes.
type Sockets func(address string) (net.PacketConn, error)

// options are what a server and a dialer have in common.
type options struct {
	sockets Sockets
	expect  PeerCheck
}

// PeerCheck is whether the node of that name may be what answers at the address.
type PeerCheck func(address, peer string) bool

// Option changes a server or a dialer.
type Option func(*options)

// WithSockets replaces how UDP sockets are opened.
func WithSockets(s Sockets) Option {
	return func(o *options) { o.sockets = s }
}

// WithPeerCheck lets a dialer refuse nodes that it did not mean: a record can then
// name another address, but not draw to it what is meant for its node.
func WithPeerCheck(e PeerCheck) Option {
	return func(o *options) { o.expect = e }
}

func newOptions(list []Option) options {
	var o options
	for _, f := range list {
		f(&o)
	}
	return o
}

// listen serves at an address, and gives what closes its socket.
func (o options) listen(address string, settings *tls.Config) (*quic.Listener, func(), error) {
	if o.sockets == nil {
		listener, err := quic.ListenAddr(address, settings, quicConfig())
		return listener, func() {}, err
	}
	socket, err := o.sockets(address)
	if err != nil {
		return nil, nil, err
	}
	closeSocket := func() { _ = socket.Close() }
	listener, err := quic.Listen(socket, settings, quicConfig())
	if err != nil {
		closeSocket()
		return nil, nil, err
	}
	return listener, closeSocket, nil
}

// dial opens a link from a socket of its own, which closes when the link ends.
func (o options) dial(ctx context.Context, address string, settings *tls.Config) (*quic.Conn, error) {
	if o.sockets == nil {
		return quic.DialAddr(ctx, address, settings, quicConfig())
	}
	peer, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "read address %s", address)
	}
	socket, err := o.sockets("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c, err := quic.Dial(ctx, socket, peer, settings, quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	context.AfterFunc(c.Context(), func() { _ = socket.Close() })
	return c, nil
}
