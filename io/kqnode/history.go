package kqnode

import (
	"sync"
	"time"

	"kumquatlink/io/kqlog"
)

// PathExplain gives, when a request ID follows it, an Explanation at the
// operator address.
const PathExplain = "/explain/"

// Bounds of the decisions that a node remembers.
const (
	// MaxHistoryBytes bounds their memory.
	MaxHistoryBytes = 8 << 20
	// recordBytes is what one decision needs besides its texts.
	recordBytes = 256
)

// RecordedDecision is a decision that a node remembers.
type RecordedDecision struct {
	At time.Time
	kqlog.Decision
}

// Explanation is what one node remembers of a request.
type Explanation struct {
	NodeID        string
	FailureDomain string
	RequestID     string
	// Since is when the oldest decision was made that the node remembers; it
	// says nothing about requests before.
	Since     time.Time
	Decisions []RecordedDecision
}

// history is a ring of recent decisions, bounded in bytes.
type history struct {
	mutex   sync.Mutex
	records []RecordedDecision
	head    int
	bytes   int
	limit   int
}

func newHistory() *history {
	return &history{limit: MaxHistoryBytes}
}

// add remembers a decision and forgets the oldest ones for which there is no
// room.
func (h *history) add(r RecordedDecision) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.records = append(h.records, r)
	h.bytes += sizeOf(r)
	for h.bytes > h.limit {
		h.bytes -= sizeOf(h.records[h.head])
		h.records[h.head] = RecordedDecision{}
		h.head++
	}
	if h.head > len(h.records)/2 {
		h.records = append([]RecordedDecision(nil), h.records[h.head:]...)
		h.head = 0
	}
}

func sizeOf(r RecordedDecision) int {
	n := recordBytes + len(r.RequestID) + len(r.Class) + len(r.Service) + len(r.Chosen)
	for _, o := range r.Others {
		n += len(o)
	}
	return n
}

// find gives the decisions about a request, oldest first.
func (h *history) find(requestID string) ([]RecordedDecision, time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var found []RecordedDecision
	for _, r := range h.records[h.head:] {
		if r.RequestID == requestID {
			found = append(found, r)
		}
	}
	if h.head == len(h.records) {
		return found, time.Time{}
	}
	return found, h.records[h.head].At
}

// recordDecision logs a decision, remembers it and counts it.
func (n *Node) recordDecision(d kqlog.Decision) {
	n.history.add(RecordedDecision{At: n.now(), Decision: d})
	n.log.Decision(d)
	n.countDecision(d)
}

// Explain gives what this node remembers of a request.
func (n *Node) Explain(requestID string) Explanation {
	decisions, since := n.history.find(requestID)
	return Explanation{
		NodeID: n.settings.NodeID, FailureDomain: n.settings.FailureDomain,
		RequestID: requestID, Since: since, Decisions: decisions,
	}
}
