package kqsoak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqroutes"
	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqmesh"
	"kumquatlink/io/kqsettings"
	"kumquatlink/io/kqwire"
)

// The crowd of callers and the bounds of the nodes that serve it.
const (
	// crowdMachine is the memory of the nodes' machines in the settings, in MiB, and
	// calmMachine that of the smallest hosts.
	crowdMachine = 128
	calmMachine  = 284
	crowdCallers = 60
	// smallCallers is the size of the crowd that asks for answers of smallBytes.
	smallCallers = 320
	smallBytes   = 60 << 10
	// crowdServers is the number of nodes beside servers, and crowdSlots that of the
	// requests that each server runs at once.
	crowdServers = 3
	crowdSlots   = 2
	// crowdBytes is the size of an answer to the crowd, and calmBytes that of the
	// largest body that a caller inside the limits of the routes sends or gets.
	crowdBytes = 8 << 20
	calmBytes  = 64 << 20
	// otherDescriptors bounds the open descriptors of a node beside the connections of
	// callers.
	otherDescriptors = 68
	// sipBytes is what a slow caller reads at once, after each sipPause.
	sipBytes = 512
	sipPause = 250 * time.Millisecond
	// crowdWindow is the size in bytes of the receive buffers of the crowd.
	crowdWindow = 16 << 10
	// crowdTries is how often a caller sends its requests, with crowdPause after a
	// refusal.
	crowdTries   = 40
	crowdPause   = 100 * time.Millisecond
	crowdTimeout = 90 * time.Second
	crowdService = "files"
)

// crowdKind is a kind of answers and of callers that read them slowly.
type crowdKind struct {
	name string
	// framing is that of the answers: their path on the server.
	framing string
	callers int
	// pipelined is the number of requests that a caller sends at once, and bytes the
	// size of each answer.
	pipelined, bytes int
	// halfClosed reports whether callers end their stream after the request.
	halfClosed bool
}

var crowdKinds = []crowdKind{
	{"Length", "length", crowdCallers, 1, crowdBytes, false},
	{"Chunks", "chunks", crowdCallers, 1, crowdBytes, false},
	{"UntilClose", "close", crowdCallers, 1, crowdBytes, false},
	{"Pipelined", "length", crowdCallers, 6, crowdBytes / 4, false},
	{"HalfClosed", "length", crowdCallers, 1, crowdBytes, true},
	{"Small", "length", smallCallers, 16, smallBytes, false},
}

// crowdFleet is a store, a node for callers and nodes beside servers of long answers.
type crowdFleet struct {
	t         *testing.T
	options   Options
	addresses *addressAllocator
	store     *storeProcess
	entry     kqsettings.Mesh
	nodes     []*process
	server    *longAnswers
}

// startCrowdFleet starts the fleet on machines of that many MiB and waits until it serves.
func startCrowdFleet(t *testing.T, machine int) *crowdFleet {
	t.Helper()
	program := filepath.Join(t.TempDir(), "kumquatlink")
	if text, err := exec.Command("go", "build", "-o", program, "kumquatlink/cmd/kumquatlink").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, text)
	}
	f := &crowdFleet{t: t, options: Options{Program: program, Directory: t.TempDir()}, addresses: newAddressAllocator()}
	t.Cleanup(f.addresses.close)
	var err error
	if f.store, err = startStore(f.options, f.addresses, func(error) {}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.store.close)
	f.writeRoutes()
	f.server = newLongAnswers(t)
	f.entry = f.startNode("front-1", "front", "127.0.0.1:1", machine)
	for i := range crowdServers {
		f.server.report(t, f.startNode(fmt.Sprintf("files-%d", i+1), crowdService, f.server.listener.Addr().String(), machine))
	}
	f.expectOrdinaryAnswer("at the start")
	return f
}

// writeRoutes writes a route to the server of long answers.
func (f *crowdFleet) writeRoutes() {
	f.t.Helper()
	value, err := json.Marshal(kqroutes.Document{
		Version: 1, Services: []kqroutes.Service{{Name: crowdService, HealthPath: healthPath}},
		Limits: kqroutes.Limits{BodyBytes: calmBytes},
		Routes: []kqroutes.Route{{
			Name: "files", Host: hostName, Prefix: "/files/", MaxAttempts: 2, Rank: 1,
			Parts: []kqroutes.Part{{Service: crowdService, Weight: 1}}, Timeout: kqclass.Duration(crowdTimeout),
		}},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	s := &soak{store: f.store}
	if err := s.writeRoutes(context.Background(), value); err != nil {
		f.t.Fatal(err)
	}
}

// startNode starts a node on a machine of that many MiB and returns its settings.
func (f *crowdFleet) startNode(name, service, backend string, machine int) kqsettings.Mesh {
	f.t.Helper()
	m := kqsettings.Mesh{
		NodeID: name, Region: "south", FailureDomain: "south-1", Service: service, BackendAddress: backend, StoreAddress: f.store.address,
		MemoryMegabytes: machine, FirstStart: true,
	}
	for _, address := range []*string{&m.CallerAddress, &m.NoticeAddress, &m.ReadyAddress, &m.PeerAddress} {
		var err error
		if *address, err = f.addresses.allocate(); err != nil {
			f.t.Fatal(err)
		}
	}
	path := filepath.Join(f.options.Directory, name+".json")
	if err := writeJSON(path, m); err != nil {
		f.t.Fatal(err)
	}
	p := newProcess(f.options, name, "mesh", "--settings", path)
	if err := p.start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { p.kill() })
	f.nodes = append(f.nodes, p)
	return m
}

// longAnswers stands for all backend servers: it sends answers as fast as they are read.
type longAnswers struct {
	listener net.Listener
	// running is the number of requests whose answer has not been sent whole.
	running atomic.Int64
}

func newLongAnswers(t *testing.T) *longAnswers {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	v := &longAnswers{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go v.serve(c)
		}
	}()
	return v
}

// report tells the node of the server, until the node has acknowledged it, and then
// repeatedly until the test ends.
func (v *longAnswers) report(t *testing.T, m kqsettings.Mesh) {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for i := int64(1); ; i++ {
			data, err := json.Marshal(kqmesh.NativeNotice{
				ServerID: "i-" + m.NodeID, Service: m.Service, Address: m.BackendAddress, Slots: crowdSlots, State: kqserver.Ready, Sequence: i, Born: 1,
			})
			if err != nil {
				return
			}
			request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			request.Header.SetMethod(fasthttp.MethodPut)
			request.SetRequestURI("http://" + m.NoticeAddress + kqmesh.NativeNoticePath)
			request.SetBody(data)
			_ = fasthttp.DoTimeout(request, response, noticeTimeout)
			select {
			case <-stop:
				return
			case <-time.After(noticePeriod):
			}
		}
	}()
}

// serve answers the requests of one connection.
func (v *longAnswers) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReaderSize(c, 64<<10)
	for {
		q := &fasthttp.Request{}
		if q.Read(r) != nil {
			return
		}
		v.running.Add(1)
		isOpen := answerLong(c, q)
		v.running.Add(-1)
		if !isOpen {
			return
		}
	}
}

// answerLong answers a request with the body that its path names, /files/FRAMING/BYTES,
// and reports whether the connection stays open.
func answerLong(c net.Conn, q *fasthttp.Request) bool {
	framing, size := "length", 0
	if parts := strings.Split(string(q.Header.RequestURI()), "/"); len(parts) == 4 {
		framing = parts[2]
		size, _ = strconv.Atoi(parts[3])
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", kqwire.HeaderRequestID, q.Header.Peek(kqwire.HeaderRequestID), kqmesh.HeaderServerID, q.Header.Peek(kqmesh.HeaderExpectServer))
	piece := make([]byte, 64<<10)
	write := func(text string) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
	switch framing {
	case "chunks":
		if !write(head + "Transfer-Encoding: chunked\r\n\r\n") {
			return false
		}
	case "close":
		if !write(head + "Connection: close\r\n\r\n") {
			return false
		}
	default:
		if !write(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, size)) {
			return false
		}
	}
	for left := size; left > 0; left -= min(left, len(piece)) {
		part := string(piece[:min(left, len(piece))])
		if framing == "chunks" {
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		if !write(part) {
			return false
		}
	}
	if framing == "chunks" {
		return write("0\r\n\r\n")
	}
	return framing != "close"
}

// request sends a request and returns the status and the size of its answer.
func (f *crowdFleet) request(method, path string, body io.Reader, length int) (status, size int, err error) {
	c, err := net.Dial("tcp", f.entry.CallerAddress)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(crowdTimeout)); err != nil {
		return 0, 0, err
	}
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: ordinary\r\nContent-Length: %d\r\n\r\n", method, path, hostName, kqwire.HeaderRequestID, length); err != nil {
		return 0, 0, err
	}
	if body != nil {
		// An early answer may end the upload.
		_, _ = io.CopyN(c, body, int64(length))
	}
	response := &fasthttp.Response{StreamBody: true}
	if err := response.Read(bufio.NewReader(c)); err != nil {
		return 0, 0, err
	}
	read, err := io.Copy(io.Discard, response.BodyStream())
	return response.StatusCode(), int(read), err
}

// expectOrdinaryAnswer sends an ordinary request, again after a refusal, until it is
// answered.
func (f *crowdFleet) expectOrdinaryAnswer(when string) {
	f.t.Helper()
	const size = 1000
	status, got, err := 0, 0, error(nil)
	for until := time.Now().Add(crowdTimeout); time.Now().Before(until); sleep(context.Background(), 100*time.Millisecond) {
		if status, got, err = f.request("GET", fmt.Sprintf("/files/length/%d", size), nil, 0); err == nil && status == 200 && got == size {
			return
		}
	}
	f.t.Fatalf("ordinary request %s: got status %d, %d bytes and error %v, want 200 and %d bytes", when, status, got, err, size)
}

// runCrowdCaller sends its requests, again after a refusal, until an answer begins or the
// connection ends. Then it reads slowly until the test is over, or not at all.
func (f *crowdFleet) runCrowdCaller(k crowdKind, number int, over <-chan struct{}) {
	for range crowdTries {
		c, err := net.Dial("tcp", f.entry.CallerAddress)
		if err != nil {
			return
		}
		go func() {
			<-over
			_ = c.Close()
		}()
		begin := make([]byte, len("HTTP/1.1 503"))
		if err := k.send(c.(*net.TCPConn), number); err != nil {
			return
		}
		if _, err := io.ReadFull(c, begin); err != nil {
			return
		}
		if !strings.HasSuffix(string(begin), " 503") {
			if number%2 == 1 {
				go sip(c)
			}
			return
		}
		_ = c.Close()
		sleep(context.Background(), crowdPause)
	}
}

// send sends the requests of a caller.
func (k crowdKind) send(c *net.TCPConn, number int) error {
	// Over a network the kernels hold no large part of an answer.
	if err := c.SetReadBuffer(crowdWindow); err != nil {
		return err
	}
	var text strings.Builder
	for i := range k.pipelined {
		fmt.Fprintf(&text, "GET /files/%s/%d HTTP/1.1\r\nHost: %s\r\n%s: crowd-%d-%d\r\n\r\n", k.framing, k.bytes, hostName, kqwire.HeaderRequestID, number, i)
	}
	if _, err := io.WriteString(c, text.String()); err != nil {
		return err
	}
	if k.halfClosed {
		return c.CloseWrite()
	}
	return nil
}

// sip reads an answer slowly.
func sip(c net.Conn) {
	piece := make([]byte, sipBytes)
	for _, err := c.Read(piece); err == nil; _, err = c.Read(piece) {
		sleep(context.Background(), sipPause)
	}
}

// TestSlowReadersOfLongAnswers has a crowd of callers request long answers and read them
// slowly or not at all. Each node must live and stay within the memory of its machine and
// a bound on descriptors, and an ordinary request must be answered afterwards.
func TestSlowReadersOfLongAnswers(t *testing.T) {
	for _, k := range crowdKinds {
		t.Run(k.name, func(t *testing.T) {
			f := startCrowdFleet(t, crowdMachine)
			over := make(chan struct{})
			t.Cleanup(sync.OnceFunc(func() { close(over) }))
			var begun sync.WaitGroup
			for i := range k.callers {
				begun.Go(func() { f.runCrowdCaller(k, i, over) })
			}
			begun.Wait()
			for until := time.Now().Add(crowdTimeout); f.server.running.Load() > 0 && time.Now().Before(until); {
				sleep(context.Background(), 10*time.Millisecond)
			}
			f.checkNodes(crowdMachine, k.callers)
			f.expectOrdinaryAnswer("after the crowd")
			f.checkNodes(crowdMachine, k.callers)
		})
	}
}

// TestLargestBodiesAreServedInCalm sends one request with the largest body that the routes
// allow, and one for an answer of that size in each framing.
func TestLargestBodiesAreServedInCalm(t *testing.T) {
	f := startCrowdFleet(t, calmMachine)
	for _, c := range []struct {
		name, method, path string
		length, want       int
	}{
		{"upload", "POST", "/files/length/1000", calmBytes, 1000},
		{"answer with a length", "GET", fmt.Sprintf("/files/length/%d", calmBytes), 0, calmBytes},
		{"answer in chunks", "GET", fmt.Sprintf("/files/chunks/%d", calmBytes), 0, calmBytes},
		{"answer until the connection ends", "GET", fmt.Sprintf("/files/close/%d", calmBytes), 0, calmBytes},
	} {
		var body io.Reader
		if c.length > 0 {
			body = zeros{}
		}
		status, size, err := f.request(c.method, c.path, body, c.length)
		if err != nil || status != 200 || size != c.want {
			t.Errorf("%s: got status %d, %d bytes and error %v, want 200 and %d bytes", c.name, status, size, err, c.want)
		}
	}
	f.checkNodes(calmMachine, 1)
}

// zeros is an endless reader.
type zeros struct{}

// Read fills p with zeros.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// checkNodes checks that all nodes live, and their peak of memory and their descriptors
// with that many callers.
func (f *crowdFleet) checkNodes(machine, callers int) {
	f.t.Helper()
	for _, p := range f.nodes {
		if !p.signal(syscall.Signal(0)) {
			text, _ := os.ReadFile(p.logPath)
			f.t.Errorf("%s has ended; its log ends with\n%s", p.logPath, text[max(0, len(text)-2000):])
			continue
		}
		directory := filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid))
		peak, err := peakResident(directory)
		if err != nil {
			f.t.Fatal(err)
		}
		descriptors, err := os.ReadDir(filepath.Join(directory, "fd"))
		if err != nil {
			f.t.Fatal(err)
		}
		name := strings.TrimSuffix(filepath.Base(p.logPath), ".log")
		f.t.Logf("%s: peak %d MiB resident, %d descriptors", name, peak>>20, len(descriptors))
		if peak > machine<<20 {
			f.t.Errorf("memory of %s: got a peak of %d MiB, want at most %d", name, peak>>20, machine)
		}
		if got := len(descriptors); got > callers+otherDescriptors {
			f.t.Errorf("descriptors of %s: got %d, want at most %d", name, got, callers+otherDescriptors)
		}
	}
}

// peakResident returns the most memory in bytes that a process has had resident.
func peakResident(directory string) (int, error) {
	text, err := os.ReadFile(filepath.Join(directory, "status"))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	var kilobytes int
	_, err = fmt.Sscan(rest, &kilobytes)
	return kilobytes << 10, err
}
