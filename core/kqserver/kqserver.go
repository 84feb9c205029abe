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
// one start by their sequence number. A notice without a start time is of the
// latest start. A start that has announced that it drains or leaves never becomes
// ready again; only a later start does. Since a clock may have been set back, a
// start that seems earlier replaces one that has fallen silent. The states and
// their events are defined in charts/server.json. A Tracker is not safe for
// concurrent use.
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

// silentAfter is how long the latest start has to be silent before one that seems
// earlier replaces it. It is several times the interval of notices.
const silentAfter = 5 * time.Second

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
	// ReceivedAt is when the node received the notice, by the host's clock.
	ReceivedAt time.Time
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
	// Held means that the notice waits until the node knows what its former process
	// knew. A Tracker does not return it.
	Held Verdict = "Held"
	// Over means that the start has already announced that it drains or leaves,
	// which the notice would take back.
	Over Verdict = "Over"
)

// Tracker tracks the state of the backend server at one address.
type Tracker struct {
	machine   *kqchart.Machine
	notice    Notice
	hasNotice bool
	// heardAt is when a notice of the latest start was last received.
	heardAt time.Time
	// earlier is the last notice of a start that seems earlier than the latest.
	earlier Notice
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

// Knows reports whether the notice is of the start of the last accepted one.
func (t *Tracker) Knows(n Notice) bool {
	return t.hasNotice && t.sameStart(n)
}

// Observe applies a notice and returns how it was handled.
func (t *Tracker) Observe(n Notice) Verdict {
	if t.hasNotice && !t.sameStart(n) {
		if n.Born != 0 && n.Born < t.notice.Born && !t.outlives(n) {
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
	t.heardAt = n.ReceivedAt
	if t.hasNotice && n.Sequence != 0 && n.Sequence <= t.notice.Sequence && n.State == Ready {
		return Late
	}
	if !t.fire(eventOf(n.State)) {
		return Over
	}
	if n.State == Gone && t.hasNotice {
		n = t.mergeGone(n)
	}
	if t.hasNotice && n.Born == 0 {
		n.Born = t.notice.Born
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
	merged.Born = max(merged.Born, n.Born)
	merged.ReceivedAt = n.ReceivedAt
	return merged
}

// sameStart reports whether the notice is of the start of the last accepted
// one. If one of them does not state when its server started, it is, unless the
// server was started after the other was received.
func (t *Tracker) sameStart(n Notice) bool {
	switch {
	case n.ServerID != t.notice.ServerID:
		return false
	case t.notice.Born == 0 && n.Born != 0 && t.State() != Ready:
		return n.Born <= t.notice.ReceivedAt.UnixMilli()
	}
	return n.Born == t.notice.Born || n.Born == 0 || t.notice.Born == 0
}

// outlives reports whether a start that seems earlier goes on to send notices while
// the latest one is silent. Single late notices of a start that has ended don't.
func (t *Tracker) outlives(n Notice) bool {
	former := t.earlier
	if n.ServerID != former.ServerID || n.Born != former.Born || n.Sequence > former.Sequence {
		t.earlier = n
	}
	return n.ServerID == former.ServerID && n.Born == former.Born && n.Sequence > former.Sequence &&
		former.ReceivedAt.Sub(t.heardAt) >= silentAfter
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
