package kqbackend

import (
	"strconv"
	"strings"
)

// pathPrefix begins the path of every call of a plan.
const pathPrefix = "/plan/"

// Step is one call of a plan and the onward calls that it makes.
type Step struct {
	Service string
	// Parallel is whether the onward calls are made at once or in turn.
	Parallel bool
	Steps    []Step
}

// Position is where a call of a plan stands, and which call it is.
type Position struct {
	Kind string
	// Steps are the indices from the root step to the call's own.
	Steps []int
	// CallID names this one call; no two calls share one.
	CallID string
}

// Path writes the position as a call's path, such as /plan/browse/0.1/r7.
func (p Position) Path() string {
	text := make([]string, 0, len(p.Steps)+1)
	text = append(text, "r")
	for _, s := range p.Steps {
		text = append(text, strconv.Itoa(s))
	}
	return pathPrefix + p.Kind + "/" + strings.Join(text, ".") + "/" + p.CallID
}

// Onward is the position of an onward call of the run with that serial.
func (p Position) Onward(index int, run string) Position {
	steps := append(append([]int(nil), p.Steps...), index)
	return Position{Kind: p.Kind, Steps: steps, CallID: p.CallID + "-" + run + "." + strconv.Itoa(index)}
}

// ParsePosition reads a path that Path wrote.
func ParsePosition(path string) (Position, bool) {
	rest, found := strings.CutPrefix(path, pathPrefix)
	parts := strings.Split(rest, "/")
	if !found || len(parts) != 3 {
		return Position{}, false
	}
	p := Position{Kind: parts[0], CallID: parts[2]}
	for _, text := range strings.Split(parts[1], ".")[1:] {
		i, err := strconv.Atoi(text)
		if err != nil {
			return Position{}, false
		}
		p.Steps = append(p.Steps, i)
	}
	return p, true
}

// Find gives the step at the position.
func (s Step) Find(p Position) (Step, bool) {
	for _, i := range p.Steps {
		if i < 0 || i >= len(s.Steps) {
			return Step{}, false
		}
		s = s.Steps[i]
	}
	return s, true
}
