package kqadmit

import (
	"maps"
	"slices"
	"time"
)

// serviceTimes holds the times that the last calls of a class took, in a ring
// buffer, and the time that a new call is expected to need.
type serviceTimes struct {
	tuning  Tuning
	samples []sample
	next    int
	need    time.Duration
	newest  time.Duration
	// nextProbe is from when the next call with too little time is admitted.
	nextProbe time.Duration
}

type sample struct {
	took time.Duration
	at   time.Duration
}

func (s *serviceTimes) add(now, took time.Duration) {
	if len(s.samples) < s.tuning.Samples {
		s.samples = append(s.samples, sample{took, now})
	} else {
		s.samples[s.next] = sample{took, now}
	}
	s.next = (s.next + 1) % s.tuning.Samples
	s.newest = now
	s.updateNeed(now)
}

// updateNeed sets need to the NeedQuantile of the fresh samples, or to 0 when
// there are fewer than MinSamples.
func (s *serviceTimes) updateNeed(now time.Duration) {
	fresh := make([]time.Duration, 0, len(s.samples))
	for _, x := range s.samples {
		if now-x.at < s.tuning.SampleAge {
			fresh = append(fresh, x.took)
		}
	}
	s.need = 0
	if len(fresh) >= s.tuning.MinSamples {
		slices.Sort(fresh)
		s.need = fresh[int(s.tuning.NeedQuantile*float64(len(fresh)-1))]
	}
}

// wouldMiss reports whether a call with the given time left cannot be expected
// to finish in it. Once per ProbePeriod it reports false for such a call: the
// call is a probe, which shows when a class whose calls had all become too slow
// is fast enough again.
func (s *serviceTimes) wouldMiss(now, left time.Duration) bool {
	if now-s.newest >= s.tuning.SampleAge || left >= s.need {
		return false
	}
	if now >= s.nextProbe {
		s.nextProbe = now + s.tuning.ProbePeriod
		return false
	}
	return true
}

// recordServiceTime adds a completed call to the mean hold time (an EWMA) and
// to the service times of its class.
func (q *Queue) recordServiceTime(now time.Duration, c Completion) {
	if q.meanHold == 0 {
		q.meanHold = c.Took
	}
	q.meanHold += time.Duration(q.tuning.HoldWeight * float64(c.Took-q.meanHold))
	s, found := q.classes[c.Class]
	if !found {
		q.dropStaleClasses(now)
		s = &serviceTimes{tuning: q.tuning}
		q.classes[c.Class] = s
	}
	s.add(now, c.Took)
}

// need returns the time that a call of the class is expected to need, or 0 when
// the class has too few samples.
func (q *Queue) need(class string) time.Duration {
	if s, found := q.classes[class]; found {
		return s.need
	}
	return 0
}

func (q *Queue) wouldMiss(now time.Duration, i Item) bool {
	s, found := q.classes[i.Class]
	return found && s.wouldMiss(now, i.Deadline-now)
}

// dropStaleClasses removes the classes whose samples are all older than
// SampleAge.
func (q *Queue) dropStaleClasses(now time.Duration) {
	maps.DeleteFunc(q.classes, func(_ string, s *serviceTimes) bool { return now-s.newest >= q.tuning.SampleAge })
}
