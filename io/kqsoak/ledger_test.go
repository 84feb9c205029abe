package kqsoak

import (
	"fmt"
	"testing"
	"time"
)

// TestRepeatsAreCheckedAgainstTheBound records repeated arrivals of requests and
// onward calls of repeated runs. Both count, and only more than the bound is a
// violation.
func TestRepeatsAreCheckedAgainstTheBound(t *testing.T) {
	const requests, slack = 100, 10
	for name, c := range map[string]struct {
		repeats, fromRepeat int
		want                bool
	}{
		"none":                                 {0, 0, false},
		"as many as the bound allows":          {requests/5 + slack, 0, false},
		"one too many":                         {requests/5 + slack + 1, 0, true},
		"too many with calls of repeated runs": {requests / 5, slack + 4, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger()
			for i := range requests {
				id := fmt.Sprint("r", i)
				l.recordSent(call{id: id, service: services[1]})
				l.recordArrival(id, services[1])
			}
			for i := range c.fromRepeat {
				id := fmt.Sprint("i", i)
				l.recordSent(call{id: id, service: services[1], fromRepeat: true})
				if !l.recordArrival(id, services[1]) {
					t.Error("call of a repeated run: does not count as a repeat, want it to")
				}
			}
			for i := range c.repeats {
				if !l.recordArrival(fmt.Sprint("r", i), services[1]) {
					t.Error("second arrival: does not count as a repeat, want it to")
				}
			}
			l.checkRepeats(0.2, slack, time.Hour)
			if got := len(l.violations) > 0; got != c.want {
				t.Errorf("violation: got %v %q, want %v", got, l.violations, c.want)
			}
			if got, want := l.report().Repeats, c.repeats+c.fromRepeat; got != want {
				t.Errorf("repeats: got %d, want %d", got, want)
			}
		})
	}
}
