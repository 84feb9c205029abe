// Package kqmeasure measures how nodes behave under overload and faults. It
// puts open-loop load on real nodes, or on a naive baseline without nodes,
// injects faults, and reports goodput, recovery and violations. The backend
// servers are stand-ins of package kqbackend on the loopback interface.
//
// A trial carries out one [Scenario] with one [Profile] under one policy. The
// profile describes the services and the kinds of request, the scenario the
// load and the faults. A trial has four phases: Warm, whose requests are not
// counted; Before, with steady load; During, the trigger, with a surge of load
// or faults; and After, in which goodput has to recover.
//
// Under [PolicyKumquatlink] each backend server has a node beside it, and
// callers send to a node of their region. Under [PolicyNaive] callers and
// backend servers call each other directly, round robin, with a fixed timeout
// and a fixed number of retries.
//
// # Usage
//
//	report, err := kqmeasure.Measure(ctx, kqmeasure.Options{
//		Scenario: "deepslow", Profile: "bluebonnet", Seed: 1, Policies: []string{"naive", "kumquatlink"},
//	})
//	misses := report.Check()
//
// The schedule of requests is drawn from the seed before the trial starts and
// does not depend on the answers. Latency counts from the intended send time, so
// that a delayed caller does not hide a slow answer. Both policies get the same
// schedule and the same stand-ins. The figures come from what callers and
// stand-ins recorded; only retries are also counted from the nodes' logs. The
// nodes are real: the package simulates no cluster.
package kqmeasure

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of this package.
var (
	// ErrInput marks unknown names of scenarios, profiles and policies.
	ErrInput = errors.New("unknown scenario, profile or policy")
	// ErrTrial marks trials that could not be carried out.
	ErrTrial = errors.New("trial failed")
	// ErrNoFault marks trials whose fault did not happen.
	ErrNoFault = errors.New("fault was not injected")
)

// The policies, which say what stands between callers and backend servers.
const (
	PolicyNaive       = "naive"
	PolicyKumquatlink = "kumquatlink"
)

// Options select what [Measure] does.
type Options struct {
	Scenario string
	Profile  string
	Seed     uint64
	Policies []string
	// Shorten divides the length of every phase; 0 means 1.
	Shorten int
	// Load multiplies the number of callers; 0 means 1.
	Load float64
	// Upstreams is the number of upstreams of each service; 0 means that of
	// the profile.
	Upstreams int
}

// Measure carries out one scenario under each policy, one after the other. Its
// errors are marked [ErrInput] for an unknown name, [ErrTrial] for a trial that
// could not be carried out and [ErrNoFault] for a fault without any effect.
func Measure(ctx context.Context, o Options) (*Report, error) {
	scenario, found := FindScenario(o.Scenario)
	if !found {
		return nil, errors.Mark(errors.Newf("scenario %q: want one of %v", o.Scenario, ScenarioNames()), ErrInput)
	}
	profile, found := FindProfile(o.Profile)
	if !found {
		return nil, errors.Mark(errors.Newf("profile %q: want one of %v", o.Profile, ProfileNames()), ErrInput)
	}
	if o.Upstreams > 0 {
		profile.Upstreams = o.Upstreams
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
		run, err := measurePolicy(ctx, scenario, profile, o.Seed, p)
		if err != nil {
			return nil, err
		}
		report.Runs = append(report.Runs, *run)
	}
	return report, nil
}

// measurePolicy carries out and evaluates the trial of one policy.
func measurePolicy(ctx context.Context, scenario Scenario, profile Profile, seed uint64, policy string) (*Run, error) {
	tb, err := newTestbed(ctx, profile, scenario, seed, policy)
	if err != nil {
		return nil, errors.Mark(err, ErrTrial)
	}
	t, err := tb.runTrial(ctx, scenario, seed)
	err = errors.CombineErrors(err, tb.close())
	if err != nil {
		return nil, errors.Mark(err, ErrTrial)
	}
	run := evaluateTrial(t)
	run.Policy = policy
	if scenario.hasFaults() && run.FaultsInjected == 0 {
		return nil, errors.Mark(errors.Newf("scenario %s, seed %d: a fault had no observable effect", scenario.Name, seed), ErrNoFault)
	}
	return run, nil
}

// runTrial carries out the scenario and collects what callers, backend servers
// and nodes recorded.
func (tb *testbed) runTrial(ctx context.Context, scenario Scenario, seed uint64) (*trial, error) {
	schedule := newSchedule(tb.profile, scenario, seed)
	startedAt, cpuBefore := time.Now(), cpuTime()
	faults := newInjector(tb, scenario, seed)
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		faults.run(ctx, startedAt)
	}()
	pairs := make(chan []callPair, 1)
	go func() { pairs <- tb.measurePairs(ctx, scenario, startedAt) }()
	roots := tb.runCallers(ctx, schedule, scenario, startedAt)
	cores := (cpuTime() - cpuBefore).Seconds() / time.Since(startedAt).Seconds()
	<-faultsDone
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(err, "stopped")
	}
	t := &trial{profile: tb.profile, scenario: scenario, startedAt: startedAt, roots: roots, pairs: <-pairs, cores: cores}
	t.leaving, t.faultsInjected = faults.leaving, faults.faultsInjected()
	t.retriesByRequest = tb.retries.counts()
	for _, b := range tb.backends {
		t.addRecords(b)
	}
	return t, nil
}

// cpuTime returns the CPU time that this process has used, or 0 if the system
// does not say.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
