package kqhome_test

import "testing"

// histories is the number of simulated histories.
const histories = 400

// TestNoKeyRunsTwiceUnderFaults simulates services whose nodes, network and store
// fail in random order, and checks that no key runs twice within the window in
// which its caller may send it again.
func TestNoKeyRunsTwiceUnderFaults(t *testing.T) {
	counts := runHistories(t, false)
	for _, name := range []string{
		"runs", "resends", "doubled", "replayed", "doubted", "moved", "fenced", "answers lost", "settled", "crashes", "restarts",
		"pauses", "splits", "leavings", "store outages", "store answers lost", "hand-overs", "hand-over answers lost",
		"claims", "claims from living holders", "left out", "repeated offers", "presumed taken", "enforced", "missing ledgers", "synced with peers",
	} {
		if counts[name] == 0 {
			t.Errorf("%s: got 0, want some, or the test does not cover it", name)
		}
	}
	t.Logf("over %d histories: %v", histories, counts)
}

// TestNoKeyRunsTwiceWhenTheStoreIsRestored also restores the store from copies that
// lack claims, registrations and removals, or the whole table.
func TestNoKeyRunsTwiceWhenTheStoreIsRestored(t *testing.T) {
	counts := runHistories(t, true)
	for _, name := range []string{"runs", "resends", "claims", "left out", "restores", "tables written back", "tables created"} {
		if counts[name] == 0 {
			t.Errorf("%s: got 0, want some, or the test does not cover it", name)
		}
	}
	t.Logf("over %d histories: %v", histories, counts)
}

// runHistories simulates the histories, until a key runs twice, and returns how
// often each kind of event happened.
func runHistories(t *testing.T, restores bool) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for seed := range uint64(histories) {
		s := newSimulation(seed, 1+int(seed%6))
		s.restores = restores
		s.run()
		for _, v := range s.violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		for name, n := range s.counts {
			counts[name] += n
		}
		if t.Failed() {
			break
		}
	}
	return counts
}
