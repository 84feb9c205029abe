package kqmesh

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqbackoff"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqstore"
)

// followBackoff bounds the pauses between two attempts to list and watch the
// store. The longest is well within the time in which a change has to be in
// force.
var followBackoff = kqbackoff.Pause{First: 100 * time.Millisecond, Max: time.Second}

// listTimeout bounds listing all pages of a kind.
const listTimeout = 3 * time.Second

// portBits is the size of a TCP port.
const portBits = 16

// sourceStore names the store as the source of routes.
const sourceStore = "the store"

// followedKind describes a kind of objects that the node lists and watches.
type followedKind struct {
	kind string
	// onList is called with all objects of the kind and the version of the list,
	// and onChange with one that changed or was deleted.
	onList   func(objects []kqstore.Object, version string)
	onChange func(kqstore.Object)
	// needed reports whether the node has to watch the store itself. If not, it
	// learns of changes from the watchers of its failure domain.
	needed func(*State) bool
	// stale reports whether data that are some seconds old are good enough.
	stale func(*State) bool
	// watched is set while a watch is open.
	watched *atomic.Bool
}

// followKind lists a kind once, whether that is needed or not. Then, until ctx
// ends, it watches the kind while that is needed, and lists it again after each
// watch that ended.
func (n *Node) followKind(ctx context.Context, f followedKind) {
	failures, listed := 0, false
	for ctx.Err() == nil {
		if listed {
			// It fails only when ctx ends.
			_ = n.WaitFor(ctx, f.needed)
		}
		listCtx := ctx
		stale := f.stale(n.State())
		if stale {
			listCtx = kqstore.AllowStale(ctx)
		}
		timeoutCtx, cancel := context.WithTimeout(listCtx, listTimeout)
		objects, version, err := n.store.List(timeoutCtx, f.kind)
		cancel()
		if err == nil {
			failures, listed = 0, true
			f.onList(objects, version)
			err = n.watchWhile(listCtx, f, version, func(s *State) bool { return f.needed(s) && (!stale || f.stale(s)) })
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

// watchWhile watches a kind while the node's state meets a condition. It returns
// an error only if the watch ended by itself.
func (n *Node) watchWhile(ctx context.Context, f followedKind, version string, condition func(*State) bool) error {
	if !condition(n.State()) {
		return nil
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// It fails only when the watch has ended.
		_ = n.WaitFor(watchCtx, func(s *State) bool { return !condition(s) })
		cancel()
	}()
	f.watched.Store(true)
	defer f.watched.Store(false)
	err := n.store.Watch(watchCtx, f.kind, "", version, func(o kqstore.Object) error {
		f.onChange(o)
		return nil
	})
	if watchCtx.Err() != nil {
		return nil
	}
	return err
}

// followRoutes keeps the routes of the state up to date with the store.
func (n *Node) followRoutes(ctx context.Context) {
	onChange := func(o kqstore.Object) {
		if o.Name == n.settings.RoutesName && !o.Deleted {
			n.offerRoutes(o.Value, sourceStore)
		}
	}
	n.followKind(ctx, followedKind{
		kind: n.settings.RoutesKind, onChange: onChange, watched: &n.routesWatched,
		onList: func(objects []kqstore.Object, _ string) {
			for _, o := range objects {
				onChange(o)
			}
		},
		needed: func(s *State) bool { return s.Watching || s.Routes == nil },
		// When the whole fleet starts for the first time, no routes are older
		// than the first ones, and the watchers send later ones as updates.
		stale: func(s *State) bool { return n.settings.FirstStart && s.Routes == nil },
	})
}

// offerRoutes decodes routes, hands them to the control goroutine and waits until they
// are in force or refused. Faults in them don't keep the rest from being in force: the
// operator has the store's acknowledgement.
func (n *Node) offerRoutes(text []byte, from string) {
	document, err := n.dialect.ReadRoutes(text)
	if err != nil {
		n.logEvent(eventRoutesUnreadable, "routes from "+from+" can't be read", err, kqlog.Text(fieldSource, from))
		return
	}
	done := make(chan struct{})
	n.control.send(routesEvent{document: document, text: text, source: from, done: done})
	select {
	case <-done:
	case <-n.control.stopped:
	}
}

// followHosts keeps the list of nodes up to date with the store.
func (n *Node) followHosts(ctx context.Context) {
	// A record that can't be read is as good as none, and is replaced like one.
	decode := func(o kqstore.Object) storedRecord {
		record, err := decodeHost(o)
		if err != nil {
			n.logEvent(eventHostIgnored, "record of node "+o.Name+" is ignored", err, kqlog.Text(fieldHost, o.Name))
			record = HostRecord{}
		}
		return storedRecord{HostRecord: record, version: o.Version}
	}
	onList := func(objects []kqstore.Object, version string) {
		all := map[string]storedRecord{}
		for _, o := range objects {
			all[o.Name] = decode(o)
		}
		n.control.send(hostsEvent{all: all, version: version})
	}
	onChange := func(o kqstore.Object) {
		if o.Deleted {
			n.control.send(hostEvent{name: o.Name, removed: true})
			return
		}
		n.control.send(hostEvent{name: o.Name, record: decode(o)})
	}
	n.followKind(ctx, followedKind{
		kind: kqstore.KindHosts, onList: onList, onChange: onChange, watched: &n.hostsWatched,
		needed: func(s *State) bool { return s.Watching || s.Starting || !s.HostsKnown },
		// An outdated record does no harm: the gate of the node decides about
		// each call itself.
		stale: func(*State) bool { return true },
	})
}

// decodeHost decodes a node's record and checks that it names the node of its
// object and an address that can be dialed, since the store does not keep other
// writers from changing it.
func decodeHost(o kqstore.Object) (HostRecord, error) {
	var record HostRecord
	if err := json.Unmarshal(o.Value, &record); err != nil {
		return record, errors.Mark(errors.Wrap(err, "decode record"), ErrNode)
	}
	if record.NodeID != o.Name {
		return record, errors.Mark(errors.Newf("record names node %q, want the name of its object", record.NodeID), ErrNode)
	}
	_, port, err := net.SplitHostPort(record.Address)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, portBits)
	}
	return record, errors.Mark(errors.Wrap(err, "record names an address, want a host and a port"), ErrNode)
}

// randomFraction returns a random number in [0, 1).
func (n *Node) randomFraction() float64 {
	return float64(n.random()>>11) / (1 << 53)
}
