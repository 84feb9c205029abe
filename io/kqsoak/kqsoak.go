// Package kqsoak runs nodes and the store stand-in as separate processes on
// one machine, sends requests through them, injects faults from outside, and
// checks the promises from what callers and backend servers see.
//
// # Usage
//
//	report, err := kqsoak.Run(ctx, kqsoak.Options{Program: path, Seed: 7, Length: 15 * time.Second})
//	for _, broken := range report.Broken { ... }
//
// The seed decides which faults come when: nodes that are ended, killed,
// paused and started again; connections between nodes, to the store and to
// backend servers that are slowed, trickle, are reset, cut one way or silenced by
// a proxy on loopback; a store that is down, slow, paused or loses answers; backend
// servers that drain, leave without a word, are replaced, lose answers or
// answer twice; routes that change. Faults overlap and come in series.
// Timing differs between runs of a seed, so a seed is a kind of day and no
// exact replay.
//
// Promises that are checked: what must not run twice does not; what was said
// not to have run has not and never does; each caller gets its own whole
// answer; a backend server that has told its node that it drains gets nothing
// after the time it serves on; a planned end of a node cuts off nothing; repeats
// stay within the bound of all nodes together; once the faults are over, every
// node serves the newest routes.
package kqsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrSoak marks all errors of this package.
var ErrSoak = errors.New("soak failed")

// Shape of a soak.
const (
	hostsPerService = 3
	callersPerHost  = 2
	// calmTime is how long the fleet has before the first fault.
	calmTime = time.Second
	// settleTime is how long the fleet has after the last fault to serve again.
	settleTime = 15 * time.Second
	// startTime is how long the fleet may take to serve at first.
	startTime = 20 * time.Second
)

// services of a soak; requests to the first make onward calls to the second.
var services = []string{"orders", "licensing"}

// Options of a soak.
type Options struct {
	// Program is the path of the kumquatlink program.
	Program string
	Seed    uint64
	// Length is how long faults are injected.
	Length time.Duration
	// Directory holds settings and logs; a new one is made when it is empty,
	// and removed after a run without broken promises.
	Directory string
	// Hosts is how many hosts each service has; 0 means the default.
	Hosts int
}

// Report is what a soak saw.
type Report struct {
	Seed     uint64
	Requests int
	Answers  map[int]int
	Runs     int
	// Repeats counts what backend servers were handed beyond the first time,
	// and what repeated runs called.
	Repeats int
	Faults  []string
	// Broken lists the promises that were broken.
	Broken []string
	// Directory holds the logs if something broke.
	Directory string
}

// soak is one run.
type soak struct {
	options Options
	random  *rand.Rand
	begun   time.Time
	// addresses are those of the nodes, which come and go.
	addresses *addresses
	store     *storeProcess
	hosts     []*host
	ledger    *ledger

	mutex  sync.Mutex
	faults []string
	// routes is the version of the routes last written.
	routes int64
	// next numbers backend servers.
	next int
}

// Run runs a soak and gives what it saw.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Hosts == 0 {
		o.Hosts = hostsPerService
	}
	made := o.Directory == ""
	if made {
		directory, err := os.MkdirTemp("", "kumquatlink-soak-")
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "make directory"), ErrSoak)
		}
		o.Directory = directory
	}
	s := &soak{options: o, random: rand.New(rand.NewPCG(o.Seed, 0)), ledger: newLedger(), addresses: newAddresses()}
	defer s.end()
	if err := s.start(ctx); err != nil {
		return nil, errors.Mark(err, ErrSoak)
	}
	s.play(ctx)
	s.ledger.checkRepeats(repeatRatio, repeatSlack, repeatWindow)
	r := s.report()
	if made && len(r.Broken) == 0 {
		if err := os.RemoveAll(o.Directory); err != nil {
			return r, errors.Mark(errors.Wrap(err, "remove directory"), ErrSoak)
		}
		r.Directory = ""
	}
	return r, nil
}

// start starts the store and the hosts and waits until all serve.
func (s *soak) start(ctx context.Context) error {
	s.begun = time.Now()
	var err error
	if s.store, err = startStore(s.options, s.addresses); err != nil {
		return err
	}
	if err := s.changeRoutes(ctx); err != nil {
		return err
	}
	for _, service := range services {
		for i := range s.options.Hosts {
			h, err := s.newHost(fmt.Sprintf("%s-%d", service, i+1), service)
			if err != nil {
				return err
			}
			s.hosts = append(s.hosts, h)
		}
	}
	if missing := s.awaitService(ctx, startTime); missing != "" {
		return errors.Newf("the fleet does not serve: %s", missing)
	}
	return nil
}

// play sends requests and injects faults until the time is over, and then has
// the fleet settle.
func (s *soak) play(ctx context.Context) {
	calling, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for _, h := range s.hosts {
		for i := range callersPerHost {
			callers.Go(func() { s.call(calling, h, rand.New(rand.NewPCG(s.options.Seed, uint64(len(h.name)*100+i)))) })
		}
	}
	pause(ctx, calmTime)
	s.inject(ctx)
	if missing := s.awaitService(ctx, settleTime); missing != "" && ctx.Err() == nil {
		s.ledger.broke("%s after the faults were over: %s", settleTime, missing)
	}
	stop()
	callers.Wait()
}

// awaitService waits until every node serves the newest routes, and says what
// is missing when the time is over.
func (s *soak) awaitService(ctx context.Context, limit time.Duration) string {
	missing := ""
	for until := time.Now().Add(limit); time.Now().Before(until) && ctx.Err() == nil; pause(ctx, 50*time.Millisecond) {
		missing = ""
		for _, h := range s.hosts {
			for _, service := range services {
				id := s.ledger.newID("probe")
				a := h.send(ctx, call{id: id, path: s.newestPath(service), service: service})
				if a.status != 200 {
					missing = fmt.Sprintf("%s answers %d %q for %s", h.name, a.status, a.body, s.newestPath(service))
				}
			}
		}
		if missing == "" {
			return ""
		}
	}
	return missing
}

// end ends all processes that the soak started.
func (s *soak) end() {
	for _, h := range s.hosts {
		h.end()
	}
	if s.store != nil {
		s.store.end()
	}
}

func (s *soak) report() *Report {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := s.ledger.report()
	r.Seed, r.Faults, r.Directory = s.options.Seed, s.faults, s.options.Directory
	return r
}

// note keeps a fault for the report.
func (s *soak) note(format string, values ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = append(s.faults, fmt.Sprintf("%6.2f s ", time.Since(s.begun).Seconds())+fmt.Sprintf(format, values...))
}

// pause waits, or returns early when ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
