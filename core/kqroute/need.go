package kqroute

import "sync"

// maxSavedMisses bounds the misses that a class can save up in its budget.
const maxSavedMisses = 20

// ErrorBudgets tracks the error budget of each class, in missed calls, to tell
// which classes need another region to reach their targets. Each call adds the
// fraction of a miss that the target of its class permits, and each missed call
// takes one. A class with at least one miss left needs no other region.
// ErrorBudgets is safe for concurrent use.
type ErrorBudgets struct {
	mutex     sync.Mutex
	remaining map[string]float64
}

// NewErrorBudgets returns budgets that are empty for every class.
func NewErrorBudgets() *ErrorBudgets {
	return &ErrorBudgets{remaining: map[string]float64{}}
}

// RecordCall records a call of a class of which complete percent must complete,
// and reports whether the class needs another region, which is so when less
// than one miss is left in its budget.
func (e *ErrorBudgets) RecordCall(class string, complete float64) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	misses := min(maxSavedMisses, e.remaining[class]+(100-complete)/100)
	e.remaining[class] = misses
	return misses < 1
}

// RecordMiss takes one miss from the budget of the class, for a call that did
// not complete.
func (e *ErrorBudgets) RecordMiss(class string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.remaining[class] = max(0, e.remaining[class]-1)
}
