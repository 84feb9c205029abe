package kqmesh_test

import (
	"fmt"
	"slices"
	"testing"

	"kumquatlink/core/kqserver"
	"kumquatlink/core/kqwatch"
	"kumquatlink/io/kqmesh"
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
	if len(watching) != kqwatch.Watchers {
		t.Fatalf("nodes that watch: got %v, want %d", watching, kqwatch.Watchers)
	}
	calls := f.store.Counts().Watches
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
