package kqmeasure

import (
	"fmt"
	"slices"
)

// Targets of issue 4, which [Report.Check] compares a run with.
const (
	minCapacityShare   = 0.9
	minTimesNaive      = 3
	maxRecoverySeconds = 1
	maxWastedRatio     = 0.05
	maxAddedMicros     = 420
	// maxLagMillis bounds the 99th percentile of the delay with which callers
	// send. Above it the trial measures the machine and not the nodes.
	maxLagMillis = 20
)

// overloadScenarios names the scenarios in which goodput, recovery time and
// wasted work have targets.
var overloadScenarios = []string{"surge", "deepslow", "retrystorm", "together", "twice"}

// Check lists the targets that the run under [PolicyKumquatlink] missed, one
// sentence each. It returns nil if the report holds no such run.
func (r *Report) Check() []string {
	var misses []string
	run := r.find(PolicyKumquatlink)
	if run == nil {
		return nil
	}
	addMiss := func(wrong bool, format string, values ...any) {
		if wrong {
			misses = append(misses, fmt.Sprintf("%s seed %d: ", r.Scenario, r.Seed)+fmt.Sprintf(format, values...))
		}
	}
	addMiss(run.SendLagMillis.P99 > maxLagMillis, "VOID, the machine was too busy: callers sent %.1f ms late, want at most %d", run.SendLagMillis.P99, maxLagMillis)
	for _, c := range []struct {
		name  string
		count int
	}{
		{"ShedOrderBreaks", run.ShedOrderBreaks},
		{"RanTwice", run.RanTwice},
		{"NotRunButRan", run.NotRunButRan},
		{"WrongAnswers", run.WrongAnswers},
		{"CutInFlight", run.CutInFlight},
		{"NewWorkOnLeaving", run.NewWorkOnLeaving},
	} {
		addMiss(c.count > 0, "%s is %d, want 0", c.name, c.count)
	}
	addMiss(run.MaxRetriesPerRequest > run.RetryBound, "MaxRetriesPerRequest is %d, want at most %d", run.MaxRetriesPerRequest, run.RetryBound)
	if slices.Contains(overloadScenarios, r.Scenario) {
		want := minCapacityShare * run.CapacityDuring
		addMiss(run.GoodputDuring < want, "GoodputDuring is %.1f, want at least %.1f", run.GoodputDuring, want)
		addMiss(run.RecoverySeconds > maxRecoverySeconds, "RecoverySeconds is %.1f, want at most %d", run.RecoverySeconds, maxRecoverySeconds)
		addMiss(run.WastedWorkRatio >= maxWastedRatio, "WastedWorkRatio is %.3f, want less than %.2f", run.WastedWorkRatio, maxWastedRatio)
	}
	if naive := r.find(PolicyNaive); naive != nil && r.Scenario == "together" {
		want := minTimesNaive * naive.GoodputDuring
		addMiss(run.GoodputDuring < want, "GoodputDuring is %.1f, want at least %.1f, %d times naive", run.GoodputDuring, want, minTimesNaive)
	}
	if r.Scenario == "steady" {
		addMiss(run.NotRunOrUnknown() > 0, "%d requests were not run or had an unknown outcome, want 0", run.NotRunOrUnknown())
		addMiss(run.AddedLatencyMicros.P99 > maxAddedMicros, "AddedLatencyMicros.P99 is %.0f, want at most %d", run.AddedLatencyMicros.P99, maxAddedMicros)
	}
	return misses
}
