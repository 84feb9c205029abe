package kqsoak

import (
	"fmt"
	"testing"
	"time"
)

// TestRepeatsAreHeldAgainstTheBound hands a backend server the same requests
// again and again, and calls of runs that were repeats.
func TestRepeatsAreHeldAgainstTheBound(t *testing.T) {
	const requests, slack = 100, 10
	for name, c := range map[string]struct {
		repeats, inherited int
		want               bool
	}{
		"none":                          {0, 0, false},
		"as many as may be":             {requests/5 + slack, 0, false},
		"one too many":                  {requests/5 + slack + 1, 0, true},
		"too many with those inherited": {requests / 5, slack + 4, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger()
			for i := range requests {
				id := fmt.Sprint("r", i)
				l.sent(call{id: id, service: services[1]})
				l.arrived(id, services[1])
			}
			for i := range c.inherited {
				id := fmt.Sprint("i", i)
				l.sent(call{id: id, service: services[1], inherited: true})
				if !l.arrived(id, services[1]) {
					t.Error("call of a repeated run: got no repeat, want one")
				}
			}
			for i := range c.repeats {
				if !l.arrived(fmt.Sprint("r", i), services[1]) {
					t.Error("second arrival: got no repeat, want one")
				}
			}
			l.checkRepeats(0.2, slack, time.Hour)
			if got := len(l.broken) > 0; got != c.want {
				t.Errorf("broken promise: got %v %q, want %v", got, l.broken, c.want)
			}
			if got, want := l.report().Repeats, c.repeats+c.inherited; got != want {
				t.Errorf("repeats: got %d, want %d", got, want)
			}
		})
	}
}
