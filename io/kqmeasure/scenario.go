package kqmeasure

import (
	"slices"
	"time"
)

// FaultKind names a fault.
type FaultKind string

// The faults.
const (
	FaultSlow     FaultKind = "Slow"
	FaultStoreOut FaultKind = "StoreOut"
	FaultLeave    FaultKind = "Leave"
	FaultReplace  FaultKind = "Replace"
	FaultSilence  FaultKind = "Silence"
	FaultPause    FaultKind = "Pause"
	// FaultAny is one of StoreOut, Leave, Silence and Pause, chosen by seed.
	FaultAny FaultKind = "Any"
)

// Fault is a fault of a scenario; its times count from the trigger's begin.
type Fault struct {
	Kind FaultKind
	From time.Duration
	To   time.Duration
	// Factor is how much slower the deep service works.
	Factor float64
}

// Scenario is what happens in a trial.
type Scenario struct {
	Name string
	// Warm, Before, During and After are the lengths of the phases; nothing
	// that was sent in Warm is counted.
	Warm   time.Duration
	Before time.Duration
	During time.Duration
	After  time.Duration
	// Load is the offered load as a part of what the narrowest service takes.
	Load float64
	// Surge multiplies the offered load in During; 0 means once.
	Surge float64
	// Retries is how often a caller sends again after a failure.
	Retries int
	Faults  []Fault
	// MeasureLatency reports whether pairs of calls measure the added latency.
	MeasureLatency bool
}

// Lengths of the phases of every scenario.
const (
	warmPhase   = 2500 * time.Millisecond
	beforePhase = 3 * time.Second
	duringPhase = 4 * time.Second
	afterPhase  = 4 * time.Second
)

// hardRetries is how often a caller sends again that honours nothing.
const hardRetries = 3

// Offered load as a part of what the narrowest service takes.
const (
	steadyLoad = 0.8
	surgeLoad  = 3
)

func scenario(name string, change func(*Scenario)) Scenario {
	s := Scenario{Name: name, Warm: warmPhase, Before: beforePhase, During: duringPhase, After: afterPhase, Load: steadyLoad}
	change(&s)
	return s
}

func whole(kind FaultKind) Fault {
	return Fault{Kind: kind, To: duringPhase}
}

func slowed(from, to time.Duration, factor float64) Fault {
	return Fault{Kind: FaultSlow, From: from, To: to, Factor: factor}
}

var scenarios = []Scenario{
	scenario("steady", func(s *Scenario) { s.MeasureLatency = true }),
	scenario("surge", func(s *Scenario) { s.Surge, s.Retries = surgeLoad, hardRetries }),
	scenario("deepslow", func(s *Scenario) { s.Faults = []Fault{slowed(0, duringPhase, 3)} }),
	scenario("retrystorm", func(s *Scenario) {
		s.Retries = hardRetries
		s.Faults = []Fault{slowed(0, duringPhase, 2)}
	}),
	scenario("storeout", func(s *Scenario) { s.Faults = []Fault{whole(FaultStoreOut)} }),
	scenario("leaving", func(s *Scenario) {
		s.Faults = []Fault{whole(FaultLeave), {Kind: FaultReplace, From: time.Second, To: duringPhase}}
	}),
	scenario("silent", func(s *Scenario) { s.Faults = []Fault{whole(FaultSilence)} }),
	scenario("paused", func(s *Scenario) { s.Faults = []Fault{whole(FaultPause)} }),
	scenario("together", func(s *Scenario) {
		s.Surge, s.Retries = surgeLoad, hardRetries
		s.Faults = []Fault{slowed(0, duringPhase, 2), {Kind: FaultAny, From: time.Second, To: duringPhase}}
	}),
	scenario("twice", func(s *Scenario) {
		s.Retries = hardRetries
		s.Faults = []Fault{slowed(0, 1500*time.Millisecond, 3), slowed(2500*time.Millisecond, duringPhase, 3)}
	}),
}

// FindScenario gives the scenario of that name.
func FindScenario(name string) (Scenario, bool) {
	i := slices.IndexFunc(scenarios, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return Scenario{}, false
	}
	return scenarios[i], true
}

// ScenarioNames lists the scenarios.
func ScenarioNames() []string {
	var names []string
	for _, s := range scenarios {
		names = append(names, s.Name)
	}
	return names
}

// trigger and recovery are when the trigger begins and ends.
func (s Scenario) trigger() time.Duration  { return s.Warm + s.Before }
func (s Scenario) recovery() time.Duration { return s.trigger() + s.During }

// length is how long callers send.
func (s Scenario) length() time.Duration { return s.recovery() + s.After }

func (s Scenario) hasFaults() bool {
	return len(s.Faults) > 0
}

func (s Scenario) shortened(by int) Scenario {
	divide := func(d *time.Duration) { *d /= time.Duration(by) }
	for _, d := range []*time.Duration{&s.Warm, &s.Before, &s.During, &s.After} {
		divide(d)
	}
	s.Faults = slices.Clone(s.Faults)
	for i := range s.Faults {
		divide(&s.Faults[i].From)
		divide(&s.Faults[i].To)
	}
	return s
}

// surgeAt is the factor of the offered load at a time since the start.
func (s Scenario) surgeAt(at time.Duration) float64 {
	if s.Surge > 0 && at >= s.trigger() && at < s.recovery() {
		return s.Surge
	}
	return 1
}

// slowAt is the factor of the deep service's time at a time since the start.
func (s Scenario) slowAt(at time.Duration) float64 {
	for _, f := range s.Faults {
		if f.Kind == FaultSlow && at >= s.trigger()+f.From && at < s.trigger()+f.To {
			return f.Factor
		}
	}
	return 1
}
