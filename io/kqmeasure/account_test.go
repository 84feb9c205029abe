package kqmeasure

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqbackend"
	"kumquatlink/io/kqfleet"
)

var update = flag.Bool("update", false, "overwrite the golden files")

// golden compares data with a golden file, or writes the file with -update.
func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}

// testProfile returns the profile "bluebonnet".
func testProfile(t *testing.T) Profile {
	t.Helper()
	p, found := FindProfile("bluebonnet")
	if !found {
		t.Fatal("profile bluebonnet not found")
	}
	return p
}

// testScenario returns a scenario without faults, with phases of one second.
func testScenario() Scenario {
	return Scenario{Name: "test", Warm: time.Second, Before: time.Second, During: time.Second, After: time.Second, Load: 1}
}

func ranAnswer() kqbackend.Answer {
	return kqbackend.Answer{Status: fasthttp.StatusOK, Outcome: string(kqcall.OutcomeRan), Cause: string(kqcall.CauseDone)}
}

func notRunAnswer(c kqcall.Cause) kqbackend.Answer {
	return kqbackend.Answer{Status: fasthttp.StatusServiceUnavailable, Outcome: string(kqcall.OutcomeNotRun), Cause: string(c)}
}

func path(kind, steps, call string) string {
	return "/plan/" + kind + "/" + steps + "/" + call
}

// testTrial returns a small trial that contains each violation of the report
// once: one retry more than allowed, a key that ran twice, a call that ran and
// was answered "not run", a wrong answer, a call that was cut off, a call that
// began too late on a host that leaves, and a purchase that was shed while a
// browse began.
func testTrial(t *testing.T) *trial {
	t.Helper()
	startedAt := time.Unix(1_000_000, 0)
	at := func(milliseconds int) time.Time { return startedAt.Add(time.Duration(milliseconds) * time.Millisecond) }
	draining := &host{place: kqfleet.Place{NodeID: "packs-1"}, service: "packs"}
	serving := &host{place: kqfleet.Place{NodeID: "licensing-1"}, service: "licensing"}
	request := func(id, kind string, milliseconds int, done int, attempts ...attempt) *root {
		r := &root{arrival: arrival{At: time.Duration(milliseconds) * time.Millisecond, Kind: kind}, ID: id, Attempts: attempts}
		r.Done = time.Duration(done) * time.Millisecond
		return r
	}
	newAttempt := func(call string, ended int, a kqbackend.Answer) attempt {
		return attempt{CallID: call, Answer: a, Ended: time.Duration(ended) * time.Millisecond}
	}
	wrong := newAttempt("q4.0", 2600, ranAnswer())
	wrong.Wrong = true
	run := func(h *host, request, class, path, key string, begin, end int, worked time.Duration, answered bool) backendRun {
		return backendRun{kqbackend.Run{RequestID: request, Class: class, Path: path, Key: key, At: at(begin), Ended: at(end), Worked: worked, Answered: answered}, h.service, h}
	}
	return &trial{
		profile: testProfile(t), scenario: testScenario(), startedAt: startedAt, faultsInjected: 3,
		roots: []*root{
			request("q0", "browse", 500, 600, newAttempt("q0.0", 600, ranAnswer())),
			request("q1", "browse", 1200, 1400, newAttempt("q1.0", 1400, ranAnswer())),
			request("q2", "purchase", 1300, 1500, newAttempt("q2.0", 1500, ranAnswer())),
			request("q3", "purchase", 2050, 0, newAttempt("q3.0", 2060, notRunAnswer(kqcall.CauseShedGate))),
			request("q4", "download", 2400, 2600, wrong),
			request("q5", "download", 2500, 0, newAttempt("q5.0", 3600, kqbackend.Answer{Outcome: string(kqcall.OutcomeUnknown), Cause: string(kqcall.CauseDeadline)})),
			request("q6", "browse", 3100, 3900, newAttempt("q6.0", 3200, notRunAnswer(kqcall.CauseShedEntry)), newAttempt("q6.1", 3900, ranAnswer())),
			request("q7", "browse", 3200, 4400, newAttempt("q7.0", 4400, ranAnswer())),
		},
		runs: []backendRun{
			run(serving, "q1", "browse", path("browse", "r.0.0.0", "q1.0-a.0"), "", 1250, 1350, 100*time.Millisecond, true),
			run(serving, "q2", "purchase", path("purchase", "r.1", "q2.0-b.1"), "q2.1", 1350, 1400, 50*time.Millisecond, true),
			run(serving, "q2", "purchase", path("purchase", "r.1", "q2.0-b.1"), "q2.1", 1400, 1450, 50*time.Millisecond, true),
			run(serving, "q2", "purchase", path("purchase", "r.0", "q2.0-b.0"), "q2.0", 1400, 1450, 50*time.Millisecond, true),
			run(&host{service: "orders"}, "q3", "purchase", path("purchase", "r", "q3.0"), "q3", 2055, 2065, 10*time.Millisecond, true),
			run(&host{service: "orders"}, "q4", "browse", path("browse", "r.1", "q4.0-c.1"), "", 2080, 2090, 10*time.Millisecond, true),
			run(draining, "q5", "download", path("download", "r", "q5.0"), "", 2510, 2700, 30*time.Millisecond, false),
			run(draining, "q6", "download", path("download", "r", "q6.1"), "", 4300, 4350, 20*time.Millisecond, true),
		},
		sheds: []backendRun{
			run(serving, "q2", "purchase", path("purchase", "r.0", "q2.0-b.0"), "", 1380, 1380, 0, false),
			run(serving, "q2", "purchase", path("purchase", "r.0", "q2.0-b.0"), "", 1390, 1390, 0, false),
			run(serving, "q2", "purchase", path("purchase", "r.0", "q2.0-b.0"), "", 1395, 1395, 0, false),
		},
		leaving: []drainingHost{{draining, at(2200)}},
		pairs:   []callPair{{direct: time.Millisecond, viaNodes: 1400 * time.Microsecond}, {direct: 2 * time.Millisecond, viaNodes: 1900 * time.Microsecond}},
	}
}

func TestReportCountsEachViolation(t *testing.T) {
	run := evaluateTrial(testTrial(t))
	run.Policy = PolicyKumquatlink
	report := &Report{Scenario: "surge", Profile: "bluebonnet", Seed: 1, Runs: []Run{*run}}
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "account.json", append(data, '\n'))
	var misses bytes.Buffer
	for _, m := range report.Check() {
		misses.WriteString(m + "\n")
	}
	golden(t, "misses.txt", misses.Bytes())
}

func TestPlotIsDeterministic(t *testing.T) {
	run := evaluateTrial(testTrial(t))
	var first, second bytes.Buffer
	for _, b := range []*bytes.Buffer{&first, &second} {
		if err := Plot(b, &Report{Scenario: "surge", Runs: []Run{*run, *run}}); err != nil {
			t.Fatal(err)
		}
	}
	if !bytes.Equal(first.Bytes(), second.Bytes()) {
		t.Error("two plots of one report differ, want the same bytes")
	}
	if !bytes.Contains(first.Bytes(), []byte("<svg")) {
		t.Errorf("plot starts with %.40q, want it to contain <svg", first.Bytes())
	}
}
