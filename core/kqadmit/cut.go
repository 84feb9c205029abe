package kqadmit

import (
	"slices"
	"time"
)

// cut finds the level up to which arrivals are let in: it closes when a queue
// stood for a whole window, to what the slots could run in it, and opens by
// doubling steps when slots stood free.
type cut struct {
	tuning  Tuning
	level   Level
	step    Level
	ends    time.Duration
	excess  float64
	highest Level
	// past holds the windows before the one that runs now.
	past []span
	span
}

// span is what one window saw.
type span struct {
	arrivals   []Level
	starts     int
	minWaiting int
	idle       bool
}

func newCut(t Tuning) cut {
	c := cut{tuning: t, level: Open, past: make([]span, t.Spans-1)}
	c.step = c.firstStep()
	return c
}

func (c *cut) firstStep() Level {
	return rankSpan / Level(c.tuning.RelaxParts)
}

func (c *cut) arrived(l Level) {
	if len(c.arrivals) < maxArrivals {
		c.arrivals = append(c.arrivals, l)
	}
	c.highest = max(c.highest, l)
}

func (c *cut) started() {
	c.starts++
}

// saw notes how many calls wait and whether a slot is free.
func (c *cut) saw(waiting int, free bool) {
	c.minWaiting = min(c.minWaiting, waiting)
	c.idle = c.idle || (waiting == 0 && free)
}

// advance ends the windows that have passed by now and says whether any did.
func (c *cut) advance(now time.Duration, waiting int) bool {
	if c.ends == 0 {
		c.begin(now, waiting)
		return false
	}
	if now < c.ends || c.tooFew(now) {
		return false
	}
	c.end()
	for c.ends += c.tuning.Window; c.ends <= now && waiting == 0 && c.level != Open; c.ends += c.tuning.Window {
		c.relax()
	}
	c.begin(now, waiting)
	return true
}

// tooFew is whether a window in which a queue stands should go on, since too
// few calls began in it to tell what the slots can run.
func (c *cut) tooFew(now time.Duration) bool {
	return c.minWaiting > 0 && c.starts < c.tuning.MinStarts && now < c.ends+c.tuning.Extension
}

func (c *cut) begin(now time.Duration, waiting int) {
	c.ends = now + c.tuning.Window
	c.past = append(c.past, c.span)
	oldest := c.past[0].arrivals[:0]
	c.past = slices.Delete(c.past, 0, 1)
	c.span = span{arrivals: oldest, minWaiting: waiting}
}

func (c *cut) end() {
	switch {
	case c.minWaiting > 0:
		c.tighten()
	case c.idle || len(c.arrivals) == 0:
		c.relax()
	}
}

// tighten sets the cut to what the slots could run of the last windows'
// arrivals.
func (c *cut) tighten() {
	c.step = c.firstStep()
	starts := c.starts
	arrivals := slices.Clone(c.arrivals)
	for _, s := range c.past {
		starts += s.starts
		arrivals = append(arrivals, s.arrivals...)
	}
	keep := int(float64(starts)*c.tuning.Headroom) + 1
	c.excess = float64(len(arrivals)) / float64(max(1, starts))
	if keep >= len(arrivals) {
		return
	}
	slices.Sort(arrivals)
	c.level = min(c.level, arrivals[keep-1])
}

func (c *cut) relax() {
	if c.level == Open {
		return
	}
	c.excess = 1
	if c.level >= c.highest || c.level > Open-c.step {
		c.level = Open
		c.highest = 0
		c.step = c.firstStep()
		return
	}
	c.level += c.step
	c.step *= 2
}

// retryAfter tells a refused caller when to come again: later the more is
// offered beyond what can run.
func (c *cut) retryAfter(l Level) time.Duration {
	return retryAfter(l, c.excess)
}
