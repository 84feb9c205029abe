package kqmeasure

import (
	"maps"
	"slices"
	"time"

	"kumquatlink/io/kqbackend"
)

// addHoldTimes adds to holdTimes how long a request that follows the plan
// occupies a slot of each service, and returns the time of the plan's first
// step. A step occupies its slot until its onward calls have ended.
func addHoldTimes(s kqbackend.Step, times, holdTimes map[string]time.Duration) time.Duration {
	onward := time.Duration(0)
	for _, o := range s.Steps {
		t := addHoldTimes(o, times, holdTimes)
		if s.Parallel {
			onward = max(onward, t)
		} else {
			onward += t
		}
	}
	own := times[s.Service] + onward
	holdTimes[s.Service] += own
	return own
}

// capacity returns how many requests a second of each kind the services could
// complete if they served the offered requests in order of importance. It
// follows from slots and service times; slowFactor multiplies the service time
// of the deep service, and 0 leaves it as it is.
func capacity(p Profile, offered map[string]float64, slowFactor float64) map[string]float64 {
	times := map[string]time.Duration{}
	remaining := map[string]float64{}
	for _, s := range p.Services {
		times[s.Name] = s.Time
		if s.Name == p.Deep && slowFactor > 0 {
			times[s.Name] = time.Duration(float64(s.Time) * slowFactor)
		}
		remaining[s.Name] = float64(s.Slots * p.Upstreams)
	}
	carried := map[string]float64{}
	for _, k := range p.byImportance() {
		holdTimes := map[string]time.Duration{}
		addHoldTimes(k.Plan, times, holdTimes)
		rate := offered[k.Name]
		for service, h := range holdTimes {
			rate = min(rate, remaining[service]/h.Seconds())
		}
		for service, h := range holdTimes {
			remaining[service] -= rate * h.Seconds()
		}
		carried[k.Name] = rate
	}
	return carried
}

// saturationRate returns the number of requests a second, in the profile's mix
// of kinds, that occupies all slots of the bottleneck service.
func saturationRate(p Profile) float64 {
	times := map[string]time.Duration{}
	for _, s := range p.Services {
		times[s.Name] = s.Time
	}
	holdTimes := map[string]float64{}
	for _, k := range p.Kinds {
		kindHoldTimes := map[string]time.Duration{}
		addHoldTimes(k.Plan, times, kindHoldTimes)
		for service, h := range kindHoldTimes {
			holdTimes[service] += k.Share * h.Seconds()
		}
	}
	rate := 0.0
	for _, s := range p.Services {
		r := float64(s.Slots*p.Upstreams) / holdTimes[s.Name]
		if rate == 0 || r < rate {
			rate = r
		}
	}
	return rate
}

// sumRates sums in the order of the names: floating-point sums depend on the
// order, and the same rates have to give the same sum.
func sumRates(rates map[string]float64) float64 {
	sum := 0.0
	for _, k := range slices.Sorted(maps.Keys(rates)) {
		sum += rates[k]
	}
	return sum
}
