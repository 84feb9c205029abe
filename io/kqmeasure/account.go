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

// Constants of the account.
const (
	leavingPatience  = 2 * time.Second
	maxLatency       = 10 * time.Minute
	latencyDigits    = 3
	microsPerMilli   = 1000.0
	medianPercentile = 50
	tailPercentile   = 99
	// reportScale keeps three decimals.
	reportScale = 1000
)

// served is a run with the service and the host that ran it.
type served struct {
	kqbackend.Run
	Service string
	owner   *host
}

// trial is everything that happened, as the callers and the backend servers
// recorded it.
type trial struct {
	profile  Profile
	scenario Scenario
	begun    time.Time
	roots    []*root
	runs     []served
	sheds    []served
	sends    []kqbackend.Send
	leaving  []departure
	injected int64
	// retried counts the retries of each request by the nodes' logs.
	retried map[string]int
	probes  []probe
	// cores is the mean number of cores that the trial took.
	cores float64
}

// add takes in a backend server's record.
func (t *trial) add(h *host) {
	for _, r := range h.backend.Runs() {
		if strings.HasPrefix(r.RequestID, settlePrefix) {
			continue
		}
		t.runs = append(t.runs, served{r, h.service, h})
	}
	for _, s := range h.backend.Sheds() {
		t.sheds = append(t.sheds, served{kqbackend.Run{RequestID: s.RequestID, Class: s.Class, Path: s.Path, Attempt: s.Attempt, At: s.At}, h.service, h})
	}
	for _, s := range h.backend.Sends() {
		if !strings.HasPrefix(s.Call.RequestID, settlePrefix) {
			t.sends = append(t.sends, s)
		}
	}
}

// account works out the report from the records.
func account(t *trial) *Run {
	s := t.scenario
	r := &Run{RetryBound: kqretry.MaxPerRequest, FaultsInjected: t.injected, Causes: t.countCauses(), Refusals: t.countRefusals()}
	r.GoodputBefore = t.goodput(s.Warm, s.trigger())
	r.GoodputDuring = t.goodput(s.trigger(), s.recovery())
	r.GoodputAfter = t.goodput(s.recovery(), s.length())
	offered, carried := t.capacityDuring()
	r.OfferedDuring, r.CapacityDuring = rounded(offered), rounded(carried)
	r.RecoverySeconds = recoveryTime(t.shares(), s).Seconds()
	r.MaxRetriesPerRequest = t.maxRetries()
	r.RanTwice = t.ranTwice()
	r.NotRunButRan = t.notRunButRan()
	r.WrongAnswers = t.wrongAnswers()
	r.CutInFlight, r.NewWorkOnLeaving = t.leavingFaults()
	r.ShedOrderBreaks = t.shedOrderBreaks()
	r.WastedWorkRatio = rounded(t.wastedWork())
	r.AddedLatencyMicros = percentiles(t.probes, func(p probe) time.Duration { return p.via - p.direct })
	r.DirectMicros = percentiles(t.probes, func(p probe) time.Duration { return p.direct })
	r.Classes = t.classes()
	r.SendLagMillis, r.CoresUsed = t.sendLag(), rounded(t.cores)
	r.timeline = t.timeline()
	return r
}

// rounded gives a figure with the digits that a report shows.
func rounded(figure float64) float64 {
	return math.Round(figure*reportScale) / reportScale
}

func (t *trial) inTime(q *root) bool {
	return q.inTime(t.profile.within(q.Kind))
}

// goodput counts requests in time that were meant for a span.
func (t *trial) goodput(from, to time.Duration) float64 {
	n := 0
	for _, q := range t.roots {
		if q.At >= from && q.At < to && t.inTime(q) {
			n++
		}
	}
	return rounded(float64(n) / (to - from).Seconds())
}

// capacityDuring gives the offered rate while the trigger lasts and what the
// services could carry of it, as the mean over slices of time.
func (t *trial) capacityDuring() (offered, carried float64) {
	s := t.scenario
	rates := map[string]float64{}
	for _, q := range t.roots {
		if q.At >= s.trigger() && q.At < s.recovery() {
			rates[q.Kind] += 1 / s.During.Seconds()
		}
	}
	slices := int(s.During / sliceLength)
	for i := range slices {
		at := s.trigger() + time.Duration(i)*sliceLength
		carried += total(capacity(t.profile, rates, s.slowAt(at))) / float64(slices)
	}
	return total(rates), carried
}

// counted lists the roots without those of Warm.
func (t *trial) counted() []*root {
	var all []*root
	for _, q := range t.roots {
		if q.At >= t.scenario.Warm {
			all = append(all, q)
		}
	}
	return all
}

// sendLag is how much later than intended callers sent.
func (t *trial) sendLag() Percentiles {
	lags := hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	for _, q := range t.counted() {
		if len(q.Attempts) > 0 {
			_ = lags.RecordValue(max(q.Attempts[0].At-q.At, 0).Microseconds())
		}
	}
	return Percentiles{
		P50: float64(lags.ValueAtPercentile(medianPercentile)) / microsPerMilli,
		P99: float64(lags.ValueAtPercentile(tailPercentile)) / microsPerMilli,
	}
}

func (t *trial) classes() []ClassReport {
	var reports []ClassReport
	for _, k := range t.profile.byImportance() {
		c := ClassReport{Name: k.Name}
		latencies := hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
		for _, q := range t.counted() {
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

// countCauses counts the causes of final answers that did not complete.
func (t *trial) countCauses() map[string]int {
	causes := map[string]int{}
	for _, q := range t.counted() {
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

// countRefusals counts calls that ended without an answer, by cause.
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
	for _, q := range t.counted() {
		for _, a := range q.Attempts {
			count(q.Kind, t.profile.kind(q.Kind).Plan.Service, a.Answer)
		}
	}
	for _, s := range t.sends {
		count(s.Call.Class, s.Call.Service, s.Answer)
	}
	return refusals
}

// percentiles gives those of a quantity of the pairs, in microseconds.
func percentiles(probes []probe, quantity func(probe) time.Duration) Percentiles {
	if len(probes) == 0 {
		return Percentiles{}
	}
	h := hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	for _, p := range probes {
		_ = h.RecordValue(max(quantity(p), 0).Microseconds())
	}
	return Percentiles{P50: float64(h.ValueAtPercentile(medianPercentile)), P99: float64(h.ValueAtPercentile(tailPercentile))}
}
