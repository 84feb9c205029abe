package kqtrunk

import (
	"bufio"
	"cmp"
	"context"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqbody"
)

// bufferBytes is the size of a connection's read and write buffers; most frames
// fit into one.
const bufferBytes = 4 << 10

// callResult is the payload of an answer, or the error with which a call ends.
type callResult struct {
	payload []byte
	// release gives the memory of the payload back, nil if it is not counted.
	release func()
	err     error
}

// discard gives the memory of the payload back.
func (r callResult) discard() {
	if r.release != nil {
		r.release()
	}
}

// waiter is a call that waits for its answer. One with runOnce set keeps waiting
// when the connection is retired, since it can't be run elsewhere.
type waiter struct {
	answered chan callResult
	runOnce  bool
}

// trunk is one end of a connection between two nodes; the code is the same for the
// end that dialed and the end that accepted.
type trunk struct {
	peer     string
	conn     net.Conn
	handlers Handlers
	now      func() time.Time
	// version is the version of frames that the peer advertised, 0 until it does.
	version atomic.Uint64
	// compress reports whether heads to the peer are to be compressed.
	compress atomic.Bool

	writeMutex sync.Mutex
	writer     *bufio.Writer
	// sent and received hold the heads that were recently sent compressed in each
	// direction. sent is guarded by writeMutex; received is used by the reading
	// goroutine only.
	sent     dictionary
	received dictionary
	// memory bounds the memory of large payloads that arrive.
	memory *kqbody.Budget

	// mutex guards the fields below.
	mutex sync.Mutex
	// lastNumber is the number of the last call from this end.
	lastNumber uint64
	// waiting holds the calls from this end, and running those from the peer.
	waiting map[uint64]waiter
	running map[uint64]context.CancelFunc
	// offers holds the answers of this end that the peer has not granted yet, and grants
	// those of the peer that wait for memory or are on their way.
	offers map[uint64]chan struct{}
	grants map[uint64]*grant
	// replies holds the frames that wait to be sent in the background, and replyBytes the
	// size of their payloads. replySent is signalled when one has been sent.
	replies    []frame
	replyBytes int
	replySent  *sync.Cond
	// lastReceived is when a frame or a piece of a large one last passed, or calls
	// began to wait. pingedAt
	// is when a ping was sent after which no frame has arrived yet, or zero.
	lastReceived time.Time
	pingedAt     time.Time
	timer        *time.Timer
	// failed is why the connection has ended, or nil; done is closed then.
	failed error
	done   chan struct{}
	// silent is why the connection was retired, or nil. onRetire is called if
	// calls keep waiting on the retired connection.
	silent   error
	onRetire func()
	// onFirstFrame is called once, when the first frame arrives.
	onFirstFrame func()
}

func newTrunk(peer string, conn net.Conn, handlers Handlers) *trunk {
	memory := handlers.Memory
	if memory == nil {
		memory = kqbody.NewBudget(math.MaxInt)
	}
	t := &trunk{
		peer: peer, conn: conn, handlers: handlers, now: time.Now, memory: memory, offers: map[uint64]chan struct{}{}, grants: map[uint64]*grant{}, writer: bufio.NewWriterSize(conn, bufferBytes),
		waiting: map[uint64]waiter{}, running: map[uint64]context.CancelFunc{}, done: make(chan struct{}),
		onRetire: func() {}, onFirstFrame: func() {},
	}
	t.replySent = sync.NewCond(&t.mutex)
	return t
}

// send writes one frame. An error may leave a part of it written.
func (t *trunk) send(f frame) error {
	t.writeMutex.Lock()
	defer t.writeMutex.Unlock()
	if err := t.conn.SetWriteDeadline(t.now().Add(writeTimeout)); err != nil {
		return err
	}
	f, err := t.compressHead(f)
	if err != nil {
		return err
	}
	return writeFrame(t.writer, f, func() error {
		t.recordProgress()
		return t.conn.SetWriteDeadline(t.now().Add(writeTimeout))
	})
}

// run advertises this node's version, then reads and handles frames until the
// connection ends. It returns the reason for the end.
func (t *trunk) run() error {
	if err := t.send(frame{kind: framePong, number: ownVersion}); err != nil {
		return t.fail(errors.Mark(err, ErrLost))
	}
	reader := bufio.NewReaderSize(t.conn, bufferBytes)
	// The method value is allocated once, not for each frame.
	progress := t.recordProgress
	for {
		f, err := readFrame(reader, t.hold, progress)
		if err != nil {
			return t.fail(errors.Mark(err, ErrLost))
		}
		t.recordProgress()
		t.mutex.Lock()
		onFirstFrame := t.onFirstFrame
		t.onFirstFrame = func() {}
		t.mutex.Unlock()
		onFirstFrame()
		if err := t.handleFrame(f); err != nil {
			return t.fail(errors.Mark(err, ErrLost))
		}
	}
}

// handleFrame acts on a frame of the peer. An error closes the connection.
func (t *trunk) handleFrame(f frame) error {
	if f.dropped {
		return t.handleDropped(f)
	}
	f, err := t.decompressHead(f)
	if err != nil {
		f.discard()
		return err
	}
	switch f.kind {
	case frameCall:
		return t.handleCall(f)
	case frameAnswer:
		t.deliver(f.number, callResult{payload: f.payload, release: f.release})
		return nil
	}
	defer f.discard()
	switch f.kind {
	case frameOffer:
		return t.handleOffer(f)
	case frameGrant:
		t.mutex.Lock()
		granted := t.offers[f.number]
		delete(t.offers, f.number)
		t.mutex.Unlock()
		if granted != nil {
			close(granted)
		}
	case frameCancel:
		t.mutex.Lock()
		cancel := t.running[f.number]
		t.mutex.Unlock()
		if cancel != nil {
			cancel()
		}
	case frameMessage:
		if t.handlers.Message != nil {
			t.handlers.Message(t.peer, f.payload, t.sendMessage)
		}
	case frameUpdate:
		if t.handlers.Update != nil {
			t.handlers.Update(t.peer, f.payload, t.sendMessage)
		}
	case framePing:
		t.reply(frame{kind: framePong, number: f.number})
	case framePong:
		// Pings and their pongs have the number 0; any other number is the
		// version that the peer advertises.
		if f.number > 0 {
			t.version.Store(f.number)
		}
	default:
		return errors.Mark(errors.Newf("frame of unknown kind %d", f.kind), ErrFrame)
	}
	return nil
}

// sendMessage sends a message to the peer in reply to one of it.
func (t *trunk) sendMessage(payload []byte) {
	t.reply(frame{kind: frameMessage, payload: payload})
}

// handleCall runs a call of the peer in the background and answers it.
func (t *trunk) handleCall(f frame) error {
	var head CallHead
	body, err := unpack(f.payload, &head)
	if err != nil {
		f.discard()
		// The frame is whole, so only its call is lost.
		return t.refuse(f.number, kqcall.CauseBadRequest)
	}
	if t.handlers.Call == nil {
		f.discard()
		return errors.Mark(errors.New("received a call, but this end takes none"), ErrFrame)
	}
	head = head.decoded()
	ctx, cancel := context.WithCancel(context.Background())
	t.mutex.Lock()
	t.running[f.number] = cancel
	t.mutex.Unlock()
	task := func() {
		defer t.finishCall(f.number, cancel)
		defer f.discard()
		hasEnded := false
		defer func() {
			if !hasEnded {
				// A panic of the handler. The peer would wait until its deadline.
				_ = t.answer(ctx, f.number, AnswerHead{End: kqcall.Unknown(kqcall.CausePanic)}, nil)
			}
		}()
		answer, data := t.handlers.Call(ctx, t.peer, head, body)
		hasEnded = true
		defer answer.Discard()
		if err := t.answer(ctx, f.number, answer, data); err != nil {
			_ = t.fail(errors.Mark(err, ErrLost))
		}
	}
	if err := t.handlers.submit(task); err != nil {
		defer t.finishCall(f.number, cancel)
		f.discard()
		return t.refuse(f.number, kqcall.CausePoolFull)
	}
	return nil
}

// answer sends the answer to a call of the peer. An answer that can't be encoded, or
// is too large for a frame, is sent as a lost one. A long one is offered first, and not sent
// if ctx ends, since the peer has given up the call then.
func (t *trunk) answer(ctx context.Context, number uint64, head AnswerHead, body []byte) error {
	payload, rest, err := pack(head.forVersion(t.version.Load()), body)
	if err != nil {
		payload, rest, err = pack(AnswerHead{End: kqcall.Unknown(kqcall.CauseTooLarge), ServerID: head.ServerID}, nil)
	}
	if err != nil {
		return err
	}
	if len(rest) > offerBytes && t.version.Load() >= versionOffer {
		isGranted, err := t.offer(ctx, number, len(payload)+len(rest))
		if err != nil || !isGranted {
			return err
		}
	}
	return t.send(frame{kind: frameAnswer, number: number, payload: payload, rest: rest})
}

// finishCall releases what handleCall keeps for a call of the peer.
func (t *trunk) finishCall(number uint64, cancel context.CancelFunc) {
	cancel()
	t.mutex.Lock()
	delete(t.running, number)
	t.mutex.Unlock()
}

// call sends a call and waits for its answer. When ctx ends first, the call is
// cancelled at the peer.
func (t *trunk) call(ctx context.Context, head CallHead, body []byte) (*Answer, error) {
	if !head.isDecodable(t.version.Load()) {
		return nil, errors.Mark(errors.New("head of the call is not UTF-8, which this peer can't decode"), ErrNotSent)
	}
	payload, rest, err := pack(head.forVersion(t.version.Load()), body)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	answered := make(chan callResult, 1)
	number, err := t.register(waiter{answered, head.RunOnce})
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	if err := t.send(frame{kind: frameCall, number: number, payload: payload, rest: rest}); err != nil {
		// The peer acts on whole frames only. Still the call counts as lost, not
		// as not sent: the kernel's buffers may hold the rest of the frame and
		// deliver it.
		_ = t.fail(errors.Mark(err, ErrLost))
	}
	select {
	case r := <-answered:
		return readAnswer(r)
	case <-ctx.Done():
		err := errors.Mark(errors.Wrap(ctx.Err(), "wait for an answer"), ErrLost)
		if t.awaitsMemory(number) {
			err = errors.Mark(err, ErrNoMemory)
		}
		if _, found := t.removeWaiter(number); !found {
			// The answer has just arrived.
			(<-answered).discard()
		}
		_ = t.send(frame{kind: frameCancel, number: number})
		return nil, err
	}
}

// readAnswer decodes the answer to a call.
func readAnswer(r callResult) (*Answer, error) {
	if r.err != nil {
		return nil, r.err
	}
	a := &Answer{}
	body, err := unpack(r.payload, &a.Head)
	if err != nil {
		r.discard()
		return nil, errors.Mark(err, ErrLost)
	}
	a.Head, a.Body = a.Head.decoded(), body
	a.Head.Release = r.release
	return a, nil
}

// register adds a call to those that wait and returns its number. The first
// waiting call starts the timer that runs check.
func (t *trunk) register(w waiter) (uint64, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if err := cmp.Or(t.failed, t.silent); err != nil {
		return 0, err
	}
	t.lastNumber++
	t.waiting[t.lastNumber] = w
	if len(t.waiting) == 1 {
		t.lastReceived = t.now()
		t.pingedAt = time.Time{}
		if t.timer == nil {
			t.timer = time.AfterFunc(pingDelay, t.check)
		} else {
			t.timer.Reset(pingDelay)
		}
	}
	return t.lastNumber, nil
}

// removeWaiter removes a call from those that wait and reports whether it was one
// of them. A retired connection on which no other call waits is closed.
func (t *trunk) removeWaiter(number uint64) (waiter, bool) {
	t.mutex.Lock()
	w, found := t.waiting[number]
	delete(t.waiting, number)
	t.withdrawGrant(number)
	closeReason := t.silent
	if len(t.waiting) > 0 {
		closeReason = nil
	}
	t.mutex.Unlock()
	if closeReason != nil {
		_ = t.fail(closeReason)
	}
	return w, found
}

// deliver hands an answer to the call that waits for it, if it still does.
func (t *trunk) deliver(number uint64, r callResult) {
	w, found := t.removeWaiter(number)
	if !found {
		r.discard()
		return
	}
	w.answered <- r
}

// check pings the peer if calls wait and nothing has arrived for pingDelay, and
// retires the connection if nothing arrives for pingTimeout after the ping.
func (t *trunk) check() {
	t.mutex.Lock()
	now := t.now()
	idle := now.Sub(t.lastReceived)
	pingedAt := t.pingedAt
	if t.failed != nil || t.silent != nil || (len(t.waiting) == 0 && pingedAt.IsZero()) {
		t.mutex.Unlock()
		return
	}
	switch {
	case !pingedAt.IsZero() && now.Sub(pingedAt) >= pingTimeout:
		t.mutex.Unlock()
		t.retire(errors.Mark(errors.Mark(errors.Newf("no frame received for %s", idle), ErrLost), ErrSilent))
		return
	case pingedAt.IsZero() && idle >= pingDelay:
		t.pingedAt = now
		t.timer.Reset(pingTimeout)
		t.mutex.Unlock()
		if err := t.send(frame{kind: framePing}); err != nil {
			_ = t.fail(errors.Mark(err, ErrLost))
		}
		return
	case !pingedAt.IsZero():
		t.timer.Reset(pingTimeout - now.Sub(pingedAt))
	default:
		t.timer.Reset(pingDelay - idle)
	}
	t.mutex.Unlock()
}

// retire takes a connection out of use on which the peer does not answer a ping.
// Calls that may run elsewhere fail. The others keep waiting, since the peer may
// only have stalled, until their deadline passes or the connection turns out to
// be dead.
func (t *trunk) retire(err error) {
	t.mutex.Lock()
	t.silent = err
	var abandoned []uint64
	for number, w := range t.waiting {
		if !w.runOnce {
			abandoned = append(abandoned, number)
			delete(t.waiting, number)
			t.withdrawGrant(number)
			w.answered <- callResult{err: err}
		}
	}
	unused := len(t.waiting) == 0
	t.mutex.Unlock()
	if unused {
		_ = t.fail(err)
		return
	}
	t.onRetire()
	for _, number := range abandoned {
		_ = t.send(frame{kind: frameCancel, number: number})
	}
}

// closeUnlessAnswered pings the peer on a retired connection and closes the
// connection if nothing arrives on it within pingTimeout. It is called when a frame
// has arrived on a newer connection, so the peer itself is not stalled.
func (t *trunk) closeUnlessAnswered() {
	t.mutex.Lock()
	before, err := t.lastReceived, t.silent
	t.mutex.Unlock()
	if err == nil || !t.isOpen() {
		return
	}
	// A failed write shows that the connection is dead as well.
	if sendErr := t.send(frame{kind: framePing}); sendErr != nil {
		_ = t.fail(errors.CombineErrors(err, sendErr))
		return
	}
	time.AfterFunc(pingTimeout, func() {
		t.mutex.Lock()
		unanswered := t.lastReceived.Equal(before)
		t.mutex.Unlock()
		if unanswered {
			_ = t.fail(err)
		}
	})
}

// fail closes the connection and ends all calls on it. It returns the reason of
// the first call of fail.
func (t *trunk) fail(err error) error {
	t.mutex.Lock()
	if t.failed != nil {
		defer t.mutex.Unlock()
		return t.failed
	}
	t.failed = err
	t.replySent.Broadcast()
	waiting, running := t.waiting, t.running
	t.waiting, t.running = map[uint64]waiter{}, map[uint64]context.CancelFunc{}
	for number := range t.grants {
		t.withdrawGrant(number)
	}
	if t.timer != nil {
		t.timer.Stop()
	}
	t.mutex.Unlock()
	_ = t.conn.Close()
	for _, w := range waiting {
		w.answered <- callResult{err: err}
	}
	for _, cancel := range running {
		cancel()
	}
	close(t.done)
	return err
}

// callCount returns the number of calls of both ends on the connection.
func (t *trunk) callCount() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.waiting) + len(t.running) + t.unsentAnswers()
}

// runningCount returns the number of calls of the peer that run or whose answers have not
// been sent whole.
func (t *trunk) runningCount() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.running) + t.unsentAnswers()
}

// acceptsCalls reports whether the connection is neither closed nor retired.
func (t *trunk) acceptsCalls() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.failed == nil && t.silent == nil
}

// isOpen reports whether the connection has not been closed; a retired one may be
// open.
func (t *trunk) isOpen() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.failed == nil
}
