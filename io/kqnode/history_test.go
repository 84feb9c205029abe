package kqnode

import (
	"fmt"
	"testing"

	"kumquatlink/io/kqlog"
)

func TestHistoryKeepsNewestDecisionsWithinItsLimit(t *testing.T) {
	const added, capacity = 1000, 100
	h := newHistory()
	one := RecordedDecision{Decision: kqlog.Decision{RequestID: "r000"}}
	h.limit = capacity * sizeOf(one)
	for i := range added {
		h.add(RecordedDecision{Decision: kqlog.Decision{RequestID: fmt.Sprintf("r%03d", i)}})
	}
	for i := range added {
		found, _ := h.find(fmt.Sprintf("r%03d", i))
		if got, want := len(found) == 1, i >= added-capacity; got != want {
			t.Fatalf("decision %d of %d with room for %d: found %v, want %v", i, added, capacity, got, want)
		}
	}
}
