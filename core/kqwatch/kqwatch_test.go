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

var update = flag.Bool("update", false, "write the golden files anew")

// Times of the simulated fleet.
const (
	step       = 20 * time.Millisecond
	day        = 40 * time.Second
	faultBegin = 15 * time.Second
	faultEnd   = 24 * time.Second
	// waits is how long one call waits for a change, and retryPause the pause
	// behind one that failed.
	waits      = 5 * time.Second
	retryPause = time.Second
	// inForce is within what a change must be known by all.
	inForce = 2500 * time.Millisecond
)

// member is one simulated node.
type member struct {
	name   string
	domain int
	watch  *kqwatch.Watch
	// alive is whether it runs, turned whether the store turns it away.
	alive  bool
	turned bool
	// contact is whether its watch of the store stands.
	contact bool
	next    time.Duration
	told    time.Duration
	version int
}

// world is a fleet, its store and the calls that it got.
type world struct {
	members []*member
	down    bool
	version int
	calls   int
	now     time.Duration
}

func newWorld(size, domains int) *world {
	w := &world{version: 1}
	names := make([][]string, domains)
	for i := range size {
		m := &member{name: fmt.Sprintf("node-%d", i), domain: i % domains, alive: true}
		names[m.domain] = append(names[m.domain], m.name)
		w.members = append(w.members, m)
	}
	for _, m := range w.members {
		m.watch = kqwatch.New(0, m.name)
		m.watch.SetCandidates(0, names[m.domain])
		w.begin(m)
	}
	return w
}

// begin starts a node, which reads the store once.
func (w *world) begin(m *member) {
	w.calls++
	if !w.down && !m.turned {
		m.version = w.version
	}
}

// advance lets one step pass.
func (w *world) advance() {
	w.now += step
	for _, m := range w.members {
		if !m.alive {
			continue
		}
		if m.contact && (w.down || m.turned) {
			m.contact, m.next = false, w.now
		}
		if !m.watch.Advance(w.now) {
			m.contact = false
			continue
		}
		w.follow(m)
		if m.contact && (w.now-m.told >= kqwatch.UpdatePeriod || m.version != w.version) {
			m.version, m.told = w.version, w.now
			w.tell(m)
		}
	}
}

// follow makes the calls of a node that watches.
func (w *world) follow(m *member) {
	switch {
	case w.now < m.next:
	case w.down || m.turned:
		w.calls++
		m.next = w.now + retryPause
	case !m.contact:
		w.calls += 2
		m.contact, m.next = true, w.now+waits
	default:
		w.calls++
		m.next = w.now + waits
	}
}

func (w *world) tell(from *member) {
	for _, m := range w.members {
		if m != from && m.alive && m.domain == from.domain {
			m.watch.RecordUpdate(w.now, from.name)
			m.version = max(m.version, from.version)
		}
	}
}

func (w *world) until(end time.Duration) {
	for w.now < end {
		w.advance()
	}
}

// informed is the part of the living nodes that know the newest version.
func (w *world) informed() float64 {
	alive, known := 0, 0
	for _, m := range w.members {
		if m.alive {
			alive++
		}
		if m.alive && m.version == w.version {
			known++
		}
	}
	return float64(known) / float64(alive)
}

// watchers lists the nodes of a failure domain that have contact.
func (w *world) watchers(domain int) []*member {
	var list []*member
	for _, m := range w.members {
		if m.domain == domain && m.alive && m.contact {
			list = append(list, m)
		}
	}
	return list
}

// scenarios change the world at faultBegin and faultEnd.
var scenarios = []struct {
	name  string
	begin func(w *world, random *rand.Rand)
	end   func(w *world)
}{
	{"quiet", func(*world, *rand.Rand) {}, func(*world) {}},
	{"all watchers of a domain killed", func(w *world, _ *rand.Rand) {
		for _, m := range w.watchers(0) {
			m.alive = false
		}
	}, func(*world) {}},
	{"all watchers killed", func(w *world, _ *rand.Rand) {
		for d := range 9 {
			for _, m := range w.watchers(d) {
				m.alive = false
			}
		}
	}, func(*world) {}},
	{"store turns a third away", func(w *world, random *rand.Rand) {
		for _, m := range w.members {
			m.turned = random.IntN(3) == 0
		}
	}, func(w *world) {
		for _, m := range w.members {
			m.turned = false
		}
	}},
	{"store down", func(w *world, _ *rand.Rand) { w.down = true }, func(w *world) { w.down = false }},
	{"all nodes killed", func(w *world, _ *rand.Rand) {
		for _, m := range w.members {
			m.watch, m.contact = kqwatch.New(w.now, m.name), false
			names := []string{}
			for _, o := range w.members {
				if o.domain == m.domain {
					names = append(names, o.name)
				}
			}
			m.watch.SetCandidates(w.now, names)
			w.begin(m)
		}
	}, func(*world) {}},
}

// TestCallsOfTheStoreFollowTheFailureDomains counts the calls that watching one
// kind of object takes, and when a change that comes right behind a fault is
// known by every node.
func TestCallsOfTheStoreFollowTheFailureDomains(t *testing.T) {
	var text strings.Builder
	fmt.Fprintf(&text, "%-34s %6s %8s %14s %18s\n", "scenario", "nodes", "domains", "calls a node", "change known, ms")
	for _, c := range scenarios {
		for _, size := range []struct{ nodes, domains int }{{24, 6}, {91, 9}, {196, 9}, {300, 9}} {
			w := newWorld(size.nodes, size.domains)
			w.until(faultBegin)
			c.begin(w, rand.New(rand.NewPCG(7, uint64(size.nodes))))
			known := w.change()
			w.until(faultEnd)
			c.end(w)
			w.until(day)
			if got := w.informed(); got != 1 {
				t.Errorf("%s, %d nodes: got %.2f of them informed at the end, want all", c.name, size.nodes, got)
			}
			if c.name != "store down" && known > inForce {
				t.Errorf("%s, %d nodes: got the change known after %s, want at most %s", c.name, size.nodes, known, inForce)
			}
			fmt.Fprintf(&text, "%-34s %6d %8d %14.2f %18d\n", c.name, size.nodes, size.domains, float64(w.calls)/float64(size.nodes), known.Milliseconds())
		}
	}
	golden(t, "calls.txt", text.String())
}

// change makes a change and gives the time after which all nodes know it, or
// the length of the fault.
func (w *world) change() time.Duration {
	w.version++
	begun := w.now
	for w.informed() < 1 && w.now < faultEnd {
		w.advance()
	}
	return w.now - begun
}

// TestEachDomainHasItsWatchers lets watchers fail one after the other.
func TestEachDomainHasItsWatchers(t *testing.T) {
	w := newWorld(60, 3)
	w.until(5 * time.Second)
	for range 17 {
		for d := range 3 {
			got := w.watchers(d)
			if len(got) != kqwatch.WatchersPerDomain {
				t.Fatalf("domain %d at %s: got %d watchers, want %d", d, w.now, len(got), kqwatch.WatchersPerDomain)
			}
			got[0].alive = false
		}
		w.until(w.now + 6*time.Second)
	}
}

// TestWatcherThatReturnsIsLeftToIt has the first of the order come back.
func TestWatcherThatReturnsIsLeftToIt(t *testing.T) {
	w := newWorld(20, 1)
	w.until(5 * time.Second)
	first := w.watchers(0)
	first[0].alive, first[0].contact = false, false
	w.until(w.now + 3*time.Second)
	if got := w.watchers(0); len(got) != kqwatch.WatchersPerDomain || got[0] == first[0] && got[1] == first[1] {
		t.Fatalf("watchers after a loss: got %d with the lost one, want %d others", len(got), kqwatch.WatchersPerDomain)
	}
	first[0].alive = true
	w.until(w.now + 2*kqwatch.StepDownDelay)
	if got := w.watchers(0); len(got) != kqwatch.WatchersPerDomain || got[0] != first[0] || got[1] != first[1] {
		t.Errorf("watchers after the return: got %d, want the two of before", len(got))
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
