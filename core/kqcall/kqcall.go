// Package kqcall holds the words that every layer uses for a call: its
// identity, what travels with it from hop to hop, how it ended and why.
//
// # Usage
//
// A node that takes a call from a caller makes a [Head] for it. A node that
// takes an onward call makes one with [Head.Onward] from the head of the call
// that its backend server is running. Whatever happens to a call ends in one
// [Outcome] and one [Cause]:
//
//	head := kqcall.Head{RequestID: id, Service: "orders", Class: "purchase"}
//	end := kqcall.NotRun(kqcall.CauseNoUpstream)
//
// OutcomeNotRun is only ever set with proof that no backend server was handed
// the call. Whatever may have reached one is OutcomeUnknown.
package kqcall

import "time"

// MaxDepth is the longest chain of calls, in hops, that one request may make.
const MaxDepth = 7

// Outcome says whether a call was run by a backend server.
type Outcome string

// The outcomes of a call.
const (
	// OutcomeRan means that a backend server ran the call and its whole answer
	// is at hand.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun means that no backend server was handed the call.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that a backend server may have run the call.
	OutcomeUnknown Outcome = "unknown"
)

// Cause is the stable code of the reason for an outcome.
type Cause string

// The causes of an outcome.
const (
	CauseDone             Cause = "Done"
	CauseNoService        Cause = "NoService"
	CauseNoUpstream       Cause = "NoUpstream"
	CauseNoClass          Cause = "NoClass"
	CauseNoConfiguration  Cause = "NoConfiguration"
	CauseBadRequest       Cause = "BadRequest"
	CauseTooLarge         Cause = "TooLarge"
	CauseDeadline         Cause = "Deadline"
	CauseWouldMiss        Cause = "WouldMissDeadline"
	CauseShedEntry        Cause = "ShedAtEntry"
	CauseShedGate         Cause = "ShedAtGate"
	CauseDisplaced        Cause = "Displaced"
	CauseBackendShed      Cause = "BackendShed"
	CauseDraining         Cause = "Draining"
	CausePoolFull         Cause = "PoolFull"
	CauseDepth            Cause = "TooDeep"
	CauseParentOver       Cause = "ParentOver"
	CauseCallerGone       Cause = "CallerGone"
	CauseLinkLost         Cause = "LinkLost"
	CauseLinkSilent       Cause = "LinkSilent"
	CauseBackendLost      Cause = "BackendLost"
	CauseBackendSilent    Cause = "BackendSilent"
	CauseKeyMissing       Cause = "KeyMissing"
	CauseKeyRunning       Cause = "KeyRunning"
	CauseKeyReplayed      Cause = "KeyReplayed"
	CauseKeyInDoubt       Cause = "KeyInDoubt"
	CauseKeyForgotten     Cause = "KeyForgotten"
	CauseKeyMismatch      Cause = "KeyMismatch"
	CauseKeyHomeUnreached Cause = "KeyHomeUnreached"
	CauseKeyLedgerFull    Cause = "KeyLedgerFull"
	CauseMoved            Cause = "Moved"
)

// Head is what travels with a call from hop to hop.
type Head struct {
	// RequestID identifies the whole request; every onward call carries it.
	RequestID string
	// Service is the service that is called.
	Service string
	// Class is the class of work of the whole request.
	Class string
	// Rank is the importance that the entry derived from the class's target:
	// 0 is the most important.
	Rank int
	// Budget is the time that is left for this call, from when it was sent.
	Budget time.Duration
	// Depth is the number of hops above this call.
	Depth int
	// Retries is the allowance of retries that this call and all calls below
	// it share.
	Retries int
	// Key is the idempotency key, or empty.
	Key string
	// Repeatable is whether the call may run more than once.
	Repeatable bool
	// Generation is that of the home that lets a call with a key run, or 0.
	Generation uint64
}

// Onward gives the head of a call that a backend server makes while it runs
// the call h. The retry allowance is not copied: whoever sends the call draws
// it from the parent.
func (h Head) Onward(service string, left time.Duration) Head {
	o := h
	o.Service = service
	o.Budget = left
	o.Depth = h.Depth + 1
	o.Retries = 0
	o.Key = ""
	o.Generation = 0
	return o
}

// End is how a call ended, apart from the answer itself.
type End struct {
	Outcome Outcome
	Cause   Cause
	// RetryAfter tells the caller when to come back; 0 means not stated.
	RetryAfter time.Duration
}

// Ran gives the end of a call whose whole answer is at hand.
func Ran() End {
	return End{Outcome: OutcomeRan, Cause: CauseDone}
}

// NotRun gives the end of a call that no backend server was handed.
func NotRun(c Cause) End {
	return End{Outcome: OutcomeNotRun, Cause: c}
}

// Unknown gives the end of a call that a backend server may have run.
func Unknown(c Cause) End {
	return End{Outcome: OutcomeUnknown, Cause: c}
}
