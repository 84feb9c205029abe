// Package kqstory reconstructs the trace of a request from the log lines of
// nodes, and counts the requests that failed.
//
// # Usage
//
//	lines, skipped, err := kqstory.Read(file)
//	trace := kqstory.BuildTrace(lines, "9c41d07be2a35f68")
//	err = trace.Write(os.Stdout)
//	err = kqstory.WriteSummary(os.Stdout, kqstory.CountFailures(lines))
//
// A [Trace] holds the request as a [Call] with its onward calls, and the events
// of the nodes that handled it. Lines of any number of nodes may be mixed. Text
// before the JSON object of a line, such as the prefix of a log collector, is
// ignored.
//
// The clocks of hosts differ, so a trace is ordered by causality: an entry's
// answer, then its tries, then the decisions of the gates, then the onward calls
// by their start time. The events are selected and ordered for each node by its
// own clock.
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

	"kumquatlink/core/kqcall"
)

// ErrRead marks errors of reading a log.
var ErrRead = errors.New("log can't be read")

// Kinds of decisions about calls.
const (
	decisionAnswer = "Answer"
	decisionRoute  = "Route"
	decisionAdmit  = "Admit"
)

// maxLineBytes is the maximum length of a line.
const maxLineBytes = 1 << 20

// The events of a node belong to a trace from eventsBefore before the node's first
// part in the request until eventsAfter after the last.
const (
	eventsBefore = 3 * time.Second
	eventsAfter  = 500 * time.Millisecond
)

// Line holds the fields of a log line that a trace needs.
type Line struct {
	Time          time.Time
	Level         string
	Node          string
	FailureDomain string
	// Message and Error are set in the line of an event.
	Message string
	Error   string
	// Decision and the following fields are set in the line of a decision.
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
	Team          string
	// Demand and Share are requests a second.
	Demand          float64
	Share           float64
	DemandAgeMicros int64
}

// Read reads log lines, and counts the lines that it skips because they hold no
// JSON object with the name of a node. An error is marked [ErrRead].
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

// Call holds the log lines of one call of a request: the answers of its entry,
// the tries that the entry routed, the decisions of the gates, and for the
// request itself its onward calls.
type Call struct {
	RequestID string
	Answers   []Line
	Routes    []Line
	Admits    []Line
	Calls     []*Call
}

// Trace holds everything that the log lines say about a request.
type Trace struct {
	RequestID string
	// Call is nil if no line has the ID of the request.
	Call *Call
	// Events lists the events of the nodes that handled the request, around that
	// time, ordered by node and time.
	Events []Line
}

// BuildTrace returns the trace of a request. For the ID of an onward call it
// returns the trace of the request for which that call was made.
func BuildTrace(lines []Line, requestID string) Trace {
	root := requestID
	for _, l := range lines {
		if l.RequestID == requestID && l.Root != "" {
			root = l.Root
		}
	}
	calls := map[string]*Call{}
	ranges := map[string]*timeRange{}
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
		extendRange(ranges, l)
	}
	t := Trace{RequestID: root, Call: calls[root], Events: eventsWithin(lines, ranges)}
	if t.Call == nil {
		return t
	}
	for _, id := range slices.Sorted(maps.Keys(calls)) {
		if id != root {
			t.Call.Calls = append(t.Call.Calls, calls[id])
		}
	}
	slices.SortStableFunc(t.Call.Calls, func(a, b *Call) int { return a.startTime().Compare(b.startTime()) })
	return t
}

// add adds the line of a decision.
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

// startTime returns the start of the call by its first line, or the zero time.
func (c *Call) startTime() time.Time {
	for _, list := range [][]Line{c.Answers, c.Routes, c.Admits} {
		if len(list) > 0 {
			return list[0].Time.Add(-microseconds(list[0].TookMicros))
		}
	}
	return time.Time{}
}

// timeRange is the time in which a node handled a request, by its own clock.
type timeRange struct {
	from, to time.Time
}

// extendRange extends the range of the line's node by the time of its decision.
func extendRange(ranges map[string]*timeRange, l Line) {
	from := l.Time.Add(-microseconds(l.TookMicros))
	s, found := ranges[l.Node]
	if !found {
		ranges[l.Node] = &timeRange{from, l.Time}
		return
	}
	if from.Before(s.from) {
		s.from = from
	}
	if l.Time.After(s.to) {
		s.to = l.Time
	}
}

// eventsWithin returns the events of nodes around their ranges, ordered by node
// and time.
func eventsWithin(lines []Line, ranges map[string]*timeRange) []Line {
	var events []Line
	for _, l := range lines {
		s, found := ranges[l.Node]
		if l.Decision == "" && found && l.Time.After(s.from.Add(-eventsBefore)) && l.Time.Before(s.to.Add(eventsAfter)) {
			events = append(events, l)
		}
	}
	slices.SortStableFunc(events, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), a.Time.Compare(b.Time))
	})
	return events
}

// Write writes the trace as text.
func (t Trace) Write(w io.Writer) error {
	var text strings.Builder
	if t.Call == nil {
		fmt.Fprintf(&text, "no log line mentions request %s: it was not read by any of these nodes, or its lines were dropped\n", t.RequestID)
	} else {
		t.Call.write(&text, "")
	}
	node := ""
	for _, l := range t.Events {
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
	return errors.Wrap(err, "write trace")
}

// write writes the call and, indented further, its onward calls.
func (c *Call) write(w *strings.Builder, indent string) {
	if len(c.Answers) == 0 {
		fmt.Fprintf(w, "%s%s: no entry has logged its answer\n", indent, c.RequestID)
	}
	for _, l := range c.Answers {
		caller := "class " + l.Class
		if l.Team != "" {
			caller += ", team " + l.Team
		}
		fmt.Fprintf(w, "%s%s, %s: %s answered %d after %s (%s), by routes %d\n", indent, c.RequestID, caller, l.Node, l.Status, microseconds(l.TookMicros), formatOutcome(l), l.RoutesVersion)
	}
	for _, l := range c.Routes {
		fmt.Fprintf(w, "%s  sent to %s for %s with %s left: %s after %s, load %s\n", indent, l.Chosen, l.Service, microseconds(l.LeftMicros), formatOutcome(l), microseconds(l.TookMicros), l.Load)
	}
	for _, l := range c.Admits {
		fmt.Fprintf(w, "%s  gate %s, server %s: %s after %s, %s of them in the queue, load %s\n", indent, l.Node, cmp.Or(l.Chosen, "none"), formatOutcome(l), microseconds(l.TookMicros), microseconds(l.QueuedMicros), l.Load)
	}
	for _, o := range c.Calls {
		o.write(w, indent+"  ")
	}
}

// keyReasons explains the causes that concern the keys of teams.
var keyReasons = map[string]string{
	string(kqcall.CauseUnknownKey): "no team holds the key by these routes",
	string(kqcall.CauseQuota):      "the team is over its quota",
}

// formatOutcome returns the outcome and cause of a decision and their details.
func formatOutcome(l Line) string {
	text := l.Outcome + " " + l.Cause
	if l.Behind != "" {
		text += ", for " + l.Behind + " as reported " + microseconds(l.AgeMicros).String() + " ago"
	}
	if l.Share > 0 {
		text += fmt.Sprintf(", the team sends %.0f requests/s and its fair share is %.0f, as known %s ago", l.Demand, l.Share, microseconds(l.DemandAgeMicros))
	}
	if reason, found := keyReasons[l.Cause]; found {
		text += ", " + reason
	}
	if l.Detail != "" {
		text += ", " + l.Detail
	}
	return text
}

// microseconds returns a duration, rounded to 0.1 ms.
func microseconds(n int64) time.Duration {
	return (time.Duration(n) * time.Microsecond).Round(100 * time.Microsecond)
}

// FailureCount counts the failed answers of the same class, service, status,
// outcome and cause.
type FailureCount struct {
	Class   string
	Service string
	Status  int
	Outcome string
	Cause   string
	Number  int
	// First and Last are the times of the first and the last such answer, by the
	// clocks of the nodes that logged them.
	First time.Time
	Last  time.Time
	// Example is the request ID of the first such answer.
	Example string
	// Nodes counts the answers by the upstream that was tried last.
	Nodes map[string]int
}

// CountFailures counts the answers of all entries with a status outside of 200 to
// 399, the most frequent first.
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

// WriteSummary writes the counts as a table.
func WriteSummary(w io.Writer, counts []*FailureCount) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%6s %6s %-22s %-12s %-14s %-12s %-12s %-28s %s\n", "number", "status", "ending", "class", "service", "first", "last", "most often at", "example")
	for _, c := range counts {
		fmt.Fprintf(&text, "%6d %6d %-22s %-12s %-14s %-12s %-12s %-28s %s\n", c.Number, c.Status, c.Outcome+" "+c.Cause, c.Class, c.Service,
			c.First.Format("15:04:05.000"), c.Last.Format("15:04:05.000"), c.topUpstream(), c.Example)
	}
	_, err := io.WriteString(w, text.String())
	return errors.Wrap(err, "write summary")
}

// topUpstream returns the upstream that was tried last most often, with its count,
// or "-" if there is none.
func (c *FailureCount) topUpstream() string {
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
