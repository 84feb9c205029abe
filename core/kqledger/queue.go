package kqledger

// queue is a first-in first-out queue of keys.
type queue struct {
	entries []queueEntry
	head    int
}

func (q *queue) push(e queueEntry) {
	q.entries = append(q.entries, e)
}

func (q *queue) first() (queueEntry, bool) {
	if q.head == len(q.entries) {
		return queueEntry{}, false
	}
	return q.entries[q.head], true
}

func (q *queue) pop() (queueEntry, bool) {
	e, ok := q.first()
	if !ok {
		return e, false
	}
	q.head++
	if q.head > len(q.entries)/2 {
		q.entries = append(q.entries[:0], q.entries[q.head:]...)
		q.head = 0
	}
	return e, true
}
