package kqretry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Settings of RecentFailures.
const (
	recentSlots = 4096
	// RecentWindow is how long a failed request ID is remembered.
	RecentWindow = 10 * time.Second
)

// RecentFailures remembers the IDs of requests that failed a short while ago, so that
// a caller that sends one again is recognised. It holds at most 4,096 IDs, in
// 64 KB; a collision of two IDs only forgets the older one. It is safe for
// concurrent use.
type RecentFailures struct {
	mutex sync.Mutex
	slots [recentSlots]recentSlot
}

type recentSlot struct {
	hash uint64
	at   int64
}

// Add remembers a request that failed at the time now.
func (r *RecentFailures) Add(requestID string, now time.Time) {
	hash := xxhash.Sum64String(requestID)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.slots[hash%recentSlots] = recentSlot{hash: hash, at: now.UnixNano()}
}

// Has is whether the request failed within the window before now.
func (r *RecentFailures) Has(requestID string, now time.Time) bool {
	hash := xxhash.Sum64String(requestID)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.slots[hash%recentSlots]
	return s.hash == hash && s.at != 0 && now.UnixNano()-s.at < int64(RecentWindow)
}
