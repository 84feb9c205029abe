package kqwatch_test

import (
	"testing"
	"time"

	"kumquatlink/core/kqwatch"
)

// TestNodeTellsOnlyWhatItHasHeardLately guards against a node that keeps others from
// asking the store while it hears nothing from the store itself.
func TestNodeTellsOnlyWhatItHasHeardLately(t *testing.T) {
	for _, c := range []struct {
		evidence kqwatch.Evidence
		want     time.Duration
	}{
		{kqwatch.Evidence{RoutesWatched: true, HostsWatched: true, Age: time.Second}, kqwatch.MaxEvidenceAge - time.Second},
		{kqwatch.Evidence{RoutesWatched: true, HostsWatched: true, Age: kqwatch.MaxEvidenceAge + 1}, 0},
		{kqwatch.Evidence{RoutesWatched: true}, 0},
		{kqwatch.Evidence{HostsWatched: true}, 0},
	} {
		if got := c.evidence.Remaining(); got != c.want {
			t.Errorf("%+v is sufficient for: got %s, want %s", c.evidence, got, c.want)
		}
		if got, want := c.evidence.IsSufficient(), c.want > 0; got != want {
			t.Errorf("%+v is sufficient: got %t, want %t", c.evidence, got, want)
		}
	}
}
