package kqadmit_test

import (
	"testing"
	"time"

	"kumquatlink/core/kqadmit"
	"kumquatlink/core/kqcall"
)

// TestCallsAreHandedBack fills a gate of one slot, has a call of each rank wait there, and
// asks whether a call of each rank is handed back.
func TestCallsAreHandedBack(t *testing.T) {
	level := func(rank int, id string) kqadmit.Level {
		return kqadmit.OnwardLevel(kqcall.Head{RequestID: id, Rank: rank})
	}
	item := func(id uint64, rank int) kqadmit.Item {
		return kqadmit.Item{ID: id, Level: level(rank, "earlier"), Class: "browse", Deadline: time.Second}
	}
	const none = -1
	for _, c := range []struct {
		name          string
		running       bool
		waiting, rank int
		want          bool
	}{
		{name: "free slot", waiting: none, rank: 1},
		{name: "no free slot", running: true, waiting: none, rank: 1, want: true},
		{name: "more important call waits", running: true, waiting: 0, rank: 1, want: true},
		{name: "call of the rank waits", running: true, waiting: 1, rank: 1, want: true},
		{name: "less important call waits", running: true, waiting: 2, rank: 1},
	} {
		q := kqadmit.New()
		if c.running {
			q.Offer(0, item(1, 1))
		}
		if c.waiting != none {
			q.Offer(0, item(2, c.waiting))
		}
		if got := q.HandsBack(0, level(c.rank, "later")); got != c.want {
			t.Errorf("%s: call of rank %d handed back: got %t, want %t", c.name, c.rank, got, c.want)
		}
	}
}
