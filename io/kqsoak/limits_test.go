package kqsoak

import (
	"testing"
	"time"
)

// TestRequestsOverANamedLimitAreAViolation records arrivals at a server that names
// a limit of 1 a second from the second 2 on, and of 2 from the second 10 on until
// the second 20. Each burst comes at one moment.
func TestRequestsOverANamedLimitAreAViolation(t *testing.T) {
	start := time.Now()
	second := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for name, c := range map[string]struct {
		at    float64
		burst int
		want  bool
	}{
		"before the limit":                 {1, 100, false},
		"while nodes learn of the limit":   {2.5, 100, false},
		"as many as the limit allows":      {7, 11, false},
		"one more than the limit allows":   {7, 12, true},
		"as many as the new limit allows":  {12, 17, false},
		"one more than the new one allows": {12, 18, true},
		"after the limit has ended":        {21, 100, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := &limits{named: []namedLimit{{second(2), 1}, {second(10), 2}, {second(20), noLimit}}}
			for range c.burst {
				l.arrivals = append(l.arrivals, second(c.at))
			}
			to := newLedger()
			l.check("i-1", to)
			if got := len(to.violations) > 0; got != c.want {
				t.Errorf("violation: got %t %v, want %t", got, to.violations, c.want)
			}
		})
	}
}
