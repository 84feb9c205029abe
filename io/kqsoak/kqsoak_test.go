package kqsoak_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"kumquatlink/io/kqsoak"
)

// regressions are seeds that once violated a guarantee, with the cause.
var regressions = map[uint64]string{
	105:  "a node waited for ever on a watch whose connection had gone silent",
	147:  "fault of the soak itself: a paused store applied a fault after the soak had given up on setting it, and kept it",
	9208: "a write of a record without an answer had the number of the next one, and passed for it after a restore",
	9212: "the same as 9208",
	122:  "a request that failed at one server and was refused by the next was answered as not run",
}

// TestShortSoak runs a soak of a few seconds for seed 1 and for each seed of
// regressions, and expects no violated guarantee.
func TestShortSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "kumquatlink")
	if text, err := exec.Command("go", "build", "-o", program, "kumquatlink/cmd/kumquatlink").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, text)
	}
	seeds := []uint64{1}
	for s := range regressions {
		seeds = append(seeds, s)
	}
	for _, s := range seeds {
		r, err := kqsoak.Run(context.Background(), kqsoak.Options{Program: program, Seed: s, Length: 3 * time.Second, Hosts: 2})
		if err != nil {
			t.Fatal(err)
		}
		if r.Requests == 0 || r.Answers[200] == 0 || len(r.Faults) == 0 {
			t.Errorf("seed %d: got %d requests, answers %v, %d faults, want some of each", s, r.Requests, r.Answers, len(r.Faults))
		}
		for _, b := range r.Broken {
			t.Errorf("seed %d: %s (logs in %s)", s, b, r.Directory)
		}
	}
}
