package kqlog

import (
	"fmt"
	"testing"
	"time"
)

// TestBudgetLimitsLinesAndKeepsFailures offers ten times the lines of the budget.
// One request in twenty fails.
func TestBudgetLimitsLinesAndKeepsFailures(t *testing.T) {
	const rate, seconds = 400, 10
	b := newBudget(rate)
	start := time.Unix(1000, 0)
	ordinary, failed, failures := 0, 0, 0
	lines := map[string]int{}
	for i := range 10 * rate * seconds / 3 {
		at := start.Add(time.Duration(i) * time.Second * 3 / (10 * rate))
		root := fmt.Sprint(i)
		if i%20 == 0 {
			failures++
			if b.allow(Decision{RequestID: root, Outcome: "unknown"}, at) {
				failed++
			}
			continue
		}
		for _, id := range []string{root, root + ".a", root + ".b"} {
			if b.allow(Decision{RequestID: id, Root: root, Outcome: "ran", Status: 200}, at) {
				ordinary++
				lines[root]++
			}
		}
	}
	if maxLines := rate*seconds + rate*burstSeconds; ordinary+failed > maxLines {
		t.Errorf("lines in %d s: got %d, want at most %d", seconds, ordinary+failed, maxLines)
	}
	if failed < failures*9/10 {
		t.Errorf("failures written: got %d of %d, want at least nine in ten", failed, failures)
	}
	if ordinary < rate {
		t.Errorf("ordinary lines: got %d, want at least the lines of one second", ordinary)
	}
	incomplete := 0
	for _, n := range lines {
		if n != 3 {
			incomplete++
		}
	}
	if incomplete > len(lines)/10 {
		t.Errorf("requests with only some of their lines: got %d of %d, want at most one in ten", incomplete, len(lines))
	}
}

func TestWithoutBudgetEveryLineIsWritten(t *testing.T) {
	for range 10000 {
		if !newBudget(0).allow(Decision{}, time.Unix(0, 0)) {
			t.Fatal("line without a budget: got dropped, want written")
		}
	}
}
