package kqconfig

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqclass"
)

// historyLength is how many changes a configuration remembers.
const historyLength = 64

// Errors of changes.
var (
	// ErrFaulty marks changes that would make a faulty configuration.
	ErrFaulty = errors.New("configuration would have faults")
	// ErrNoClass marks changes of a class that is not there.
	ErrNoClass = errors.New("there is no such class")
)

// FaultyError lists every fault that a change would make.
type FaultyError struct {
	Faults []kqclass.Fault
}

// Error gives all faults, one a line.
func (e *FaultyError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Is makes errors.Is find ErrFaulty.
func (e *FaultyError) Is(target error) bool {
	return target == ErrFaulty
}

// Edit is one operator's change.
type Edit struct {
	// Set adds or replaces the class of that name, when not nil.
	Set *kqclass.Class
	// Delete removes the class of that name, when not empty.
	Delete string
}

// Apply makes the configuration that the edit leads to, or fails with every
// fault that it would have.
func Apply(base kqclass.Configuration, edit Edit, changeID string) (kqclass.Configuration, error) {
	next := base
	next.Version = base.Version + 1
	next.ChangeID = changeID
	next.Classes = slices.Clone(base.Classes)
	next.History = append(slices.Clone(base.History), kqclass.Change{Version: next.Version, ChangeID: changeID})
	if len(next.History) > historyLength {
		next.History = next.History[len(next.History)-historyLength:]
	}
	if edit.Delete != "" {
		at := indexOf(next.Classes, edit.Delete)
		if at < 0 {
			return base, errors.Mark(errors.Newf("there is no class %q", edit.Delete), ErrNoClass)
		}
		next.Classes = slices.Delete(next.Classes, at, at+1)
	}
	if edit.Set != nil {
		if at := indexOf(next.Classes, edit.Set.Name); at >= 0 {
			next.Classes[at] = *edit.Set
		} else {
			next.Classes = append(next.Classes, *edit.Set)
		}
	}
	if faults := next.Check(); len(faults) > 0 {
		return base, &FaultyError{Faults: faults}
	}
	return next, nil
}

func indexOf(classes []kqclass.Class, name string) int {
	return slices.IndexFunc(classes, func(k kqclass.Class) bool { return k.Name == name })
}

// WriteResult says whether a write whose answer was lost took effect.
type WriteResult string

// The settlements of a lost answer.
const (
	// WriteAccepted means that the change was accepted.
	WriteAccepted WriteResult = "Accepted"
	// WriteSuperseded means that another change took its place, and that the
	// conditional write can no longer take effect.
	WriteSuperseded WriteResult = "Beaten"
	// WriteRetryable means that the store still holds what the change was made
	// from: the same conditional write may be sent again.
	WriteRetryable WriteResult = "Open"
	// WriteUnknown means that the history no longer reaches back to the change.
	WriteUnknown WriteResult = "Lost"
)

// ResolveWrite compares the change that was written with what the store holds now.
func ResolveWrite(written, stored kqclass.Configuration) WriteResult {
	if slices.Contains(stored.History, kqclass.Change{Version: written.Version, ChangeID: written.ChangeID}) {
		return WriteAccepted
	}
	if stored.Version < written.Version {
		return WriteRetryable
	}
	covered := slices.ContainsFunc(stored.History, func(c kqclass.Change) bool { return c.Version == written.Version })
	if covered {
		return WriteSuperseded
	}
	return WriteUnknown
}
