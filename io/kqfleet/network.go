package kqfleet

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqlink"
)

// Round-trip times between two nodes: in different failure domains of a region,
// and in different regions.
const (
	DomainRoundTrip = 500 * time.Microsecond
	RegionRoundTrip = 20 * time.Millisecond
)

// maxQueuedPackets limits the packets of one socket and latency that are in
// transit. Further packets are dropped, as by the buffer of a real socket.
const maxQueuedPackets = 4096

// RoundTrip returns the round-trip time between two places.
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

// flow identifies the packets from one socket address to another.
type flow struct {
	from string
	to   string
}

// Network connects the sockets of nodes. It delays packets by the latency between
// the places of the nodes, and can drop flows and pause nodes.
type Network struct {
	mutex sync.RWMutex
	// places are the places of the nodes by socket address.
	places map[string]Place
	// known are the flows that have carried a packet, silent those that are
	// dropped.
	known  map[flow]bool
	silent map[flow]bool
	// paused reports by node ID whether a node is paused.
	paused map[string]bool
	// resumed is closed and replaced when a node is paused or resumed.
	resumed chan struct{}

	dropped atomic.Int64
	delayed atomic.Int64
}

// NewNetwork returns a network without faults.
func NewNetwork() *Network {
	return &Network{
		places: map[string]Place{}, known: map[flow]bool{}, silent: map[flow]bool{}, paused: map[string]bool{},
		resumed: make(chan struct{}),
	}
}

// Sockets returns a function that opens the sockets of the node at a place.
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

// DropFlows drops from now on all packets of the flows between two nodes that
// have carried a packet so far. New flows are not affected. It returns the number
// of dropped flows.
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

// Dropped returns the number of packets that were dropped because of DropFlows.
func (w *Network) Dropped() int64 {
	return w.dropped.Load()
}

// Delayed returns the number of received packets that were delivered late because
// the node was paused.
func (w *Network) Delayed() int64 {
	return w.delayed.Load()
}

// setPaused pauses or resumes the packets to and from a node.
func (w *Network) setPaused(nodeID string, paused bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.paused[nodeID] = paused
	close(w.resumed)
	w.resumed = make(chan struct{})
}

// inspect returns the latency of a packet, or false if it must be dropped. It also
// records the flow as known.
func (w *Network) inspect(place Place, f flow) (time.Duration, bool) {
	w.mutex.RLock()
	peer, known, silent := w.places[f.to], w.known[f], w.silent[f]
	w.mutex.RUnlock()
	if !known {
		w.mutex.Lock()
		w.known[f] = true
		w.mutex.Unlock()
	}
	if silent {
		w.dropped.Add(1)
		return 0, false
	}
	if peer.NodeID == "" {
		return 0, true
	}
	return RoundTrip(place, peer) / 2, true
}

// awaitResume waits while the node is paused, or until the socket is closed. It
// reports whether it had to wait.
func (w *Network) awaitResume(nodeID string, closed <-chan struct{}) bool {
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

// packet is a packet in transit.
type packet struct {
	data      []byte
	to        net.Addr
	deliverAt time.Time
}

// socket is a UDP socket of a node.
type socket struct {
	net.PacketConn
	network *Network
	place   Place
	// name is the local address as text, which identifies its flows.
	name   string
	closed chan struct{}
	once   sync.Once

	mutex sync.Mutex
	// queues hold the packets in transit by latency. Packets of the same latency
	// are delivered in the order in which they were sent.
	queues map[time.Duration]chan packet
}

// WriteTo sends a packet, which is delivered after the latency to its peer. It
// blocks while the node is paused, and reports a dropped packet as sent.
func (s *socket) WriteTo(p []byte, to net.Addr) (int, error) {
	s.network.awaitResume(s.place.NodeID, s.closed)
	latency, passed := s.network.inspect(s.place, flow{s.name, to.String()})
	if !passed {
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

// queue returns the queue of a latency. It creates the queue, with the goroutine
// that delivers its packets, at first use.
func (s *socket) queue(latency time.Duration) chan packet {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	q, found := s.queues[latency]
	if !found {
		q = make(chan packet, maxQueuedPackets)
		s.queues[latency] = q
		go s.deliver(q)
	}
	return q
}

// deliver sends each packet of a queue at its delivery time, until the socket is
// closed.
func (s *socket) deliver(q chan packet) {
	for {
		select {
		case p := <-q:
			time.Sleep(time.Until(p.deliverAt))
			_, _ = s.PacketConn.WriteTo(p.data, p.to)
		case <-s.closed:
			return
		}
	}
}

// ReadFrom receives a packet. While the node is paused, it blocks even if a
// packet has arrived.
func (s *socket) ReadFrom(p []byte) (int, net.Addr, error) {
	n, from, err := s.PacketConn.ReadFrom(p)
	if s.network.awaitResume(s.place.NodeID, s.closed) {
		s.network.delayed.Add(1)
	}
	return n, from, err
}

// Close closes the socket and discards its packets in transit.
func (s *socket) Close() error {
	s.once.Do(func() { close(s.closed) })
	return errors.Wrap(s.PacketConn.Close(), "close socket")
}

// SetReadBuffer sets the size of the receive buffer in bytes. quic-go calls
// this method.
func (s *socket) SetReadBuffer(bytes int) error {
	if u, ok := s.PacketConn.(*net.UDPConn); ok {
		return errors.Wrap(u.SetReadBuffer(bytes), "set receive buffer")
	}
	return nil
}

// SetWriteBuffer sets the size of the send buffer in bytes. quic-go calls this
// method.
func (s *socket) SetWriteBuffer(bytes int) error {
	if u, ok := s.PacketConn.(*net.UDPConn); ok {
		return errors.Wrap(u.SetWriteBuffer(bytes), "set send buffer")
	}
	return nil
}
