// Package kqcall defines the types that every layer uses for a call: the [Head]
// that travels with it from hop to hop, its [Outcome], and the [Cause] of that.
//
// # Usage
//
// A node that takes a call from a caller makes a [Head] for it. A backend server
// may make onward calls while it runs a call; the node that takes an onward call
// makes its head with [Head.Onward] from the head of the running call. Every
// call ends with one [Outcome] and one [Cause]:
//
//	head := kqcall.Head{RequestID: id, Service: "orders", Class: "purchase"}
//	end := kqcall.NotRun(kqcall.CauseNoUpstream)
//
// OutcomeNotRun is set only when it is certain that no backend server was given
// the call. A call that may have reached one has OutcomeUnknown.
package kqcall

import "time"

// MaxDepth is the longest chain of calls, in hops, that one request may make.
const MaxDepth = 7

// Outcome states whether a backend server ran a call.
type Outcome string

// The outcomes of a call.
const (
	// OutcomeRan means that a backend server ran the call and that its whole
	// answer was received.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun means that no backend server was given the call.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that a backend server may have run the call.
	OutcomeUnknown Outcome = "unknown"
)

// Cause is a stable code for the reason of an outcome.
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

// Head holds the data that travels with a call from hop to hop.
type Head struct {
	// RequestID identifies the whole request; every onward call carries it.
	RequestID string
	// Service is the service that is called.
	Service string
	// Class is the name of the class of work that the whole request belongs to.
	Class string
	// Rank is the importance of the class, which the entry derives from the
	// class's target: 0 is the most important.
	Rank int
	// Budget is the time that the call may take, counted from when it was sent.
	Budget time.Duration
	// Depth is the number of hops above this call.
	Depth int
	// Retries is the number of retries that this call and all calls below it
	// may make together.
	Retries int
	// Key is the idempotency key; empty if there is none.
	Key string
	// Repeatable reports whether the call may run more than once.
	Repeatable bool
	// Generation is the generation of the home, the node that keeps the
	// idempotency key, that lets a call with a key run; 0 if there is no key.
	Generation uint64
}

// Onward returns the head of a call to the service that a backend server makes
// while it runs the call h, with the time left as its budget. Retries is 0: the
// sender of the onward call takes them from the allowance of h.
func (h Head) Onward(service string, left time.Duration) Head {
	onward := h
	onward.Service = service
	onward.Budget = left
	onward.Depth = h.Depth + 1
	onward.Retries = 0
	onward.Key = ""
	onward.Generation = 0
	return onward
}

// End describes how a call ended, apart from its answer.
type End struct {
	Outcome Outcome
	Cause   Cause
	// RetryAfter is the time that the caller should wait before it tries again;
	// 0 means not stated.
	RetryAfter time.Duration
}

// Ran returns the end of a call whose whole answer was received.
func Ran() End {
	return End{Outcome: OutcomeRan, Cause: CauseDone}
}

// NotRun returns the end of a call that no backend server was given.
func NotRun(c Cause) End {
	return End{Outcome: OutcomeNotRun, Cause: c}
}

// Unknown returns the end of a call that a backend server may have run.
func Unknown(c Cause) End {
	return End{Outcome: OutcomeUnknown, Cause: c}
}
