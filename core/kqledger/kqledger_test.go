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

// naive remembers every key for ever.
type naive struct {
	print  map[kqledger.Key]kqledger.Fingerprint
	state  map[kqledger.Key]kqledger.State
	answer map[kqledger.Key]string
	first  map[kqledger.Key]time.Duration
	// doubted are keys that were never run here, but perhaps by an owner before.
	doubted map[kqledger.Key]bool
}

func newNaive() *naive {
	return &naive{
		print: map[kqledger.Key]kqledger.Fingerprint{}, state: map[kqledger.Key]kqledger.State{},
		answer: map[kqledger.Key]string{}, first: map[kqledger.Key]time.Duration{}, doubted: map[kqledger.Key]bool{},
	}
}

// check compares a verdict with what the ledger that forgets nothing says. The
// real one may know less, but may never run what may have been run.
func (n *naive) check(t *rapid.T, now time.Duration, key kqledger.Key, print kqledger.Fingerprint, v kqledger.Verdict, window time.Duration) {
	state, known := n.state[key]
	switch {
	case v.Action == kqledger.ActionRun:
		if known && !n.doubted[key] && now-n.first[key] <= window {
			t.Fatalf("key %d runs again %s after its first copy, in state %d", key, now-n.first[key], state)
		}
		n.state[key], n.print[key], n.first[key] = kqledger.StateRunning, print, now
		delete(n.answer, key)
		delete(n.doubted, key)
	case v.Action == kqledger.ActionReplay:
		if got, want := string(v.Answer), n.answer[key]; !known || got != want {
			t.Fatalf("replay of key %d: got %q, want %q", key, got, want)
		}
	case v.Action == kqledger.ActionWait:
		if state != kqledger.StateRunning {
			t.Fatalf("key %d waits: got state %d, want running", key, state)
		}
	case v.End.Cause == kqcall.CauseKeyMismatch:
		if !known || n.print[key] == print {
			t.Fatalf("key %d: mismatch with a print that is the same", key)
		}
	case v.End.Cause == kqcall.CauseKeyInDoubt:
		if !known {
			n.state[key], n.first[key], n.doubted[key] = kqledger.StateUnknown, now, true
		}
		n.print[key] = print
	case v.End.Outcome == kqcall.OutcomeNotRun:
		if known && !n.doubted[key] && now-n.first[key] <= window {
			t.Fatalf("key %d: got %v, but it is known in state %d", key, v.End, state)
		}
	}
}

func TestLedgerAgainstOneThatForgetsNothing(t *testing.T) {
	forgotten, full, doubted, replays := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		limits := kqledger.Limits{
			ResendWindow: 10 * time.Second, AnswerTTL: 5 * time.Second, RecordTTL: 30 * time.Second,
			MaxRecords: 8, MaxAnswerBytes: 12, MaxBytesPerAnswer: 4,
		}
		ledger, twin, now := kqledger.New(limits), newNaive(), time.Duration(0)
		running := map[kqledger.Key]bool{}
		finish := func(key kqledger.Key) {
			end := rapid.SampledFrom([]kqcall.End{kqcall.Ran(), kqcall.NotRun(kqcall.CauseShedGate), kqcall.Unknown(kqcall.CauseBackendLost)}).Draw(t, "end")
			answer := rapid.StringOfN(rapid.RuneFrom([]rune("ab")), 1, 6, -1).Draw(t, "answer")
			ledger.Finish(now, key, end, []byte(answer))
			delete(running, key)
			switch end.Outcome {
			case kqcall.OutcomeRan:
				twin.state[key], twin.answer[key] = kqledger.StateDone, answer
			case kqcall.OutcomeNotRun:
				delete(twin.state, key)
			default:
				twin.state[key] = kqledger.StateUnknown
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
				print := kqledger.Fingerprint(rapid.IntRange(0, 1).Draw(t, "print"))
				v := ledger.Begin(now, key, print)
				twin.check(t, now, key, print, v, limits.ResendWindow)
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
			t.Errorf("%s: got 0, want some, else the test proves nothing", name)
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

// BenchmarkMemory gives the bytes of a key that was run, without and with its
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
