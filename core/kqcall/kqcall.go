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

// The causes of an outcome. Those that start with CauseKey concern calls with an
// idempotency key.
const (
	// CauseDone means that the call completed.
	CauseDone Cause = "Done"
	// CauseNoService means that no member of the fleet serves the service.
	CauseNoService Cause = "NoService"
	// CauseNoUpstream means that no ready node with a backend server of the
	// service could take the call.
	CauseNoUpstream Cause = "NoUpstream"
	// CauseNoClass means that the caller named an unknown class, or none
	// applies.
	CauseNoClass Cause = "NoClass"
	// CauseNoConfiguration means that the node has no configuration yet.
	CauseNoConfiguration Cause = "NoConfiguration"
	CauseBadRequest      Cause = "BadRequest"
	CauseTooLarge        Cause = "TooLarge"
	CauseDeadline        Cause = "Deadline"
	// CauseWouldMiss means that the call would have missed its deadline in the
	// queue.
	CauseWouldMiss Cause = "WouldMissDeadline"
	// CauseShedEntry means that the entry, the part of a node that routes
	// calls, refused the call.
	CauseShedEntry Cause = "ShedAtEntry"
	// CauseShedGate means that the gate, the part that admits calls to a
	// backend server, refused it.
	CauseShedGate Cause = "ShedAtGate"
	// CauseHandedBack means that the gate had no free slot and handed the call back,
	// as its entry had asked for. The entry tries another gate.
	CauseHandedBack Cause = "HandedBack"
	// CauseDisplaced means that the call was removed from a full queue for a
	// more important one.
	CauseDisplaced Cause = "Displaced"
	// CauseBackendShed means that the backend server itself refused the call.
	CauseBackendShed Cause = "BackendShed"
	// CauseDraining means that the node is draining.
	CauseDraining Cause = "Draining"
	// CausePanic means that a fault of the node ended the call.
	CausePanic Cause = "Panic"
	// CausePoolFull means that the worker pool of the node is full.
	CausePoolFull Cause = "PoolFull"
	// CauseDepth means that the chain of calls is as long as MaxDepth.
	CauseDepth Cause = "TooDeep"
	// CauseParentOver means that the call for which an onward call is made has
	// already ended.
	CauseParentOver Cause = "ParentOver"
	// CauseCallerGone means that the caller closed its connection or canceled
	// the call.
	CauseCallerGone Cause = "CallerGone"
	// CauseLinkLost means that the connection to another node was lost.
	CauseLinkLost Cause = "LinkLost"
	// CauseLinkSilent means that another node stopped answering on its
	// connection.
	CauseLinkSilent Cause = "LinkSilent"
	// CauseBackendLost means that the connection to the backend server was
	// lost.
	CauseBackendLost Cause = "BackendLost"
	// CauseCrashesServers means that several backend servers have crashed while they
	// ran the same request.
	CauseCrashesServers Cause = "CrashesServers"
	// CauseBackendSilent means that the backend server stopped answering.
	CauseBackendSilent Cause = "BackendSilent"
	// CauseNoMemory means that a node had no memory to hold the answer.
	CauseNoMemory   Cause = "NoMemory"
	CauseKeyMissing Cause = "KeyMissing"
	// CauseKeyRunning means that a call with the same idempotency key is still
	// running.
	CauseKeyRunning Cause = "KeyRunning"
	// CauseKeyReplayed means that the answer is that of an earlier run with
	// the same key.
	CauseKeyReplayed Cause = "KeyReplayed"
	// CauseKeyInDoubt means that it is not known whether a call with the key
	// has run.
	CauseKeyInDoubt Cause = "KeyInDoubt"
	// CauseKeyForgotten means that a call with the key has run, but its answer
	// is no longer kept.
	CauseKeyForgotten Cause = "KeyForgotten"
	// CauseKeyMismatch means that the key was used before for a different
	// request.
	CauseKeyMismatch Cause = "KeyMismatch"
	// CauseKeyHomeUnreached means that the home, the node that keeps the key,
	// was not reached.
	CauseKeyHomeUnreached Cause = "KeyHomeUnreached"
	// CauseKeyLedgerFull means that the home can record no more keys.
	CauseKeyLedgerFull Cause = "KeyLedgerFull"
	// CauseUnknownKey means that the caller gave no key of a team, or one that no
	// team holds.
	CauseUnknownKey Cause = "UnknownKey"
	// CauseOutdatedKeys means that no team held the caller's key when the node last
	// heard of the configuration, too long ago to tell that none does.
	CauseOutdatedKeys Cause = "OutdatedKeys"
	// CauseQuota means that the team has used up its quota.
	CauseQuota Cause = "Quota"
	// CauseMoved means that another node or backend server is responsible for
	// the call or its key now.
	CauseMoved Cause = "Moved"
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
