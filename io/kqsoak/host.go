package kqsoak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqaccept"
	"kumquatlink/io/kqhttp"
	"kumquatlink/io/kqmesh"
	"kumquatlink/io/kqsettings"
	"kumquatlink/io/kqwire"
)

// Settings of the nodes and the simulated backend servers.
const (
	serverSlots   = 6
	noticePeriod  = 200 * time.Millisecond
	noticeTimeout = time.Second
	drainTime     = time.Second
	// drainSlack is how long a request may take between two processes of a
	// busy machine.
	drainSlack = 2 * time.Second
	// shutdownTime is the nodes' setting of that name.
	shutdownTime = 6 * time.Second
	// The bound on repeats, as production deployments set it.
	repeatRatio  = 0.2
	repeatSlack  = 48
	repeatWindow = 10 * time.Second
)

// host is a node's process and the backend server beside it.
type host struct {
	*process
	soak     *soak
	name     string
	settings kqsettings.Mesh
	// settingsPath is the file of the node's settings.
	settingsPath string
	// peerProxy forwards connections from other nodes to the node, and
	// backendProxy those from the node to the backend server.
	peerProxy    *proxy
	backendProxy *proxy

	// holdsLimits reports whether the node is of a build that holds the limits
	// which servers name.
	holdsLimits atomic.Bool
	// crashing is set while the backend server is away under a deadly request, and
	// faultAt is when the last fault of the host ends or ended, in Unix nanoseconds.
	crashing atomic.Bool
	faultAt  atomic.Int64

	mutex  sync.Mutex
	server *server
}

// newHost starts a node's process and the backend server beside it.
func (s *soak) newHost(name, service string) (*host, error) {
	h := &host{soak: s, name: name}
	h.settings = kqsettings.Mesh{
		NodeID: name, Region: "south", FailureDomain: "south-" + name[len(name)-1:], Service: service, StoreAddress: s.store.proxy.address(),
		RepeatRatio: repeatRatio, RepeatWindow: kqclass.Duration(repeatWindow), RepeatSlack: repeatSlack,
		ShutdownTime: kqclass.Duration(shutdownTime), DrainTime: kqclass.Duration(drainTime),
	}
	for _, address := range []*string{&h.settings.CallerAddress, &h.settings.NoticeAddress, &h.settings.ReadyAddress, &h.settings.PeerAddress} {
		var err error
		if *address, err = s.addresses.allocate(); err != nil {
			return nil, err
		}
	}
	var err error
	if h.peerProxy, err = newProxy("", h.settings.PeerAddress, s.recordAcceptError); err != nil {
		return nil, err
	}
	h.settings.AdvertisedAddress = h.peerProxy.address()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	if h.backendProxy, err = newProxy("", listener.Addr().String(), s.recordAcceptError); err != nil {
		return nil, err
	}
	h.settings.BackendAddress = h.backendProxy.address()
	h.settingsPath = filepath.Join(s.options.Directory, name+".json")
	if err := writeJSON(h.settingsPath, h.settings); err != nil {
		return nil, err
	}
	h.process = newProcess(s.options, name, "mesh", "--settings", h.settingsPath)
	if err := h.start(); err != nil {
		return nil, err
	}
	go h.learnVersion(context.Background())
	h.replace()
	go h.accept(listener)
	return h, nil
}

// accept serves each connection with the backend server that is current then.
func (h *host) accept(l net.Listener) {
	// It ends when the listener is closed.
	_ = kqaccept.Run(l, func(c net.Conn) { go h.current().serve(c) }, kqaccept.WithObserver(h.soak.recordAcceptError))
}

// lastFault returns when the last fault of the host ends or ended.
func (h *host) lastFault() time.Time {
	return time.Unix(0, h.faultAt.Load())
}

func (h *host) current() *server {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.server
}

// replace starts a new backend server at the host's address and stops the
// previous one.
func (h *host) replace() {
	h.soak.mutex.Lock()
	h.soak.lastServer++
	id := fmt.Sprintf("i-%d", h.soak.lastServer)
	h.soak.mutex.Unlock()
	v := &server{host: h, id: id, born: time.Now().UnixMilli(), state: kqserver.Ready, stop: make(chan struct{}), slots: make(chan struct{}, serverSlots)}
	h.soak.mutex.Lock()
	h.soak.servers = append(h.soak.servers, v)
	h.soak.mutex.Unlock()
	h.mutex.Lock()
	previous := h.server
	h.server = v
	h.mutex.Unlock()
	if previous != nil {
		previous.close()
	}
	go v.sendNotices()
}

func (h *host) close() {
	h.kill()
	h.peerProxy.close()
	h.backendProxy.close()
	h.current().close()
}

// server is one incarnation of a backend server.
type server struct {
	host  *host
	id    string
	born  int64
	slots chan struct{}
	stop  chan struct{}
	once  sync.Once

	mutex    sync.Mutex
	state    kqserver.State
	sequence int64
	// closedAt is when it may no longer receive requests, or zero.
	closedAt time.Time
	// fault is applied to its answers.
	fault  serverFault
	limits limits
}

// serverFault holds the shares of answers that a backend server loses, sends
// twice or truncates, and the time that it adds to each run.
type serverFault struct {
	loseShare, twice, truncateShare float64
	delay                           time.Duration
}

func (v *server) close() {
	v.once.Do(func() { close(v.stop) })
}

// sendNotices reports the server to its node periodically until it is closed.
func (v *server) sendNotices() {
	for {
		v.sendNotice()
		select {
		case <-v.stop:
			return
		case <-time.After(noticePeriod):
		}
	}
}

// sendNotice reports the server's state to the node. Once the node has
// acknowledged that the server drains or is gone, the server may receive
// requests for drainTime plus drainSlack; later ones violate a guarantee.
func (v *server) sendNotice() {
	v.mutex.Lock()
	v.sequence++
	n := kqmesh.NativeNotice{
		ServerID: v.id, Service: v.host.settings.Service, Address: v.host.settings.BackendAddress, Slots: serverSlots,
		State: v.state, Sequence: v.sequence, Born: v.born,
	}
	v.mutex.Unlock()
	data, err := json.Marshal(n)
	if err != nil {
		v.host.soak.recordEvent("could not encode notice of %s: %v", v.id, err)
		return
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPut)
	request.SetRequestURI("http://" + v.host.settings.NoticeAddress + kqmesh.NativeNoticePath)
	request.SetBody(data)
	if fasthttp.DoTimeout(request, response, noticeTimeout) != nil || response.StatusCode() != fasthttp.StatusOK {
		return
	}
	if n.State != kqserver.Ready {
		v.mutex.Lock()
		if v.closedAt.IsZero() {
			v.closedAt = time.Now().Add(drainTime + drainSlack)
		}
		v.mutex.Unlock()
	}
}

// setState changes the state that the server reports, and reports it.
func (v *server) setState(s kqserver.State) {
	v.mutex.Lock()
	v.state = s
	v.mutex.Unlock()
	v.sendNotice()
}

func (v *server) set(t serverFault) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.fault = t
}

// serve answers the requests of one connection.
func (v *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		q := &fasthttp.Request{}
		if q.Read(r) != nil {
			return
		}
		id := string(q.Header.Peek(kqwire.HeaderRequestID))
		current := v.host.current()
		if expected := string(q.Header.Peek(kqmesh.HeaderExpectServer)); expected != "" && expected != current.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", kqwire.HeaderRequestID, id)
			continue
		}
		if string(q.Header.RequestURI()) == healthPath {
			current.answerHealth(c)
			continue
		}
		if !current.run(c, q, id) {
			return
		}
	}
}

func (v *server) answerHealth(c io.Writer) {
	v.mutex.Lock()
	state := v.state
	v.mutex.Unlock()
	if state != kqserver.Ready {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Leaving\r\nContent-Length: 0\r\n\r\n")
		return
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 0,0,%d\r\nContent-Length: 0\r\n\r\n", kqmesh.HeaderServerID, v.id, kqmesh.HeaderLoad, serverSlots)
}

// run runs one request and reports whether the connection stays open.
func (v *server) run(c net.Conn, q *fasthttp.Request, id string) bool {
	repeat := v.host.soak.ledger.recordArrival(id, v.host.settings.Service)
	if from := v.host.soak.ledger.originOf(id); from != nil && from.holdsLimits.Load() {
		v.limits.recordArrival()
	}
	select {
	case v.slots <- struct{}{}:
	default:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Full\r\n%s: %s\r\n%s: 1\r\n%sContent-Length: 0\r\n\r\n", kqwire.HeaderRequestID, id, kqwire.HeaderShed, v.statement())
		return true
	}
	defer func() { <-v.slots }()
	v.mutex.Lock()
	late, t := !v.closedAt.IsZero() && time.Now().After(v.closedAt), v.fault
	v.mutex.Unlock()
	if late {
		v.host.soak.ledger.recordViolation("%s reached server %s of %s after it had drained", id, v.id, v.host.name)
	}
	v.host.soak.ledger.recordRun(id, v.id)
	v.host.soak.teams.checkRun(v.host.soak.ledger, q, id)
	if isDeadly(q) {
		v.host.crash()
		return false
	}
	time.Sleep(serviceTime(id) + t.delay)
	body := expectedBody(id, q)
	if v.host.settings.Service == services[0] && !v.makeOnwardCall(q, repeat) {
		body = "onward call failed"
		_, err := fmt.Fprintf(c, "HTTP/1.1 500 Error\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", kqwire.HeaderRequestID, id, v.statement(), len(body), body)
		return err == nil
	}
	return v.writeAnswer(c, id, body, t)
}

// writeAnswer writes the answer, or loses, truncates or duplicates it as t says.
// It reports whether the connection stays open.
func (v *server) writeAnswer(c net.Conn, id, body string, t serverFault) bool {
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", kqwire.HeaderRequestID, id, v.statement(), len(body), body)
	switch draw := uniformShare(id); {
	case draw < t.loseShare:
		return false
	case draw < t.loseShare+t.truncateShare:
		_, _ = io.WriteString(c, text[:len(text)-len(body)/2-1])
		return false
	case draw < t.loseShare+t.truncateShare+t.twice:
		text += fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 5\r\n\r\nextra", kqwire.HeaderRequestID, id+"-twice")
	}
	_, err := io.WriteString(c, text)
	return err == nil
}

// makeOnwardCall makes an onward call if the request asks for one, with the
// request's time budget. It reports whether the request can succeed.
func (v *server) makeOnwardCall(q *fasthttp.Request, repeat bool) bool {
	if string(q.Header.Peek(headerOnward)) == "" {
		return true
	}
	budgetMillis := string(q.Header.Peek(kqwire.HeaderBudget))
	id := v.host.soak.ledger.newID("onward")
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	a := v.host.send(ctx, call{id: id, path: v.host.soak.newestPath(services[1]), service: services[1], budgetMillis: budgetMillis, fromRepeat: repeat})
	return a.status == fasthttp.StatusOK
}

// newCallerPool returns a pool of connections to the host's node.
func (h *host) newCallerPool() *kqhttp.Pool {
	return kqhttp.NewPool(h.settings.CallerAddress)
}
