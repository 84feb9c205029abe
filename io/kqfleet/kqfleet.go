// Package kqfleet puts a small fleet on loopback in one process: a store
// stand-in, nodes, and a backend server stand-in beside each node that has
// one. Tests, the demo and trials build on it.
//
// # Usage
//
//	fleet, err := kqfleet.New()
//	defer fleet.Close()
//	err = fleet.Configure(ctx, classes)
//	entry, err := fleet.AddNode(kqfleet.Place{NodeID: "entry-1", Region: "lothian", FailureDomain: "lothian-a"})
//	place, backend := kqfleet.Place{...}, kqbackend.Settings{...}
//	deep, err := fleet.AddBackend(place, backend)
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
var ErrFleet = errors.New("fleet on loopback failed")

// anyPort lets the system choose a free port on loopback.
const anyPort = "127.0.0.1:0"

// closeTimeout bounds the shutdown of one node.
const closeTimeout = 10 * time.Second

// maxPeers is how many addresses of other nodes a node starts from.
const maxPeers = 6

// Place names a node and says where it stands.
type Place struct {
	NodeID        string
	Region        string
	FailureDomain string
}

// Member is a node and the backend server beside it, if any.
type Member struct {
	Place   Place
	Node    *kqnode.Node
	Backend *kqbackend.Backend
	network *Network
	clock   *clock
}

// Pause stops the whole host: the node's packets both ways, whatever reads
// its clock, and the backend server.
func (m *Member) Pause() {
	m.freeze(true)
}

// Resume wakes the host, which does not know that it was stopped.
func (m *Member) Resume() {
	m.freeze(false)
}

func (m *Member) freeze(paused bool) {
	m.clock.pause(paused)
	m.network.pause(m.Place.NodeID, paused)
	if m.Backend != nil {
		f := m.Backend.Faults()
		f.Stall = paused
		m.Backend.SetFaults(f)
	}
}

// BlockedReads is how often the node waited for its clock while it was paused.
func (m *Member) BlockedReads() int64 {
	return m.clock.stalled()
}

// Fleet is the whole.
type Fleet struct {
	Store     *kqobject.Store
	Client    *kqstore.Client
	Authority *kqtrust.Authority
	Network   *Network
	Members   []*Member
	peers     []string
}

// New starts a fleet that has only its store.
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

// Configure writes the classes to the store as the next version.
func (f *Fleet) Configure(ctx context.Context, classes []kqclass.Class) error {
	held, version, err := kqstore.ReadConfiguration(ctx, f.Client)
	if err != nil && !errors.Is(err, kqstore.ErrNotFound) {
		return errors.Mark(err, ErrFleet)
	}
	next := kqclass.Configuration{Version: held.Version + 1, ChangeID: "fleet", Classes: classes}
	_, err = kqstore.WriteConfiguration(ctx, f.Client, next, version)
	return errors.Mark(err, ErrFleet)
}

// AddNode starts a node without a backend server.
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

// AddBackend starts a node with a backend server beside it.
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

// Stop shuts a member down gracefully, the node before its backend server.
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

// AwaitServices waits until every node knows all services and has a configuration.
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

// AwaitConvergence waits until every node has a configuration and knows the node
// beside every backend server.
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
			return errors.Mark(errors.Wrapf(err, "settle %s", m.Place.NodeID), ErrFleet)
		}
	}
	return nil
}

// Close shuts all nodes down at once, and then the store.
func (f *Fleet) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	failures := make([]error, len(f.Members))
	var wait sync.WaitGroup
	for i, m := range f.Members {
		wait.Go(func() { failures[i] = m.shutDown(ctx) })
	}
	wait.Wait()
	var first error
	for _, err := range failures {
		first = errors.CombineErrors(first, err)
	}
	return errors.CombineErrors(first, f.Store.Close())
}
