package kqfleet

import (
	"sync"
	"time"
)

// clock is the clock of one node. Whoever reads it while the node is paused
// waits until the node wakes, and then reads the later time.
type clock struct {
	mutex  sync.Mutex
	paused bool
	woken  *sync.Cond
	stalls int64
}

func newClock() *clock {
	c := &clock{}
	c.woken = sync.NewCond(&c.mutex)
	return c
}

// now reads the clock.
func (c *clock) now() time.Time {
	c.mutex.Lock()
	if c.paused {
		c.stalls++
	}
	for c.paused {
		c.woken.Wait()
	}
	c.mutex.Unlock()
	return time.Now()
}

// pause stops or resumes the clock.
func (c *clock) pause(paused bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.paused = paused
	c.woken.Broadcast()
}

// stalled is how often a reader had to wait.
func (c *clock) stalled() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.stalls
}
