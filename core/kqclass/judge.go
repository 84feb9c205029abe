package kqclass

import (
	"cmp"
	"fmt"
	"slices"
)

// contradictions lists targets that can't hold together. Work that must not be
// repeated is kept before all other work, so that a repeatable class can't be
// asked to complete more of its requests than such a class.
func (c Configuration) contradictions() []Fault {
	var faults []Fault
	for i, k := range c.Classes {
		if !k.RunOnce {
			continue
		}
		for _, other := range c.Classes {
			if !other.RunOnce && other.Target.Complete > k.Target.Complete {
				faults = append(faults, Fault{
					fmt.Sprintf("Classes[%d].Target.Complete", i), fmt.Sprintf("%v", k.Target.Complete),
					fmt.Sprintf("at least the %v of class %q, which may be repeated and is shed before %q", other.Target.Complete, other.Name, k.Name),
				})
			}
		}
	}
	return faults
}

// Count is how the requests of a class went over some time.
type Count struct {
	Name string
	// Offered is all requests, and Completed those that completed in time.
	Offered   int64
	Completed int64
}

// Evaluation says how a class does against its target.
type Evaluation struct {
	Name string
	// Want and Got are the share of requests that must complete and that did,
	// in percent.
	Want float64
	Got  float64
	Met  bool
	// Pays is whether requests of the class were given up while its target or
	// that of a more important class was not met.
	Pays bool
	// Reason is a sentence for the operator.
	Reason string
}

// leastOffered is how many requests a class must have had to be judged.
const leastOffered = 20

// Evaluate compares counts with the targets, the most important class first, and
// says which class pays when the targets can't all be met.
func (t *Table) Evaluate(counts []Count) []Evaluation {
	var verdicts []Evaluation
	for _, n := range counts {
		r, found := t.rules[n.Name]
		if !found || n.Offered < leastOffered {
			continue
		}
		got := 100 * float64(n.Completed) / float64(n.Offered)
		want := r.Class.Target.Complete
		verdicts = append(verdicts, Evaluation{Name: n.Name, Want: want, Got: got, Met: got >= want})
	}
	slices.SortFunc(verdicts, func(a, b Evaluation) int { return cmp.Compare(t.rules[a.Name].Rank, t.rules[b.Name].Rank) })
	short := slices.ContainsFunc(verdicts, func(v Evaluation) bool { return !v.Met })
	for i := range verdicts {
		verdicts[i].explain(short)
	}
	return verdicts
}

func (v *Evaluation) explain(short bool) {
	v.Pays = short && v.Got < 100
	switch {
	case !v.Met:
		v.Reason = fmt.Sprintf("%.1f%% completed in time, the target is %v%%: the class pays, its work is shed before that of more important classes", v.Got, v.Want)
	case v.Pays:
		v.Reason = fmt.Sprintf("%.1f%% completed in time, the target of %v%% is met, with something shed for more important classes", v.Got, v.Want)
	default:
		v.Reason = fmt.Sprintf("%.1f%% completed in time, the target of %v%% is met", v.Got, v.Want)
	}
}
