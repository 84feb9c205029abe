package kqrate_test

import (
	"testing"
	"time"

	"kumquatlink/core/kqrate"
)

// TestReportToAFormerHomeIsNotMade changes the hosts after a report was due. Another
// goroutine of a node may do so.
func TestReportToAFormerHomeIsNotMade(t *testing.T) {
	m := kqrate.NewMeter("node-0", 1)
	m.SetHosts(0, []string{"node-0", "node-1"})
	due, _ := m.Due(time.Second)
	if got, want := len(due), 1; got != want {
		t.Fatalf("homes to which a report is due: got %d, want %d", got, want)
	}
	m.SetHosts(time.Second, []string{"node-2", "node-3"})
	if _, known := m.Report(time.Second, due[0]); known {
		t.Errorf("report to %s, which is no home any more: got one, want none", due[0])
	}
}
