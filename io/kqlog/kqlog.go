// Package kqlog writes the node's log as JSON lines: one for each decision about
// a call, and one for each event of the node. Logging never blocks the caller.
//
// # Usage
//
//	log := kqlog.New(os.Stdout, kqlog.WithNode("node-1", "lothian-a"))
//	log.Decision(kqlog.Decision{RequestID: id, Decision: "Route", Chosen: peer})
//	log.Close()
//
// Lines are queued and written by one goroutine. A line that does not fit into
// the queue is dropped and counted, and the count is logged later.
//
// [WithBudget] also limits the rate of decision lines. As the rate comes near
// the limit, the lines of successful calls are sampled: more and more requests
// are left out, each with all its lines, so that failures, refusals and unknown
// outcomes are still logged.
package kqlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// defaultQueueLength is in lines.
const defaultQueueLength = 8192

// timeFormat is RFC 3339 in UTC with microseconds.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// init gives the fields that zerolog writes itself names in the case of all other
// fields.
func init() {
	zerolog.LevelFieldName = "Level"
	zerolog.MessageFieldName = "Message"
	zerolog.ErrorFieldName = "Error"
	zerolog.TimeFieldFormat = timeFormat
}

// Decision is a decision about a call: a routing try, an admission or an answer.
type Decision struct {
	RequestID string
	// Root is the ID of the request for which the call was made, if it differs
	// from RequestID.
	Root    string
	Class   string
	Service string
	// Decision is the kind of decision, such as "Route" or "Admit".
	Decision string
	Cause    string
	Outcome  string
	// Chosen is the node or backend server that was chosen, and Others lists the
	// further nodes of the decision.
	Chosen string
	Others []string
	Took   time.Duration
	// Left is the time that remained until the call's deadline, and Queued the
	// time that the call waited for a slot.
	Left   time.Duration
	Queued time.Duration
	// Load is the last known load of the chosen node or backend server.
	Load string
	// Version is the version of the routes that the decision used, or 0.
	Version int64
	// Status is the HTTP status of the answer, or 0.
	Status int
	// Behind is the downstream service whose gates refuse calls like this one, if
	// the call was refused for that reason, and Age the age of the report of that.
	Behind string
	Age    time.Duration
	// Detail is the text of an error, a further reason, or empty.
	Detail string
	// Team is the team whose key the caller gave, or empty.
	Team string
	// Demand is how many requests a second the team sends through all nodes, if the call
	// was refused because that is more than its share. Share is how many a second
	// would be served, and DemandAge the age of the figures.
	Demand    float64
	Share     float64
	DemandAge time.Duration
}

// FieldDescription describes a field of a log line, for the reference page.
type FieldDescription struct {
	Name        string
	Description string
}

// CommonFields describes the fields of every line.
func CommonFields() []FieldDescription {
	return []FieldDescription{
		{"Level", "debug, info, warn or error"},
		{"Node", "the node that wrote the line"},
		{"FailureDomain", "the failure domain of the node's host"},
		{"Time", "time of the decision or event by the node's clock, RFC 3339 in UTC with microseconds"},
	}
}

// DecisionFields describes the fields of a decision. The fields up to TookMicros
// are on every such line, the others only where they apply.
func DecisionFields() []FieldDescription {
	return []FieldDescription{
		{"Decision", "Answer: the entry's final answer; Route: a try that the entry sent to a gate; Admit: what a gate did"},
		{"RequestID", "the ID that the caller gave"},
		{"Class", "the route of the request for which the call was made"},
		{"Service", "the service that is called"},
		{"Cause", "cause of the outcome, see OPERATIONS.md"},
		{"Outcome", "ran, not-run or unknown"},
		{"Chosen", "the node that was tried, or the backend server that ran it"},
		{"Others", "the nodes that were tried, in their order"},
		{"TookMicros", "time from the call's arrival to this decision"},
		{"Root", "the ID of the request for which the call was made, if it differs from RequestID"},
		{"LeftMicros", "the time that remained until the call's deadline"},
		{"QueuedMicros", "the time that the call waited for a slot"},
		{"Load", "load of the gate when it answered: calls that run, calls that wait, and slots"},
		{"RoutesVersion", "the version of the routes that the decision used"},
		{"Status", "the HTTP status that the caller or the entry received"},
		{"Behind", "the downstream service whose gates refuse calls like this one, if it was refused for that reason"},
		{"AgeMicros", "time since one of those gates reported that"},
		{"Detail", "the text of an error, or why the call was not sent to another backend server"},
		{"Team", "the team whose key the caller gave; never the key"},
		{"Demand", "requests a second that the team sends through all nodes, if it was refused for more than its fair share"},
		{"Share", "requests a second of a team that are served in full while so few are"},
		{"DemandAgeMicros", "age of these figures"},
	}
}

// addTo adds the optional fields that the decision has.
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
	if d.Team != "" {
		e = e.Str("Team", d.Team)
	}
	if d.Share > 0 {
		e = e.Float64("Demand", d.Demand).Float64("Share", d.Share).Int64("DemandAgeMicros", d.DemandAge.Microseconds())
	}
	return e
}

// Log is a node's log. It is safe for concurrent use.
type Log struct {
	logger     zerolog.Logger
	queue      chan func()
	dropped    atomic.Int64
	done       chan struct{}
	closeMutex sync.RWMutex
	closed     bool
	level      zerolog.Level
	budget     *budget
}

// Option configures a [Log].
type Option func(*options)

type options struct {
	node   string
	domain string
	level  zerolog.Level
	queue  int
	lines  int
}

// WithNode adds the node and its failure domain to every line.
func WithNode(nodeID, failureDomain string) Option {
	return func(o *options) { o.node, o.domain = nodeID, failureDomain }
}

// WithLevel sets the lowest level that is written; the default is info.
func WithLevel(l zerolog.Level) Option {
	return func(o *options) { o.level = l }
}

// WithQueueLength sets how many lines may wait to be written.
func WithQueueLength(n int) Option {
	return func(o *options) { o.queue = n }
}

// WithBudget limits the decisions that are written, in lines per second. Events
// do not count. A limit of 0 or less means none.
func WithBudget(linesPerSecond int) Option {
	return func(o *options) { o.lines = linesPerSecond }
}

// New starts a log that writes to w.
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

// Discard starts a log that writes nothing.
func Discard() *Log {
	return New(io.Discard, WithLevel(zerolog.Disabled))
}

// Dropped returns the number of lines that were not written because the queue
// was full, the budget was exhausted or the log was closed.
func (l *Log) Dropped() int64 {
	return l.dropped.Load()
}

// closeTimeout bounds how long Close waits for the queued lines at the end of a
// process. If the reader of the output has stalled, they can't be written.
const closeTimeout = 300 * time.Millisecond

// Close stops the log and waits for a short time for the queued lines to be
// written. Later lines are dropped.
func (l *Log) Close() {
	l.closeMutex.Lock()
	defer l.closeMutex.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	close(l.queue)
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-l.done:
	case <-timer.C:
	}
}

// Decision logs a decision at level info, if the budget allows it.
func (l *Log) Decision(d Decision) {
	if l.level > zerolog.InfoLevel {
		return
	}
	at := time.Now().UTC()
	if !l.budget.allow(d, at) {
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

// EventKind describes a kind of event that a node logs.
type EventKind struct {
	// Name is the value of the line's field "Event".
	Name  string
	Level zerolog.Level
	// Description states when the event is logged, as a sentence.
	Description string
	// Fields lists the names of the event's fields.
	Fields []string
}

// Field is a field of an event.
type Field struct {
	Name  string
	value func(*zerolog.Event, string) *zerolog.Event
}

// Text returns a field that holds a string.
func Text(name, value string) Field {
	return Field{name, func(e *zerolog.Event, name string) *zerolog.Event { return e.Str(name, value) }}
}

// Number returns a field that holds an integer.
func Number[N int64 | uint64](name string, value N) Field {
	return Field{name, func(e *zerolog.Event, name string) *zerolog.Event { return e.Int64(name, int64(value)) }}
}

// Micros returns a field that holds a duration in microseconds.
func Micros(name string, value time.Duration) Field {
	return Number(name, value.Microseconds())
}

// TypedEvent logs an event of the given kind. The message is for people, the
// fields hold the same facts for programs. The error may be nil.
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

// Event logs a message without a kind. The error may be nil.
func (l *Log) Event(level zerolog.Level, message string, err error) {
	if level < l.level {
		return
	}
	at := time.Now().UTC()
	l.enqueue(func() {
		l.logger.WithLevel(level).Time("Time", at).Err(err).Msg(message)
	})
}

// enqueue queues a line, or drops it if the queue is full or the log is closed.
func (l *Log) enqueue(line func()) {
	l.closeMutex.RLock()
	defer l.closeMutex.RUnlock()
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

// write writes queued lines until the queue is closed. Whenever it is empty,
// write logs how many lines were dropped since the last such report.
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
