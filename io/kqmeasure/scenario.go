package kqmeasure

import (
	"slices"
	"time"
)

// FaultKind names a kind of fault.
type FaultKind string

// The kinds of fault.
const (
	// FaultSlow multiplies the service time of the deep service.
	FaultSlow FaultKind = "Slow"
	// FaultStoreOut makes the configuration store unavailable.
	FaultStoreOut FaultKind = "StoreOut"
	// FaultRestore restores the store at the end of the fault from a copy that was
	// taken at its start.
	FaultRestore FaultKind = "Restore"
	// FaultLeave makes a backend server announce that it leaves.
	FaultLeave FaultKind = "Leave"
	// FaultReplace drains and stops a host and starts another in its place.
	FaultReplace FaultKind = "Replace"
	// FaultSilence makes open connections lose what is sent on them.
	FaultSilence FaultKind = "Silence"
	// FaultPause stops a host and lets it continue later.
	FaultPause FaultKind = "Pause"
	// FaultAny is one of StoreOut, Leave, Silence and Pause; the seed selects it.
	FaultAny FaultKind = "Any"
)

// Fault is a fault of a scenario. Its times count from the trigger's start.
type Fault struct {
	Kind FaultKind
	From time.Duration
	To   time.Duration
	// Factor multiplies the service time of the deep service in FaultSlow.
	Factor float64
}

// Scenario describes the phases, the load and the faults of a trial.
type Scenario struct {
	Name string
	// Warm, Before, During and After are the lengths of the phases, in this
	// order. Requests of Warm are not counted; During is the trigger.
	Warm   time.Duration
	Before time.Duration
	During time.Duration
	After  time.Duration
	// Load is the offered load as a part of the rate that saturates the
	// bottleneck service.
	Load float64
	// Surge multiplies the offered load in During; 0 means 1.
	Surge float64
	// Retries is how often a caller sends a request again after a failure.
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

// aggressiveRetries is how often a caller sends again that ignores what the
// refusal says.
const aggressiveRetries = 3

// Load and Surge of the scenarios.
const (
	steadyLoad = 0.8
	surgeLoad  = 3
)

// newScenario returns a steady scenario with the change applied.
func newScenario(name string, change func(*Scenario)) Scenario {
	s := Scenario{Name: name, Warm: warmPhase, Before: beforePhase, During: duringPhase, After: afterPhase, Load: steadyLoad}
	change(&s)
	return s
}

// entireTrigger returns a fault that lasts as long as the trigger.
func entireTrigger(kind FaultKind) Fault {
	return Fault{Kind: kind, To: duringPhase}
}

// slowdown returns a fault that slows the deep service down.
func slowdown(from, to time.Duration, factor float64) Fault {
	return Fault{Kind: FaultSlow, From: from, To: to, Factor: factor}
}

var scenarios = []Scenario{
	newScenario("steady", func(s *Scenario) { s.MeasureLatency = true }),
	newScenario("surge", func(s *Scenario) { s.Surge, s.Retries = surgeLoad, aggressiveRetries }),
	newScenario("deepslow", func(s *Scenario) { s.Faults = []Fault{slowdown(0, duringPhase, 3)} }),
	newScenario("retrystorm", func(s *Scenario) {
		s.Retries = aggressiveRetries
		s.Faults = []Fault{slowdown(0, duringPhase, 2)}
	}),
	newScenario("storeout", func(s *Scenario) { s.Faults = []Fault{entireTrigger(FaultStoreOut)} }),
	newScenario("restored", func(s *Scenario) {
		s.Faults = []Fault{
			{Kind: FaultReplace, From: 500 * time.Millisecond, To: duringPhase},
			{Kind: FaultRestore, From: 0, To: 3 * time.Second},
		}
	}),
	newScenario("leaving", func(s *Scenario) {
		s.Faults = []Fault{entireTrigger(FaultLeave), {Kind: FaultReplace, From: time.Second, To: duringPhase}}
	}),
	newScenario("silent", func(s *Scenario) { s.Faults = []Fault{entireTrigger(FaultSilence)} }),
	newScenario("paused", func(s *Scenario) { s.Faults = []Fault{entireTrigger(FaultPause)} }),
	newScenario("together", func(s *Scenario) {
		s.Surge, s.Retries = surgeLoad, aggressiveRetries
		s.Faults = []Fault{slowdown(0, duringPhase, 2), {Kind: FaultAny, From: time.Second, To: duringPhase}}
	}),
	newScenario("twice", func(s *Scenario) {
		s.Retries = aggressiveRetries
		s.Faults = []Fault{slowdown(0, 1500*time.Millisecond, 3), slowdown(2500*time.Millisecond, duringPhase, 3)}
	}),
}

// FindScenario returns the scenario of that name and whether there is one.
func FindScenario(name string) (Scenario, bool) {
	i := slices.IndexFunc(scenarios, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return Scenario{}, false
	}
	return scenarios[i], true
}

// ScenarioNames lists the names of the scenarios.
func ScenarioNames() []string {
	var names []string
	for _, s := range scenarios {
		names = append(names, s.Name)
	}
	return names
}

// triggerStart and triggerEnd return when the trigger begins and ends, since the
// trial's start.
func (s Scenario) triggerStart() time.Duration { return s.Warm + s.Before }
func (s Scenario) triggerEnd() time.Duration   { return s.triggerStart() + s.During }

// duration returns how long callers send.
func (s Scenario) duration() time.Duration { return s.triggerEnd() + s.After }

func (s Scenario) hasFaults() bool {
	return len(s.Faults) > 0
}

// shortened returns the scenario with all times divided.
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

// surgeAt returns the factor of the offered load at a time since the trial's
// start.
func (s Scenario) surgeAt(at time.Duration) float64 {
	if s.Surge > 0 && at >= s.triggerStart() && at < s.triggerEnd() {
		return s.Surge
	}
	return 1
}

// slowAt returns the factor of the deep service's service time at a time since
// the trial's start.
func (s Scenario) slowAt(at time.Duration) float64 {
	for _, f := range s.Faults {
		if f.Kind == FaultSlow && at >= s.triggerStart()+f.From && at < s.triggerStart()+f.To {
			return f.Factor
		}
	}
	return 1
}
