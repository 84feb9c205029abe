// Package kqclass holds the operator's classes of work and their targets, and
// derives from the targets what the rest of the system needs: the rank of a
// class, its deadline, and whether its calls may be repeated.
//
// # Usage
//
// A [Configuration] is the one object that operators change. [Configuration.Check]
// lists every fault of it; [NewTable] turns a checked one into the immutable
// [Table] that call traffic reads:
//
//	if faults := configuration.Check(); len(faults) > 0 { ... }
//	table := kqclass.NewTable(configuration)
//	class, found := table.Find("purchase")
//
// Operators state targets, never weights: importance follows from how much of
// a class must complete, then from how quickly.
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

// Duration is a time.Duration written as text such as "250ms" in JSON.
type Duration time.Duration

// Value is the duration as the standard library has it.
func (d Duration) Value() time.Duration {
	return time.Duration(d)
}

// MarshalJSON writes d as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads text such as "250ms".
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

// Target is what an operator asks of a class.
type Target struct {
	// Complete is the share of requests, in percent, that must complete.
	Complete float64
	// Within is how quickly a request must complete.
	Within Duration
}

// Class is a class of work.
type Class struct {
	Name string
	// Target is how much must complete, how fast.
	Target Target
	// RunOnce is true for work that must not be repeated, such as a purchase.
	RunOnce bool
	// Services lists the services whose calls from callers belong to this
	// class when the caller names none. Each service stands in one class.
	Services []string `json:",omitempty"`
}

// Configuration is everything that operators state, as one object, so that one
// conditional write accepts a change as a whole.
type Configuration struct {
	// Version counts accepted changes. It only goes up.
	Version int64
	// ChangeID identifies the change that made this version, so that a write
	// whose answer was lost can be settled by reading.
	ChangeID string
	// History lists the latest changes, oldest first and this one last, so
	// that a lost answer is settled even when others changed more since.
	History []Change `json:",omitempty"`
	Classes []Class
}

// Change names one accepted change.
type Change struct {
	Version  int64
	ChangeID string
}

// Fault is one fault of a configuration.
type Fault struct {
	Field  string
	Value  string
	Expect string
}

// String gives the fault as a sentence.
func (f Fault) String() string {
	return fmt.Sprintf("%s is %s: want %s", f.Field, f.Value, f.Expect)
}

// Check lists every fault of the configuration, in the order of its fields.
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

// ValidName is whether name may name a class or a service.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameLength {
		return false
	}
	return strings.IndexFunc(name, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-'
	}) < 0
}

// Rule is what the system derives from a class.
type Rule struct {
	Class Class
	// Rank orders classes by importance; 0 is the most important.
	Rank int
}

// Deadline is the time that a request of the class has when its caller names
// none.
func (r Rule) Deadline() time.Duration {
	return time.Duration(r.Class.Target.Within)
}

// Table is an immutable view of a configuration for call traffic.
type Table struct {
	Version  int64
	rules    map[string]Rule
	services map[string]string
}

// NewTable derives a table from a configuration without faults.
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

// compareImportance puts work that must not be repeated first, then the class
// of which more must complete, then the quicker one, then by name so that
// every node derives the same order.
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

// Find gives the rule of the class of that name.
func (t *Table) Find(name string) (Rule, bool) {
	r, found := t.rules[name]
	return r, found
}

// ForService gives the rule of the class that claims the service.
func (t *Table) ForService(service string) (Rule, bool) {
	return t.Find(t.services[service])
}

// Ranks is the number of ranks.
func (t *Table) Ranks() int {
	return len(t.rules)
}
