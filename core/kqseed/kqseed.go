// Package kqseed decides when a node reads and writes the seed list, the one
// object of the store from which new nodes learn the addresses through which
// they join the fleet.
//
// # Usage
//
// A [Seeder] makes no calls itself. Its owner asks it whether a read is due,
// reads the list and hands it over:
//
//	seeder := kqseed.NewSeeder(now, random)
//	if seeder.Due(now, view) {
//		list := read()
//		contacts := list.Contacts()
//		if next, write := seeder.Reconcile(now, view, list); write { put(next) }
//	}
//
// The owner reports failed calls with [Seeder.RecordReadFailure] and
// [Seeder.RecordWriteFailure].
//
// The seeds of a failure domain are its first nodes in an order that all nodes
// derive from the names ([CompareByHash]), so that all writers write the same
// seeds. Only seeds read the list again after the start, and only they write
// it.
//
// Times are durations on the node's own clock.
package kqseed

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquatlink/core/kqbackoff"
	"kumquatlink/core/kqmember"
)

// Sizes and periods of the seed list.
const (
	// SeedsPerDomain is how many nodes of a failure domain the list holds.
	SeedsPerDomain = 5
	// CheckPeriod is how often, on average, a seed reads the list to check it.
	CheckPeriod = 5 * time.Minute
	// RoleCheckPeriod is how often, on average, a node that is not a seed
	// checks whether it has become one. This takes no call of the store.
	RoleCheckPeriod = time.Minute
	// InitialWriteDelay is how long after its first read a node may not write:
	// until then its view may lack nodes.
	InitialWriteDelay = 30 * time.Second
	// writeJitter is the time over which the seeds that found the list wrong
	// spread their second reads, after which they write.
	writeJitter = 10 * time.Second
)

// readBackoff is the backoff between reads while the store does not answer.
var readBackoff = kqbackoff.Pause{First: 2 * time.Second, Max: 30 * time.Second}

// Seed is a node through which new nodes join the fleet.
type Seed struct {
	NodeID  string
	Address string
}

// Domain lists the seeds of one failure domain.
type Domain struct {
	FailureDomain string
	Seeds         []Seed
}

// List is the value of the stored object.
type List struct {
	Domains []Domain
}

// Contacts lists the addresses of the seeds of all failure domains.
func (l List) Contacts() []string {
	var addresses []string
	for _, d := range l.Domains {
		for _, s := range d.Seeds {
			addresses = append(addresses, s.Address)
		}
	}
	return addresses
}

func (l List) seedsOf(failureDomain string) []Seed {
	for _, d := range l.Domains {
		if d.FailureDomain == failureDomain {
			return d.Seeds
		}
	}
	return nil
}

// replaceDomain returns the list with other seeds for one failure domain, and
// without the failure domains of which the view holds no node. If the view
// holds only one failure domain, the others stay: the node may not have met
// them yet.
func (l List) replaceDomain(failureDomain string, seeds []Seed, view *kqmember.Snapshot) List {
	known := map[string]bool{}
	for _, r := range view.Records {
		known[r.FailureDomain] = true
	}
	next := List{Domains: []Domain{{FailureDomain: failureDomain, Seeds: seeds}}}
	for _, d := range l.Domains {
		if d.FailureDomain != failureDomain && (known[d.FailureDomain] || len(known) == 1) {
			next.Domains = append(next.Domains, d)
		}
	}
	slices.SortFunc(next.Domains, func(a, b Domain) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return next
}

// SelectSeeds lists the seeds that the node's own failure domain should have
// according to the view: the first SeedsPerDomain nodes in the order of
// CompareByHash that are neither suspected nor draining nor gone.
func SelectSeeds(view *kqmember.Snapshot) []Seed {
	var candidates []kqmember.Record
	for _, r := range view.Records {
		eligible := r.FailureDomain == view.Own.FailureDomain && !view.Suspects[r.NodeID]
		if eligible && r.Life != kqmember.LifeDraining && r.Life != kqmember.LifeGone {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b kqmember.Record) int { return CompareByHash(a.NodeID, b.NodeID) })
	seeds := make([]Seed, 0, SeedsPerDomain)
	for _, r := range candidates[:min(len(candidates), SeedsPerDomain)] {
		seeds = append(seeds, Seed{NodeID: r.NodeID, Address: r.Address})
	}
	return seeds
}

// CompareByHash orders node names by their hashes, so that all nodes derive the
// same order and it does not depend on how names were assigned. Equal hashes
// are ordered by name.
func CompareByHash(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}

// Seeder decides when one node reads and writes the seed list. It is not safe
// for concurrent use.
type Seeder struct {
	random    *rand.Rand
	nextCheck time.Duration
	failures  int
	// writableAt is the earliest time of a write; it is 0 before the first
	// read.
	writableAt time.Duration
	// mismatched reports whether the last read found the list wrong.
	mismatched bool
}

// NewSeeder returns the seeder of a node, whose first read is due at once.
func NewSeeder(now time.Duration, random *rand.Rand) *Seeder {
	return &Seeder{random: random, nextCheck: now}
}

// Due reports whether the list is to be read now. For a node that is not a seed
// it postpones the next check without a read.
func (s *Seeder) Due(now time.Duration, view *kqmember.Snapshot) bool {
	if now < s.nextCheck {
		return false
	}
	if s.writableAt == 0 || s.failures > 0 || isSeed(view) {
		return true
	}
	s.nextCheck = now + s.jitter(RoleCheckPeriod)
	return false
}

func isSeed(view *kqmember.Snapshot) bool {
	return slices.ContainsFunc(SelectSeeds(view), func(s Seed) bool { return s.NodeID == view.Own.NodeID })
}

// jitter returns a random period of 0.5 to 1.5 times the given one.
func (s *Seeder) jitter(period time.Duration) time.Duration {
	return period/2 + time.Duration(s.random.Int64N(int64(period)))
}

// RecordReadFailure records that the store did not answer a read.
func (s *Seeder) RecordReadFailure(now time.Duration) {
	s.failures++
	s.nextCheck = now + readBackoff.After(s.failures, s.random.Float64())
}

// Reconcile compares the list as read with the view, and returns the list to
// write and true if a write is needed. A node whose view holds no other node
// never overwrites the seeds of nodes that it has yet to meet. A wrong list is
// written only after a second read has confirmed it, since another seed may
// have written it meanwhile. The first call never asks for a write.
func (s *Seeder) Reconcile(now time.Duration, view *kqmember.Snapshot, held List) (List, bool) {
	s.failures = 0
	if s.writableAt == 0 {
		s.writableAt = now + InitialWriteDelay
		s.nextCheck = s.writableAt + time.Duration(s.random.Int64N(int64(writeJitter)))
		return List{}, false
	}
	s.nextCheck = now + s.jitter(CheckPeriod)
	wanted := SelectSeeds(view)
	alone := len(view.Records) == 1 && len(held.Domains) > 0
	if alone && !slices.Equal(held.Contacts(), []string{view.Own.Address}) {
		s.nextCheck = now + writeJitter
		return List{}, false
	}
	mismatch := isSeed(view) && !slices.Equal(wanted, held.seedsOf(view.Own.FailureDomain))
	if !mismatch {
		s.mismatched = false
		return List{}, false
	}
	if !s.mismatched {
		s.mismatched = true
		s.nextCheck = now + time.Duration(s.random.Int64N(int64(writeJitter)))
		return List{}, false
	}
	s.mismatched = false
	return held.replaceDomain(view.Own.FailureDomain, wanted, view), true
}

// RecordWriteFailure records that the write lost against a concurrent one, or
// that its answer was lost. The list is read again soon.
func (s *Seeder) RecordWriteFailure(now time.Duration) {
	s.nextCheck = now + time.Duration(s.random.Int64N(int64(writeJitter)))
}
