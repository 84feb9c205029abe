package kqnode_test

import (
	"context"
	"testing"
	"time"

	"kumquatlink/io/kqfleet"
)

// testTimeout is the time limit of a test, so that a test that hangs fails.
const testTimeout = time.Minute

// pollPeriod is how often a condition is checked that has no notification.
const pollPeriod = 5 * time.Millisecond

// testContext returns a context that ends after testTimeout, or when the test ends.
func testContext(t testing.TB) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// newFleet starts a fleet with a store that holds the classes of the tests. It
// closes the fleet when the test ends.
func newFleet(ctx context.Context, t testing.TB) *kqfleet.Fleet {
	t.Helper()
	fleet, err := kqfleet.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := fleet.Close(); err != nil {
			t.Errorf("close fleet: %v", err)
		}
	})
	if err := fleet.Configure(ctx, testClasses()); err != nil {
		t.Fatal(err)
	}
	return fleet
}

// eventually waits until the condition holds, and fails the test if ctx ends
// first.
func eventually(ctx context.Context, t testing.TB, what string, condition func() bool) {
	t.Helper()
	for !condition() {
		select {
		case <-time.After(pollPeriod):
		case <-ctx.Done():
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}
