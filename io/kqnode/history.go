package kqnode

import (
	"sync"
	"time"

	"kumquatlink/io/kqlog"
)

// PathExplain is the path prefix at the operator address. Followed by a request
// ID, it returns an [Explanation] in JSON.
const PathExplain = "/explain/"

// Memory of the decisions that a node remembers.
const (
	// MaxHistoryBytes is the limit of that memory, in bytes.
	MaxHistoryBytes = 8 << 20
	// decisionBaseBytes is the estimated size of a decision without its strings.
	decisionBaseBytes = 256
)

// RecordedDecision is a decision and the time at which the node recorded it.
type RecordedDecision struct {
	At time.Time
	kqlog.Decision
}

// Explanation holds the decisions about a request that one node remembers.
type Explanation struct {
	NodeID        string
	FailureDomain string
	RequestID     string
	// Since is the time of the oldest decision, about any request, that the node
	// remembers. Earlier decisions are lost, so an empty list says nothing about
	// an earlier request. Since is zero if the node remembers no decision.
	Since time.Time
	// Decisions are the decisions about the request, oldest first.
	Decisions []RecordedDecision
}

// history holds the most recent decisions, up to a limit in bytes. It is safe for
// concurrent use.
type history struct {
	mutex sync.Mutex
	// records holds the decisions, oldest first, from index head on.
	records []RecordedDecision
	head    int
	bytes   int
	limit   int
}

func newHistory() *history {
	return &history{limit: MaxHistoryBytes}
}

// add appends a decision, and drops the oldest ones while the limit is exceeded.
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

// sizeOf estimates the memory of a decision, in bytes.
func sizeOf(r RecordedDecision) int {
	n := decisionBaseBytes + len(r.RequestID) + len(r.Class) + len(r.Service) + len(r.Chosen)
	for _, o := range r.Others {
		n += len(o)
	}
	return n
}

// find returns the decisions about a request, oldest first, and the time of the
// oldest decision about any request. The time is zero if the history is empty.
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

// recordDecision adds a decision to the history, logs it, and counts it in the
// metrics.
func (n *Node) recordDecision(d kqlog.Decision) {
	n.history.add(RecordedDecision{At: n.now(), Decision: d})
	n.log.Decision(d)
	n.countDecision(d)
}

// Explain returns the decisions about a request that this node remembers.
func (n *Node) Explain(requestID string) Explanation {
	decisions, since := n.history.find(requestID)
	return Explanation{
		NodeID: n.settings.NodeID, FailureDomain: n.settings.FailureDomain,
		RequestID: requestID, Since: since, Decisions: decisions,
	}
}
