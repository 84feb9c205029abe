package kqadmit

import "time"

// GuardInterval is the least time between the admission of a call and the
// refusal of a more important one, whichever of the two comes first.
const GuardInterval = 110 * time.Millisecond

// Bounds that do not depend on the Tuning.
const (
	// maxQueue bounds the number of waiting calls even where the guard forbids
	// a refusal.
	maxQueue = 4096
	// maxArrivals bounds the arrivals that one window records.
	maxArrivals = 8192
	// maxRateWait is how long a call that waits until its deadline may wait for
	// the rate; with a rate above 4 calls a second the most important one does.
	maxRateWait = 250 * time.Millisecond
	// sweepPeriod is the least time between two searches of the queue for calls
	// to refuse, unless a window ends.
	sweepPeriod = 5 * time.Millisecond
)

// Tuning holds the parameters of the queue, the threshold and the estimates of
// service times.
type Tuning struct {
	// Window is the interval throughout which calls must wait for the queue to
	// count as standing.
	Window time.Duration
	// MinStarts is how many calls must begin in a window with a standing queue;
	// if fewer do, the window is extended by up to Extension.
	MinStarts int
	Extension time.Duration
	// WindowCount is how many windows, including the one that just ended, a
	// lower threshold is computed from.
	WindowCount int
	// Headroom is the multiple of the calls begun in those windows that a
	// lowered threshold admits; it is above 1 so that the queue never runs dry.
	Headroom float64
	// ExcessDeviations is by how many standard deviations the arrivals that the
	// threshold admits must exceed that number before it is lowered further.
	ExcessDeviations float64
	// FirstStepDivisor sets the first step by which the threshold is raised: a
	// band of levels divided by it. The step doubles with every window that
	// raises the threshold by steps.
	FirstStepDivisor int
	// DoublingFree is the share of the slots that must be free for the
	// threshold to be raised by doubling steps. When fewer are free,
	// PropagationDelay must pass between two raises, since entries learn of a
	// raise only gradually.
	DoublingFree     float64
	PropagationDelay time.Duration
	// EarlyEndFree is the share of a window's slot time that must have been
	// free, with no call waiting, for the window to end early.
	EarlyEndFree float64
	// The number of calls that may wait is QueueFactor times the limit, but at
	// least MinQueue.
	MinQueue    int
	QueueFactor float64
	// The time after which a waiting call is refused is SojournFactor times the
	// mean hold time of a slot, but at least MinSojourn.
	MinSojourn    time.Duration
	SojournFactor float64
	// HoldWeight is the weight of one call in the mean hold time (an EWMA).
	HoldWeight float64
	// Samples is how many service times are kept per class, SampleAge the age
	// at which one is ignored, and MinSamples how many are needed to refuse a
	// call that would miss its deadline.
	Samples    int
	SampleAge  time.Duration
	MinSamples int
	// NeedQuantile is the quantile of the kept service times that a call must
	// have left until its deadline to be admitted.
	NeedQuantile float64
	// ProbePeriod is the interval at which one call of a class is admitted
	// although it would miss its deadline.
	ProbePeriod time.Duration
}

// DefaultTuning returns the parameters that gates use.
func DefaultTuning() Tuning {
	return Tuning{
		Window: 50 * time.Millisecond, MinStarts: 10, Extension: 150 * time.Millisecond, WindowCount: 4, Headroom: 1.1, ExcessDeviations: 1, FirstStepDivisor: 2, DoublingFree: 0.4, PropagationDelay: 100 * time.Millisecond, EarlyEndFree: 0.2,
		MinQueue: 8, QueueFactor: 1, MinSojourn: 50 * time.Millisecond, SojournFactor: 2, HoldWeight: 0.1,
		Samples: 32, SampleAge: 500 * time.Millisecond, MinSamples: 4, NeedQuantile: 0.8,
		ProbePeriod: 50 * time.Millisecond,
	}
}

// Option configures a [Queue].
type Option func(*Queue)

// WithTuning replaces the parameters of [DefaultTuning].
func WithTuning(t Tuning) Option {
	return func(q *Queue) { q.tuning = t }
}
