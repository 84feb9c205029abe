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
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqhttp"
	"kumquatlink/io/kqmesh"
	"kumquatlink/io/kqsettings"
	"kumquatlink/io/kqwire"
)

// Figures of the backend servers.
const (
	serverSlots   = 6
	heartbeatTime = 200 * time.Millisecond
	noticeTimeout = time.Second
	drainTime     = time.Second
	// drainSlack is how long a request may be on its way between two processes
	// of a busy machine.
	drainSlack = 2 * time.Second
	// shutdownTime is the nodes' own.
	shutdownTime = 6 * time.Second
	// The bound of repeats, as the deployments that the nodes are made for
	// have it.
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
	// settingsPath is where the node reads them.
	settingsPath string
	// peer stands before the node's address for other nodes, and link before
	// the backend server.
	peer *proxy
	link *proxy

	mutex  sync.Mutex
	server *server
}

func (s *soak) newHost(name, service string) (*host, error) {
	h := &host{soak: s, name: name}
	h.settings = kqsettings.Mesh{
		NodeID: name, Region: "south", FailureDomain: "south-" + name[len(name)-1:], Service: service, StoreAddress: s.store.proxy.address(),
		RepeatRatio: repeatRatio, RepeatWindow: kqclass.Duration(repeatWindow), RepeatSlack: repeatSlack,
		ShutdownTime: kqclass.Duration(shutdownTime), DrainTime: kqclass.Duration(drainTime),
	}
	for _, address := range []*string{&h.settings.CallerAddress, &h.settings.NoticeAddress, &h.settings.ReadyAddress, &h.settings.PeerAddress} {
		var err error
		if *address, err = s.addresses.take(); err != nil {
			return nil, err
		}
	}
	var err error
	if h.peer, err = newProxy("", h.settings.PeerAddress); err != nil {
		return nil, err
	}
	h.settings.AdvertisedAddress = h.peer.address()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	if h.link, err = newProxy("", listener.Addr().String()); err != nil {
		return nil, err
	}
	h.settings.BackendAddress = h.link.address()
	h.settingsPath = filepath.Join(s.options.Directory, name+".json")
	if err := writeJSON(h.settingsPath, h.settings); err != nil {
		return nil, err
	}
	h.process = newProcess(s.options, name, "mesh", "--settings", h.settingsPath)
	if err := h.start(); err != nil {
		return nil, err
	}
	go h.accept(listener)
	h.replace()
	return h, nil
}

// accept serves connections with the backend server of the moment.
func (h *host) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go h.current().serve(c)
	}
}

func (h *host) current() *server {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.server
}

// replace starts a new backend server at the host's address.
func (h *host) replace() {
	h.soak.mutex.Lock()
	h.soak.next++
	id := fmt.Sprintf("i-%d", h.soak.next)
	h.soak.mutex.Unlock()
	v := &server{host: h, id: id, born: time.Now().UnixMilli(), state: kqserver.Ready, stop: make(chan struct{}), slots: make(chan struct{}, serverSlots)}
	h.mutex.Lock()
	former := h.server
	h.server = v
	h.mutex.Unlock()
	if former != nil {
		former.end()
	}
	go v.beat()
}

func (h *host) end() {
	h.kill()
	h.peer.close()
	h.link.close()
	h.current().end()
}

// server is one start of a backend server.
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
	// closedFrom is when it may get no more requests, or zero.
	closedFrom time.Time
	// trouble is what it does to its answers.
	trouble serverTrouble
}

// serverTrouble is the share of answers that a backend server spoils, by how.
type serverTrouble struct {
	lose, twice, breakOff float64
	slow                  time.Duration
}

func (v *server) end() {
	v.once.Do(func() { close(v.stop) })
}

// beat tells the node of the server until it ends.
func (v *server) beat() {
	for {
		v.tell()
		select {
		case <-v.stop:
			return
		case <-time.After(heartbeatTime):
		}
	}
}

// tell sends one notice; the server is bound by it once it is acknowledged.
func (v *server) tell() {
	v.mutex.Lock()
	v.sequence++
	n := kqmesh.NativeNotice{
		ServerID: v.id, Service: v.host.settings.Service, Address: v.host.settings.BackendAddress, Slots: serverSlots,
		State: v.state, Sequence: v.sequence, Born: v.born,
	}
	v.mutex.Unlock()
	data, err := json.Marshal(n)
	if err != nil {
		v.host.soak.note("notice of %s can't be written: %v", v.id, err)
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
		if v.closedFrom.IsZero() {
			v.closedFrom = time.Now().Add(drainTime + drainSlack)
		}
		v.mutex.Unlock()
	}
}

// become changes what the server says of itself.
func (v *server) become(s kqserver.State) {
	v.mutex.Lock()
	v.state = s
	v.mutex.Unlock()
	v.tell()
}

func (v *server) set(t serverTrouble) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.trouble = t
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

// run runs one request and says whether the connection goes on.
func (v *server) run(c net.Conn, q *fasthttp.Request, id string) bool {
	repeat := v.host.soak.ledger.arrived(id, v.host.settings.Service)
	select {
	case v.slots <- struct{}{}:
	default:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Full\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", kqwire.HeaderRequestID, id, kqwire.HeaderShed)
		return true
	}
	defer func() { <-v.slots }()
	v.mutex.Lock()
	late, t := !v.closedFrom.IsZero() && time.Now().After(v.closedFrom), v.trouble
	v.mutex.Unlock()
	if late {
		v.host.soak.ledger.broke("%s reached %s of %s after it had drained", id, v.id, v.host.name)
	}
	v.host.soak.ledger.ran(id, v.id)
	time.Sleep(serviceTime(id) + t.slow)
	body := bodyOf(id, q)
	if v.host.settings.Service == services[0] && !v.onward(q, repeat) {
		body = "onward call failed"
		_, err := fmt.Fprintf(c, "HTTP/1.1 500 Error\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", kqwire.HeaderRequestID, id, len(body), body)
		return err == nil
	}
	return v.answer(c, id, body, t)
}

// answer writes the answer, spoilt if the server's trouble says so.
func (v *server) answer(c net.Conn, id, body string, t serverTrouble) bool {
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", kqwire.HeaderRequestID, id, len(body), body)
	switch draw := share(id); {
	case draw < t.lose:
		return false
	case draw < t.lose+t.breakOff:
		_, _ = io.WriteString(c, text[:len(text)-len(body)/2-1])
		return false
	case draw < t.lose+t.breakOff+t.twice:
		text += fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 5\r\n\r\nextra", kqwire.HeaderRequestID, id+"-twice")
	}
	_, err := io.WriteString(c, text)
	return err == nil
}

// onward makes the server's own call, which expires with the request.
func (v *server) onward(q *fasthttp.Request, repeat bool) bool {
	if string(q.Header.Peek(headerOnward)) == "" {
		return true
	}
	left := string(q.Header.Peek(kqwire.HeaderBudget))
	id := v.host.soak.ledger.newID("onward")
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	a := v.host.send(ctx, call{id: id, path: v.host.soak.newestPath(services[1]), service: services[1], left: left, inherited: repeat})
	return a.status == fasthttp.StatusOK
}

// poolFor keeps the connections of one host's callers.
func (h *host) poolFor() *kqhttp.Pool {
	return kqhttp.NewPool(h.settings.CallerAddress)
}
