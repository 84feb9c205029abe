package kqsuspect_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kumquatlink/core/kqsuspect"
)

// The load of the simulation: servers that run requests side by side, among them one
// that crashes each of them and comes again and again. Rates are per second.
const (
	servers    = 6
	step       = 10 * time.Millisecond
	length     = 60 * time.Second
	runTime    = 120 * time.Millisecond
	repairTime = 3 * time.Second
	deadlyRate = 2.0
	otherRate  = 100.0
	// crashRate is that of crashes with another cause.
	crashRate = 0.1
	// popularCount is the number of requests that are sent often, half of all. The
	// others are sent once.
	popularCount = 10
	// contact is the time after the third crash from which on no more than lateRuns
	// runs may begin.
	contact  = 3 * time.Second
	lateRuns = 3
)

// deadly is the fingerprint of the request that crashes servers.
var deadly = fingerprint("deadly")

// simulatedRun is a request on its way or at a server.
type simulatedRun struct {
	kqsuspect.Run
	begun     time.Duration
	suspected bool
}

// simulation plays the load against one table, as gates that hear from each other at
// once have it.
type simulation struct {
	random    *rand.Rand
	table     *kqsuspect.Table
	now       time.Duration
	waiting   []simulatedRun
	running   [servers][]simulatedRun
	downUntil [servers]time.Duration

	// crashes counts those under the deadly request, late its runs that began later
	// than contact after the third one. others counts the other requests sent, and
	// convicted those of them that were.
	crashes, late, others, convicted int
	thirdCrash                       time.Duration
}

func newSimulation(seed uint64) *simulation {
	return &simulation{random: rand.New(rand.NewPCG(seed, 11)), table: kqsuspect.New(), thirdCrash: length}
}

func (s *simulation) run() {
	for ; s.now < length; s.now += step {
		s.arrive()
		s.place()
		for i := range servers {
			s.advance(i)
		}
	}
}

// happens reports whether an event of that rate happens in this step.
func (s *simulation) happens(rate float64) bool {
	return s.random.Float64() < rate*step.Seconds()
}

// arrive adds the requests that come in this step.
func (s *simulation) arrive() {
	if s.happens(deadlyRate) {
		s.waiting = append(s.waiting, simulatedRun{Run: kqsuspect.Run{Fingerprint: deadly}})
	}
	if !s.happens(otherRate) {
		return
	}
	s.others++
	name := fmt.Sprintf("single-%d", s.others)
	if s.random.IntN(2) == 0 {
		name = fmt.Sprintf("popular-%d", s.random.IntN(popularCount))
	}
	s.waiting = append(s.waiting, simulatedRun{Run: kqsuspect.Run{Fingerprint: fingerprint(name)}})
}

// place hands waiting requests to random servers, one suspect at a time to each.
func (s *simulation) place() {
	var later []simulatedRun
	for _, r := range s.waiting {
		verdict := s.table.Judge(s.now, r.Fingerprint).Verdict
		if verdict == kqsuspect.Convicted {
			continue
		}
		i := s.random.IntN(servers)
		r.begun, r.suspected = s.now, verdict == kqsuspect.Suspected
		taken := slices.ContainsFunc(s.running[i], func(o simulatedRun) bool { return o.suspected && r.suspected })
		if taken || s.now < s.downUntil[i] {
			later = append(later, r)
			continue
		}
		if r.Fingerprint == deadly && s.now > s.thirdCrash+contact {
			s.late++
		}
		s.running[i] = append(s.running[i], r)
	}
	s.waiting = later
}

// advance ends the runs of a server that are over, or the server.
func (s *simulation) advance(i int) {
	crashed := s.happens(crashRate / servers)
	var left []simulatedRun
	for _, r := range s.running[i] {
		isOver := s.now-r.begun >= runTime
		switch {
		case isOver && r.Fingerprint == deadly:
			crashed = true
			s.recordDeadlyCrash()
			left = append(left, r)
		case isOver:
			s.table.RecordAnswer(r.Fingerprint)
		default:
			left = append(left, r)
		}
	}
	s.running[i] = left
	if crashed {
		s.crash(i)
	}
}

func (s *simulation) recordDeadlyCrash() {
	if s.crashes++; s.crashes == kqsuspect.ConvictingCrashes {
		s.thirdCrash = s.now
	}
}

// crash ends a server. What it ran is repeated once.
func (s *simulation) crash(i int) {
	var lost []kqsuspect.Run
	for _, r := range s.running[i] {
		r.Ran = s.now - r.begun
		lost = append(lost, r.Run)
		if !r.Repeat {
			r.Repeat = true
			s.waiting = append(s.waiting, r)
		}
	}
	for _, f := range s.table.RecordCrash(s.now, lost) {
		if f != deadly {
			s.convicted++
		}
	}
	s.running[i], s.downUntil[i] = nil, s.now+repairTime
}

// TestFewServersCrashUnderOneDeadlyRequest plays 20 minutes of the load, each with an
// empty table.
func TestFewServersCrashUnderOneDeadlyRequest(t *testing.T) {
	const plays = 20
	crashes, others, convicted := 0, 0, 0
	for seed := range uint64(plays) {
		s := newSimulation(seed)
		s.run()
		crashes, others, convicted = crashes+s.crashes, others+s.others, convicted+s.convicted
		if s.late > lateRuns || s.crashes < kqsuspect.ConvictingCrashes {
			t.Errorf("seed %d: got %d crashes and %d runs later than %s after the third, want %d at least and %d at most", seed, s.crashes, s.late, contact, kqsuspect.ConvictingCrashes, lateRuns)
		}
	}
	t.Logf("%d plays: %d servers crashed under the deadly request, %d of %d other requests convicted", plays, crashes, convicted, others)
	// Before its first crash the request may run at all servers at once.
	if mean := float64(crashes) / plays; mean > servers {
		t.Errorf("servers that crashed, mean: got %.1f, want at most %d", mean, servers)
	}
	if convicted > 0 {
		t.Errorf("other requests convicted: got %d, want none", convicted)
	}
}
