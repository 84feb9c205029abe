package kqbackend

import (
	"strconv"
	"strings"
)

// pathPrefix is the prefix of the path of every call of a plan.
const pathPrefix = "/plan/"

// Step is one call of a plan and the onward calls that it makes. The step of the
// first call is the root of the plan.
type Step struct {
	// Service is the service that is called.
	Service string
	// Parallel reports whether the onward calls are made at once. Otherwise they
	// are made one after the other.
	Parallel bool
	// Steps holds the onward calls.
	Steps []Step
}

// Position identifies a call of a plan: its step and the call itself.
type Position struct {
	// Kind is the kind of request that the plan belongs to.
	Kind string
	// Steps holds the indices into Step.Steps that lead from the root of the
	// plan to the step of the call.
	Steps []int
	// CallID identifies the call. Each call has an ID of its own.
	CallID string
}

// Path returns the position as the path of a call, such as /plan/browse/r.0.1/q7.
// The r stands for the root of the plan.
func (p Position) Path() string {
	text := make([]string, 0, len(p.Steps)+1)
	text = append(text, "r")
	for _, s := range p.Steps {
		text = append(text, strconv.Itoa(s))
	}
	return pathPrefix + p.Kind + "/" + strings.Join(text, ".") + "/" + p.CallID
}

// Onward returns the position of the onward call with an index in Step.Steps.
// runID identifies the run that makes it, and so keeps the IDs of calls unique
// if the call at p runs more than once.
func (p Position) Onward(index int, runID string) Position {
	steps := append(append([]int(nil), p.Steps...), index)
	return Position{Kind: p.Kind, Steps: steps, CallID: p.CallID + "-" + runID + "." + strconv.Itoa(index)}
}

// ParsePosition parses a path that Path returned. It returns false if the path is
// not one of a plan.
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

// Find returns the step of a position in the plan with the root s. It returns
// false if the plan has no such step.
func (s Step) Find(p Position) (Step, bool) {
	for _, i := range p.Steps {
		if i < 0 || i >= len(s.Steps) {
			return Step{}, false
		}
		s = s.Steps[i]
	}
	return s, true
}
