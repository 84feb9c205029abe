package kqroute

import (
	"sync"
	"time"
)

// BandwidthLimiter bounds the bytes that an entry exchanges with each other
// region, by a token bucket for each region. The size of an answer is known
// only afterwards, so a bucket may be overdrawn by calls in progress; the
// region then stays unavailable until the debt is refilled. A BandwidthLimiter
// is safe for concurrent use.
type BandwidthLimiter struct {
	rate    float64
	mutex   sync.Mutex
	regions map[string]*balance
}

// balance is the token bucket of one region. Its bytes may be negative.
type balance struct {
	bytes     float64
	updatedAt time.Time
}

// burstSeconds is the capacity of a bucket, in seconds of refill at the
// bucket's rate.
const burstSeconds = 2

// NewBandwidthLimiter returns a limiter that allows bytesPerSecond for each
// region.
func NewBandwidthLimiter(bytesPerSecond int) *BandwidthLimiter {
	return &BandwidthLimiter{rate: float64(bytesPerSecond), regions: map[string]*balance{}}
}

// Available reports whether calls may be sent to the region now. A nil limiter
// has no limit.
func (l *BandwidthLimiter) Available(region string, now time.Time) bool {
	if l == nil {
		return true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.refill(region, now).bytes > 0
}

// Charge subtracts the bytes of a call and its answer from the region's bucket.
func (l *BandwidthLimiter) Charge(region string, bytes int, now time.Time) {
	if l == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refill(region, now).bytes -= float64(bytes)
}

// refill brings the region's bucket up to date and returns it.
func (l *BandwidthLimiter) refill(region string, now time.Time) *balance {
	b, found := l.regions[region]
	if !found {
		b = &balance{bytes: l.rate * burstSeconds, updatedAt: now}
		l.regions[region] = b
		return b
	}
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.bytes = min(l.rate*burstSeconds, b.bytes+l.rate*elapsed.Seconds())
		b.updatedAt = now
	}
	return b
}
