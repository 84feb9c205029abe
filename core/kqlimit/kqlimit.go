// Package kqlimit adapts the concurrency limit of a gate, the part of a node that
// admits calls to its backend server. It estimates how many calls the server can
// run at once from what the gate observes: how many calls were in flight, and how
// long each took apart from its onward calls (the calls it made to other
// services).
//
// # Usage
//
//	limit := kqlimit.New(announcedSlots)
//	limit.Observe(kqlimit.Sample{OwnTime: own, HoldTime: hold, InFlight: inFlight, Limited: waiting > 0, Ended: now})
//	limit.ObserveShed(now, inFlight)
//	room := limit.Value()
//
// A call that begins while the backend server has a free slot takes its own
// service time, however many others run. A call that begins when n calls too
// many are in flight waits for n of them. Calls that began far below the limit
// are therefore compared with calls that began at it:
//
//   - If the latter took longer with statistical significance, the limit is
//     lowered to the concurrency at which, by the ratio of the two, calls begin
//     to queue in the server.
//   - If they did not take longer, the limit grows, by steps that double.
//   - If chance may explain the difference, the limit stays.
//   - If too few calls began far below the limit, it is lowered for a few calls
//     to obtain such samples. This is called a dip.
//
// A backend server that becomes slower or faster changes both groups alike, so
// that the limit stays at the number of calls that it can run. The same rule
// works for 5 slots and for 36.
//
// Times are durations since an arbitrary start. A Limit is not safe for
// concurrent use.
package kqlimit

import (
	"math"
	"slices"
	"time"
)

// Bounds of the limit and of the samples that are compared.
const (
	minLimit = 1
	maxLimit = 4096
	// startLimit is the first limit of a gate whose server announces no slots,
	// and maxStart bounds the first limit of one whose server does.
	startLimit = 4
	maxStart   = 8
	// minMemoryLimit is the least limit for which the memory is sized.
	minMemoryLimit = 32
	// minBlock is the least number of samples in a block of a comparison.
	minBlock = 12
)

// Tuning holds the parameters of the limit.
type Tuning struct {
	// Memory is the number of samples that are compared, as a multiple of the
	// limit. Window is the number of new samples between two comparisons.
	Memory int
	Window int
	// LowPart and HighPart bound the groups, as shares of the limit: samples up
	// to LowPart began far below the limit, and samples above HighPart began at
	// it.
	LowPart  float64
	HighPart float64
	// MinLowSamples is how many samples must have begun far below the limit for
	// a comparison; if fewer did, the limit dips.
	MinLowSamples int
	// The ratio is 1 plus the extra time that calls take at the limit, divided by
	// the hold time of calls far below it. The limit is lowered to where the
	// ratio would be TargetRatio when the ratio lies LowerErrors standard errors
	// above LowerAbove. It grows when the ratio lies GrowErrors standard errors
	// below GrowBelow, and also after UndecidedWindows windows in which chance
	// may explain that the ratio lies above 1.
	TargetRatio      float64
	LowerAbove       float64
	LowerErrors      float64
	GrowBelow        float64
	GrowErrors       float64
	UndecidedWindows int
	// Settle is how many calls must end after the limit has changed before it
	// changes again, as a multiple of the limit: the fast calls end first and
	// are not representative.
	Settle float64
	// Change is the factor beyond what queueing explains from which a
	// difference means that the speed of the backend server itself has changed;
	// the memory is then cleared but for the last window.
	Change float64
	// FirstGrowth and MaxGrowth bound the growth after a window without
	// queueing, as a share of the limit; it doubles with each such window.
	FirstGrowth float64
	MaxGrowth   float64
	// ShedFactor lowers the limit when the backend server itself sheds a call,
	// and ShedPause is how long the limit does not grow after that.
	ShedFactor float64
	ShedPause  time.Duration
}

// DefaultTuning returns the parameters that gates use.
func DefaultTuning() Tuning {
	return Tuning{
		Memory: 8, Window: 8, LowPart: 0.85, HighPart: 0.9, MinLowSamples: 8,
		TargetRatio: 1.15, LowerAbove: 1.22, LowerErrors: 2.5, GrowBelow: 1.1, GrowErrors: 0.5, UndecidedWindows: 4, Settle: 1, Change: 2, FirstGrowth: 0.05, MaxGrowth: 0.6,
		ShedFactor: 0.9, ShedPause: 200 * time.Millisecond,
	}
}

// Sample describes one call that ended.
type Sample struct {
	// OwnTime is how long the call took apart from its onward calls.
	OwnTime time.Duration
	// HoldTime is how long the call held its slot, including its onward calls.
	HoldTime time.Duration
	// InFlight is how many calls were in flight when the call began, including
	// itself.
	InFlight int
	// Limited reports whether the limit held calls back when the call ended.
	Limited bool
	// Ended is when the call ended.
	Ended time.Duration
}

// Limit is the concurrency limit of one gate.
type Limit struct {
	tuning Tuning
	// slots is the number of slots that the backend server announces, or 0.
	slots  int
	value  float64
	growth float64
	// dipping reports whether the limit is lowered to collect samples that
	// begin far below it.
	dipping bool
	// paused is until when the limit does not grow after the backend server
	// shed a call.
	paused time.Duration
	memory []Sample
	// newSamples counts the samples of the current window, and limited those of
	// them that were Limited.
	newSamples int
	limited    int
	// undecided counts the windows since the last change whose comparison
	// decided nothing.
	undecided int
	// settle is how many calls must end before the limit changes.
	settle int
}

// Option configures a [Limit].
type Option func(*Limit)

// WithTuning replaces the parameters of [DefaultTuning].
func WithTuning(t Tuning) Option {
	return func(l *Limit) { l.tuning = t }
}

// New returns a limit for a backend server that announces the given number of
// slots, or 0 for none. The number determines only where the limit starts, and
// that growth up to it does not wait for undecided windows.
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

// Value returns how many calls may be in flight.
func (l *Limit) Value() int {
	if l.dipping {
		return max(int(l.tuning.LowPart*float64(l.base())), minLimit)
	}
	return l.base()
}

// base returns the limit without regard to dips.
func (l *Limit) base() int {
	return min(max(int(math.Ceil(l.value-0.01)), minLimit), maxLimit)
}

// Observe records a call that ended and adapts the limit at the end of a window.
func (l *Limit) Observe(s Sample) {
	capacity := l.tuning.Memory * max(l.base(), minMemoryLimit)
	if len(l.memory) >= 2*capacity {
		l.memory = slices.Delete(l.memory, 0, len(l.memory)-capacity)
	}
	l.memory = append(l.memory, s)
	l.newSamples++
	l.settle--
	if s.Limited {
		l.limited++
	}
	if l.newSamples < l.tuning.Window || l.settle > 0 {
		return
	}
	limited := l.limited*2 > l.newSamples
	l.newSamples, l.limited = 0, 0
	l.adapt(s.Ended, limited)
}

// ObserveShed records a call that the backend server itself refused while the
// given number of calls were in flight, and lowers the limit. Further refusals
// within ShedPause are ignored.
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
	l.trimMemory()
	l.startSettling()
}

// startSettling keeps the limit until the calls in flight at its change have
// ended.
func (l *Limit) startSettling() {
	l.undecided = 0
	l.settle = int(l.tuning.Settle * float64(l.base()))
}

// trimMemory keeps only the samples of the last window, so that later samples
// are compared with samples of about the same time.
func (l *Limit) trimMemory() {
	l.memory = slices.Delete(l.memory, 0, max(0, len(l.memory)-l.tuning.Window))
}

func (l *Limit) grow(now time.Duration) {
	if now < l.paused {
		return
	}
	l.value = min(maxLimit, l.value*(1+l.growth))
	l.growth = min(l.tuning.MaxGrowth, 2*l.growth)
	l.startSettling()
}

// adapt ends or begins a dip, or changes the limit, after a window.
func (l *Limit) adapt(now time.Duration, limited bool) {
	c := l.groupSamples()
	if l.dipping && (!limited || c.low >= l.tuning.MinLowSamples) {
		l.dipping = false
		l.startSettling()
		return
	}
	switch {
	case l.dipping, c.high < max(l.tuning.MinLowSamples, l.base()/2):
	case l.base() == minLimit && limited:
		l.grow(now)
	case c.low < l.tuning.MinLowSamples:
		l.dipping = limited
	default:
		l.compare(now, limited, c)
	}
}

// compare changes the limit by the ratio of hold times at the limit and far below
// it. The difference is divided by the time that a call holds its slot, which
// includes its onward calls.
func (l *Limit) compare(now time.Duration, limited bool, c comparison) {
	ratio := 1 + c.difference()/c.baseHold()
	standardError := c.standardError() / c.baseHold()
	maxRatio := c.inFlightHigh / c.inFlightLow
	switch {
	case ratio > maxRatio*l.tuning.Change, c.meanHigh < c.meanLow/l.tuning.Change:
		l.trimMemory()
	case ratio-l.tuning.LowerErrors*standardError > l.tuning.LowerAbove:
		l.lower(max(l.tuning.LowPart*l.value, l.value*l.tuning.TargetRatio/ratio))
	case ratio+l.tuning.GrowErrors*standardError < l.tuning.GrowBelow && limited:
		l.grow(now)
	case ratio-l.tuning.LowerErrors*standardError < 1 && limited:
		l.growUndecided(now)
	}
}

// growUndecided lets the limit grow after enough undecided windows, or at once
// below the announced slots.
func (l *Limit) growUndecided(now time.Duration) {
	l.undecided++
	if l.undecided < l.tuning.UndecidedWindows && l.base() >= l.slots {
		return
	}
	l.grow(now)
}

// groupSamples compares the samples in memory that began far below the limit
// with those that began at it, block by block.
func (l *Limit) groupSamples() comparison {
	limit := float64(l.base())
	block := max(l.base(), minBlock)
	memory := l.memory[max(0, len(l.memory)-l.tuning.Memory*max(l.base(), minMemoryLimit)):]
	var c comparison
	for samples := range slices.Chunk(memory, block) {
		var low, high group
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

// group accumulates samples by Welford's method.
type group struct {
	count    int
	mean     float64
	squares  float64
	inFlight float64
	hold     float64
}

func (g *group) add(s Sample) {
	own := float64(s.OwnTime)
	g.count++
	deviation := own - g.mean
	g.mean += deviation / float64(g.count)
	g.squares += deviation * (own - g.mean)
	g.inFlight += (float64(s.InFlight) - g.inFlight) / float64(g.count)
	g.hold += (float64(s.HoldTime) - g.hold) / float64(g.count)
}
