// Package kqlimit finds how many calls a backend server can run at once, from
// nothing but what its gate sees: how many calls were in flight and how long
// each took apart from its onward calls.
//
// # Usage
//
//	limit := kqlimit.New(announcedSlots)
//	limit.Observe(kqlimit.Sample{Own: own, InFlight: inFlight, Limited: waiting > 0, Began: began, Ended: now})
//	limit.Shed(now, inFlight)
//	room := limit.Value()
//
// While calls don't wait for each other inside the backend server, a low
// quantile of their own time does not depend on how many are in flight, and
// the limit grows by quickening steps. When the quantile rises, the limit is
// lowered for a trial. If that brings the quantile down, the calls had waited
// and the limit stays near what the trial showed; if it does not, the backend
// server itself is slower, and the limit goes back to where it was. So the
// same rule serves 5 slots and 36, and a slow server is not given less work
// than it can run.
//
// Times are durations since an arbitrary start. A Limit is not safe for
// concurrent use.
package kqlimit

import (
	"math"
	"slices"
	"time"
)

// Constants of the limit.
const (
	minLimit = 1
	maxLimit = 4096
	// startLimit is where the ramp of a cold start begins without a hint, and
	// maxStart the most that a hint may begin it with.
	startLimit = 4
	maxStart   = 8
	// lowQuantile is the quantile of own times that shows waiting best.
	lowQuantile = 0.2
	// tolerance is the ratio of the quantile to its base up to which calls
	// count as not waiting.
	tolerance = 1.15
	// suspicion is the ratio above which a trial finds out the reason.
	suspicion = 1.3
	// minWindow and maxWindow bound the samples of one window.
	minWindow = 8
	maxWindow = 32
	// trialPart is the part of the limit that a trial runs with.
	trialPart = 0.75
	// relief is the ratio of the quantile in a trial to that before, below
	// which calls had waited.
	relief = 0.9
	// smoothing is the weight of one window in the quantile.
	smoothing = 0.4
	// firstGrowth and maxGrowth bound the factor by which a window without
	// waiting raises the limit; the part above 1 doubles with each window.
	firstGrowth = 0.05
	maxGrowth   = 0.6
	// maxBaseAge is when the base is measured anew by a trial.
	maxBaseAge = 10 * time.Second
	// shedFactor lowers the limit when the backend server sheds by itself.
	shedFactor = 0.9
	// shedPause is how long the limit does not grow after that.
	shedPause = 200 * time.Millisecond
)

// Sample is one call that ended.
type Sample struct {
	// Own is how long the call took apart from its onward calls.
	Own time.Duration
	// InFlight is how many calls were in flight when it began, itself too.
	InFlight int
	// Limited is whether the limit kept calls waiting when it ended.
	Limited bool
	// Began and Ended are when the call was let in and when it ended.
	Began time.Duration
	Ended time.Duration
}

// Limit is the concurrency limit of one gate.
type Limit struct {
	value  float64
	growth float64
	// base is the quantile of own times when calls don't wait, and since when
	// it is known.
	base     time.Duration
	baseFrom time.Duration
	low      time.Duration
	trial    trial
	paused   time.Duration
	// Of the window that runs now:
	own     []time.Duration
	limited int
	highest int
}

// trial is a window with a lowered limit.
type trial struct {
	runs   bool
	began  time.Duration
	before float64
	low    time.Duration
}

// New makes a limit for a backend server that says it has that many slots, or
// 0. What it says only decides where the ramp begins.
func New(slots int) *Limit {
	start := startLimit
	if slots > 0 {
		start = min(slots, maxStart)
	}
	return &Limit{value: float64(start), growth: maxGrowth}
}

// Value is how many calls may be in flight.
func (l *Limit) Value() int {
	value := l.value
	if l.trial.runs {
		value *= trialPart
	}
	return min(max(int(math.Ceil(value-0.01)), minLimit), maxLimit)
}

// Base is the own time of calls that don't wait, or 0 when not known yet.
func (l *Limit) Base() time.Duration {
	return l.base
}

// Observe takes a call that ended.
func (l *Limit) Observe(s Sample) {
	if l.trial.runs && s.Began < l.trial.began {
		return
	}
	l.own = append(l.own, s.Own)
	l.highest = max(l.highest, s.InFlight)
	if s.Limited {
		l.limited++
	}
	if len(l.own) >= l.windowSize() {
		l.end(s.Ended)
	}
}

// Shed takes a call that the backend server refused by itself.
func (l *Limit) Shed(now time.Duration, inFlight int) {
	if now < l.paused {
		return
	}
	l.paused = now + shedPause
	l.value = max(minLimit, min(l.value, float64(inFlight))*shedFactor)
	l.growth = firstGrowth
	l.stopTrial()
}

func (l *Limit) windowSize() int {
	return min(max(minWindow, l.Value()), maxWindow)
}

// end ends a window and decides by its quantile.
func (l *Limit) end(now time.Duration) {
	slices.Sort(l.own)
	low := l.own[int(lowQuantile*float64(len(l.own)-1))]
	limited := l.limited*2 > len(l.own)
	spare := float64(l.highest) <= trialPart*l.value
	l.clear()
	if l.trial.runs {
		l.judge(now, low)
		return
	}
	if l.low == 0 {
		l.low = low
	}
	l.low += time.Duration(smoothing * float64(low-l.low))
	if l.base == 0 || l.low < l.base {
		l.base = l.low
		l.baseFrom = now
	}
	l.decide(now, limited, spare)
}

func (l *Limit) decide(now time.Duration, limited, spare bool) {
	ratio := float64(l.low) / float64(max(1, l.base))
	switch {
	case spare:
		// What calls show far below the limit is their own time.
		l.base, l.baseFrom = l.low, now
	case !limited:
	case ratio > suspicion || now-l.baseFrom > maxBaseAge:
		l.trial = trial{runs: true, began: now, before: l.value, low: l.low}
	case ratio > tolerance:
		l.growth = firstGrowth
		l.value = max(minLimit, l.value*tolerance/ratio)
	case now >= l.paused:
		l.value = min(maxLimit, l.value*(1+l.growth))
		l.growth = min(maxGrowth, 2*l.growth)
	}
}

// judge ends a trial: when fewer calls in flight made each quicker, they had
// waited for each other.
func (l *Limit) judge(now time.Duration, low time.Duration) {
	before := l.trial
	l.stopTrial()
	l.base, l.baseFrom = low, now
	ratio := float64(low) / float64(max(1, before.low))
	l.low = low
	l.growth = firstGrowth
	if ratio < relief {
		l.value = max(minLimit, before.before*max(ratio, trialPart)*tolerance)
	}
}

func (l *Limit) stopTrial() {
	l.trial = trial{}
	l.clear()
}

// clear begins a window.
func (l *Limit) clear() {
	l.own = l.own[:0]
	l.limited = 0
	l.highest = 0
}
