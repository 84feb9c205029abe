// Package kqserver follows the life of the backend server beside a node, from
// what the server says of itself: heartbeats, a notice that it drains, and one
// that it leaves. Notices may come late, twice, or from an earlier start of a
// server at the same address.
//
// # Usage
//
//	life := kqserver.New()
//	verdict := life.Hear(kqserver.Notice{ServerID: id, Born: born, Sequence: 4, State: kqserver.Ready, Slots: 36})
//	if life.State() == kqserver.Ready { ... }
//
// Starts are ordered by the time at which the server says that it began, and
// the notices of one start by their sequence. A start that has said that it
// drains or leaves is never ready again; only a later start is. The states and
// their events stand in charts/server.json. A Life is not safe for concurrent
// use.
package kqserver

import (
	_ "embed"
	"time"

	"kumquatlink/core/kqchart"
)

// State is a state of the chart, and what a notice says.
type State string

// The states of a backend server.
const (
	// Unknown is a start of which nothing was heard yet.
	Unknown  State = "Unknown"
	Ready    State = "Ready"
	Draining State = "Draining"
	Gone     State = "Gone"
)

// Events of the chart.
const (
	eventReady    = "Ready"
	eventDraining = "Draining"
	eventLeave    = "Leave"
	eventReborn   = "Reborn"
)

//go:embed charts/server.json
var chartText []byte

var chart = kqchart.MustParse(chartText)

// Notice is what a backend server says of itself.
type Notice struct {
	// ServerID names the server; it may have had the same name before.
	ServerID string
	Service  string
	// Address is where the server takes requests.
	Address string
	// Slots is how many requests it runs at once, or 0 when it does not say.
	Slots int
	// State is Ready, Draining or Gone.
	State State
	// Cold is how much longer the server is slow after its start.
	Cold time.Duration
	// Sequence goes up with each notice of a start; 0 when it is not known.
	Sequence int64
	// Born is when the server started, in Unix milliseconds by its own clock,
	// or 0 when it does not say.
	Born int64
}

// Verdict is what became of a notice.
type Verdict string

// The verdicts.
const (
	// Taken is a notice that was the newest one.
	Taken Verdict = "Taken"
	// Late is a notice of an earlier start, or overtaken by a newer one.
	Late Verdict = "Late"
	// Over is a notice of a start that has already said that it leaves.
	Over Verdict = "Over"
)

// Tracker is the life of the backend server at one address.
type Tracker struct {
	machine *kqchart.Machine
	notice  Notice
	known   bool
}

// New makes a life of which nothing is known.
func New() *Tracker {
	return &Tracker{machine: kqchart.NewMachine(chart)}
}

// State is the state of the latest start.
func (l *Tracker) State() State {
	return State(l.machine.State())
}

// Notice is the latest notice that was taken.
func (l *Tracker) Notice() Notice {
	return l.notice
}

// Observe takes a notice and says what became of it.
func (l *Tracker) Observe(n Notice) Verdict {
	if l.known && !l.sameStart(n) {
		if n.Born != 0 && n.Born < l.notice.Born {
			return Late
		}
		if n.State == Gone && (n.Born == 0 || n.Born == l.notice.Born) {
			// A leaving start that is not the present one says nothing of it.
			return Late
		}
		l.fire(eventReborn)
		l.known = false
	}
	if l.known && n.Sequence != 0 && n.Sequence <= l.notice.Sequence && n.State == Ready {
		return Late
	}
	if !l.fire(eventOf(n.State)) {
		return Over
	}
	if n.State == Gone && l.known {
		n = l.leaving(n)
	}
	l.known = true
	l.notice = n
	return Taken
}

// leaving keeps what the last notice said, since a notice of leaving says
// little.
func (l *Tracker) leaving(n Notice) Notice {
	kept := l.notice
	kept.State = n.State
	kept.Sequence = max(kept.Sequence, n.Sequence)
	return kept
}

// sameStart is whether the notice is of the start that is known. A notice of
// leaving may not say when its server began.
func (l *Tracker) sameStart(n Notice) bool {
	if n.ServerID != l.notice.ServerID {
		return false
	}
	return n.Born == l.notice.Born || n.Born == 0
}

func (l *Tracker) fire(event string) bool {
	return l.machine.Fire(event) == nil
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
