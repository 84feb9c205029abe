package kqretry

import "sync/atomic"

// Settings of a brake. One first try earns one part; one retry costs
// partsPerRetry parts, which makes the share of retries 1 in partsPerRetry.
const (
	partsPerRetry = 10
	// MaxBurst is the number of retries that an entry can have saved up.
	MaxBurst = 10
	maxParts = MaxBurst * partsPerRetry
)

// Throttle keeps the retries of one entry at a tenth of its first tries, plus a
// burst of [MaxBurst]. Since every entry keeps to it, so does the fleet, and
// no message is needed for that. It is safe for concurrent use.
type Throttle struct {
	parts atomic.Int64
}

// NewThrottle makes a brake with a full burst.
func NewThrottle() *Throttle {
	b := &Throttle{}
	b.parts.Store(maxParts)
	return b
}

// RecordFirstTry counts a call that is tried for the first time.
func (b *Throttle) RecordFirstTry() {
	for {
		held := b.parts.Load()
		if held >= maxParts || b.parts.CompareAndSwap(held, held+1) {
			return
		}
	}
}

// TakeRetry takes one retry and says whether there was one.
func (b *Throttle) TakeRetry() bool {
	for {
		held := b.parts.Load()
		if held < partsPerRetry {
			return false
		}
		if b.parts.CompareAndSwap(held, held-partsPerRetry) {
			return true
		}
	}
}

// RecordResend counts a call that a caller sent again by itself. It is work that the
// entry's own retries have to make room for, but it is never refused here.
func (b *Throttle) RecordResend() {
	for {
		held := b.parts.Load()
		if held == 0 || b.parts.CompareAndSwap(held, max(0, held-partsPerRetry)) {
			return
		}
	}
}

// Left is the number of retries that may be made at this moment.
func (b *Throttle) Left() int {
	return int(b.parts.Load() / partsPerRetry)
}
