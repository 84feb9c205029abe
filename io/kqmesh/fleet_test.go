package kqmesh_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqroutes"
	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqmesh"
	"kumquatlink/io/kqobject"
	"kumquatlink/io/kqstore"
)

// testTimeout bounds each wait, so that a test that hangs ends.
const testTimeout = time.Minute

// maxReservations bounds how often addresses are reserved again after another
// program took one.
const maxReservations = 5

// The kind and name of the object that holds the routes of a test fleet.
const (
	routesKind = "kumquatlink.dev/v1/routes"
	routesName = "main"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// backend is a backend server whose answers a test sets.
type backend struct {
	t        *testing.T
	id       string
	listener net.Listener
	mutex    sync.Mutex
	// runs counts how often a request was begun, by ID.
	runs map[string]int
	// headers holds the headers of the last request.
	headers map[string]string
	// answer writes the answer to a request; if it is nil, the backend echoes
	// the request.
	answer func(c net.Conn, r *fasthttp.Request)
	// answerEarly answers a request whose body has not been read, and ends the
	// connection; if it is nil, the body is read first.
	answerEarly func(c net.Conn, r *fasthttp.Request)
	// health is the status of the answers to health probes, and leaves reports whether
	// they say that the server leaves.
	health atomic.Int64
	leaves atomic.Bool
	// begun gets the ID of each request that begins, and callersGone that of
	// each whose connection was closed while holdAnswers held its answer.
	begun       chan string
	callersGone chan string
}

func newBackend(t *testing.T, id string) *backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &backend{t: t, id: id, listener: l, runs: map[string]int{}, begun: make(chan string, 256), callersGone: make(chan string, 256)}
	b.health.Store(fasthttp.StatusOK)
	t.Cleanup(func() { _ = l.Close() })
	go b.accept(l)
	return b
}

func (b *backend) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

func (b *backend) address() string { return b.listener.Addr().String() }

func (b *backend) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q := &fasthttp.Request{}
		if err := q.Header.Read(r); err != nil {
			return
		}
		b.mutex.Lock()
		answerEarly := b.answerEarly
		b.mutex.Unlock()
		if answerEarly != nil {
			answerEarly(c, q)
			return
		}
		if err := q.ContinueReadBody(r, 0); err != nil {
			return
		}
		if string(q.Header.RequestURI()) == "/health" {
			leaving := ""
			if b.leaves.Load() {
				leaving = "Kumquatlink-Leaving: 1\r\n"
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %d Health\r\nKumquatlink-Server-Id: %s\r\n%sContent-Length: 0\r\n\r\n", b.health.Load(), b.id, leaving)
			continue
		}
		id := string(q.Header.Peek("Kumquatlink-Request-Id"))
		if expect := string(q.Header.Peek("Kumquatlink-Expect-Server")); expect != b.id {
			_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nKumquatlink-Request-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		b.mutex.Lock()
		b.runs[id]++
		b.headers = map[string]string{}
		for k, v := range q.Header.All() {
			b.headers[string(k)] = string(v)
		}
		answer := b.answer
		b.mutex.Unlock()
		select {
		case b.begun <- id:
		default:
			// The buffer is full: no test reads that many.
		}
		if answer == nil {
			echo(c, q)
			continue
		}
		answer(c, q)
	}
}

// echo answers a request with its method, path and body.
func echo(c net.Conn, q *fasthttp.Request) {
	body := fmt.Sprintf("%s %s %s", q.Header.Method(), q.Header.RequestURI(), q.Body())
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nKumquatlink-Request-Id: %s\r\nX-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", q.Header.Peek("Kumquatlink-Request-Id"), len(body), body)
}

// holdAnswers holds the answer to each request until the channel is closed, or
// reports on callersGone that the connection was closed before.
func (b *backend) holdAnswers(release chan struct{}) {
	b.setAnswer(func(c net.Conn, q *fasthttp.Request) {
		closed := make(chan struct{})
		go func() {
			var one [1]byte
			if _, err := c.Read(one[:]); err != nil {
				close(closed)
			}
		}()
		select {
		case <-release:
			echo(c, q)
		case <-closed:
			b.callersGone <- string(q.Header.Peek("Kumquatlink-Request-Id"))
		}
	})
}

// setAnswer sets the function that answers requests; nil echoes them.
func (b *backend) setAnswer(f func(c net.Conn, q *fasthttp.Request)) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.answer = f
}

// setEarlyAnswer sets the function that answers requests before their body has been
// read; nil reads it first.
func (b *backend) setEarlyAnswer(f func(c net.Conn, q *fasthttp.Request)) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.answerEarly = f
}

// runCount returns how often the request was begun.
func (b *backend) runCount(id string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.runs[id]
}

// header returns a header of the last request.
func (b *backend) header(name string) string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.headers[name]
}

// host is a node and the backend server beside it.
type host struct {
	*backend
	node *kqmesh.Node
	// latest is node, for goroutines other than the test's own.
	latest   atomic.Pointer[kqmesh.Node]
	settings kqmesh.Settings
	store    *kqstore.Client
	// sequence is the number of the last notice.
	sequence int64
}

// fleet is a store and the hosts that use it.
type fleet struct {
	t     *testing.T
	store *kqobject.Store
	hosts map[string]*host
	log   *lockedBuffer
	// dialect is the dialect of the hosts.
	dialect kqmesh.Dialect
	// wrap wraps the store client of each host that is added, or is nil.
	wrap func(name string, c *kqstore.Client) *kqstore.Client
}

// lockedBuffer collects the log lines of all nodes.
type lockedBuffer struct {
	mutex sync.Mutex
	bytes.Buffer
}

// Write appends p.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.Buffer.Write(p)
}

// logged returns what the nodes have logged so far.
func (f *fleet) logged() string {
	f.log.mutex.Lock()
	defer f.log.mutex.Unlock()
	return f.log.String()
}

// logCount returns how often a text has been logged.
func (f *fleet) logCount(text string) int { return strings.Count(f.logged(), text) }

// awaitLogged waits until a text has been logged.
func (f *fleet) awaitLogged(text string) {
	f.t.Helper()
	f.awaitLines(1, text)
}

// awaitLines waits until at least that many lines of the log contain the text.
func (f *fleet) awaitLines(want int, text string) {
	f.t.Helper()
	pause := time.NewTicker(10 * time.Millisecond)
	defer pause.Stop()
	for begun := time.Now(); ; <-pause.C {
		got := f.logCount(text)
		if got >= want {
			return
		}
		if time.Since(begun) > testTimeout {
			f.t.Fatalf("log: got %d lines with %q within the test timeout, want %d", got, text, want)
		}
	}
}

// newFleet starts a store and returns a fleet without hosts.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, store: kqobject.New(), hosts: map[string]*host{}, log: &lockedBuffer{}, dialect: kqmesh.NativeDialect()}
	if err := f.store.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.store.Close() })
	return f
}

// reset closes a TCP connection without ending its stream.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// address returns a TCP address that was free a moment ago.
func address(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// add starts a host whose backend server has not sent a notice yet.
func (f *fleet) add(name, service string) *host {
	f.t.Helper()
	return f.addIn("south", name, service)
}

// addIn does the same in a given region.
func (f *fleet) addIn(region, name, service string) *host {
	f.t.Helper()
	h := &host{backend: newBackend(f.t, "i-"+name), store: kqstore.NewHTTP(f.store.Address())}
	if f.wrap != nil {
		h.store = f.wrap(name, h.store)
	}
	f.startOnFreeAddresses(h, func() { h.settings = f.settingsOf(h, region, name, service) })
	f.hosts[name] = h
	return h
}

// startOnFreeAddresses starts a host at the addresses that reserve puts into its
// settings. It reserves again if another program took an address between its
// reservation and its use.
func (f *fleet) startOnFreeAddresses(h *host, reserve func()) {
	f.t.Helper()
	for tries := 0; ; tries++ {
		reserve()
		err := f.tryStart(h)
		if err == nil {
			return
		}
		if tries == maxReservations || !errors.Is(err, syscall.EADDRINUSE) {
			f.t.Fatal(err)
		}
	}
}

// settingsOf returns a node's settings, with addresses that were free a moment
// ago.
func (f *fleet) settingsOf(h *host, region, name, service string) kqmesh.Settings {
	f.t.Helper()
	return kqmesh.Settings{
		NodeID: name, Region: region, FailureDomain: region + "-a", Service: service, BackendAddress: h.address(),
		CallerAddress: address(f.t), NoticeAddress: address(f.t), ReadyAddress: address(f.t), PeerAddress: "127.0.0.1:0",
		RoutesKind: routesKind, RoutesName: routesName, FirstStart: true,
		Tunables: kqmesh.Tunables{
			RepeatRatio: 0.2, RepeatWindow: kqclass.Duration(10 * time.Second), RepeatSlack: 400,
			ShutdownTime: kqclass.Duration(testTimeout), DrainTime: kqclass.Duration(2 * time.Second),
		},
	}
}

// startElsewhere starts the node of a host at new addresses, since other programs may
// have taken the former ones while the node was stopped.
func (f *fleet) startElsewhere(h *host) {
	f.t.Helper()
	f.startOnFreeAddresses(h, func() {
		h.settings.CallerAddress, h.settings.NoticeAddress, h.settings.ReadyAddress = address(f.t), address(f.t), address(f.t)
	})
}

// start starts the node of a host and fails the test on an error.
func (f *fleet) start(h *host) {
	f.t.Helper()
	if err := f.tryStart(h); err != nil {
		f.t.Fatal(err)
	}
}

// tryStart starts the node of a host.
func (f *fleet) tryStart(h *host) error {
	f.t.Helper()
	log := kqlog.New(f.log, kqlog.WithNode(h.settings.NodeID, h.settings.FailureDomain))
	n, err := kqmesh.New(h.settings, f.dialect, h.store, kqmesh.WithLog(log))
	if err != nil {
		log.Close()
		return err
	}
	if err := n.Start(); err != nil {
		n.Stop()
		log.Close()
		return err
	}
	h.node = n
	h.latest.Store(n)
	f.t.Cleanup(func() {
		h.node.Stop()
		log.Close()
	})
	return nil
}

// reportState sends the node the next notice of its backend server, with the
// given state, and returns the verdict on it.
func (h *host) reportState(state kqserver.State) kqserver.Verdict {
	h.sequence++
	return h.node.ApplyNotice(kqserver.Notice{
		ServerID: h.id, Service: h.settings.Service, Address: h.address(), Slots: 4, State: state, Sequence: h.sequence, Born: 1,
	})
}

// route returns a route for a path prefix. If runOnce is set, its requests must
// not run twice.
func route(prefix, service string, runOnce bool) kqroutes.Route {
	return kqroutes.Route{
		Name: strings.Trim(prefix, "/"), Host: "shop", Prefix: prefix, RunOnce: runOnce, MaxAttempts: 2,
		Parts: []kqroutes.Part{{Service: service, Weight: 1}}, Timeout: kqclass.Duration(testTimeout), Rank: 2,
	}
}

// writeRoutes writes routes to the store, with a service entry for each service
// that they name.
func (f *fleet) writeRoutes(version int64, routes ...kqroutes.Route) {
	f.t.Helper()
	d := kqroutes.Document{Version: version, Routes: routes}
	services := map[string]bool{}
	for _, r := range routes {
		for _, p := range r.Parts {
			if !services[p.Service] {
				d.Services = append(d.Services, kqroutes.Service{Name: p.Service, HealthPath: "/health"})
			}
			services[p.Service] = true
		}
	}
	value, err := json.Marshal(d)
	if err != nil {
		f.t.Fatal(err)
	}
	f.putRoutes(value)
}

// startServing writes the first routes, reports both backend servers as ready,
// and waits until every node has the routes and both hosts.
func (f *fleet) startServing(first, second *host, routes ...kqroutes.Route) {
	f.t.Helper()
	f.writeRoutes(1, routes...)
	first.reportState(kqserver.Ready)
	second.reportState(kqserver.Ready)
	f.awaitConvergence(1, 2)
}

// serveAll reports all backend servers as ready, and waits until every node has
// the first routes and all hosts.
func (f *fleet) serveAll(hosts ...*host) {
	f.t.Helper()
	for _, h := range hosts {
		h.reportState(kqserver.Ready)
	}
	f.awaitConvergence(1, len(hosts))
}

// putRoutes writes an encoded document of routes to the store.
func (f *fleet) putRoutes(value []byte) {
	f.t.Helper()
	client := kqstore.NewHTTP(f.store.Address())
	o := kqstore.Object{Name: routesName, Value: value}
	if current, err := client.Get(context.Background(), routesKind, routesName); err == nil {
		o.Version = current.Version
	}
	if _, err := client.Put(context.Background(), routesKind, o); err != nil {
		f.t.Fatal(err)
	}
}

// awaitState waits until a node's state meets a condition.
func (f *fleet) awaitState(h *host, what string, condition func(*kqmesh.State) bool) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := h.node.WaitFor(ctx, condition); err != nil {
		f.t.Fatalf("node %s: waiting for %s failed: %v", h.settings.NodeID, what, err)
	}
}

// awaitConvergence waits until every node has the routes of that version and
// that many upstreams.
func (f *fleet) awaitConvergence(version int64, serving int) {
	f.t.Helper()
	for _, h := range f.hosts {
		f.awaitState(h, "routes and hosts", func(s *kqmesh.State) bool {
			upstreams := 0
			for _, t := range s.Upstreams {
				upstreams += len(t.Upstreams())
			}
			return s.Routes != nil && s.Routes.Document().Version == version && upstreams == serving
		})
	}
}

// result is the answer that a caller got.
type result struct {
	status     int
	body       string
	retryAfter string
}

// request sends one request to the node over a new connection.
func (h *host) request(method, path, id, body string) result {
	h.t.Helper()
	c, err := net.Dial("tcp", h.settings.CallerAddress)
	if err != nil {
		h.t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: shop\r\nKumquatlink-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", method, path, id, len(body), body)
	response := &fasthttp.Response{}
	if err := response.Read(bufio.NewReader(c)); err != nil {
		return result{body: "no answer"}
	}
	return result{response.StatusCode(), string(response.Body()), string(response.Header.Peek(fasthttp.HeaderRetryAfter))}
}

// compareGolden compares text with a golden file, or rewrites the file if the
// flag update is set.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := "testdata/" + name
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}

// ready returns the status that the ready address of the node answers with, or 0
// without an answer.
func (h *host) ready() int {
	status, _, err := fasthttp.Get(nil, "http://"+h.settings.ReadyAddress+"/kumquatlink/ready")
	if err != nil {
		return 0
	}
	return status
}

// requestIDs returns n request IDs that start with a prefix.
func requestIDs(prefix string, n int) []string {
	var list []string
	for i := range n {
		list = append(list, prefix+strconv.Itoa(i))
	}
	return list
}

// removeRecord deletes a node's record from the store.
func (f *fleet) removeRecord(name string) {
	f.t.Helper()
	client := kqstore.NewHTTP(f.store.Address())
	o, err := client.Get(context.Background(), kqstore.KindHosts, name)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := client.Delete(context.Background(), kqstore.KindHosts, o); err != nil {
		f.t.Fatal(err)
	}
}

// holdsRecord reports whether the store has a record of the node.
func (f *fleet) holdsRecord(name string) bool {
	_, err := kqstore.NewHTTP(f.store.Address()).Get(context.Background(), kqstore.KindHosts, name)
	return err == nil
}

// TestFailedStartClosesAllAddresses starts a node while another program listens
// on its caller address. A failed start that left the other addresses open would
// keep the next start, when the address is free, from using them.
func TestFailedStartClosesAllAddresses(t *testing.T) {
	f := newFleet(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &host{backend: newBackend(t, "i-orders-1"), store: kqstore.NewHTTP(f.store.Address())}
	h.settings = f.settingsOf(h, "south", "orders-1", "orders")
	h.settings.CallerAddress = taken.Addr().String()
	if err := f.tryStart(h); !errors.Is(err, syscall.EADDRINUSE) || !errors.Is(err, kqmesh.ErrNode) {
		t.Errorf("start on a taken address: got %v, want EADDRINUSE marked with ErrNode", err)
	}
	if err := taken.Close(); err != nil {
		t.Fatal(err)
	}
	if err := f.tryStart(h); err != nil {
		t.Errorf("start on the same addresses when they are free: got %v, want none", err)
	}
}
