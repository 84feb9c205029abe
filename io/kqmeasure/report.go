package kqmeasure

import "kumquatlink/core/kqcall"

// Percentiles of a quantity.
type Percentiles struct {
	P50 float64
	P99 float64
}

// ClassReport counts the whole requests of a class, without those of Warm.
type ClassReport struct {
	Name string
	// Offered is how many callers wanted, Completed how many got the whole
	// answer, and InTime how many got it within the class's target.
	Offered   int
	Completed int
	InTime    int
	// NotRun and Unknown are how many were told so last. Requests that ran
	// and failed are in neither.
	NotRun  int
	Unknown int
	// LatencyMillis is that of completed requests, from the intended time of
	// sending.
	LatencyMillis Percentiles
}

// Run is what one policy did.
type Run struct {
	Policy string
	// Goodput is whole requests a second, in time, by the intended time of
	// sending.
	GoodputBefore float64
	GoodputDuring float64
	GoodputAfter  float64
	// OfferedDuring is how many requests a second callers wanted, and
	// CapacityDuring how many of these the services could carry.
	OfferedDuring  float64
	CapacityDuring float64
	// RecoverySeconds is from the trigger's end until the share of requests
	// in time is back at 95% of that before, for good; the whole rest of the
	// trial if it never was.
	RecoverySeconds float64
	// MaxRetriesPerRequest is the most tries beyond one for each call that
	// any one sending of a request led to, over all hops.
	MaxRetriesPerRequest int
	RetryBound           int
	// RanTwice counts keys that a service ran more than once.
	RanTwice int
	// NotRunButRan counts calls that were told "not run" and ran.
	NotRunButRan int
	// WrongAnswers counts answers that are not the whole one to their call.
	WrongAnswers int
	// CutInFlight counts calls on leaving hosts that were cut off.
	CutInFlight int
	// NewWorkOnLeaving counts calls that began on a backend server more than
	// 2 s after it had announced that it leaves.
	NewWorkOnLeaving int
	// ShedOrderBreaks counts requests of a class that must not be repeated
	// that were shed at a service while a less important one began there in
	// the same 100 ms.
	ShedOrderBreaks int
	// WastedWorkRatio is the part of all work that was done for requests
	// that did not complete in time.
	WastedWorkRatio float64
	// AddedLatencyMicros is what the nodes add to a call, in pairs with a
	// direct one; steady only.
	AddedLatencyMicros Percentiles
	// DirectMicros is what the direct calls of those pairs took.
	DirectMicros Percentiles
	Classes      []ClassReport
	// SendLagMillis is how much later than intended callers sent, and
	// CoresUsed how many cores the trial took while callers sent. When either
	// says that the machine was the limit, the other figures mean nothing.
	SendLagMillis Percentiles
	CoresUsed     float64
	// FaultsInjected counts the traces that the faults left.
	FaultsInjected int64
	// Causes counts the causes of final answers that did not complete.
	Causes map[string]int
	// Refusals counts the refusals of single calls, those that were made good
	// included, by class, service and cause.
	Refusals map[string]int

	timeline []slice
}

// Report is the whole document.
type Report struct {
	Scenario string
	Profile  string
	Seed     uint64
	Runs     []Run
}

// find gives the run of a policy.
func (r *Report) find(policy string) *Run {
	for i := range r.Runs {
		if r.Runs[i].Policy == policy {
			return &r.Runs[i]
		}
	}
	return nil
}

// NotRunOrUnknown counts the requests that were not run or whose outcome is
// unknown.
func (r *Run) NotRunOrUnknown() int {
	sum := 0
	for _, c := range r.Classes {
		sum += c.NotRun + c.Unknown
	}
	return sum
}

// shedCauses are those of a refusal for want of room.
var shedCauses = map[string]bool{
	string(kqcall.CauseShedEntry): true, string(kqcall.CauseShedGate): true, string(kqcall.CauseDisplaced): true,
	string(kqcall.CauseBackendShed): true, string(kqcall.CausePoolFull): true,
}
