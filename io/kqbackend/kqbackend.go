// Package kqbackend is a backend server for tests and trials, called the
// stand-in. It runs a limited number of calls at once, in slots, and each call
// takes a service time. Further calls wait in a bounded queue, and calls beyond
// that are shed. The stand-in announces itself to the node on its host, can start
// slow and warm up, and makes onward calls, which are calls to other services on
// behalf of a running call.
//
// # Usage
//
//	backend := kqbackend.New(kqbackend.Settings{
//		Service: "orders", Slots: 36, ServiceTime: 5 * time.Millisecond,
//		NodeAddress: "127.0.0.1:8081",
//	})
//	err := backend.Listen("127.0.0.1:0")
//
// A plan, given as a [Step] in Settings.Plans, is the tree of calls that a kind of
// request makes. A call whose path is a [Position] in a plan makes the onward
// calls of its step; any other call makes one onward call to each service of
// Settings.Onward. The work on a call stops when its connection is closed.
// [Backend.SetFaults] makes a running stand-in slow, stalled, refusing or silent.
//
// [Backend.Runs], [Backend.Sheds] and [Backend.Sends] return what the stand-in
// itself recorded. Trials take their counts from these records, not from what
// the nodes report.
package kqbackend

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqhttp"
	"kumquatlink/io/kqwire"
)

// ErrBackend marks all errors of this package.
var ErrBackend = errors.New("error of the backend server stand-in")

// Defaults and limits of a stand-in.
const (
	defaultQueue    = 256
	announceTimeout = 2 * time.Second
	maxIdleOnward   = 512
)

// Settings holds the settings of a stand-in.
type Settings struct {
	// Service is the service that the stand-in belongs to.
	Service string
	// Slots is the maximum number of calls that run at once.
	Slots int
	// Queue is the maximum number of calls that wait for a slot; further calls
	// are shed. The default is 256.
	Queue int
	// ServiceTime is the mean time that a call works in its slot.
	ServiceTime time.Duration
	// Spread is the sigma of the lognormal distribution of the service time.
	// 0 means that each call works for exactly ServiceTime.
	Spread float64
	// Seed seeds the random service times.
	Seed uint64
	// ColdStart is how long a new stand-in works slower than usual. The service
	// time starts at ColdFactor times the usual one and falls linearly to it.
	ColdStart  time.Duration
	ColdFactor float64
	// Collapse makes the stand-in slower while calls wait, as a server that
	// thrashes is. The service time of a call is multiplied by 1 + Collapse * n,
	// where n is the number of waiting calls at its start divided by Slots.
	// CollapseLimit bounds this factor.
	Collapse      float64
	CollapseLimit float64
	// RenewPeriod is the time between repeated announcements. 0 means that the
	// stand-in announces itself once.
	RenewPeriod time.Duration
	// NodeAddress is where the node on this host takes announcements and
	// onward calls. It is empty if there is no node.
	NodeAddress string
	// Onward lists the services that each call outside a plan calls.
	Onward []string
	// Plans holds the tree of calls that each kind of request makes, by kind.
	Plans map[string]Step
	// Send makes an onward call. By default, calls are sent to the node on this
	// host.
	Send SendFunc
}

// Backend is a backend server stand-in.
type Backend struct {
	settings  Settings
	slots     chan struct{}
	server    *fasthttp.Server
	node      *kqhttp.Pool
	address   string
	started   time.Time
	closing   chan struct{}
	closeOnce sync.Once

	// inFlight is the number of calls that run or wait for a slot.
	inFlight atomic.Int64
	// serial numbers the runs that make the onward calls of a plan.
	serial atomic.Int64
	faults faultState

	randomMutex sync.Mutex
	random      *rand.Rand

	record record
}

// New returns a stand-in that does not listen yet.
func New(settings Settings) *Backend {
	if settings.Queue == 0 {
		settings.Queue = defaultQueue
	}
	b := &Backend{
		settings: settings,
		slots:    make(chan struct{}, settings.Slots),
		closing:  make(chan struct{}),
		random:   rand.New(rand.NewPCG(settings.Seed, uint64(settings.Slots))),
	}
	b.faults.changed = make(chan struct{})
	b.server = &fasthttp.Server{Handler: b.handle, NoDefaultServerHeader: true, CloseOnShutdown: true}
	b.node = kqhttp.NewPool(settings.NodeAddress, kqhttp.WithMaxIdle(maxIdleOnward))
	if b.settings.Send == nil {
		b.settings.Send = b.sendToNode
	}
	return b
}

// Listen starts to serve at a TCP address and announces the address to the node,
// if there is one. Errors are marked [ErrBackend].
func (b *Backend) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "listen at %s", address), ErrBackend)
	}
	b.address = listener.Addr().String()
	b.started = time.Now()
	go func() { _ = b.server.Serve(&watchedListener{Listener: listener}) }()
	if b.settings.NodeAddress == "" {
		return nil
	}
	if b.settings.RenewPeriod > 0 {
		go b.renew()
	}
	return b.Announce(kqwire.StateReady)
}

// Address returns the address at which the stand-in serves.
func (b *Backend) Address() string {
	return b.address
}

// Service returns the service that the stand-in belongs to.
func (b *Backend) Service() string {
	return b.settings.Service
}

// Close takes back all faults, waits until the running calls are done, and stops
// serving. Errors are marked [ErrBackend].
func (b *Backend) Close() error {
	b.closeOnce.Do(func() { close(b.closing) })
	b.SetFaults(Faults{})
	err := b.server.Shutdown()
	b.node.Close()
	return errors.Mark(errors.Wrap(err, "stop"), ErrBackend)
}

// renew announces the stand-in once per RenewPeriod until Close, because the
// stand-in does not know whether its node was restarted.
func (b *Backend) renew() {
	ticker := time.NewTicker(b.settings.RenewPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-b.closing:
			return
		}
		if !b.faults.get().Leaving {
			_ = b.Announce(kqwire.StateReady)
		}
	}
}

// Leave announces that the stand-in is leaving and stops the repeated
// announcements. The stand-in keeps serving the calls that it receives.
func (b *Backend) Leave() error {
	f := b.faults.get()
	f.Leaving = true
	b.SetFaults(f)
	return b.Announce(kqwire.StateLeaving)
}

// Announce sends the node the service, address, slots and state of the stand-in.
// It returns an error marked [ErrBackend] if the node does not accept them.
func (b *Backend) Announce(state string) error {
	body, err := json.Marshal(kqwire.Announcement{Service: b.settings.Service, Address: b.address, Slots: b.settings.Slots, State: state})
	if err != nil {
		return errors.Mark(err, ErrBackend)
	}
	ctx, cancel := contextWithTimeout(announceTimeout)
	defer cancel()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPut)
	request.SetRequestURI(kqwire.PathAnnounce)
	request.Header.SetHost(b.settings.NodeAddress)
	request.SetBody(body)
	if err := b.node.Do(ctx, request, response); err != nil {
		return errors.Mark(errors.Wrap(err, "announce"), ErrBackend)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return errors.Mark(errors.Newf("announce: node answered %d: %s", response.StatusCode(), response.Body()), ErrBackend)
	}
	return nil
}
