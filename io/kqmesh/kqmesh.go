// Package kqmesh is the node for fleets whose platform states routes, keeps a
// store of objects and has each backend server report to the node beside it.
// The node takes the requests of the callers and of the backend server on its
// host, sends each to the node beside a backend server of the right service,
// and decides what its own backend server runs.
//
// # Usage
//
//	node, err := kqmesh.New(settings, dialect, client, kqmesh.WithLog(log))
//	err = node.Start()
//	...
//	err = node.Shutdown(ctx)
//
// [Settings] say where the node stands; a [Dialect] holds the names of header
// fields and the codecs of the platform, so that nothing in here depends on
// one. [NativeDialect] is the project's own.
//
// One goroutine owns control state and publishes an immutable [State]; traffic
// reads the state of the moment. A request is decided by one table of routes
// from start to end. Nodes find each other through one object each in the
// store, and hear of newer routes from each other's calls as well, so that a
// node which the store turns away still learns them.
package kqmesh

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"

	"kumquatlink/core/kqbudget"
	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqroute"
	"kumquatlink/core/kqroutes"
	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqedge"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqmetric"
	"kumquatlink/io/kqstore"
	"kumquatlink/io/kqtrunk"
)

// ErrNode marks all errors of this package.
var ErrNode = errors.New("mesh node failed")

// poolSize bounds the requests and calls that run at once; those beyond it are
// answered as not run.
const poolSize = 4096

// Settings say where a node stands and what it serves.
type Settings struct {
	NodeID        string
	Region        string
	FailureDomain string
	// Service is the service of the backend server on this host.
	Service string
	// BackendAddress is where that backend server takes requests.
	BackendAddress string
	// CallerAddress takes the requests of callers and of the backend server,
	// NoticeAddress what the backend server says of itself, ReadyAddress the
	// question whether the node is ready, PeerAddress the calls of other nodes.
	CallerAddress string
	NoticeAddress string
	ReadyAddress  string
	PeerAddress   string
	// AdvertisedAddress is where other nodes reach PeerAddress, when that is
	// another address.
	AdvertisedAddress string
	// MetricsAddress serves the metrics, or is empty.
	MetricsAddress string
	// RoutesKind and RoutesName name the object that holds the routes.
	RoutesKind string
	RoutesName string
	// Tunables may change while the node runs.
	Tunables
	// FirstStart is whether the whole fleet starts for the first time.
	FirstStart bool
}

// Tunables are the settings that may change while a node runs.
type Tunables struct {
	// RepeatRatio, RepeatWindow and RepeatSlack bound how often the fleet
	// hands requests to a second backend server.
	RepeatRatio  float64
	RepeatWindow kqclass.Duration
	RepeatSlack  float64
	// ShutdownTime is how long a node that was told to end may take.
	ShutdownTime kqclass.Duration
	// DrainTime is how long a backend server goes on serving after it said
	// that it drains.
	DrainTime kqclass.Duration
}

// repeatBound is what the fleet's repeats are held to.
func (t Tunables) repeatBound() kqbudget.Bound {
	return kqbudget.Bound{Ratio: t.RepeatRatio, Window: t.RepeatWindow.Value(), Slack: t.RepeatSlack}
}

// State is what traffic reads; it is immutable.
type State struct {
	// Routes is the table in force, or nil.
	Routes *kqroutes.Table
	// RoutesText is what the platform wrote, for peers that ask for it.
	RoutesText []byte
	// Hosts are the nodes that were found, by name.
	Hosts map[string]HostRecord
	// Upstreams are the tables of upstreams, by service.
	Upstreams map[string]*kqroute.Table
	// HostsKnown is whether the store's list was read since the start.
	HostsKnown bool
	// Server is the latest notice of the backend server on this host, and
	// ServerState its state.
	Server      kqserver.Notice
	ServerState kqserver.State
	// Leaving is whether the node was told to end.
	Leaving bool
	// HostsDigest tells lists of nodes apart.
	HostsDigest uint64
	// Watching is whether the node watches the store for its failure domain,
	// and Starting whether it watches for nodes since it does not know yet who
	// does.
	Watching bool
	Starting bool
}

// entryCount is how many nodes share the fleet's bounds.
func (s *State) entryCount() int {
	return max(len(s.Hosts), 1)
}

// Node is one process of the fleet.
type Node struct {
	settings Settings
	dialect  Dialect
	store    *kqstore.Client
	log      *kqlog.Log
	metrics  *kqmetric.Metrics
	ownsLog  bool
	now      func() time.Time
	random   func() uint64
	started  time.Time

	pool         *ants.Pool
	callerServer *kqedge.Server
	noticeServer *kqedge.Server
	ready        *kqedge.Server
	// metricsServer is nil when no metrics are served.
	metricsServer *http.Server
	server        *kqtrunk.Server
	dialer        *kqtrunk.Dialer

	state    atomic.Pointer[State]
	tunables atomic.Pointer[Tunables]
	control  *control
	gate     *gate
	shedder  *shedder
	budget   *kqbudget.Budget

	incarnation uint64
	// peerAddress is where other nodes reach this one.
	peerAddress string
	readiness   atomic.Bool
	// routesWatched and hostsWatched are whether a watch of the store stands.
	routesWatched atomic.Bool
	hostsWatched  atomic.Bool
	// peerRequestPending is whether a peer is about to be asked for newer routes.
	peerRequestPending atomic.Bool
	shutDown           atomic.Bool
	cancel             context.CancelFunc
	loops              sync.WaitGroup
}

// Option changes a node.
type Option func(*Node)

// WithLog sets the log that decisions are written to.
func WithLog(l *kqlog.Log) Option {
	return func(n *Node) { n.log = l }
}

// New makes a node of checked settings.
func New(settings Settings, dialect Dialect, store *kqstore.Client, options ...Option) (*Node, error) {
	pool, err := ants.NewPool(poolSize, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "make pool"), ErrNode)
	}
	n := &Node{settings: settings, dialect: dialect, now: time.Now, random: rand.Uint64, pool: pool}
	for _, o := range options {
		o(n)
	}
	if n.log == nil {
		n.log = kqlog.Discard()
		n.ownsLog = true
	}
	if n.metrics, err = kqmetric.New(); err != nil {
		return nil, errors.Mark(err, ErrNode)
	}
	n.started = n.now()
	n.incarnation = uint64(n.started.UnixMilli())
	n.store = kqstore.Guard(store, kqstore.WithObserver(n.observeStore))
	var restarted []kqbudget.Option
	if !settings.FirstStart {
		restarted = append(restarted, kqbudget.WithRestart(n.clock()))
	}
	n.budget = kqbudget.New(settings.repeatBound(), restarted...)
	n.tunables.Store(&settings.Tunables)
	n.dialer = kqtrunk.NewDialer(kqtrunk.Handlers{Message: n.handleMessage, Changed: n.logPeerChange}, kqtrunk.WithThrift(n.isInOtherRegion))
	n.gate = newGate(n)
	n.shedder = newShedder(n)
	n.control = newControl(n)
	return n, nil
}

// Start opens the node's addresses and begins to follow the store.
func (n *Node) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	var err error
	n.server, err = kqtrunk.Listen(n.settings.PeerAddress, kqtrunk.Handlers{
		Call: n.handleCall, Message: n.handleMessage, News: n.handleUpdate, Submit: n.pool.Submit,
	})
	if err != nil {
		return errors.Mark(err, ErrNode)
	}
	n.peerAddress = cmp.Or(n.settings.AdvertisedAddress, n.server.Address())
	n.callerServer = kqedge.New(n.handleCaller, kqedge.WithLimits(n.callerLimits), kqedge.WithSubmit(n.pool.Submit), kqedge.WithRefused(n.refuseUnread))
	n.noticeServer = kqedge.New(n.handleNotice, kqedge.WithLimits(noticeLimits))
	n.ready = kqedge.New(n.handleReady, kqedge.WithLimits(noticeLimits))
	for _, s := range []struct {
		server  *kqedge.Server
		address string
	}{{n.ready, n.settings.ReadyAddress}, {n.noticeServer, n.settings.NoticeAddress}, {n.callerServer, n.settings.CallerAddress}} {
		if s.address == "" {
			continue
		}
		if _, err := s.server.Listen(s.address); err != nil {
			return errors.Mark(err, ErrNode)
		}
	}
	if err := n.serveMetrics(); err != nil {
		return err
	}
	n.startLoop(ctx, n.control.run)
	n.startLoop(ctx, n.runGauges)
	n.startLoop(ctx, n.followRoutes)
	n.startLoop(ctx, n.followHosts)
	n.startLoop(ctx, n.maintainRecord)
	n.startLoop(ctx, n.publishUpdates)
	n.startLoop(ctx, n.probeServer)
	n.logEvent(eventNodeStarted, "node started at "+n.settings.CallerAddress+" for callers and "+n.peerAddress+" for nodes", nil,
		kqlog.Text(fieldAddress, n.settings.CallerAddress), kqlog.Text("PeerAddress", n.peerAddress))
	return nil
}

// WaitFor waits until the node's state satisfies the condition.
func (n *Node) WaitFor(ctx context.Context, condition func(*State) bool) error {
	for {
		changed := n.control.changed()
		if condition(n.State()) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Mark(errors.Wrap(ctx.Err(), "wait for state"), ErrNode)
		}
	}
}

// OfferRoutes has the node take over routes if they are newer than its own,
// as it does with those of the store and of its peers.
func (n *Node) OfferRoutes(d kqroutes.Document) error {
	text, err := json.Marshal(d)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "write routes"), ErrNode)
	}
	n.offerRoutes(text, "this process")
	return nil
}

// Retune changes the settings that may change while the node runs.
func (n *Node) Retune(t Tunables) {
	n.tunables.Store(&t)
	n.budget.SetBound(t.repeatBound())
}

func (n *Node) startLoop(ctx context.Context, run func(context.Context)) {
	n.loops.Add(1)
	go func() {
		defer n.loops.Done()
		run(ctx)
	}()
}

// State is the state of the moment.
func (n *Node) State() *State { return n.state.Load() }

// clock is the node's own monotonic time.
func (n *Node) clock() time.Duration {
	return n.now().Sub(n.started)
}

// member is the node as its peers see it.
func (n *Node) member() kqmember.Record {
	return kqmember.Record{NodeID: n.settings.NodeID, Region: n.settings.Region, FailureDomain: n.settings.FailureDomain}
}

// isInOtherRegion is whether the peer is known to be in another region, to which bytes
// cost most.
func (n *Node) isInOtherRegion(peer string) bool {
	for _, h := range n.State().Hosts {
		if h.Address == peer {
			return h.Region != n.settings.Region
		}
	}
	return false
}

// logPeerChange logs a connection to a peer that was made or lost.
func (n *Node) logPeerChange(peer string, up bool, err error) {
	if up {
		n.logEvent(eventPeerConnected, "peer "+peer+" is connected", err, kqlog.Text(fieldPeer, peer))
		return
	}
	n.logEvent(eventPeerLost, "peer "+peer+" is lost", err, kqlog.Text(fieldPeer, peer))
}
