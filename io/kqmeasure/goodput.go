package kqmeasure

import "time"

// Constants of the timeline and the recovery time.
const (
	sliceLength = 100 * time.Millisecond
	// windowSlices is how many slices make one window of the recovery time.
	windowSlices = 5
	// recoveredShare is the part of the in-time share before the trigger that a
	// window has to reach to count as recovered.
	recoveredShare = 0.95
)

// timeSlice counts, by class, the requests whose intended send time lies in one
// slice of the timeline.
type timeSlice struct {
	Offered map[string]int
	InTime  map[string]int
}

// sliceTotal holds the counts of one slice, summed over all classes.
type sliceTotal struct {
	Offered int
	InTime  int
}

// timeline returns the slices of the trial from its start.
func (t *trial) timeline() []timeSlice {
	n := int((t.scenario.duration() + sliceLength - 1) / sliceLength)
	slices := make([]timeSlice, n)
	for i := range slices {
		slices[i] = timeSlice{Offered: map[string]int{}, InTime: map[string]int{}}
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

// totals returns the timeline summed over all classes.
func (t *trial) totals() []sliceTotal {
	var all []sliceTotal
	for _, s := range t.timeline() {
		var one sliceTotal
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

func sumTotals(totals []sliceTotal) sliceTotal {
	var all sliceTotal
	for _, s := range totals {
		all.Offered += s.Offered
		all.InTime += s.InTime
	}
	return all
}

// recoveryTime returns the time from the trigger's end until, in every later
// window, the share of requests in time is at least 95% of the share before the
// trigger. It returns the whole phase After if that never happens. Shares are
// compared instead of counts, since random arrivals make the counts vary.
func recoveryTime(totals []sliceTotal, s Scenario) time.Duration {
	before := sumTotals(totals[s.Warm/sliceLength : s.triggerStart()/sliceLength])
	if before.Offered == 0 || before.InTime == 0 {
		return s.After
	}
	want := recoveredShare * float64(before.InTime) / float64(before.Offered)
	end := int(s.triggerEnd() / sliceLength)
	for i := len(totals) - windowSlices; i >= end; i-- {
		window := sumTotals(totals[i : i+windowSlices])
		if float64(window.InTime) < want*float64(window.Offered) {
			if i == len(totals)-windowSlices {
				return s.After
			}
			return time.Duration(i+1-end) * sliceLength
		}
	}
	return 0
}
