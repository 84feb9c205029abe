package kqmeasure

import (
	"fmt"
	"slices"
)

// Targets of issue 4.
const (
	wantCapacityShare   = 0.9
	wantTimesNaive      = 3
	wantRecoverySeconds = 1
	wantWastedRatio     = 0.05
	wantAddedMicros     = 420
	// wantLagMillis is how late the last hundredth of callers may send before
	// the machine and not the nodes is what is measured.
	wantLagMillis = 20
)

// pressed are the scenarios that are judged by capacity and recovery.
var pressed = []string{"surge", "deepslow", "retrystorm", "together", "twice"}

// Check lists the targets that the nodes missed, one sentence each.
func (r *Report) Check() []string {
	var misses []string
	run := r.find(PolicyKumquatlink)
	if run == nil {
		return nil
	}
	miss := func(wrong bool, format string, values ...any) {
		if wrong {
			misses = append(misses, fmt.Sprintf("%s seed %d: ", r.Scenario, r.Seed)+fmt.Sprintf(format, values...))
		}
	}
	miss(run.SendLagMillis.P99 > wantLagMillis, "VOID, the machine was too busy: callers sent %.1f ms late, want at most %d", run.SendLagMillis.P99, wantLagMillis)
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
		miss(c.count > 0, "%s is %d, want 0", c.name, c.count)
	}
	miss(run.MaxRetriesPerRequest > run.RetryBound, "MaxRetriesPerRequest is %d, want at most %d", run.MaxRetriesPerRequest, run.RetryBound)
	if slices.Contains(pressed, r.Scenario) {
		want := wantCapacityShare * run.CapacityDuring
		miss(run.GoodputDuring < want, "GoodputDuring is %.1f, want at least %.1f", run.GoodputDuring, want)
		miss(run.RecoverySeconds > wantRecoverySeconds, "RecoverySeconds is %.1f, want at most %d", run.RecoverySeconds, wantRecoverySeconds)
		miss(run.WastedWorkRatio >= wantWastedRatio, "WastedWorkRatio is %.3f, want less than %.2f", run.WastedWorkRatio, wantWastedRatio)
	}
	if naive := r.find(PolicyNaive); naive != nil && r.Scenario == "together" {
		want := wantTimesNaive * naive.GoodputDuring
		miss(run.GoodputDuring < want, "GoodputDuring is %.1f, want at least %.1f, %d times naive", run.GoodputDuring, want, wantTimesNaive)
	}
	if r.Scenario == "steady" {
		miss(run.NotRunOrUnknown() > 0, "%d requests were refused or of unknown end, want 0", run.NotRunOrUnknown())
		miss(run.AddedLatencyMicros.P99 > wantAddedMicros, "AddedLatencyMicros.P99 is %.0f, want at most %d", run.AddedLatencyMicros.P99, wantAddedMicros)
	}
	return misses
}
