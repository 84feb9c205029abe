package kqnode

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"kumquatlink/io/kqmetric"
)

// fleetViewPeriod is how often the view for operators is made anew.
const fleetViewPeriod = time.Second

// FleetView is what a node tells operators of its place in the fleet.
type FleetView struct {
	// Confirmed is whether the node knows what the fleet holds of it: it has
	// been answered since it started or last woke from a pause.
	Confirmed bool
	// Pauses counts how often the node noticed that it had been paused.
	Pauses int
	// Superseded is whether a later start of the same name took over.
	Superseded bool
	// Neighbours are the nodes that this one keeps links with.
	Neighbours []string
	// Suspected are nodes that have not refuted a suspicion yet.
	Suspected []string
	// Dead counts nodes that died in the last hour without leaving in order,
	// by failure domain.
	Dead map[string]int
	// CertificateExpires is when the node's certificate ends.
	CertificateExpires time.Time
}

// viewFleet makes the view for operators anew, and says whether it differs.
func (c *control) viewFleet(now time.Duration) bool {
	confirmed := c.member.spread.Confirmed()
	if now-c.member.viewed < fleetViewPeriod && confirmed == c.state.Fleet.Confirmed {
		return false
	}
	c.member.viewed = now
	next := FleetView{
		Confirmed: confirmed, Pauses: c.member.spread.Pauses(), Superseded: c.view.Superseded(),
		Neighbours: c.member.spread.Neighbours(), Suspected: slices.Sorted(maps.Keys(c.view.LastSnapshot().Suspects)),
		Dead: c.view.Dead(), CertificateExpires: c.node.identity.Expires(),
	}
	if reflect.DeepEqual(next, c.state.Fleet) {
		return false
	}
	c.state.Fleet = next
	return true
}

// gatherFleet brings the gauges of the node's place in the fleet up to date.
func (n *Node) gatherFleet(v FleetView) {
	confirmed := 0.0
	if v.Confirmed {
		confirmed = 1
	}
	n.metrics.Set(kqmetric.Confirmed, confirmed)
	n.metrics.Set(kqmetric.Suspected, float64(len(v.Suspected)))
	n.metrics.Set(kqmetric.Pauses, float64(v.Pauses))
}
