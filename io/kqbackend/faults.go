package kqbackend

import (
	"sync"
	"time"
)

// Faults holds the faults that are injected into a stand-in, and whether it is
// leaving.
type Faults struct {
	// Slow multiplies the service time. 0 means 1.
	Slow float64
	// Stall holds calls, while it is set, before their work starts and before
	// they are answered.
	Stall bool
	// Refuse makes the stand-in shed every call, even if it has free slots.
	Refuse bool
	// Silent makes the stand-in take calls without answering them while it is
	// set.
	Silent bool
	// Leaving is set once the stand-in has announced that it is leaving. Its
	// answers say so too.
	Leaving bool
	// RateLimit is the limit in calls a second, from all nodes together, that
	// the answers name. 0 means none.
	RateLimit float64
}

// faultState holds the current faults. Its channel is closed at the next change.
type faultState struct {
	mutex   sync.Mutex
	current Faults
	changed chan struct{}
}

func (f *faultState) get() Faults {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.current
}

func (f *faultState) watch() (Faults, <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.current, f.changed
}

// SetFaults replaces the faults. Calls that wait for the end of a stall check the
// new faults at once.
func (b *Backend) SetFaults(f Faults) {
	b.faults.mutex.Lock()
	defer b.faults.mutex.Unlock()
	b.faults.current = f
	close(b.faults.changed)
	b.faults.changed = make(chan struct{})
}

// Faults returns the current faults.
func (b *Backend) Faults() Faults {
	return b.faults.get()
}

// waitWhile waits while blocked returns true for the current faults. It returns
// false if the caller disconnects first.
func (b *Backend) waitWhile(disconnected <-chan struct{}, blocked func(Faults) bool) bool {
	for {
		f, changed := b.faults.watch()
		if !blocked(f) {
			return true
		}
		select {
		case <-changed:
		case <-disconnected:
			return false
		}
	}
}

// serviceTimeFactor returns by how much the service time of a call that starts
// now is multiplied.
func (b *Backend) serviceTimeFactor(f Faults) float64 {
	s := b.settings
	factor := 1.0
	if f.Slow > 0 {
		factor = f.Slow
	}
	if age := time.Since(b.started); age < s.ColdStart {
		coldness := 1 - float64(age)/float64(s.ColdStart)
		factor *= 1 + max(s.ColdFactor-1, 0)*coldness
	}
	if waiting := float64(b.inFlight.Load()) - float64(s.Slots); waiting > 0 && s.Collapse > 0 {
		factor *= min(1+s.Collapse*waiting/float64(s.Slots), max(s.CollapseLimit, 1))
	}
	return factor
}
