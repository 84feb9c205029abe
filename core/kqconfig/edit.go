package kqconfig

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqclass"
)

// historyLength is the number of changes that a configuration's history keeps.
const historyLength = 64

// Errors of changes.
var (
	// ErrFaulty marks a change whose result would have faults.
	ErrFaulty = errors.New("configuration would have faults")
	// ErrNoClass marks the removal of a class that does not exist.
	ErrNoClass = errors.New("there is no such class")
)

// FaultyError holds all faults of the configuration that a change would lead to.
type FaultyError struct {
	Faults []kqclass.Fault
}

// Error returns all faults, one per line.
func (e *FaultyError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is [ErrFaulty], for errors.Is.
func (e *FaultyError) Is(target error) bool {
	return target == ErrFaulty
}

// Edit is a change that an operator makes to a configuration.
type Edit struct {
	// Set is the class to add, or to replace the class of the same name with;
	// nil for none.
	Set *kqclass.Class
	// Delete is the name of the class to remove; empty for none.
	Delete string
}

// Apply returns the next version of base, with the edit made and the change
// recorded in its history. It fails with a [FaultyError] if the result would have
// faults, and with [ErrNoClass] if the class to remove does not exist; base is
// not changed.
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

// WriteResult states whether a write whose answer was lost took effect.
type WriteResult string

// The results of a write whose answer was lost.
const (
	// WriteAccepted means that the store accepted the change.
	WriteAccepted WriteResult = "Accepted"
	// WriteSuperseded means that another change was accepted which the one that
	// was written does not contain.
	WriteSuperseded WriteResult = "Beaten"
	// WriteRetryable means that the store still holds a configuration on which
	// the one that was written is based: it may be written over that.
	WriteRetryable WriteResult = "Open"
	// WriteUnknown means that neither history reaches back to the version of the
	// other configuration.
	WriteUnknown WriteResult = "Lost"
)

// ResolveWrite determines from what the store holds now whether the write whose
// answer was lost took effect.
func ResolveWrite(written, stored kqclass.Configuration) WriteResult {
	if slices.Contains(stored.History, kqclass.Change{Version: written.Version, ChangeID: written.ChangeID}) {
		return WriteAccepted
	}
	if stored.Version == 0 || slices.Contains(written.History, kqclass.Change{Version: stored.Version, ChangeID: stored.ChangeID}) {
		return WriteRetryable
	}
	if covers(stored, written.Version) || covers(written, stored.Version) {
		return WriteSuperseded
	}
	return WriteUnknown
}

// covers reports whether the history of a configuration reaches back to a version.
func covers(c kqclass.Configuration, version int64) bool {
	return slices.ContainsFunc(c.History, func(h kqclass.Change) bool { return h.Version == version })
}
