// Package kqconfig decides which configuration a node has in force, how an
// operator's change is applied, whether a write whose answer was lost took effect,
// and which nodes watch the store for the others.
//
// # Usage
//
// A node offers every configuration that it receives to its [Holder], which never
// replaces a configuration by an older one:
//
//	verdict := holder.Offer(received)
//
// An operator's change is an [Edit] of the configuration that was read from the
// store:
//
//	next, err := kqconfig.Apply(read, edit, changeID)
//
// The next configuration is written under the condition that the store still
// holds the one that was read. When the answer to the write is lost,
// [ResolveWrite] determines from a later read whether the change was accepted.
//
// A few nodes of each failure domain watch the store and pass changes on:
// [ShouldWatch] reports whether a node is one of them.
package kqconfig

import (
	"cmp"

	"kumquatlink/core/kqclass"
)

// Verdict states whether an offered configuration was taken, or why not.
type Verdict string

// The verdicts on an offered configuration.
const (
	// VerdictTaken means that the offer came into force.
	VerdictTaken Verdict = "Taken"
	// VerdictHeld means that the offer was in force already.
	VerdictHeld Verdict = "Held"
	// VerdictOlder means that a later version than the offer's is in force.
	VerdictOlder Verdict = "Older"
	// VerdictRival means that the offer has the version that is in force but
	// comes from another change, whose ID is ordered before. This happens after
	// a store was restored from a copy.
	VerdictRival Verdict = "Rival"
	// VerdictFaulty means that the offer has faults.
	VerdictFaulty Verdict = "Faulty"
)

// Refusals counts the offers that were refused, by verdict.
type Refusals struct {
	Older  int64
	Rival  int64
	Faulty int64
	// LastFault is the first fault of the latest faulty offer.
	LastFault string
}

// Holder holds the configuration that a node has in force. It is not safe for
// concurrent use.
type Holder struct {
	inForce  kqclass.Configuration
	refusals Refusals
}

// NewHolder returns a holder with no configuration in force.
func NewHolder() *Holder {
	return &Holder{}
}

// InForce returns the configuration in force. Its version is 0 if there is none.
func (h *Holder) InForce() kqclass.Configuration {
	return h.inForce
}

// Refusals returns the counts of refused offers.
func (h *Holder) Refusals() Refusals {
	return h.refusals
}

// Offer puts the offered configuration into force if it is newer than the one in
// force and has no faults. Two changes with the same version are ordered by their
// change IDs, so that nodes that receive them in different orders end with the
// same one.
func (h *Holder) Offer(offer kqclass.Configuration) Verdict {
	switch {
	case offer.Version == h.inForce.Version && offer.ChangeID == h.inForce.ChangeID:
		return VerdictHeld
	case offer.Version < h.inForce.Version:
		h.refusals.Older++
		return VerdictOlder
	case !Newer(offer, h.inForce):
		h.refusals.Rival++
		return VerdictRival
	}
	if faults := offer.Check(); len(faults) > 0 {
		h.refusals.Faulty++
		h.refusals.LastFault = faults[0].String()
		return VerdictFaulty
	}
	h.inForce = offer
	return VerdictTaken
}

// Newer reports whether a is newer than b: by version, then by change ID.
func Newer(a, b kqclass.Configuration) bool {
	return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.ChangeID, b.ChangeID)) > 0
}
