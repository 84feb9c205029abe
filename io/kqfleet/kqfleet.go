// Package kqfleet runs a small fleet on loopback in one process: a store
// stand-in, nodes, and backend server stand-ins beside some of the nodes. The
// network between the nodes has latencies and injected faults. Tests, the demo
// and trials use it.
//
// # Usage
//
//	fleet, err := kqfleet.New()
//	defer fleet.Close()
//	err = fleet.Configure(ctx, classes)
//	entry, err := fleet.AddNode(kqfleet.Place{NodeID: "entry-1", Region: "lothian", FailureDomain: "lothian-a"})
//	place, backend := kqfleet.Place{...}, kqbackend.Settings{...}
//	member, err := fleet.AddBackend(place, backend)
//	err = fleet.AwaitConvergence(ctx)
package kqfleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqclass"
	"kumquatlink/io/kqbackend"
	"kumquatlink/io/kqlink"
	"kumquatlink/io/kqnode"
	"kumquatlink/io/kqobject"
	"kumquatlink/io/kqsettings"
	"kumquatlink/io/kqstore"
	"kumquatlink/io/kqtrust"
)

// ErrFleet marks all errors of this package.
var ErrFleet = errors.New("error of the fleet on loopback")

// anyPort is a loopback address whose port the operating system chooses.
const anyPort = "127.0.0.1:0"

// closeTimeout bounds the shutdown of all nodes in Close.
const closeTimeout = 10 * time.Second

// maxPeers is the maximum number of existing nodes whose addresses a new node
// gets to join the fleet.
const maxPeers = 6

// Place is the ID of a node with its region and failure domain.
type Place struct {
	NodeID        string
	Region        string
	FailureDomain string
}

// Member is a host of the fleet: a node and the backend server beside it, if any.
type Member struct {
	Place Place
	Node  *kqnode.Node
	// Backend is nil if the node has no backend server.
	Backend *kqbackend.Backend
	network *Network
	clock   *clock
}

// Pause suspends the whole host: packets to and from the node wait, reads of the
// node's clock block, and the backend server stalls.
func (m *Member) Pause() {
	m.setPaused(true)
}

// Resume ends a pause. Nothing tells the host that it was paused.
func (m *Member) Resume() {
	m.setPaused(false)
}

func (m *Member) setPaused(paused bool) {
	m.clock.setPaused(paused)
	m.network.setPaused(m.Place.NodeID, paused)
	if m.Backend != nil {
		f := m.Backend.Faults()
		f.Stall = paused
		m.Backend.SetFaults(f)
	}
}

// BlockedReads returns the number of reads of the node's clock that blocked
// because the host was paused.
func (m *Member) BlockedReads() int64 {
	return m.clock.blockedReadCount()
}

// Fleet is a store stand-in, a certificate authority, a network, and the members
// that were added. Its methods must not be called concurrently.
type Fleet struct {
	Store *kqobject.Store
	// Client is a client of Store.
	Client *kqstore.Client
	// Authority issues the certificates of the nodes.
	Authority *kqtrust.Authority
	Network   *Network
	Members   []*Member
	// peers are the peer addresses of all nodes that were added.
	peers []string
}

// New starts a fleet without members. Errors of New and of all methods but Close
// are marked [ErrFleet].
func New() (*Fleet, error) {
	authority, err := kqtrust.NewAuthority()
	if err != nil {
		return nil, errors.Mark(err, ErrFleet)
	}
	f := &Fleet{Store: kqobject.New(), Authority: authority, Network: NewNetwork()}
	if err := f.Store.Listen(anyPort); err != nil {
		return nil, errors.Mark(err, ErrFleet)
	}
	f.Client = kqstore.NewHTTP(f.Store.Address())
	return f, nil
}

// Configure replaces the classes of the configuration in the store, as its next
// version.
func (f *Fleet) Configure(ctx context.Context, classes []kqclass.Class) error {
	stored, version, err := kqstore.ReadConfiguration(ctx, f.Client)
	if err != nil && !errors.Is(err, kqstore.ErrNotFound) {
		return errors.Mark(err, ErrFleet)
	}
	next := kqclass.Configuration{Version: stored.Version + 1, ChangeID: "fleet", Classes: classes}
	_, err = kqstore.WriteConfiguration(ctx, f.Client, next, version)
	return errors.Mark(err, ErrFleet)
}

// AddNode starts a node without a backend server and adds it to the fleet.
func (f *Fleet) AddNode(place Place, options ...kqnode.Option) (*Member, error) {
	identity, err := f.Authority.Issue(place.NodeID)
	if err != nil {
		return nil, errors.Mark(err, ErrFleet)
	}
	settings := kqsettings.Node{
		NodeID: place.NodeID, Region: place.Region, FailureDomain: place.FailureDomain,
		CallerAddress: anyPort, BackendAddress: anyPort, PeerAddress: anyPort, OperatorAddress: anyPort, StoreAddress: f.Store.Address(),
		Peers: append([]string(nil), f.peers[:min(len(f.peers), maxPeers)]...),
	}
	m := &Member{Place: place, network: f.Network, clock: newClock()}
	options = append([]kqnode.Option{
		kqnode.WithLinkOptions(kqlink.WithSockets(f.Network.Sockets(place))),
		kqnode.WithNow(m.clock.now),
	}, options...)
	m.Node, err = kqnode.New(settings, identity, kqstore.NewHTTP(f.Store.Address()), options...)
	if err != nil {
		return nil, errors.Mark(err, ErrFleet)
	}
	if err := m.Node.Start(); err != nil {
		return nil, errors.Mark(err, ErrFleet)
	}
	f.peers = append(f.peers, m.Node.PeerAddress())
	f.Members = append(f.Members, m)
	return m, nil
}

// AddBackend starts a node with a backend server beside it and adds both to the
// fleet as one member.
func (f *Fleet) AddBackend(place Place, backend kqbackend.Settings, options ...kqnode.Option) (*Member, error) {
	m, err := f.AddNode(place, options...)
	if err != nil {
		return nil, err
	}
	backend.NodeAddress = m.Node.BackendAddress()
	m.Backend = kqbackend.New(backend)
	if err := m.Backend.Listen(anyPort); err != nil {
		return nil, errors.Mark(err, ErrFleet)
	}
	return m, nil
}

// Stop removes a member from the fleet and shuts it down gracefully, the node
// before its backend server.
func (f *Fleet) Stop(ctx context.Context, m *Member) error {
	f.Members = slices.DeleteFunc(f.Members, func(o *Member) bool { return o == m })
	return errors.Mark(m.shutDown(ctx), ErrFleet)
}

func (m *Member) shutDown(ctx context.Context) error {
	err := m.Node.Shutdown(ctx)
	if m.Backend != nil {
		err = errors.CombineErrors(err, m.Backend.Close())
	}
	return err
}

// AwaitServices waits until every node has a configuration and at least one
// upstream for each of the services.
func (f *Fleet) AwaitServices(ctx context.Context, services ...string) error {
	for _, m := range f.Members {
		err := m.Node.WaitFor(ctx, func(s *kqnode.State) bool {
			for _, name := range services {
				if len(s.Members.Upstreams(name)) == 0 {
					return false
				}
			}
			return s.Classes != nil
		})
		if err != nil {
			return errors.Mark(err, ErrFleet)
		}
	}
	return nil
}

// AwaitConvergence waits until every node has a configuration and knows all
// upstreams of the fleet, that is, the nodes with a backend server.
func (f *Fleet) AwaitConvergence(ctx context.Context) error {
	upstreams := map[string]int{}
	for _, m := range f.Members {
		if m.Backend != nil {
			upstreams[m.Backend.Service()]++
		}
	}
	for _, m := range f.Members {
		err := m.Node.WaitFor(ctx, func(s *kqnode.State) bool {
			for name, n := range upstreams {
				if len(s.Members.Upstreams(name)) < n {
					return false
				}
			}
			return s.Classes != nil
		})
		if err != nil {
			return errors.Mark(errors.Wrapf(err, "await convergence of %s", m.Place.NodeID), ErrFleet)
		}
	}
	return nil
}

// Close shuts down all members concurrently, and then the store.
func (f *Fleet) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	errs := make([]error, len(f.Members))
	var wait sync.WaitGroup
	for i, m := range f.Members {
		wait.Go(func() { errs[i] = m.shutDown(ctx) })
	}
	wait.Wait()
	var combined error
	for _, err := range errs {
		combined = errors.CombineErrors(combined, err)
	}
	return errors.CombineErrors(combined, f.Store.Close())
}
