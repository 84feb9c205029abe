package kqnode

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"kumquatlink/io/kqmetric"
)

// fleetViewPeriod is how often the FleetView is computed.
const fleetViewPeriod = time.Second

// FleetView describes the fleet as this node sees it, for operators.
type FleetView struct {
	// Confirmed reports whether another node has answered since this one started
	// or last resumed from a pause. Until then the node does not know whether
	// the fleet still has it as a member.
	Confirmed bool
	// Pauses counts how often the node noticed that it had been paused.
	Pauses int
	// Superseded reports whether a later process with the same node ID has
	// started.
	Superseded bool
	// Neighbours lists the nodes that this one has chosen as neighbours for gossip.
	Neighbours []string
	// Suspected lists nodes that are suspected to have failed and have not refuted
	// that yet.
	Suspected []string
	// Dead counts nodes that failed in the last hour without shutting down
	// properly, by failure domain.
	Dead map[string]int
	// CertificateExpires is when the node's certificate expires.
	CertificateExpires time.Time
}

// updateFleetView computes the FleetView once per fleetViewPeriod, or at once if
// Confirmed changed, and reports whether the view differs.
func (c *control) updateFleetView(now time.Duration) bool {
	confirmed := c.member.spread.Confirmed()
	if now-c.member.fleetViewAt < fleetViewPeriod && confirmed == c.state.Fleet.Confirmed {
		return false
	}
	c.member.fleetViewAt = now
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

// updateFleetGauges sets the gauges that are taken from the FleetView.
func (n *Node) updateFleetGauges(v FleetView) {
	confirmed := 0.0
	if v.Confirmed {
		confirmed = 1
	}
	n.metrics.Set(kqmetric.Confirmed, confirmed)
	n.metrics.Set(kqmetric.Suspected, float64(len(v.Suspected)))
	n.metrics.Set(kqmetric.Pauses, float64(v.Pauses))
}
