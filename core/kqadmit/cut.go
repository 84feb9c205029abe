package kqadmit

import (
	"slices"
	"time"
)

// Constants of the cut.
const (
	// relaxStep is the first step by which the cut opens; it doubles with
	// every window without a standing queue.
	relaxStep = rankSpan / 16
	// headroom is the part of a window's capacity that the cut lets in above
	// it, so that the queue never runs dry.
	headroom = 1.05
)

// cut finds the level up to which arrivals are let in: it closes when a queue
// stood for a whole window, to what the slots could run in it, and opens by
// doubling steps when slots stood free.
type cut struct {
	level Level
	step  Level
	ends  time.Duration
	// Of the window that runs now:
	arrivals   []Level
	starts     int
	minWaiting int
	idle       bool
	highest    Level
	excess     float64
}

func newCut() cut {
	return cut{level: Open, step: relaxStep}
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

// advance ends the windows that have passed by now.
func (c *cut) advance(now time.Duration, waiting int) {
	if c.ends == 0 {
		c.begin(now, waiting)
		return
	}
	if now < c.ends {
		return
	}
	c.end()
	for c.ends += window; c.ends <= now && waiting == 0 && c.level != Open; c.ends += window {
		c.relax()
	}
	c.begin(now, waiting)
}

func (c *cut) begin(now time.Duration, waiting int) {
	c.ends = now + window
	c.arrivals = c.arrivals[:0]
	c.starts = 0
	c.minWaiting = waiting
	c.idle = false
}

func (c *cut) end() {
	switch {
	case c.minWaiting > 0:
		c.tighten()
	case c.idle || len(c.arrivals) == 0:
		c.relax()
	}
}

// tighten sets the cut to what the slots could run of the window's arrivals.
func (c *cut) tighten() {
	c.step = relaxStep
	keep := int(float64(c.starts)*headroom) + 1
	c.excess = float64(len(c.arrivals)) / float64(max(1, c.starts))
	if keep >= len(c.arrivals) {
		return
	}
	slices.Sort(c.arrivals)
	c.level = min(c.level, c.arrivals[keep-1])
}

func (c *cut) relax() {
	if c.level == Open {
		return
	}
	c.excess = 1
	if c.level >= c.highest || c.level > Open-c.step {
		c.level = Open
		c.highest = 0
		c.step = relaxStep
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
