// Package kqconfig decides about the configuration: which one a node has in
// force, how an operator's change is made and settled, and which nodes watch
// the store for the others.
//
// # Usage
//
// A node offers everything it hears to its [Holder], which never goes back:
//
//	verdict := holder.Offer(heard)
//
// An operator's change is an [Edit] of the configuration that was read:
//
//	next, err := kqconfig.Apply(read, edit, changeID)
//
// When the answer of the write is lost, [ResolveWrite] says from a later read
// whether the change was accepted.
package kqconfig

import (
	"cmp"

	"kumquatlink/core/kqclass"
)

// Verdict says what became of an offered configuration.
type Verdict string

// The verdicts on an offered configuration.
const (
	// VerdictTaken means that the offer is now in force.
	VerdictTaken Verdict = "Taken"
	// VerdictHeld means that the offer was in force already.
	VerdictHeld Verdict = "Held"
	// VerdictOlder means that the offer's version has passed.
	VerdictOlder Verdict = "Older"
	// VerdictRival means that the offer has the version that is in force but
	// comes from another change, as after a store was restored from a copy.
	VerdictRival Verdict = "Rival"
	// VerdictFaulty means that the offer has faults.
	VerdictFaulty Verdict = "Faulty"
)

// Refusals counts the offers that were refused, by verdict.
type Refusals struct {
	Older  int64
	Rival  int64
	Faulty int64
	// LastFault is the first fault of the faulty offer that came last.
	LastFault string
}

// Holder keeps the configuration that a node has in force.
type Holder struct {
	inForce  kqclass.Configuration
	refusals Refusals
}

// NewHolder makes a holder with nothing in force.
func NewHolder() *Holder {
	return &Holder{}
}

// InForce is the configuration in force; its version is 0 when there is none.
func (h *Holder) InForce() kqclass.Configuration {
	return h.inForce
}

// Refusals gives the counts of refused offers.
func (h *Holder) Refusals() Refusals {
	return h.refusals
}

// Offer takes an offer into force if it is newer and without faults. Two
// changes of the same version are ordered by their change IDs, so that nodes
// that heard them in different order come to hold the same one.
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

// Newer is whether a replaces b.
func Newer(a, b kqclass.Configuration) bool {
	return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.ChangeID, b.ChangeID)) > 0
}
