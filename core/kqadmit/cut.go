package kqadmit

import (
	"math"
	"slices"
	"time"
)

// cut finds the level up to which arrivals are let in: it closes when a queue
// stood for a whole window, to what the slots could run in it, and opens when
// slots stood free: for so much more of the least important calls as would fill
// them, and by doubling steps when most of them did.
type cut struct {
	tuning Tuning
	level  Level
	step   Level
	// opened is when the cut last opened; who was told of it needs a while to
	// send more.
	opened time.Duration
	// seen is until when use was added up.
	seen    time.Duration
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
	// onset is whether a call was refused for want of room with an open cut.
	onset bool
	// used is the time that slots were in use, as a sum over the limit's part
	// in use.
	used float64
	// lasted is how long it was watched.
	lasted time.Duration
}

func newCut(t Tuning) cut {
	c := cut{tuning: t, level: AdmitAll, past: make([]span, t.WindowCount-1)}
	c.step = c.firstStep()
	return c
}

func (c *cut) firstStep() Level {
	return bandSpan / Level(c.tuning.FirstStepDivisor)
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

// full notes that a call was refused for want of room.
func (c *cut) full() {
	c.onset = c.level == AdmitAll
}

// saw notes how many calls wait and whether a slot is free.
func (c *cut) saw(waiting int, free bool) {
	c.minWaiting = min(c.minWaiting, waiting)
	c.idle = c.idle || (waiting == 0 && free)
}

// advance ends the windows that have passed by now and says whether any did.
func (c *cut) advance(now time.Duration, waiting int, use float64) bool {
	c.used += use * (now - c.seen).Seconds()
	c.lasted += now - c.seen
	c.seen = now
	if c.ends == 0 {
		c.begin(now, waiting)
		return false
	}
	if c.standsEmpty(waiting) {
		c.ends = min(c.ends, now)
	}
	if now < c.ends || c.tooFew(now) {
		return false
	}
	c.end(now)
	for c.ends += c.tuning.Window; c.ends <= now && waiting == 0 && c.level != AdmitAll; c.ends += c.tuning.Window {
		c.relax()
	}
	c.begin(now, waiting)
	return true
}

// standsEmpty is whether the slots stood free for so long already that the
// window should end at once: the server has become quicker, or fewer calls
// come, and what the cut refuses meanwhile is lost.
func (c *cut) standsEmpty(waiting int) bool {
	free := c.lasted.Seconds() - c.used
	return c.level != AdmitAll && waiting == 0 && c.minWaiting == 0 && free >= c.tuning.EarlyEndFree*c.tuning.Window.Seconds() &&
		free >= c.tuning.DoublingFree*c.lasted.Seconds()
}

// tooFew is whether a window in which a queue stands should go on, since too
// few calls began in it to tell what the slots can run.
func (c *cut) tooFew(now time.Duration) bool {
	return c.minWaiting > 0 && !c.onset && c.starts < c.tuning.MinStarts && now < c.ends+c.tuning.Extension
}

func (c *cut) begin(now time.Duration, waiting int) {
	c.ends = now + c.tuning.Window
	c.past = append(c.past, c.span)
	oldest := c.past[0].arrivals[:0]
	c.past = slices.Delete(c.past, 0, 1)
	c.span = span{arrivals: oldest, minWaiting: waiting}
}

func (c *cut) end(now time.Duration) {
	free := 1 - c.used/max(c.lasted.Seconds(), math.SmallestNonzeroFloat64)
	switch {
	case c.level == AdmitAll && c.minWaiting == 0:
	case c.minWaiting > 0:
		c.tighten()
	case free >= c.tuning.DoublingFree || len(c.arrivals) == 0:
		c.opened = now
		c.relax()
	case c.idle && now-c.opened >= c.tuning.PropagationDelay:
		c.opened = now
		c.step = c.firstStep()
		c.widen(free)
	}
}

// widen lets in so much more of the band that the cut divides as would fill
// the free part of the slots. A band of which nothing came is passed over.
func (c *cut) widen(free float64) {
	first := c.level &^ (bandSpan - 1)
	all, ofBand := 0, 0
	for _, s := range append(c.past[:len(c.past):len(c.past)], c.span) {
		for _, l := range s.arrivals {
			if l <= c.level {
				all++
			}
			if l <= c.level && l >= first {
				ofBand++
			}
		}
	}
	if ofBand == 0 {
		c.open(first + bandSpan + c.firstStep() - c.level)
		return
	}
	wanted := float64(all) * free / (1 - free)
	c.open(min(c.firstStep(), Level(float64(c.level-first)*wanted/float64(ofBand))))
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
	slices.Sort(arrivals)
	if c.inside(arrivals) <= keep+int(c.tuning.ExcessDeviations*math.Sqrt(float64(keep))) {
		return
	}
	c.level = min(c.level, arrivals[keep-1])
}

// inside counts the sorted arrivals that the cut lets in.
func (c *cut) inside(sorted []Level) int {
	n, found := slices.BinarySearch(sorted, c.level)
	if found {
		n++
	}
	return n
}

func (c *cut) relax() {
	if c.level == AdmitAll {
		return
	}
	step := c.step
	c.step *= 2
	c.open(step)
}

// open lets in more; a cut above all that comes is open.
func (c *cut) open(more Level) {
	c.excess = 1
	if c.level >= c.highest || c.level > AdmitAll-more {
		c.level = AdmitAll
		c.highest = 0
		c.step = c.firstStep()
		return
	}
	c.level += more
}

// retryAfter tells a refused caller when to come again: later the more is
// offered beyond what can run.
func (c *cut) retryAfter(l Level) time.Duration {
	return retryAfter(l, c.excess)
}
