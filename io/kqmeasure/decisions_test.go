package kqmeasure

import (
	"fmt"
	"testing"
)

// The log of each node counts its own tries of a call, and an answer ends the
// count: q1 has two retries to packs on one node and, as a later call, one more.
func TestRetryCounterCountsTriesBeyondTheFirstOfEachCall(t *testing.T) {
	d := newRetryCounter()
	one, other := d.nodeLog(), d.nodeLog()
	write := func(node int, decision, request, service string) {
		w := one
		if node == 1 {
			w = other
		}
		if _, err := fmt.Fprintf(w, "{\"Decision\":%q,\"RequestID\":%q,\"Service\":%q}\n", decision, request, service); err != nil {
			t.Fatal(err)
		}
	}
	for range 3 {
		write(0, "Route", "q1", "packs")
	}
	write(1, "Route", "q1", "packs")
	write(0, "Route", "q2", "packs")
	write(0, "Route", "q1", "orders")
	write(0, "Answer", "q1", "packs")
	write(0, "Answer", "q1", "orders")
	write(0, "Answer", "q2", "packs")
	write(1, "Answer", "q1", "packs")
	write(0, "Answer", "q3", "packs")
	for range 2 {
		write(0, "Route", "q1", "packs")
	}
	write(0, "Answer", "q1", "packs")
	counts := d.counts()
	if got, want := counts["q1"], 3; got != want {
		t.Errorf("retries of q1: got %d, want %d", got, want)
	}
	if got, want := counts["q2"]+counts["q3"], 0; got != want {
		t.Errorf("retries of q2 and q3: got %d, want %d", got, want)
	}
}
