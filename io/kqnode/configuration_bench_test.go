package kqnode_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqconfig"
	"kumquatlink/io/kqfleet"
	"kumquatlink/io/kqnode"
	"kumquatlink/io/kqstore"
)

// BenchmarkChangeInForce measures how long a change of the configuration takes to
// come into force on every node, one change after the other. With 12 failure
// domains at most 24 nodes watch the store; the others receive it by gossip.
func BenchmarkChangeInForce(b *testing.B) {
	for _, nodes := range []int{12, 48} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) { benchmarkChange(b, nodes) })
	}
}

func benchmarkChange(b *testing.B, nodes int) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	fleet, err := kqfleet.New()
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = fleet.Close() }()
	if err := fleet.Configure(ctx, testClasses()); err != nil {
		b.Fatal(err)
	}
	for i := range nodes {
		domain := i % 12
		place := kqfleet.Place{NodeID: fmt.Sprintf("node-%d", i), Region: fmt.Sprintf("region-%d", domain%5), FailureDomain: fmt.Sprintf("domain-%d", domain)}
		if _, err := fleet.AddNode(place); err != nil {
			b.Fatal(err)
		}
	}
	waitAll(ctx, b, fleet, func(s *kqnode.State) bool { return len(s.Members.Records) == nodes && s.Classes != nil })
	before := fleet.Store.Counts()
	var slowest time.Duration
	benchmarkStart := time.Now()
	for i := 0; b.Loop(); i++ {
		class := kqclass.Class{Name: "changing", Target: kqclass.Target{Complete: 50 + float64(i%40), Within: kqclass.Duration(time.Second)}}
		changedAt := time.Now()
		accepted, err := kqstore.Change(ctx, fleet.Client, kqstore.ChangeRequest{Edit: kqconfig.Edit{Set: &class}, ChangeID: fmt.Sprintf("change-%d", i)})
		if err != nil {
			b.Fatal(err)
		}
		waitAll(ctx, b, fleet, func(s *kqnode.State) bool { return s.Configuration.Version >= accepted.Version })
		slowest = max(slowest, time.Since(changedAt))
	}
	counts, took := fleet.Store.Counts(), time.Since(benchmarkStart).Seconds()
	b.ReportMetric(float64(slowest.Milliseconds()), "slowest-ms")
	b.ReportMetric(float64(counts.Reads-before.Reads)/took, "store-reads/s")
	b.ReportMetric(float64(counts.Watches-before.Watches)/took, "store-watches/s")
}

// waitAll waits until the condition holds on every node.
func waitAll(ctx context.Context, b *testing.B, fleet *kqfleet.Fleet, condition func(*kqnode.State) bool) {
	b.Helper()
	for _, m := range fleet.Members {
		if err := m.Node.WaitFor(ctx, condition); err != nil {
			b.Fatal(err)
		}
	}
}
