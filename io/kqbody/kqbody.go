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
// budget does not cover its buffer, or waits for room for a time. A body that exceeds its
// own limit fails with [ErrTooLarge].
//
// A budget may be a share of another one, which all shares draw on:
//
//	memory := kqbody.NewBudget(112<<20, kqbody.WithShortage(closeSlowReaders))
//	uploads := kqbody.NewBudget(40<<20, kqbody.WithParent(memory))
package kqbody

import (
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

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
	// SmallBytes is the buffer size up to which a body is read without room in the
	// budget; most bodies are smaller.
	SmallBytes = 64 << 10
	// firstBytes is the size of the first buffer for a body of unknown length.
	firstBytes = 4 << 10
	// freePart is the part of a budget, as a divisor, that is to be free after a shortage.
	freePart = 4
	// lonePart is the part of a budget, as a divisor, that may be in use beside a body
	// that is larger than the rest.
	lonePart = 8
)

// Budget bounds the memory that bodies may take together. It is safe for concurrent use.
type Budget struct {
	limit  int64
	parent *Budget
	// takesLone reports whether a body of any size fits while little else is in use.
	takesLone bool
	// short is called, without the mutex, when bytes find no room.
	short func()

	// inUse changes without the mutex, since each request is charged and given back.
	inUse atomic.Int64
	// waits is the length of waiting.
	waits atomic.Int64
	mutex sync.Mutex
	// waiting holds those that wait for room, in the order in which they came, first those
	// whose bodies hold memory.
	waiting []*reservation
}

// reservation waits until its bytes fit. The channel is closed then.
type reservation struct {
	bytes, held int64
	granted     chan struct{}
}

// Option configures a [Budget].
type Option func(*Budget)

// WithParent makes the budget a share of another one: what it covers counts in both.
func WithParent(parent *Budget) Option {
	return func(b *Budget) { b.parent = parent }
}

// WithLoneBodies lets a body of any size into the budget while other bodies take no more
// than an eighth of it.
func WithLoneBodies() Option {
	return func(b *Budget) { b.takesLone = true }
}

// WithShortage sets a function that is called each time that bytes find no room in the
// budget, or are counted beyond it. It must not block.
func WithShortage(short func()) Option {
	return func(b *Budget) { b.short = short }
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int, options ...Option) *Budget {
	b := &Budget{limit: int64(limit), short: func() {}}
	for _, o := range options {
		o(b)
	}
	return b
}

// InUse returns the number of bytes that the bodies take.
func (b *Budget) InUse() int {
	return int(b.inUse.Load())
}

// Missing returns the number of bytes that have to be given back so that those that wait
// fit and a part of the budget is free. It is negative if that is so.
func (b *Budget) Missing() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	missing := b.inUse.Load() - b.limit + b.limit/freePart
	for _, w := range b.waiting {
		missing += w.bytes
	}
	return int(missing)
}

// Excess returns the part of the budget by which it is exceeded, 0 if it is not.
func (b *Budget) Excess() float64 {
	return max(0, float64(b.inUse.Load()-b.limit)/float64(b.limit))
}

// HasRoom reports whether a body of that many bytes fits into the budget now.
func (b *Budget) HasRoom(bytes int) bool {
	if bytes <= SmallBytes {
		return true
	}
	return b.fits(int64(bytes), 0) && (b.parent == nil || b.parent.HasRoom(bytes))
}

// fits reports whether bytes fit beside what is in use. The held ones belong to the same
// body. The mutex is held by those that take them.
func (b *Budget) fits(bytes, held int64) bool {
	inUse := b.inUse.Load()
	return inUse+bytes <= b.limit || b.takesLone && inUse-held <= b.limit/lonePart
}

// Reserve counts a body of that many bytes, unless it is small, and returns the function
// that gives them back. An error is marked [ErrNoRoom].
func (b *Budget) Reserve(bytes int) (release func(), err error) {
	if bytes <= SmallBytes {
		return func() {}, nil
	}
	if !b.reserve(int64(bytes), 0) {
		return func() {}, errors.Mark(errors.Newf("body of %d bytes", bytes), ErrNoRoom)
	}
	return func() { b.release(int64(bytes)) }, nil
}

// Await counts a body like [Budget.Reserve], and waits until there is room or ctx ends.
func (b *Budget) Await(ctx context.Context, bytes int) (release func(), err error) {
	if bytes <= SmallBytes {
		return func() {}, nil
	}
	if !b.await(ctx, int64(bytes), 0) {
		return func() {}, errors.Mark(errors.Newf("body of %d bytes", bytes), ErrNoRoom)
	}
	return func() { b.release(int64(bytes)) }, nil
}

// Charge counts a body like [Budget.Reserve], even if it is small or the budget is spent:
// it can't be refused, but others are.
func (b *Budget) Charge(bytes int) (release func()) {
	if bytes == 0 {
		return func() {}
	}
	b.Add(bytes)
	return func() { b.Add(-bytes) }
}

// Add counts bytes like [Budget.Charge], or gives them back if they are negative.
func (b *Budget) Add(bytes int) {
	if bytes < 0 {
		b.release(int64(-bytes))
		return
	}
	b.charge(int64(bytes))
}

func (b *Budget) charge(bytes int64) {
	if b.parent != nil {
		b.parent.charge(bytes)
	}
	if b.inUse.Add(bytes) > b.limit {
		b.short()
	}
}

// reserve takes bytes from the budget, for a body that holds some already, and reports
// whether they fit. Nobody who waits is overtaken, except by bodies that have begun.
func (b *Budget) reserve(bytes, held int64) bool {
	b.mutex.Lock()
	fits := b.fits(bytes, held) && (held > 0 || len(b.waiting) == 0)
	if fits {
		b.inUse.Add(bytes)
	}
	b.mutex.Unlock()
	if !fits {
		b.short()
		return false
	}
	if b.parent != nil && !b.parent.reserve(bytes, held) {
		b.giveBack(bytes)
		return false
	}
	return true
}

// await reserves bytes and waits until they fit or ctx ends.
func (b *Budget) await(ctx context.Context, bytes, held int64) bool {
	b.mutex.Lock()
	if b.fits(bytes, held) && (held > 0 || len(b.waiting) == 0) {
		b.inUse.Add(bytes)
		b.mutex.Unlock()
	} else {
		w := &reservation{bytes: bytes, held: held, granted: make(chan struct{})}
		b.enqueue(w)
		b.mutex.Unlock()
		b.short()
		select {
		case <-w.granted:
		case <-ctx.Done():
			if b.withdraw(w) {
				return false
			}
		}
	}
	if b.parent != nil && !b.parent.await(ctx, bytes, held) {
		b.giveBack(bytes)
		return false
	}
	return true
}

// enqueue lets a reservation wait. A body that holds memory goes before those that hold
// none, since its memory may be what they wait for. The mutex is held.
func (b *Budget) enqueue(w *reservation) {
	i := len(b.waiting)
	if w.held > 0 {
		if first := slices.IndexFunc(b.waiting, func(other *reservation) bool { return other.held == 0 }); first >= 0 {
			i = first
		}
	}
	b.waiting = slices.Insert(b.waiting, i, w)
	b.waits.Store(int64(len(b.waiting)))
	// Bytes may have been given back just before.
	b.grant()
}

// withdraw ends the wait of a reservation. It returns false if that was granted already.
func (b *Budget) withdraw(w *reservation) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	i := slices.Index(b.waiting, w)
	if i < 0 {
		return false
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	b.waits.Store(int64(len(b.waiting)))
	b.grant()
	return true
}

// release gives bytes back to the budget and to its parent.
func (b *Budget) release(bytes int64) {
	b.giveBack(bytes)
	if b.parent != nil {
		b.parent.release(bytes)
	}
}

// giveBack gives bytes back to this budget alone.
func (b *Budget) giveBack(bytes int64) {
	b.inUse.Add(-bytes)
	if b.waits.Load() == 0 {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.grant()
}

// grant lets those go on that wait and fit now, in their order. The mutex is held.
func (b *Budget) grant() {
	for len(b.waiting) > 0 && b.fits(b.waiting[0].bytes, b.waiting[0].held) {
		w := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.waits.Store(int64(len(b.waiting)))
		b.inUse.Add(w.bytes)
		close(w.granted)
	}
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
	return b.hold(b.reserve, r, announced, limit)
}

// HoldPatiently reads like [Budget.Hold], but waits for room, each time until ctx ends or
// for patience. Meanwhile it does not read r.
func (b *Budget) HoldPatiently(ctx context.Context, patience time.Duration, r io.Reader, announced, limit int) (body []byte, release func(), err error) {
	reserve := func(bytes, held int64) bool {
		if b.reserve(bytes, held) {
			return true
		}
		waiting, cancel := context.WithTimeout(ctx, patience)
		defer cancel()
		return b.await(waiting, bytes, held)
	}
	return b.hold(reserve, r, announced, limit)
}

func (b *Budget) hold(reserve func(bytes, held int64) bool, r io.Reader, announced, limit int) (body []byte, release func(), err error) {
	h := &holding{budget: b, reserve: reserve}
	if announced > limit {
		return nil, h.release, errors.Mark(errors.Newf("body of %d bytes, at most %d are read", announced, limit), ErrTooLarge)
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
			if body, err = h.grow(body, grown); err != nil {
				return nil, h.release, err
			}
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if len(body) > limit {
			return nil, h.release, errors.Mark(errors.Newf("body of more than %d bytes", limit), ErrTooLarge)
		}
		if err == io.EOF {
			return body, h.release, nil
		}
		if err != nil {
			return nil, h.release, err
		}
	}
}

// holding is the memory that one body takes from a budget.
type holding struct {
	budget  *Budget
	reserve func(bytes, held int64) bool
	bytes   int64
}

// grow returns the body in a buffer of the given size. An error is marked [ErrNoRoom].
func (h *holding) grow(body []byte, size int) ([]byte, error) {
	former := h.bytes
	if size > SmallBytes {
		if !h.reserve(int64(size), former) {
			return nil, errors.Mark(errors.Newf("body of more than %d bytes", len(body)), ErrNoRoom)
		}
		h.bytes += int64(size)
	}
	body = append(make([]byte, 0, size), body...)
	if former > 0 {
		// The buffer before is not used any more.
		h.budget.release(former)
		h.bytes -= former
	}
	return body, nil
}

// release gives the memory back.
func (h *holding) release() {
	if h.bytes > 0 {
		h.budget.release(h.bytes)
		h.bytes = 0
	}
}
