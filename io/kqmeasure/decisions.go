package kqmeasure

import (
	"encoding/json"
	"io"
	"maps"
	"sync"

	"kumquatlink/core/kqcall"
)

// tried identifies the calls of one request to one service.
type tried struct {
	RequestID string
	Service   string
}

// decisionCounter reads the nodes' logs and counts the retries of each
// request, since a try that a gate refused is seen by no backend server.
type decisionCounter struct {
	mutex   sync.Mutex
	retries map[string]int
}

func newDecisionCounter() *decisionCounter {
	return &decisionCounter{retries: map[string]int{}}
}

// node makes the reader of one node's log.
func (d *decisionCounter) node() io.Writer {
	return &nodeDecisions{counter: d, pending: map[tried]int{}}
}

// counts gives the retries of each request.
func (d *decisionCounter) counts() map[string]int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return maps.Clone(d.retries)
}

// nodeDecisions pairs the tries of each call with the answer that ends it.
type nodeDecisions struct {
	counter *decisionCounter
	pending map[tried]int
}

// Write takes one line of the node's log.
func (n *nodeDecisions) Write(line []byte) (int, error) {
	var fields struct{ Decision, RequestID, Service, Cause string }
	if err := json.Unmarshal(line, &fields); err != nil {
		return len(line), nil //nolint:nilerr // lines that are no decisions are passed over
	}
	call := tried{fields.RequestID, fields.Service}
	switch {
	case fields.Cause == string(kqcall.CauseMoved):
		// The home of a key has moved; the call is sent on, not again.
	case fields.Decision == "Route", fields.Decision == "Home":
		n.pending[call]++
	case fields.Decision == "Answer":
		n.end(call)
	}
	return len(line), nil
}

// end counts the tries of a call beyond its first.
func (n *nodeDecisions) end(call tried) {
	retries := n.pending[call] - 1
	delete(n.pending, call)
	if retries <= 0 {
		return
	}
	n.counter.mutex.Lock()
	defer n.counter.mutex.Unlock()
	n.counter.retries[call.RequestID] += retries
}
