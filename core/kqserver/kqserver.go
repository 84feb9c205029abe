// Package kqserver tracks the state of the backend server beside a node from the
// notices that the server sends: heartbeats, a notice that it drains, and one that
// it leaves. Notices may arrive late, twice, or from an earlier start of a server
// at the same address.
//
// # Usage
//
//	tracker := kqserver.New()
//	verdict := tracker.Observe(kqserver.Notice{ServerID: id, Born: born, Sequence: 4, State: kqserver.Ready, Slots: 36})
//	if tracker.State() == kqserver.Ready { ... }
//
// Starts are ordered by the start time that the server states, and the notices of
// one start by their sequence number. A start that has announced that it drains or
// leaves never becomes ready again; only a later start does. The states and their
// events are defined in charts/server.json. A Tracker is not safe for concurrent
// use.
package kqserver

import (
	_ "embed"
	"time"

	"kumquatlink/core/kqchart"
)

// State is a state of the backend server, as in the chart and in a notice.
type State string

// The states of a backend server.
const (
	// Unknown is the state of a start before its first notice.
	Unknown  State = "Unknown"
	Ready    State = "Ready"
	Draining State = "Draining"
	Gone     State = "Gone"
)

// Events of the chart.
const (
	eventReady     = "Ready"
	eventDraining  = "Draining"
	eventLeave     = "Leave"
	eventRestarted = "Reborn"
)

//go:embed charts/server.json
var chartText []byte

var chart = kqchart.MustParse(chartText)

// Notice is a report by a backend server about itself.
type Notice struct {
	// ServerID identifies the server. A restarted server may have the same ID.
	ServerID string
	Service  string
	// Address is where the server accepts requests.
	Address string
	// Slots is how many requests the server runs at once, or 0 when it does not
	// say.
	Slots int
	// State is Ready, Draining or Gone.
	State State
	// Cold is for how much longer the server will be slow after its start.
	Cold time.Duration
	// Sequence increases with each notice of a start; 0 when it is not known.
	Sequence int64
	// Born is when the server started, in Unix milliseconds by its own clock,
	// or 0 when it does not say.
	Born int64
}

// Verdict says how a notice was handled.
type Verdict string

// The verdicts.
const (
	// Taken means that the notice was accepted as the newest one.
	Taken Verdict = "Taken"
	// Late means that the notice is of another start than the latest, or says
	// Ready but is not newer than the last accepted one.
	Late Verdict = "Late"
	// Over means that the start has already announced that it drains or leaves,
	// which the notice would take back.
	Over Verdict = "Over"
)

// Tracker tracks the state of the backend server at one address.
type Tracker struct {
	machine   *kqchart.Machine
	notice    Notice
	hasNotice bool
}

// New returns a Tracker that has no notice yet.
func New() *Tracker {
	return &Tracker{machine: kqchart.NewMachine(chart)}
}

// State returns the state of the latest start.
func (t *Tracker) State() State {
	return State(t.machine.State())
}

// Notice returns the latest accepted notice.
func (t *Tracker) Notice() Notice {
	return t.notice
}

// Observe applies a notice and returns how it was handled.
func (t *Tracker) Observe(n Notice) Verdict {
	if t.hasNotice && !t.sameStart(n) {
		if n.Born != 0 && n.Born < t.notice.Born {
			return Late
		}
		if n.State == Gone && (n.Born == 0 || n.Born == t.notice.Born) {
			// The start that leaves is not the present one, so the present one
			// is unaffected.
			return Late
		}
		t.fire(eventRestarted)
		t.hasNotice = false
	}
	if t.hasNotice && n.Sequence != 0 && n.Sequence <= t.notice.Sequence && n.State == Ready {
		return Late
	}
	if !t.fire(eventOf(n.State)) {
		return Over
	}
	if n.State == Gone && t.hasNotice {
		n = t.mergeGone(n)
	}
	t.hasNotice = true
	t.notice = n
	return Taken
}

// mergeGone returns the last accepted notice with the state and sequence of n,
// since a notice of leaving contains little else.
func (t *Tracker) mergeGone(n Notice) Notice {
	merged := t.notice
	merged.State = n.State
	merged.Sequence = max(merged.Sequence, n.Sequence)
	return merged
}

// sameStart reports whether the notice is of the start of the last accepted
// one. A notice of leaving may not state when its server started.
func (t *Tracker) sameStart(n Notice) bool {
	if n.ServerID != t.notice.ServerID {
		return false
	}
	return n.Born == t.notice.Born || n.Born == 0
}

func (t *Tracker) fire(event string) bool {
	return t.machine.Fire(event) == nil
}

func eventOf(s State) string {
	switch s {
	case Ready:
		return eventReady
	case Draining:
		return eventDraining
	default:
		return eventLeave
	}
}
