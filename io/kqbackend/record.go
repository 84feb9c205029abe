package kqbackend

import (
	"sync"
	"time"
)

// Run is one call that the stand-in ran.
type Run struct {
	RequestID string
	Key       string
	Class     string
	Path      string
	// Attempt is the sending that the run belongs to, if its caller said so.
	Attempt string
	// At is when the call began to run, Ended when it ended, or zero.
	At    time.Time
	Ended time.Time
	// Worked is the time spent on the call itself, without onward calls.
	Worked time.Duration
	// Saved is the work that was not done since the caller had gone.
	Saved time.Duration
	// Answered is whether the call was answered before its caller had gone.
	Answered bool
	Status   int
}

// Shed is one call that the stand-in refused without running it.
type Shed struct {
	RequestID string
	Class     string
	Path      string
	Attempt   string
	At        time.Time
}

// Send is one onward call that the stand-in made, and how it ended.
type Send struct {
	Call   Call
	Answer Answer
	At     time.Time
	Ended  time.Time
	// Wrong is whether an answer came that is not the whole one to this call.
	Wrong bool
}

// record is the ground truth of a trial.
type record struct {
	mutex sync.Mutex
	runs  []*Run
	sheds []Shed
	sends []Send
}

func (r *record) begin(run *Run) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs = append(r.runs, run)
}

func (r *record) change(f func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	f()
}

// Runs lists the calls that were run, in the order they began.
func (b *Backend) Runs() []Run {
	b.record.mutex.Lock()
	defer b.record.mutex.Unlock()
	runs := make([]Run, len(b.record.runs))
	for i, r := range b.record.runs {
		runs[i] = *r
	}
	return runs
}

// Sheds lists the calls that the stand-in itself refused.
func (b *Backend) Sheds() []Shed {
	b.record.mutex.Lock()
	defer b.record.mutex.Unlock()
	return append([]Shed(nil), b.record.sheds...)
}

// Sends lists the onward calls of plans that the stand-in made.
func (b *Backend) Sends() []Send {
	b.record.mutex.Lock()
	defer b.record.mutex.Unlock()
	return append([]Send(nil), b.record.sends...)
}
