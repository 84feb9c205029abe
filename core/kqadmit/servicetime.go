package kqadmit

import (
	"maps"
	"slices"
	"time"
)

// Constants of the learned service times.
const (
	// sampleCount is how many of the last calls of a class are remembered.
	sampleCount = 32
	// sampleAge is when a remembered call is forgotten.
	sampleAge = 500 * time.Millisecond
	// minSamples is how many remembered calls are needed to refuse by them.
	minSamples = 4
	// needQuantile is the part of the remembered calls that a new one must
	// have time to be as slow as.
	needQuantile = 0.8
	// trialPeriod is how often a call is let try although it would miss.
	trialPeriod = 50 * time.Millisecond
)

// serviceTimes remembers how long the last calls of a class took.
type serviceTimes struct {
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
	if len(s.samples) < sampleCount {
		s.samples = append(s.samples, sample{took, now})
	} else {
		s.samples[s.next] = sample{took, now}
	}
	s.next = (s.next + 1) % sampleCount
	s.newest = now
	s.compute(now)
}

// compute finds the time that a call needs, or 0 when too little is known.
func (s *serviceTimes) compute(now time.Duration) {
	var fresh [sampleCount]time.Duration
	n := 0
	for _, x := range s.samples {
		if now-x.at < sampleAge {
			fresh[n] = x.took
			n++
		}
	}
	s.need = 0
	if n >= minSamples {
		slices.Sort(fresh[:n])
		s.need = fresh[int(needQuantile*float64(n-1))]
	}
}

// misses is whether a call with that much time left can't finish in it. Now
// and then one is let try, so that a class whose calls have all become too
// slow is found again when they no longer are.
func (s *serviceTimes) misses(now, left time.Duration) bool {
	if now-s.newest >= sampleAge || left >= s.need {
		return false
	}
	if now >= s.trial {
		s.trial = now + trialPeriod
		return false
	}
	return true
}

func (q *Queue) learn(now time.Duration, f Finished) {
	if q.hold == 0 {
		q.hold = f.Took
	}
	q.hold += time.Duration(holdWeight * float64(f.Took-q.hold))
	s, found := q.classes[f.Class]
	if !found {
		q.forget(now)
		s = &serviceTimes{}
		q.classes[f.Class] = s
	}
	s.add(now, f.Took)
}

func (q *Queue) wouldMiss(now time.Duration, i Item) bool {
	s, found := q.classes[i.Class]
	return found && s.misses(now, i.Deadline-now)
}

// forget drops the classes of which nothing is remembered any more.
func (q *Queue) forget(now time.Duration) {
	maps.DeleteFunc(q.classes, func(_ string, s *serviceTimes) bool { return now-s.newest >= sampleAge })
}
