package kqhome_test

import "testing"

// histories is the number of simulated histories.
const histories = 400

// TestNoKeyRunsTwiceUnderFaults simulates services whose nodes, network and store
// fail in random order, and checks that no key runs twice within the window in
// which its caller may send it again.
func TestNoKeyRunsTwiceUnderFaults(t *testing.T) {
	counts := map[string]int{}
	for seed := range uint64(histories) {
		s := newSimulation(seed, 1+int(seed%6))
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
	for _, name := range []string{
		"runs", "resends", "doubled", "replayed", "doubted", "moved", "fenced", "answers lost", "settled", "crashes", "restarts",
		"pauses", "splits", "leavings", "store outages", "store answers lost", "hand-overs", "hand-over answers lost",
		"claims", "claims from living holders", "left out", "repeated offers", "presumed taken", "enforced", "synced with peers",
	} {
		if counts[name] == 0 {
			t.Errorf("%s: got 0, want some, or the test does not cover it", name)
		}
	}
	t.Logf("over %d histories: %v", histories, counts)
}
