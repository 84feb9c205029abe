package kqnode_test

import (
	"context"
	"testing"
	"time"

	"kumquatlink/io/kqfleet"
)

// testPatience only ends a test that hangs.
const testPatience = time.Minute

// pollPeriod is how often a condition that nothing announces is looked at.
const pollPeriod = 5 * time.Millisecond

// patient gives a context that ends a test that hangs.
func patient(t testing.TB) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testPatience)
	t.Cleanup(cancel)
	return ctx
}

// newFleet starts a fleet that has a store and the classes of the tests, and
// closes it when the test ends.
func newFleet(ctx context.Context, t testing.TB) *kqfleet.Fleet {
	t.Helper()
	fleet, err := kqfleet.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := fleet.Close(); err != nil {
			t.Errorf("close: %v", err)
		}
	})
	if err := fleet.Configure(ctx, testClasses()); err != nil {
		t.Fatal(err)
	}
	return fleet
}

// eventually waits until the condition holds.
func eventually(ctx context.Context, t testing.TB, what string, condition func() bool) {
	t.Helper()
	for !condition() {
		select {
		case <-time.After(pollPeriod):
		case <-ctx.Done():
			t.Fatalf("waited in vain: %s", what)
		}
	}
}
