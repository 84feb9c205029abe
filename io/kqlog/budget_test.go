package kqlog

import (
	"fmt"
	"testing"
	"time"
)

// TestBudgetBoundsLinesAndKeepsFailures offers ten times the lines of the
// budget, one in twenty a failure.
func TestBudgetBoundsLinesAndKeepsFailures(t *testing.T) {
	const rate, seconds = 400, 10
	b := newBudget(rate)
	begun := time.Unix(1000, 0)
	ordinary, failed, failures := 0, 0, 0
	lines := map[string]int{}
	for i := range 10 * rate * seconds / 3 {
		at := begun.Add(time.Duration(i) * time.Second * 3 / (10 * rate))
		root := fmt.Sprint(i)
		if i%20 == 0 {
			failures++
			if b.admits(Decision{RequestID: root, Outcome: "unknown"}, at) {
				failed++
			}
			continue
		}
		for _, id := range []string{root, root + ".a", root + ".b"} {
			if b.admits(Decision{RequestID: id, Root: root, Outcome: "ran", Status: 200}, at) {
				ordinary++
				lines[root]++
			}
		}
	}
	if most := rate*seconds + rate*budgetBurst; ordinary+failed > most {
		t.Errorf("lines in %d s: got %d, want at most %d", seconds, ordinary+failed, most)
	}
	if failed < failures*9/10 {
		t.Errorf("failures written: got %d of %d, want nine in ten", failed, failures)
	}
	if ordinary < rate {
		t.Errorf("ordinary lines: got %d, want some", ordinary)
	}
	torn := 0
	for _, n := range lines {
		if n != 3 {
			torn++
		}
	}
	if torn > len(lines)/10 {
		t.Errorf("requests with some of their lines: got %d of %d, want one in ten at most", torn, len(lines))
	}
}

func TestNoBudgetBoundsNothing(t *testing.T) {
	for range 10000 {
		if !newBudget(0).admits(Decision{}, time.Unix(0, 0)) {
			t.Fatal("line without a budget: got left out, want written")
		}
	}
}
