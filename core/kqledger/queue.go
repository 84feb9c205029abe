package kqledger

// queue is a first-in first-out queue of marks.
type queue struct {
	marks []mark
	head  int
}

func (q *queue) push(m mark) {
	q.marks = append(q.marks, m)
}

func (q *queue) first() (mark, bool) {
	if q.head == len(q.marks) {
		return mark{}, false
	}
	return q.marks[q.head], true
}

func (q *queue) pop() (mark, bool) {
	m, some := q.first()
	if !some {
		return m, false
	}
	q.head++
	if q.head > len(q.marks)/2 {
		q.marks = append(q.marks[:0], q.marks[q.head:]...)
		q.head = 0
	}
	return m, true
}
