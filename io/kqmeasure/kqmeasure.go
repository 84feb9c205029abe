// Package kqmeasure puts open-loop load on real nodes and on a naive baseline,
// with backend server stand-ins on loopback, injects faults, and reports what
// the stand-ins saw.
//
// # Usage
//
//	report, err := kqmeasure.Measure(ctx, kqmeasure.Options{
//		Scenario: "deepslow", Profile: "bluebonnet", Seed: 1, Policies: []string{"naive", "kumquatlink"},
//	})
//	misses := report.Check()
//
// Callers follow a schedule that is drawn from the seed beforehand and kept
// whatever the answers are; latency counts from the intended time of sending.
// Both policies get the same schedule and the same stand-ins. The tool holds
// load, stand-ins and the report; it simulates no cluster.
package kqmeasure

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of this package.
var (
	// ErrInput marks names that the tool does not know.
	ErrInput = errors.New("unknown scenario, profile or policy")
	// ErrTrial marks trials that could not be carried out.
	ErrTrial = errors.New("trial failed")
	// ErrNoFault marks trials whose fault did not happen.
	ErrNoFault = errors.New("fault was not injected")
)

// Policies.
const (
	PolicyNaive       = "naive"
	PolicyKumquatlink = "kumquatlink"
)

// Options say what to measure.
type Options struct {
	Scenario string
	Profile  string
	Seed     uint64
	Policies []string
	// Shorten divides the length of every phase; 0 means 1.
	Shorten int
	// Load multiplies the number of callers; 0 means 1.
	Load float64
}

// Measure carries out one scenario under each policy, one after the other.
func Measure(ctx context.Context, o Options) (*Report, error) {
	scenario, found := FindScenario(o.Scenario)
	if !found {
		return nil, errors.Mark(errors.Newf("scenario %q: want one of %v", o.Scenario, ScenarioNames()), ErrInput)
	}
	profile, found := FindProfile(o.Profile)
	if !found {
		return nil, errors.Mark(errors.Newf("profile %q: want one of %v", o.Profile, ProfileNames()), ErrInput)
	}
	scenario = scenario.shortened(max(o.Shorten, 1))
	if o.Load > 0 {
		scenario.Load *= o.Load
	}
	report := &Report{Scenario: o.Scenario, Profile: o.Profile, Seed: o.Seed}
	for _, p := range o.Policies {
		if !slices.Contains([]string{PolicyNaive, PolicyKumquatlink}, p) {
			return nil, errors.Mark(errors.Newf("policy %q: want naive or kumquatlink", p), ErrInput)
		}
		run, err := measureOne(ctx, scenario, profile, o.Seed, p)
		if err != nil {
			return nil, err
		}
		report.Runs = append(report.Runs, *run)
	}
	return report, nil
}

func measureOne(ctx context.Context, scenario Scenario, profile Profile, seed uint64, policy string) (*Run, error) {
	w, err := newWorld(ctx, profile, scenario, seed, policy)
	if err != nil {
		return nil, errors.Mark(err, ErrTrial)
	}
	t, err := w.trial(ctx, scenario, seed)
	err = errors.CombineErrors(err, w.close())
	if err != nil {
		return nil, errors.Mark(err, ErrTrial)
	}
	run := account(t)
	run.Policy = policy
	if scenario.hasFaults() && run.FaultsInjected == 0 {
		return nil, errors.Mark(errors.Newf("scenario %s, seed %d: no trace of the fault", scenario.Name, seed), ErrNoFault)
	}
	return run, nil
}

// trial carries out the scenario and gathers what happened.
func (w *world) trial(ctx context.Context, scenario Scenario, seed uint64) (*trial, error) {
	schedule := newSchedule(w.profile, scenario, seed)
	begun := time.Now()
	faults := newInjector(w, scenario, seed)
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		faults.run(ctx, begun)
	}()
	probes := make(chan []probe, 1)
	go func() { probes <- w.probe(ctx, scenario, begun) }()
	roots := w.load(ctx, schedule, scenario, begun)
	<-faultsDone
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(err, "stopped")
	}
	t := &trial{profile: w.profile, scenario: scenario, begun: begun, roots: roots, probes: <-probes}
	t.leaving, t.injected = faults.leaving, faults.injected()
	t.retried = w.log.counts()
	for _, b := range w.backends {
		t.add(b)
	}
	return t, nil
}
