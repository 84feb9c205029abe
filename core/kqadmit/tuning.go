package kqadmit

import "time"

// GuardInterval is how long before a refusal no less important call was let in, and
// how long after it none is.
const GuardInterval = 110 * time.Millisecond

// Bounds that no tuning changes.
const (
	// hardQueue bounds the waiting calls whatever the guard says.
	hardQueue = 4096
	// maxArrivals bounds the arrivals that one window remembers.
	maxArrivals = 8192
	// sweepPeriod is how often waiting calls are looked through at most.
	sweepPeriod = 5 * time.Millisecond
)

// Tuning holds the numbers that the queue's rules depend on.
type Tuning struct {
	// Window is the interval over which a queue must stand to count as one.
	Window time.Duration
	// MinStarts is how many calls must begin in a window with a standing
	// queue, or it goes on for up to Extension.
	MinStarts int
	Extension time.Duration
	// WindowCount is how many windows, the last one included, the cut is found from.
	WindowCount int
	// Headroom is the part of those windows' capacity that the cut lets in, so
	// that the queue never runs dry.
	Headroom float64
	// ExcessDeviations is how many standard deviations more than that must have come from
	// inside the cut for it to close further.
	ExcessDeviations float64
	// FirstStepDivisor divides a band of levels into the first step by which the
	// cut opens; the step doubles with every window in which slots stood free.
	FirstStepDivisor int
	// DoublingFree is the part of the slots that must stand free for the cut to
	// open by doubling steps. When fewer do, ToldDelay must pass between two
	// steps, since entries hear of each only by and by.
	DoublingFree     float64
	PropagationDelay time.Duration
	// EarlyEndFree is the part of a window's slot time that must have stood free,
	// with nothing waiting, for the window to end early.
	EarlyEndFree float64
	// MinQueue is the least number of calls that may wait, and QueuePart the
	// number as a part of the limit.
	MinQueue    int
	QueueFactor float64
	// MinSojourn is the least time after which a waiting call is given up, and
	// SojournHolds the same as a multiple of the mean time of a slot's use.
	MinSojourn    time.Duration
	SojournFactor float64
	// HoldWeight is the weight of one call in the mean time of a slot's use.
	HoldWeight float64
	// Samples is how many of the last calls of a class are remembered,
	// SampleAge when one is forgotten, and MinSamples how many are needed to
	// refuse by them.
	Samples    int
	SampleAge  time.Duration
	MinSamples int
	// NeedQuantile is the part of the remembered calls that a new one must
	// have time to be as slow as.
	NeedQuantile float64
	// ProbePeriod is how often a call is let try although it would miss.
	ProbePeriod time.Duration
}

// DefaultTuning is what gates use.
func DefaultTuning() Tuning {
	return Tuning{
		Window: 50 * time.Millisecond, MinStarts: 10, Extension: 150 * time.Millisecond, WindowCount: 4, Headroom: 1.1, ExcessDeviations: 1, FirstStepDivisor: 2, DoublingFree: 0.4, PropagationDelay: 100 * time.Millisecond, EarlyEndFree: 0.2,
		MinQueue: 8, QueueFactor: 1, MinSojourn: 50 * time.Millisecond, SojournFactor: 2, HoldWeight: 0.1,
		Samples: 32, SampleAge: 500 * time.Millisecond, MinSamples: 4, NeedQuantile: 0.8,
		ProbePeriod: 50 * time.Millisecond,
	}
}

// Option changes a queue.
type Option func(*Queue)

// WithTuning replaces the numbers that the rules depend on.
func WithTuning(t Tuning) Option {
	return func(q *Queue) { q.tuning = t }
}
