// Package kqslopes measures how a node's cost of control traffic grows with the
// fleet. It runs the gossip state machines (package kqspread) of whole fleets in
// one process in virtual time, measures the links between two nodes on loopback,
// and fits a line through each figure over the number of members.
//
// # Usage
//
//	report, err := kqslopes.Run(kqslopes.WithSizes(60, 240, 960, 3600))
//
// Encoded bytes are the CBOR that nodes send. Wire bytes are the packets that
// carry it, as counted on loopback, with 28 bytes of IP and UDP headers each.
// Processor time is that of the whole process, which includes the simulated
// network.
package kqslopes

import (
	"runtime"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrSlopes marks all errors that Run returns.
var ErrSlopes = errors.New("slopes can't be measured")

// Changes on an ordinary day, as the requirements state them.
const (
	changesPerDay      = 1800
	replacementsPerDay = 830
	failuresPerDay     = 5
	secondsPerDay      = 86400
)

// Report holds the measurements at all sizes and the lines fitted through them.
type Report struct {
	// At is the date of the run in UTC.
	At    string
	Go    string
	Cores int
	Seed  uint64
	Link  Link
	// Real checks the figures of Idle against real nodes.
	Real        Real
	Sizes       []Size
	Slopes      []Slope
	TookSeconds float64
}

// Size holds the measurements with one number of members.
type Size struct {
	Members int
	// Idle is the cost per node while nothing changes.
	Idle Spending
	// Configuration is the cost of one change of the configuration.
	Configuration Change
	// Replacement is the cost of one node that drains and leaves and of another
	// that joins.
	Replacement Change
	// Failure is the cost of one node that fails and of another that joins.
	Failure Change
	// Day is the cost per node at the rates of an ordinary day.
	Day Day
	// Memory is the heap of one node's view and gossip state machine.
	Memory Memory
	// Work is the processor time of single steps.
	Work Work
	// Restart is measured while all nodes start within a minute. Sizes above
	// RestartLimit are not run.
	Restart *Restart `json:",omitempty"`
	// LostDomain is the failure of all nodes of a failure domain, Split a network
	// partition that isolates one region, and Heal the recovery from it. Sizes
	// above RestartLimit are not run.
	LostDomain *Event `json:",omitempty"`
	Split      *Event `json:",omitempty"`
	Heal       *Event `json:",omitempty"`
}

// Spending is the cost of one node per second, as the mean of all nodes.
type Spending struct {
	Messages  float64
	Exchanges float64
	// EncodedBytes counts the bytes of CBOR that the node sends.
	EncodedBytes float64
	// WireBytes counts the bytes of the packets that it sends and receives.
	WireBytes float64
	// MachineMicros is the processor time of the gossip state machine, in
	// microseconds.
	MachineMicros float64
	// ProcessorPercent is the share of one core, including the links.
	ProcessorPercent float64
}

// Change is the cost of one change beyond idle spending.
type Change struct {
	PayloadBytes int `json:",omitempty"`
	// EncodedBytes and WireBytes are per node, as in Spending.
	EncodedBytes float64
	WireBytes    float64
	// SecondsToAll holds, for each trial, the time until all nodes knew of the
	// change: the new configuration, that the new node serves, or that the failed
	// node is not alive.
	SecondsToAll []float64
}

// Day is the cost of a node per second at the rates of an ordinary day.
type Day struct {
	WireBytes        float64
	ProcessorPercent float64
}

// Memory is the heap in use of one node, in total and per member of its view.
type Memory struct {
	BytesPerNode   uint64
	BytesPerMember uint64
}

// Work is the processor time of single steps, in microseconds.
type Work struct {
	// Snapshot builds the snapshot of the view that routing reads.
	Snapshot float64
	// Merge is the mean per record of decoding and merging a whole view.
	Merge float64
	// Tick is one periodic step of the gossip state machine.
	Tick float64
	// JoinBytes is the size of the whole view as sent to a joining node.
	JoinBytes int
}

// Restart holds the measurements while all nodes start within a minute.
type Restart struct {
	// SecondsToAll is from the first start until every view was complete.
	SecondsToAll        float64
	EncodedBytesPerNode float64
	// BusiestEncodedBytes is the mean per node in the busiest second.
	BusiestEncodedBytes float64
	StoreReads          int
	StoreWrites         int
	BusiestReads        int
	BusiestWrites       int
}

// RestartLimit is the largest number of members for which a restart, a split and
// a lost domain are run. The time that a restart takes to run grows with the
// square of the size.
const RestartLimit = 960

// settings of a run.
type settings struct {
	sizes []int
	seed  uint64
	now   func() time.Time
}

// Option changes the settings of a run.
type Option func(*settings)

// WithSizes sets the numbers of members.
func WithSizes(sizes ...int) Option {
	return func(s *settings) { s.sizes = sizes }
}

// WithSeed sets the seed of all random numbers.
func WithSeed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}

// Run measures each size and fits the slopes. Without options the sizes are 60,
// 240, 960 and 3600 members and the seed is 1. All errors are marked ErrSlopes.
func Run(options ...Option) (*Report, error) {
	s := &settings{sizes: []int{60, 240, 960, 3600}, seed: 1, now: time.Now}
	for _, o := range options {
		o(s)
	}
	start := s.now()
	report := &Report{At: start.UTC().Format(time.DateOnly), Go: runtime.Version(), Cores: runtime.NumCPU(), Seed: s.seed}
	link, err := measureLink()
	if err != nil {
		return nil, errors.Mark(err, ErrSlopes)
	}
	report.Link = *link
	check, err := measureReal(report.Link, s.seed)
	if err != nil {
		return nil, errors.Mark(err, ErrSlopes)
	}
	report.Real = *check
	for _, count := range s.sizes {
		size, err := measureSize(count, s.seed, report.Link)
		if err != nil {
			return nil, errors.Mark(err, ErrSlopes)
		}
		report.Sizes = append(report.Sizes, *size)
		runtime.GC()
	}
	report.Slopes = fitAll(report.Sizes)
	report.TookSeconds = s.now().Sub(start).Seconds()
	return report, nil
}
