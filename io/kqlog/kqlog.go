// Package kqlog writes the node's JSON log lines, one for each routing or
// placement decision, without holding up the call that decided.
//
// # Usage
//
//	log := kqlog.New(os.Stdout, kqlog.WithNode("node-1", "lothian-a"))
//	log.Decision(kqlog.Decision{RequestID: id, Decision: "Route", Chosen: peer})
//	log.Close()
//
// Lines are queued and written by one goroutine. A line that finds the queue
// full is counted, and the count is written as a line of its own. With
// [WithBudget], the lines of a second are bounded as well: when they come near
// the bound, ordinary decisions of more and more requests are left out, whole
// requests at a time, so that failures, refusals and beliefs still find room.
package kqlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const defaultQueueLength = 8192

// timeFormat is RFC 3339 in UTC with microseconds.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// init names the library's own fields as all others are named.
func init() {
	zerolog.LevelFieldName = "Level"
	zerolog.MessageFieldName = "Message"
	zerolog.ErrorFieldName = "Error"
	zerolog.TimeFieldFormat = timeFormat
}

// Decision is one routing or placement decision.
type Decision struct {
	RequestID string
	// Root is the ID of the request for which the call was made, if it is
	// another than RequestID.
	Root    string
	Class   string
	Service string
	// Decision names what was decided, such as "Route" or "Admit".
	Decision string
	Cause    string
	Outcome  string
	// Chosen is what was chosen, and Others what else was possible.
	Chosen string
	Others []string
	Took   time.Duration
	// Left is the time that the request had left, and Queued how long it
	// waited for a slot.
	Left   time.Duration
	Queued time.Duration
	// Load is what was known of the load of what was chosen.
	Load string
	// Version is that of the routes by which it was decided, or 0.
	Version int64
	// Status is the HTTP status of the answer, or 0.
	Status int
	// Behind is the service whose gates hold back calls like this one, for
	// which it was refused, and Age how old the word of that is; or empty.
	Behind string
	Age    time.Duration
	// Detail is the text of an error or a further reason, or empty.
	Detail string
}

// FieldDescription tells what a field of a line holds.
type FieldDescription struct {
	Name        string
	Description string
}

// CommonFields are the fields that every line has.
func CommonFields() []FieldDescription {
	return []FieldDescription{
		{"Level", "debug, info, warn or error"},
		{"Node", "the node that wrote the line"},
		{"FailureDomain", "where its host stands"},
		{"Time", "when it was decided, by the node's clock, RFC 3339 in UTC with microseconds"},
	}
}

// DecisionFields are the fields of a decision about a request. Those up to
// TookMicros stand on every such line, the others where they apply.
func DecisionFields() []FieldDescription {
	return []FieldDescription{
		{"Decision", "Answer: the entry's final answer; Route: a try that the entry sent to a gate; Admit: what a gate did"},
		{"RequestID", "the ID that the caller gave"},
		{"Class", "the route of the request for which the call was made"},
		{"Service", "the service that is called"},
		{"Cause", "why it ended so, see OPERATIONS.md"},
		{"Outcome", "ran, not-run or unknown"},
		{"Chosen", "the node that was tried, or the backend server that ran it"},
		{"Others", "the nodes that were tried, in their order"},
		{"TookMicros", "from the call's arrival to this decision"},
		{"Root", "the ID of the request for which the call was made, if it is another"},
		{"LeftMicros", "the time that the call had left"},
		{"QueuedMicros", "the time that it waited for a slot"},
		{"Load", "the gate's calls when it answered: running, waiting, and its slots"},
		{"RoutesVersion", "the version of the routes by which it was decided"},
		{"Status", "the HTTP status that the caller or the entry got"},
		{"Behind", "the service whose gates hold back calls like it, for which it was refused"},
		{"AgeMicros", "how long ago one of those gates told of that"},
		{"Detail", "the text of an error, or why no other server was handed the call"},
	}
}

// addTo adds the fields that not every decision has.
func (d Decision) addTo(e *zerolog.Event) *zerolog.Event {
	if d.Root != "" {
		e = e.Str("Root", d.Root)
	}
	if d.Left != 0 {
		e = e.Int64("LeftMicros", d.Left.Microseconds())
	}
	if d.Queued != 0 {
		e = e.Int64("QueuedMicros", d.Queued.Microseconds())
	}
	if d.Load != "" {
		e = e.Str("Load", d.Load)
	}
	if d.Version != 0 {
		e = e.Int64("RoutesVersion", d.Version)
	}
	if d.Status != 0 {
		e = e.Int("Status", d.Status)
	}
	if d.Behind != "" {
		e = e.Str("Behind", d.Behind).Int64("AgeMicros", d.Age.Microseconds())
	}
	if d.Detail != "" {
		e = e.Str("Detail", d.Detail)
	}
	return e
}

// Log is a node's log.
type Log struct {
	logger  zerolog.Logger
	queue   chan func()
	dropped atomic.Int64
	done    chan struct{}
	closing sync.RWMutex
	closed  bool
	level   zerolog.Level
	budget  *budget
}

// Option changes a log.
type Option func(*options)

type options struct {
	node   string
	domain string
	level  zerolog.Level
	queue  int
	lines  int
}

// WithNode names the node and its failure domain on every line.
func WithNode(nodeID, failureDomain string) Option {
	return func(o *options) { o.node, o.domain = nodeID, failureDomain }
}

// WithLevel sets the lowest level that is written.
func WithLevel(l zerolog.Level) Option {
	return func(o *options) { o.level = l }
}

// WithQueueLength sets how many lines may wait.
func WithQueueLength(n int) Option {
	return func(o *options) { o.queue = n }
}

// WithBudget bounds the decisions that are written in a second; events are
// always written.
func WithBudget(linesPerSecond int) Option {
	return func(o *options) { o.lines = linesPerSecond }
}

// New starts a log.
func New(w io.Writer, opts ...Option) *Log {
	o := options{level: zerolog.InfoLevel, queue: defaultQueueLength}
	for _, f := range opts {
		f(&o)
	}
	logger := zerolog.New(w).Level(o.level).With().Str("Node", o.node).Str("FailureDomain", o.domain).Logger()
	l := &Log{logger: logger, queue: make(chan func(), o.queue), done: make(chan struct{}), level: o.level, budget: newBudget(o.lines)}
	go l.write()
	return l
}

// Discard starts a log that nobody reads.
func Discard() *Log {
	return New(io.Discard, WithLevel(zerolog.Disabled))
}

// Dropped is how many lines found the queue full.
func (l *Log) Dropped() int64 {
	return l.dropped.Load()
}

// closeTime is how long the lines that are queued may take to be written at the
// end of a process. A reader that has stalled takes none.
const closeTime = 300 * time.Millisecond

// Close writes what is queued and stops.
func (l *Log) Close() {
	l.closing.Lock()
	defer l.closing.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	close(l.queue)
	written := time.NewTimer(closeTime)
	defer written.Stop()
	select {
	case <-l.done:
	case <-written.C:
	}
}

// Decision logs a decision.
func (l *Log) Decision(d Decision) {
	if l.level > zerolog.InfoLevel {
		return
	}
	at := time.Now().UTC()
	if !l.budget.admits(d, at) {
		l.dropped.Add(1)
		return
	}
	l.enqueue(func() {
		e := l.logger.Info().Time("Time", at).Str("Decision", d.Decision).Str("RequestID", d.RequestID)
		e = e.Str("Class", d.Class).Str("Service", d.Service).Str("Cause", d.Cause).Str("Outcome", d.Outcome)
		e = e.Str("Chosen", d.Chosen).Strs("Others", d.Others).Int64("TookMicros", d.Took.Microseconds())
		d.addTo(e).Send()
	})
}

// EventKind is one kind of event: what a node may log besides decisions.
type EventKind struct {
	// Name stands in the line's field "Event".
	Name  string
	Level zerolog.Level
	// Description says when it is logged, as a sentence.
	Description string
	// Fields are the names of the fields that its lines have.
	Fields []string
}

// Field is a field of an event.
type Field struct {
	Name  string
	value func(*zerolog.Event, string) *zerolog.Event
}

// Text is a field that holds a text.
func Text(name, value string) Field {
	return Field{name, func(e *zerolog.Event, name string) *zerolog.Event { return e.Str(name, value) }}
}

// Number is a field that holds a whole number.
func Number[N int64 | uint64](name string, value N) Field {
	return Field{name, func(e *zerolog.Event, name string) *zerolog.Event { return e.Int64(name, int64(value)) }}
}

// Micros is a field that holds a time in microseconds.
func Micros(name string, value time.Duration) Field {
	return Number(name, value.Microseconds())
}

// TypedEvent logs an event of a kind. The message tells people what the fields tell
// programs.
func (l *Log) TypedEvent(k EventKind, message string, err error, fields ...Field) {
	if k.Level < l.level {
		return
	}
	at := time.Now().UTC()
	l.enqueue(func() {
		e := l.logger.WithLevel(k.Level).Time("Time", at).Str("Event", k.Name)
		for _, f := range fields {
			e = f.value(e, f.Name)
		}
		e.Err(err).Msg(message)
	})
}

// Event logs something other than a decision.
func (l *Log) Event(level zerolog.Level, message string, err error) {
	if level < l.level {
		return
	}
	at := time.Now().UTC()
	l.enqueue(func() {
		l.logger.WithLevel(level).Time("Time", at).Err(err).Msg(message)
	})
}

func (l *Log) enqueue(line func()) {
	l.closing.RLock()
	defer l.closing.RUnlock()
	if l.closed {
		l.dropped.Add(1)
		return
	}
	select {
	case l.queue <- line:
	default:
		l.dropped.Add(1)
	}
}

func (l *Log) write() {
	defer close(l.done)
	reported := int64(0)
	for line := range l.queue {
		line()
		if n := l.dropped.Load(); n != reported && len(l.queue) == 0 {
			l.logger.Warn().Time("Time", time.Now().UTC()).Int64("Dropped", n-reported).Msg("log lines were dropped")
			reported = n
		}
	}
}
