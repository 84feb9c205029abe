package kqnode

import (
	"fmt"
	"testing"

	"kumquatlink/io/kqlog"
)

func TestHistoryKeepsTheNewestWithinItsBytes(t *testing.T) {
	const all, room = 1000, 100
	h := newHistory()
	one := RecordedDecision{Decision: kqlog.Decision{RequestID: "r000"}}
	h.limit = room * sizeOf(one)
	for i := range all {
		h.add(RecordedDecision{Decision: kqlog.Decision{RequestID: fmt.Sprintf("r%03d", i)}})
	}
	for i := range all {
		found, _ := h.find(fmt.Sprintf("r%03d", i))
		if got, want := len(found) == 1, i >= all-room; got != want {
			t.Fatalf("decision %d of %d with room for %d: found %v, want %v", i, all, room, got, want)
		}
	}
}
