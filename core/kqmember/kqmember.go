// Package kqmember keeps a node's view of the fleet's membership. A [Record] is
// written only by the node that it describes. Every other node merges the
// records that it receives and keeps the one with the higher incarnation, then
// the higher version. Other nodes may only suspect a record; its node refutes
// the suspicion with a newer version. A node whose suspicion is not refuted
// within [RemoveAfter] counts as dead.
//
// An incarnation counts the starts of a node. A [Stamp] (incarnation, version,
// suspected or not) orders everything that can be known of one node.
//
// # Usage
//
//	view := kqmember.NewView(own)
//	changed := view.Merge(now, record, suspected, age)
//	view.Suspect(now, nodeID, stamp, 0)
//	view.Advance(now)
//	upstreams := view.Snapshot().Upstreams("orders")
//
// Times are durations on the node's own monotonic clock. Clocks of two nodes
// are never compared: a message to another node carries the age of a suspicion,
// not its time.
//
// A [View] is not safe for concurrent use; the control goroutine owns it. A
// [Snapshot] is immutable, and call traffic reads it.
package kqmember

// Life is the lifecycle state of a node, as the node itself reports it.
type Life string

// The lifecycle states of a node.
const (
	// LifeJoining is a node that takes no calls: it has no backend server that
	// is ready, or has not yet learned which record the fleet holds of it.
	LifeJoining Life = "Joining"
	// LifeWarming is a node that takes calls while its backend server is still
	// cold.
	LifeWarming Life = "Warming"
	LifeServing Life = "Serving"
	// LifeDraining is a node that takes no new calls and finishes those in
	// flight.
	LifeDraining Life = "Draining"
	LifeGone     Life = "Gone"
)

// LifeStates lists all lifecycle states in the order in which a node passes
// through them.
func LifeStates() []Life {
	return []Life{LifeJoining, LifeWarming, LifeServing, LifeDraining, LifeGone}
}

// Record describes one node. Only that node writes it.
type Record struct {
	_      struct{} `cbor:",toarray"`
	NodeID string
	// Incarnation counts the starts of the node. A record of a higher
	// incarnation replaces all records of lower ones.
	Incarnation uint64
	// Version counts the changes of the record within an incarnation.
	Version uint64
	Address string
	// OperatorAddress is where the node serves the operators' interface, or
	// empty.
	OperatorAddress string
	FailureDomain   string
	Region          string
	Life            Life
	// Service is the service of the backend server beside the node, or empty.
	Service string
}

// Newer reports whether r replaces other.
func (r Record) Newer(other Record) bool {
	return other.Stamp().Less(r.Stamp())
}

// Stamp returns the stamp of the record without a suspicion.
func (r Record) Stamp() Stamp {
	return Stamp{Incarnation: r.Incarnation, Version: r.Version}
}

// Stamp orders what can be known of one node. A suspicion is newer than the
// record that it concerns and older than the next version of that record.
type Stamp struct {
	Incarnation uint64
	Version     uint64
	Suspected   bool
}

// Less reports whether other replaces s.
func (s Stamp) Less(other Stamp) bool {
	if s.Incarnation != other.Incarnation {
		return s.Incarnation < other.Incarnation
	}
	if s.Version != other.Version {
		return s.Version < other.Version
	}
	return !s.Suspected && other.Suspected
}
