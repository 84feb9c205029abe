package kqledger

import (
	"slices"
	"time"

	"kumquatlink/core/kqcall"
)

// Entry is what one owner tells the next of a key. Ages take the place of
// times, since the clocks of two hosts are never compared.
type Entry struct {
	Key    Key
	Print  Fingerprint
	State  State
	Age    time.Duration
	Answer []byte `cbor:",omitempty"`
}

// Export is everything that a ledger knows.
type Export struct {
	Entries []Entry
	// DoubtLeft is how long the ledger stays in doubt.
	DoubtLeft time.Duration
}

// Export lists what the ledger knows, oldest first.
func (l *Ledger) Export(now time.Duration) Export {
	l.expire(now)
	x := Export{Entries: make([]Entry, 0, len(l.records)), DoubtLeft: max(0, l.doubtUntil-now)}
	for k, r := range l.records {
		x.Entries = append(x.Entries, Entry{Key: k, Print: r.print, State: r.state, Age: now - r.at, Answer: l.answers[k]})
	}
	slices.SortFunc(x.Entries, compareAge)
	return x
}

// compareAge puts the oldest first, and equal ages in the order of their keys.
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

// Import makes a ledger from what the owner before it told. Runs that are on
// their way stay running until the former owner settles them.
func Import(now time.Duration, limits Limits, x Export) *Ledger {
	l := New(limits)
	if x.DoubtLeft > 0 {
		l.doubtUntil = now + x.DoubtLeft
	}
	for _, e := range x.Entries {
		l.put(now-e.Age, e.Key, record{print: e.Print, at: now - e.Age, state: e.State})
		if e.State == StateDone {
			l.keepAnswer(now-e.Age, e.Key, e.Answer)
		}
	}
	return l
}

// Abandon turns all runs that are on their way into unknown ones, for an owner
// that will not hear how they end.
func (l *Ledger) Abandon(now time.Duration, olderThan time.Duration) {
	for k, r := range l.records {
		if r.state == StateRunning && now-r.at >= olderThan {
			l.Finish(now, k, kqcall.Unknown(kqcall.CauseKeyInDoubt), nil)
		}
	}
}
