package kqadmit

import (
	"maps"
	"slices"
	"time"
)

// serviceTimes remembers how long the last calls of a class took.
type serviceTimes struct {
	tuning  Tuning
	samples []sample
	next    int
	need    time.Duration
	newest  time.Duration
	trial   time.Duration
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
	s.compute(now)
}

// compute finds the time that a call needs, or 0 when too little is known.
func (s *serviceTimes) compute(now time.Duration) {
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

// misses is whether a call with that much time left can't finish in it. Now
// and then one is let try, so that a class whose calls have all become too
// slow is found again when they no longer are.
func (s *serviceTimes) misses(now, left time.Duration) bool {
	if now-s.newest >= s.tuning.SampleAge || left >= s.need {
		return false
	}
	if now >= s.trial {
		s.trial = now + s.tuning.ProbePeriod
		return false
	}
	return true
}

func (q *Queue) learn(now time.Duration, f Completion) {
	if q.hold == 0 {
		q.hold = f.Took
	}
	q.hold += time.Duration(q.tuning.HoldWeight * float64(f.Took-q.hold))
	s, found := q.classes[f.Class]
	if !found {
		q.forget(now)
		s = &serviceTimes{tuning: q.tuning}
		q.classes[f.Class] = s
	}
	s.add(now, f.Took)
}

// need is the time that a call of the class needs, or 0 when too little is
// known.
func (q *Queue) need(class string) time.Duration {
	if s, found := q.classes[class]; found {
		return s.need
	}
	return 0
}

func (q *Queue) wouldMiss(now time.Duration, i Item) bool {
	s, found := q.classes[i.Class]
	return found && s.misses(now, i.Deadline-now)
}

// forget drops the classes of which nothing is remembered any more.
func (q *Queue) forget(now time.Duration) {
	maps.DeleteFunc(q.classes, func(_ string, s *serviceTimes) bool { return now-s.newest >= q.tuning.SampleAge })
}
