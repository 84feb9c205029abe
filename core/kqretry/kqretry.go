// Package kqretry limits retries in two ways: per request, over all of its hops,
// with an [Allowance], and per entry, as a share of its recent first tries, with
// a [Throttle]. An entry is the part of a node that takes calls and routes them.
//
// # Usage
//
// The call of a caller starts with an [Allowance] of [MaxPerRequest] retries. A
// node that sends a call onward takes a grant from the allowance that it holds,
// sends the grant along with the call, and puts back what was not used
// according to the answer:
//
//	held := kqretry.NewAllowance(kqretry.MaxPerRequest)
//	grant := held.Grant()
//	// ... send the call with the grant, get an answer ...
//	held.PutBack(left, grant)
//	if held.TakeRetry() && throttle.TakeRetry() { ... } // retry
//
// When the call is over, [Allowance.Close] returns what is left and empties the
// allowance for good. Every retry in the tree of calls is taken from a grant
// that comes from the same MaxPerRequest retries. So the sum never exceeds
// MaxPerRequest, however many calls run at the same time and whichever answers
// are lost.
//
// An entry that starts a call counts it with [Throttle.RecordFirstTry] or, when
// its caller has sent it again, with [Throttle.RecordResend]. [RecentFailures]
// recognises such calls.
package kqretry

import "sync/atomic"

// MaxPerRequest is the greatest number of retries that one request makes, over
// all of its hops and any fan-out.
const MaxPerRequest = 3

// closed is the value of a closed allowance.
const closed = -1

// Allowance holds the retries of a request that one running call may use or
// grant to its onward calls. It is safe for concurrent use. The zero value holds
// no retries.
type Allowance struct {
	held atomic.Int64
}

// NewAllowance returns an allowance of n retries, limited to 0 to
// [MaxPerRequest].
func NewAllowance(n int) *Allowance {
	a := &Allowance{}
	a.Open(n)
	return a
}

// Open sets a new allowance to n retries. A value outside of 0 to
// [MaxPerRequest] comes from a faulty peer and is limited to that range.
func (a *Allowance) Open(n int) {
	a.held.Store(int64(min(max(n, 0), MaxPerRequest)))
}

// Left returns the number of retries that are held, 0 when closed.
func (a *Allowance) Left() int {
	return int(max(a.held.Load(), 0))
}

// TakeRetry takes one retry and reports whether there was one.
func (a *Allowance) TakeRetry() bool {
	return a.take(func(int64) int64 { return 1 }) == 1
}

// Grant takes the larger half of what is held, for an onward call and all calls
// below it, and returns it. The rest is kept to retry that call, in case its
// answer is lost along with the unused part of the grant.
func (a *Allowance) Grant() int {
	return int(a.take(func(held int64) int64 { return (held + 1) / 2 }))
}

// take removes share of what is held, which is above 0, and returns it.
func (a *Allowance) take(share func(held int64) int64) int64 {
	for {
		held := a.held.Load()
		if held <= 0 {
			return 0
		}
		n := share(held)
		if a.held.CompareAndSwap(held, held-n) {
			return n
		}
	}
}

// PutBack adds what is left of a grant according to the answer, at most the
// grant itself. It does nothing when the allowance is closed.
func (a *Allowance) PutBack(left, grant int) {
	n := int64(min(max(left, 0), grant))
	for {
		held := a.held.Load()
		if held == closed || n <= 0 {
			return
		}
		if a.held.CompareAndSwap(held, held+n) {
			return
		}
	}
}

// Close returns all that is left, which the answer carries back, and closes the
// allowance. Onward calls that are still running can take nothing from it and
// put nothing back any more.
func (a *Allowance) Close() int {
	return int(max(a.held.Swap(closed), 0))
}
