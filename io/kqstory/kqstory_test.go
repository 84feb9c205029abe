package kqstory_test

import (
	"flag"
	"os"
	"strings"
	"testing"

	"kumquatlink/io/kqstory"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// operationsPage shows the traces of the golden files.
const operationsPage = "../../docs/OPERATIONS.md"

func readLines(t *testing.T, name string) []kqstory.Line {
	t.Helper()
	f, err := os.Open("testdata/" + name + ".log")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines, _, err := kqstory.Read(f)
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

// golden compares text with a golden file, and checks that the operations page
// contains it if onPage is set.
func golden(t *testing.T, name, got string, onPage bool) {
	t.Helper()
	path := "testdata/" + name
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
	text, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	if onPage && !strings.Contains(string(text), got) {
		t.Errorf("docs/OPERATIONS.md does not contain\n%s", got)
	}
}

// TestTracesMatchOperationsPage builds the traces that the page shows, from logs
// of a test mesh with simulated backend servers.
func TestTracesMatchOperationsPage(t *testing.T) {
	for name, id := range map[string]string{"refused": "refused-1", "lost": "lost-1", "early": "early-1"} {
		var text strings.Builder
		if err := kqstory.BuildTrace(readLines(t, name), id).Write(&text); err != nil {
			t.Fatal(err)
		}
		golden(t, name+".txt", text.String(), true)
	}
}

func TestSummaryMatchesOperationsPage(t *testing.T) {
	var text strings.Builder
	if err := kqstory.WriteSummary(&text, kqstory.CountFailures(readLines(t, "early"))); err != nil {
		t.Fatal(err)
	}
	golden(t, "summary.txt", text.String(), true)
}

// TestOnwardCallsAreNestedUnderTheirRequest builds a trace from logs of nodes
// whose clocks differ by minutes.
func TestOnwardCallsAreNestedUnderTheirRequest(t *testing.T) {
	log := `noise
2026-12-04 collector: {"Node":"a","Time":"2026-12-04T10:00:00.9Z","Decision":"Answer","RequestID":"r","Class":"browse","Service":"catalog","Outcome":"ran","Cause":"Done","Status":500,"TookMicros":800000,"Others":["b"]}
{"Node":"b","Time":"2026-12-04T09:10:00.7Z","Decision":"Answer","RequestID":"c2","Root":"r","Class":"browse","Service":"orders","Outcome":"not-run","Cause":"ShedAtEntry","Status":503}
{"Node":"b","Time":"2026-12-04T09:10:00.4Z","Decision":"Answer","RequestID":"c1","Root":"r","Class":"browse","Service":"orders","Outcome":"ran","Cause":"Done","Status":200}
{"Node":"b","Time":"2026-12-04T09:10:00.9Z","Decision":"Admit","RequestID":"r","Class":"browse","Service":"catalog","Outcome":"ran","Cause":"Done","Chosen":"i-1","TookMicros":790000}
{"Node":"b","Time":"2026-12-04T09:09:59.9Z","Level":"warn","Message":"store is lost","Error":"timeout"}
{"Node":"b","Time":"2026-12-04T08:00:00.0Z","Level":"info","Message":"long before"}
{"Node":"c","Time":"2026-12-04T10:00:00.5Z","Level":"info","Message":"has nothing to do with it"}
`
	lines, skipped, err := kqstory.Read(strings.NewReader(log))
	if err != nil || skipped != 1 {
		t.Fatalf("read: got %d skipped, %v, want 1, nil", skipped, err)
	}
	for _, id := range []string{"r", "c2"} {
		var text strings.Builder
		if err := kqstory.BuildTrace(lines, id).Write(&text); err != nil {
			t.Fatal(err)
		}
		golden(t, "onward.txt", text.String(), false)
	}
	var text strings.Builder
	if err := kqstory.BuildTrace(lines, "nobody").Write(&text); err != nil {
		t.Fatal(err)
	}
	golden(t, "nobody.txt", text.String(), false)
}

func FuzzRead(f *testing.F) {
	f.Add(`{"Node":"a","Decision":"Answer","RequestID":"r"}`, "r")
	f.Fuzz(func(t *testing.T, log, id string) {
		lines, _, err := kqstory.Read(strings.NewReader(log))
		if err != nil {
			return
		}
		var text strings.Builder
		if err := kqstory.BuildTrace(lines, id).Write(&text); err != nil {
			t.Fatal(err)
		}
	})
}

// TestRefusalNamesDownstreamService has an entry refuse a request because of the
// load of a service further down its call chain.
func TestRefusalNamesDownstreamService(t *testing.T) {
	log := `{"Level":"info","Node":"catalog-1","Time":"2026-12-04T07:00:00.000000Z","Decision":"Answer","RequestID":"r1","Class":"browse",` +
		`"Service":"catalog","Cause":"ShedAtEntry","Outcome":"not-run","Status":503,"RoutesVersion":4,"Behind":"licensing","AgeMicros":120000}`
	lines, _, err := kqstory.Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	if err := kqstory.BuildTrace(lines, "r1").Write(&text); err != nil {
		t.Fatal(err)
	}
	if got, want := text.String(), "not-run ShedAtEntry, for licensing as reported 120ms ago"; !strings.Contains(got, want) {
		t.Errorf("trace: got %q, want it to contain %q", got, want)
	}
}

// TestTracesTellRefusalsOfTeamsApart builds the traces of requests that ended with 401,
// with 429 and for a share, which the operations page shows.
func TestTracesTellRefusalsOfTeamsApart(t *testing.T) {
	var text strings.Builder
	for _, id := range []string{"key-1", "quota-1", "share-1", "room-1"} {
		if err := kqstory.BuildTrace(readLines(t, "teams"), id).Write(&text); err != nil {
			t.Fatal(err)
		}
	}
	golden(t, "teams.txt", text.String(), true)
}
