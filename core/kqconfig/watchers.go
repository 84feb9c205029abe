package kqconfig

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"kumquatlink/core/kqmember"
)

// WatchersPerDomain is the number of nodes in a failure domain that watch the
// store for all others: two, so that the others still get changes when one
// watcher is lost.
const WatchersPerDomain = 2

// ShouldWatch reports whether the node of the view should watch the store: it is
// among the first of its failure domain in an order that every node derives
// alike. No messages are needed; while the views of nodes differ, a few nodes
// more or less watch.
func ShouldWatch(view *kqmember.Snapshot) bool {
	own := view.Own
	preceding := 0
	for _, r := range view.Records {
		if r.NodeID == own.NodeID || r.FailureDomain != own.FailureDomain || !live(r.Life) {
			continue
		}
		if compareWatchers(r.NodeID, own.NodeID) < 0 {
			preceding++
		}
	}
	return preceding < WatchersPerDomain
}

// live reports whether a node in this state can watch the store.
func live(l kqmember.Life) bool {
	return l != kqmember.LifeDraining && l != kqmember.LifeGone
}

// compareWatchers orders nodes by the hash of their IDs, then by ID.
func compareWatchers(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}

// Watchers returns the IDs of the nodes that should watch the store according to
// the view, by failure domain.
func Watchers(view *kqmember.Snapshot) map[string][]string {
	domains := map[string][]string{}
	for _, r := range view.Records {
		if live(r.Life) {
			domains[r.FailureDomain] = append(domains[r.FailureDomain], r.NodeID)
		}
	}
	for d, nodes := range domains {
		slices.SortFunc(nodes, compareWatchers)
		domains[d] = nodes[:min(len(nodes), WatchersPerDomain)]
	}
	return domains
}
