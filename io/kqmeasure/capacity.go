package kqmeasure

import (
	"maps"
	"slices"
	"time"

	"kumquatlink/io/kqbackend"
)

// hold adds the time for which a request of the plan holds slots of each
// service, its onward calls included, and gives that of the plan's own step.
func hold(s kqbackend.Step, times, holds map[string]time.Duration) time.Duration {
	onward := time.Duration(0)
	for _, o := range s.Steps {
		t := hold(o, times, holds)
		if s.Parallel {
			onward = max(onward, t)
		} else {
			onward += t
		}
	}
	own := times[s.Service] + onward
	holds[s.Service] += own
	return own
}

// capacity works out how many whole requests a second of each kind the
// services could carry, from slots and service times, when the offered
// requests are served in the order of importance.
func capacity(p Profile, offered map[string]float64, slow float64) map[string]float64 {
	times := map[string]time.Duration{}
	left := map[string]float64{}
	for _, s := range p.Services {
		times[s.Name] = s.Time
		if s.Name == p.Deep && slow > 0 {
			times[s.Name] = time.Duration(float64(s.Time) * slow)
		}
		left[s.Name] = float64(s.Slots * upstreamsPerService)
	}
	carried := map[string]float64{}
	for _, k := range p.byImportance() {
		holds := map[string]time.Duration{}
		hold(k.Plan, times, holds)
		rate := offered[k.Name]
		for service, h := range holds {
			rate = min(rate, left[service]/h.Seconds())
		}
		for service, h := range holds {
			left[service] -= rate * h.Seconds()
		}
		carried[k.Name] = rate
	}
	return carried
}

// fullRate is the number of requests a second, in the profile's mix, that
// fills the narrowest service.
func fullRate(p Profile) float64 {
	times := map[string]time.Duration{}
	for _, s := range p.Services {
		times[s.Name] = s.Time
	}
	holds := map[string]float64{}
	for _, k := range p.Kinds {
		one := map[string]time.Duration{}
		hold(k.Plan, times, one)
		for service, h := range one {
			holds[service] += k.Share * h.Seconds()
		}
	}
	rate := 0.0
	for _, s := range p.Services {
		r := float64(s.Slots*upstreamsPerService) / holds[s.Name]
		if rate == 0 || r < rate {
			rate = r
		}
	}
	return rate
}

// total sums in a fixed order, so that the same rates always give the same sum.
func total(rates map[string]float64) float64 {
	sum := 0.0
	for _, k := range slices.Sorted(maps.Keys(rates)) {
		sum += rates[k]
	}
	return sum
}
