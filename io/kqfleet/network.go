package kqfleet

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqlink"
)

// Latencies between two nodes, there and back.
const (
	DomainRoundTrip = 500 * time.Microsecond
	RegionRoundTrip = 20 * time.Millisecond
)

// heldPackets bounds the packets that wait at one socket, as a real one's
// buffer does.
const heldPackets = 4096

// RoundTrip is the latency between two places, there and back.
func RoundTrip(a, b Place) time.Duration {
	switch {
	case a.Region != b.Region:
		return RegionRoundTrip
	case a.FailureDomain != b.FailureDomain:
		return DomainRoundTrip
	default:
		return 0
	}
}

// flow is one direction between two sockets.
type flow struct {
	from string
	to   string
}

// Network carries the packets between nodes, with the latency between their
// places and the faults that are switched on.
type Network struct {
	mutex   sync.RWMutex
	places  map[string]Place
	known   map[flow]bool
	silent  map[flow]bool
	paused  map[string]bool
	resumed chan struct{}

	swallowed atomic.Int64
	held      atomic.Int64
}

// NewNetwork makes a network without faults.
func NewNetwork() *Network {
	return &Network{
		places: map[string]Place{}, known: map[flow]bool{}, silent: map[flow]bool{}, paused: map[string]bool{},
		resumed: make(chan struct{}),
	}
}

// Sockets opens the sockets of the node at a place.
func (w *Network) Sockets(place Place) kqlink.Sockets {
	return func(address string) (net.PacketConn, error) {
		inner, err := net.ListenPacket("udp", address)
		if err != nil {
			return nil, errors.Mark(errors.Wrapf(err, "open socket at %s", address), ErrFleet)
		}
		s := &socket{PacketConn: inner, network: w, place: place, queues: map[time.Duration]chan packet{}, closed: make(chan struct{})}
		s.name = inner.LocalAddr().String()
		w.mutex.Lock()
		w.places[s.name] = place
		w.mutex.Unlock()
		return s, nil
	}
}

// DropFlows swallows the packets of every flow between two nodes that is known
// by now, for good, while new flows pass. It gives the number of flows.
func (w *Network) DropFlows(a, b string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	n := 0
	for f := range w.known {
		from, to := w.places[f.from].NodeID, w.places[f.to].NodeID
		if (from == a && to == b) || (from == b && to == a) {
			w.silent[f] = true
			n++
		}
	}
	return n
}

// Dropped is how many packets were swallowed by silent flows.
func (w *Network) Dropped() int64 {
	return w.swallowed.Load()
}

// Delayed is how many packets a paused node did not take when they came.
func (w *Network) Delayed() int64 {
	return w.held.Load()
}

// pause stops or resumes the packets of a node.
func (w *Network) pause(nodeID string, paused bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.paused[nodeID] = paused
	close(w.resumed)
	w.resumed = make(chan struct{})
}

// judge says whether a packet passes, and how long it takes.
func (w *Network) judge(place Place, f flow) (time.Duration, bool) {
	w.mutex.RLock()
	peer, known, silent := w.places[f.to], w.known[f], w.silent[f]
	w.mutex.RUnlock()
	if !known {
		w.mutex.Lock()
		w.known[f] = true
		w.mutex.Unlock()
	}
	if silent {
		w.swallowed.Add(1)
		return 0, false
	}
	if peer.NodeID == "" {
		return 0, true
	}
	return RoundTrip(place, peer) / 2, true
}

// waitResumed waits while the node is paused and says whether it had to.
func (w *Network) waitResumed(nodeID string, closed <-chan struct{}) bool {
	waited := false
	for {
		w.mutex.RLock()
		paused, resumed := w.paused[nodeID], w.resumed
		w.mutex.RUnlock()
		if !paused {
			return waited
		}
		waited = true
		select {
		case <-resumed:
		case <-closed:
			return waited
		}
	}
}

// packet is a packet on its way.
type packet struct {
	data []byte
	to   net.Addr
	at   time.Time
}

// socket is a UDP socket of a node.
type socket struct {
	net.PacketConn
	network *Network
	place   Place
	name    string
	closed  chan struct{}
	once    sync.Once

	mutex sync.Mutex
	// queues hold the packets on their way, by latency: those of one latency
	// leave in the order they came.
	queues map[time.Duration]chan packet
}

// WriteTo sends a packet, which arrives after the latency to its peer.
func (s *socket) WriteTo(p []byte, to net.Addr) (int, error) {
	s.network.waitResumed(s.place.NodeID, s.closed)
	latency, passes := s.network.judge(s.place, flow{s.name, to.String()})
	if !passes {
		return len(p), nil
	}
	if latency == 0 {
		return s.PacketConn.WriteTo(p, to)
	}
	select {
	case s.queue(latency) <- packet{append([]byte(nil), p...), to, time.Now().Add(latency)}:
	default:
	}
	return len(p), nil
}

func (s *socket) queue(latency time.Duration) chan packet {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	q, found := s.queues[latency]
	if !found {
		q = make(chan packet, heldPackets)
		s.queues[latency] = q
		go s.carry(q)
	}
	return q
}

// carry sends each packet when its time has come.
func (s *socket) carry(q chan packet) {
	for {
		select {
		case p := <-q:
			time.Sleep(time.Until(p.at))
			_, _ = s.PacketConn.WriteTo(p.data, p.to)
		case <-s.closed:
			return
		}
	}
}

// ReadFrom takes a packet, which waits while the node is paused.
func (s *socket) ReadFrom(p []byte) (int, net.Addr, error) {
	n, from, err := s.PacketConn.ReadFrom(p)
	if s.network.waitResumed(s.place.NodeID, s.closed) {
		s.network.held.Add(1)
	}
	return n, from, err
}

// Close closes the socket and forgets its flows.
func (s *socket) Close() error {
	s.once.Do(func() { close(s.closed) })
	return errors.Wrap(s.PacketConn.Close(), "close socket")
}

// SetReadBuffer passes the size on, as quic-go asks for it.
func (s *socket) SetReadBuffer(bytes int) error {
	if u, ok := s.PacketConn.(*net.UDPConn); ok {
		return errors.Wrap(u.SetReadBuffer(bytes), "set buffer")
	}
	return nil
}

// SetWriteBuffer passes the size on, as quic-go asks for it.
func (s *socket) SetWriteBuffer(bytes int) error {
	if u, ok := s.PacketConn.(*net.UDPConn); ok {
		return errors.Wrap(u.SetWriteBuffer(bytes), "set buffer")
	}
	return nil
}
