// Package kqrate holds calls within a rate limit that a backend server names: so
// many requests a second from all nodes together.
//
// The node beside the server hands it every call, so a [Bucket] there holds the
// sum over all nodes without any message between them. A [Share] serves an entry
// whose calls go to a node that does not know such limits: each entry then sends
// a part of the limit that is independent of what the others send.
//
// # Usage
//
//	bucket := kqrate.NewBucket(now, 10.5)
//	if bucket.Take(now) { ... } // hand one call to the server
//	bucket.SetRate(now, 8)
//
//	share := kqrate.NewShare(phase)
//	if share.Take(now, 10.5, entries) { ... } // send one call
//
// Times are on the node's own monotonic clock. Neither type is safe for
// concurrent use.
package kqrate

import "time"

// Shape of a bucket. A window of any length gets at most the limit times the
// window plus the size of the bucket.
const (
	// burstTime is how long unused calls accumulate, so that calls that come in
	// bursts can use the limit.
	burstTime = time.Second
	// minSize is the size, in calls, of the bucket of a limit near 0.
	minSize = 2
	// minRate is the rate in calls a second that a server gets even if it names a
	// lower one, since only its answers tell when the limit ends.
	minRate = 0.25
)

// Bucket is a token bucket: it admits calls at a rate, and short bursts after
// times with fewer calls.
type Bucket struct {
	rate     float64
	tokens   float64
	filledAt time.Duration
}

// NewBucket returns an empty bucket: the calls before the limit was known may
// have used what it would hold.
func NewBucket(now time.Duration, rate float64) *Bucket {
	return &Bucket{rate: max(rate, minRate), filledAt: now}
}

// Rate returns the rate in calls a second.
func (b *Bucket) Rate() float64 {
	return b.rate
}

// SetRate changes the rate. What the bucket holds is kept, up to its new size.
func (b *Bucket) SetRate(now time.Duration, rate float64) {
	b.fill(now)
	b.rate = max(rate, minRate)
	b.tokens = min(b.tokens, b.size())
}

// Ready reports whether Take would admit a call.
func (b *Bucket) Ready(now time.Duration) bool {
	b.fill(now)
	return b.tokens >= 1
}

// Wait returns how long it takes until the bucket holds the given number of calls,
// if none is taken.
func (b *Bucket) Wait(now time.Duration, calls int) time.Duration {
	b.fill(now)
	return time.Duration(max(0, float64(calls)-b.tokens) / b.rate * float64(time.Second))
}

// Take admits a call if the bucket holds one, and removes it.
func (b *Bucket) Take(now time.Duration) bool {
	if !b.Ready(now) {
		return false
	}
	b.tokens--
	return true
}

func (b *Bucket) size() float64 {
	return max(b.rate*burstTime.Seconds(), minSize)
}

func (b *Bucket) fill(now time.Duration) {
	if now <= b.filledAt {
		return
	}
	b.tokens = min(b.tokens+b.rate*(now-b.filledAt).Seconds(), b.size())
	b.filledAt = now
}
