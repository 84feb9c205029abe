package kqconfig

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"kumquatlink/core/kqmember"
)

// WatchersPerDomain is how many nodes of a failure domain watch the store for
// all others: two, so that the loss of one is not noticed.
const WatchersPerDomain = 2

// ShouldWatch is whether the node should watch the store, judged from its own view
// alone: it is among the first of its failure domain in an order that every
// node derives alike. Views that differ for a while only mean that a few
// nodes more or less watch.
func ShouldWatch(view *kqmember.Snapshot) bool {
	own := view.Own
	before := 0
	for _, r := range view.Records {
		if r.NodeID == own.NodeID || r.FailureDomain != own.FailureDomain || !live(r.Life) {
			continue
		}
		if compareWatchers(r.NodeID, own.NodeID) < 0 {
			before++
		}
	}
	return before < WatchersPerDomain
}

func live(l kqmember.Life) bool {
	return l != kqmember.LifeDraining && l != kqmember.LifeGone
}

func compareWatchers(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}

// Watchers lists the nodes that watch according to the view, by failure
// domain.
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
