package kqnode_test

import (
	"context"
	"testing"
	"time"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqconfig"
	"kumquatlink/io/kqfleet"
	"kumquatlink/io/kqnode"
	"kumquatlink/io/kqobject"
	"kumquatlink/io/kqoperator"
	"kumquatlink/io/kqstore"
)

// startFleet starts three nodes in three regions and waits until each has
// version 1 of the configuration in force and knows the others.
func startFleet(t *testing.T) (*kqfleet.Fleet, context.Context) {
	t.Helper()
	ctx := testContext(t)
	fleet := newFleet(ctx, t)
	for _, region := range []string{"lothian", "clyde", "grampian"} {
		addNode(t, fleet, "node-"+region, region)
	}
	waitForVersion(ctx, t, fleet, 1)
	for _, m := range fleet.Members {
		err := m.Node.WaitFor(ctx, func(s *kqnode.State) bool { return len(s.Members.Records) == len(fleet.Members) })
		if err != nil {
			t.Fatalf("wait for the membership: %v", err)
		}
	}
	return fleet, ctx
}

// addNode adds a node without a backend server.
func addNode(t *testing.T, fleet *kqfleet.Fleet, nodeID, region string) *kqfleet.Member {
	t.Helper()
	m, err := fleet.AddNode(kqfleet.Place{NodeID: nodeID, Region: region, FailureDomain: region + "-a"})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// waitForVersion waits until every node has the version or a newer one in force.
func waitForVersion(ctx context.Context, t *testing.T, fleet *kqfleet.Fleet, version int64) {
	t.Helper()
	for _, m := range fleet.Members {
		err := m.Node.WaitFor(ctx, func(s *kqnode.State) bool { return s.Configuration.Version >= version })
		if err != nil {
			t.Fatalf("wait for configuration version %d: %v", version, err)
		}
	}
}

// change adds a class named like the change ID to the configuration in the store.
func change(ctx context.Context, t *testing.T, fleet *kqfleet.Fleet, changeID string) kqclass.Configuration {
	t.Helper()
	class := kqclass.Class{Name: changeID, Target: kqclass.Target{Complete: 90, Within: kqclass.Duration(time.Second)}}
	got, err := kqstore.Change(ctx, fleet.Client, kqstore.ChangeRequest{Edit: kqconfig.Edit{Set: &class}, ChangeID: changeID})
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func TestChangeComesIntoForceOnEveryNodeAndIsReported(t *testing.T) {
	fleet, ctx := startFleet(t)
	accepted := change(ctx, t, fleet, "lookup")
	status, err := kqoperator.Status(ctx, fleet.Members[0].Node.OperatorAddress())
	if err != nil {
		t.Fatal(err)
	}
	report, err := kqoperator.WaitInForce(ctx, status.Members, accepted.Version)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := report.InForce, 3; got != want {
		t.Errorf("nodes with the version: got %d, want %d\n%s", got, want, report)
	}
}

// A watch of the store may stop delivering changes without an error. The nodes
// then find the change by the periodic read.
func TestChangeComesIntoForceWhenWatchesDeliverNothing(t *testing.T) {
	fleet, ctx := startFleet(t)
	fleet.Store.SetFaults(kqobject.Faults{SilentWatches: true})
	accepted := change(ctx, t, fleet, "lookup")
	waitForVersion(ctx, t, fleet, accepted.Version)
}

// A store restored from a backup must not bring back the older configuration. The
// nodes keep the one in force and write it back.
func TestConfigurationOfARestoredBackupIsRefusedAndRepaired(t *testing.T) {
	fleet, ctx := startFleet(t)
	backup := fleet.Store.Backup()
	accepted := change(ctx, t, fleet, "lookup")
	waitForVersion(ctx, t, fleet, accepted.Version)
	fleet.Store.Restore(backup)
	repaired := false
	for !repaired {
		stored, _, err := kqstore.ReadConfiguration(ctx, fleet.Client)
		if err != nil {
			t.Fatal(err)
		}
		repaired = stored.Version == accepted.Version && stored.ChangeID == accepted.ChangeID
	}
	for _, m := range fleet.Members {
		if got, want := m.Node.State().Configuration.Version, accepted.Version; got != want {
			t.Errorf("version in force: got %d, want %d", got, want)
		}
	}
}

func TestNodeStartedWhileTheStoreIsDownGetsConfigurationFromPeers(t *testing.T) {
	fleet, ctx := startFleet(t)
	fleet.Store.SetFaults(kqobject.Faults{Down: true})
	late := addNode(t, fleet, "late", "clyde")
	if err := late.Node.WaitFor(ctx, func(s *kqnode.State) bool { return s.Classes != nil }); err != nil {
		t.Fatal(err)
	}
	if got, want := late.Node.State().Configuration.Version, int64(1); got != want {
		t.Errorf("version in force: got %d, want %d", got, want)
	}
	if at := late.Node.State().Store.AnsweredAt; !at.IsZero() {
		t.Errorf("time of the store's last answer: got %s, want none", at)
	}
}
