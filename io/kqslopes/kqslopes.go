// Package kqslopes measures what a node spends on control as the fleet grows:
// it runs the spreading machines of whole fleets in one process in virtual
// time, and two nodes' links on loopback, and fits lines through the figures.
//
// # Usage
//
//	report, err := kqslopes.Run(kqslopes.WithSizes(60, 240, 960, 3600))
//
// Bytes are those of the CBOR that nodes send, and of the packets that carry
// it as counted on loopback, with 28 bytes of IP and UDP header each.
// Processor time is the whole process's, the fake network included.
package kqslopes

import (
	"runtime"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrSlopes marks all errors of this package.
var ErrSlopes = errors.New("slopes can't be measured")

// Load of an ordinary day, from the letter.
const (
	changesPerDay      = 1800
	replacementsPerDay = 830
	failuresPerDay     = 5
	secondsPerDay      = 86400
)

// Report is the result.
type Report struct {
	// At is the day of the run.
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

// Size is what was measured with one number of members.
type Size struct {
	Members int
	// Idle is a node's spending while nothing changes.
	Idle Spending
	// Configuration is what one change of the configuration costs.
	Configuration Change
	// Replacement is what it costs that one node leaves and another joins.
	Replacement Change
	// Failure is what it costs that one node dies and another joins.
	Failure Change
	// Day is a node's spending at the rates of an ordinary day.
	Day Day
	// Memory is the heap of one node's view and machine.
	Memory Memory
	// Work is the processor time of single steps.
	Work Work
	// Restart is the start of all nodes within a minute. Sizes above
	// RestartLimit are not run.
	Restart *Restart `json:",omitempty"`
	// LostDomain is the loss of a failure domain, Split that of the links of
	// one region, and Heal their return. Sizes above RestartLimit are not run.
	LostDomain *Event `json:",omitempty"`
	Split      *Event `json:",omitempty"`
	Heal       *Event `json:",omitempty"`
}

// Spending is what one node spends a second, as the mean of all nodes.
type Spending struct {
	Messages  float64
	Exchanges float64
	// EncodedBytes are the bytes of CBOR that the node sends.
	EncodedBytes float64
	// WireBytes are the bytes of packets that it sends and receives.
	WireBytes float64
	// MachineMicros is the processor time of the machine.
	MachineMicros float64
	// ProcessorPercent is the share of one core, the links included.
	ProcessorPercent float64
}

// Change is what one change costs.
type Change struct {
	PayloadBytes int `json:",omitempty"`
	// EncodedBytes and WireBytes are per node, as in Spending.
	EncodedBytes float64
	WireBytes    float64
	// SecondsToAll is until all nodes knew, over the trials: the change of the
	// configuration, that the new node serves, or that the dead one is dead.
	SecondsToAll []float64
}

// Day is a node's spending a second at the rates of an ordinary day.
type Day struct {
	WireBytes        float64
	ProcessorPercent float64
}

// Memory is heap in use.
type Memory struct {
	BytesPerNode   uint64
	BytesPerMember uint64
}

// Work is the processor time of single steps, in microseconds.
type Work struct {
	// Snapshot builds what call traffic reads.
	Snapshot float64
	// Merge takes in one record of a whole view.
	Merge float64
	// Neighbours chooses neighbours anew.
	Tick float64
	// JoinBytes is the whole view as it is sent to a node that joins.
	JoinBytes int
}

// Restart is the start of all nodes within a minute.
type Restart struct {
	// SecondsToAll is from the first start until every view was whole.
	SecondsToAll        float64
	EncodedBytesPerNode float64
	// BusiestEncodedBytes is a node's mean in the busiest second.
	BusiestEncodedBytes float64
	StoreReads          int
	StoreWrites         int
	BusiestReads        int
	BusiestWrites       int
}

// RestartLimit is the largest size whose restart is run: the time that it
// takes grows with the square of the size.
const RestartLimit = 960

// settings of a run.
type settings struct {
	sizes []int
	seed  uint64
	now   func() time.Time
}

// Option changes a run.
type Option func(*settings)

// WithSizes sets the numbers of members.
func WithSizes(sizes ...int) Option {
	return func(s *settings) { s.sizes = sizes }
}

// WithSeed sets the seed of all random numbers.
func WithSeed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}

// Run measures.
func Run(options ...Option) (*Report, error) {
	s := &settings{sizes: []int{60, 240, 960, 3600}, seed: 1, now: time.Now}
	for _, o := range options {
		o(s)
	}
	begun := s.now()
	report := &Report{At: begun.UTC().Format(time.DateOnly), Go: runtime.Version(), Cores: runtime.NumCPU(), Seed: s.seed}
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
	report.TookSeconds = s.now().Sub(begun).Seconds()
	return report, nil
}
