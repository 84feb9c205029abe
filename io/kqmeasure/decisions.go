package kqmeasure

import (
	"encoding/json"
	"io"
	"maps"
	"sync"

	"kumquatlink/core/kqcall"
)

// callKey identifies the calls of one request to one service.
type callKey struct {
	RequestID string
	Service   string
}

// retryCounter counts the retries of each request from the decisions in the
// nodes' logs. The backend servers' records don't suffice: a try that a gate
// refuses never reaches a backend server.
type retryCounter struct {
	mutex   sync.Mutex
	retries map[string]int
}

func newRetryCounter() *retryCounter {
	return &retryCounter{retries: map[string]int{}}
}

// nodeLog returns a writer that takes the log of one node.
func (d *retryCounter) nodeLog() io.Writer {
	return &nodeLogReader{counter: d, tries: map[callKey]int{}}
}

// counts returns the number of retries by request ID.
func (d *retryCounter) counts() map[string]int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return maps.Clone(d.retries)
}

// nodeLogReader counts the tries of each call in one node's log until the
// answer that ends the call.
type nodeLogReader struct {
	counter *retryCounter
	tries   map[callKey]int
}

// Write reads one line of the node's log. It never fails: lines that are not
// JSON are ignored.
func (n *nodeLogReader) Write(line []byte) (int, error) {
	var fields struct{ Decision, RequestID, Service, Cause string }
	if err := json.Unmarshal(line, &fields); err != nil {
		return len(line), nil //nolint:nilerr // lines that are no decisions are passed over
	}
	call := callKey{fields.RequestID, fields.Service}
	switch {
	case fields.Cause == string(kqcall.CauseMoved):
		// The home of the key has moved: the call is forwarded, which is no retry.
	case fields.Decision == "Route", fields.Decision == "Home":
		n.tries[call]++
	case fields.Decision == "Answer":
		n.endCall(call)
	}
	return len(line), nil
}

// endCall counts the tries of a call beyond its first as retries.
func (n *nodeLogReader) endCall(call callKey) {
	retries := n.tries[call] - 1
	delete(n.tries, call)
	if retries <= 0 {
		return
	}
	n.counter.mutex.Lock()
	defer n.counter.mutex.Unlock()
	n.counter.retries[call.RequestID] += retries
}
