package kqmeasure

import (
	"math"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqretry"
	"kumquatlink/io/kqbackend"
)

// Constants of the evaluation of a trial.
const (
	// drainGrace is how long after a host announced that it leaves new calls may
	// still begin on it.
	drainGrace       = 2 * time.Second
	maxLatency       = 10 * time.Minute
	latencyDigits    = 3
	microsPerMilli   = 1000.0
	medianPercentile = 50
	tailPercentile   = 99
	// reportScale rounds figures to three decimals.
	reportScale = 1000
)

// backendRun is a call that a backend server ran or shed, with its service and
// host.
type backendRun struct {
	kqbackend.Run
	Service string
	host    *host
}

// trial holds everything that happened in one trial, as the callers and the
// backend servers recorded it.
type trial struct {
	profile        Profile
	scenario       Scenario
	startedAt      time.Time
	roots          []*root
	runs           []backendRun
	sheds          []backendRun
	sends          []kqbackend.Send
	leaving        []drainingHost
	faultsInjected int64
	// retriesByRequest counts the retries of each request ID in the nodes' logs.
	retriesByRequest map[string]int
	pairs            []callPair
	// cores is the mean number of CPU cores that the trial used.
	cores float64
}

// addRecords adds the records of a host's backend server. It leaves out runs
// and onward calls of the requests that only wait for key homes.
func (t *trial) addRecords(h *host) {
	for _, r := range h.backend.Runs() {
		if strings.HasPrefix(r.RequestID, keyCheckPrefix) {
			continue
		}
		t.runs = append(t.runs, backendRun{r, h.service, h})
	}
	for _, s := range h.backend.Sheds() {
		t.sheds = append(t.sheds, backendRun{kqbackend.Run{RequestID: s.RequestID, Class: s.Class, Path: s.Path, Attempt: s.Attempt, At: s.At}, h.service, h})
	}
	for _, s := range h.backend.Sends() {
		if !strings.HasPrefix(s.Call.RequestID, keyCheckPrefix) {
			t.sends = append(t.sends, s)
		}
	}
}

// evaluateTrial computes the report of a trial from its records.
func evaluateTrial(t *trial) *Run {
	s := t.scenario
	r := &Run{RetryBound: kqretry.MaxPerRequest, FaultsInjected: t.faultsInjected, Causes: t.countCauses(), Refusals: t.countRefusals()}
	r.GoodputBefore = t.goodput(s.Warm, s.triggerStart())
	r.GoodputDuring = t.goodput(s.triggerStart(), s.triggerEnd())
	r.GoodputAfter = t.goodput(s.triggerEnd(), s.duration())
	offered, carried := t.capacityDuring()
	r.OfferedDuring, r.CapacityDuring = rounded(offered), rounded(carried)
	r.RecoverySeconds = recoveryTime(t.totals(), s).Seconds()
	r.MaxRetriesPerRequest = t.maxRetries()
	r.RanTwice = t.ranTwice()
	r.NotRunButRan = t.notRunButRan()
	r.WrongAnswers = t.wrongAnswers()
	r.CutInFlight, r.NewWorkOnLeaving = t.drainFaults()
	r.ShedOrderBreaks = t.shedOrderBreaks()
	r.WastedWorkRatio = rounded(t.wastedWorkRatio())
	r.AddedLatencyMicros = percentiles(t.pairs, func(p callPair) time.Duration { return p.viaNodes - p.direct })
	r.DirectMicros = percentiles(t.pairs, func(p callPair) time.Duration { return p.direct })
	r.Classes = t.classes()
	r.SendLagMillis, r.CoresUsed = t.sendLag(), rounded(t.cores)
	r.timeline = t.timeline()
	return r
}

// rounded rounds a figure to the decimals that a report shows.
func rounded(figure float64) float64 {
	return math.Round(figure*reportScale) / reportScale
}

// inTime reports whether a request completed within its class's target.
func (t *trial) inTime(q *root) bool {
	return q.inTime(t.profile.targetTime(q.Kind))
}

// goodput returns the requests a second that completed in time, of those whose
// intended send time lies in [from, to).
func (t *trial) goodput(from, to time.Duration) float64 {
	n := 0
	for _, q := range t.roots {
		if q.At >= from && q.At < to && t.inTime(q) {
			n++
		}
	}
	return rounded(float64(n) / (to - from).Seconds())
}

// capacityDuring returns the offered rate while the trigger lasts, and the rate
// of these requests that the services could carry, as the mean over time
// slices. Both are in requests a second.
func (t *trial) capacityDuring() (offered, carried float64) {
	s := t.scenario
	rates := map[string]float64{}
	for _, q := range t.roots {
		if q.At >= s.triggerStart() && q.At < s.triggerEnd() {
			rates[q.Kind] += 1 / s.During.Seconds()
		}
	}
	slices := int(s.During / sliceLength)
	for i := range slices {
		at := s.triggerStart() + time.Duration(i)*sliceLength
		carried += sumRates(capacity(t.profile, rates, s.slowAt(at))) / float64(slices)
	}
	return sumRates(rates), carried
}

// afterWarmUp lists the requests that were sent after the phase Warm.
func (t *trial) afterWarmUp() []*root {
	var all []*root
	for _, q := range t.roots {
		if q.At >= t.scenario.Warm {
			all = append(all, q)
		}
	}
	return all
}

// sendLag returns how much later than intended callers sent, in milliseconds.
func (t *trial) sendLag() Percentiles {
	lags := hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	for _, q := range t.afterWarmUp() {
		if len(q.Attempts) > 0 {
			_ = lags.RecordValue(max(q.Attempts[0].At-q.At, 0).Microseconds())
		}
	}
	return Percentiles{
		P50: float64(lags.ValueAtPercentile(medianPercentile)) / microsPerMilli,
		P99: float64(lags.ValueAtPercentile(tailPercentile)) / microsPerMilli,
	}
}

// classes returns the report of each class, the most important first.
func (t *trial) classes() []ClassReport {
	var reports []ClassReport
	for _, k := range t.profile.byImportance() {
		c := ClassReport{Name: k.Name}
		latencies := hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
		for _, q := range t.afterWarmUp() {
			if q.Kind != k.Name {
				continue
			}
			c.Offered++
			switch {
			case q.Done > 0:
				c.Completed++
				_ = latencies.RecordValue((q.Done - q.At).Microseconds())
			case q.outcome() == kqcall.OutcomeNotRun:
				c.NotRun++
			case q.outcome() != kqcall.OutcomeRan:
				c.Unknown++
			}
			if t.inTime(q) {
				c.InTime++
			}
		}
		c.LatencyMillis = Percentiles{
			P50: float64(latencies.ValueAtPercentile(medianPercentile)) / microsPerMilli,
			P99: float64(latencies.ValueAtPercentile(tailPercentile)) / microsPerMilli,
		}
		reports = append(reports, c)
	}
	return reports
}

// countCauses counts the requests that did not complete, by class and cause of
// their last answer.
func (t *trial) countCauses() map[string]int {
	causes := map[string]int{}
	for _, q := range t.afterWarmUp() {
		if q.Done > 0 || len(q.Attempts) == 0 {
			continue
		}
		a := q.Attempts[len(q.Attempts)-1].Answer
		cause := a.Cause
		switch {
		case a.Err != nil:
			cause = "CallerGaveUp"
		case cause == "" || a.Outcome == string(kqcall.OutcomeRan):
			cause = "RanAndFailed"
		}
		causes[q.Kind+" "+cause]++
	}
	return causes
}

// countRefusals counts the single calls that a node or a backend server refused
// or that the caller gave up, by class, service and cause.
func (t *trial) countRefusals() map[string]int {
	refusals := map[string]int{}
	count := func(class, service string, a kqbackend.Answer) {
		cause := a.Cause
		if a.Err != nil {
			cause = "CallerGaveUp"
		}
		if cause != "" && a.Outcome != string(kqcall.OutcomeRan) {
			refusals[class+" "+service+" "+cause]++
		}
	}
	for _, q := range t.afterWarmUp() {
		for _, a := range q.Attempts {
			count(q.Kind, t.profile.kind(q.Kind).Plan.Service, a.Answer)
		}
	}
	for _, s := range t.sends {
		count(s.Call.Class, s.Call.Service, s.Answer)
	}
	return refusals
}

// percentiles returns the percentiles of a quantity of the pairs, in
// microseconds. Negative quantities count as 0.
func percentiles(pairs []callPair, quantity func(callPair) time.Duration) Percentiles {
	if len(pairs) == 0 {
		return Percentiles{}
	}
	h := hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	for _, p := range pairs {
		_ = h.RecordValue(max(quantity(p), 0).Microseconds())
	}
	return Percentiles{P50: float64(h.ValueAtPercentile(medianPercentile)), P99: float64(h.ValueAtPercentile(tailPercentile))}
}
