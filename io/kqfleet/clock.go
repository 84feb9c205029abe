package kqfleet

import (
	"sync"
	"time"
)

// clock is the clock of one node, which can be paused. A read of a paused clock
// blocks until the node resumes, and then returns the time at that moment.
type clock struct {
	mutex        sync.Mutex
	paused       bool
	resumed      *sync.Cond
	blockedReads int64
}

func newClock() *clock {
	c := &clock{}
	c.resumed = sync.NewCond(&c.mutex)
	return c
}

// now returns the current time, after the clock has resumed if it is paused.
func (c *clock) now() time.Time {
	c.mutex.Lock()
	if c.paused {
		c.blockedReads++
	}
	for c.paused {
		c.resumed.Wait()
	}
	c.mutex.Unlock()
	return time.Now()
}

// setPaused pauses or resumes the clock.
func (c *clock) setPaused(paused bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.paused = paused
	c.resumed.Broadcast()
}

// blockedReadCount returns the number of reads that found the clock paused.
func (c *clock) blockedReadCount() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.blockedReads
}
