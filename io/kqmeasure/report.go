package kqmeasure

import "kumquatlink/core/kqcall"

// Percentiles holds the median and the 99th percentile of a quantity.
type Percentiles struct {
	P50 float64
	P99 float64
}

// ClassReport counts the callers' requests of a class. Those that were meant to
// be sent in the phase Warm are not counted.
type ClassReport struct {
	Name string
	// Offered counts all requests, Completed those that succeeded, and InTime
	// those that did so within the class's target time.
	Offered   int
	Completed int
	InTime    int
	// NotRun and Unknown count the requests that did not complete and whose last
	// answer had that outcome. Requests that ran and failed are in neither.
	NotRun  int
	Unknown int
	// LatencyMillis is the latency of completed requests, in milliseconds from
	// the intended send time.
	LatencyMillis Percentiles
}

// Run is the result of one trial.
type Run struct {
	Policy string
	// Goodput is the number of requests a second that completed in time. A
	// request belongs to the phase of its intended send time.
	GoodputBefore float64
	GoodputDuring float64
	GoodputAfter  float64
	// OfferedDuring is how many requests a second callers meant to send while
	// the trigger lasted, and CapacityDuring how many of these the services could
	// complete.
	OfferedDuring  float64
	CapacityDuring float64
	// RecoverySeconds is the time from the trigger's end until the share of
	// requests in time is for good at least 95% of the share before the trigger.
	// It is the length of the phase After if that never happened.
	RecoverySeconds float64
	// MaxRetriesPerRequest is the highest number of retries, over all hops, that
	// one attempt of a caller led to.
	MaxRetriesPerRequest int
	// RetryBound is the highest value allowed for MaxRetriesPerRequest.
	RetryBound int
	// RanTwice counts the idempotency keys that a service ran more than once.
	RanTwice int
	// NotRunButRan counts calls that ran and were answered "not run".
	NotRunButRan int
	// WrongAnswers counts answers that don't match their call, or only in part.
	WrongAnswers int
	// CutInFlight counts calls that were cut off on a host that leaves before
	// their request's target time was over.
	CutInFlight int
	// NewWorkOnLeaving counts calls that began on a backend server more than
	// 2 s after it announced that it leaves.
	NewWorkOnLeaving int
	// ShedOrderBreaks counts calls of run-once classes that were shed at a
	// service where a call of a less important class began in the same 100 ms.
	ShedOrderBreaks int
	// WastedWorkRatio is the part of the backend servers' work that was done for
	// requests that did not complete in time.
	WastedWorkRatio float64
	// AddedLatencyMicros is the latency that two nodes add to a call, in
	// microseconds: the difference between the calls of a pair, one through nodes
	// and one direct. It is measured in the scenario "steady" only.
	AddedLatencyMicros Percentiles
	// DirectMicros is the latency of the direct calls of these pairs, in
	// microseconds.
	DirectMicros Percentiles
	Classes      []ClassReport
	// SendLagMillis is how much later than intended callers sent, in
	// milliseconds, and CoresUsed how many CPU cores the process used while
	// callers sent. If either shows that the machine was the limit, the other
	// figures are void.
	SendLagMillis Percentiles
	CoresUsed     float64
	// FaultsInjected counts the observed effects of the faults. It is 0 if any
	// one fault had none.
	FaultsInjected int64
	// Causes counts the requests that did not complete, by class and cause of
	// their last answer.
	Causes map[string]int
	// Refusals counts the refusals of single calls by class, service and cause.
	// It includes calls whose request completed in a later try.
	Refusals map[string]int

	timeline []timeSlice
}

// Report holds the results of one scenario and seed under each policy.
type Report struct {
	Scenario string
	Profile  string
	Seed     uint64
	Runs     []Run
}

// find returns the run of a policy, or nil.
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

// shedCauses holds the causes of calls that were refused for lack of capacity.
var shedCauses = map[string]bool{
	string(kqcall.CauseShedEntry): true, string(kqcall.CauseShedGate): true, string(kqcall.CauseDisplaced): true,
	string(kqcall.CauseBackendShed): true, string(kqcall.CausePoolFull): true,
}
