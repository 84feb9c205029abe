package kqledger

import (
	"slices"
	"time"

	"kumquatlink/core/kqcall"
)

// Entry is what one home of a bucket hands over to the next about a key. It
// carries the age of the key instead of a time, since clocks of two hosts are
// never compared.
type Entry struct {
	Key    Key
	Print  Fingerprint
	State  State
	Age    time.Duration
	Answer []byte `cbor:",omitempty"`
}

// Export is the whole content of a ledger.
type Export struct {
	Entries []Entry
	// DoubtLeft is the time for which the ledger remains in doubt, or 0.
	DoubtLeft time.Duration
}

// Export returns the content of the ledger, oldest keys first.
func (l *Ledger) Export(now time.Duration) Export {
	l.expire(now)
	x := Export{Entries: make([]Entry, 0, len(l.records)), DoubtLeft: max(0, l.doubtUntil-now)}
	for k, r := range l.records {
		x.Entries = append(x.Entries, Entry{Key: k, Print: r.fingerprint, State: r.state, Age: now - r.begunAt, Answer: l.answers[k]})
	}
	slices.SortFunc(x.Entries, compareAge)
	return x
}

// compareAge orders entries by age, oldest first, and those of equal age by key.
func compareAge(a, b Entry) int {
	switch {
	case a.Age > b.Age:
		return -1
	case a.Age < b.Age:
		return 1
	case a.Key < b.Key:
		return -1
	default:
		return 1
	}
}

// Import makes a ledger from the one that the former home of the bucket has
// exported. Its unfinished runs stay in the running state until their results
// arrive.
func Import(now time.Duration, limits Limits, x Export) *Ledger {
	l := New(limits)
	if x.DoubtLeft > 0 {
		l.doubtUntil = now + x.DoubtLeft
	}
	for _, e := range x.Entries {
		l.addRecord(now-e.Age, e.Key, record{fingerprint: e.Print, begunAt: now - e.Age, state: e.State})
		if e.State == StateDone {
			l.keepAnswer(now-e.Age, e.Key, e.Answer)
		}
	}
	return l
}

// Absorb adds the ledger of the former home to one that was in doubt without it.
// What the former home knows of a key goes before a mere doubt, and the doubt ends
// unless the former home has one of its own.
func (l *Ledger) Absorb(now time.Duration, x Export) {
	for _, e := range x.Entries {
		if known, found := l.records[e.Key]; found && known.state != StateUnknown {
			continue
		}
		l.addRecord(now-e.Age, e.Key, record{fingerprint: e.Print, begunAt: now - e.Age, state: e.State})
		if e.State == StateDone {
			l.keepAnswer(now-e.Age, e.Key, e.Answer)
		}
	}
	l.doubtUntil = 0
	if x.DoubtLeft > 0 {
		l.doubtUntil = now + x.DoubtLeft
	}
}

// Abandon moves keys whose run began at least olderThan ago from running to
// unknown. It is for a home that will not learn how these runs ended.
func (l *Ledger) Abandon(now time.Duration, olderThan time.Duration) {
	for k, r := range l.records {
		if r.state == StateRunning && now-r.begunAt >= olderThan {
			l.Finish(now, k, kqcall.Unknown(kqcall.CauseKeyInDoubt), nil)
		}
	}
}
