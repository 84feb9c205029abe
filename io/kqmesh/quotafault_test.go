package kqmesh_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqrate"
	"kumquatlink/core/kqroutes"
	"kumquatlink/io/kqmesh"
	"kumquatlink/io/kqobject"
	"kumquatlink/io/kqstore"
	"kumquatlink/io/kqwire"
)

const (
	// teamWindow is the window of the users' bound on a quota.
	teamWindow = 5 * time.Second
	// faultTime is how long a fault lasts, and settleTime how long callers go on before
	// it and after it.
	faultTime  = 6 * time.Second
	settleTime = 3 * time.Second
)

// link is the way by which other nodes reach a node. It may be stopped, so that bytes
// wait, or cut, so that all connections end.
type link struct {
	listener net.Listener
	// target is the address of the node.
	target atomic.Value
	mutex  sync.Mutex
	// open is closed while bytes pass.
	open  chan struct{}
	isCut bool
	conns map[net.Conn]bool
}

func newLink(t *testing.T) *link {
	t.Helper()
	l := &link{open: make(chan struct{}), conns: map[net.Conn]bool{}}
	close(l.open)
	var err error
	if l.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = l.listener.Close()
		l.cut()
	})
	go l.accept()
	return l
}

func (l *link) accept() {
	for {
		peer, err := l.listener.Accept()
		if err != nil {
			return
		}
		node, err := net.Dial("tcp", l.target.Load().(string))
		if err != nil || !l.add(peer, node) {
			_ = peer.Close()
			if node != nil {
				_ = node.Close()
			}
			continue
		}
		go l.pass(node, peer)
		go l.pass(peer, node)
	}
}

// add records connections, unless the link is cut.
func (l *link) add(conns ...net.Conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, c := range conns {
		l.conns[c] = true
	}
	return !l.isCut
}

// pass copies bytes while the link is open.
func (l *link) pass(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		l.mutex.Lock()
		open := l.open
		l.mutex.Unlock()
		<-open
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (l *link) stop() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open = make(chan struct{})
}

func (l *link) resume() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.open)
}

func (l *link) cut() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isCut = true
	for c := range l.conns {
		_ = c.Close()
	}
	clear(l.conns)
}

func (l *link) mend() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isCut = false
}

// quotaFleet is a fleet of three nodes that others reach over links, one of which is the
// home of the team limited. runs are when requests began to run.
type quotaFleet struct {
	*fleet
	names []string
	links map[string]*link
	team  kqroutes.Team
	mutex sync.Mutex
	runs  []time.Time
	// refused counts the answers with status 429.
	refused atomic.Int64
}

// addBehindLink starts a host that other nodes reach over a link.
func (f *fleet) addBehindLink(name, service string) (*host, *link) {
	f.t.Helper()
	h := &host{backend: newBackend(f.t, "i-"+name), store: kqstore.NewHTTP(f.store.Address())}
	l := newLink(f.t)
	f.startOnFreeAddresses(h, func() {
		h.settings = f.settingsOf(h, "south", name, service)
		h.settings.PeerAddress = address(f.t)
		h.settings.AdvertisedAddress = l.listener.Addr().String()
		l.target.Store(h.settings.PeerAddress)
	})
	f.hosts[name] = h
	return h, l
}

func startQuotaFleet(t *testing.T) *quotaFleet {
	t.Helper()
	f := &quotaFleet{fleet: newFleet(t), names: []string{"orders-1", "orders-2", "orders-3"}, links: map[string]*link{}}
	f.team = kqroutes.Team{Name: "limited", Keys: []string{"limited"}, Rate: 60, Burst: 60}
	var hosts []*host
	for _, name := range f.names {
		h, l := f.addBehindLink(name, "orders")
		h.setAnswer(func(c net.Conn, q *fasthttp.Request) {
			f.mutex.Lock()
			f.runs = append(f.runs, time.Now())
			f.mutex.Unlock()
			echo(c, q)
		})
		f.links[name] = l
		hosts = append(hosts, h)
	}
	f.writeNamedTeams(f.team)
	f.serveAll(hosts...)
	return f
}

// home returns the name of the home of the team.
func (f *quotaFleet) home() string {
	return kqrate.ChooseHomes(f.names).Of(f.team.Name)
}

// send sends requests of the team at the nodes until ctx ends, about six times its rate.
func (f *quotaFleet) send(ctx context.Context, isUsed func(node string) bool) {
	var senders sync.WaitGroup
	for _, name := range f.names {
		client := &fasthttp.HostClient{Addr: f.hosts[name].settings.CallerAddress, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
		senders.Go(func() {
			pause := time.NewTicker(8 * time.Millisecond)
			defer pause.Stop()
			for i := 0; ctx.Err() == nil; i++ {
				<-pause.C
				if isUsed == nil || isUsed(name) {
					f.sendOne(client, fmt.Sprintf("%s-%d", name, i))
				}
			}
		})
	}
	senders.Wait()
}

// sendOne sends a request and counts a refusal. During a fault it may fail.
func (f *quotaFleet) sendOne(client *fasthttp.HostClient, id string) {
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	q.SetRequestURI("http://shop/look/" + id)
	q.Header.Set(kqwire.HeaderRequestID, id)
	q.Header.Set(kqwire.HeaderBudget, "1000")
	q.Header.Set(kqmesh.HeaderTeamKey, f.team.Name)
	if err := client.Do(q, a); err == nil && a.StatusCode() == fasthttp.StatusTooManyRequests {
		f.refused.Add(1)
	}
}

// mostRuns returns the largest number of runs in one window of teamWindow.
func (f *quotaFleet) mostRuns() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	most, first := 0, 0
	for i, at := range f.runs {
		for at.Sub(f.runs[first]) > teamWindow {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}

// checkFault sends requests while a fault begins and ends, and checks that the team stays
// within its quota and is served afterwards.
func (f *quotaFleet) checkFault(begin, end func(), isUsed func(node string) bool) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), 2*settleTime+faultTime)
	defer cancel()
	faults := []*time.Timer{time.AfterFunc(settleTime, begin), time.AfterFunc(settleTime+faultTime, end)}
	f.send(ctx, isUsed)
	for _, t := range faults {
		t.Stop()
	}
	most, want := f.mostRuns(), quotaBound(f.team, teamWindow)
	f.t.Logf("most runs in %s: %d, at most %d are allowed; runs: %d, refused: %d", teamWindow, most, want, len(f.runs), f.refused.Load())
	if most > want {
		f.t.Errorf("most runs in %s: got %d, want at most %d", teamWindow, most, want)
	}
	if f.refused.Load() == 0 {
		f.t.Error("requests beyond the quota: got none refused, want some")
	}
	f.mutex.Lock()
	before := len(f.runs)
	f.mutex.Unlock()
	for begun := time.Now(); f.runsAfter(before) == 0 && time.Since(begun) < testTimeout; {
		for _, name := range f.names {
			f.hosts[name].requestAs(f.team.Name, fmt.Sprintf("after-%s-%d", name, time.Since(begun)))
		}
	}
	if f.runsAfter(before) == 0 {
		f.t.Error("runs after the fault: got none, want some")
	}
}

// runsAfter returns the number of runs beyond the first ones.
func (f *quotaFleet) runsAfter(first int) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.runs) - first
}

// TestQuotaIsExceededWhileItsHomeDoesNotAnswer stops what others send to the home. It
// comes in later. Callers do not use the home meanwhile.
func TestQuotaIsExceededWhileItsHomeDoesNotAnswer(t *testing.T) {
	t.Parallel()
	f := startQuotaFleet(t)
	home := f.home()
	var isStopped atomic.Bool
	f.checkFault(func() {
		isStopped.Store(true)
		f.links[home].stop()
	}, func() {
		f.links[home].resume()
		isStopped.Store(false)
	}, func(node string) bool { return node != home || !isStopped.Load() })
}

// TestQuotaIsExceededWhileItsHomeIsCutOff ends all connections to the home, which callers
// still use.
func TestQuotaIsExceededWhileItsHomeIsCutOff(t *testing.T) {
	t.Parallel()
	f := startQuotaFleet(t)
	f.checkFault(f.links[f.home()].cut, f.links[f.home()].mend, nil)
}

// TestQuotaIsExceededWhileTheStoreIsAway has the store refuse all calls.
func TestQuotaIsExceededWhileTheStoreIsAway(t *testing.T) {
	t.Parallel()
	f := startQuotaFleet(t)
	f.checkFault(func() { f.store.SetFaults(kqobject.Faults{Down: true}) }, func() { f.store.SetFaults(kqobject.Faults{}) }, nil)
}

// TestFormerQuotaHoldsAfterARestore lowers the quota, and restores the store from a copy
// with the former one.
func TestFormerQuotaHoldsAfterARestore(t *testing.T) {
	t.Parallel()
	f := startQuotaFleet(t)
	backup := f.store.Backup()
	f.team.Rate, f.team.Burst = 20, 20
	f.writeTeams(2, []kqroutes.Team{f.team}, route("/look/", "orders", false))
	f.awaitConvergence(2, len(f.names))
	f.checkFault(func() {
		f.store.SetFaults(kqobject.Faults{Down: true})
		f.store.Restore(backup)
	}, func() { f.store.SetFaults(kqobject.Faults{}) }, nil)
}
