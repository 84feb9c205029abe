package kqsoak

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// chunkBytes is how much a proxy passes on at a time.
const chunkBytes = 16 << 10

// trouble is what a proxy does to the bytes that it passes.
type trouble struct {
	// delay holds every chunk.
	delay time.Duration
	// towards and back are whether chunks of a direction are thrown away.
	towards, back bool
	// refuse closes new connections at once.
	refuse bool
	// trickle passes the bytes of a direction on a few at a time.
	trickle bool
}

// A connection that trickles passes this many bytes at a time, which is less
// than a request's header, with this pause between.
const (
	trickleBytes = 48
	tricklePause = 2 * time.Millisecond
)

// proxy passes the bytes of TCP connections on, with trouble.
type proxy struct {
	listener net.Listener
	target   string

	mutex   sync.Mutex
	trouble trouble
	open    map[*passage]struct{}
}

// passage is one connection through a proxy. A silenced one stays silent even
// when the proxy's trouble is over.
type passage struct {
	near, far net.Conn
	mutex     sync.Mutex
	silent    bool
}

func newProxy(address, target string) (*proxy, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &proxy{listener: l, target: target, open: map[*passage]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.now().refuse {
			_ = near.Close()
			continue
		}
		go p.pass(near)
	}
}

func (p *proxy) now() trouble {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.trouble
}

func (p *proxy) set(t trouble) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.trouble = t
}

func (p *proxy) pass(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = near.Close()
		return
	}
	c := &passage{near: near, far: far}
	p.mutex.Lock()
	p.open[c] = struct{}{}
	p.mutex.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(c, far, near, func(t trouble) bool { return t.towards }) })
	both.Go(func() { p.copy(c, near, far, func(t trouble) bool { return t.back }) })
	both.Wait()
	p.mutex.Lock()
	delete(p.open, c)
	p.mutex.Unlock()
}

func (p *proxy) copy(c *passage, to, from net.Conn, cut func(trouble) bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		t := p.now()
		if t.delay > 0 {
			time.Sleep(t.delay)
		}
		c.mutex.Lock()
		silent := c.silent
		c.mutex.Unlock()
		if silent || cut(t) {
			continue
		}
		if write(to, buffer[:n], t.trickle) != nil {
			return
		}
	}
}

func write(to net.Conn, data []byte, trickle bool) error {
	for trickle && len(data) > trickleBytes {
		if _, err := to.Write(data[:trickleBytes]); err != nil {
			return errors.Wrap(err, "trickle")
		}
		data = data[trickleBytes:]
		time.Sleep(tricklePause)
	}
	_, err := to.Write(data)
	return errors.Wrap(err, "pass on")
}

// reset resets all open connections.
func (p *proxy) reset() {
	for _, c := range p.passages() {
		for _, end := range []net.Conn{c.near, c.far} {
			if tcp, ok := end.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = end.Close()
		}
	}
}

// silence has all open connections pass nothing more; new ones work.
func (p *proxy) silence() {
	for _, c := range p.passages() {
		c.mutex.Lock()
		c.silent = true
		c.mutex.Unlock()
	}
}

func (p *proxy) passages() []*passage {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var list []*passage
	for c := range p.open {
		list = append(list, c)
	}
	return list
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}
