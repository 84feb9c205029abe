// Package kqbackoff decides when a failed operation may be tried again. [Pause]
// computes a capped exponential backoff with full jitter; [Breaker] is a circuit
// breaker that permits a trial after each such pause.
//
// # Usage
//
//	breaker := kqbackoff.NewBreaker(kqbackoff.Pause{First: time.Second, Max: 10 * time.Second})
//	if wait := breaker.WaitTime(now); wait > 0 { ... }
//	breaker.RecordFailure(now, random)
//	breaker.RecordSuccess()
//
// The package reads no clock and draws no random numbers; callers pass both in.
package kqbackoff

import "time"

// Pause bounds the pauses between attempts.
type Pause struct {
	// First bounds the pause after one failure. The bound doubles with each
	// further failure.
	First time.Duration
	// Max bounds the pause after any number of failures.
	Max time.Duration
}

// After returns the pause after a number of failures in a row. The random value
// in [0, 1) spreads it from zero to its bound (full jitter), so that nodes that
// failed at the same time do not all try again at the same time.
func (p Pause) After(failures int, random float64) time.Duration {
	if failures <= 0 {
		return 0
	}
	bound := p.First
	for i := 1; i < failures && bound < p.Max; i++ {
		bound *= 2
	}
	return time.Duration(random * float64(min(bound, p.Max)))
}

// Breaker is a circuit breaker: after a failure it permits no attempt until the
// pause is over.
type Breaker struct {
	pause    Pause
	failures int
	until    time.Time
}

// NewBreaker returns a closed breaker, which permits an attempt at once.
func NewBreaker(p Pause) *Breaker {
	return &Breaker{pause: p}
}

// WaitTime returns how long no attempt is permitted from now on; 0 means that one
// is permitted. It does not block.
func (b *Breaker) WaitTime(now time.Time) time.Duration {
	return max(0, b.until.Sub(now))
}

// Failures returns the number of failures since the last success.
func (b *Breaker) Failures() int {
	return b.failures
}

// RecordFailure records a failed attempt and opens the breaker for the next pause.
// The random value lies in [0, 1).
func (b *Breaker) RecordFailure(now time.Time, random float64) {
	b.failures++
	b.until = now.Add(b.pause.After(b.failures, random))
}

// RecordSuccess closes the breaker and resets the number of failures.
func (b *Breaker) RecordSuccess() {
	b.failures = 0
	b.until = time.Time{}
}
