package kqadmit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquatlink/core/kqcall"
)

// maxRank bounds the ranks that are told apart.
const maxRank = 255

// Times that a refused caller is told to wait.
const (
	baseRetry = 500 * time.Millisecond
	maxRetry  = 10 * time.Second
)

// Layout of a level: the rank, one bit for a call that begins a request, and
// 32 bits that are drawn from the request ID.
const (
	freshBit  = 32
	rankShift = 33
	// bandSpan is the span of levels of the same rank and freshness.
	bandSpan = Level(1) << freshBit
)

// Level orders calls by importance; a lower level is more important. All
// calls of one request have the same tie-break, so that every service of a
// chain keeps the same requests.
type Level uint64

// AdmitAll is the cut that lets every call in.
const AdmitAll Level = math.MaxUint64

// LevelOf gives the level of a call. At the same rank, a call of a request on
// which work was already done goes first.
func LevelOf(h kqcall.Head) Level {
	level := OnwardLevel(h)
	if h.Depth == 0 {
		level |= 1 << freshBit
	}
	return level
}

// OnwardLevel gives the level that the request's onward calls have.
func OnwardLevel(h kqcall.Head) Level {
	rank := min(max(h.Rank, 0), maxRank)
	tie := xxhash.Sum64String(h.RequestID) >> 32
	return Level(uint64(rank)<<rankShift | tie)
}

// Rank is the rank that the level stands for.
func (l Level) Rank() int {
	return min(int(l>>rankShift), maxRank)
}

// Withheld gives a cut as its distance from an open one, so that the zero
// value of a message says that nothing is refused.
func (l Level) Withheld() uint64 {
	return uint64(AdmitAll - l)
}

// ThresholdOf gives the cut that Withheld was taken of.
func ThresholdOf(withheld uint64) Level {
	return AdmitAll - Level(withheld)
}

// RetryAfter tells the caller of a call that was refused at an entry when to
// come again, spread so that not all come at once.
func RetryAfter(l Level) time.Duration {
	return retryAfter(l, 1)
}

func retryAfter(l Level, excess float64) time.Duration {
	spread := 1 + float64(l&(1<<freshBit-1))/float64(uint64(1)<<freshBit)
	after := time.Duration(float64(baseRetry) * max(1, excess) * spread)
	return min(after, maxRetry)
}
