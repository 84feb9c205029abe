// Package kqsuspect finds requests that crash each backend server that runs them,
// from the crashes alone: which requests were running, and which of them were
// answered since. It answers the load in which such a request comes again and again,
// at any node, among others that are lost with the servers it crashes.
//
// # Usage
//
// The gates of a service keep a [Table] each, and pass each other what they record:
//
//	table := kqsuspect.New()
//	table.RecordCrash(now, runs)        // a server has crashed while it ran these
//	switch table.Judge(now, fingerprints...).Verdict {
//	case kqsuspect.Convicted:           // refuse
//	case kqsuspect.Suspected:           // run, but only one suspect at a time
//	}
//	table.RecordAnswer(fingerprints...) // the server has answered: no suspect
//
// A request has one fingerprint or several, each with more of what tells its caller from
// others. They are counted and cleared apart, so that answers to other callers don't clear
// a request that is deadly in one caller's name alone. Of those that have come with the
// crashes, the narrowest is convicted. The wider ones are one crash short then: the
// request is convicted by them if it crashes another server in another name.
//
// All requests that a server runs when it crashes become suspects. A suspect that is
// answered is cleared; one under which [ConvictingCrashes] servers have crashed one
// after the other is convicted. Since suspects run one at a time at each server, two
// of them are seldom lost together again. A request that is often sent is cleared by
// its next answer, so it is not convicted for being lost with another one.
//
// A conviction lasts until the request has not come for [ConvictionTime]. Then it may
// run once more, and one more crash convicts it again.
//
// Times are durations on the node's own clock. A Table is not safe for concurrent
// use.
package kqsuspect

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// Limits of a table.
const (
	// ConvictingCrashes is how many servers must have crashed under a request.
	ConvictingCrashes = 3
	// SuspicionTime is how long a request is remembered that does not come again.
	SuspicionTime = 10 * time.Minute
	// ConvictionTime is how long a convicted request must not come until it is
	// tried once more.
	ConvictionTime = time.Hour
	// MaxRequests is the number of requests that a table holds, in about 400 KB.
	MaxRequests = 4096
)

// fingerprintBytes is the length of a fingerprint. It is too long for a caller to
// find another request with the fingerprint of a given one.
const fingerprintBytes = 16

// Fingerprint identifies a request by its content, so that a repeat is recognised
// whatever its ID.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of a request with these parts, in this order.
func FingerprintOf(parts ...[]byte) Fingerprint {
	hash := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		// Writes to a hash don't fail.
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(p)
	}
	return Fingerprint(hash.Sum(nil)[:fingerprintBytes])
}

// Run is a request that a server ran when it crashed.
type Run struct {
	// Fingerprint is the widest fingerprint of the request, and Narrower holds the others,
	// from the wider to the narrower.
	Fingerprint Fingerprint
	Narrower    []Fingerprint `cbor:",omitempty"`
	// Ran is how long it had run. Repeat reports whether it had been handed to a
	// server before.
	Ran    time.Duration
	Repeat bool
}

// Verdict says what is known of a request.
type Verdict string

// The verdicts.
const (
	Cleared   Verdict = "Cleared"
	Suspected Verdict = "Suspected"
	Convicted Verdict = "Convicted"
)

// Judgement is the verdict on a request and what it rests on.
type Judgement struct {
	Verdict Verdict
	// Crashes is how many servers have crashed under the request one after the
	// other, the last one Age ago.
	Crashes int
	Age     time.Duration
}

// Record is what a table holds of one request, as tables exchange it.
type Record struct {
	Fingerprint Fingerprint
	Crashes     int
	// Age is how long ago the last crash was.
	Age time.Duration
}

// Table holds the requests that have been lost with servers. The zero value is not
// usable; see [New].
type Table struct {
	requests map[Fingerprint]*request
}

// request is what is known of a request that is not cleared.
type request struct {
	crashes   int
	crashedAt time.Duration
	// seenAt is when the request last came or was lost.
	seenAt time.Duration
}

// New returns a table without requests.
func New() *Table {
	return &Table{requests: map[Fingerprint]*request{}}
}

// Empty reports whether all requests are cleared.
func (t *Table) Empty() bool {
	return len(t.requests) == 0
}

// RecordCrash records that a server has crashed while it ran these requests, and
// returns those that are convicted by it. A run that began before the last crash
// under the same request does not count again, unless it is a repeat: servers that
// end together, as in a power cut, may all have run a request that is often sent.
func (t *Table) RecordCrash(now time.Duration, runs []Run) []Fingerprint {
	latest := map[Fingerprint]Run{}
	for _, r := range runs {
		for _, f := range append([]Fingerprint{r.Fingerprint}, r.Narrower...) {
			held, found := latest[f]
			if !found || r.Ran < held.Ran {
				latest[f] = Run{Ran: r.Ran, Repeat: r.Repeat || held.Repeat}
			}
		}
	}
	convicted := map[Fingerprint]bool{}
	for f, r := range latest {
		held, found := t.requests[f]
		if !found {
			held = &request{crashedAt: now - r.Ran}
			t.add(now, f, held)
		}
		if !r.Repeat && now-r.Ran < held.crashedAt {
			continue
		}
		held.crashes++
		held.crashedAt, held.seenAt = now, now
		if held.crashes == ConvictingCrashes {
			convicted[f] = true
		}
	}
	for _, r := range runs {
		t.spareWider(r, convicted)
	}
	return slices.Collect(maps.Keys(convicted))
}

// spareWider takes back convictions of fingerprints of a run that are wider than another
// one that is convicted.
func (t *Table) spareWider(r Run, convicted map[Fingerprint]bool) {
	fingerprints := append([]Fingerprint{r.Fingerprint}, r.Narrower...)
	narrowest := len(fingerprints) - 1
	for narrowest > 0 && !convicted[fingerprints[narrowest]] {
		narrowest--
	}
	for _, f := range fingerprints[:narrowest] {
		if convicted[f] {
			delete(convicted, f)
			t.requests[f].crashes = ConvictingCrashes - 1
		}
	}
}

// RecordAnswer records that a server has answered the request with these fingerprints. It
// returns those that were not cleared before.
func (t *Table) RecordAnswer(fingerprints ...Fingerprint) []Fingerprint {
	var cleared []Fingerprint
	for _, f := range fingerprints {
		if _, found := t.requests[f]; found {
			cleared = append(cleared, f)
		}
		delete(t.requests, f)
	}
	return cleared
}

// Judge returns the judgement on a request that has come: that on the fingerprint under
// which most servers have crashed.
func (t *Table) Judge(now time.Duration, fingerprints ...Fingerprint) Judgement {
	gravest := Judgement{Verdict: Cleared}
	for _, f := range fingerprints {
		if j := t.judge(now, f); j.Crashes > gravest.Crashes || gravest.Verdict == Cleared {
			gravest = j
		}
	}
	return gravest
}

func (t *Table) judge(now time.Duration, f Fingerprint) Judgement {
	held, found := t.requests[f]
	if !found || t.expired(now, held) {
		delete(t.requests, f)
		return Judgement{Verdict: Cleared}
	}
	if held.crashes >= ConvictingCrashes && now-held.seenAt >= ConvictionTime {
		held.crashes = ConvictingCrashes - 1
	}
	held.seenAt = now
	j := Judgement{Verdict: Suspected, Crashes: held.crashes, Age: now - held.crashedAt}
	if held.crashes >= ConvictingCrashes {
		j.Verdict = Convicted
	}
	return j
}

// Records returns what the table holds, for the table of another gate.
func (t *Table) Records(now time.Duration) []Record {
	var records []Record
	for f, held := range t.requests {
		records = append(records, Record{Fingerprint: f, Crashes: held.crashes, Age: now - held.crashedAt})
	}
	return records
}

// Merge adds what the table of another gate holds.
func (t *Table) Merge(now time.Duration, records []Record) {
	for _, r := range records {
		held, found := t.requests[r.Fingerprint]
		if !found {
			held = &request{}
			t.add(now, r.Fingerprint, held)
		}
		if r.Crashes > held.crashes {
			held.crashes, held.crashedAt, held.seenAt = r.Crashes, now-r.Age, now
		}
	}
}

// expired reports whether a suspect has not come for so long that it is forgotten.
func (t *Table) expired(now time.Duration, held *request) bool {
	return held.crashes < ConvictingCrashes && now-held.seenAt >= SuspicionTime
}

// add adds a request. A full table drops the one with the fewest crashes, and of
// these the one that has not come for longest.
func (t *Table) add(now time.Duration, f Fingerprint, held *request) {
	held.seenAt = now
	if len(t.requests) >= MaxRequests {
		var first Fingerprint
		var least *request
		for g, r := range t.requests {
			if least == nil || r.crashes < least.crashes || r.crashes == least.crashes && r.seenAt < least.seenAt {
				first, least = g, r
			}
		}
		delete(t.requests, first)
	}
	t.requests[f] = held
}
