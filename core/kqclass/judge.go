package kqclass

import (
	"cmp"
	"fmt"
	"slices"
)

// contradictions returns a fault for each pair of targets that can't both be met.
// Under overload, repeatable work is shed before work that must not be repeated.
// So a repeatable class can't have a higher target than a class that must not be
// repeated.
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

// Count holds the numbers of requests of a class over some time.
type Count struct {
	// Name is the name of the class.
	Name string
	// Offered is the number of all requests, and Completed the number of those
	// that completed in time.
	Offered   int64
	Completed int64
}

// Evaluation compares the completed requests of a class with its target.
type Evaluation struct {
	// Name is the name of the class.
	Name string
	// Want is the share of requests that must complete in time and Got the share
	// that did, in percent.
	Want float64
	Got  float64
	// Met reports whether the target was met.
	Met bool
	// Pays reports whether some requests of the class did not complete in time
	// while the target of any class was not met.
	Pays bool
	// Reason explains the result to the operator in a sentence.
	Reason string
}

// minOffered is the number of requests that a class needs to be evaluated.
const minOffered = 20

// Evaluate compares the counts with the targets and returns the results, the most
// important class first. They also state which classes lose requests when the
// targets can't all be met. Classes that are unknown or had too few requests are
// left out.
func (t *Table) Evaluate(counts []Count) []Evaluation {
	var evaluations []Evaluation
	for _, n := range counts {
		r, found := t.rules[n.Name]
		if !found || n.Offered < minOffered {
			continue
		}
		got := 100 * float64(n.Completed) / float64(n.Offered)
		want := r.Class.Target.Complete
		evaluations = append(evaluations, Evaluation{Name: n.Name, Want: want, Got: got, Met: got >= want})
	}
	slices.SortFunc(evaluations, func(a, b Evaluation) int { return cmp.Compare(t.rules[a.Name].Rank, t.rules[b.Name].Rank) })
	targetMissed := slices.ContainsFunc(evaluations, func(e Evaluation) bool { return !e.Met })
	for i := range evaluations {
		evaluations[i].explain(targetMissed)
	}
	return evaluations
}

// explain sets Pays and Reason. targetMissed reports that the target of some class was
// not met.
func (e *Evaluation) explain(targetMissed bool) {
	e.Pays = targetMissed && e.Got < 100
	switch {
	case !e.Met:
		e.Reason = fmt.Sprintf("%.1f%% completed in time, the target is %v%%: the class pays, its work is shed before that of more important classes", e.Got, e.Want)
	case e.Pays:
		e.Reason = fmt.Sprintf("%.1f%% completed in time, the target of %v%% is met, with something shed for more important classes", e.Got, e.Want)
	default:
		e.Reason = fmt.Sprintf("%.1f%% completed in time, the target of %v%% is met", e.Got, e.Want)
	}
}
