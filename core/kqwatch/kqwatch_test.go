package kqwatch_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"kumquatlink/core/kqwatch"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Times of the simulation.
const (
	step       = 20 * time.Millisecond
	runLength  = 40 * time.Second
	faultBegin = 15 * time.Second
	faultEnd   = 24 * time.Second
	// longPollTime is how long one call waits for a change, and retryPause the
	// pause after a call that failed.
	longPollTime = 5 * time.Second
	retryPause   = time.Second
	// knownLimit is the time within which all nodes must know a change.
	knownLimit = 2500 * time.Millisecond
)

// member is one simulated node.
type member struct {
	name   string
	domain int
	watch  *kqwatch.Watch
	// alive reports whether the node runs, and refused whether the store
	// refuses its calls.
	alive   bool
	refused bool
	// connected reports whether the node currently watches the store with
	// success.
	connected bool
	nextCall  time.Duration
	updatedAt time.Duration
	version   int
}

// simulation is a fleet and its store, with the number of calls that the store
// got.
type simulation struct {
	members []*member
	down    bool
	version int
	calls   int
	now     time.Duration
}

func newSimulation(size, domains int) *simulation {
	s := &simulation{version: 1}
	names := make([][]string, domains)
	for i := range size {
		m := &member{name: fmt.Sprintf("node-%d", i), domain: i % domains, alive: true}
		names[m.domain] = append(names[m.domain], m.name)
		s.members = append(s.members, m)
	}
	for _, m := range s.members {
		m.watch = kqwatch.New(0, m.name)
		m.watch.SetCandidates(0, names[m.domain])
		s.start(m)
	}
	return s
}

// start starts a node, which reads the store once.
func (s *simulation) start(m *member) {
	s.calls++
	if !s.down && !m.refused {
		m.version = s.version
	}
}

// advance simulates one step.
func (s *simulation) advance() {
	s.now += step
	for _, m := range s.members {
		if !m.alive {
			continue
		}
		if m.connected && (s.down || m.refused) {
			m.connected, m.nextCall = false, s.now
		}
		if !m.watch.Advance(s.now) {
			m.connected = false
			continue
		}
		s.callStore(m)
		if m.connected && (s.now-m.updatedAt >= kqwatch.UpdatePeriod || m.version != s.version) {
			m.version, m.updatedAt = s.version, s.now
			s.sendUpdate(m)
		}
	}
}

// callStore makes the calls of a node that watches the store.
func (s *simulation) callStore(m *member) {
	switch {
	case s.now < m.nextCall:
	case s.down || m.refused:
		s.calls++
		m.nextCall = s.now + retryPause
	case !m.connected:
		s.calls += 2
		m.connected, m.nextCall = true, s.now+longPollTime
	default:
		s.calls++
		m.nextCall = s.now + longPollTime
	}
}

func (s *simulation) sendUpdate(from *member) {
	for _, m := range s.members {
		if m != from && m.alive && m.domain == from.domain {
			m.watch.RecordUpdate(s.now, from.name)
			m.version = max(m.version, from.version)
		}
	}
}

func (s *simulation) runUntil(end time.Duration) {
	for s.now < end {
		s.advance()
	}
}

// informed returns the fraction of the living nodes that know the newest
// version.
func (s *simulation) informed() float64 {
	alive, known := 0, 0
	for _, m := range s.members {
		if m.alive {
			alive++
		}
		if m.alive && m.version == s.version {
			known++
		}
	}
	return float64(known) / float64(alive)
}

// watchers lists the nodes of a failure domain that watch the store with
// success.
func (s *simulation) watchers(domain int) []*member {
	var list []*member
	for _, m := range s.members {
		if m.domain == domain && m.alive && m.connected {
			list = append(list, m)
		}
	}
	return list
}

// scenarios change the simulation at faultBegin and faultEnd.
var scenarios = []struct {
	name  string
	begin func(s *simulation, random *rand.Rand)
	end   func(s *simulation)
}{
	{"quiet", func(*simulation, *rand.Rand) {}, func(*simulation) {}},
	{"all watchers of a domain killed", func(s *simulation, _ *rand.Rand) {
		for _, m := range s.watchers(0) {
			m.alive = false
		}
	}, func(*simulation) {}},
	{"all watchers killed", func(s *simulation, _ *rand.Rand) {
		for d := range 9 {
			for _, m := range s.watchers(d) {
				m.alive = false
			}
		}
	}, func(*simulation) {}},
	{"store refuses a third", func(s *simulation, random *rand.Rand) {
		for _, m := range s.members {
			m.refused = random.IntN(3) == 0
		}
	}, func(s *simulation) {
		for _, m := range s.members {
			m.refused = false
		}
	}},
	{"store down", func(s *simulation, _ *rand.Rand) { s.down = true }, func(s *simulation) { s.down = false }},
	{"all nodes killed", func(s *simulation, _ *rand.Rand) {
		for _, m := range s.members {
			m.watch, m.connected = kqwatch.New(s.now, m.name), false
			names := []string{}
			for _, o := range s.members {
				if o.domain == m.domain {
					names = append(names, o.name)
				}
			}
			m.watch.SetCandidates(s.now, names)
			s.start(m)
		}
	}, func(*simulation) {}},
}

// TestStoreCallsGrowWithFailureDomains counts the calls that it takes to watch
// one kind of object, and measures when every node knows a change that is made
// right after a fault.
func TestStoreCallsGrowWithFailureDomains(t *testing.T) {
	var text strings.Builder
	fmt.Fprintf(&text, "%-34s %6s %8s %14s %18s\n", "scenario", "nodes", "domains", "calls per node", "change known, ms")
	for _, c := range scenarios {
		for _, size := range []struct{ nodes, domains int }{{24, 6}, {91, 9}, {196, 9}, {300, 9}} {
			s := newSimulation(size.nodes, size.domains)
			s.runUntil(faultBegin)
			c.begin(s, rand.New(rand.NewPCG(7, uint64(size.nodes))))
			known := s.publishChange()
			s.runUntil(faultEnd)
			c.end(s)
			s.runUntil(runLength)
			if got := s.informed(); got != 1 {
				t.Errorf("%s, %d nodes: fraction that knows the newest version at the end: got %.2f, want 1", c.name, size.nodes, got)
			}
			if c.name != "store down" && known > knownLimit {
				t.Errorf("%s, %d nodes: time until all know the change: got %s, want at most %s", c.name, size.nodes, known, knownLimit)
			}
			fmt.Fprintf(&text, "%-34s %6d %8d %14.2f %18d\n", c.name, size.nodes, size.domains, float64(s.calls)/float64(size.nodes), known.Milliseconds())
		}
	}
	golden(t, "calls.txt", text.String())
}

// publishChange makes a change and returns the time after which all nodes know
// it, or the length of the fault if that is shorter.
func (s *simulation) publishChange() time.Duration {
	s.version++
	changedAt := s.now
	for s.informed() < 1 && s.now < faultEnd {
		s.advance()
	}
	return s.now - changedAt
}

// TestLostWatchersAreReplaced stops one watcher of each failure domain after
// the other.
func TestLostWatchersAreReplaced(t *testing.T) {
	s := newSimulation(60, 3)
	s.runUntil(5 * time.Second)
	for range 17 {
		for d := range 3 {
			got := s.watchers(d)
			if len(got) != kqwatch.WatchersPerDomain {
				t.Fatalf("domain %d at %s: got %d watchers, want %d", d, s.now, len(got), kqwatch.WatchersPerDomain)
			}
			got[0].alive = false
		}
		s.runUntil(s.now + 6*time.Second)
	}
}

// TestReturningWatcherTakesOverAgain stops the first watcher in the order, and
// starts it again after its replacement.
func TestReturningWatcherTakesOverAgain(t *testing.T) {
	s := newSimulation(20, 1)
	s.runUntil(5 * time.Second)
	first := s.watchers(0)
	first[0].alive, first[0].connected = false, false
	s.runUntil(s.now + 3*time.Second)
	if got := s.watchers(0); len(got) != kqwatch.WatchersPerDomain || got[0] == first[0] && got[1] == first[1] {
		t.Fatalf("watchers after a loss: got %d or the same ones as before, want %d without the lost one", len(got), kqwatch.WatchersPerDomain)
	}
	first[0].alive = true
	s.runUntil(s.now + 2*kqwatch.StepDownDelay)
	if got := s.watchers(0); len(got) != kqwatch.WatchersPerDomain || got[0] != first[0] || got[1] != first[1] {
		t.Errorf("watchers after the return: got %d or other ones, want the two from before the loss", len(got))
	}
}

// TestDomainWaitsForWatchersThatHaveLostTheStore has all watchers say so. The next
// node must not wait until their updates time out.
func TestDomainWaitsForWatchersThatHaveLostTheStore(t *testing.T) {
	s := newSimulation(8, 1)
	s.runUntil(5 * time.Second)
	lost := s.watchers(0)
	for _, from := range lost {
		from.refused = true
		for _, m := range s.members {
			m.watch.RecordEnd(from.name)
		}
	}
	begun := s.now
	s.advance()
	for len(s.watchers(0)) == 0 && s.now-begun < kqwatch.UpdateTimeout {
		s.advance()
	}
	if got := s.now - begun; got >= kqwatch.UpdateTimeout {
		t.Errorf("time until another node watches the store: got %s, want less than the %s after which updates time out", got, kqwatch.UpdateTimeout)
	}
}

func golden(t *testing.T, name, got string) {
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
