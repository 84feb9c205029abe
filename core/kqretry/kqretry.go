// Package kqretry bounds retries twice: one request makes at most [MaxPerRequest] of
// them over all of its hops, and an entry makes only a small share of its
// recent traffic in retries.
//
// # Usage
//
// The call of a caller starts with an [Allowance] of [MaxPerRequest]. Whoever sends a
// call onward draws a grant from the allowance that it holds, sends it along,
// and puts back what the answer says was not used:
//
//	held := kqretry.NewAllowance(kqretry.MaxPerRequest)
//	grant := held.Grant()
//	// ... send the call with the grant, get an answer ...
//	held.PutBack(left, grant)
//	if held.TakeRetry() && brake.TakeRetry() { ... } // retry
//
// When the call is over, [Allowance.Close] takes what is left, and whatever
// comes later finds nothing. Every retry of the whole tree is drawn from a
// grant that was drawn from the same MaxPerRequest, so the sum can't pass it, however
// many calls run side by side and whatever is lost.
package kqretry

import "sync/atomic"

// MaxPerRequest is the greatest number of retries that one request makes, over all of
// its hops and any fan-out.
const MaxPerRequest = 3

// closed is what a closed allowance holds.
const closed = -1

// Allowance is the part of a request's retries that one running call holds.
// It is safe for concurrent use. The zero value holds nothing.
type Allowance struct {
	held atomic.Int64
}

// NewAllowance makes an allowance of n retries, at most [MaxPerRequest].
func NewAllowance(n int) *Allowance {
	a := &Allowance{}
	a.Open(n)
	return a
}

// Open gives a new allowance n retries. What is outside of 0 to [MaxPerRequest] comes
// from a peer that is wrong, and is cut to it.
func (a *Allowance) Open(n int) {
	a.held.Store(int64(min(max(n, 0), MaxPerRequest)))
}

// Left is the number of retries that are held, 0 when closed.
func (a *Allowance) Left() int {
	return int(max(a.held.Load(), 0))
}

// TakeRetry takes one retry and says whether there was one.
func (a *Allowance) TakeRetry() bool {
	return a.take(func(int64) int64 { return 1 }) == 1
}

// Grant takes the larger half of what is held, for a call and all below it.
// The rest stays for a retry of that call, should its answer be lost with the
// grant.
func (a *Allowance) Grant() int {
	return int(a.take(func(held int64) int64 { return (held + 1) / 2 }))
}

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

// PutBack returns what an answer says is left of a grant, never more than the
// grant. A closed allowance takes nothing back.
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

// Close takes all that is left, for the answer to carry back. Calls that are
// still running below draw nothing and put nothing back from then on.
func (a *Allowance) Close() int {
	return int(max(a.held.Swap(closed), 0))
}
