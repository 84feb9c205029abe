package kqroute

import (
	"sync"
	"time"
)

// BandwidthLimiter bounds the bytes that an entry sends to and takes from each other
// region. A region's share may be overdrawn by the answers of calls that were
// let through; it then stays closed until the debt is paid. It is safe for
// concurrent use.
type BandwidthLimiter struct {
	rate    float64
	mutex   sync.Mutex
	regions map[string]*balance
}

// balance is what is left for one region at a time.
type balance struct {
	bytes float64
	at    time.Time
}

// burstTime is how many seconds' worth can be saved up.
const burstTime = 2

// NewBandwidthLimiter makes an allowance of bytes a second for each region.
func NewBandwidthLimiter(bytesPerSecond int) *BandwidthLimiter {
	return &BandwidthLimiter{rate: float64(bytesPerSecond), regions: map[string]*balance{}}
}

// Available is whether calls may go to the region. A nil allowance has no limit.
func (a *BandwidthLimiter) Available(region string, now time.Time) bool {
	if a == nil {
		return true
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.settle(region, now).bytes > 0
}

// Charge takes the bytes of a call and its answer.
func (a *BandwidthLimiter) Charge(region string, bytes int, now time.Time) {
	if a == nil {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.settle(region, now).bytes -= float64(bytes)
}

// settle brings the region's balance up to the moment.
func (a *BandwidthLimiter) settle(region string, now time.Time) *balance {
	b, found := a.regions[region]
	if !found {
		b = &balance{bytes: a.rate * burstTime, at: now}
		a.regions[region] = b
		return b
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.bytes = min(a.rate*burstTime, b.bytes+a.rate*elapsed.Seconds())
		b.at = now
	}
	return b
}
