package kqadmit

import (
	"math"
	"slices"
	"time"
)

// threshold adapts the admission threshold: the level above which arrivals are
// refused. It is lowered when calls waited throughout a window, to the level
// whose arrivals the slots could run in that window. It is raised when slots
// were free: by as many of the least important calls as would fill them, or by
// doubling steps when a large share of the slots was free.
type threshold struct {
	tuning Tuning
	level  Level
	step   Level
	// lastRaised is when the threshold was last raised. Entries learn of the
	// new value with a delay, so that their calls rise only later.
	lastRaised time.Duration
	// busyUntil is the time up to which busyTime has been added up.
	busyUntil    time.Duration
	windowEnds   time.Duration
	overload     float64
	highestLevel Level
	// previous holds the windows before the current one, oldest first.
	previous []window
	window
}

// window holds what was observed during one window.
type window struct {
	arrivals    []Level
	starts      int
	minWaiting  int
	sawFreeSlot bool
	// filledWhileOpen reports whether a call was refused because the queue was
	// full while the threshold admitted all calls.
	filledWhileOpen bool
	// busyTime is the integral over time, in seconds, of the share of the
	// limit that was in use.
	busyTime float64
	// duration is how long the window has been observed.
	duration time.Duration
}

func newThreshold(tuning Tuning) threshold {
	t := threshold{tuning: tuning, level: AdmitAll, previous: make([]window, tuning.WindowCount-1)}
	t.step = t.firstStep()
	return t
}

func (t *threshold) firstStep() Level {
	return bandSize / Level(t.tuning.FirstStepDivisor)
}

func (t *threshold) recordArrival(l Level) {
	if len(t.arrivals) < maxArrivals {
		t.arrivals = append(t.arrivals, l)
	}
	t.highestLevel = max(t.highestLevel, l)
}

func (t *threshold) recordStart() {
	t.starts++
}

// recordQueueFull records that a call was refused because the queue was full.
func (t *threshold) recordQueueFull() {
	t.filledWhileOpen = t.level == AdmitAll
}

// observe records how many calls wait and whether a slot is free.
func (t *threshold) observe(waiting int, free bool) {
	t.minWaiting = min(t.minWaiting, waiting)
	t.sawFreeSlot = t.sawFreeSlot || (waiting == 0 && free)
}

// advance ends the windows that are over by now and reports whether any was.
// The use is the share of the limit that has been in use since the last call.
func (t *threshold) advance(now time.Duration, waiting int, use float64) bool {
	t.busyTime += use * (now - t.busyUntil).Seconds()
	t.duration += now - t.busyUntil
	t.busyUntil = now
	if t.windowEnds == 0 {
		t.beginWindow(now, waiting)
		return false
	}
	if t.endsEarly(waiting) {
		t.windowEnds = min(t.windowEnds, now)
	}
	if now < t.windowEnds || t.needsMoreStarts(now) {
		return false
	}
	t.endWindow(now)
	for t.windowEnds += t.tuning.Window; t.windowEnds <= now && waiting == 0 && t.level != AdmitAll; t.windowEnds += t.tuning.Window {
		t.raiseByStep()
	}
	t.beginWindow(now, waiting)
	return true
}

// endsEarly reports whether slots have been free for so long that the window
// ends now: the backend server has become faster, or fewer calls arrive, and
// calls refused until the regular end would be refused for nothing.
func (t *threshold) endsEarly(waiting int) bool {
	free := t.duration.Seconds() - t.busyTime
	return t.level != AdmitAll && waiting == 0 && t.minWaiting == 0 && free >= t.tuning.EarlyEndFree*t.tuning.Window.Seconds() &&
		free >= t.tuning.DoublingFree*t.duration.Seconds()
}

// needsMoreStarts reports whether a window with a standing queue is extended
// because too few calls began in it to estimate the capacity of the slots.
func (t *threshold) needsMoreStarts(now time.Duration) bool {
	return t.minWaiting > 0 && !t.filledWhileOpen && t.starts < t.tuning.MinStarts && now < t.windowEnds+t.tuning.Extension
}

// beginWindow moves the current window to the previous ones and begins a new
// one, which takes over the arrivals slice of the oldest.
func (t *threshold) beginWindow(now time.Duration, waiting int) {
	t.windowEnds = now + t.tuning.Window
	t.previous = append(t.previous, t.window)
	oldest := t.previous[0].arrivals[:0]
	t.previous = slices.Delete(t.previous, 0, 1)
	t.window = window{arrivals: oldest, minWaiting: waiting}
}

// endWindow lowers, raises or keeps the threshold after a window.
func (t *threshold) endWindow(now time.Duration) {
	free := 1 - t.busyTime/max(t.duration.Seconds(), math.SmallestNonzeroFloat64)
	switch {
	case t.level == AdmitAll && t.minWaiting == 0:
	case t.minWaiting > 0:
		t.lower()
	case free >= t.tuning.DoublingFree || len(t.arrivals) == 0:
		t.lastRaised = now
		t.raiseByStep()
	case t.sawFreeSlot && now-t.lastRaised >= t.tuning.PropagationDelay:
		t.lastRaised = now
		t.step = t.firstStep()
		t.raiseToFill(free)
	}
}

// raiseToFill raises the threshold within its band by as much as is expected to
// fill the free share of the slots, and at most by the first step. A band
// without arrivals is skipped.
func (t *threshold) raiseToFill(free float64) {
	first := t.level &^ (bandSize - 1)
	admitted, inBand := 0, 0
	for _, w := range append(t.previous[:len(t.previous):len(t.previous)], t.window) {
		for _, l := range w.arrivals {
			if l <= t.level {
				admitted++
			}
			if l <= t.level && l >= first {
				inBand++
			}
		}
	}
	if inBand == 0 {
		t.raise(first + bandSize + t.firstStep() - t.level)
		return
	}
	wanted := float64(admitted) * free / (1 - free)
	t.raise(min(t.firstStep(), Level(float64(t.level-first)*wanted/float64(inBand))))
}

// lower sets the threshold so that it admits as many of the last windows'
// arrivals as the slots could run.
func (t *threshold) lower() {
	t.step = t.firstStep()
	starts := t.starts
	arrivals := slices.Clone(t.arrivals)
	for _, w := range t.previous {
		starts += w.starts
		arrivals = append(arrivals, w.arrivals...)
	}
	keep := int(float64(starts)*t.tuning.Headroom) + 1
	t.overload = float64(len(arrivals)) / float64(max(1, starts))
	slices.Sort(arrivals)
	if t.countAdmitted(arrivals) <= keep+int(t.tuning.ExcessDeviations*math.Sqrt(float64(keep))) {
		return
	}
	t.level = min(t.level, arrivals[keep-1])
}

// countAdmitted counts the sorted arrivals that the threshold admits.
func (t *threshold) countAdmitted(sorted []Level) int {
	n, found := slices.BinarySearch(sorted, t.level)
	if found {
		n++
	}
	return n
}

// raiseByStep raises the threshold by the current step and doubles the step.
func (t *threshold) raiseByStep() {
	if t.level == AdmitAll {
		return
	}
	step := t.step
	t.step *= 2
	t.raise(step)
}

// raise moves the threshold up by the given distance. A threshold at or above
// the level of every arrival becomes AdmitAll.
func (t *threshold) raise(by Level) {
	t.overload = 1
	if t.level >= t.highestLevel || t.level > AdmitAll-by {
		t.level = AdmitAll
		t.highestLevel = 0
		t.step = t.firstStep()
		return
	}
	t.level += by
}

// retryAfter returns how long a refused caller should wait before its next
// attempt. It grows with the ratio of offered to runnable calls.
func (t *threshold) retryAfter(l Level) time.Duration {
	return retryAfter(l, t.overload)
}
