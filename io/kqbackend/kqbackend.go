// Package kqbackend is a stand-in of a backend server for tests and trials: it
// has slots and a service time, announces itself to the node on its host, and
// makes onward calls through that node.
//
// # Usage
//
//	backend := kqbackend.New(kqbackend.Settings{
//		Service: "orders", Slots: 36, ServiceTime: 5 * time.Millisecond,
//		NodeAddress: "127.0.0.1:8081",
//	})
//	err := backend.Listen("127.0.0.1:0")
//
// Its own record, [Backend.Runs], says what ran; trials count from it and
// never from what the nodes claim.
package kqbackend

import (
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqwire"
)

// ErrBackend marks all errors of this package.
var ErrBackend = errors.New("backend server stand-in failed")

// Settings describe a stand-in.
type Settings struct {
	Service string
	// Slots is how many calls run at once; more wait.
	Slots int
	// ServiceTime is how long a call holds its slot.
	ServiceTime time.Duration
	// NodeAddress is where the node on this host takes announcements and
	// onward calls.
	NodeAddress string
	// Onward lists the services called while a call runs.
	Onward []string
}

// Run is one call that the stand-in ran.
type Run struct {
	RequestID string
	Key       string
	Class     string
	Path      string
	At        time.Time
}

// Backend is the stand-in.
type Backend struct {
	settings Settings
	slots    chan struct{}
	server   *fasthttp.Server
	client   *fasthttp.HostClient
	address  string

	mutex sync.Mutex
	runs  []Run
}

// New makes a stand-in that does not listen yet.
func New(settings Settings) *Backend {
	b := &Backend{settings: settings, slots: make(chan struct{}, settings.Slots)}
	b.server = &fasthttp.Server{Handler: b.handle, NoDefaultServerHeader: true}
	b.client = &fasthttp.HostClient{
		Addr:                      settings.NodeAddress,
		MaxConns:                  1024,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
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
	go func() { _ = b.server.Serve(listener) }()
	return b.Announce(kqwire.StateReady)
}

// Address is where the stand-in serves.
func (b *Backend) Address() string {
	return b.address
}

// Close stops serving when the running calls are done.
func (b *Backend) Close() error {
	return errors.Mark(errors.Wrap(b.server.Shutdown(), "stop"), ErrBackend)
}

// Announce tells the node of the stand-in and its state.
func (b *Backend) Announce(state string) error {
	body, err := json.Marshal(kqwire.Announcement{Service: b.settings.Service, Address: b.address, Slots: b.settings.Slots, State: state})
	if err != nil {
		return errors.Mark(err, ErrBackend)
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPut)
	request.SetRequestURI(kqwire.PathAnnounce)
	request.Header.SetHost(b.settings.NodeAddress)
	request.SetBody(body)
	if err := b.client.Do(request, response); err != nil {
		return errors.Mark(errors.Wrap(err, "announce"), ErrBackend)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return errors.Mark(errors.Newf("announce: node answered %d: %s", response.StatusCode(), response.Body()), ErrBackend)
	}
	return nil
}

// Runs lists the calls that were run, in the order they began.
func (b *Backend) Runs() []Run {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return append([]Run(nil), b.runs...)
}

func (b *Backend) handle(c *fasthttp.RequestCtx) {
	b.slots <- struct{}{}
	defer func() { <-b.slots }()
	b.record(c)
	time.Sleep(b.settings.ServiceTime)
	for _, s := range b.settings.Onward {
		if !b.callOnward(c, s) {
			c.SetStatusCode(fasthttp.StatusBadGateway)
			return
		}
	}
	c.Response.Header.Set("Content-Type", "text/plain")
	c.Response.AppendBodyString(b.settings.Service + " " + string(c.Method()) + " " + string(c.RequestURI()) + " ")
	c.Response.AppendBody(c.PostBody())
}

func (b *Backend) record(c *fasthttp.RequestCtx) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.runs = append(b.runs, Run{
		RequestID: string(c.Request.Header.Peek(kqwire.HeaderRequestID)),
		Key:       string(c.Request.Header.Peek(kqwire.HeaderKey)),
		Class:     string(c.Request.Header.Peek(kqwire.HeaderClass)),
		Path:      string(c.Path()),
		At:        time.Now(),
	})
}

// callOnward calls a deeper service through the node and says whether it
// answered well.
func (b *Backend) callOnward(c *fasthttp.RequestCtx, service string) bool {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(string(c.Path()))
	request.Header.SetHost(b.settings.NodeAddress)
	request.Header.Set(kqwire.HeaderService, service)
	request.Header.SetBytesV(kqwire.HeaderContext, c.Request.Header.Peek(kqwire.HeaderContext))
	if err := b.client.Do(request, response); err != nil {
		return false
	}
	return response.StatusCode() == fasthttp.StatusOK
}
