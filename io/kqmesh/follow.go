package kqmesh

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqbackoff"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqstore"
)

// followBackoff bounds the pauses between two tries to follow the store. The
// longest is well within the time in which a change has to be in force.
var followBackoff = kqbackoff.Pause{First: 100 * time.Millisecond, Max: time.Second}

// listTimeout bounds reading a kind, page by page.
const listTimeout = 3 * time.Second

// followedKind is a kind of objects that the node follows.
type followedKind struct {
	kind string
	// list takes all objects of the kind, and take one that changed.
	list func([]kqstore.Object)
	take func(kqstore.Object)
	// needed is whether the node is to follow the store itself, by its state.
	needed func(*State) bool
	// stale is whether the node can do with data that are some seconds old.
	stale func(*State) bool
	// stands is set while a watch stands.
	stands *atomic.Bool
}

// followKind lists a kind and watches it from there on while that is needed, for as
// long as ctx lasts. It is listed once in any case.
func (n *Node) followKind(ctx context.Context, f followedKind) {
	failures, listed := 0, false
	for ctx.Err() == nil {
		if listed {
			// The end of ctx is the only way for this to fail.
			_ = n.WaitFor(ctx, f.needed)
		}
		reading := ctx
		stale := f.stale(n.State())
		if stale {
			reading = kqstore.AllowStale(ctx)
		}
		listing, cancel := context.WithTimeout(reading, listTimeout)
		objects, version, err := n.store.List(listing, f.kind)
		cancel()
		if err == nil {
			failures, listed = 0, true
			f.list(objects)
			err = n.watchWhile(reading, f, version, func(s *State) bool { return f.needed(s) && (!stale || f.stale(s)) })
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			continue
		}
		failures++
		n.logEvent(eventWatchEnded, "watch of "+f.kind+" ended: listing again", err, kqlog.Text(fieldKind, f.kind))
		sleep(ctx, followBackoff.After(failures, n.randomFraction()))
	}
}

// watchWhile watches a kind while the node's state meets a condition. The error
// is that of a watch that ended by itself.
func (n *Node) watchWhile(ctx context.Context, f followedKind, version string, condition func(*State) bool) error {
	if !condition(n.State()) {
		return nil
	}
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// Its end is that of the watch.
		_ = n.WaitFor(watching, func(s *State) bool { return !condition(s) })
		cancel()
	}()
	f.stands.Store(true)
	defer f.stands.Store(false)
	err := n.store.Watch(watching, f.kind, "", version, func(o kqstore.Object) error {
		f.take(o)
		return nil
	})
	if watching.Err() != nil {
		return nil
	}
	return err
}

// followRoutes keeps the routes in force up to date.
func (n *Node) followRoutes(ctx context.Context) {
	take := func(o kqstore.Object) {
		if o.Name == n.settings.RoutesName && !o.Deleted {
			n.offerRoutes(o.Value, "the store")
		}
	}
	n.followKind(ctx, followedKind{
		kind: n.settings.RoutesKind, take: take, stands: &n.routesWatched,
		list: func(objects []kqstore.Object) {
			for _, o := range objects {
				take(o)
			}
		},
		needed: func(s *State) bool { return s.Watching || s.Routes == nil },
		// When the whole fleet starts for the first time no routes are older
		// than the first ones, and those who watch tell of the next.
		stale: func(s *State) bool { return n.settings.FirstStart && s.Routes == nil },
	})
}

// offerRoutes decodes routes and hands them to control if they have no fault.
func (n *Node) offerRoutes(text []byte, from string) {
	d, err := n.dialect.ReadRoutes(text)
	if err != nil {
		n.logEvent(eventRoutesUnreadable, "routes from "+from+" can't be read", err, kqlog.Text(fieldSource, from))
		return
	}
	if faults := d.Check(); len(faults) > 0 {
		n.logEvent(eventRoutesFaulty, "routes from "+from+" have faults, the first: "+faults[0].String(), nil, kqlog.Text(fieldSource, from), kqlog.Text("Detail", faults[0].String()))
		return
	}
	done := make(chan struct{})
	n.control.send(routesEvent{document: d, text: text, source: from, done: done})
	select {
	case <-done:
	case <-n.control.stopped:
	}
}

// followHosts keeps the list of nodes up to date.
func (n *Node) followHosts(ctx context.Context) {
	list := func(objects []kqstore.Object) {
		all := map[string]HostRecord{}
		for _, o := range objects {
			if h, err := decodeHost(o); err != nil {
				n.logEvent(eventHostIgnored, "record of node "+o.Name+" is ignored", err, kqlog.Text(fieldHost, o.Name))
			} else {
				all[h.NodeID] = h
			}
		}
		n.control.send(hostsEvent{all: all})
	}
	take := func(o kqstore.Object) {
		if o.Deleted {
			n.control.send(hostEvent{name: o.Name, removed: true})
			return
		}
		h, err := decodeHost(o)
		if err != nil {
			n.logEvent(eventHostIgnored, "record of node "+o.Name+" is ignored", err, kqlog.Text(fieldHost, o.Name))
			return
		}
		n.control.send(hostEvent{name: o.Name, record: h})
	}
	n.followKind(ctx, followedKind{
		kind: kqstore.KindHosts, list: list, take: take, stands: &n.hostsWatched,
		needed: func(s *State) bool { return s.Watching || s.Starting || !s.HostsKnown },
		// The records of nodes are hints, which gates correct.
		stale: func(*State) bool { return true },
	})
}

// decodeHost decodes a node's record, which another writer may have spoilt.
func decodeHost(o kqstore.Object) (HostRecord, error) {
	var h HostRecord
	if err := json.Unmarshal(o.Value, &h); err != nil {
		return h, errors.Mark(errors.Wrap(err, "read record"), ErrNode)
	}
	if h.NodeID != o.Name || h.Address == "" {
		return h, errors.Mark(errors.Newf("record names node %q at %q", h.NodeID, h.Address), ErrNode)
	}
	return h, nil
}

// randomFraction is a random number in [0, 1).
func (n *Node) randomFraction() float64 {
	return float64(n.random()>>11) / (1 << 53)
}
