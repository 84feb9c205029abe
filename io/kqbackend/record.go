package kqbackend

import (
	"sync"
	"time"
)

// Run records a call that the stand-in ran.
type Run struct {
	RequestID string
	Key       string
	Class     string
	Path      string
	// Attempt is Call.Attempt, if the sender set it.
	Attempt string
	// At is when the call started to run, and Ended when it ended. Ended is zero
	// while the call runs.
	At    time.Time
	Ended time.Time
	// Worked is the time spent on the call itself, without onward calls.
	Worked time.Duration
	// Saved is the part of the service time that was not spent because the
	// caller disconnected.
	Saved time.Duration
	// Answered reports whether the call was answered before its caller
	// disconnected.
	Answered bool
	Status   int
}

// Shed records a call that the stand-in refused without running it.
type Shed struct {
	RequestID string
	Class     string
	Path      string
	Attempt   string
	At        time.Time
}

// Send records an onward call that the stand-in made, and its answer without the
// body.
type Send struct {
	Call   Call
	Answer Answer
	At     time.Time
	Ended  time.Time
	// Wrong reports whether the call succeeded with an answer that is incomplete
	// or belongs to another call.
	Wrong bool
}

// record holds everything that the stand-in ran, shed and sent. Trials use it as
// the ground truth.
type record struct {
	mutex sync.Mutex
	runs  []*Run
	sheds []Shed
	sends []Send
}

func (r *record) addRun(run *Run) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs = append(r.runs, run)
}

// update calls change while it holds the mutex.
func (r *record) update(change func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change()
}

// Runs returns the calls that the stand-in ran, in the order in which they
// started.
func (b *Backend) Runs() []Run {
	b.record.mutex.Lock()
	defer b.record.mutex.Unlock()
	runs := make([]Run, len(b.record.runs))
	for i, r := range b.record.runs {
		runs[i] = *r
	}
	return runs
}

// Sheds returns the calls that the stand-in refused.
func (b *Backend) Sheds() []Shed {
	b.record.mutex.Lock()
	defer b.record.mutex.Unlock()
	return append([]Shed(nil), b.record.sheds...)
}

// Sends returns the onward calls of plans that the stand-in made, in the order in
// which they ended.
func (b *Backend) Sends() []Send {
	b.record.mutex.Lock()
	defer b.record.mutex.Unlock()
	return append([]Send(nil), b.record.sends...)
}
