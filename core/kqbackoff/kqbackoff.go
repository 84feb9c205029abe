// Package kqbackoff decides when to try again something that failed: a capped
// exponential pause with full jitter, and a breaker that lets one try through
// after each pause.
//
// # Usage
//
//	breaker := kqbackoff.NewBreaker(kqbackoff.Pause{First: time.Second, Most: 10 * time.Second})
//	if wait := breaker.Wait(now); wait > 0 { ... }
//	breaker.Failed(now, random)
//	breaker.Succeeded()
//
// Time and randomness come in as values.
package kqbackoff

import "time"

// Pause bounds the pauses between tries.
type Pause struct {
	// First is the longest pause after one failure; it doubles with each.
	First time.Duration
	// Max is the longest pause at all.
	Max time.Duration
}

// After is the pause after a number of failures in a row. The random value in
// [0, 1) spreads it over the whole span, so that a fleet that failed together
// does not come back together.
func (p Pause) After(failures int, random float64) time.Duration {
	if failures <= 0 {
		return 0
	}
	longest := p.First
	for i := 1; i < failures && longest < p.Max; i++ {
		longest *= 2
	}
	return time.Duration(random * float64(min(longest, p.Max)))
}

// Breaker stands between a caller and something that may fail for long.
type Breaker struct {
	pause    Pause
	failures int
	until    time.Time
}

// NewBreaker makes a closed breaker.
func NewBreaker(p Pause) *Breaker {
	return &Breaker{pause: p}
}

// WaitTime is how long no try may be made; 0 means that one may.
func (b *Breaker) WaitTime(now time.Time) time.Duration {
	return max(0, b.until.Sub(now))
}

// Failures is the number of failures in a row.
func (b *Breaker) Failures() int {
	return b.failures
}

// RecordFailure takes note of a failure.
func (b *Breaker) RecordFailure(now time.Time, random float64) {
	b.failures++
	b.until = now.Add(b.pause.After(b.failures, random))
}

// RecordSuccess closes the breaker.
func (b *Breaker) RecordSuccess() {
	b.failures = 0
	b.until = time.Time{}
}
