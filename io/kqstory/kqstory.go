// Package kqstory tells what became of a request from the log lines of nodes
// alone, and sums up what failed.
//
// # Usage
//
//	lines, skipped, err := kqstory.Read(file)
//	trace := kqstory.BuildTrace(lines, "9c41d07be2a35f68")
//	err = trace.Write(os.Stdout)
//	err = kqstory.WriteSummary(os.Stdout, kqstory.CountFailures(lines))
//
// Lines of any number of nodes may stand in any order, and text before the
// JSON object of a line, as collectors add it, is passed over. Clocks of hosts
// differ, so a story is ordered by which decision led to which, and times are
// only compared within one node.
package kqstory

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrRead marks logs that can't be read.
var ErrRead = errors.New("log can't be read")

// Decisions about calls.
const (
	decisionAnswer = "Answer"
	decisionRoute  = "Route"
	decisionAdmit  = "Admit"
)

// maxLineBytes bounds one line.
const maxLineBytes = 1 << 20

// Times around a request in which a node's events are told.
const (
	eventsBefore = 3 * time.Second
	eventsAfter  = 500 * time.Millisecond
)

// Line is one line of a log, of the fields that a story needs.
type Line struct {
	Time          time.Time
	Level         string
	Node          string
	FailureDomain string
	// Message and Error are those of an event.
	Message string
	Error   string
	// Decision and the rest are those of a decision.
	Decision      string
	RequestID     string
	Root          string
	Class         string
	Service       string
	Cause         string
	Outcome       string
	Chosen        string
	Others        []string
	TookMicros    int64
	LeftMicros    int64
	QueuedMicros  int64
	Load          string
	RoutesVersion int64
	Status        int
	Behind        string
	AgeMicros     int64
	Detail        string
}

// Read reads log lines and counts those that are none.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		at := bytes.IndexByte(s.Bytes(), '{')
		if at < 0 {
			skipped++
			continue
		}
		var l Line
		if err := json.Unmarshal(s.Bytes()[at:], &l); err != nil || l.Node == "" {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	return lines, skipped, errors.Mark(errors.Wrap(s.Err(), "read log"), ErrRead)
}

// Call is one call of a request: the answer of its entry, the tries that the
// entry made, what the gates said of them, and the onward calls.
type Call struct {
	RequestID string
	Answers   []Line
	Routes    []Line
	Admits    []Line
	Calls     []*Call
}

// Trace is what became of a request.
type Trace struct {
	RequestID string
	// Call is nil when no line tells of the request.
	Call *Call
	// Events are what the nodes concerned noted around it, by node.
	Events []Line
}

// BuildTrace finds the story of a request, or of the one that it is a call of.
func BuildTrace(lines []Line, requestID string) Trace {
	root := requestID
	for _, l := range lines {
		if l.RequestID == requestID && l.Root != "" {
			root = l.Root
		}
	}
	calls := map[string]*Call{}
	spans := map[string]*span{}
	for _, l := range lines {
		if l.Decision == "" || l.RequestID != root && l.Root != root {
			continue
		}
		c, found := calls[l.RequestID]
		if !found {
			c = &Call{RequestID: l.RequestID}
			calls[l.RequestID] = c
		}
		c.add(l)
		note(spans, l)
	}
	s := Trace{RequestID: root, Call: calls[root], Events: eventsWithin(lines, spans)}
	if s.Call == nil {
		return s
	}
	for _, id := range slices.Sorted(maps.Keys(calls)) {
		if id != root {
			s.Call.Calls = append(s.Call.Calls, calls[id])
		}
	}
	slices.SortStableFunc(s.Call.Calls, func(a, b *Call) int { return a.began().Compare(b.began()) })
	return s
}

func (c *Call) add(l Line) {
	switch l.Decision {
	case decisionAnswer:
		c.Answers = append(c.Answers, l)
	case decisionRoute:
		c.Routes = append(c.Routes, l)
	case decisionAdmit:
		c.Admits = append(c.Admits, l)
	}
}

// began is when the call's first line says that it began.
func (c *Call) began() time.Time {
	for _, list := range [][]Line{c.Answers, c.Routes, c.Admits} {
		if len(list) > 0 {
			return list[0].Time.Add(-micros(list[0].TookMicros))
		}
	}
	return time.Time{}
}

// span is the time in which a node had to do with a request, by its own clock.
type span struct {
	from, to time.Time
}

func note(spans map[string]*span, l Line) {
	from := l.Time.Add(-micros(l.TookMicros))
	s, found := spans[l.Node]
	if !found {
		spans[l.Node] = &span{from, l.Time}
		return
	}
	if from.Before(s.from) {
		s.from = from
	}
	if l.Time.After(s.to) {
		s.to = l.Time
	}
}

func eventsWithin(lines []Line, spans map[string]*span) []Line {
	var events []Line
	for _, l := range lines {
		s, found := spans[l.Node]
		if l.Decision == "" && found && l.Time.After(s.from.Add(-eventsBefore)) && l.Time.Before(s.to.Add(eventsAfter)) {
			events = append(events, l)
		}
	}
	slices.SortStableFunc(events, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), a.Time.Compare(b.Time))
	})
	return events
}

// Write tells the story as text.
func (s Trace) Write(w io.Writer) error {
	var text strings.Builder
	if s.Call == nil {
		fmt.Fprintf(&text, "no line tells of request %s: it was not read by any of these nodes, or its lines were left out for want of room\n", s.RequestID)
	} else {
		s.Call.write(&text, "")
	}
	node := ""
	for _, l := range s.Events {
		if l.Node != node {
			fmt.Fprintf(&text, "around it, by the clock of %s:\n", l.Node)
			node = l.Node
		}
		fmt.Fprintf(&text, "  %s %s %s", l.Time.Format("15:04:05.000"), l.Level, l.Message)
		if l.Error != "" {
			fmt.Fprintf(&text, ": %s", l.Error)
		}
		text.WriteByte('\n')
	}
	_, err := io.WriteString(w, text.String())
	return errors.Wrap(err, "write story")
}

func (c *Call) write(w *strings.Builder, indent string) {
	if len(c.Answers) == 0 {
		fmt.Fprintf(w, "%s%s: no entry tells of its answer\n", indent, c.RequestID)
	}
	for _, l := range c.Answers {
		fmt.Fprintf(w, "%s%s, class %s: %s answered %d after %s (%s), by routes %d\n", indent, c.RequestID, l.Class, l.Node, l.Status, micros(l.TookMicros), ending(l), l.RoutesVersion)
	}
	for _, l := range c.Routes {
		fmt.Fprintf(w, "%s  sent to %s for %s with %s left: %s after %s, load %s\n", indent, l.Chosen, l.Service, micros(l.LeftMicros), ending(l), micros(l.TookMicros), l.Load)
	}
	for _, l := range c.Admits {
		fmt.Fprintf(w, "%s  gate %s, server %s: %s after %s, %s of them in the queue, load %s\n", indent, l.Node, cmp.Or(l.Chosen, "none"), ending(l), micros(l.TookMicros), micros(l.QueuedMicros), l.Load)
	}
	for _, o := range c.Calls {
		o.write(w, indent+"  ")
	}
}

func ending(l Line) string {
	text := l.Outcome + " " + l.Cause
	if l.Behind != "" {
		text += ", for " + l.Behind + " as told " + micros(l.AgeMicros).String() + " ago"
	}
	if l.Detail != "" {
		text += ", " + l.Detail
	}
	return text
}

func micros(n int64) time.Duration {
	return (time.Duration(n) * time.Microsecond).Round(100 * time.Microsecond)
}

// FailureCount is how often requests were answered in one way.
type FailureCount struct {
	Class   string
	Service string
	Status  int
	Outcome string
	Cause   string
	Number  int
	// First and Last are the times of the first and the last, by the clocks of
	// the nodes that told of them.
	First time.Time
	Last  time.Time
	// Example is the ID of the first.
	Example string
	// Nodes are the upstreams that were chosen last, with how often each was.
	Nodes map[string]int
}

// CountFailures counts the answers of all entries that were not a success, the most
// frequent first.
func CountFailures(lines []Line) []*FailureCount {
	type key struct {
		class, service, outcome, cause string
		status                         int
	}
	counts := map[key]*FailureCount{}
	for _, l := range lines {
		if l.Decision != decisionAnswer || l.Status >= 200 && l.Status < 400 {
			continue
		}
		k := key{l.Class, l.Service, l.Outcome, l.Cause, l.Status}
		c, found := counts[k]
		if !found {
			c = &FailureCount{
				Class: l.Class, Service: l.Service, Status: l.Status, Outcome: l.Outcome, Cause: l.Cause,
				First: l.Time, Last: l.Time, Example: l.RequestID, Nodes: map[string]int{},
			}
			counts[k] = c
		}
		c.Number++
		if l.Time.Before(c.First) {
			c.First, c.Example = l.Time, l.RequestID
		}
		if l.Time.After(c.Last) {
			c.Last = l.Time
		}
		if len(l.Others) > 0 {
			c.Nodes[l.Others[len(l.Others)-1]]++
		}
	}
	list := slices.Collect(maps.Values(counts))
	slices.SortFunc(list, func(a, b *FailureCount) int {
		return cmp.Or(cmp.Compare(b.Number, a.Number), strings.Compare(a.Class+a.Service+a.Cause, b.Class+b.Service+b.Cause), cmp.Compare(a.Status, b.Status))
	})
	return list
}

// WriteSummary writes counts as a table.
func WriteSummary(w io.Writer, counts []*FailureCount) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%6s %6s %-22s %-12s %-14s %-12s %-12s %-28s %s\n", "number", "status", "ending", "class", "service", "first", "last", "most often at", "example")
	for _, c := range counts {
		fmt.Fprintf(&text, "%6d %6d %-22s %-12s %-14s %-12s %-12s %-28s %s\n", c.Number, c.Status, c.Outcome+" "+c.Cause, c.Class, c.Service,
			c.First.Format("15:04:05.000"), c.Last.Format("15:04:05.000"), c.mostOften(), c.Example)
	}
	_, err := io.WriteString(w, text.String())
	return errors.Wrap(err, "write summary")
}

func (c *FailureCount) mostOften() string {
	best := ""
	for _, n := range slices.Sorted(maps.Keys(c.Nodes)) {
		if best == "" || c.Nodes[n] > c.Nodes[best] {
			best = n
		}
	}
	if best == "" {
		return "-"
	}
	return fmt.Sprintf("%s (%d)", best, c.Nodes[best])
}
