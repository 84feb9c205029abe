package kqlog

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Settings of a budget.
const (
	// budgetBurst is how many seconds' worth of lines can be saved up.
	budgetBurst = 2
	// fullShare keeps the lines of all requests, and each step less halves the
	// requests whose ordinary lines are kept.
	fullShare = 1 << 10
	// thriftAt is the part of the saved lines below which fewer requests are
	// kept, and plentyAt the part above which more are.
	thriftAt = 0.5
	plentyAt = 0.8
	// thriftPeriod is the least time between two changes of the share.
	thriftPeriod = 100 * time.Millisecond
	// serverError is the first status of failures.
	serverError = 500
)

// budget bounds the decisions of a second. Which requests are kept follows from
// their IDs, so that all nodes that are short of lines keep the same ones.
type budget struct {
	rate float64

	mutex   sync.Mutex
	left    float64
	at      time.Time
	share   uint64
	changed time.Time
}

// newBudget makes a budget, or nil for no bound.
func newBudget(linesPerSecond int) *budget {
	if linesPerSecond <= 0 {
		return nil
	}
	rate := float64(linesPerSecond)
	return &budget{rate: rate, left: rate * budgetBurst, share: fullShare}
}

// admits is whether the decision is written.
func (b *budget) admits(d Decision, now time.Time) bool {
	if b == nil {
		return true
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	most := b.rate * budgetBurst
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.left = min(most, b.left+b.rate*elapsed)
		b.at = now
	}
	b.adapt(now, b.left/most)
	if d.isOrdinary() && b.share < fullShare && xxhash.Sum64String(d.root())%fullShare >= b.share {
		return false
	}
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// adapt keeps fewer requests while lines run short, and more when they do not.
func (b *budget) adapt(now time.Time, saved float64) {
	if now.Sub(b.changed) < thriftPeriod {
		return
	}
	switch {
	case saved < thriftAt && b.share > 1:
		b.share /= 2
		b.changed = now
	case saved > plentyAt && b.share < fullShare:
		b.share *= 2
		b.changed = now
	}
}

// isOrdinary is whether the decision tells of a success.
func (d Decision) isOrdinary() bool {
	return d.Outcome == "ran" && d.Status < serverError
}

// root is the ID of the whole request.
func (d Decision) root() string {
	if d.Root != "" {
		return d.Root
	}
	return d.RequestID
}
