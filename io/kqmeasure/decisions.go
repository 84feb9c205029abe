package kqmeasure

import (
	"encoding/json"
	"sync"
)

// tried identifies the calls of one request to one service.
type tried struct {
	RequestID string
	Service   string
}

// decisionCounter reads the nodes' log and counts what each gate was asked to
// admit, since a gate's refusal is seen by no backend server.
type decisionCounter struct {
	mutex  sync.Mutex
	admits map[tried]int
}

func newDecisionCounter() *decisionCounter {
	return &decisionCounter{admits: map[tried]int{}}
}

// Write takes one line of a node's log.
func (d *decisionCounter) Write(line []byte) (int, error) {
	var fields struct{ Decision, RequestID, Service string }
	if err := json.Unmarshal(line, &fields); err != nil || fields.Decision != "Admit" {
		return len(line), nil
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.admits[tried{fields.RequestID, fields.Service}]++
	return len(line), nil
}

// counts gives how many gates each call came to.
func (d *decisionCounter) counts() map[tried]int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	counts := make(map[tried]int, len(d.admits))
	for k, n := range d.admits {
		counts[k] = n
	}
	return counts
}
