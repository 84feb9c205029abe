package kqretry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Settings of RecentFailures.
const (
	recentSlots = 4096
	// RecentWindow is how long the ID of a failed request is remembered.
	RecentWindow = 10 * time.Second
)

// RecentFailures holds the IDs of requests that failed within [RecentWindow], so
// that a request that its caller sends again is recognised. It holds at most
// 4,096 IDs, in 64 KB: a hash table in which a newer ID replaces an older one
// in the same slot. It is safe for concurrent use.
type RecentFailures struct {
	mutex sync.Mutex
	slots [recentSlots]recentSlot
}

// recentSlot holds the hash of a request ID and the time of the failure, in
// nanoseconds since 1970; 0 means that the slot is empty.
type recentSlot struct {
	hash     uint64
	failedAt int64
}

// Add records that the request failed at the time now.
func (r *RecentFailures) Add(requestID string, now time.Time) {
	hash := xxhash.Sum64String(requestID)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.slots[hash%recentSlots] = recentSlot{hash: hash, failedAt: now.UnixNano()}
}

// Has reports whether the request is recorded as failed within [RecentWindow]
// before now.
func (r *RecentFailures) Has(requestID string, now time.Time) bool {
	hash := xxhash.Sum64String(requestID)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.slots[hash%recentSlots]
	return s.hash == hash && s.failedAt != 0 && now.UnixNano()-s.failedAt < int64(RecentWindow)
}
