package kqslopes

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqseed"
)

// Durations of a restart, in virtual time.
const (
	restartTime  = time.Minute
	restartLimit = 10 * time.Minute
)

// seedStore simulates the stored list of seeds and counts its reads and writes.
type seedStore struct {
	list          kqseed.List
	reads, writes int
}

// restart is a fleet whose nodes all start within a minute. The stored list holds
// the seeds from before the restart.
type restart struct {
	trial   *trial
	store   seedStore
	seeders map[string]*kqseed.Seeder
	order   []string
}

// measureRestart runs a restart until every view is complete and all agree.
func measureRestart(count int, seed uint64) (*Restart, error) {
	r := &restart{trial: newTrial(count, seed, Link{}), seeders: map[string]*kqseed.Seeder{}}
	r.store.list = seedsOf(count)
	result := &Restart{}
	f := r.trial.fleet
	for f.Now() < restartLimit {
		before, reads, writes := r.trial.sent.bytes, r.store.reads, r.store.writes
		r.startDue(count)
		f.Run(time.Second)
		r.runSeeders()
		result.BusiestReads = max(result.BusiestReads, r.store.reads-reads)
		result.BusiestWrites = max(result.BusiestWrites, r.store.writes-writes)
		result.BusiestEncodedBytes = max(result.BusiestEncodedBytes, float64(r.trial.sent.bytes-before)/float64(count))
		if len(r.order) == count && f.Converged() && r.viewsComplete() {
			break
		}
	}
	if !f.Converged() {
		return nil, errors.New("restarted fleet did not converge")
	}
	result.SecondsToAll = f.Now().Seconds()
	result.EncodedBytesPerNode = float64(r.trial.sent.bytes) / float64(count)
	result.StoreReads, result.StoreWrites = r.store.reads, r.store.writes
	return result, r.trial.err
}

// startDue starts the nodes that are due within the next second.
func (r *restart) startDue(count int) {
	f := r.trial.fleet
	due := min(count, int(float64(count)*(f.Now()+time.Second).Seconds()/restartTime.Seconds()))
	for i := len(r.order); i < due; i++ {
		record := recordOf(i)
		f.Start(record, nil)
		f.Nodes[record.NodeID].Machine.SetContacts(nil, false)
		r.order = append(r.order, record.NodeID)
		r.seeders[record.NodeID] = kqseed.NewSeeder(f.Now(), rand.New(rand.NewPCG(uint64(i), 7)))
	}
}

// runSeeders lets every node whose seeder is due read the list, and write it if
// the seeder says so.
func (r *restart) runSeeders() {
	f := r.trial.fleet
	for _, id := range r.order {
		n, seeder := f.Nodes[id], r.seeders[id]
		view := n.View.Snapshot()
		if !seeder.Due(f.Now(), view) {
			continue
		}
		r.store.reads++
		n.Machine.SetContacts(r.store.list.Contacts(), true)
		if next, write := seeder.Reconcile(f.Now(), view, r.store.list); write {
			r.store.writes++
			r.store.list = next
		}
	}
}

func (r *restart) viewsComplete() bool {
	for _, n := range r.trial.fleet.Nodes {
		if n.View.Len() != r.trial.count {
			return false
		}
	}
	return true
}

// seedsOf returns the list of seeds as the fleet stored it before the restart.
func seedsOf(count int) kqseed.List {
	var list kqseed.List
	for d := range domainCount {
		own := recordOf(d)
		view := kqmember.NewView(own)
		for i := range count {
			if r := recordOf(i); r.FailureDomain == own.FailureDomain {
				view.Merge(0, r, false, 0)
			}
		}
		list.Domains = append(list.Domains, kqseed.Domain{FailureDomain: own.FailureDomain, Seeds: kqseed.SelectSeeds(view.Snapshot())})
	}
	return list
}
