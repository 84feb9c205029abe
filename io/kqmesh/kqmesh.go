// Package kqmesh implements a mesh node: the process that runs beside one
// backend server on each host and controls overload along service call graphs.
// It is meant for platforms that publish a table of routes, keep a store of
// objects and have each backend server report its state to the node beside it.
//
// A node has two parts. The entry takes requests from callers and from the
// backend server on its host, decides their route and sends each to a node
// whose backend server offers the requested service (an upstream). The gate
// takes calls from the entries of all nodes, its own included, and admits them
// to the backend server, queues them or refuses them.
//
// # Usage
//
//	node, err := kqmesh.New(settings, dialect, client, kqmesh.WithLog(log))
//	err = node.Start()
//	...
//	err = node.Shutdown(ctx)
//
// [Settings] hold the node's identity, addresses and limits. A [Dialect] holds
// the header names and codecs of the platform, so that this package depends on
// no platform; [NativeDialect] is the one that this project defines.
//
// One goroutine owns the control state and publishes an immutable [State];
// goroutines that serve requests read the latest one. A request is handled by
// the same table of routes from start to end, also if newer routes come into
// force meanwhile. Each node writes one record of itself to the store, by which
// the others find it. Calls and answers between nodes carry the version of the
// routes, so that a node which the store refuses to serve still learns of newer
// routes and requests them from a peer.
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
	"kumquatlink/core/kqdrain"
	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqroute"
	"kumquatlink/core/kqroutes"
	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqbody"
	"kumquatlink/io/kqedge"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqmetric"
	"kumquatlink/io/kqstore"
	"kumquatlink/io/kqtrunk"
)

// ErrNode marks every error that this package returns.
var ErrNode = errors.New("mesh node failed")

// maxConcurrentCalls limits the requests and calls that a node handles at once.
// Those beyond the limit are answered as not run.
const maxConcurrentCalls = 4096

// Settings hold a node's identity, its addresses and its tunables.
type Settings struct {
	NodeID        string
	Region        string
	FailureDomain string
	// Service is the service that the backend server on this host offers.
	Service string
	// BackendAddress is the address at which that backend server listens.
	BackendAddress string
	// The node listens at CallerAddress for requests of callers and of the
	// backend server, at NoticeAddress for the backend server's notices of its
	// state, at ReadyAddress for readiness probes, and at PeerAddress for calls
	// of other nodes. An empty CallerAddress, NoticeAddress or ReadyAddress
	// turns that listener off.
	CallerAddress string
	NoticeAddress string
	ReadyAddress  string
	PeerAddress   string
	// AdvertisedAddress is the address at which other nodes reach PeerAddress,
	// or empty if it is the address of the listener itself.
	AdvertisedAddress string
	// MetricsAddress is the address of the metrics listener, or empty for none.
	MetricsAddress string
	// RoutesKind and RoutesName identify the store object that holds the routes.
	RoutesKind string
	RoutesName string
	// Tunables may be changed later with Retune.
	Tunables
	// MemoryMegabytes is the memory in MiB that the process may take on its host, 0 for
	// that of the smallest hosts.
	MemoryMegabytes int
	// FirstStart reports whether the whole fleet starts for the first time.
	// Then the first routes may be read from a stale replica of the store.
	// Otherwise the budget of repeats spends no slack during its first window,
	// since the node's former process may have spent it.
	FirstStart bool
}

// Tunables are the settings that may change while a node runs.
type Tunables struct {
	// RepeatRatio, RepeatWindow and RepeatSlack limit how often the whole fleet
	// sends a request to a further backend server after one may have begun it.
	RepeatRatio  float64
	RepeatWindow kqclass.Duration
	RepeatSlack  float64
	// ShutdownTime is the longest that Shutdown may take.
	ShutdownTime kqclass.Duration
	// DrainTime is how long a backend server continues to serve after it has
	// reported that it drains.
	DrainTime kqclass.Duration
}

// repeatBound returns the limit on the fleet's repeats.
func (t Tunables) repeatBound() kqbudget.Bound {
	return kqbudget.Bound{Ratio: t.RepeatRatio, Window: t.RepeatWindow.Value(), Slack: t.RepeatSlack}
}

// State is an immutable snapshot of the control state, by which requests and
// calls are handled.
type State struct {
	// Routes is the table in force, or nil.
	Routes *kqroutes.Table
	// RoutesText is the encoded document of that table as the platform wrote
	// it, for peers that request it.
	RoutesText []byte
	// Hosts are the records of the known nodes, by node ID.
	Hosts map[string]HostRecord
	// Behind holds the IDs of the nodes of which the store holds an older record
	// than Hosts, or none, with the version of that object or an empty one.
	Behind map[string]string
	// Upstreams are the tables of upstreams, by service.
	Upstreams map[string]*kqroute.Table
	// HostsKnown reports whether the list of nodes was received since the
	// start, from the store or from a peer.
	HostsKnown bool
	// Server is the latest notice of the backend server on this host, and
	// ServerState the state that the node derives from its notices.
	Server      kqserver.Notice
	ServerState kqserver.State
	// Leaving reports whether a shutdown of the node has begun.
	Leaving bool
	// Recalled reports whether the node knows what its former process, if there was
	// one, knew of the backend server, as far as the store and other nodes do.
	Recalled bool
	// Confirmed reports whether notices that the backend server is ready are believed.
	Confirmed bool
	// HostsDigest is a hash of Hosts, by which nodes compare their lists.
	HostsDigest uint64
	// Watching reports whether the node watches the store on behalf of its
	// failure domain. Starting reports whether it watches the list of nodes
	// because it does not know yet which node does so.
	Watching bool
	Starting bool
}

// entryCount returns the number of nodes among which the fleet's limit on
// repeats is divided. It is at least 1.
func (s *State) entryCount() int {
	return max(len(s.Hosts), 1)
}

// Node is one mesh node, with its entry, its gate and its control state.
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

	// memory bounds the memory of all bodies that the node holds.
	memory  *kqbody.Budget
	stalled *stalledCallers

	pool         *ants.Pool
	callerServer *kqedge.Server
	noticeServer *kqedge.Server
	ready        *kqedge.Server
	// metricsServer is nil if no metrics are served.
	metricsServer *http.Server
	server        *kqtrunk.Server
	dialer        *kqtrunk.Dialer

	state    atomic.Pointer[State]
	tunables atomic.Pointer[Tunables]
	control  *control
	gate     *gate
	shedder  *shedder
	budget   *kqbudget.Budget
	stated   *statedServers
	quotas   *quotas
	even     evenRouting
	// asking has a value while a question of an operator is answered.
	asking chan struct{}
	// recentTimes holds how long the requests of callers have taken lately.
	recentTimes *kqdrain.Recent

	incarnation atomic.Uint64
	// peerAddress is the address that other nodes use to reach this one.
	peerAddress string
	readiness   atomic.Bool
	// routesWatched and hostsWatched report whether a watch of the store's
	// routes or node records is open.
	routesWatched atomic.Bool
	hostsWatched  atomic.Bool
	// routesConfirmed is when a watcher last said that the routes in force are the
	// latest, on the node's clock, or 0.
	routesConfirmed atomic.Int64
	// peerRequestPending is set while a request to a peer, for newer routes or
	// for its list of nodes, is scheduled.
	peerRequestPending atomic.Bool
	shutDown           atomic.Bool
	// keptDeparture is the start of the backend server of which something outside the
	// process keeps that it leaves, or nil.
	keptDeparture atomic.Pointer[serverStart]
	// callsCtx ends when the calls that run are given up, since the node ends.
	// endsAt is when that will be, on the node's clock, once a shutdown has begun.
	callsCtx    context.Context
	giveUpCalls context.CancelCauseFunc
	endsAt      atomic.Int64
	// ctx ends when the node is closed.
	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// Option configures a node that New creates.
type Option func(*Node)

// WithLog sets the log for decisions and events. The default discards them.
func WithLog(l *kqlog.Log) Option {
	return func(n *Node) { n.log = l }
}

// New creates a node that is not started yet. The settings must have been
// checked. Errors are marked with ErrNode.
func New(settings Settings, dialect Dialect, store *kqstore.Client, options ...Option) (*Node, error) {
	n := &Node{settings: settings, dialect: dialect, now: time.Now, random: rand.Uint64}
	for _, o := range options {
		o(n)
	}
	var err error
	n.pool, err = ants.NewPool(maxConcurrentCalls, ants.WithNonblocking(true), ants.WithPanicHandler(n.logPanic))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "create goroutine pool"), ErrNode)
	}
	if n.log == nil {
		n.log = kqlog.Discard()
		n.ownsLog = true
	}
	if n.metrics, err = kqmetric.New(); err != nil {
		return nil, errors.Mark(err, ErrNode)
	}
	n.started = n.now()
	n.incarnation.Store(uint64(n.started.UnixMilli()))
	n.store = kqstore.NewBreakerClient(store, kqstore.WithObserver(n.observeStore))
	var budgetOptions []kqbudget.Option
	if !settings.FirstStart {
		budgetOptions = append(budgetOptions, kqbudget.WithRestart(n.clock()))
	}
	n.budget = kqbudget.New(settings.repeatBound(), budgetOptions...)
	n.tunables.Store(&settings.Tunables)
	n.stalled = &stalledCallers{node: n}
	n.memory = kqbody.NewBudget(settings.bodyMemory(), kqbody.WithLoneBodies(), kqbody.WithShortage(func() { n.callerServer.Reclaim() }))
	n.callerServer = kqedge.New(n.handleCaller, kqedge.WithLimits(n.callerLimits), kqedge.WithSubmit(n.pool.Submit), kqedge.WithErrorHandler(n.answerUnreadable),
		kqedge.WithMaxConnections(maxCallerConnections()), kqedge.WithAcceptObserver(n.acceptObserver("callers")),
		kqedge.WithMemory(n.memory), kqedge.WithReclaimObserver(n.stalled.record))
	n.dialer = kqtrunk.NewDialer(kqtrunk.Handlers{Message: n.handleMessage, ConnectionChanged: n.logPeerChange, Memory: n.memory}, kqtrunk.WithCompression(n.isInOtherRegion))
	n.gate = newGate(n)
	n.shedder = newShedder(n)
	n.stated = &statedServers{node: n}
	n.quotas = newQuotas(n)
	n.shedder.shares.demandOf = n.quotas.demandOf
	n.recentTimes = kqdrain.New()
	n.asking = make(chan struct{}, 1)
	n.callsCtx, n.giveUpCalls = context.WithCancelCause(context.Background())
	n.control = newControl(n)
	return n, nil
}

// Start opens the node's listeners and starts the goroutines that follow the
// store, write the node's record and serve requests. Errors are marked with
// ErrNode.
func (n *Node) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	n.ctx, n.cancel = ctx, cancel
	var err error
	n.server, err = kqtrunk.Listen(n.settings.PeerAddress, kqtrunk.Handlers{
		Call: n.handleCall, Message: n.handleMessage, Update: n.handleUpdate, Submit: n.pool.Submit,
		AcceptFailed: n.acceptObserver("peers"), Memory: n.memory,
	})
	if err != nil {
		return errors.Mark(err, ErrNode)
	}
	n.peerAddress = cmp.Or(n.settings.AdvertisedAddress, n.server.Address())
	n.noticeServer = kqedge.New(n.handleNotice, kqedge.WithLimits(noticeLimits), kqedge.WithAcceptObserver(n.acceptObserver("notices")))
	n.ready = kqedge.New(n.handleReady, kqedge.WithLimits(noticeLimits), kqedge.WithAcceptObserver(n.acceptObserver("readiness probes")))
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
	n.startLoop(ctx, n.repairRecords)
	n.startLoop(ctx, n.publishUpdates)
	n.startLoop(ctx, n.probeServer)
	n.startLoop(ctx, n.fetchRecords)
	n.startLoop(ctx, n.readConvictions)
	n.startLoop(ctx, n.quotas.run)
	n.logEvent(eventNodeStarted, "node started at "+n.settings.CallerAddress+" for callers and "+n.peerAddress+" for nodes", nil,
		kqlog.Text(fieldAddress, n.settings.CallerAddress), kqlog.Text("PeerAddress", n.peerAddress))
	return nil
}

// WaitFor waits until the condition holds for the node's state. If ctx ends
// first, it returns the error of ctx, marked with ErrNode.
func (n *Node) WaitFor(ctx context.Context, condition func(*State) bool) error {
	for {
		changed := n.control.changed()
		if condition(n.State()) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Mark(errors.Wrap(ctx.Err(), "wait for a condition on the node's state"), ErrNode)
		}
	}
}

// OfferRoutes puts routes into force if they are newer than the current ones, as the
// node does with routes of the store and of its peers. It returns once that is decided.
// Older routes, and parts of routes that can't be applied, are logged and are no error.
func (n *Node) OfferRoutes(d kqroutes.Document) error {
	text, err := json.Marshal(d)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "encode routes"), ErrNode)
	}
	n.offerRoutes(text, "this process")
	return nil
}

// Retune replaces the tunables of a running node.
func (n *Node) Retune(t Tunables) {
	n.tunables.Store(&t)
	n.budget.SetBound(t.repeatBound())
}

// startLoop runs a background goroutine for which the end of the node waits.
func (n *Node) startLoop(ctx context.Context, run func(context.Context)) {
	n.loops.Add(1)
	go func() {
		defer n.loops.Done()
		run(ctx)
	}()
}

// State returns the latest published state.
func (n *Node) State() *State { return n.state.Load() }

// clock returns the time since the node was created, by the monotonic clock.
func (n *Node) clock() time.Duration {
	return n.now().Sub(n.started)
}

// member returns the node's own record as upstream selection needs it, without
// an address.
func (n *Node) member() kqmember.Record {
	return kqmember.Record{NodeID: n.settings.NodeID, Region: n.settings.Region, FailureDomain: n.settings.FailureDomain}
}

// isInOtherRegion reports whether the peer is known to be in another region.
// Traffic to other regions is the most expensive.
func (n *Node) isInOtherRegion(peer string) bool {
	for _, h := range n.State().Hosts {
		if h.Address == peer {
			return h.Region != n.settings.Region
		}
	}
	return false
}

// logPeerChange logs that the connection to a peer was made or lost.
func (n *Node) logPeerChange(peer string, up bool, err error) {
	if up {
		n.logEvent(eventPeerConnected, "peer "+peer+" is connected", err, kqlog.Text(fieldPeer, peer))
		return
	}
	n.logEvent(eventPeerLost, "peer "+peer+" is lost", err, kqlog.Text(fieldPeer, peer))
}
