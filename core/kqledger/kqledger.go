// Package kqledger remembers which idempotency keys of one bucket were run, and
// decides what becomes of a call with a key: run it, wait for the run that is
// under way, replay the recorded answer, or refuse it with its true outcome.
//
// A key that may have been run gets no second [ActionRun] within
// [Limits.ResendWindow] of its first copy: the record of a younger key is only
// dropped if its call was not run, whatever else is dropped for lack of room.
// A ledger that replaces a lost one is in doubt for that window: it answers
// unknown for keys that it does not know.
//
// # Usage
//
//	ledger := kqledger.New(kqledger.DefaultLimits())
//	switch v := ledger.Begin(now, key, fingerprint); v.Action {
//	case kqledger.ActionRun:
//		... // run the call
//		ledger.Finish(now, key, end, answer)
//	}
//
// Times are durations on the clock of the node that keeps the ledger, since any
// fixed moment. They are never compared with those of another host. A Ledger is
// not safe for concurrent use.
package kqledger

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquatlink/core/kqcall"
)

// Limits bound what a ledger remembers, and for how long.
type Limits struct {
	// ResendWindow is how long after the first copy of a call a caller may send
	// it again.
	ResendWindow time.Duration
	// AnswerTTL is how long a complete answer is kept for replay.
	AnswerTTL time.Duration
	// RecordTTL is how long the state of a key is kept. Records that are older
	// than ResendWindow go earlier if there is no room for a new key.
	RecordTTL time.Duration
	// MaxRecords bounds the number of keys that are remembered.
	MaxRecords int
	// MaxAnswerBytes bounds the size of all answers together, and
	// MaxBytesPerAnswer that of each one; a larger answer is not kept.
	MaxAnswerBytes    int
	MaxBytesPerAnswer int
}

// DefaultLimits returns the limits of one bucket.
func DefaultLimits() Limits {
	return Limits{
		ResendWindow:      15 * time.Minute,
		AnswerTTL:         10 * time.Minute,
		RecordTTL:         24 * time.Hour,
		MaxRecords:        1 << 16,
		MaxAnswerBytes:    4 << 20,
		MaxBytesPerAnswer: 64 << 10,
	}
}

// Action is what the home does with a call.
type Action int

// The actions.
const (
	// ActionRefuse answers with the end in the verdict.
	ActionRefuse Action = iota
	// ActionRun runs the call; its end must be passed to [Ledger.Finish].
	ActionRun
	// ActionWait waits for the run that is under way.
	ActionWait
	// ActionReplay answers with the recorded answer in the verdict.
	ActionReplay
)

// Verdict is the decision of a ledger on a call. End is set for ActionRefuse and
// ActionReplay, Answer for ActionReplay.
type Verdict struct {
	Action Action
	End    kqcall.End
	Answer []byte
}

func refuse(e kqcall.End) Verdict {
	return Verdict{Action: ActionRefuse, End: e}
}

// State is how far the call with a key has come.
type State uint8

// The states of a key.
const (
	// StateRunning is the state of a key whose call is under way.
	StateRunning State = iota + 1
	// StateDone is the state of a key whose call ran.
	StateDone
	// StateUnknown is the state of a key whose call may have run.
	StateUnknown
)

// Key is the hash of an idempotency key.
type Key uint64

// HashKey returns the hash of an idempotency key.
func HashKey(key string) Key {
	return Key(xxhash.Sum64String(key))
}

// Fingerprint is the hash of a request, to detect that a key is used again with
// a different request.
type Fingerprint uint64

// fingerprintSeed makes the hashes of requests independent of those of keys.
const fingerprintSeed = 0x6b756d71

// HashRequest returns the hash of what must be the same in every copy of a
// request.
func HashRequest(method, path string, body []byte) Fingerprint {
	d := xxhash.NewWithSeed(fingerprintSeed)
	_, _ = d.WriteString(method)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(path)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// record holds the state of a key; begunAt is when its first copy arrived.
type record struct {
	fingerprint Fingerprint
	begunAt     time.Duration
	state       State
}

// queueEntry is the key of a record or an answer, with the time by which it is
// ordered in its queue.
type queueEntry struct {
	key Key
	at  time.Duration
}

// Ledger holds the records and answers of one bucket.
type Ledger struct {
	limits      Limits
	records     map[Key]record
	answers     map[Key][]byte
	answerBytes int
	// recordQueue and answerQueue order the keys of records and answers by age,
	// oldest first. They may hold entries whose record or answer is gone.
	recordQueue queue
	answerQueue queue
	doubtUntil  time.Duration
}

// New returns an empty ledger that is not in doubt: no key was run.
func New(limits Limits) *Ledger {
	return &Ledger{limits: limits, records: map[Key]record{}, answers: map[Key][]byte{}}
}

// MarkInDoubt puts the ledger in doubt for the length of the resend window: it
// answers unknown for keys that it does not know, since a former home of the
// bucket may have run them.
func (l *Ledger) MarkInDoubt(now time.Duration) {
	l.doubtUntil = max(l.doubtUntil, now+l.limits.ResendWindow)
}

// InDoubt reports whether keys that the ledger does not know may have been run.
func (l *Ledger) InDoubt(now time.Duration) bool {
	return l.doubtUntil > 0 && now <= l.doubtUntil
}

// Len returns the number of keys that are remembered.
func (l *Ledger) Len() int {
	return len(l.records)
}

// Begin decides what becomes of a copy of a call. The first copy of a key gets
// ActionRun, unless the ledger is in doubt or full.
func (l *Ledger) Begin(now time.Duration, key Key, fingerprint Fingerprint) Verdict {
	l.expire(now)
	if r, found := l.records[key]; found {
		return l.beginKnown(r, key, fingerprint)
	}
	if len(l.records) >= l.limits.MaxRecords && !l.evict(now) {
		if l.InDoubt(now) {
			return refuse(kqcall.Unknown(kqcall.CauseKeyInDoubt))
		}
		return refuse(kqcall.NotRun(kqcall.CauseKeyLedgerFull))
	}
	if l.InDoubt(now) {
		l.addRecord(now, key, record{fingerprint: fingerprint, begunAt: now, state: StateUnknown})
		return refuse(kqcall.Unknown(kqcall.CauseKeyInDoubt))
	}
	l.addRecord(now, key, record{fingerprint: fingerprint, begunAt: now, state: StateRunning})
	return Verdict{Action: ActionRun}
}

// beginKnown decides on a copy of a call whose key is remembered.
func (l *Ledger) beginKnown(r record, key Key, fingerprint Fingerprint) Verdict {
	if r.fingerprint != fingerprint {
		return refuse(kqcall.NotRun(kqcall.CauseKeyMismatch))
	}
	switch r.state {
	case StateRunning:
		return Verdict{Action: ActionWait}
	case StateDone:
		if answer, found := l.answers[key]; found {
			return Verdict{Action: ActionReplay, End: kqcall.End{Outcome: kqcall.OutcomeRan, Cause: kqcall.CauseKeyReplayed}, Answer: answer}
		}
		return refuse(kqcall.Unknown(kqcall.CauseKeyForgotten))
	default:
		return refuse(kqcall.Unknown(kqcall.CauseKeyInDoubt))
	}
}

// Finish records how the run of a key ended. The record of a call that was not
// run is dropped, so that the key may be tried again.
func (l *Ledger) Finish(now time.Duration, key Key, end kqcall.End, answer []byte) {
	r, found := l.records[key]
	if !found || r.state != StateRunning {
		return
	}
	switch end.Outcome {
	case kqcall.OutcomeNotRun:
		delete(l.records, key)
	case kqcall.OutcomeRan:
		r.state = StateDone
		l.records[key] = r
		l.keepAnswer(now, key, answer)
	default:
		r.state = StateUnknown
		l.records[key] = r
	}
}

// keepAnswer records an answer that is not too large, and drops the oldest
// answers until all of them fit.
func (l *Ledger) keepAnswer(now time.Duration, key Key, answer []byte) {
	if len(answer) > l.limits.MaxBytesPerAnswer || answer == nil {
		return
	}
	l.answers[key] = answer
	l.answerBytes += len(answer)
	l.answerQueue.push(queueEntry{key: key, at: now})
	for l.answerBytes > l.limits.MaxAnswerBytes {
		e, ok := l.answerQueue.pop()
		if !ok {
			return
		}
		l.dropAnswer(e.key)
	}
}

func (l *Ledger) addRecord(now time.Duration, key Key, r record) {
	l.records[key] = r
	l.recordQueue.push(queueEntry{key: key, at: now})
}

// dropAnswer drops an answer; the record that the key was run stays.
func (l *Ledger) dropAnswer(key Key) {
	l.answerBytes -= len(l.answers[key])
	delete(l.answers, key)
}

// expire drops the answers and records that are older than their TTL.
func (l *Ledger) expire(now time.Duration) {
	for e, ok := l.answerQueue.first(); ok && now-e.at > l.limits.AnswerTTL; e, ok = l.answerQueue.first() {
		l.answerQueue.pop()
		l.dropAnswer(e.key)
	}
	for e, ok := l.recordQueue.first(); ok && now-e.at > l.limits.RecordTTL; e, ok = l.recordQueue.first() {
		if !l.dropRecord(e) {
			return
		}
	}
}

// evict makes room for a new key by dropping records that are older than the
// resend window, and reports whether there is room now.
func (l *Ledger) evict(now time.Duration) bool {
	for len(l.records) >= l.limits.MaxRecords {
		e, ok := l.recordQueue.first()
		if !ok || now-e.at <= l.limits.ResendWindow || !l.dropRecord(e) {
			return false
		}
	}
	return true
}

// dropRecord drops the record of the oldest queue entry, if it still has one,
// and the entry itself. It returns false if the record's call is still under
// way.
func (l *Ledger) dropRecord(e queueEntry) bool {
	r, found := l.records[e.key]
	if found && r.begunAt == e.at {
		if r.state == StateRunning {
			return false
		}
		delete(l.records, e.key)
		l.dropAnswer(e.key)
	}
	l.recordQueue.pop()
	return true
}
