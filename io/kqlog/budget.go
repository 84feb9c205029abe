package kqlog

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of a budget.
const (
	// burstSeconds is the size of the token bucket, in seconds of its rate.
	burstSeconds = 2
	// fullShare is the share at which the lines of all requests are kept. Each
	// halving of the share keeps the ordinary lines of half as many requests.
	fullShare = 1 << 10
	// The share is halved while the bucket is filled to less than lowFill, and
	// doubled while it is filled to more than highFill.
	lowFill  = 0.5
	highFill = 0.8
	// sharePeriod is the minimum time between two changes of the share.
	sharePeriod = 100 * time.Millisecond
	// serverError is the lowest HTTP status that counts as a failure.
	serverError = 500
)

// budget limits the rate of decision lines by a token bucket. While tokens are
// low it samples requests by the hash of their root ID, so that all nodes that
// sample keep the lines of the same requests.
type budget struct {
	// rate is in lines per second.
	rate float64

	mutex          sync.Mutex
	tokens         float64
	refilledAt     time.Time
	share          uint64
	shareChangedAt time.Time
}

// newBudget returns a budget, or nil, which allows every line, for a rate of 0 or
// less.
func newBudget(linesPerSecond int) *budget {
	if linesPerSecond <= 0 {
		return nil
	}
	rate := float64(linesPerSecond)
	return &budget{rate: rate, tokens: rate * burstSeconds, share: fullShare}
}

// allow reports whether the decision is written, and takes a token if so.
func (b *budget) allow(d Decision, now time.Time) bool {
	if b == nil {
		return true
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	capacity := b.rate * burstSeconds
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.tokens = min(capacity, b.tokens+b.rate*elapsed)
		b.refilledAt = now
	}
	b.adapt(now, b.tokens/capacity)
	if d.isOrdinary() && b.share < fullShare && xxhash.Sum64String(d.root())%fullShare >= b.share {
		return false
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// adapt changes the share of requests to keep, by the fill of the bucket from 0
// to 1.
func (b *budget) adapt(now time.Time, fill float64) {
	if now.Sub(b.shareChangedAt) < sharePeriod {
		return
	}
	switch {
	case fill < lowFill && b.share > 1:
		b.share /= 2
		b.shareChangedAt = now
	case fill > highFill && b.share < fullShare:
		b.share *= 2
		b.shareChangedAt = now
	}
}

// isOrdinary reports whether the decision is that of a success.
func (d Decision) isOrdinary() bool {
	return d.Outcome == "ran" && d.Status < serverError
}

// root returns the ID of the request for which the call was made.
func (d Decision) root() string {
	if d.Root != "" {
		return d.Root
	}
	return d.RequestID
}
