package kqsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqroutes"
	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqmesh"
	"kumquatlink/io/kqobject"
	"kumquatlink/io/kqstore"
)

// Timing of the faults.
const (
	// meanFaultPause is the mean pause between two faults.
	meanFaultPause = 500 * time.Millisecond
	// meanAddedFaultPause is the same for addedFaultKinds.
	meanAddedFaultPause = 3 * time.Second
	// openPollPeriod is the pause between checks whether a node has started,
	// and the dial timeout of each.
	openPollPeriod = 50 * time.Millisecond
	// maxFaultLength is the longest time that a fault lasts.
	maxFaultLength = 3 * time.Second
	// lossGrace is how long connections may still break after a fault.
	lossGrace = 3 * time.Second
	// routeWriteTimeout bounds writing routes while the store fails.
	routeWriteTimeout = 10 * time.Second
)

// fault is a kind of fault. Its inject function returns when the fault is over.
type fault struct {
	name string
	// planned reports whether it must not break any connection: ordinary
	// operations, slow servers and failures of the store.
	planned bool
	inject  func(s *soak, ctx context.Context, h *host, length time.Duration)
}

// faultKinds are the faults drawn from the soak's main random source.
var faultKinds = []fault{
	{"the node is terminated and restarted", true, func(s *soak, _ context.Context, h *host, _ time.Duration) {
		h.signal(syscall.SIGTERM)
		if h.wait() {
			s.ledger.recordViolation("%s was still running %s after SIGTERM", h.name, exitTimeout)
		}
		s.restart(h)
	}},
	{"the node is killed and restarted", false, func(s *soak, ctx context.Context, h *host, length time.Duration) {
		h.kill()
		sleep(ctx, length/4)
		s.restart(h)
	}},
	{"the node is paused", false, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		if h.signal(syscall.SIGSTOP) {
			sleep(ctx, length)
			h.signal(syscall.SIGCONT)
		}
	}},
	{"the peers' connections to the node are slow", false, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.injectProxyFault(ctx, h.peerProxy, proxyFault{delay: length / 30}, length)
	}},
	{"the peers' connections to the node pass nothing towards it", false, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.injectProxyFault(ctx, h.peerProxy, proxyFault{dropToTarget: true}, length)
	}},
	{"the peers' connections to the node pass nothing back", false, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.injectProxyFault(ctx, h.peerProxy, proxyFault{dropFromTarget: true}, length)
	}},
	{"the peers' connections to the node are reset", false, func(_ *soak, _ context.Context, h *host, _ time.Duration) { h.peerProxy.reset() }},
	{"the peers' connections to the node go silent", false, func(_ *soak, _ context.Context, h *host, _ time.Duration) { h.peerProxy.blackhole() }},
	{"the peers can't reach the node", false, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.peerProxy.reset()
		h.injectProxyFault(ctx, h.peerProxy, proxyFault{refuse: true}, length)
	}},
	{"the server's connections are reset", false, func(_ *soak, _ context.Context, h *host, _ time.Duration) { h.backendProxy.reset() }},
	{"the server's connections go silent", false, func(_ *soak, _ context.Context, h *host, _ time.Duration) { h.backendProxy.blackhole() }},
	{"the server loses answers", false, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.injectServerFault(ctx, serverFault{loseShare: 0.2}, length)
	}},
	{"the server truncates answers", false, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.injectServerFault(ctx, serverFault{truncateShare: 0.2}, length)
	}},
	{"the server sends a second answer", false, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.injectServerFault(ctx, serverFault{twice: 0.3}, length)
	}},
	{"the server is slow", true, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.injectServerFault(ctx, serverFault{delay: 300 * time.Millisecond}, length)
	}},
	{"the server drains and is replaced", true, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.current().setState(kqserver.Draining)
		sleep(ctx, drainTime+drainSlack+length/4)
		h.current().setState(kqserver.Gone)
		h.replace()
	}},
	{"the server leaves without draining and is replaced", true, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.current().setState(kqserver.Gone)
		sleep(ctx, drainTime+drainSlack+length/4)
		h.replace()
	}},
	{"the server crashes and is replaced", false, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.backendProxy.reset()
		h.injectProxyFault(ctx, h.backendProxy, proxyFault{refuse: true}, length/4)
		h.replace()
	}},
	{"the store is down", true, func(s *soak, ctx context.Context, _ *host, length time.Duration) {
		s.injectStoreFault(ctx, kqobject.Faults{Down: true}, length)
	}},
	{"the store is slow", true, func(s *soak, ctx context.Context, _ *host, length time.Duration) {
		s.injectStoreFault(ctx, kqobject.Faults{Delay: length / 4}, length)
	}},
	{"the store loses answers", true, func(s *soak, ctx context.Context, _ *host, length time.Duration) {
		s.injectStoreFault(ctx, kqobject.Faults{LoseAnswers: 5}, length)
	}},
	{"the store cuts its watches", true, func(s *soak, ctx context.Context, _ *host, length time.Duration) {
		s.injectStoreFault(ctx, kqobject.Faults{CutWatches: true}, length)
	}},
	{"the store's connections go silent", true, func(s *soak, _ context.Context, _ *host, _ time.Duration) { s.store.proxy.blackhole() }},
	{"the store is paused", true, func(s *soak, ctx context.Context, _ *host, length time.Duration) {
		if s.store.signal(syscall.SIGSTOP) {
			sleep(ctx, length)
			s.store.signal(syscall.SIGCONT)
		}
	}},
	{"the routes change", true, func(s *soak, ctx context.Context, _ *host, _ time.Duration) {
		if err := s.changeRoutes(ctx); err != nil {
			s.recordEvent("could not write routes: %v", err)
		}
	}},
}

// addedFaultKinds use a random source of their own. Drawing them from the main
// one would change the fault schedules of the seeds that regression tests keep.
var addedFaultKinds = []fault{
	{"the server's connections trickle", false, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.injectProxyFault(ctx, h.backendProxy, proxyFault{trickle: true}, length)
	}},
	{"the node's settings are rewritten, and it is signalled", true, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.rewriteSettings(ctx, length)
	}},
	{"the peers' connections to the node trickle", false, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.injectProxyFault(ctx, h.peerProxy, proxyFault{trickle: true}, length)
	}},
}

// inject starts single, overlapping and consecutive faults for the length of
// the soak, and waits until all of them are over.
func (s *soak) inject(ctx context.Context) {
	var running sync.WaitGroup
	hostLocks := map[*host]*sync.Mutex{}
	for _, h := range s.hosts {
		hostLocks[h] = &sync.Mutex{}
	}
	for i := range limitSeries {
		running.Go(func() { s.nameLimits(ctx, rand.New(rand.NewPCG(s.options.Seed, uint64(2+i)))) })
	}
	// Random sources 2 and up to 2+limitSeries are those of the limits, and the next
	// ones those of the restores and of the deadly request.
	running.Go(func() { s.restoreStore(ctx, rand.New(rand.NewPCG(s.options.Seed, 2+limitSeries))) })
	running.Go(func() { s.sendDeadly(ctx, rand.New(rand.NewPCG(s.options.Seed, 3+limitSeries))) })
	running.Go(func() {
		addedRandom := rand.New(rand.NewPCG(s.options.Seed, 1))
		s.injectFrom(ctx, &running, hostLocks, addedFaultKinds, addedRandom, meanAddedFaultPause)
	})
	s.injectFrom(ctx, &running, hostLocks, faultKinds, s.random, meanFaultPause)
	running.Wait()
}

// injectFrom injects random faults from a list, with a mean pause between them.
func (s *soak) injectFrom(ctx context.Context, running *sync.WaitGroup, hostLocks map[*host]*sync.Mutex, faultKinds []fault, random *rand.Rand, mean time.Duration) {
	for until := time.Now().Add(s.options.Length); time.Now().Before(until) && ctx.Err() == nil; {
		f, h := faultKinds[random.IntN(len(faultKinds))], s.hosts[random.IntN(len(s.hosts))]
		length := time.Duration(random.Int64N(int64(maxFaultLength)))
		running.Go(func() {
			// Only one fault at a time affects a host.
			hostLocks[h].Lock()
			defer hostLocks[h].Unlock()
			if !f.planned {
				s.ledger.allowLoss(time.Now().Add(length + maxFaultLength + lossGrace))
			}
			s.recordEvent("%s: %s, %s", h.name, f.name, length.Round(time.Millisecond))
			h.faultAt.Store(time.Now().Add(length).UnixNano())
			f.inject(s, ctx, h, length)
			h.faultAt.Store(time.Now().UnixNano())
			if !f.planned {
				s.ledger.allowLoss(time.Now().Add(lossGrace))
			}
		})
		sleep(ctx, time.Duration(random.Int64N(int64(2*mean))))
	}
}

// restart starts a node's process again, and records a violation if that fails.
func (s *soak) restart(h *host) {
	if err := h.start(); err != nil {
		s.ledger.recordViolation("%s did not start again: %v", h.name, err)
	}
	go h.learnVersion(context.Background())
}

// rewriteSettings makes the node reload invalid settings, and later valid ones
// with a lower bound on repeats. It first waits until the node accepts callers,
// since a process that has just started does not handle the signal yet.
func (h *host) rewriteSettings(ctx context.Context, length time.Duration) {
	for until := time.Now().Add(length); !h.acceptsCallers(); sleep(ctx, openPollPeriod) {
		if ctx.Err() != nil || time.Now().After(until) {
			return
		}
	}
	if err := os.WriteFile(h.settingsPath, []byte("{"), 0o600); err != nil {
		h.soak.recordEvent("could not write invalid settings: %v", err)
	}
	h.signal(syscall.SIGHUP)
	sleep(ctx, length/4)
	changed := h.settings
	changed.RepeatSlack /= 2
	if err := writeJSON(h.settingsPath, changed); err != nil {
		h.soak.ledger.recordViolation("could not restore settings of %s: %v", h.name, err)
	}
	h.signal(syscall.SIGHUP)
}

// acceptsCallers reports whether the node accepts connections of callers.
func (h *host) acceptsCallers() bool {
	c, err := net.DialTimeout("tcp", h.settings.CallerAddress, openPollPeriod)
	if err != nil {
		return false
	}
	return c.Close() == nil
}

// injectProxyFault applies a fault to a proxy for a time.
func (h *host) injectProxyFault(ctx context.Context, p *proxy, t proxyFault, length time.Duration) {
	p.set(t)
	sleep(ctx, length)
	p.set(proxyFault{})
}

// injectServerFault applies a fault to the current backend server for a time.
func (h *host) injectServerFault(ctx context.Context, t serverFault, length time.Duration) {
	v := h.current()
	v.set(t)
	sleep(ctx, length)
	v.set(serverFault{})
}

// injectStoreFault applies a fault to the store for a time.
func (s *soak) injectStoreFault(ctx context.Context, f kqobject.Faults, length time.Duration) {
	if err := s.store.setFaults(f); err != nil {
		// A paused store applies the fault later, so it is cleared below also
		// when this call fails.
		s.recordEvent("store did not confirm the fault: %v", err)
	}
	sleep(ctx, length)
	for ctx.Err() == nil && s.store.setFaults(kqobject.Faults{}) != nil {
		sleep(ctx, meanFaultPause)
	}
}

// newestPath returns a path that only the newest version of the routes has.
func (s *soak) newestPath(service string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return fmt.Sprintf("/%s/v%d/", service, s.routes)
}

// oncePath returns the path of requests that must not run twice.
func oncePath(service string) string {
	return "/once/" + service + "/"
}

// changeRoutes writes the next version of the routes. It keeps the paths of the
// version before, so that callers need not know which one a node uses.
func (s *soak) changeRoutes(ctx context.Context) error {
	s.operator.Lock()
	defer s.operator.Unlock()
	s.mutex.Lock()
	version := s.routes + 1
	s.mutex.Unlock()
	value, err := json.Marshal(routesOf(version))
	if err != nil {
		return errors.Wrap(err, "write routes")
	}
	if err := s.writeRoutes(ctx, value); err != nil {
		return err
	}
	s.teams.recordWritten(version)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.routes = max(s.routes, version)
	return nil
}

// routesOf returns the version of the routes.
func routesOf(version int64) kqroutes.Document {
	d := kqroutes.Document{Version: version, Teams: teamsOf(version), Routes: []kqroutes.Route{teamRoute()}}
	for _, service := range services {
		d.Services = append(d.Services, kqroutes.Service{Name: service, HealthPath: healthPath})
		d.Routes = append(d.Routes, soakRoute(oncePath(service), service, true))
		for v := max(1, version-1); v <= version; v++ {
			d.Routes = append(d.Routes, soakRoute(fmt.Sprintf("/%s/v%d/", service, v), service, false))
		}
	}
	return d
}

func soakRoute(prefix, service string, runOnce bool) kqroutes.Route {
	return kqroutes.Route{
		Name: prefix, Host: hostName, Prefix: prefix, RunOnce: runOnce, MaxAttempts: 2, Rank: 1,
		Parts: []kqroutes.Part{{Service: service, Weight: 1}}, Timeout: kqclass.Duration(requestTimeout), Public: true,
	}
}

// writeRoutes retries writing the routes until the store has acknowledged them
// or routeWriteTimeout has passed.
func (s *soak) writeRoutes(ctx context.Context, value []byte) error {
	client := kqstore.NewHTTP(s.store.address)
	var err error
	for until := time.Now().Add(routeWriteTimeout); time.Now().Before(until) && ctx.Err() == nil; sleep(ctx, 100*time.Millisecond) {
		o := kqstore.Object{Name: kqmesh.NativeRoutesName, Value: value}
		stored, getErr := client.Get(ctx, kqmesh.NativeRoutesKind, kqmesh.NativeRoutesName)
		if getErr == nil {
			o.Version = stored.Version
		} else if !errors.Is(getErr, kqstore.ErrNotFound) {
			err = getErr
			continue
		}
		if _, err = client.Put(ctx, kqmesh.NativeRoutesKind, o); err == nil {
			return nil
		}
	}
	return err
}
