package kqrate

import "time"

// Shape of a share.
const (
	// shareOfLimit is the part of the limit that all entries use together. The
	// rest absorbs that their turns coincide by chance.
	shareOfLimit = 0.8
	// maxTurn bounds how long a turn lasts. A turn that is not used is lost, so
	// that entries can't save up their turns and use them at the same time.
	maxTurn = 250 * time.Millisecond
)

// Share is the part of a server's limit that one entry may use when nothing else
// holds the sum: one call in each turn of its own. The turns of all entries
// follow at the rate of the limit, at a phase of each entry's own.
type Share struct {
	phase float64
	// used is when the turn began that was last used, if hasUsed is set.
	used    time.Duration
	hasUsed bool
}

// NewShare returns a share whose turns begin at a phase, which is random and in
// [0, 1).
func NewShare(phase float64) *Share {
	return &Share{phase: phase}
}

// Take reports whether the entry may send a call now, and uses up its turn. The
// rate is the server's limit in calls a second, and entries is the number of
// entries among which it is divided.
func (s *Share) Take(now time.Duration, rate float64, entries int) bool {
	begun, ready := s.turn(now, rate, entries)
	if !ready {
		return false
	}
	s.used, s.hasUsed = begun, true
	return true
}

// Ready reports whether Take would return true.
func (s *Share) Ready(now time.Duration, rate float64, entries int) bool {
	_, ready := s.turn(now, rate, entries)
	return ready
}

// turn returns when the present turn has begun, and whether it may be used. Two
// used turns are at least a period apart, also if the rate or the number of
// entries has changed between them.
func (s *Share) turn(now time.Duration, rate float64, entries int) (time.Duration, bool) {
	period := time.Duration(float64(max(entries, 1)) / (max(rate, minRate) * shareOfLimit) * float64(time.Second))
	offset := time.Duration(s.phase * float64(period))
	since := (now - offset) % period
	if since < 0 {
		since += period
	}
	begun := now - since
	return begun, since < maxTurn && (!s.hasUsed || begun-s.used >= period)
}
