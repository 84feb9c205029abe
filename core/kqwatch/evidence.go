package kqwatch

import "time"

// MaxEvidenceAge is how old the latest sign of life of a node's watches may be for
// the node to tell others what the store holds. An open connection may have fallen
// silent, which a watch without an answer can't tell from a store without changes. It
// leaves time to notice that and to hear from the store on another connection.
const MaxEvidenceAge = 1700 * time.Millisecond

// Evidence is why a node takes what it knows for what the store holds.
type Evidence struct {
	// RoutesWatched and HostsWatched report whether watches of the routes and of the
	// nodes' records are open.
	RoutesWatched bool
	HostsWatched  bool
	// Age is the time since the store last showed that it answers the watches.
	Age time.Duration
}

// IsSufficient reports whether the node may tell others what the store holds. If not,
// it has to ask others for that, and the store.
func (e Evidence) IsSufficient() bool {
	return e.RoutesWatched && e.HostsWatched && e.Age <= MaxEvidenceAge
}

// Remaining returns how long the evidence is sufficient if the store shows no further
// sign of life, or 0 if it is not sufficient now.
func (e Evidence) Remaining() time.Duration {
	if !e.IsSufficient() {
		return 0
	}
	return MaxEvidenceAge - e.Age
}
