package kqretry

import "sync/atomic"

// Settings of a [Throttle]. One first try earns one token and one retry costs
// tokensPerRetry, so there is at most one retry per tokensPerRetry first tries.
const (
	tokensPerRetry = 10
	// MaxBurst is the number of retries that an entry can save up.
	MaxBurst  = 10
	maxTokens = MaxBurst * tokensPerRetry
)

// Throttle is a token bucket that limits the retries of one entry to a tenth of
// its first tries, plus a burst of [MaxBurst]. Since every entry has one, the
// limit holds for the fleet without messages between nodes. A Throttle is safe
// for concurrent use.
type Throttle struct {
	tokens atomic.Int64
}

// NewThrottle returns a throttle with a full burst.
func NewThrottle() *Throttle {
	t := &Throttle{}
	t.tokens.Store(maxTokens)
	return t
}

// RecordFirstTry earns a token for a call that is tried for the first time.
func (t *Throttle) RecordFirstTry() {
	for {
		held := t.tokens.Load()
		if held >= maxTokens || t.tokens.CompareAndSwap(held, held+1) {
			return
		}
	}
}

// TakeRetry reports whether a retry may be made now and, if so, takes its tokens.
func (t *Throttle) TakeRetry() bool {
	for {
		held := t.tokens.Load()
		if held < tokensPerRetry {
			return false
		}
		if t.tokens.CompareAndSwap(held, held-tokensPerRetry) {
			return true
		}
	}
}

// RecordResend takes the tokens of a retry, as far as there are any, for a call
// that a caller sent again by itself. It leaves less for the entry's own
// retries, but is never refused.
func (t *Throttle) RecordResend() {
	for {
		held := t.tokens.Load()
		if held == 0 || t.tokens.CompareAndSwap(held, max(0, held-tokensPerRetry)) {
			return
		}
	}
}

// Left returns the number of retries that may be made now.
func (t *Throttle) Left() int {
	return int(t.tokens.Load() / tokensPerRetry)
}
