// Package kqbackend is a stand-in of a backend server for tests and trials: it
// has slots, a bounded queue and a service time, announces itself to the node
// on its host, sheds, starts cold, leaves, and makes onward calls.
//
// # Usage
//
//	backend := kqbackend.New(kqbackend.Settings{
//		Service: "orders", Slots: 36, ServiceTime: 5 * time.Millisecond,
//		NodeAddress: "127.0.0.1:8081",
//	})
//	err := backend.Listen("127.0.0.1:0")
//
// A call whose path is that of a [Call] of a plan makes the onward calls of
// its step; any other call makes those of Settings.Onward. Work stops when the
// connection that a call came on is closed. [Backend.SetFaults] makes the
// stand-in slow, stalled, refusing or silent while it runs.
//
// Its own record, [Backend.Runs] and [Backend.Sheds], says what ran; trials
// count from it and never from what the nodes claim.
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
var ErrBackend = errors.New("backend server stand-in failed")

// Defaults of a stand-in.
const (
	defaultQueue    = 256
	announceTimeout = 2 * time.Second
	maxIdleOnward   = 512
)

// Settings describe a stand-in.
type Settings struct {
	Service string
	// Slots is how many calls run at once; more wait.
	Slots int
	// Queue is how many calls may wait before the stand-in sheds. Default 256.
	Queue int
	// ServiceTime is how long a call works in its slot, in the mean.
	ServiceTime time.Duration
	// Spread is the sigma of the lognormal distribution of the service time;
	// 0 means that each call works for exactly ServiceTime.
	Spread float64
	// Seed seeds the service times.
	Seed uint64
	// ColdStart is how long a fresh stand-in is slower than usual: ColdFactor
	// times at first, falling evenly to once.
	ColdStart  time.Duration
	ColdFactor float64
	// Collapse is how much longer a call works for each multiple of Slots that
	// waits when it begins, as in a server that thrashes; CollapseLimit bounds
	// the whole factor.
	Collapse      float64
	CollapseLimit float64
	// RenewPeriod is how often the stand-in announces itself again, or 0.
	RenewPeriod time.Duration
	// NodeAddress is where the node on this host takes announcements and
	// onward calls, or empty when there is none.
	NodeAddress string
	// Onward lists the services called while a call runs.
	Onward []string
	// Plans are the calls that each kind of request makes, by kind.
	Plans map[string]Step
	// Send makes an onward call. By default it goes to the node on this host.
	Send SendFunc
}

// Backend is the stand-in.
type Backend struct {
	settings Settings
	slots    chan struct{}
	server   *fasthttp.Server
	node     *kqhttp.Pool
	address  string
	started  time.Time
	closing  chan struct{}
	once     sync.Once

	inside atomic.Int64
	serial atomic.Int64
	faults faultSwitches

	randomMutex sync.Mutex
	random      *rand.Rand

	record record
}

// New makes a stand-in that does not listen yet.
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

// Listen serves at a TCP address and announces it to the node.
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

// Address is where the stand-in serves.
func (b *Backend) Address() string {
	return b.address
}

// Service is the service that the stand-in belongs to.
func (b *Backend) Service() string {
	return b.settings.Service
}

// Close stops serving when the running calls are done.
func (b *Backend) Close() error {
	b.once.Do(func() { close(b.closing) })
	b.SetFaults(Faults{})
	err := b.server.Shutdown()
	b.node.Close()
	return errors.Mark(errors.Wrap(err, "stop"), ErrBackend)
}

// renew announces the stand-in again and again, as one that does not know
// whether its node was restarted.
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

// Leave announces that the stand-in is leaving and renews no announcement.
func (b *Backend) Leave() error {
	f := b.faults.get()
	f.Leaving = true
	b.SetFaults(f)
	return b.Announce(kqwire.StateLeaving)
}

// Announce tells the node of the stand-in and its state.
func (b *Backend) Announce(state string) error {
	body, err := json.Marshal(kqwire.Announcement{Service: b.settings.Service, Address: b.address, Slots: b.settings.Slots, State: state})
	if err != nil {
		return errors.Mark(err, ErrBackend)
	}
	ctx, cancel := contextWithin(announceTimeout)
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
