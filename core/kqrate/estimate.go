package kqrate

import (
	"math"
	"time"
)

// estimateTime is the time constant of estimated rates.
const estimateTime = 500 * time.Millisecond

// estimate is an exponentially weighted estimate of a rate, without the bias of its
// start.
type estimate struct {
	sum     float64
	at      time.Duration
	since   time.Duration
	started bool
}

// add counts events that came evenly in the period up to now.
func (e *estimate) add(now time.Duration, count float64, period time.Duration) {
	if !e.started {
		e.started, e.since, e.at = true, now-period, now
	}
	e.decay(now)
	weight := 1.0
	if periods := period.Seconds() / estimateTime.Seconds(); periods > 0 {
		weight = (1 - math.Exp(-periods)) / periods
	}
	e.sum += count * weight
}

// rate returns the rate in events a second.
func (e *estimate) rate(now time.Duration) float64 {
	if !e.started {
		return 0
	}
	e.decay(now)
	age := max(now-e.since, estimateTime/5)
	return e.sum / estimateTime.Seconds() / (1 - math.Exp(-age.Seconds()/estimateTime.Seconds()))
}

func (e *estimate) decay(now time.Duration) {
	if now > e.at {
		e.sum *= math.Exp(-(now - e.at).Seconds() / estimateTime.Seconds())
		e.at = now
	}
}
