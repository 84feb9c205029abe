package kqbackend

import (
	"sync"
	"time"
)

// Faults are the switches of a stand-in.
type Faults struct {
	// Slow multiplies the service time; 0 means once.
	Slow float64
	// Stall stops all work until it is taken back.
	Stall bool
	// Refuse sheds every call, though there may be room.
	Refuse bool
	// Silent takes calls and never answers them, for as long as it is set.
	Silent bool
	// Leaving is set once the stand-in has announced that it leaves.
	Leaving bool
}

// faultSwitches holds the switches and tells of changes.
type faultSwitches struct {
	mutex   sync.Mutex
	held    Faults
	changed chan struct{}
}

func (f *faultSwitches) get() Faults {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.held
}

func (f *faultSwitches) watch() (Faults, <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.held, f.changed
}

// SetFaults sets the switches.
func (b *Backend) SetFaults(f Faults) {
	b.faults.mutex.Lock()
	defer b.faults.mutex.Unlock()
	b.faults.held = f
	close(b.faults.changed)
	b.faults.changed = make(chan struct{})
}

// Faults gives the switches.
func (b *Backend) Faults() Faults {
	return b.faults.get()
}

// pass waits while blocked holds, and says whether the call may go on.
func (b *Backend) pass(gone <-chan struct{}, blocked func(Faults) bool) bool {
	for {
		f, changed := b.faults.watch()
		if !blocked(f) {
			return true
		}
		select {
		case <-changed:
		case <-gone:
			return false
		}
	}
}

// factor is how much longer than usual a call that begins now works.
func (b *Backend) factor(f Faults) float64 {
	s := b.settings
	factor := 1.0
	if f.Slow > 0 {
		factor = f.Slow
	}
	if age := time.Since(b.started); age < s.ColdStart {
		left := 1 - float64(age)/float64(s.ColdStart)
		factor *= 1 + max(s.ColdFactor-1, 0)*left
	}
	if excess := float64(b.inside.Load()) - float64(s.Slots); excess > 0 && s.Collapse > 0 {
		factor *= min(1+s.Collapse*excess/float64(s.Slots), max(s.CollapseLimit, 1))
	}
	return factor
}
