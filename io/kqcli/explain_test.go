package kqcli

import (
	"bytes"
	"flag"
	"os"
	"testing"
	"time"

	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqnode"
)

var updateExplain = flag.Bool("update-explain", false, "write the golden file of explain")

func TestExplanationAsText(t *testing.T) {
	at := time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC)
	decision := func(name, outcome, cause, chosen string, others ...string) kqnode.RecordedDecision {
		return kqnode.RecordedDecision{At: at, Decision: kqlog.Decision{
			RequestID: "r1", Class: "purchase", Service: "orders", Decision: name, Outcome: outcome, Cause: cause,
			Chosen: chosen, Others: others, Took: 2500 * time.Microsecond,
		}}
	}
	x := explanation{RequestID: "r1", Silent: []string{"127.0.0.1:9003"}, Nodes: []kqnode.Explanation{
		{NodeID: "entry-1", FailureDomain: "lothian-a", Decisions: []kqnode.RecordedDecision{
			decision("Home", "not-run", "Moved", "orders-1"),
			decision("Home", "ran", "Done", "orders-2"),
			decision("Answer", "ran", "Done", ""),
		}},
		{NodeID: "orders-2", FailureDomain: "lothian-b", Decisions: []kqnode.RecordedDecision{
			decision("Route", "unknown", "BackendLost", "orders-3", "orders-4", "orders-5"),
			decision("Admit", "not-run", "ShedAtGate", "orders-2"),
		}},
		{NodeID: "orders-3", FailureDomain: "lothian-b", Since: at},
	}}
	var got bytes.Buffer
	if err := writeExplanation(&got, x); err != nil {
		t.Fatal(err)
	}
	const golden = "testdata/explain.golden"
	if *updateExplain {
		if err := os.WriteFile(golden, got.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("explanation: got\n%s\nwant\n%s", got.String(), want)
	}
}
