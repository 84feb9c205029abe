package kqhome_test

import "testing"

// worlds is the number of simulated histories.
const worlds = 400

func TestNoKeyRunsTwiceWhateverFails(t *testing.T) {
	counts := map[string]int{}
	for seed := range uint64(worlds) {
		w := newWorld(seed, 1+int(seed%6))
		w.live()
		for _, f := range w.faults {
			t.Errorf("seed %d: %s", seed, f)
		}
		for name, n := range w.counts {
			counts[name] += n
		}
		if t.Failed() {
			break
		}
	}
	for _, name := range []string{
		"runs", "resends", "doubled", "replayed", "doubted", "moved", "fenced", "answers lost", "settled", "crashes", "restarts",
		"pauses", "splits", "leavings", "store outages", "store answers lost", "hand-overs", "hand-over answers lost",
		"claims", "claims from living holders", "left out", "offers again", "presumed given", "enforced", "synced with peers",
	} {
		if counts[name] == 0 {
			t.Errorf("%s: got 0, want some, else the test proves nothing", name)
		}
	}
	t.Logf("over %d histories: %v", worlds, counts)
}
