package kqsoak

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqaccept"
)

// chunkBytes is the size of the buffer with which a proxy copies one direction.
const chunkBytes = 16 << 10

// proxyFault says how a proxy disturbs connections.
type proxyFault struct {
	// delay delays each chunk.
	delay time.Duration
	// dropToTarget and dropFromTarget discard all bytes of one direction.
	dropToTarget, dropFromTarget bool
	// refuse closes each new connection immediately.
	refuse bool
	// trickle forwards trickleBytes at a time.
	trickle bool
}

// Size of a write on a connection that trickles, which is less than the headers
// of a request, and the pause after it.
const (
	trickleBytes = 48
	tricklePause = 2 * time.Millisecond
)

// proxy forwards TCP connections to a target and injects faults.
type proxy struct {
	listenAddress string
	target        string
	// observe is called with the first of several errors of Accept in a row, and with
	// nil after them.
	observe func(err error)

	mutex       sync.Mutex
	listener    net.Listener
	fault       proxyFault
	connections map[*connection]struct{}
}

// connection is one connection through a proxy. A silent one forwards
// nothing more, even after the proxy's fault is cleared.
type connection struct {
	client, target net.Conn
	mutex          sync.Mutex
	silent         bool
}

// newProxy listens at address, or at a free loopback port if it is empty.
func newProxy(address, target string, observe func(err error)) (*proxy, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &proxy{listenAddress: l.Addr().String(), listener: l, target: target, observe: observe, connections: map[*connection]struct{}{}}
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string { return p.listenAddress }

// end closes the proxy's address, as if the process behind it had ended.
func (p *proxy) end() {
	p.mutex.Lock()
	_ = p.listener.Close()
	p.mutex.Unlock()
	p.reset()
}

// restart opens the address again after end.
func (p *proxy) restart() error {
	l, err := net.Listen("tcp", p.listenAddress)
	if err != nil {
		return errors.Wrap(err, "listen again")
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.listener = l
	go p.accept(l)
	return nil
}

func (p *proxy) accept(l net.Listener) {
	// It ends when the listener is closed.
	_ = kqaccept.Run(l, func(client net.Conn) {
		if p.currentFault().refuse {
			_ = client.Close()
			return
		}
		go p.forward(client)
	}, kqaccept.WithObserver(p.observe))
}

func (p *proxy) currentFault() proxyFault {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.fault
}

func (p *proxy) set(t proxyFault) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fault = t
}

func (p *proxy) forward(client net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &connection{client: client, target: target}
	p.mutex.Lock()
	p.connections[c] = struct{}{}
	p.mutex.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.copyDirection(c, target, client, func(t proxyFault) bool { return t.dropToTarget }) })
	directions.Go(func() { p.copyDirection(c, client, target, func(t proxyFault) bool { return t.dropFromTarget }) })
	directions.Wait()
	p.mutex.Lock()
	delete(p.connections, c)
	p.mutex.Unlock()
}

func (p *proxy) copyDirection(c *connection, to, from net.Conn, drops func(proxyFault) bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		t := p.currentFault()
		if t.delay > 0 {
			time.Sleep(t.delay)
		}
		c.mutex.Lock()
		silent := c.silent
		c.mutex.Unlock()
		if silent || drops(t) {
			continue
		}
		if writeChunk(to, buffer[:n], t.trickle) != nil {
			return
		}
	}
}

func writeChunk(to net.Conn, data []byte, trickle bool) error {
	for trickle && len(data) > trickleBytes {
		if _, err := to.Write(data[:trickleBytes]); err != nil {
			return errors.Wrap(err, "trickle")
		}
		data = data[trickleBytes:]
		time.Sleep(tricklePause)
	}
	_, err := to.Write(data)
	return errors.Wrap(err, "forward")
}

// reset resets all open connections.
func (p *proxy) reset() {
	for _, c := range p.openConnections() {
		for _, end := range []net.Conn{c.client, c.target} {
			if tcp, ok := end.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = end.Close()
		}
	}
}

// blackhole makes all open connections forward nothing more, without closing
// them. New connections work.
func (p *proxy) blackhole() {
	for _, c := range p.openConnections() {
		c.mutex.Lock()
		c.silent = true
		c.mutex.Unlock()
	}
}

func (p *proxy) openConnections() []*connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var list []*connection
	for c := range p.connections {
		list = append(list, c)
	}
	return list
}

func (p *proxy) close() {
	p.end()
}
