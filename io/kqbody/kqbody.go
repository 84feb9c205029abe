// Package kqbody reads message bodies into memory. Buffers grow with the bytes
// received, not with the announced length, and a [Budget] bounds the memory of
// all bodies that are being read or held at the same time.
//
// A faulty sender may announce a large body and then send a byte now and then,
// or send without end, on many connections at once. Without these bounds such
// senders would exhaust the memory of the process.
//
// # Usage
//
// Connections that are read side by side share one [Budget]:
//
//	budget := kqbody.NewBudget(32 << 20)
//	body, err := budget.Read(reader, announced, limit)
//
// A body that is kept counts until its memory is given back, and so does one that
// comes from elsewhere:
//
//	body, release, err := budget.Hold(reader, announced, limit)
//	defer release()
//	release, err := budget.Reserve(len(body))
//
// Small bodies, whose buffer takes no more than [SmallBytes] bytes, are read even
// if the budget is spent. Reading a larger body fails with [ErrNoRoom] if the
// budget does not cover its buffer. A body that exceeds its own limit fails with
// [ErrTooLarge].
package kqbody

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Errors of this package.
var (
	// ErrTooLarge marks a body that is longer than its limit.
	ErrTooLarge = errors.New("body is too large")
	// ErrNoRoom marks a body that does not fit into the budget beside the
	// other bodies that are being read.
	ErrNoRoom = errors.New("memory budget for bodies is exhausted")
)

// Sizes of buffers, in bytes.
const (
	// SmallBytes is the buffer size up to which a body does not count against
	// the budget; most bodies are smaller.
	SmallBytes = 64 << 10
	// firstBytes is the size of the first buffer for a body of unknown length.
	firstBytes = 4 << 10
)

// Budget bounds the memory that the bodies being read may take together, apart
// from small ones. It is safe for concurrent use.
type Budget struct {
	limit int64
	inUse atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int) *Budget {
	return &Budget{limit: int64(limit)}
}

// InUse returns the number of bytes that the large bodies being read take.
func (b *Budget) InUse() int { return int(b.inUse.Load()) }

// HasRoom reports whether a body of that many bytes fits into the budget now.
func (b *Budget) HasRoom(bytes int) bool {
	return bytes <= SmallBytes || b.inUse.Load()+int64(bytes) <= b.limit
}

// Reserve counts a body of that many bytes, unless it is small, and returns the function
// that gives them back. An error is marked [ErrNoRoom].
func (b *Budget) Reserve(bytes int) (release func(), err error) {
	if bytes <= SmallBytes {
		return func() {}, nil
	}
	if !b.reserve(bytes) {
		return func() {}, errors.Mark(errors.Newf("body of %d bytes", bytes), ErrNoRoom)
	}
	return func() { b.inUse.Add(-int64(bytes)) }, nil
}

// Charge counts a body like [Budget.Reserve], even if the budget is spent: it can't be
// refused, but others are.
func (b *Budget) Charge(bytes int) (release func()) {
	if bytes <= SmallBytes {
		return func() {}
	}
	b.inUse.Add(int64(bytes))
	return func() { b.inUse.Add(-int64(bytes)) }
}

// reserve takes bytes from the budget and reports whether they fit. The caller
// gives them back by subtracting them from inUse.
func (b *Budget) reserve(bytes int) bool {
	if b.inUse.Add(int64(bytes)) <= b.limit {
		return true
	}
	b.inUse.Add(-int64(bytes))
	return false
}

// Read reads r to its end. The announced length is in bytes, negative if the
// sender announced none; limit is the largest length that is accepted, in bytes.
//
// Errors are marked [ErrTooLarge] if the announced or the received length
// exceeds limit, and [ErrNoRoom] if the budget does not cover the buffer. Errors
// of r other than [io.EOF] are returned as they are.
func (b *Budget) Read(r io.Reader, announced, limit int) ([]byte, error) {
	body, release, err := b.Hold(r, announced, limit)
	release()
	return body, err
}

// Hold reads like [Budget.Read]. The body counts against the budget until the function
// is called that it returns, also with an error.
func (b *Budget) Hold(r io.Reader, announced, limit int) (body []byte, release func(), err error) {
	reserved := 0
	release = func() { b.inUse.Add(-int64(reserved)) }
	if announced > limit {
		return nil, release, errors.Mark(errors.Newf("body of %d bytes, at most %d are read", announced, limit), ErrTooLarge)
	}
	initial, largest := firstBytes, limit+1
	if announced >= 0 {
		initial, largest = min(announced, SmallBytes), announced+1
	}
	body = make([]byte, 0, initial+1)
	for {
		if len(body) == cap(body) {
			grown := min(2*cap(body), limit+1)
			if cap(body) < largest {
				grown = min(grown, largest)
			}
			if grown > SmallBytes {
				if !b.reserve(grown) {
					return nil, release, errors.Mark(errors.Newf("body of more than %d bytes", len(body)), ErrNoRoom)
				}
				reserved += grown
			}
			former := reserved - grown
			body = append(make([]byte, 0, grown), body...)
			if grown > SmallBytes && former > 0 {
				// The buffer before is not used any more.
				b.inUse.Add(-int64(former))
				reserved = grown
			}
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if len(body) > limit {
			return nil, release, errors.Mark(errors.Newf("body of more than %d bytes", limit), ErrTooLarge)
		}
		if err == io.EOF {
			return body, release, nil
		}
		if err != nil {
			return nil, release, err
		}
	}
}
