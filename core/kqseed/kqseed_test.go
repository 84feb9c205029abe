package kqseed_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqseed"
)

// store is a fake of the store with the one object: its value, its version, and
// counts of calls.
type store struct {
	list          kqseed.List
	version       int
	reads, writes int
	conflicts     int
	// loseAnswers is how many of the next writes take effect but look failed to
	// the writer.
	loseAnswers int
}

func (s *store) put(list kqseed.List, version int) bool {
	s.writes++
	if version != s.version {
		s.conflicts++
		return false
	}
	s.list, s.version = list, s.version+1
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return false
	}
	return true
}

// node is a seeder with its view.
type node struct {
	view   *kqmember.View
	seeder *kqseed.Seeder
	// write is the list that the node is about to put, and version the one that
	// it read before.
	write   *kqseed.List
	version int
}

func newFleet(count int) []*node {
	nodes := make([]*node, count)
	for i := range nodes {
		r := kqmember.Record{
			NodeID: fmt.Sprintf("node-%03d", i), Address: fmt.Sprintf("10.0.0.1:%d", 1+i), Incarnation: 1, Version: 1,
			FailureDomain: fmt.Sprintf("domain-%d", i%4), Life: kqmember.LifeServing,
		}
		nodes[i] = &node{view: kqmember.NewView(r), seeder: kqseed.NewSeeder(0, rand.New(rand.NewPCG(7, uint64(i))))}
	}
	return nodes
}

// exchangeRecords makes all nodes known to each other.
func exchangeRecords(nodes []*node) {
	for _, n := range nodes {
		for _, o := range nodes {
			n.view.Merge(0, o.view.Own(), false, 0)
		}
	}
}

// run asks each seeder once a second. A put follows its read one second later,
// so that puts of several nodes conflict.
func run(nodes []*node, s *store, from, to time.Duration) {
	for now := from; now < to; now += time.Second {
		for _, n := range nodes {
			if n.write != nil {
				if !s.put(*n.write, n.version) {
					n.seeder.RecordWriteFailure(now)
				}
				n.write = nil
				continue
			}
			view := n.view.Snapshot()
			if !n.seeder.Due(now, view) {
				continue
			}
			s.reads++
			if list, write := n.seeder.Reconcile(now, view, s.list); write {
				n.write, n.version = &list, s.version
			}
		}
	}
}

// wantList returns the expected addresses: those of the seeds of each failure
// domain, the domains in order.
func wantList(nodes []*node) []string {
	var addresses []string
	domains := map[string][]kqseed.Seed{}
	for _, n := range nodes {
		domains[n.view.Own().FailureDomain] = kqseed.SelectSeeds(n.view.Snapshot())
	}
	for i := range 4 {
		for _, s := range domains[fmt.Sprintf("domain-%d", i)] {
			addresses = append(addresses, s.Address)
		}
	}
	return addresses
}

func TestFirstStartWritesListWithFewWrites(t *testing.T) {
	nodes := newFleet(100)
	exchangeRecords(nodes)
	s := &store{}
	run(nodes, s, 0, 5*time.Minute)
	if got, want := s.list.Contacts(), wantList(nodes); !slices.Equal(got, want) {
		t.Errorf("seeds: got %v, want %v", got, want)
	}
	if got, limit := s.writes, 20; got > limit {
		t.Errorf("writes: got %d, want at most %d", got, limit)
	}
}

func TestWriteWithLostAnswerIsFollowedByRead(t *testing.T) {
	nodes := newFleet(100)
	exchangeRecords(nodes)
	s := &store{loseAnswers: 3}
	run(nodes, s, 0, 5*time.Minute)
	if got, want := s.loseAnswers, 0; got != want {
		t.Fatalf("lost answers that were not used: got %d, want %d", got, want)
	}
	if got, want := s.list.Contacts(), wantList(nodes); !slices.Equal(got, want) {
		t.Errorf("seeds: got %v, want %v", got, want)
	}
	if got, limit := s.writes, 20; got > limit {
		t.Errorf("writes: got %d, want at most %d", got, limit)
	}
}

func TestOnlySeedsReadInSteadyFleet(t *testing.T) {
	nodes := newFleet(100)
	exchangeRecords(nodes)
	s := &store{}
	run(nodes, s, 0, 5*time.Minute)
	reads, writes := s.reads, s.writes
	run(nodes, s, 5*time.Minute, time.Hour+5*time.Minute)
	if got, want := s.writes, writes; got != want {
		t.Errorf("writes in a quiet hour: got %d, want %d", got-writes, 0)
	}
	// Twenty seeds read every five minutes on average, which makes 240 reads.
	if got, low, high := s.reads-reads, 200, 300; got < low || got > high {
		t.Errorf("reads in a quiet hour: got %d, want %d to %d", got, low, high)
	}
}

func TestLostSeedIsReplaced(t *testing.T) {
	nodes := newFleet(40)
	exchangeRecords(nodes)
	s := &store{}
	run(nodes, s, 0, 5*time.Minute)
	lost := kqseed.SelectSeeds(nodes[0].view.Snapshot())[0].NodeID
	nodes = slices.DeleteFunc(nodes, func(n *node) bool { return n.view.Own().NodeID == lost })
	for _, n := range nodes {
		n.view.Suspect(0, lost, kqmember.Stamp{Incarnation: 1, Version: 1}, kqmember.RemoveAfter)
	}
	run(nodes, s, 5*time.Minute, 15*time.Minute)
	if got, want := s.list.Contacts(), wantList(nodes); !slices.Equal(got, want) {
		t.Errorf("seeds: got %v, want %v", got, want)
	}
}

func TestNodeWithEmptyViewDoesNotWrite(t *testing.T) {
	nodes := newFleet(2)
	s := &store{version: 1, list: kqseed.List{Domains: []kqseed.Domain{{FailureDomain: "domain-0", Seeds: []kqseed.Seed{{NodeID: "other", Address: "10.0.0.9:1"}}}}}}
	run(nodes, s, 0, 5*time.Minute)
	if got, want := s.writes, 0; got != want {
		t.Errorf("writes: got %d, want %d", got, want)
	}
}

func TestRetriesAreSpreadWhileStoreIsDown(t *testing.T) {
	const count, minutes = 200, 10
	tries := 0
	busiest := 0
	nodes := newFleet(count)
	for now := time.Duration(0); now < minutes*time.Minute; now += time.Second {
		second := 0
		for _, n := range nodes {
			if n.seeder.Due(now, n.view.Snapshot()) {
				second++
				n.seeder.RecordReadFailure(now)
			}
		}
		tries += second
		if now > time.Minute {
			busiest = max(busiest, second)
		}
	}
	if got, limit := busiest, count/5; got > limit {
		t.Errorf("reads due in the busiest second: got %d, want at most %d", got, limit)
	}
	if tries < count*minutes {
		t.Errorf("reads due: got %d, want at least one per node and minute", tries)
	}
}
