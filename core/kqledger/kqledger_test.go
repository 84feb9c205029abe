package kqledger_test

import (
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqledger"
)

// reference is a reference implementation of a ledger that remembers every key
// forever.
type reference struct {
	fingerprint map[kqledger.Key]kqledger.Fingerprint
	state       map[kqledger.Key]kqledger.State
	answer      map[kqledger.Key]string
	first       map[kqledger.Key]time.Duration
	// inDoubt are keys that were never run here, but perhaps by a former home.
	inDoubt map[kqledger.Key]bool
}

func newReference() *reference {
	return &reference{
		fingerprint: map[kqledger.Key]kqledger.Fingerprint{}, state: map[kqledger.Key]kqledger.State{},
		answer: map[kqledger.Key]string{}, first: map[kqledger.Key]time.Duration{}, inDoubt: map[kqledger.Key]bool{},
	}
}

// check compares a verdict of the ledger with the reference. The ledger may know
// less, but must never run again what may have been run within the resend
// window.
func (r *reference) check(t *rapid.T, now time.Duration, key kqledger.Key, fingerprint kqledger.Fingerprint, v kqledger.Verdict, window time.Duration) {
	state, known := r.state[key]
	switch {
	case v.Action == kqledger.ActionRun:
		if known && !r.inDoubt[key] && now-r.first[key] <= window {
			t.Fatalf("key %d runs again %s after its first copy, reference state %d", key, now-r.first[key], state)
		}
		r.state[key], r.fingerprint[key], r.first[key] = kqledger.StateRunning, fingerprint, now
		delete(r.answer, key)
		delete(r.inDoubt, key)
	case v.Action == kqledger.ActionReplay:
		if got, want := string(v.Answer), r.answer[key]; !known || got != want {
			t.Fatalf("replayed answer of key %d: got %q, want %q", key, got, want)
		}
	case v.Action == kqledger.ActionWait:
		if state != kqledger.StateRunning {
			t.Fatalf("key %d waits: got reference state %d, want running", key, state)
		}
	case v.End.Cause == kqcall.CauseKeyMismatch:
		if !known || r.fingerprint[key] == fingerprint {
			t.Fatalf("key %d: got a mismatch, but the fingerprint is the same", key)
		}
	case v.End.Cause == kqcall.CauseKeyInDoubt:
		if !known {
			r.state[key], r.first[key], r.inDoubt[key] = kqledger.StateUnknown, now, true
		}
		r.fingerprint[key] = fingerprint
	case v.End.Outcome == kqcall.OutcomeNotRun:
		if known && !r.inDoubt[key] && now-r.first[key] <= window {
			t.Fatalf("key %d: got %v, but the reference has it in state %d", key, v.End, state)
		}
	}
}

func TestLedgerMatchesReference(t *testing.T) {
	forgotten, full, doubted, replays := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		limits := kqledger.Limits{
			ResendWindow: 10 * time.Second, AnswerTTL: 5 * time.Second, RecordTTL: 30 * time.Second,
			MaxRecords: 8, MaxAnswerBytes: 12, MaxBytesPerAnswer: 4,
		}
		ledger, ref, now := kqledger.New(limits), newReference(), time.Duration(0)
		running := map[kqledger.Key]bool{}
		finish := func(key kqledger.Key) {
			end := rapid.SampledFrom([]kqcall.End{kqcall.Ran(), kqcall.NotRun(kqcall.CauseShedGate), kqcall.Unknown(kqcall.CauseBackendLost)}).Draw(t, "end")
			answer := rapid.StringOfN(rapid.RuneFrom([]rune("ab")), 1, 6, -1).Draw(t, "answer")
			ledger.Finish(now, key, end, []byte(answer))
			delete(running, key)
			switch end.Outcome {
			case kqcall.OutcomeRan:
				ref.state[key], ref.answer[key] = kqledger.StateDone, answer
			case kqcall.OutcomeNotRun:
				delete(ref.state, key)
			default:
				ref.state[key] = kqledger.StateUnknown
			}
		}
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond
			key := kqledger.Key(rapid.IntRange(0, 20).Draw(t, "key"))
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				ledger = kqledger.Import(now, limits, ledger.Export(now))
			case 1:
				ledger.MarkInDoubt(now)
				doubted++
			case 2, 3, 4:
				if running[key] {
					finish(key)
				}
			default:
				fingerprint := kqledger.Fingerprint(rapid.IntRange(0, 1).Draw(t, "print"))
				v := ledger.Begin(now, key, fingerprint)
				ref.check(t, now, key, fingerprint, v, limits.ResendWindow)
				switch {
				case v.Action == kqledger.ActionRun:
					running[key] = true
				case v.Action == kqledger.ActionReplay:
					replays++
				case v.End.Cause == kqcall.CauseKeyForgotten:
					forgotten++
				case v.End.Cause == kqcall.CauseKeyLedgerFull:
					full++
				}
			}
			if got, want := ledger.Len(), limits.MaxRecords; got > want {
				t.Fatalf("records: got %d, want at most %d", got, want)
			}
		}
	})
	for name, got := range map[string]int{"forgotten": forgotten, "full": full, "doubted": doubted, "replayed": replays} {
		if got == 0 {
			t.Errorf("%s: got 0, want some, or the test does not cover it", name)
		}
	}
}

func BenchmarkBegin(b *testing.B) {
	ledger := kqledger.New(kqledger.DefaultLimits())
	for i := range b.N {
		key := kqledger.Key(i * 0x9E3779B9)
		if ledger.Begin(time.Duration(i)*time.Millisecond, key, 1).Action == kqledger.ActionRun {
			ledger.Finish(time.Duration(i)*time.Millisecond, key, kqcall.Ran(), []byte("answer"))
		}
	}
}

// BenchmarkMemory reports the bytes of a key that was run, without and with its
// answer.
func BenchmarkMemory(b *testing.B) {
	limits := kqledger.DefaultLimits()
	limits.MaxRecords, limits.MaxAnswerBytes = 1<<20, 1<<30
	for name, answer := range map[string][]byte{"record": nil, "answer-1000": make([]byte, 1000)} {
		b.Run(name, func(b *testing.B) {
			const keys = 1 << 16
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				ledger := kqledger.New(limits)
				for i := range keys {
					key := kqledger.HashKey(strconv.Itoa(i))
					ledger.Begin(time.Duration(i), key, 1)
					ledger.Finish(time.Duration(i), key, kqcall.Ran(), slices.Clone(answer))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "B/key")
				runtime.KeepAlive(ledger)
			}
		})
	}
}
