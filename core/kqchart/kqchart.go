// Package kqchart runs state charts, that is finite state machines, which are
// defined in data files.
//
// # Usage
//
// A chart is a JSON document with the name of the initial state and a list of
// states. Each state lists the events that it accepts, with the target state of
// each:
//
//	{"Name": "Door", "Initial": "Open",
//	 "States": [{"Name": "Open", "On": [{"Event": "Close", "Target": "Shut"}]},
//	            {"Name": "Shut", "Final": true}]}
//
// [Parse] refuses a chart with unknown targets, duplicate states or events,
// unreachable states, final states that accept events, or other states that
// accept none. A [Machine] runs a chart:
//
//	machine := kqchart.NewMachine(chart)
//	err := machine.Fire("Close")
//
// A machine is not safe for concurrent use. In a node, the control goroutine owns
// it.
package kqchart

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// Errors of this package.
var (
	// ErrInvalidChart marks charts that can't be read or have faults.
	ErrInvalidChart = errors.New("state chart is invalid")
	// ErrUnexpectedEvent marks events that the current state does not accept.
	ErrUnexpectedEvent = errors.New("state does not accept the event")
)

// Transition leads from the state that lists it to the state Target when Event
// occurs.
type Transition struct {
	Event  string
	Target string
}

// State is one state of a chart. A final state has no transitions.
type State struct {
	Name  string
	Final bool         `json:",omitempty"`
	On    []Transition `json:",omitempty"`
}

// Chart is a state chart. [Parse] returns only charts without faults.
type Chart struct {
	Name    string
	Initial string
	States  []State
}

// Parse decodes a chart from JSON and checks it. Its errors are marked with
// [ErrInvalidChart].
func Parse(data []byte) (*Chart, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	c := &Chart{}
	if err := decoder.Decode(c); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "read chart"), ErrInvalidChart)
	}
	if faults := c.check(); len(faults) > 0 {
		return nil, errors.Mark(errors.Newf("chart %q: %s", c.Name, strings.Join(faults, "; ")), ErrInvalidChart)
	}
	return c, nil
}

// MustParse parses a chart that is embedded in the program, and panics if it has
// faults.
func MustParse(data []byte) *Chart {
	c, err := Parse(data)
	if err != nil {
		panic(err)
	}
	return c
}

// check returns a text for each fault of the chart.
func (c *Chart) check() []string {
	var faults []string
	states := map[string]State{}
	for _, s := range c.States {
		if _, duplicate := states[s.Name]; duplicate {
			faults = append(faults, "state "+s.Name+" is defined twice")
		}
		states[s.Name] = s
	}
	if _, found := states[c.Initial]; !found {
		return append(faults, "initial state "+c.Initial+" is missing")
	}
	for _, s := range c.States {
		faults = append(faults, checkState(s, states)...)
	}
	reached := map[string]bool{}
	c.reach(c.Initial, states, reached)
	for _, s := range c.States {
		if !reached[s.Name] {
			faults = append(faults, "state "+s.Name+" is unreachable")
		}
	}
	return faults
}

// checkState returns a text for each fault of the state s.
func checkState(s State, states map[string]State) []string {
	var faults []string
	if s.Final != (len(s.On) == 0) {
		faults = append(faults, "state "+s.Name+" must either be final or accept an event")
	}
	events := map[string]bool{}
	for _, t := range s.On {
		if events[t.Event] {
			faults = append(faults, "state "+s.Name+" accepts event "+t.Event+" twice")
		}
		events[t.Event] = true
		if _, found := states[t.Target]; !found {
			faults = append(faults, "state "+s.Name+" leads to missing state "+t.Target)
		}
	}
	return faults
}

// reach adds to reached the named state and all states that can be reached from
// it.
func (c *Chart) reach(name string, states map[string]State, reached map[string]bool) {
	if reached[name] {
		return
	}
	reached[name] = true
	for _, t := range states[name].On {
		c.reach(t.Target, states, reached)
	}
}

// Machine runs a chart: it holds the current state.
type Machine struct {
	chart *Chart
	state string
}

// NewMachine returns a machine in the initial state of the chart.
func NewMachine(c *Chart) *Machine {
	return &Machine{chart: c, state: c.Initial}
}

// State returns the name of the current state.
func (m *Machine) State() string {
	return m.state
}

// Initial returns the name of the initial state of the chart.
func (m *Machine) Initial() string {
	return m.chart.Initial
}

// Can reports whether the current state accepts the event.
func (m *Machine) Can(event string) bool {
	_, found := m.target(event)
	return found
}

// Fire moves to the target state of the event. If the current state does not
// accept the event, Fire fails with [ErrUnexpectedEvent] and the state stays.
func (m *Machine) Fire(event string) error {
	target, found := m.target(event)
	if !found {
		return errors.Mark(errors.Newf("%s: state %s does not accept event %s", m.chart.Name, m.state, event), ErrUnexpectedEvent)
	}
	m.state = target
	return nil
}

// target returns the target of the event in the current state, if it has one.
func (m *Machine) target(event string) (string, bool) {
	for _, s := range m.chart.States {
		if s.Name != m.state {
			continue
		}
		for _, t := range s.On {
			if t.Event == event {
				return t.Target, true
			}
		}
	}
	return "", false
}
