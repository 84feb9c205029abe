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
// A call that begins while the backend server has a free slot takes its own
// time, however many others run; one that begins behind n others too many
// waits for n of them. So the calls that began far below the limit are
// compared with those that began at it. Where the latter took longer by more
// than chance, the limit comes down to where the two show the knee; where they
// did not, it grows by quickening steps; where chance may explain it, it
// stays. When too few calls began far below the limit, it is lowered for a few
// calls. A backend server that becomes slower or quicker changes both sides
// alike, so that it is not given less work than it can run. The same rule
// serves 5 slots and 36.
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
	// leastMemory is the least limit that the memory is sized for.
	leastMemory = 32
	// leastBlock is the least number of samples that are compared with each
	// other.
	leastBlock = 12
)

// Tuning holds the numbers that the rule depends on.
type Tuning struct {
	// Memory is how many times the limit the last samples are that are
	// compared, and Window after how many new ones they are compared anew.
	Memory int
	Window int
	// LowPart and HighPart bound, as parts of the limit, which samples began
	// far below it and which at it.
	LowPart  float64
	HighPart float64
	// MinLowSamples is how many samples must have begun far below the limit; when
	// fewer did, the limit dips there.
	MinLowSamples int
	// The limit comes down, to where the ratio of the two means would be
	// TargetRatio, when the ratio lies LowerErrors standard errors above LowerAbove.
	// It grows when the ratio lies GrowErrors of them below GrowBelow, and
	// after Patience windows in which chance explains that it lies above 1.
	TargetRatio      float64
	LowerAbove       float64
	LowerErrors      float64
	GrowBelow        float64
	GrowErrors       float64
	UndecidedWindows int
	// Settle is how many times its own number of calls must end after the
	// limit moved before it moves again, since the quick ones end first.
	Settle float64
	// Change is the factor beyond what waiting explains from which the
	// backend server itself has changed, and the memory begins anew.
	Change float64
	// FirstGrowth and MaxGrowth bound what a window without waiting adds to
	// the limit, as a part of it; it doubles with each window.
	FirstGrowth float64
	MaxGrowth   float64
	// ShedFactor lowers the limit when the backend server sheds by itself, and
	// ShedPause is how long the limit does not grow after that.
	ShedFactor float64
	ShedPause  time.Duration
}

// DefaultTuning is what gates use.
func DefaultTuning() Tuning {
	return Tuning{
		Memory: 8, Window: 8, LowPart: 0.85, HighPart: 0.9, MinLowSamples: 8,
		TargetRatio: 1.15, LowerAbove: 1.22, LowerErrors: 2.5, GrowBelow: 1.1, GrowErrors: 0.5, UndecidedWindows: 4, Settle: 1, Change: 2, FirstGrowth: 0.05, MaxGrowth: 0.6,
		ShedFactor: 0.9, ShedPause: 200 * time.Millisecond,
	}
}

// Sample is one call that ended.
type Sample struct {
	// OwnTime is how long the call took apart from its onward calls.
	OwnTime time.Duration
	// HoldTime is how long it took with them.
	HoldTime time.Duration
	// InFlight is how many calls were in flight when it began, itself too.
	InFlight int
	// Limited is whether the limit held calls back when it ended.
	Limited bool
	// Ended is when the call ended.
	Ended time.Duration
}

// Limit is the concurrency limit of one gate.
type Limit struct {
	tuning Tuning
	// slots is what the backend server says it has, or 0.
	slots  int
	value  float64
	growth float64
	// dips is whether the limit is lowered to see calls begin far below it.
	dips    bool
	paused  time.Duration
	memory  []Sample
	fresh   int
	limited int
	// unsure counts windows that decided nothing.
	unsure int
	// settle is how many calls must end before the limit moves.
	settle int
}

// Option changes a limit.
type Option func(*Limit)

// WithTuning replaces the numbers that the rule depends on.
func WithTuning(t Tuning) Option {
	return func(l *Limit) { l.tuning = t }
}

// New makes a limit for a backend server that says it has that many slots, or
// 0. What it says only decides where the ramp begins, and that doubt does not
// slow the ramp below it.
func New(slots int, options ...Option) *Limit {
	start := startLimit
	if slots > 0 {
		start = min(slots, maxStart)
	}
	l := &Limit{tuning: DefaultTuning(), value: float64(start), slots: slots}
	for _, o := range options {
		o(l)
	}
	l.growth = l.tuning.MaxGrowth
	return l
}

// Value is how many calls may be in flight.
func (l *Limit) Value() int {
	if l.dips {
		return max(int(l.tuning.LowPart*float64(l.whole())), minLimit)
	}
	return l.whole()
}

// whole is the limit apart from dips.
func (l *Limit) whole() int {
	return min(max(int(math.Ceil(l.value-0.01)), minLimit), maxLimit)
}

// Observe takes a call that ended.
func (l *Limit) Observe(s Sample) {
	most := l.tuning.Memory * max(l.whole(), leastMemory)
	if len(l.memory) >= 2*most {
		l.memory = slices.Delete(l.memory, 0, len(l.memory)-most)
	}
	l.memory = append(l.memory, s)
	l.fresh++
	l.settle--
	if s.Limited {
		l.limited++
	}
	if l.fresh < l.tuning.Window || l.settle > 0 {
		return
	}
	limited := l.limited*2 > l.fresh
	l.fresh, l.limited = 0, 0
	l.decide(s.Ended, limited)
}

// ObserveShed takes a call that the backend server refused by itself.
func (l *Limit) ObserveShed(now time.Duration, inFlight int) {
	if now < l.paused {
		return
	}
	l.paused = now + l.tuning.ShedPause
	l.lower(min(l.value, float64(inFlight)) * l.tuning.ShedFactor)
}

func (l *Limit) lower(value float64) {
	l.value = max(minLimit, value)
	l.growth = l.tuning.FirstGrowth
	l.forget()
	l.rest()
}

// rest lets a generation of calls end before the limit moves again.
func (l *Limit) rest() {
	l.unsure = 0
	l.settle = int(l.tuning.Settle * float64(l.whole()))
}

// forget keeps only the last window, so that what follows is compared with
// calls of the same time.
func (l *Limit) forget() {
	l.memory = slices.Delete(l.memory, 0, max(0, len(l.memory)-l.tuning.Window))
}

func (l *Limit) grow(now time.Duration) {
	if now < l.paused {
		return
	}
	l.value = min(maxLimit, l.value*(1+l.growth))
	l.growth = min(l.tuning.MaxGrowth, 2*l.growth)
	l.rest()
}

// decide moves the limit after a window.
func (l *Limit) decide(now time.Duration, limited bool) {
	c := l.contrast()
	if l.dips && (!limited || c.low >= l.tuning.MinLowSamples) {
		l.dips = false
		l.rest()
		return
	}
	switch {
	case l.dips, c.high < max(l.tuning.MinLowSamples, l.whole()/2):
	case l.whole() == minLimit && limited:
		l.grow(now)
	case c.low < l.tuning.MinLowSamples:
		l.dips = limited
	default:
		l.compare(now, limited, c)
	}
}

// compare decides by how much longer calls wait at the limit, as a ratio of
// the time that a call holds its slot, its onward calls included.
func (l *Limit) compare(now time.Duration, limited bool, c contrast) {
	ratio := 1 + c.difference()/c.hold()
	spread := c.spread() / c.hold()
	most := c.inFlightHigh / c.inFlightLow
	switch {
	case ratio > most*l.tuning.Change, c.meanHigh < c.meanLow/l.tuning.Change:
		l.forget()
	case ratio-l.tuning.LowerErrors*spread > l.tuning.LowerAbove:
		l.lower(max(l.tuning.LowPart*l.value, l.value*l.tuning.TargetRatio/ratio))
	case ratio+l.tuning.GrowErrors*spread < l.tuning.GrowBelow && limited:
		l.grow(now)
	case ratio-l.tuning.LowerErrors*spread < 1 && limited:
		l.tryGrowth(now)
	}
}

// tryGrowth grows when windows went by that decided nothing.
func (l *Limit) tryGrowth(now time.Duration) {
	l.unsure++
	if l.unsure < l.tuning.UndecidedWindows && l.whole() >= l.slots {
		return
	}
	l.grow(now)
}

// contrast sums up the samples that began far below the limit and those at it,
// block by block.
func (l *Limit) contrast() contrast {
	limit := float64(l.whole())
	block := max(l.whole(), leastBlock)
	memory := l.memory[max(0, len(l.memory)-l.tuning.Memory*max(l.whole(), leastMemory)):]
	var c contrast
	for samples := range slices.Chunk(memory, block) {
		var low, high side
		for _, s := range samples {
			n := float64(s.InFlight)
			switch {
			case n <= l.tuning.LowPart*limit:
				low.add(s)
			case n > l.tuning.HighPart*limit && n <= limit/l.tuning.HighPart:
				high.add(s)
			}
		}
		c.add(low, high)
	}
	return c
}

// side sums up samples by Welford's method.
type side struct {
	count    int
	mean     float64
	squares  float64
	inFlight float64
	hold     float64
}

func (s *side) add(x Sample) {
	own := float64(x.OwnTime)
	s.count++
	off := own - s.mean
	s.mean += off / float64(s.count)
	s.squares += off * (own - s.mean)
	s.inFlight += (float64(x.InFlight) - s.inFlight) / float64(s.count)
	s.hold += (float64(x.HoldTime) - s.hold) / float64(s.count)
}
