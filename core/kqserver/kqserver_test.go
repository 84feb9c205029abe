package kqserver_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"kumquatlink/core/kqserver"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// receivedFirst is when a notice is received unless the test says otherwise.
var receivedFirst = time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)

func notice(id string, born, sequence int64, state kqserver.State) kqserver.Notice {
	return kqserver.Notice{ServerID: id, Service: "orders", Address: "10.0.0.1:80", Born: born, Sequence: sequence, State: state, ReceivedAt: receivedFirst}
}

// after returns a notice that is received some seconds after receivedFirst.
func after(seconds int, n kqserver.Notice) kqserver.Notice {
	n.ReceivedAt = receivedFirst.Add(time.Duration(seconds) * time.Second)
	return n
}

// TestNoticesChangeState applies sequences of notices and compares the verdicts
// and states with a golden file.
func TestNoticesChangeState(t *testing.T) {
	const ready, draining, gone = kqserver.Ready, kqserver.Draining, kqserver.Gone
	var text strings.Builder
	for _, scenario := range []struct {
		name    string
		notices []kqserver.Notice
	}{
		{"ready, draining, gone", []kqserver.Notice{notice("a", 10, 1, ready), notice("a", 10, 2, ready), notice("a", 10, 3, draining), notice("a", 10, 4, gone)}},
		{"leaves without draining", []kqserver.Notice{notice("a", 10, 1, ready), notice("a", 0, 0, gone), notice("a", 10, 2, ready)}},
		{"a late notice after draining", []kqserver.Notice{notice("a", 10, 1, ready), notice("a", 10, 3, draining), notice("a", 10, 2, ready), notice("a", 10, 4, ready)}},
		{"notices out of order", []kqserver.Notice{notice("a", 10, 2, ready), notice("a", 10, 1, ready), notice("a", 10, 2, ready), notice("a", 10, 3, ready)}},
		{"another server at the address", []kqserver.Notice{notice("a", 10, 7, ready), notice("a", 10, 8, draining), notice("b", 20, 1, ready), notice("a", 10, 9, ready), notice("a", 10, 9, gone)}},
		{"a restart with the same ID", []kqserver.Notice{notice("a", 10, 7, ready), notice("a", 10, 8, gone), notice("a", 20, 1, ready), notice("a", 10, 6, ready)}},
		{"the node starts beside a draining server", []kqserver.Notice{notice("a", 10, 9, draining), notice("a", 10, 10, gone)}},
		{"a health check succeeds before the first notice", []kqserver.Notice{notice("a", 0, 0, ready), notice("a", 10, 4, ready), notice("a", 10, 5, draining)}},
		{"other servers leave", []kqserver.Notice{notice("a", 10, 1, ready), notice("b", 10, 1, gone), notice("c", 5, 1, gone), notice("d", 0, 0, gone)}},
		{"draining without a start time, then a late notice", []kqserver.Notice{notice("a", 10, 1, ready), notice("a", 0, 3, draining), notice("a", 10, 2, ready), notice("a", 10, 4, ready)}},
		{"leaves without a start time beside a new node, then a late notice", []kqserver.Notice{notice("a", 0, 0, gone), notice("a", 10, 2, ready), notice("a", 10, 3, ready)}},
		{"the same ID starts after it has left without a start time", []kqserver.Notice{notice("a", 0, 0, gone), notice("a", receivedFirst.Add(time.Minute).UnixMilli(), 1, ready)}},
		{"the clock was set back before a restart", []kqserver.Notice{
			notice("a", 20, 7, ready), after(2, notice("a", 10, 1, ready)), after(4, notice("a", 10, 2, ready)),
			after(6, notice("a", 10, 3, ready)), after(8, notice("a", 10, 4, ready)), after(10, notice("a", 10, 5, draining)),
		}},
		{"the clock was set back before a restart under another ID, and the server drains", []kqserver.Notice{
			notice("a", 20, 7, ready), after(8, notice("b", 10, 4, ready)), after(10, notice("b", 10, 5, draining)), after(12, notice("a", 20, 8, ready)),
		}},
		{"late notices of an ended start while the latest one is heard", []kqserver.Notice{
			notice("b", 20, 1, ready), after(6, notice("a", 10, 7, ready)), after(7, notice("b", 20, 2, ready)), after(8, notice("a", 10, 8, draining)), after(9, notice("a", 10, 8, draining)),
		}},
		{"a start time far ahead, then the true one", []kqserver.Notice{
			notice("a", 1<<50, 1, ready), after(1, notice("a", 10, 2, draining)), after(6, notice("a", 10, 3, draining)), after(7, notice("a", 10, 4, draining)),
		}},
	} {
		fmt.Fprintf(&text, "%s\n", scenario.name)
		tracker := kqserver.New()
		for _, n := range scenario.notices {
			before := tracker.State()
			verdict := tracker.Observe(n)
			fmt.Fprintf(&text, "  %s born %d notice %d says %s: %s, %s to %s\n", n.ServerID, n.Born, n.Sequence, n.State, verdict, before, tracker.State())
		}
	}
	const path = "testdata/notices.txt"
	if *update {
		if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got := text.String(); got != string(want) {
		t.Errorf("notices: got\n%s\nwant\n%s", got, want)
	}
}

// TestNoticeOfLeavingKeepsEarlierFields has a notice of leaving that states
// nothing else.
func TestNoticeOfLeavingKeepsEarlierFields(t *testing.T) {
	tracker := kqserver.New()
	n := notice("a", 10, 1, kqserver.Ready)
	n.Slots, n.Cold = 36, time.Second
	tracker.Observe(n)
	tracker.Observe(kqserver.Notice{ServerID: "a", State: kqserver.Gone})
	if got := tracker.Notice(); got.Slots != 36 || got.Born != 10 {
		t.Errorf("notice after leaving: got %+v, want Slots 36 and Born 10 as in the notice before", got)
	}
}
