package kqmeasure

import "time"

// Constants of recovery.
const (
	// sliceLength is the length of one slice of the timeline.
	sliceLength = 100 * time.Millisecond
	// windowSlices is how many slices one window of recovery holds.
	windowSlices = 5
	// recoveredShare is the part of the share before that counts as back.
	recoveredShare = 0.95
)

// slice counts the requests meant for one slice of time.
type slice struct {
	Offered map[string]int
	InTime  map[string]int
}

// share is offered and in time of one slice, all classes together.
type share struct {
	Offered int
	InTime  int
}

// timeline counts the requests of each slice by class.
func (t *trial) timeline() []slice {
	n := int((t.scenario.length() + sliceLength - 1) / sliceLength)
	slices := make([]slice, n)
	for i := range slices {
		slices[i] = slice{Offered: map[string]int{}, InTime: map[string]int{}}
	}
	for _, q := range t.roots {
		i := int(q.At / sliceLength)
		if i >= n {
			continue
		}
		slices[i].Offered[q.Kind]++
		if t.inTime(q) {
			slices[i].InTime[q.Kind]++
		}
	}
	return slices
}

// shares gives the timeline without classes.
func (t *trial) shares() []share {
	var all []share
	for _, s := range t.timeline() {
		var one share
		for _, n := range s.Offered {
			one.Offered += n
		}
		for _, n := range s.InTime {
			one.InTime += n
		}
		all = append(all, one)
	}
	return all
}

func sum(shares []share) share {
	var all share
	for _, s := range shares {
		all.Offered += s.Offered
		all.InTime += s.InTime
	}
	return all
}

// recoveryTime is from the trigger's end until every later window has at
// least 95% of the share in time before the trigger. Shares and not counts
// are compared, so that the chance of arrivals does not look like a fault.
func recoveryTime(shares []share, s Scenario) time.Duration {
	before := sum(shares[s.Warm/sliceLength : s.trigger()/sliceLength])
	if before.Offered == 0 || before.InTime == 0 {
		return s.After
	}
	want := recoveredShare * float64(before.InTime) / float64(before.Offered)
	end := int(s.recovery() / sliceLength)
	for i := len(shares) - windowSlices; i >= end; i-- {
		w := sum(shares[i : i+windowSlices])
		if float64(w.InTime) < want*float64(w.Offered) {
			if i == len(shares)-windowSlices {
				return s.After
			}
			return time.Duration(i+1-end) * sliceLength
		}
	}
	return 0
}
