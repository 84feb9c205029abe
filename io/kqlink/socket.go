package kqlink

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// Sockets opens a UDP socket at the address. Tests and trials replace it to add
// latency and faults between nodes.
type Sockets func(address string) (net.PacketConn, error)

// options holds the settings that a server and a dialer have in common. A nil
// field stands for the default.
type options struct {
	sockets Sockets
	expect  PeerCheck
}

// PeerCheck reports whether the node with the name peer is accepted at the address.
// The name is that in the node's certificate.
type PeerCheck func(address, peer string) bool

// Option configures a server or a dialer.
type Option func(*options)

// WithSockets replaces the function that opens UDP sockets.
func WithSockets(s Sockets) Option {
	return func(o *options) { o.sockets = s }
}

// WithPeerCheck sets the check of the node at the other end of each link that a
// dialer opens; by default every node of the fleet is accepted. With a check, a
// membership record with a wrong address can't divert the calls for its node to
// the node at that address.
func WithPeerCheck(check PeerCheck) Option {
	return func(o *options) { o.expect = check }
}

func newOptions(opts []Option) options {
	var o options
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// listen starts a listener at the address. It also returns the function that closes
// the listener's socket, which does nothing if the listener closes it itself.
func (o options) listen(address string, config *tls.Config) (*quic.Listener, func(), error) {
	if o.sockets == nil {
		listener, err := quic.ListenAddr(address, config, quicConfig())
		return listener, func() {}, err
	}
	socket, err := o.sockets(address)
	if err != nil {
		return nil, nil, err
	}
	closeSocket := func() { _ = socket.Close() }
	listener, err := quic.Listen(socket, config, quicConfig())
	if err != nil {
		closeSocket()
		return nil, nil, err
	}
	return listener, closeSocket, nil
}

// dial opens a connection to the address from a socket of its own, which is closed
// when the connection ends.
func (o options) dial(ctx context.Context, address string, config *tls.Config) (*quic.Conn, error) {
	if o.sockets == nil {
		return quic.DialAddr(ctx, address, config, quicConfig())
	}
	peer, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve address %s", address)
	}
	socket, err := o.sockets("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c, err := quic.Dial(ctx, socket, peer, config, quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	context.AfterFunc(c.Context(), func() { _ = socket.Close() })
	return c, nil
}
