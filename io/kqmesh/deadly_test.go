package kqmesh_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqroutes"
	"kumquatlink/core/kqserver"
	"kumquatlink/core/kqsuspect"
	"kumquatlink/io/kqmesh"
	"kumquatlink/io/kqstore"
)

// Times of crashes: how long the deadly request runs before its server ends, and how
// long that is away.
const (
	deadlyRunTime = 20 * time.Millisecond
	crashTime     = 300 * time.Millisecond
)

// mortal is a host whose server ends with all of its connections when it runs a
// request to the path /look/deadly, and starts again some time later.
type mortal struct {
	*host
	mutex   sync.Mutex
	open    map[net.Conn]bool
	born    int64
	crashes atomic.Int64
	// isBackAtOnce keeps the address open while the server starts again.
	isBackAtOnce bool
	// isDeadly reports whether a request crashes the server.
	isDeadly func(q *fasthttp.Request) bool
	// closePause is the time between the ends of two of its connections in a crash.
	closePause time.Duration
}

// newMortal makes the server of a host mortal.
func newMortal(h *host) *mortal {
	m := &mortal{host: h, open: map[net.Conn]bool{}, born: 1}
	m.isDeadly = func(q *fasthttp.Request) bool { return string(q.Header.RequestURI()) == "/look/deadly" }
	m.setAnswer(m.answer)
	return m
}

// addMortals adds hosts with such servers.
func (f *fleet) addMortals(count int) ([]*host, []*mortal) {
	f.t.Helper()
	var hosts []*host
	var servers []*mortal
	for i := range count {
		h := f.add(fmt.Sprintf("orders-%d", i+1), "orders")
		hosts, servers = append(hosts, h), append(servers, newMortal(h))
	}
	return hosts, servers
}

// register keeps a connection that a crash closes.
func (m *mortal) register(c net.Conn) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.open[c] = true
}

func (m *mortal) answer(c net.Conn, q *fasthttp.Request) {
	m.register(c)
	// A run takes a moment, so that others are lost with the deadly one.
	<-time.After(deadlyRunTime)
	if m.isDeadly(q) {
		m.crash()
		return
	}
	echo(c, q)
}

// crash closes the server's address and connections and opens the address later.
func (m *mortal) crash() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.listener == nil {
		return
	}
	m.crashes.Add(1)
	address := m.address()
	if !m.isBackAtOnce {
		_ = m.listener.Close()
		m.listener = nil
	}
	for c := range m.open {
		_ = c.Close()
		if m.closePause > 0 {
			<-time.After(m.closePause)
		}
	}
	m.open = map[net.Conn]bool{}
	if m.isBackAtOnce {
		time.AfterFunc(deadlyRunTime, func() { m.reportStart(address) })
		return
	}
	time.AfterFunc(crashTime, func() { m.restart(address) })
}

func (m *mortal) restart(address string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	l, err := net.Listen("tcp", address)
	if err != nil {
		m.t.Errorf("server starts again at %s: got %v, want the address free", address, err)
		return
	}
	m.listener = l
	m.t.Cleanup(func() { _ = l.Close() })
	go m.accept(l)
	m.reportNextStart(address)
}

// reportStart reports a start of the server to its node.
func (m *mortal) reportStart(address string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.reportNextStart(address)
}

// reportNextStart does the same. The mutex is held.
func (m *mortal) reportNextStart(address string) {
	m.born++
	m.latest.Load().ApplyNotice(kqserver.Notice{ServerID: m.id, Service: m.settings.Service, Address: address, Slots: 4, State: kqserver.Ready, Sequence: 1, Born: m.born})
}

// TestDeadlyRequestCrashesServerAfterServer sends a request that crashes the servers
// that run it, again and again and at all nodes, among requests that don't.
func TestDeadlyRequestCrashesServerAfterServer(t *testing.T) {
	f := newFleet(t)
	hosts, servers := f.addMortals(5)
	f.writeRoutes(1, route("/look/", "orders", false), route("/buy/", "orders", true))
	f.serveAll(hosts...)
	crashes := func() int64 {
		total := int64(0)
		for _, m := range servers {
			total += m.crashes.Load()
		}
		return total
	}
	var callers sync.WaitGroup
	var served, sent atomic.Int64
	stop := make(chan struct{})
	for c, h := range hosts {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				path := []string{"/look/popular", fmt.Sprintf("/look/%d-%d", c, i), fmt.Sprintf("/buy/%d-%d", c, i)}[i%3]
				id := fmt.Sprintf("other-%d-%d", c, i)
				got := h.request("GET", path, id, "")
				sent.Add(1)
				if got.status == 200 {
					served.Add(1)
				}
				if strings.Contains(got.body, "CrashesServers") {
					t.Errorf("request to %s: got %+v, want it not taken for the deadly one", path, got)
				}
			}
		}()
	}
	for i := 0; i <= kqsuspect.ConvictingCrashes+len(hosts) || sent.Load() < 300; i++ {
		got := hosts[i%len(hosts)].request("GET", "/look/deadly", fmt.Sprintf("deadly-%d", i), "")
		if got.status == 200 {
			t.Errorf("deadly request %d: got %+v, want a failure", i, got)
		}
		if i > kqsuspect.ConvictingCrashes && (got.status != 503 || got.retryAfter == "" || !strings.Contains(got.body, "CrashesServers")) {
			t.Errorf("deadly request %d: got %+v, want it refused as not run, with a time to come back", i, got)
		}
	}
	close(stop)
	callers.Wait()
	if got := crashes(); got > kqsuspect.ConvictingCrashes {
		t.Errorf("servers that crashed: got %d, want %d at most", got, kqsuspect.ConvictingCrashes)
	}
	t.Logf("%d of %d other requests served", served.Load(), sent.Load())
	// What must not repeat is lost with a server, and each crash loses a few of them.
	if lost, want := sent.Load()-served.Load(), 3*crashes()*4; lost > want {
		t.Errorf("other requests not served: got %d, want %d at most", lost, want)
	}
}

// TestAnswersToOthersKeepADeadlyRequestFromConviction guards against a request that goes
// on to crash servers since answers to other callers, who ask for the same, clear it. The
// callers are told apart in one way at a time.
func TestAnswersToOthersKeepADeadlyRequestFromConviction(t *testing.T) {
	for name, c := range map[string]struct {
		// field is the header field of servers that tells callers apart, and value what
		// it says of the deadly one.
		field, value string
		// deadly and other are the fields of the callers' requests.
		deadly, other string
		// sameEntry is set if both callers use one node.
		sameEntry bool
	}{
		"team":        {kqmesh.HeaderTeam, "north", kqmesh.HeaderTeamKey + ": north", kqmesh.HeaderTeamKey + ": south", true},
		"service":     {kqmesh.HeaderCallerService, "voices", kqmesh.HeaderTeamKey + ": north", kqmesh.HeaderTeamKey + ": north", false},
		"credentials": {fasthttp.HeaderAuthorization, "a", kqmesh.HeaderTeamKey + ": north\r\nAuthorization: a", kqmesh.HeaderTeamKey + ": north\r\nAuthorization: b", true},
		"own field":   {"X-User", "a", kqmesh.HeaderTeamKey + ": north\r\nX-User: a", kqmesh.HeaderTeamKey + ": north\r\nX-User: b", true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			hosts, servers := f.addMortals(3)
			deadlyEntry, otherEntry := f.add("voices-1", "voices"), f.add("packs-1", "packs")
			if c.sameEntry {
				otherEntry = deadlyEntry
			}
			for _, m := range servers {
				m.isDeadly = func(q *fasthttp.Request) bool { return string(q.Header.Peek(c.field)) == c.value }
			}
			teams := []kqroutes.Team{{Name: "north", Keys: []string{"north"}}, {Name: "south", Keys: []string{"south"}}}
			f.writeTeams(1, teams, route("/look/", "orders", false))
			f.serveAll(append(hosts, deadlyEntry, f.hosts["packs-1"])...)
			stop := make(chan struct{})
			var calling sync.WaitGroup
			calling.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
					}
					if got := otherEntry.requestWithHeaders("/look/list", fmt.Sprint("other-", i), c.other); strings.Contains(got.body, "CrashesServers") {
						t.Errorf("request of the other caller: got %+v, want it not taken for the deadly one", got)
					}
				}
			})
			crashes := func() int64 {
				total := int64(0)
				for _, m := range servers {
					total += m.crashes.Load()
				}
				return total
			}
			pause := time.NewTicker(2 * deadlyRunTime)
			defer pause.Stop()
			refused := 0
			for i := 0; refused < 5; i++ {
				<-pause.C
				got := deadlyEntry.requestWithHeaders("/look/list", fmt.Sprint("deadly-", i), c.deadly)
				if strings.Contains(got.body, "CrashesServers") {
					refused++
				}
				if total := crashes(); total > kqsuspect.ConvictingCrashes {
					t.Errorf("servers that crashed: got %d, want %d at most", total, kqsuspect.ConvictingCrashes)
					break
				}
			}
			close(stop)
			calling.Wait()
		})
	}
}

// TestDeadlyRequestCrashesServersThatAreBackAtOnce sends the request to servers that take
// connections again before their gates can tell that they had ended, as under a
// supervisor that keeps the address open. Each such crash must count.
func TestDeadlyRequestCrashesServersThatAreBackAtOnce(t *testing.T) {
	f := newFleet(t)
	hosts, servers := f.addMortals(3)
	for _, m := range servers {
		m.isBackAtOnce = true
	}
	f.writeRoutes(1, route("/look/", "orders", false))
	f.serveAll(hosts...)
	for i := 0; !strings.Contains(f.logged(), "RequestConvicted"); i++ {
		if i > 20*kqsuspect.ConvictingCrashes {
			t.Fatalf("deadly requests until it was convicted: got none after %d, want a conviction after %d crashes", i, kqsuspect.ConvictingCrashes)
		}
		hosts[i%len(hosts)].request("GET", "/look/deadly", fmt.Sprintf("deadly-%d", i), "")
		// The server reports its new start.
		<-time.After(3 * deadlyRunTime)
	}
	crashes := int64(0)
	for _, m := range servers {
		crashes += m.crashes.Load()
	}
	// A second server may run a repeat of the last one before the first reports itself.
	if want := int64(kqsuspect.ConvictingCrashes + 1); crashes > want {
		t.Errorf("servers that crashed: got %d, want %d at most", crashes, want)
	}
	for i, h := range hosts {
		if got := h.request("GET", "/look/deadly", fmt.Sprintf("late-%d", i), ""); got.status != 503 || !strings.Contains(got.body, "CrashesServers") {
			t.Errorf("deadly request after its conviction: got %+v, want it refused", got)
		}
	}
}

// addSilentGate adds the record of a gate that takes connections but no work, and says
// nothing.
func (f *fleet) addSilentGate(name, service string) {
	f.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = l.Close() })
	value, err := json.Marshal(kqmesh.HostRecord{
		NodeID: name, Incarnation: 1, Change: 1, Address: l.Addr().String(), Region: "south", FailureDomain: "south-a",
		Service: service, ServerID: "i-" + name, ServerState: kqserver.Draining, Born: 1, Slots: 4, Life: kqmember.LifeDraining,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := kqstore.NewHTTP(f.store.Address()).Put(context.Background(), kqstore.KindHosts, kqstore.Object{Name: name, Value: value}); err != nil {
		f.t.Fatal(err)
	}
}

// TestCallLostInACrashIsRepeatedBeforeGatesKnow crashes a server whose connections end
// one after the other, while one of the other gates does not answer reports. No call
// that is lost with it may be answered before the time for the reports is over, since
// its repeat would meet gates that do not know of the crash.
func TestCallLostInACrashIsRepeatedBeforeGatesKnow(t *testing.T) {
	// Below the wait for the reports by what a busy machine may add to the crash time.
	const wantWait = 45 * time.Millisecond
	f := newFleet(t)
	hosts, servers := f.addMortals(1)
	servers[0].closePause = 10 * time.Millisecond
	hosts[0].setAnswer(func(c net.Conn, q *fasthttp.Request) {
		if string(q.Header.RequestURI()) != "/look/deadly" {
			servers[0].register(c)
			<-time.After(time.Second)
		}
		servers[0].answer(c, q)
	})
	f.addSilentGate("orders-silent", "orders")
	once := route("/look/", "orders", false)
	once.MaxAttempts = 1
	f.writeRoutes(1, once)
	f.serveAll(hosts...)
	f.awaitState(hosts[0], "the record of the silent gate", func(s *kqmesh.State) bool { return len(s.Hosts) == 2 })
	begun := time.Now()
	var callers sync.WaitGroup
	// The deadly request comes last, so that the others run by then.
	for i, path := range []string{"/look/1", "/look/2", "/look/3", "/look/deadly"} {
		callers.Go(func() {
			got := hosts[0].request("GET", path, fmt.Sprintf("lost-%d", i), "")
			if took := time.Since(begun); got.status != 200 && took < deadlyRunTime+wantWait {
				t.Errorf("request to %s, lost in the crash: got %+v after %s, want it after %s at least", path, got, took, deadlyRunTime+wantWait)
			}
		})
	}
	callers.Wait()
	if got := servers[0].crashes.Load(); got != 1 {
		t.Errorf("crashes: got %d, want 1", got)
	}
}

// TestRestartedNodeForgetsADeadlyRequest restarts a node again and again while the store
// does not hold the conviction. It must refuse the request each time, although most of
// the nodes that it may ask have been added since, and know nothing.
func TestRestartedNodeForgetsADeadlyRequest(t *testing.T) {
	f := newFleet(t)
	hosts, servers := f.addMortals(2)
	f.writeRoutes(1, route("/look/", "orders", false))
	f.serveAll(hosts...)
	for i := 0; !strings.Contains(f.logged(), "RequestConvicted"); i++ {
		hosts[0].request("GET", "/look/deadly", fmt.Sprintf("deadly-%d", i), "")
	}
	f.removeConvictions()
	// The new nodes can be asked, but take no work.
	for i := range 2 {
		f.add(fmt.Sprintf("orders-new-%d", i+1), "orders").reportState(kqserver.Draining)
	}
	for _, h := range hosts {
		f.awaitState(h, "the new nodes", func(s *kqmesh.State) bool { return len(s.Hosts) == 4 })
	}
	restarted, before := hosts[1], servers[1].crashes.Load()
	restarted.settings.FirstStart = false
	ticks := time.NewTicker(10 * time.Millisecond)
	defer ticks.Stop()
	for i := range 4 {
		restarted.node.Stop()
		f.startElsewhere(restarted)
		for begun := time.Now(); f.logCount("records of lost requests are known") <= i; <-ticks.C {
			if time.Since(begun) > testTimeout {
				t.Fatal("records after a restart: got none within the test timeout, want some")
			}
		}
		f.awaitState(restarted, "its routes", func(s *kqmesh.State) bool { return s.Routes != nil })
		restarted.node.ApplyNotice(kqserver.Notice{ServerID: restarted.id, Service: "orders", Address: restarted.settings.BackendAddress, Slots: 4, State: kqserver.Ready, Sequence: 9, Born: int64(99 + i)})
		for n := range 5 {
			restarted.request("GET", "/look/deadly", fmt.Sprintf("again-%d-%d", i, n), "")
		}
	}
	if got := servers[1].crashes.Load() - before; got > 0 {
		t.Errorf("crashes of the server beside the restarted node: got %d more, want none", got)
	}
}

// removeConvictions waits until the store holds a conviction, and removes all.
func (f *fleet) removeConvictions() {
	f.t.Helper()
	client := kqstore.NewHTTP(f.store.Address())
	ticks := time.NewTicker(10 * time.Millisecond)
	defer ticks.Stop()
	for begun := time.Now(); time.Since(begun) < testTimeout; <-ticks.C {
		objects, _, err := client.List(context.Background(), kqstore.KindConvictions)
		if err != nil || len(objects) == 0 {
			continue
		}
		for _, o := range objects {
			if err := client.Delete(context.Background(), kqstore.KindConvictions, o); err != nil {
				f.t.Fatal(err)
			}
		}
		return
	}
	f.t.Fatal("convictions in the store: got none within the test timeout, want one")
}

// TestDeadlyRequestIsForgottenWhenAllNodesEnd restarts all nodes at once. They know of
// the conviction from the store alone.
func TestDeadlyRequestIsForgottenWhenAllNodesEnd(t *testing.T) {
	f := newFleet(t)
	hosts, servers := f.addMortals(4)
	f.writeRoutes(1, route("/look/", "orders", false))
	f.serveAll(hosts...)
	for i := 0; !strings.Contains(f.logged(), "RequestConvicted"); i++ {
		hosts[0].request("GET", "/look/deadly", fmt.Sprintf("deadly-%d", i), "")
	}
	client := kqstore.NewHTTP(f.store.Address())
	ticks := time.NewTicker(10 * time.Millisecond)
	defer ticks.Stop()
	for begun := time.Now(); ; <-ticks.C {
		objects, _, err := client.List(t.Context(), kqstore.KindConvictions)
		if err == nil && len(objects) == 1 {
			break
		}
		if time.Since(begun) > testTimeout {
			t.Fatalf("convictions in the store: got %d, %v, want 1", len(objects), err)
		}
	}
	old := kqstore.Object{Name: strings.Repeat("ab", 16), Value: []byte(`{"ConvictedAt":1}`)}
	if _, err := client.Put(t.Context(), kqstore.KindConvictions, old); err != nil {
		t.Fatal(err)
	}
	for _, h := range hosts {
		h.node.Stop()
	}
	before := int64(0)
	for i, h := range hosts {
		before += servers[i].crashes.Load()
		h.settings.FirstStart = false
		f.startElsewhere(h)
	}
	for begun := time.Now(); f.logCount("records of convicted requests are known: 1 of them") < len(hosts); <-ticks.C {
		if time.Since(begun) > testTimeout {
			t.Fatal("nodes that have read the conviction: got fewer than all within the test timeout")
		}
	}
	for _, h := range hosts {
		h.node.ApplyNotice(kqserver.Notice{ServerID: h.id, Service: "orders", Address: h.settings.BackendAddress, Slots: 4, State: kqserver.Ready, Sequence: 9, Born: 99})
		f.awaitState(h, "its routes", func(s *kqmesh.State) bool { return s.Routes != nil && s.HostsKnown })
	}
	for i := range 20 {
		if got := hosts[i%4].request("GET", "/look/deadly", fmt.Sprintf("again-%d", i), ""); got.status != 503 {
			t.Errorf("deadly request after the restart: got %+v, want 503", got)
		}
	}
	after := int64(0)
	for _, m := range servers {
		after += m.crashes.Load()
	}
	if after > before {
		t.Errorf("crashes after the restart: got %d, want none", after-before)
	}
	if objects, _, err := client.List(t.Context(), kqstore.KindConvictions); err != nil || len(objects) != 1 {
		t.Errorf("convictions in the store after the restart: got %d, %v, want 1 without the old one", len(objects), err)
	}
}

// TestSuspectRunsOnAServerThatDrains has suspects wait for each other when their server
// begins to drain. Those that wait must go elsewhere at once.
func TestSuspectRunsOnAServerThatDrains(t *testing.T) {
	f := newFleet(t)
	first, second := f.add("orders-1", "orders"), f.add("orders-2", "orders")
	server := newMortal(first)
	f.writeRoutes(1, route("/look/", "orders", false))
	f.serveAll(first)
	// Both requests run when the server crashes, so both are suspect.
	server.setAnswer(func(c net.Conn, q *fasthttp.Request) {
		server.register(c)
		if string(q.Header.RequestURI()) == "/look/deadly" {
			server.crash()
			return
		}
		// The connection is closed by the crash.
		_, _ = c.Read(make([]byte, 1))
	})
	var lost sync.WaitGroup
	for _, path := range []string{"/look/a", "/look/b"} {
		lost.Go(func() { first.request("GET", path, "lost "+path, "") })
		<-first.begun
	}
	first.request("GET", "/look/deadly", "deadly", "")
	lost.Wait()
	f.awaitLogged("has ended without notice while it ran 3 requests")
	f.awaitState(first, "the server's restart", func(s *kqmesh.State) bool { return s.Server.Born == 2 })
	release := make(chan struct{})
	server.holdAnswers(release)
	var results sync.Map
	var callers sync.WaitGroup
	for _, path := range []string{"/look/a", "/look/b"} {
		callers.Go(func() { results.Store(path, first.request("GET", path, path, "")) })
	}
	running := <-first.begun
	for running != "/look/a" && running != "/look/b" {
		running = <-first.begun
	}
	second.reportState(kqserver.Ready)
	f.awaitConvergence(1, 2)
	first.node.ApplyNotice(kqserver.Notice{ServerID: first.id, Service: "orders", Address: first.settings.BackendAddress, State: kqserver.Draining, Sequence: 9, Born: 2})
	if got := <-second.begun; got == running {
		t.Errorf("request that runs elsewhere: got %s, want the one that waits", got)
	}
	close(release)
	callers.Wait()
	results.Range(func(path, got any) bool {
		if got.(result).status != 200 {
			t.Errorf("request to %s: got %+v, want 200", path, got)
		}
		return true
	})
	if got := first.runCount("/look/a") + first.runCount("/look/b"); got != 1 {
		t.Errorf("suspects that ran on the server that drains: got %d, want 1", got)
	}
}
