// Package kqsoak runs nodes and the store stand-in as separate processes on
// one machine, sends requests through them, injects faults from outside, and
// checks the system's guarantees from what callers and backend servers see.
//
// # Usage
//
//	report, err := kqsoak.Run(ctx, kqsoak.Options{Program: path, Seed: 7, Length: 15 * time.Second})
//	for _, violation := range report.Broken { ... }
//
// The seed decides which faults are injected and when:
//   - nodes are terminated, killed, paused and restarted, and reload settings;
//   - a proxy on loopback delays, trickles, resets, refuses or blackholes
//     connections to nodes and backend servers, also in one direction only, and
//     blackholes connections to the store;
//   - the store is down, slow or paused, loses answers or ends its watches;
//   - backend servers drain, leave without draining, crash, are replaced, are
//     slow, and lose, truncate or duplicate answers;
//   - backend servers name limits on requests a second in their answers, change
//     and end them, while other faults affect their hosts;
//   - a request that comes again and again crashes each server that runs it;
//   - the routes change;
//   - the store is restored from a copy, and makes writes late;
//   - keys of teams are given and withdrawn, quotas change, and a team sends far
//     more than its quota.
//
// Faults overlap and follow each other. Timing differs between runs, so a seed
// fixes the schedule of faults but is not an exact replay.
//
// The guarantees that are checked:
//   - a request that must not run twice does not;
//   - a request whose caller was told that it was not run has not run and never
//     does;
//   - each caller receives the whole answer to its own request, and in time; a
//     503 says when to try again;
//   - a backend server whose node acknowledged that it drains receives no
//     requests after its drain time;
//   - a planned shutdown of a node interrupts no request;
//   - the repeats of all nodes together stay within the bound;
//   - a backend server that names a limit gets no more requests than that allows;
//   - the request that crashes servers is soon kept from them;
//   - no key reaches a backend server, which learns the name of the team that holds
//     it, and a key that no team holds runs nothing;
//   - a team runs no more than its quota allows, on all nodes together;
//   - once the faults are over, every node serves the newest routes.
package kqsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrSoak marks all errors of this package.
var ErrSoak = errors.New("soak failed")

// Size and timing of a soak.
const (
	hostsPerService = 3
	callersPerHost  = 2
	// warmupTime is how long requests run before the first fault.
	warmupTime = time.Second
	// recoveryTimeout is how long the fleet may take after the last fault until
	// every node serves again.
	recoveryTimeout = 15 * time.Second
	// startTimeout is how long the fleet may take until every node serves.
	startTimeout = 20 * time.Second
)

// services are the services of a soak. Requests to the first make onward calls
// to the second.
var services = []string{"orders", "licensing"}

// Options configures a soak.
type Options struct {
	// Program is the path of the kumquatlink program.
	Program string
	Seed    uint64
	// Length is how long faults are injected.
	Length time.Duration
	// Directory holds settings and logs. If it is empty, a temporary directory
	// is created, and removed after a run without violated guarantees.
	Directory string
	// Hosts is how many hosts each service has; 0 means the default.
	Hosts int
}

// Report holds the results of a soak.
type Report struct {
	Seed     uint64
	Requests int
	Answers  map[int]int
	Runs     int
	// Repeats counts the requests that backend servers received again, and the
	// onward calls of repeated runs.
	Repeats int
	Faults  []string
	// Broken lists the violated guarantees.
	Broken []string
	// Directory holds the logs. It is empty if they were removed.
	Directory string
}

// soak is the state of one run.
type soak struct {
	options   Options
	random    *rand.Rand
	startedAt time.Time
	// addresses allocates the addresses of the store and the nodes, which must
	// stay the same when their processes restart.
	addresses *addressAllocator
	store     *storeProcess
	hosts     []*host
	ledger    *ledger
	deadly    deadlyRuns
	teams     teams
	// acceptErrors counts how often a stand-in took no connection for a moment.
	acceptErrors atomic.Int64

	// operator is held while routes are written.
	operator sync.Mutex

	mutex  sync.Mutex
	events []string
	// routes is the version of the routes last written.
	routes int64
	// lastServer is the number of the last backend server that was started, and
	// servers are all of them.
	lastServer int
	servers    []*server
}

// Run runs a soak and returns its results. A violated guarantee is no error; it
// is listed in the report. All errors are marked ErrSoak.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Hosts == 0 {
		o.Hosts = hostsPerService
	}
	temporary := o.Directory == ""
	if temporary {
		directory, err := os.MkdirTemp("", "kumquatlink-soak-")
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "make directory"), ErrSoak)
		}
		o.Directory = directory
	}
	s := &soak{options: o, random: rand.New(rand.NewPCG(o.Seed, 0)), ledger: newLedger(), addresses: newAddressAllocator()}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return nil, errors.Mark(err, ErrSoak)
	}
	s.runLoad(ctx)
	s.ledger.checkRepeats(repeatRatio, repeatSlack, repeatWindow)
	s.checkLimits()
	s.teams.checkQuotas(s.ledger)
	r := s.report()
	if temporary && len(r.Broken) == 0 {
		if err := os.RemoveAll(o.Directory); err != nil {
			return r, errors.Mark(errors.Wrap(err, "remove directory"), ErrSoak)
		}
		r.Directory = ""
	}
	return r, nil
}

// start starts the store and the hosts and waits until all serve.
func (s *soak) start(ctx context.Context) error {
	s.startedAt = time.Now()
	var err error
	if s.store, err = startStore(s.options, s.addresses, s.recordAcceptError); err != nil {
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
	if missing := s.awaitService(ctx, startTimeout); missing != "" {
		return errors.Newf("the fleet does not serve: %s", missing)
	}
	return nil
}

// runLoad sends requests while faults are injected, and then waits until every
// node serves again.
func (s *soak) runLoad(ctx context.Context) {
	calling, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for _, h := range s.hosts {
		for i := range callersPerHost {
			callers.Go(func() { s.runCaller(calling, h, rand.New(rand.NewPCG(s.options.Seed, uint64(len(h.name)*100+i)))) })
		}
	}
	callers.Go(func() { s.runOperator(calling) })
	for i, h := range s.hosts {
		callers.Go(func() { s.runTeamCaller(calling, h, rand.New(rand.NewPCG(s.options.Seed, uint64(teamStream+i)))) })
	}
	sleep(ctx, warmupTime)
	s.inject(ctx)
	if missing := s.awaitService(ctx, recoveryTimeout); missing != "" && ctx.Err() == nil {
		s.ledger.recordViolation("not all nodes serve %s after the last fault: %s", recoveryTimeout, missing)
	}
	s.checkKeys(ctx)
	stop()
	callers.Wait()
}

// awaitService waits until every node serves the newest routes. It returns an
// empty string, or the last wrong answer if the time is over.
func (s *soak) awaitService(ctx context.Context, limit time.Duration) string {
	missing := ""
	for until := time.Now().Add(limit); time.Now().Before(until) && ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
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
			missing = s.missingRecord(ctx)
		}
		if missing == "" {
			return ""
		}
	}
	return missing
}

// close ends all processes that the soak started.
func (s *soak) close() {
	for _, h := range s.hosts {
		h.close()
	}
	if s.store != nil {
		s.store.close()
	}
	s.addresses.close()
}

func (s *soak) report() *Report {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := s.ledger.report()
	r.Seed, r.Faults, r.Directory = s.options.Seed, s.events, s.options.Directory
	return r
}

// recordEvent adds a fault or a failed injection to the report, with the time
// since the start of the soak.
func (s *soak) recordEvent(format string, values ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.events = append(s.events, fmt.Sprintf("%6.2f s ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, values...))
}

// recordAcceptError adds to the report the first error for which a stand-in took no
// connection for a moment. More of them would hide the faults.
func (s *soak) recordAcceptError(err error) {
	if err != nil && s.acceptErrors.Add(1) == 1 {
		s.recordEvent("a stand-in accepts no connection for a moment: %v", err)
	}
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
