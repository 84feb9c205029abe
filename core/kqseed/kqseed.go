// Package kqseed decides when a node reads and writes the list of seeds, the
// one object of the store that new nodes start from.
//
// # Usage
//
//	seeder := kqseed.NewSeeder(now, random)
//	if seeder.Due(now, view) {
//		list := read()
//		contacts := list.Contacts()
//		if next, write := seeder.Reconcile(now, view, list); write { put(next) }
//	}
//
// The seeds of a failure domain are the nodes of it that come first in an
// order that all nodes derive alike, so that whoever writes the list writes
// the same one. Only seeds look at the list again, and only they write it.
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

// Sizes and periods of the list.
const (
	// SeedsPerDomain is how many nodes of a failure domain the list holds.
	SeedsPerDomain = 5
	// CheckPeriod is how often a seed looks whether the list is right.
	CheckPeriod = 5 * time.Minute
	// RoleCheckPeriod is how often a node that is no seed looks, without a call of
	// the store, whether it has become one.
	RoleCheckPeriod = time.Minute
	// InitialWriteDelay is how long after its first read a node waits before it may
	// write: until then its view may lack nodes.
	InitialWriteDelay = 30 * time.Second
	// writeSpread is over how long the seeds that found the list wrong spread
	// their second look, after which they write.
	writeSpread = 10 * time.Second
)

// retry is how a node reads again while the store does not answer.
var retry = kqbackoff.Pause{First: 2 * time.Second, Max: 30 * time.Second}

// Seed is a node to start from.
type Seed struct {
	NodeID  string
	Address string
}

// Domain lists the seeds of one failure domain.
type Domain struct {
	FailureDomain string
	Seeds         []Seed
}

// List is the value of the object.
type List struct {
	Domains []Domain
}

// Contacts lists all addresses, those of other failure domains included.
func (l List) Contacts() []string {
	var addresses []string
	for _, d := range l.Domains {
		for _, s := range d.Seeds {
			addresses = append(addresses, s.Address)
		}
	}
	return addresses
}

func (l List) seeds(failureDomain string) []Seed {
	for _, d := range l.Domains {
		if d.FailureDomain == failureDomain {
			return d.Seeds
		}
	}
	return nil
}

// replace gives the list with other seeds of one failure domain, and without
// the failure domains of which the view holds no node at all.
func (l List) replace(failureDomain string, seeds []Seed, view *kqmember.Snapshot) List {
	held := map[string]bool{}
	for _, r := range view.Records {
		held[r.FailureDomain] = true
	}
	next := List{Domains: []Domain{{FailureDomain: failureDomain, Seeds: seeds}}}
	for _, d := range l.Domains {
		if d.FailureDomain != failureDomain && (held[d.FailureDomain] || len(held) == 1) {
			next.Domains = append(next.Domains, d)
		}
	}
	slices.SortFunc(next.Domains, func(a, b Domain) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return next
}

// SelectSeeds lists the seeds that the node's own failure domain should have
// according to its view.
func SelectSeeds(view *kqmember.Snapshot) []Seed {
	var live []kqmember.Record
	for _, r := range view.Records {
		fits := r.FailureDomain == view.Own.FailureDomain && !view.Suspects[r.NodeID]
		if fits && r.Life != kqmember.LifeDraining && r.Life != kqmember.LifeGone {
			live = append(live, r)
		}
	}
	slices.SortFunc(live, func(a, b kqmember.Record) int { return CompareByHash(a.NodeID, b.NodeID) })
	seeds := make([]Seed, 0, SeedsPerDomain)
	for _, r := range live[:min(len(live), SeedsPerDomain)] {
		seeds = append(seeds, Seed{NodeID: r.NodeID, Address: r.Address})
	}
	return seeds
}

// CompareByHash orders the names of nodes as all of them do, without regard to
// how they were given.
func CompareByHash(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}

// Seeder is one node's part in keeping the list.
type Seeder struct {
	random   *rand.Rand
	next     time.Duration
	failures int
	// settled is when the node may write; 0 before its first read.
	settled time.Duration
	// doubted is whether the last read found the list wrong.
	doubted bool
}

// NewSeeder makes the seeder of a node that reads the list at once.
func NewSeeder(now time.Duration, random *rand.Rand) *Seeder {
	return &Seeder{random: random, next: now}
}

// Due is whether the list is to be read now. A node that is no seed puts its
// next look off without a read.
func (s *Seeder) Due(now time.Duration, view *kqmember.Snapshot) bool {
	if now < s.next {
		return false
	}
	if s.settled == 0 || s.failures > 0 || isSeed(view) {
		return true
	}
	s.next = now + s.spread(RoleCheckPeriod)
	return false
}

func isSeed(view *kqmember.Snapshot) bool {
	return slices.ContainsFunc(SelectSeeds(view), func(w Seed) bool { return w.NodeID == view.Own.NodeID })
}

// spread gives a period from half to one and a half of the one given.
func (s *Seeder) spread(period time.Duration) time.Duration {
	return period/2 + time.Duration(s.random.Int64N(int64(period)))
}

// RecordReadFailure notes that the store did not answer.
func (s *Seeder) RecordReadFailure(now time.Duration) {
	s.failures++
	s.next = now + retry.After(s.failures, s.random.Float64())
}

// Reconcile takes in the list as it was read, and gives the one to write, if any.
// A node that knows nobody never overwrites nodes that it has yet to meet.
// A list found wrong is looked at a second time before it is written, since
// another seed may have done so meanwhile.
func (s *Seeder) Reconcile(now time.Duration, view *kqmember.Snapshot, held List) (List, bool) {
	s.failures = 0
	if s.settled == 0 {
		s.settled = now + InitialWriteDelay
		s.next = s.settled + time.Duration(s.random.Int64N(int64(writeSpread)))
		return List{}, false
	}
	s.next = now + s.spread(CheckPeriod)
	wanted := SelectSeeds(view)
	alone := len(view.Records) == 1 && len(held.Domains) > 0
	if alone && !slices.Equal(held.Contacts(), []string{view.Own.Address}) {
		s.next = now + writeSpread
		return List{}, false
	}
	wrong := isSeed(view) && !slices.Equal(wanted, held.seeds(view.Own.FailureDomain))
	if !wrong {
		s.doubted = false
		return List{}, false
	}
	if !s.doubted {
		s.doubted = true
		s.next = now + time.Duration(s.random.Int64N(int64(writeSpread)))
		return List{}, false
	}
	s.doubted = false
	return held.replace(view.Own.FailureDomain, wanted, view), true
}

// RecordWriteFailure notes that the write lost against another one, or that its answer was
// lost: the list is looked at again soon.
func (s *Seeder) RecordWriteFailure(now time.Duration) {
	s.next = now + time.Duration(s.random.Int64N(int64(writeSpread)))
}
