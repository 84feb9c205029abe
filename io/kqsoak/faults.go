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

// Figures of the faults.
const (
	// faultPause is the mean pause between two faults.
	faultPause = 500 * time.Millisecond
	// laterPause is the same for laterKinds.
	laterPause = 3 * time.Second
	// openPause is the pause between looks at whether a node has started.
	openPause = 50 * time.Millisecond
	// faultLength is the longest time that a fault lasts.
	faultLength = 3 * time.Second
	// afterTime is how long connections may still break after a fault.
	afterTime = 3 * time.Second
	// writeTime bounds writing routes while the store fails.
	writeTime = 10 * time.Second
)

// fault is a kind of fault. inject returns when it is over.
type fault struct {
	name string
	// planned is whether it is ordinary work, which may break no connection.
	planned bool
	inject  func(s *soak, ctx context.Context, h *host, length time.Duration)
}

var kinds = []fault{
	{"the node is ended and started", true, func(s *soak, _ context.Context, h *host, _ time.Duration) {
		h.signal(syscall.SIGTERM)
		if h.wait() {
			s.ledger.broke("%s was still there %s after SIGTERM", h.name, killTime)
		}
		s.restart(h)
	}},
	{"the node is killed and started", false, func(s *soak, ctx context.Context, h *host, length time.Duration) {
		h.kill()
		pause(ctx, length/4)
		s.restart(h)
	}},
	{"the node is paused", false, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		if h.signal(syscall.SIGSTOP) {
			pause(ctx, length)
			h.signal(syscall.SIGCONT)
		}
	}},
	{"the peers' connections to the node are slow", false, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.during(ctx, h.peer, trouble{delay: length / 30}, length)
	}},
	{"the peers' connections to the node pass nothing towards it", false, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.during(ctx, h.peer, trouble{towards: true}, length)
	}},
	{"the peers' connections to the node pass nothing back", false, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.during(ctx, h.peer, trouble{back: true}, length)
	}},
	{"the peers' connections to the node are reset", false, func(_ *soak, _ context.Context, h *host, _ time.Duration) { h.peer.reset() }},
	{"the peers' connections to the node go silent", false, func(_ *soak, _ context.Context, h *host, _ time.Duration) { h.peer.silence() }},
	{"the peers can't reach the node", false, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.peer.reset()
		h.during(ctx, h.peer, trouble{refuse: true}, length)
	}},
	{"the server's connections are reset", false, func(_ *soak, _ context.Context, h *host, _ time.Duration) { h.link.reset() }},
	{"the server's connections go silent", false, func(_ *soak, _ context.Context, h *host, _ time.Duration) { h.link.silence() }},
	{"the server loses answers", false, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.spoil(ctx, serverTrouble{lose: 0.2}, length)
	}},
	{"the server breaks off answers", false, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.spoil(ctx, serverTrouble{breakOff: 0.2}, length)
	}},
	{"the server answers twice", false, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.spoil(ctx, serverTrouble{twice: 0.3}, length)
	}},
	{"the server is slow", true, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.spoil(ctx, serverTrouble{slow: 300 * time.Millisecond}, length)
	}},
	{"the server drains and is replaced", true, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.current().become(kqserver.Draining)
		pause(ctx, drainTime+drainSlack+length/4)
		h.current().become(kqserver.Gone)
		h.replace()
	}},
	{"the server leaves without draining and is replaced", true, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.current().become(kqserver.Gone)
		pause(ctx, drainTime+drainSlack+length/4)
		h.replace()
	}},
	{"the server crashes and is replaced", false, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.link.reset()
		h.during(ctx, h.link, trouble{refuse: true}, length/4)
		h.replace()
	}},
	{"the store is down", true, func(s *soak, ctx context.Context, _ *host, length time.Duration) {
		s.storeFault(ctx, kqobject.Faults{Down: true}, length)
	}},
	{"the store is slow", true, func(s *soak, ctx context.Context, _ *host, length time.Duration) {
		s.storeFault(ctx, kqobject.Faults{Delay: length / 4}, length)
	}},
	{"the store loses answers", true, func(s *soak, ctx context.Context, _ *host, length time.Duration) {
		s.storeFault(ctx, kqobject.Faults{LoseAnswers: 5}, length)
	}},
	{"the store cuts its watches", true, func(s *soak, ctx context.Context, _ *host, length time.Duration) {
		s.storeFault(ctx, kqobject.Faults{CutWatches: true}, length)
	}},
	{"the store's connections go silent", true, func(s *soak, _ context.Context, _ *host, _ time.Duration) { s.store.proxy.silence() }},
	{"the store is paused", true, func(s *soak, ctx context.Context, _ *host, length time.Duration) {
		if s.store.signal(syscall.SIGSTOP) {
			pause(ctx, length)
			s.store.signal(syscall.SIGCONT)
		}
	}},
	{"the routes change", true, func(s *soak, ctx context.Context, _ *host, _ time.Duration) {
		if err := s.changeRoutes(ctx); err != nil {
			s.note("routes were not written: %v", err)
		}
	}},
}

// laterKinds came after seeds had been kept, which draw from kinds; they have
// draws of their own, so that those seeds stay the days that they were.
var laterKinds = []fault{
	{"the server's connections trickle", false, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.during(ctx, h.link, trouble{trickle: true}, length)
	}},
	{"the node's settings are rewritten, and it is told", true, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.rewrite(ctx, length)
	}},
	{"the peers' connections to the node trickle", false, func(_ *soak, ctx context.Context, h *host, length time.Duration) {
		h.during(ctx, h.peer, trouble{trickle: true}, length)
	}},
}

// inject injects faults, alone, at once and one after the other, until the
// length of the soak is over, and waits until they are.
func (s *soak) inject(ctx context.Context) {
	var running sync.WaitGroup
	busy := map[*host]*sync.Mutex{}
	for _, h := range s.hosts {
		busy[h] = &sync.Mutex{}
	}
	running.Go(func() {
		later := rand.New(rand.NewPCG(s.options.Seed, 1))
		s.injectFrom(ctx, &running, busy, laterKinds, later, laterPause)
	})
	s.injectFrom(ctx, &running, busy, kinds, s.random, faultPause)
	running.Wait()
}

// injectFrom injects faults of some kinds with a mean pause between them.
func (s *soak) injectFrom(ctx context.Context, running *sync.WaitGroup, busy map[*host]*sync.Mutex, kinds []fault, random *rand.Rand, mean time.Duration) {
	for until := time.Now().Add(s.options.Length); time.Now().Before(until) && ctx.Err() == nil; {
		f, h := kinds[random.IntN(len(kinds))], s.hosts[random.IntN(len(s.hosts))]
		length := time.Duration(random.Int64N(int64(faultLength)))
		running.Go(func() {
			// Two faults of one host come one after the other.
			busy[h].Lock()
			defer busy[h].Unlock()
			if !f.planned {
				s.ledger.disturb(time.Now().Add(length + faultLength + afterTime))
			}
			s.note("%s: %s, %s", h.name, f.name, length.Round(time.Millisecond))
			f.inject(s, ctx, h, length)
			if !f.planned {
				s.ledger.disturb(time.Now().Add(afterTime))
			}
		})
		pause(ctx, time.Duration(random.Int64N(int64(2*mean))))
	}
}

// restart starts a node's process again.
func (s *soak) restart(h *host) {
	if err := h.start(); err != nil {
		s.ledger.broke("%s did not start again: %v", h.name, err)
	}
}

// rewrite spoils the node's settings for a while, and mends them with a bound
// that was lower. A process that has just been made can't wait for the signal
// yet, so it is told once it has opened its address.
func (h *host) rewrite(ctx context.Context, length time.Duration) {
	for until := time.Now().Add(length); !h.isOpen(); pause(ctx, openPause) {
		if ctx.Err() != nil || time.Now().After(until) {
			return
		}
	}
	if err := os.WriteFile(h.settingsPath, []byte("{"), 0o600); err != nil {
		h.soak.note("settings were not spoilt: %v", err)
	}
	h.signal(syscall.SIGHUP)
	pause(ctx, length/4)
	changed := h.settings
	changed.RepeatSlack /= 2
	if err := writeJSON(h.settingsPath, changed); err != nil {
		h.soak.ledger.broke("settings of %s were not mended: %v", h.name, err)
	}
	h.signal(syscall.SIGHUP)
}

// isOpen is whether the node takes connections of callers.
func (h *host) isOpen() bool {
	c, err := net.DialTimeout("tcp", h.settings.CallerAddress, openPause)
	if err != nil {
		return false
	}
	return c.Close() == nil
}

func (h *host) during(ctx context.Context, p *proxy, t trouble, length time.Duration) {
	p.set(t)
	pause(ctx, length)
	p.set(trouble{})
}

func (h *host) spoil(ctx context.Context, t serverTrouble, length time.Duration) {
	v := h.current()
	v.set(t)
	pause(ctx, length)
	v.set(serverTrouble{})
}

func (s *soak) storeFault(ctx context.Context, f kqobject.Faults, length time.Duration) {
	if err := s.store.setFaults(f); err != nil {
		// A store that is paused takes it later, so it is ended all the same.
		s.note("store did not say that it took the fault: %v", err)
	}
	pause(ctx, length)
	for ctx.Err() == nil && s.store.setFaults(kqobject.Faults{}) != nil {
		pause(ctx, faultPause)
	}
}

// newestPath is a path that only the newest routes have.
func (s *soak) newestPath(service string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return fmt.Sprintf("/%s/v%d/", service, s.routes)
}

// oncePath is the path of requests that must not run twice.
func oncePath(service string) string {
	return "/once/" + service + "/"
}

// changeRoutes writes the next version of the routes. A version keeps the
// paths of the one before, so that callers need not know when it is in force.
func (s *soak) changeRoutes(ctx context.Context) error {
	s.mutex.Lock()
	version := s.routes + 1
	s.mutex.Unlock()
	d := kqroutes.Document{Version: version}
	for _, service := range services {
		d.Services = append(d.Services, kqroutes.Service{Name: service, HealthPath: healthPath})
		d.Routes = append(d.Routes, soakRoute(oncePath(service), service, true))
		for v := max(1, version-1); v <= version; v++ {
			d.Routes = append(d.Routes, soakRoute(fmt.Sprintf("/%s/v%d/", service, v), service, false))
		}
	}
	value, err := json.Marshal(d)
	if err != nil {
		return errors.Wrap(err, "write routes")
	}
	if err := s.writeRoutes(ctx, value); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.routes = max(s.routes, version)
	return nil
}

func soakRoute(prefix, service string, runOnce bool) kqroutes.Route {
	return kqroutes.Route{
		Name: prefix, Host: hostName, Prefix: prefix, RunOnce: runOnce, MaxAttempts: 2, Rank: 1,
		Parts: []kqroutes.Part{{Service: service, Weight: 1}}, Timeout: kqclass.Duration(requestTimeout),
	}
}

// writeRoutes writes the object until the store has acknowledged it.
func (s *soak) writeRoutes(ctx context.Context, value []byte) error {
	client := kqstore.NewHTTP(s.store.address)
	var err error
	for until := time.Now().Add(writeTime); time.Now().Before(until) && ctx.Err() == nil; pause(ctx, 100*time.Millisecond) {
		o := kqstore.Object{Name: kqmesh.NativeRoutesName, Value: value}
		held, getErr := client.Get(ctx, kqmesh.NativeRoutesKind, kqmesh.NativeRoutesName)
		if getErr == nil {
			o.Version = held.Version
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
