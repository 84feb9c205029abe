package kqroute

import "sync"

// maxSpareMisses bounds the misses that a class can have saved up.
const maxSpareMisses = 20

// ErrorBudgets tells which classes need another region to reach their targets. Each
// call of a class earns it the share of a miss that its target leaves open; a
// class with a whole miss to spare has no need. It is safe for concurrent use.
type ErrorBudgets struct {
	mutex  sync.Mutex
	spares map[string]float64
}

// NewErrorBudgets makes a set of classes that have nothing to spare.
func NewErrorBudgets() *ErrorBudgets {
	return &ErrorBudgets{spares: map[string]float64{}}
}

// RecordCall counts a call of a class of which complete percent must complete,
// and says whether the class needs another region.
func (n *ErrorBudgets) RecordCall(class string, complete float64) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	spare := min(maxSpareMisses, n.spares[class]+(100-complete)/100)
	n.spares[class] = spare
	return spare < 1
}

// RecordMiss counts a call of the class that did not complete.
func (n *ErrorBudgets) RecordMiss(class string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.spares[class] = max(0, n.spares[class]-1)
}
