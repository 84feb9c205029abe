package kqmesh_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqserver"
	"kumquatlink/core/kqwatch"
	"kumquatlink/io/kqmesh"
	"kumquatlink/io/kqstore"
)

// watches is whether a node watches the store.
func watches(s *kqmesh.State) bool { return s.Watching }

// watchers lists the hosts of a fleet that watch the store, by name.
func (f *fleet) watchers() []string {
	var names []string
	for name, h := range f.hosts {
		if watches(h.node.State()) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// awaitWatches waits until the watches that were to begin have done so, and
// gives their number.
func (f *fleet) awaitWatches() int64 {
	ticks := time.NewTicker(300 * time.Millisecond)
	defer ticks.Stop()
	before := int64(-1)
	for calls := f.store.Counts().Watches; calls != before; calls = f.store.Counts().Watches {
		before = calls
		<-ticks.C
	}
	return before
}

// domainOf starts hosts of one failure domain and waits until the right number
// of them watch.
func domainOf(t *testing.T, size int) *fleet {
	t.Helper()
	f := newFleet(t)
	f.write(1, route("/look/", "orders", false))
	for i := range size {
		f.add(fmt.Sprintf("orders-%d", i+1), "orders").say(kqserver.Ready)
	}
	f.settle(1, size)
	f.awaitLogged("node watches the store: true")
	for _, h := range f.hosts {
		f.until(h, "the start to be over", func(s *kqmesh.State) bool { return !s.Starting })
	}
	f.settle(1, size)
	return f
}

// TestOneNodeOfADomainTellsTheOthers changes routes and nodes while only some
// of the nodes watch the store.
func TestOneNodeOfADomainTellsTheOthers(t *testing.T) {
	f := domainOf(t, 6)
	watching := f.watchers()
	if len(watching) != kqwatch.WatchersPerDomain {
		t.Fatalf("nodes that watch: got %v, want %d", watching, kqwatch.WatchersPerDomain)
	}
	calls := f.awaitWatches()
	f.write(2, route("/look/", "orders", false), route("/more/", "orders", false))
	f.settle(2, 6)
	f.hosts["orders-3"].say(kqserver.Draining)
	f.settle(2, 5)
	if got := f.store.Counts().Watches - calls; got != 0 {
		t.Errorf("new watches of the store for two changes: got %d, want none", got)
	}
	joined := f.add("orders-7", "orders")
	joined.say(kqserver.Ready)
	f.settle(2, 6)
}

// TestWatchersThatEndAreReplaced stops all that watch and changes the routes
// in that moment, until one node is left.
func TestWatchersThatEndAreReplaced(t *testing.T) {
	f := domainOf(t, 5)
	for version := int64(2); len(f.hosts) > 1; version++ {
		for _, name := range f.watchers() {
			if len(f.hosts) > 1 {
				f.hosts[name].node.Stop()
				delete(f.hosts, name)
			}
		}
		f.write(version, route("/look/", "orders", false))
		for _, h := range f.hosts {
			f.until(h, "the routes", func(s *kqmesh.State) bool { return s.Routes.Document().Version == version })
		}
	}
}

// turnedAway gives a client that the store serves until the switch is set.
func turnedAway(inner *kqstore.Client, away *atomic.Bool) *kqstore.Client {
	unavailable := errors.Mark(errors.New("turned away"), kqstore.ErrUnavailable)
	c := *inner
	c.List = func(ctx context.Context, kind string) ([]kqstore.Object, string, error) {
		if away.Load() {
			return nil, "", unavailable
		}
		return inner.List(ctx, kind)
	}
	c.Watch = func(ctx context.Context, kind, name, version string, take func(kqstore.Object) error) error {
		watching, cancel := context.WithCancel(ctx)
		defer cancel()
		go func() {
			ticks := time.NewTicker(10 * time.Millisecond)
			defer ticks.Stop()
			for !away.Load() && watching.Err() == nil {
				<-ticks.C
			}
			cancel()
		}()
		err := inner.Watch(watching, kind, name, version, take)
		if away.Load() {
			return unavailable
		}
		return err
	}
	return &c
}

// TestWatcherThatTheStoreTurnsAwayLearnsFromTheOthers has the store turn away
// both nodes that watch, and changes the routes.
func TestWatcherThatTheStoreTurnsAwayLearnsFromTheOthers(t *testing.T) {
	f := newFleet(t)
	f.write(1, route("/look/", "orders", false))
	switches := map[string]*atomic.Bool{}
	f.wrap = func(name string, c *kqstore.Client) *kqstore.Client {
		switches[name] = &atomic.Bool{}
		return turnedAway(c, switches[name])
	}
	for _, name := range []string{"orders-1", "orders-2", "orders-3", "orders-4"} {
		f.add(name, "orders").say(kqserver.Ready)
	}
	f.settle(1, 4)
	for _, h := range f.hosts {
		f.until(h, "the start to be over", func(s *kqmesh.State) bool { return !s.Starting })
	}
	f.awaitLogged("node watches the store: true")
	for _, name := range f.watchers() {
		switches[name].Store(true)
	}
	f.write(2, route("/look/", "orders", false))
	f.settle(2, 4)
	joined := f.add("orders-5", "orders")
	joined.say(kqserver.Ready)
	f.settle(2, 5)
}
