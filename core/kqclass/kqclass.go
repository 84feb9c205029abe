// Package kqclass defines the classes of work and the targets that operators
// configure for them. A class groups requests that are equally important, such
// as purchases. From the target of a class the package derives its rank, that is
// its order of importance, and the deadline of its requests.
//
// # Usage
//
// A [Configuration] is the one object that operators change.
// [Configuration.Check] returns all of its faults. [NewTable] derives from a
// configuration without faults the immutable [Table] that is read for each call:
//
//	if faults := configuration.Check(); len(faults) > 0 { ... }
//	table := kqclass.NewTable(configuration)
//	class, found := table.Find("purchase")
//
// Operators state targets, not weights. Classes that must not be repeated are the
// most important ones; among the others, and among themselves, classes are
// ordered by how much of a class must complete, then by how quickly.
package kqclass

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits on what a configuration may hold.
const (
	MaxClasses    = 64
	MaxNameLength = 63
	MinWithin     = 5 * time.Millisecond
	MaxWithin     = 5 * time.Minute
)

// Duration is a [time.Duration] that is encoded in JSON as text, such as "250ms".
type Duration time.Duration

// Value returns d as a [time.Duration].
func (d Duration) Value() time.Duration {
	return time.Duration(d)
}

// MarshalJSON encodes d as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes text such as "250ms" and fails on anything else.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Newf("want a duration such as \"250ms\", got %s", data)
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return errors.Newf("want a duration such as \"250ms\", got %q", text)
	}
	*d = Duration(value)
	return nil
}

// Target is the service level that an operator sets for a class.
type Target struct {
	// Complete is the share of requests, in percent, that must complete.
	Complete float64
	// Within is the time in which a request must complete.
	Within Duration
}

// Class is a class of work, with its target.
type Class struct {
	Name   string
	Target Target
	// RunOnce is true for work that must not be repeated, such as a purchase.
	RunOnce bool
	// Services lists the services whose calls belong to this class when the
	// caller names no class. A service may be listed in one class only.
	Services []string `json:",omitempty"`
}

// Configuration holds everything that operators configure, in one object, so that
// a conditional write to the store accepts or refuses a change as a whole.
type Configuration struct {
	// Version counts accepted changes. It never decreases.
	Version int64
	// ChangeID identifies the change that made this version. When the answer
	// to a write is lost, a read shows by it whether the write was accepted.
	ChangeID string
	// History lists the latest changes, oldest first and this one last. It shows
	// whether a write was accepted also after further changes.
	History []Change `json:",omitempty"`
	Classes []Class
}

// Change identifies one accepted change.
type Change struct {
	Version  int64
	ChangeID string
}

// Fault describes one fault of a configuration: the field, its value, and the
// value that is expected.
type Fault struct {
	Field  string
	Value  string
	Expect string
}

// String returns the fault as a sentence.
func (f Fault) String() string {
	return fmt.Sprintf("%s is %s: want %s", f.Field, f.Value, f.Expect)
}

// Check returns all faults of the configuration: those of single classes in the
// order of the fields, then targets that contradict each other.
func (c Configuration) Check() []Fault {
	var faults []Fault
	if len(c.Classes) > MaxClasses {
		faults = append(faults, Fault{"Classes", fmt.Sprintf("%d long", len(c.Classes)), fmt.Sprintf("at most %d classes", MaxClasses)})
	}
	names := map[string]int{}
	owners := map[string]string{}
	for i, k := range c.Classes {
		field := fmt.Sprintf("Classes[%d]", i)
		faults = append(faults, k.check(field)...)
		if first, taken := names[k.Name]; taken {
			faults = append(faults, Fault{field + ".Name", fmt.Sprintf("%q", k.Name), fmt.Sprintf("a name other than that of Classes[%d]", first)})
		} else {
			names[k.Name] = i
		}
		for j, s := range k.Services {
			if owner, taken := owners[s]; taken {
				faults = append(faults, Fault{fmt.Sprintf("%s.Services[%d]", field, j), fmt.Sprintf("%q", s), fmt.Sprintf("a service that class %q does not claim", owner)})
			}
			owners[s] = k.Name
		}
	}
	return append(faults, c.contradictions()...)
}

// check returns the faults of the class by itself; field is its place in the
// configuration.
func (k Class) check(field string) []Fault {
	var faults []Fault
	if !ValidName(k.Name) {
		faults = append(faults, Fault{field + ".Name", fmt.Sprintf("%q", k.Name), fmt.Sprintf("1 to %d of a-z, 0-9 and '-'", MaxNameLength)})
	}
	if !(k.Target.Complete > 0 && k.Target.Complete < 100) {
		faults = append(faults, Fault{field + ".Target.Complete", fmt.Sprintf("%v", k.Target.Complete), "a percentage above 0 and below 100"})
	}
	within := time.Duration(k.Target.Within)
	if within < MinWithin || within > MaxWithin {
		faults = append(faults, Fault{field + ".Target.Within", within.String(), fmt.Sprintf("%s to %s", MinWithin, MaxWithin)})
	}
	for j, s := range k.Services {
		if !ValidName(s) {
			faults = append(faults, Fault{fmt.Sprintf("%s.Services[%d]", field, j), fmt.Sprintf("%q", s), fmt.Sprintf("1 to %d of a-z, 0-9 and '-'", MaxNameLength)})
		}
	}
	return faults
}

// ValidName reports whether name is valid for a class or a service.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameLength {
		return false
	}
	return strings.IndexFunc(name, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-'
	}) < 0
}

// Rule holds a class and the rank that is derived from its target.
type Rule struct {
	Class Class
	// Rank orders classes by importance; 0 is the most important.
	Rank int
}

// Deadline returns the time that a request of the class may take when its caller
// states none.
func (r Rule) Deadline() time.Duration {
	return time.Duration(r.Class.Target.Within)
}

// Table holds the rules of a configuration, by class and by service. It is
// immutable and safe for concurrent use.
type Table struct {
	Version  int64
	rules    map[string]Rule
	services map[string]string
}

// NewTable returns the table of a configuration that has no faults.
func NewTable(c Configuration) *Table {
	t := &Table{Version: c.Version, rules: map[string]Rule{}, services: map[string]string{}}
	sorted := slices.Clone(c.Classes)
	slices.SortStableFunc(sorted, compareImportance)
	for i, k := range sorted {
		t.rules[k.Name] = Rule{Class: k, Rank: i}
		for _, s := range k.Services {
			t.services[s] = k.Name
		}
	}
	return t
}

// compareImportance orders classes with the most important one first: work that
// must not be repeated, then the class of which more must complete, then the one
// with the shorter time. Equal ones are ordered by name, so that every node
// derives the same order.
func compareImportance(a, b Class) int {
	if a.RunOnce != b.RunOnce {
		if a.RunOnce {
			return -1
		}
		return 1
	}
	if a.Target.Complete != b.Target.Complete {
		if a.Target.Complete > b.Target.Complete {
			return -1
		}
		return 1
	}
	if a.Target.Within != b.Target.Within {
		if a.Target.Within < b.Target.Within {
			return -1
		}
		return 1
	}
	return strings.Compare(a.Name, b.Name)
}

// Find returns the rule of the class of that name, if there is one.
func (t *Table) Find(name string) (Rule, bool) {
	r, found := t.rules[name]
	return r, found
}

// ForService returns the rule of the class that lists the service, if there is
// one.
func (t *Table) ForService(service string) (Rule, bool) {
	return t.Find(t.services[service])
}

// Ranks returns the number of ranks.
func (t *Table) Ranks() int {
	return len(t.rules)
}
