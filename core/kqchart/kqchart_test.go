package kqchart_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"kumquatlink/core/kqchart"
)

const door = `{"Name": "Door", "Initial": "Open", "States": [
	{"Name": "Open", "On": [{"Event": "Close", "Target": "Shut"}]},
	{"Name": "Shut", "On": [{"Event": "Open", "Target": "Open"}, {"Event": "Wall", "Target": "Gone"}]},
	{"Name": "Gone", "Final": true}]}`

func TestFaultyChartsAreRefused(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"initial":     {strings.Replace(door, `"Initial": "Open"`, `"Initial": "Ajar"`, 1), "initial state Ajar is missing"},
		"target":      {strings.Replace(door, `"Target": "Shut"`, `"Target": "Ajar"`, 1), "leads to missing state Ajar"},
		"unreachable": {strings.Replace(door, `, {"Event": "Wall", "Target": "Gone"}`, "", 1), "state Gone is unreachable"},
		"dead end":    {strings.Replace(door, `, "Final": true`, "", 1), "state Gone must either be final or accept an event"},
		"two states":  {strings.Replace(door, `"Name": "Gone"`, `"Name": "Shut"`, 1), "state Shut is defined twice"},
		"two events":  {strings.Replace(door, `"Event": "Wall"`, `"Event": "Open"`, 1), "state Shut accepts event Open twice"},
		"field":       {strings.Replace(door, `"Final"`, `"Last"`, 1), "unknown field"},
		"cut":         {door[:40], "read chart"},
	} {
		_, err := kqchart.Parse([]byte(c.text))
		if !errors.Is(err, kqchart.ErrInvalidChart) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want an ErrChart with %q", name, err, c.want)
		}
	}
}

// TestMachineMatchesTheTransitionTable fires random events at a machine and
// compares its states with those of a reference implementation, a map of the
// transitions.
func TestMachineMatchesTheTransitionTable(t *testing.T) {
	chart, err := kqchart.Parse([]byte(door))
	if err != nil {
		t.Fatal(err)
	}
	transitions := map[string]string{"Open Close": "Shut", "Shut Open": "Open", "Shut Wall": "Gone"}
	rapid.Check(t, func(r *rapid.T) {
		m, state := kqchart.NewMachine(chart), "Open"
		for range rapid.IntRange(1, 30).Draw(r, "events") {
			event := rapid.SampledFrom([]string{"Close", "Open", "Wall", "Knock"}).Draw(r, "event")
			target, accepted := transitions[state+" "+event]
			if got, want := m.Can(event), accepted; got != want {
				r.Fatalf("%s accepts %s: got %t, want %t", state, event, got, want)
			}
			err := m.Fire(event)
			if accepted {
				state = target
			} else if !errors.Is(err, kqchart.ErrUnexpectedEvent) {
				r.Fatalf("fire %s in %s: got %v, want ErrEvent", event, state, err)
			}
			if got, want := m.State(), state; got != want {
				r.Fatalf("state: got %s, want %s", got, want)
			}
		}
	})
}

// FuzzParse parses arbitrary bytes: Parse must not panic, and a chart that it
// returns must start in its initial state.
func FuzzParse(f *testing.F) {
	f.Add([]byte(door))
	f.Add([]byte(`{"Name": "", "Initial": "", "States": [{"Name": "", "Final": true}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		chart, err := kqchart.Parse(data)
		if err != nil {
			return
		}
		if got, want := kqchart.NewMachine(chart).State(), chart.Initial; got != want {
			t.Errorf("state: got %q, want %q", got, want)
		}
	})
}
