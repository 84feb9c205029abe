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

// isWatching reports whether a node watches the store.
func isWatching(s *kqmesh.State) bool { return s.Watching }

// watchers lists the names of the hosts that watch the store, sorted.
func (f *fleet) watchers() []string {
	var names []string
	for name, h := range f.hosts {
		if isWatching(h.node.State()) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// awaitWatches waits until no more watches of the store begin, and returns how
// many have begun.
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

// startDomain starts hosts in one failure domain and waits until their watchers
// are settled.
func startDomain(t *testing.T, size int) *fleet {
	t.Helper()
	f := newFleet(t)
	f.writeRoutes(1, route("/look/", "orders", false))
	for i := range size {
		f.add(fmt.Sprintf("orders-%d", i+1), "orders").reportState(kqserver.Ready)
	}
	f.awaitConvergence(1, size)
	f.awaitLogged("node watches the store: true")
	for _, h := range f.hosts {
		f.awaitState(h, "the start to be over", func(s *kqmesh.State) bool { return !s.Starting })
	}
	f.awaitConvergence(1, size)
	return f
}

// TestWatchersUpdateTheOtherNodes changes routes and nodes while only some of the
// nodes watch the store. All nodes must learn of the changes without opening a
// watch of their own.
func TestWatchersUpdateTheOtherNodes(t *testing.T) {
	f := startDomain(t, 6)
	watching := f.watchers()
	if len(watching) != kqwatch.WatchersPerDomain {
		t.Fatalf("nodes that watch the store: got %v, want %d of them", watching, kqwatch.WatchersPerDomain)
	}
	calls := f.awaitWatches()
	f.writeRoutes(2, route("/look/", "orders", false), route("/more/", "orders", false))
	f.awaitConvergence(2, 6)
	f.hosts["orders-3"].reportState(kqserver.Draining)
	f.awaitConvergence(2, 5)
	if got := f.store.Counts().Watches - calls; got != 0 {
		t.Errorf("new watches of the store for two changes: got %d, want none", got)
	}
	joined := f.add("orders-7", "orders")
	joined.reportState(kqserver.Ready)
	f.awaitConvergence(2, 6)
}

// TestStoppedWatchersAreReplaced stops all watchers and then changes the routes,
// again and again until one node is left. The nodes that are left must learn of
// each change.
func TestStoppedWatchersAreReplaced(t *testing.T) {
	f := startDomain(t, 5)
	for version := int64(2); len(f.hosts) > 1; version++ {
		for _, name := range f.watchers() {
			if len(f.hosts) > 1 {
				f.hosts[name].node.Stop()
				delete(f.hosts, name)
			}
		}
		f.writeRoutes(version, route("/look/", "orders", false))
		for _, h := range f.hosts {
			f.awaitState(h, "the routes", func(s *kqmesh.State) bool { return s.Routes.Document().Version == version })
		}
	}
}

// rejectingClient returns a store client whose lists and watches fail as
// unavailable once the switch is set.
func rejectingClient(inner *kqstore.Client, rejected *atomic.Bool) *kqstore.Client {
	unavailable := errors.Mark(errors.New("rejected by the test"), kqstore.ErrUnavailable)
	c := *inner
	c.List = func(ctx context.Context, kind string) ([]kqstore.Object, string, error) {
		if rejected.Load() {
			return nil, "", unavailable
		}
		return inner.List(ctx, kind)
	}
	c.Watch = func(ctx context.Context, kind, name, version string, take func(kqstore.Object) error) error {
		watchCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		go func() {
			ticks := time.NewTicker(10 * time.Millisecond)
			defer ticks.Stop()
			for !rejected.Load() && watchCtx.Err() == nil {
				<-ticks.C
			}
			cancel()
		}()
		err := inner.Watch(watchCtx, kind, name, version, take)
		if rejected.Load() {
			return unavailable
		}
		return err
	}
	return &c
}

// TestRejectedWatchersLearnFromOtherNodes lets the store reject all watchers and
// then changes the routes and adds a node. All nodes, the former watchers among
// them, must learn of both through the nodes that the store still serves.
func TestRejectedWatchersLearnFromOtherNodes(t *testing.T) {
	f := newFleet(t)
	f.writeRoutes(1, route("/look/", "orders", false))
	switches := map[string]*atomic.Bool{}
	f.wrap = func(name string, c *kqstore.Client) *kqstore.Client {
		switches[name] = &atomic.Bool{}
		return rejectingClient(c, switches[name])
	}
	for _, name := range []string{"orders-1", "orders-2", "orders-3", "orders-4"} {
		f.add(name, "orders").reportState(kqserver.Ready)
	}
	f.awaitConvergence(1, 4)
	for _, h := range f.hosts {
		f.awaitState(h, "the start to be over", func(s *kqmesh.State) bool { return !s.Starting })
	}
	f.awaitLogged("node watches the store: true")
	for _, name := range f.watchers() {
		switches[name].Store(true)
	}
	f.writeRoutes(2, route("/look/", "orders", false))
	f.awaitConvergence(2, 4)
	joined := f.add("orders-5", "orders")
	joined.reportState(kqserver.Ready)
	f.awaitConvergence(2, 5)
}

// silentClient returns a store client whose calls hear nothing any more, without an
// error, once the switch is set. A watch that is open stays open.
func silentClient(inner *kqstore.Client, silent *atomic.Bool) *kqstore.Client {
	c := *inner
	var silentSince atomic.Int64
	c.HeardAt = func() time.Time {
		if !silent.Load() {
			return inner.HeardAt()
		}
		silentSince.CompareAndSwap(0, inner.HeardAt().UnixNano())
		return time.Unix(0, silentSince.Load())
	}
	c.List = func(ctx context.Context, kind string) ([]kqstore.Object, string, error) {
		if silent.Load() {
			<-ctx.Done()
			return nil, "", errors.Mark(ctx.Err(), kqstore.ErrUnavailable)
		}
		return inner.List(ctx, kind)
	}
	c.Watch = func(ctx context.Context, kind, name, version string, take func(kqstore.Object) error) error {
		return inner.Watch(ctx, kind, name, version, func(o kqstore.Object) error {
			if silent.Load() {
				return nil
			}
			return take(o)
		})
	}
	return &c
}

// TestDomainWithSilentStoreMissesNewRoutes changes the routes while the store is
// silent for all nodes of a failure domain, whose watchers do not notice. There is no
// traffic, by which the nodes could learn of the change.
func TestDomainWithSilentStoreMissesNewRoutes(t *testing.T) {
	f := newFleet(t)
	f.writeRoutes(1, route("/look/", "orders", false))
	var silent atomic.Bool
	for i := range 5 {
		f.add(fmt.Sprintf("orders-%d", i+1), "orders").reportState(kqserver.Ready)
	}
	f.wrap = func(_ string, c *kqstore.Client) *kqstore.Client { return silentClient(c, &silent) }
	for i := range 5 {
		f.addIn("north", fmt.Sprintf("packs-%d", i+1), "packs").reportState(kqserver.Ready)
	}
	f.awaitConvergence(1, 10)
	for _, h := range f.hosts {
		f.awaitState(h, "the start to be over", func(s *kqmesh.State) bool { return !s.Starting })
	}
	silent.Store(true)
	f.writeRoutes(2, route("/look/", "orders", false))
	f.awaitConvergence(2, 10)
}

// TestWatchersThatHearNothingKeepOthersFromAsking has the watches of all watchers of a
// failure domain stay open and hear nothing, as on connections that are silent. They
// must say so, for another node to ask the store, and learn from that one.
func TestWatchersThatHearNothingKeepOthersFromAsking(t *testing.T) {
	f := newFleet(t)
	f.writeRoutes(1, route("/look/", "orders", false))
	switches := map[string]*atomic.Bool{}
	f.wrap = func(name string, c *kqstore.Client) *kqstore.Client {
		switches[name] = &atomic.Bool{}
		return silentClient(c, switches[name])
	}
	for i := range 4 {
		f.add(fmt.Sprintf("orders-%d", i+1), "orders").reportState(kqserver.Ready)
	}
	f.awaitConvergence(1, 4)
	for _, h := range f.hosts {
		f.awaitState(h, "the start to be over", func(s *kqmesh.State) bool { return !s.Starting })
	}
	// A node that has not told anything yet does not say that it tells nothing any more.
	f.awaitLines(kqwatch.WatchersPerDomain, "node tells its failure domain what the store holds: true")
	for _, name := range f.watchers() {
		switches[name].Store(true)
	}
	f.writeRoutes(2, route("/look/", "orders", false))
	f.awaitConvergence(2, 4)
	f.awaitLogged("node tells its failure domain what the store holds: false")
}
