package kqtrunk

import (
	"bufio"
	"cmp"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// bufferBytes is the size of a connection's buffers; most frames fit.
const bufferBytes = 4 << 10

// reply is what a waiting call gets.
type reply struct {
	payload []byte
	err     error
}

// waiter is a call that waits for its answer. A patient one is not given up
// when the connection falls silent, since it can't be run elsewhere.
type waiter struct {
	answered chan reply
	patient  bool
}

// trunk is one connection between two nodes, seen from either end.
type trunk struct {
	peer     string
	raw      net.Conn
	handlers Handlers
	now      func() time.Time
	// version is that of the frames which the peer knows, 0 until it says so.
	version atomic.Uint64
	// thrifty is whether heads to the peer are to be squeezed.
	thrifty atomic.Bool

	writing sync.Mutex
	writer  *bufio.Writer
	// sent and got hold the last squeezed heads; sent is under writing, got
	// belongs to the goroutine that reads.
	sent window
	got  window

	mutex sync.Mutex
	// next is the number of the next call from this end.
	next uint64
	// waiting are the calls from this end, and running those from the other.
	waiting map[uint64]waiter
	running map[uint64]context.CancelFunc
	// heard is when bytes last came, pinged when a ping was sent that has not
	// been answered.
	heard  time.Time
	pinged time.Time
	timer  *time.Timer
	failed error
	done   chan struct{}
	// silent is why the connection takes no more calls though patient ones
	// wait on it, or nil, and retired is called then.
	silent  error
	retired func()
	// met is called when the first frame comes.
	met func()
}

func newTrunk(peer string, raw net.Conn, handlers Handlers) *trunk {
	return &trunk{
		peer: peer, raw: raw, handlers: handlers, now: time.Now, writer: bufio.NewWriterSize(raw, bufferBytes),
		waiting: map[uint64]waiter{}, running: map[uint64]context.CancelFunc{}, done: make(chan struct{}),
		retired: func() {}, met: func() {},
	}
}

// send writes one frame.
func (t *trunk) send(f frame) error {
	t.writing.Lock()
	defer t.writing.Unlock()
	if err := t.raw.SetWriteDeadline(t.now().Add(writeTimeout)); err != nil {
		return err
	}
	f, err := t.squeezed(f)
	if err != nil {
		return err
	}
	return writeFrame(t.writer, f)
}

// run reads frames until the connection ends.
func (t *trunk) run() error {
	if err := t.send(frame{kind: framePong, number: ownVersion}); err != nil {
		return t.fail(errors.Mark(err, ErrLost))
	}
	reader := bufio.NewReaderSize(t.raw, bufferBytes)
	for {
		f, err := readFrame(reader)
		if err != nil {
			return t.fail(errors.Mark(err, ErrLost))
		}
		t.mutex.Lock()
		t.heard, t.pinged = t.now(), time.Time{}
		met := t.met
		t.met = func() {}
		t.mutex.Unlock()
		met()
		if err := t.take(f); err != nil {
			return t.fail(errors.Mark(err, ErrLost))
		}
	}
}

func (t *trunk) take(f frame) error {
	f, err := t.expanded(f)
	if err != nil {
		return err
	}
	switch f.kind {
	case frameCall:
		return t.takeCall(f)
	case frameAnswer:
		t.settle(f.number, reply{payload: f.payload})
	case frameCancel:
		t.mutex.Lock()
		cancel := t.running[f.number]
		t.mutex.Unlock()
		if cancel != nil {
			cancel()
		}
	case frameMessage:
		if t.handlers.Message != nil {
			t.handlers.Message(t.peer, f.payload, t.reply)
		}
	case frameNews:
		if t.handlers.Update != nil {
			t.handlers.Update(t.peer, f.payload, t.reply)
		}
	case framePing:
		// A failed write ends the reading of this connection too.
		_ = t.send(frame{kind: framePong, number: f.number})
	case framePong:
		// Pings have the number 0, and the answers to them too.
		if f.number > 0 {
			t.version.Store(f.number)
		}
	default:
		return errors.Mark(errors.Newf("frame of kind %d", f.kind), ErrFrame)
	}
	return nil
}

// reply sends a message back. A failed write ends the reading of the
// connection too.
func (t *trunk) reply(payload []byte) {
	_ = t.send(frame{kind: frameMessage, payload: payload})
}

// takeCall runs a call of the peer and answers it.
func (t *trunk) takeCall(f frame) error {
	var head CallHead
	body, err := unpack(f.payload, &head)
	if err != nil {
		return err
	}
	if t.handlers.Call == nil {
		return errors.Mark(errors.New("call to a node that takes none"), ErrFrame)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.mutex.Lock()
	t.running[f.number] = cancel
	t.mutex.Unlock()
	task := func() {
		defer t.ended(f.number, cancel)
		answer, data := t.handlers.Call(ctx, t.peer, head, body)
		payload, err := pack(answer.forPeer(t.version.Load()), data)
		if err == nil {
			err = t.send(frame{kind: frameAnswer, number: f.number, payload: payload})
		}
		if err != nil {
			_ = t.fail(errors.Mark(err, ErrLost))
		}
	}
	if err := t.handlers.submit(task); err != nil {
		t.ended(f.number, cancel)
		return err
	}
	return nil
}

func (t *trunk) ended(number uint64, cancel context.CancelFunc) {
	cancel()
	t.mutex.Lock()
	delete(t.running, number)
	t.mutex.Unlock()
}

// call sends a call and waits for its answer.
func (t *trunk) call(ctx context.Context, head CallHead, body []byte) (*Answer, error) {
	payload, err := pack(head, body)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	answered := make(chan reply, 1)
	number, err := t.expect(waiter{answered, head.RunOnce})
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	if err := t.send(frame{kind: frameCall, number: number, payload: payload}); err != nil {
		// A peer acts on whole frames only, but the rest of this one may still
		// be in the kernel's buffers.
		_ = t.fail(errors.Mark(err, ErrLost))
	}
	select {
	case r := <-answered:
		return readAnswer(r)
	case <-ctx.Done():
		t.forget(number)
		_ = t.send(frame{kind: frameCancel, number: number})
		return nil, errors.Mark(errors.Wrap(ctx.Err(), "wait for an answer"), ErrLost)
	}
}

func readAnswer(r reply) (*Answer, error) {
	if r.err != nil {
		return nil, r.err
	}
	a := &Answer{}
	body, err := unpack(r.payload, &a.Head)
	if err != nil {
		return nil, errors.Mark(err, ErrLost)
	}
	a.Body = body
	return a, nil
}

// expect registers a call and begins to look after the connection.
func (t *trunk) expect(w waiter) (uint64, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if err := cmp.Or(t.failed, t.silent); err != nil {
		return 0, err
	}
	t.next++
	t.waiting[t.next] = w
	if len(t.waiting) == 1 {
		t.heard = t.now()
		t.pinged = time.Time{}
		if t.timer == nil {
			t.timer = time.AfterFunc(quietTime, t.check)
		} else {
			t.timer.Reset(quietTime)
		}
	}
	return t.next, nil
}

func (t *trunk) forget(number uint64) {
	_, _ = t.takeOut(number)
}

// takeOut takes a call out of those that wait, and says whether it was one of
// them. A connection that was kept for it only ends.
func (t *trunk) takeOut(number uint64) (waiter, bool) {
	t.mutex.Lock()
	w, found := t.waiting[number]
	delete(t.waiting, number)
	over := t.silent
	if len(t.waiting) > 0 {
		over = nil
	}
	t.mutex.Unlock()
	if over != nil {
		_ = t.fail(over)
	}
	return w, found
}

func (t *trunk) settle(number uint64, r reply) {
	if w, found := t.takeOut(number); found {
		w.answered <- r
	}
}

// check pings a connection on which calls wait and nothing comes, and closes
// one that does not answer the ping.
func (t *trunk) check() {
	t.mutex.Lock()
	now := t.now()
	quiet := now.Sub(t.heard)
	pinged := t.pinged
	if t.failed != nil || t.silent != nil || (len(t.waiting) == 0 && pinged.IsZero()) {
		t.mutex.Unlock()
		return
	}
	switch {
	case !pinged.IsZero() && now.Sub(pinged) >= pingTime:
		t.mutex.Unlock()
		t.retire(errors.Mark(errors.Mark(errors.Newf("no byte for %s", quiet), ErrLost), ErrSilent))
		return
	case pinged.IsZero() && quiet >= quietTime:
		t.pinged = now
		t.timer.Reset(pingTime)
		t.mutex.Unlock()
		if err := t.send(frame{kind: framePing}); err != nil {
			_ = t.fail(errors.Mark(err, ErrLost))
		}
		return
	case !pinged.IsZero():
		t.timer.Reset(pingTime - now.Sub(pinged))
	default:
		t.timer.Reset(quietTime - quiet)
	}
	t.mutex.Unlock()
}

// retire takes a connection that fell silent out of use. Calls that may run
// elsewhere fail; the others go on waiting, since the peer may only be held up,
// until their time is over or the connection is found to be dead.
func (t *trunk) retire(err error) {
	t.mutex.Lock()
	t.silent = err
	var given []uint64
	for number, w := range t.waiting {
		if !w.patient {
			given = append(given, number)
			delete(t.waiting, number)
			w.answered <- reply{err: err}
		}
	}
	dead := len(t.waiting) == 0
	t.mutex.Unlock()
	if dead {
		_ = t.fail(err)
		return
	}
	t.retired()
	for _, number := range given {
		_ = t.send(frame{kind: frameCancel, number: number})
	}
}

// doubt ends a retired connection unless the peer, which has been reached by
// another one, answers on it too.
func (t *trunk) doubt() {
	t.mutex.Lock()
	before, err := t.heard, t.silent
	t.mutex.Unlock()
	if err == nil || !t.open() {
		return
	}
	// A failed write ends the connection as well.
	if sendErr := t.send(frame{kind: framePing}); sendErr != nil {
		_ = t.fail(errors.CombineErrors(err, sendErr))
		return
	}
	time.AfterFunc(pingTime, func() {
		t.mutex.Lock()
		still := t.heard.Equal(before)
		t.mutex.Unlock()
		if still {
			_ = t.fail(err)
		}
	})
}

// fail ends the connection, with all calls on it, and gives the first reason.
func (t *trunk) fail(err error) error {
	t.mutex.Lock()
	if t.failed != nil {
		defer t.mutex.Unlock()
		return t.failed
	}
	t.failed = err
	waiting, running := t.waiting, t.running
	t.waiting, t.running = map[uint64]waiter{}, map[uint64]context.CancelFunc{}
	if t.timer != nil {
		t.timer.Stop()
	}
	t.mutex.Unlock()
	_ = t.raw.Close()
	for _, w := range waiting {
		w.answered <- reply{err: err}
	}
	for _, cancel := range running {
		cancel()
	}
	close(t.done)
	return err
}

// busy is how many calls of either end are on the connection.
func (t *trunk) busy() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.waiting) + len(t.running)
}

// alive is whether the connection takes calls.
func (t *trunk) alive() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.failed == nil && t.silent == nil
}

// open is whether the connection has not ended.
func (t *trunk) open() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.failed == nil
}
