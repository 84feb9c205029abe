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

var update = flag.Bool("update", false, "write the golden files anew")

func notice(id string, born, sequence int64, state kqserver.State) kqserver.Notice {
	return kqserver.Notice{ServerID: id, Service: "orders", Address: "10.0.0.1:80", Born: born, Sequence: sequence, State: state}
}

// TestNotices tells lives notice by notice and keeps what became of each.
func TestNotices(t *testing.T) {
	const ready, draining, gone = kqserver.Ready, kqserver.Draining, kqserver.Gone
	var text strings.Builder
	for _, story := range []struct {
		name    string
		notices []kqserver.Notice
	}{
		{"a plain life", []kqserver.Notice{notice("a", 10, 1, ready), notice("a", 10, 2, ready), notice("a", 10, 3, draining), notice("a", 10, 4, gone)}},
		{"leaves without draining", []kqserver.Notice{notice("a", 10, 1, ready), notice("a", 0, 0, gone), notice("a", 10, 2, ready)}},
		{"a late notice after draining", []kqserver.Notice{notice("a", 10, 1, ready), notice("a", 10, 3, draining), notice("a", 10, 2, ready), notice("a", 10, 4, ready)}},
		{"notices that overtake each other", []kqserver.Notice{notice("a", 10, 2, ready), notice("a", 10, 1, ready), notice("a", 10, 2, ready), notice("a", 10, 3, ready)}},
		{"another server at the address", []kqserver.Notice{notice("a", 10, 7, ready), notice("a", 10, 8, draining), notice("b", 20, 1, ready), notice("a", 10, 9, ready), notice("a", 10, 9, gone)}},
		{"the same name again", []kqserver.Notice{notice("a", 10, 7, ready), notice("a", 10, 8, gone), notice("a", 20, 1, ready), notice("a", 10, 6, ready)}},
		{"the node starts beside a draining server", []kqserver.Notice{notice("a", 10, 9, draining), notice("a", 10, 10, gone)}},
		{"health is heard before the first notice", []kqserver.Notice{notice("a", 0, 0, ready), notice("a", 10, 4, ready), notice("a", 10, 5, draining)}},
		{"a stranger leaves", []kqserver.Notice{notice("a", 10, 1, ready), notice("b", 10, 1, gone), notice("c", 5, 1, gone), notice("d", 0, 0, gone)}},
	} {
		fmt.Fprintf(&text, "%s\n", story.name)
		l := kqserver.New()
		for _, n := range story.notices {
			before := l.State()
			verdict := l.Observe(n)
			fmt.Fprintf(&text, "  %s born %d notice %d says %s: %s, %s to %s\n", n.ServerID, n.Born, n.Sequence, n.State, verdict, before, l.State())
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
		t.Errorf("lives: got\n%s\nwant\n%s", got, want)
	}
}

// TestLeavingKeepsWhatWasSaid has a notice of leaving that says nothing else.
func TestLeavingKeepsWhatWasSaid(t *testing.T) {
	l := kqserver.New()
	n := notice("a", 10, 1, kqserver.Ready)
	n.Slots, n.Cold = 36, time.Second
	l.Observe(n)
	l.Observe(kqserver.Notice{ServerID: "a", State: kqserver.Gone})
	if got := l.Notice(); got.Slots != 36 || got.Born != 10 {
		t.Errorf("notice after leaving: got %+v, want the slots and the start of the one before", got)
	}
}
