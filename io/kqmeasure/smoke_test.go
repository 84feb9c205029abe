package kqmeasure

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Sizes of the smoke runs. These are too short and too small to check goodput or
// latency.
const (
	smokeShorten   = 5
	smokeUpstreams = 3
	smokeLoad      = 0.2
	smokeTimeout   = 4 * time.Minute
)

func TestEachKindOfFaultIsInjected(t *testing.T) {
	for _, name := range []string{"deepslow", "storeout", "restored", "leaving", "silent", "paused"} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), smokeTimeout)
			defer cancel()
			report, err := Measure(ctx, Options{
				Scenario: name, Profile: "lochforth", Seed: 1, Policies: []string{PolicyNaive, PolicyKumquatlink},
				Shorten: smokeShorten, Load: smokeLoad, Upstreams: smokeUpstreams,
			})
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range report.Runs {
				if r.FaultsInjected == 0 {
					t.Errorf("%s: FaultsInjected: got 0, want at least 1", r.Policy)
				}
				if r.WrongAnswers != 0 {
					t.Errorf("%s: wrong answers: got %d, want 0", r.Policy, r.WrongAnswers)
				}
				if offered := r.Classes[0].Offered + r.Classes[1].Offered + r.Classes[2].Offered; offered == 0 {
					t.Errorf("%s: offered requests: got 0, want at least 1", r.Policy)
				}
			}
		})
	}
}

func TestMeasureRejectsUnknownNames(t *testing.T) {
	for _, o := range []Options{
		{Scenario: "sunshine", Profile: "bluebonnet"},
		{Scenario: "steady", Profile: "nobody"},
		{Scenario: "steady", Profile: "bluebonnet", Policies: []string{"magic"}},
	} {
		if _, err := Measure(context.Background(), o); !errors.Is(err, ErrInput) {
			t.Errorf("%+v: got %v, want ErrInput", o, err)
		}
	}
}
