// Package kqledger remembers which idempotency keys of one bucket were run, and
// decides what becomes of a call with a key: run it, wait for the run that is
// on its way, replay the answer, or refuse it with the truth.
//
// # Usage
//
//	ledger := kqledger.New(kqledger.DefaultLimits())
//	switch v := ledger.Begin(now, key, print); v.Action {
//	case kqledger.ActionRun:
//		... // run the call
//		ledger.Finish(now, key, end, answer)
//	}
//
// Times are durations on the owner's own clock since any fixed moment; they
// are never compared with those of another host. A key that may have been run
// is never given ActionRun within [Limits.ResendWindow] of its first copy, whatever
// is forgotten. A ledger is not safe for concurrent use.
package kqledger

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquatlink/core/kqcall"
)

// Limits bound what a ledger remembers.
type Limits struct {
	// ResendWindow is how long after its first copy a caller may send a key again.
	ResendWindow time.Duration
	// AnswerTTL is how long a whole answer is kept.
	AnswerTTL time.Duration
	// RecordTTL is how long it is remembered that a key was run, while there is
	// room.
	RecordTTL time.Duration
	// MaxRecords bounds the keys that are remembered.
	MaxRecords int
	// MaxAnswerBytes bounds all answers together, and MaxBytesPerAnswer each one.
	MaxAnswerBytes    int
	MaxBytesPerAnswer int
}

// DefaultLimits are the limits of one bucket.
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

// Action is what becomes of a call.
type Action int

// The actions.
const (
	// ActionRefuse answers with the verdict's end.
	ActionRefuse Action = iota
	// ActionRun runs the call; the ledger waits for its Finish.
	ActionRun
	// ActionWait waits for the run that is on its way.
	ActionWait
	// ActionReplay answers with the verdict's answer.
	ActionReplay
)

// Verdict is what a ledger decided about a call.
type Verdict struct {
	Action Action
	End    kqcall.End
	Answer []byte
}

func refuse(e kqcall.End) Verdict {
	return Verdict{Action: ActionRefuse, End: e}
}

// State is what is remembered of a key.
type State uint8

// The states of a key.
const (
	// StateRunning is a key whose call is on its way.
	StateRunning State = iota + 1
	// StateDone is a key whose call ran.
	StateDone
	// StateUnknown is a key whose call may have run.
	StateUnknown
)

// Key is the hash of an idempotency key.
type Key uint64

// HashKey hashes an idempotency key.
func HashKey(key string) Key {
	return Key(xxhash.Sum64String(key))
}

// Fingerprint tells one request from another.
type Fingerprint uint64

// printSeed separates the hash of requests from that of keys.
const printSeed = 0x6b756d71

// HashRequest hashes what must be the same in every copy of a request.
func HashRequest(method, path string, body []byte) Fingerprint {
	d := xxhash.NewWithSeed(printSeed)
	_, _ = d.WriteString(method)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(path)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// record is what stays of a key.
type record struct {
	print Fingerprint
	at    time.Duration
	state State
}

// mark is a place in a queue that is ordered by time.
type mark struct {
	key Key
	at  time.Duration
}

// Ledger is the memory of one bucket.
type Ledger struct {
	limits      Limits
	records     map[Key]record
	answers     map[Key][]byte
	answerBytes int
	// begun and ended order records and answers by age, oldest first.
	begun      queue
	ended      queue
	doubtUntil time.Duration
}

// New makes an empty ledger that knows that nothing was run.
func New(limits Limits) *Ledger {
	return &Ledger{limits: limits, records: map[Key]record{}, answers: map[Key][]byte{}}
}

// MarkInDoubt makes the ledger answer unknown to every key that it does not know for
// a window, since an owner before it may have run it.
func (l *Ledger) MarkInDoubt(now time.Duration) {
	l.doubtUntil = max(l.doubtUntil, now+l.limits.ResendWindow)
}

// InDoubt is whether keys that the ledger does not know may have been run.
func (l *Ledger) InDoubt(now time.Duration) bool {
	return l.doubtUntil > 0 && now <= l.doubtUntil
}

// Len is the number of keys that are remembered.
func (l *Ledger) Len() int {
	return len(l.records)
}

// Begin decides about a copy of a call.
func (l *Ledger) Begin(now time.Duration, key Key, print Fingerprint) Verdict {
	l.expire(now)
	if r, found := l.records[key]; found {
		return l.again(r, key, print)
	}
	if len(l.records) >= l.limits.MaxRecords && !l.evict(now) {
		if l.InDoubt(now) {
			return refuse(kqcall.Unknown(kqcall.CauseKeyInDoubt))
		}
		return refuse(kqcall.NotRun(kqcall.CauseKeyLedgerFull))
	}
	if l.InDoubt(now) {
		l.put(now, key, record{print: print, at: now, state: StateUnknown})
		return refuse(kqcall.Unknown(kqcall.CauseKeyInDoubt))
	}
	l.put(now, key, record{print: print, at: now, state: StateRunning})
	return Verdict{Action: ActionRun}
}

// again decides about a key that is remembered.
func (l *Ledger) again(r record, key Key, print Fingerprint) Verdict {
	if r.print != print {
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

// Finish takes in how the run of a key ended. A call that was not run leaves
// nothing behind, so that its key may be tried again.
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

func (l *Ledger) keepAnswer(now time.Duration, key Key, answer []byte) {
	if len(answer) > l.limits.MaxBytesPerAnswer || answer == nil {
		return
	}
	l.answers[key] = answer
	l.answerBytes += len(answer)
	l.ended.push(mark{key: key, at: now})
	for l.answerBytes > l.limits.MaxAnswerBytes {
		m, some := l.ended.pop()
		if !some {
			return
		}
		l.dropAnswer(m.key)
	}
}

func (l *Ledger) put(now time.Duration, key Key, r record) {
	l.records[key] = r
	l.begun.push(mark{key: key, at: now})
}

// dropAnswer forgets an answer; that the key was run is still remembered.
func (l *Ledger) dropAnswer(key Key) {
	l.answerBytes -= len(l.answers[key])
	delete(l.answers, key)
}

// expire forgets answers and records whose time has passed.
func (l *Ledger) expire(now time.Duration) {
	for m, some := l.ended.first(); some && now-m.at > l.limits.AnswerTTL; m, some = l.ended.first() {
		l.ended.pop()
		l.dropAnswer(m.key)
	}
	for m, some := l.begun.first(); some && now-m.at > l.limits.RecordTTL; m, some = l.begun.first() {
		if !l.forget(m) {
			return
		}
	}
}

// evict makes room for a new key from records that no caller may resend, or
// says that there are none.
func (l *Ledger) evict(now time.Duration) bool {
	for len(l.records) >= l.limits.MaxRecords {
		m, some := l.begun.first()
		if !some || now-m.at <= l.limits.ResendWindow || !l.forget(m) {
			return false
		}
	}
	return true
}

// forget drops the oldest record, unless its call is still on its way.
func (l *Ledger) forget(m mark) bool {
	r, found := l.records[m.key]
	if found && r.at == m.at {
		if r.state == StateRunning {
			return false
		}
		delete(l.records, m.key)
		l.dropAnswer(m.key)
	}
	l.begun.pop()
	return true
}
