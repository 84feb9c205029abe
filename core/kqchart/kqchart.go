// Package kqchart interprets state charts that are kept in data files.
//
// # Usage
//
// A chart is a JSON document with an initial state and, for each state, the
// events it takes and the states they lead to:
//
//	{"Name": "Door", "Initial": "Open",
//	 "States": [{"Name": "Open", "On": [{"Event": "Close", "Target": "Shut"}]},
//	            {"Name": "Shut", "Final": true}]}
//
// [Parse] refuses a chart with unknown targets, unreachable states, or states
// that are neither final nor left by any event. A [Machine] runs a chart:
//
//	machine := kqchart.NewMachine(chart)
//	err := machine.Fire("Close")
//
// A machine is not safe for concurrent use: the control goroutine owns it.
package kqchart

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// Errors of this package.
var (
	ErrInvalidChart    = errors.New("state chart is faulty")
	ErrUnexpectedEvent = errors.New("state takes no such event")
)

// Transition leads from the state it stands in to Target.
type Transition struct {
	Event  string
	Target string
}

// State is one state of a chart.
type State struct {
	Name  string
	Final bool         `json:",omitempty"`
	On    []Transition `json:",omitempty"`
}

// Chart is a checked state chart.
type Chart struct {
	Name    string
	Initial string
	States  []State
}

// Parse reads and checks a chart.
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

// MustParse parses a chart that is embedded in the program.
func MustParse(data []byte) *Chart {
	c, err := Parse(data)
	if err != nil {
		panic(err)
	}
	return c
}

func (c *Chart) check() []string {
	var faults []string
	states := map[string]State{}
	for _, s := range c.States {
		if _, twice := states[s.Name]; twice {
			faults = append(faults, "state "+s.Name+" stands twice")
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

func checkState(s State, states map[string]State) []string {
	var faults []string
	if s.Final != (len(s.On) == 0) {
		faults = append(faults, "state "+s.Name+" must either be final or take an event")
	}
	events := map[string]bool{}
	for _, t := range s.On {
		if events[t.Event] {
			faults = append(faults, "state "+s.Name+" takes event "+t.Event+" twice")
		}
		events[t.Event] = true
		if _, found := states[t.Target]; !found {
			faults = append(faults, "state "+s.Name+" leads to missing state "+t.Target)
		}
	}
	return faults
}

func (c *Chart) reach(name string, states map[string]State, reached map[string]bool) {
	if reached[name] {
		return
	}
	reached[name] = true
	for _, t := range states[name].On {
		c.reach(t.Target, states, reached)
	}
}

// Machine is a running chart.
type Machine struct {
	chart *Chart
	state string
}

// NewMachine starts a chart in its initial state.
func NewMachine(c *Chart) *Machine {
	return &Machine{chart: c, state: c.Initial}
}

// State is the name of the current state.
func (m *Machine) State() string {
	return m.state
}

// Initial is the name of the state that the chart starts in.
func (m *Machine) Initial() string {
	return m.chart.Initial
}

// Can is whether the current state takes the event.
func (m *Machine) Can(event string) bool {
	_, found := m.target(event)
	return found
}

// Fire takes the event, or fails with ErrUnexpectedEvent and stays.
func (m *Machine) Fire(event string) error {
	target, found := m.target(event)
	if !found {
		return errors.Mark(errors.Newf("%s: state %s takes no event %s", m.chart.Name, m.state, event), ErrUnexpectedEvent)
	}
	m.state = target
	return nil
}

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
