package kqadmit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquatlink/core/kqcall"
)

// maxRank is the highest rank that a level distinguishes; higher ranks are
// treated as this one.
const maxRank = 255

// Bounds of the time after which a refused caller may try again.
const (
	baseRetry = 500 * time.Millisecond
	maxRetry  = 10 * time.Second
)

// Layout of a level: the rank in the highest bits, one bit that is set for a
// call that begins a request, and 32 bits of a hash of the request ID.
const (
	newRequestBit = 32
	rankShift     = 33
	// bandSize is the number of levels that share the rank and the bit for new
	// requests.
	bandSize = Level(1) << newRequestBit
)

// Level orders calls by importance; a lower level is more important. All
// calls of one request have the same hash bits, so that every service of a
// call chain admits the same requests.
type Level uint64

// AdmitAll is the threshold that admits every call.
const AdmitAll Level = math.MaxUint64

// LevelOf returns the level of a call. At the same rank, an onward call is more
// important than a call that begins a request, since work has already been done
// for its request.
func LevelOf(h kqcall.Head) Level {
	level := OnwardLevel(h)
	if h.Depth == 0 {
		level |= 1 << newRequestBit
	}
	return level
}

// OnwardLevel returns the level of the onward calls of the request that a call
// belongs to.
func OnwardLevel(h kqcall.Head) Level {
	rank := min(max(h.Rank, 0), maxRank)
	tie := xxhash.Sum64String(h.RequestID) >> 32
	return Level(uint64(rank)<<rankShift | tie)
}

// OrderedLevel returns the level of a call whose position among those of its rank is
// given, in place of one that follows from its request ID.
func OrderedLevel(rank int, order uint32) Level {
	return Level(uint64(min(max(rank, 0), maxRank))<<rankShift | uint64(order))
}

// Rank returns the rank part of the level, at most 255.
func (l Level) Rank() int {
	return min(int(l>>rankShift), maxRank)
}

// Withheld returns a threshold as its distance from AdmitAll. This is the form
// in messages, so that their zero value means that no call is refused.
func (l Level) Withheld() uint64 {
	return uint64(AdmitAll - l)
}

// ThresholdOf returns the threshold whose Withheld value is given.
func ThresholdOf(withheld uint64) Level {
	return AdmitAll - Level(withheld)
}

// RetryAfter returns how long the caller of a call that an entry refused should
// wait before its next attempt. The level spreads the times, so that refused
// callers do not all return at once.
func RetryAfter(l Level) time.Duration {
	return retryAfter(l, 1)
}

func retryAfter(l Level, overload float64) time.Duration {
	spread := 1 + float64(l&(1<<newRequestBit-1))/float64(uint64(1)<<newRequestBit)
	after := time.Duration(float64(baseRetry) * max(1, overload) * spread)
	return min(after, maxRetry)
}
