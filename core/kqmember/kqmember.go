// Package kqmember keeps a node's view of the fleet. A record is written only
// by the node it describes; every other node merges what it hears and lets
// the newer incarnation, then the newer version, stand. Others may only
// suspect a record, and its node refutes that with a newer version.
//
// # Usage
//
//	view := kqmember.NewView(own)
//	changed := view.Merge(now, record, suspected, age)
//	view.Suspect(now, nodeID, stamp, 0)
//	view.Advance(now)
//	upstreams := view.Snapshot().Upstreams("orders")
//
// Times are durations on the node's own monotonic clock; no two clocks are
// ever compared. What is told of a suspicion to others is its age.
//
// A View is owned by the control goroutine. A [Snapshot] is immutable and is
// what call traffic reads.
package kqmember

// Life is the state of a node as its own chart gives it.
type Life string

// The lives of a node.
const (
	// LifeJoining is a node that takes no work: it has no backend server that
	// is ready, or does not know yet what the fleet holds of it.
	LifeJoining  Life = "Joining"
	LifeWarming  Life = "Warming"
	LifeServing  Life = "Serving"
	LifeDraining Life = "Draining"
	LifeGone     Life = "Gone"
)

// LifeStates lists all lives, in the order in which a node goes through them.
func LifeStates() []Life {
	return []Life{LifeJoining, LifeWarming, LifeServing, LifeDraining, LifeGone}
}

// Record describes one node. Only that node writes it.
type Record struct {
	_      struct{} `cbor:",toarray"`
	NodeID string
	// Incarnation counts the starts of the node; a higher one replaces all
	// records of lower ones.
	Incarnation uint64
	// Version counts the changes of the record within an incarnation.
	Version uint64
	Address string
	// OperatorAddress is where the node answers operators, or empty.
	OperatorAddress string
	FailureDomain   string
	Region          string
	Life            Life
	// Service is the service of the backend server beside the node, or empty.
	Service string
}

// Newer is whether r replaces other.
func (r Record) Newer(other Record) bool {
	return other.Stamp().Less(r.Stamp())
}

// Stamp orders what is known of the record's node.
func (r Record) Stamp() Stamp {
	return Stamp{Incarnation: r.Incarnation, Version: r.Version}
}

// Stamp orders what can be known of one node: a suspicion stands above the
// record that it accuses and below the next version.
type Stamp struct {
	Incarnation uint64
	Version     uint64
	Suspected   bool
}

// Less is whether other replaces s.
func (s Stamp) Less(other Stamp) bool {
	if s.Incarnation != other.Incarnation {
		return s.Incarnation < other.Incarnation
	}
	if s.Version != other.Version {
		return s.Version < other.Version
	}
	return !s.Suspected && other.Suspected
}
