// Package kqbody reads bodies of messages so that memory follows the bytes that
// came and not those that were announced, and bounds what all bodies that are
// being read take together.
//
// # Usage
//
// A reader of many connections keeps one [Budget]:
//
//	allowance := kqbody.NewBudget(32 << 20)
//	body, err := allowance.Read(reader, announced, most)
//
// A sender in trouble may announce a large body and send a byte now and then,
// or send without end, on many connections at once. Small bodies are always
// read; of larger ones, those for which the allowance has no room fail with
// [ErrNoRoom], and those beyond their own bound with [ErrTooLarge].
package kqbody

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Errors of this package.
var (
	// ErrTooLarge marks a body that is longer than is allowed.
	ErrTooLarge = errors.New("body is too large")
	// ErrNoRoom marks a body for which other ones that are being read have
	// left no room.
	ErrNoRoom = errors.New("bodies that are being read take too much memory")
)

// Sizes of buffers.
const (
	// SmallBytes is the size up to which a body is read without regard to
	// others; most bodies are smaller.
	SmallBytes = 64 << 10
	// firstBytes is the first buffer of a body of unknown length.
	firstBytes = 4 << 10
)

// Budget bounds the memory of the bodies that are being read. It is safe for
// concurrent use.
type Budget struct {
	most int64
	held atomic.Int64
}

// NewBudget makes a budget of that many bytes.
func NewBudget(most int) *Budget {
	return &Budget{most: int64(most)}
}

// InUse is how many bytes the large bodies that are being read take.
func (a *Budget) InUse() int { return int(a.held.Load()) }

func (a *Budget) take(bytes int) bool {
	if a.held.Add(int64(bytes)) <= a.most {
		return true
	}
	a.held.Add(-int64(bytes))
	return false
}

// Read reads up to the end of r. Announced is the length that was told, or
// negative if none was, and most the length that is allowed.
func (a *Budget) Read(r io.Reader, announced, most int) ([]byte, error) {
	if announced > most {
		return nil, errors.Mark(errors.Newf("body of %d bytes, at most %d are read", announced, most), ErrTooLarge)
	}
	taken := 0
	defer func() { a.held.Add(-int64(taken)) }()
	size := firstBytes
	if announced >= 0 {
		size = min(announced, SmallBytes)
	}
	body := make([]byte, 0, size+1)
	for {
		if len(body) == cap(body) {
			grown := min(2*cap(body), most+1)
			if grown > SmallBytes {
				if !a.take(grown) {
					return nil, errors.Mark(errors.Newf("body of more than %d bytes", len(body)), ErrNoRoom)
				}
				taken += grown
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if len(body) > most {
			return nil, errors.Mark(errors.Newf("body of more than %d bytes", most), ErrTooLarge)
		}
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
