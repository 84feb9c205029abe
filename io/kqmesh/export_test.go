package kqmesh

// SetDemand sets what the node knows of the demand of teams: the curve of all, and the
// requests a second of each.
func (n *Node) SetDemand(curve []float32, requests map[string]float64) {
	n.shedder.shares.demandOf = func(team string) (teamDemand, bool) {
		return teamDemand{curve: curve, requests: requests[team]}, true
	}
}

// Queued returns how many calls wait at the node's gate.
func (n *Node) Queued() int {
	return n.gate.load().Queued
}

// HomeHosts is homeHosts, for tests.
var HomeHosts = homeHosts
