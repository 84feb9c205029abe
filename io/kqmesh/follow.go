package kqmesh

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqbackoff"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqstore"
)

// followPause bounds the pauses between two tries to follow the store. The
// longest is well within the time in which a change has to be in force.
var followPause = kqbackoff.Pause{First: 100 * time.Millisecond, Most: time.Second}

// listTimeout bounds reading a kind, page by page.
const listTimeout = 3 * time.Second

// follow lists a kind and watches it from there on, for as long as ctx lasts.
func (n *Node) follow(ctx context.Context, kind string, list func([]kqstore.Object), take func(kqstore.Object)) {
	failures := 0
	for ctx.Err() == nil {
		listing, cancel := context.WithTimeout(ctx, listTimeout)
		objects, version, err := n.store.List(listing, kind)
		cancel()
		if err == nil {
			failures = 0
			list(objects)
			err = n.store.Watch(ctx, kind, "", version, func(o kqstore.Object) error {
				take(o)
				return nil
			})
		}
		if ctx.Err() != nil {
			return
		}
		failures++
		n.note(remarkWatchEnded, "watch of "+kind+" ended: listing again", err, kqlog.Text(fieldKind, kind))
		sleep(ctx, followPause.After(failures, n.fraction()))
	}
}

// followRoutes keeps the routes in force up to date.
func (n *Node) followRoutes(ctx context.Context) {
	take := func(o kqstore.Object) {
		if o.Name == n.settings.RoutesName && !o.Deleted {
			n.offerRoutes(o.Value, "the store")
		}
	}
	n.follow(ctx, n.settings.RoutesKind, func(objects []kqstore.Object) {
		for _, o := range objects {
			take(o)
		}
	}, take)
}

// offerRoutes decodes routes and hands them to control if they have no fault.
func (n *Node) offerRoutes(text []byte, from string) {
	d, err := n.dialect.ReadRoutes(text)
	if err != nil {
		n.note(remarkRoutesUnreadable, "routes from "+from+" can't be read", err, kqlog.Text(fieldSource, from))
		return
	}
	if faults := d.Check(); len(faults) > 0 {
		n.note(remarkRoutesFaulty, "routes from "+from+" have faults, the first: "+faults[0].String(), nil, kqlog.Text(fieldSource, from), kqlog.Text("Detail", faults[0].String()))
		return
	}
	n.control.send(routesEvent{document: d, text: text, from: from})
}

// followHosts keeps the list of nodes up to date.
func (n *Node) followHosts(ctx context.Context) {
	n.follow(ctx, kqstore.KindHosts, func(objects []kqstore.Object) {
		all := map[string]HostRecord{}
		for _, o := range objects {
			if h, err := readHost(o); err != nil {
				n.note(remarkHostIgnored, "record of node "+o.Name+" is ignored", err, kqlog.Text(fieldHost, o.Name))
			} else {
				all[h.NodeID] = h
			}
		}
		n.control.send(hostsEvent{all: all})
	}, func(o kqstore.Object) {
		if o.Deleted {
			n.control.send(hostEvent{name: o.Name, removed: true})
			return
		}
		h, err := readHost(o)
		if err != nil {
			n.note(remarkHostIgnored, "record of node "+o.Name+" is ignored", err, kqlog.Text(fieldHost, o.Name))
			return
		}
		n.control.send(hostEvent{name: o.Name, record: h})
	})
}

// readHost decodes a node's record, which another writer may have spoilt.
func readHost(o kqstore.Object) (HostRecord, error) {
	var h HostRecord
	if err := json.Unmarshal(o.Value, &h); err != nil {
		return h, errors.Mark(errors.Wrap(err, "read record"), ErrNode)
	}
	if h.NodeID != o.Name || h.Address == "" {
		return h, errors.Mark(errors.Newf("record names node %q at %q", h.NodeID, h.Address), ErrNode)
	}
	return h, nil
}

// fraction is a random number in [0, 1).
func (n *Node) fraction() float64 {
	return float64(n.random()>>11) / (1 << 53)
}
