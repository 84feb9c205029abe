package kqtrunk

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqcall"
)

const (
	// offerBytes is the length of a body from which on an answer is offered before it is
	// sent. A shorter one is not worth the round trip.
	offerBytes = 1 << 20
	// maxExcess is the part of the budget of memory by which answers that were not offered
	// may exceed it.
	maxExcess = 0.125
	// offerPayloadBytes is the size of the payload of an offer: the length of the answer.
	offerPayloadBytes = 8
)

// grant is an answer of the peer that waits for memory or is on its way.
type grant struct {
	cancel context.CancelFunc
	// release gives the memory back that was reserved, nil if there is none yet.
	release func()
}

// offer asks the peer to take a long answer and waits until it does. It returns false if
// ctx ends first, and an error if the connection fails.
func (t *trunk) offer(ctx context.Context, number uint64, bytes int) (isGranted bool, err error) {
	granted := make(chan struct{})
	t.mutex.Lock()
	t.offers[number] = granted
	t.mutex.Unlock()
	defer func() {
		t.mutex.Lock()
		delete(t.offers, number)
		t.mutex.Unlock()
	}()
	payload := binary.BigEndian.AppendUint64(nil, uint64(bytes))
	if err := t.send(frame{kind: frameOffer, number: number, payload: payload}); err != nil {
		return false, err
	}
	select {
	case <-granted:
		return true, nil
	case <-ctx.Done():
		return false, nil
	case <-t.done:
		return false, nil
	}
}

// handleOffer grants an answer of the peer as soon as there is memory for it.
func (t *trunk) handleOffer(f frame) error {
	if len(f.payload) < offerPayloadBytes {
		return errors.Mark(errors.Newf("offer with a payload of %d bytes", len(f.payload)), ErrFrame)
	}
	bytes := binary.BigEndian.Uint64(f.payload)
	if bytes > MaxFrameBytes {
		return errors.Mark(errors.Newf("offer of a payload of %d bytes, at most %d are accepted", bytes, MaxFrameBytes), ErrFrame)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &grant{cancel: cancel}
	t.mutex.Lock()
	_, isWaiting := t.waiting[f.number]
	if isWaiting {
		// A faulty peer may offer an answer twice.
		t.withdrawGrant(f.number)
		t.grants[f.number] = g
	}
	t.mutex.Unlock()
	if !isWaiting {
		// The cancellation of the call is on its way to the peer.
		cancel()
		return nil
	}
	go t.grant(ctx, f.number, int(bytes), g)
	return nil
}

// grant waits for memory for an offered answer and grants it, unless its call ends.
func (t *trunk) grant(ctx context.Context, number uint64, bytes int, g *grant) {
	defer g.cancel()
	release, err := t.memory.Await(ctx, bytes)
	if err != nil {
		return
	}
	t.mutex.Lock()
	isWanted := t.grants[number] == g
	if isWanted {
		g.release = release
	}
	t.mutex.Unlock()
	if !isWanted {
		release()
		return
	}
	if err := t.send(frame{kind: frameGrant, number: number}); err != nil {
		_ = t.fail(errors.Mark(err, ErrLost))
	}
}

// withdrawGrant gives back what an offered answer has been granted. The mutex is held.
func (t *trunk) withdrawGrant(number uint64) {
	g := t.grants[number]
	if g == nil {
		return
	}
	delete(t.grants, number)
	g.cancel()
	if g.release != nil {
		g.release()
	}
}

// hold counts the large payload of a frame that begins to arrive. It returns false if there
// is no memory for it, or nobody waits for it.
func (t *trunk) hold(f frame, bytes int) (release func(), ok bool) {
	switch f.kind {
	case frameCall:
		release, err := t.memory.Reserve(bytes)
		return release, err == nil
	case frameCallCompressed, frameAnswerCompressed:
		// The dictionary needs the head. Such frames hardly exceed SmallBytes.
	case frameAnswer:
		t.mutex.Lock()
		g := t.grants[f.number]
		delete(t.grants, f.number)
		_, isWaiting := t.waiting[f.number]
		t.mutex.Unlock()
		if g != nil {
			if g.release != nil {
				return g.release, true
			}
			g.cancel()
		}
		if !isWaiting || t.memory.Excess() > maxExcess {
			return nil, false
		}
	}
	return t.memory.Charge(bytes), true
}

// awaitsMemory reports whether the answer to a call was offered and waits for memory.
func (t *trunk) awaitsMemory(number uint64) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	g := t.grants[number]
	return g != nil && g.release == nil
}

// handleDropped ends the call of a frame that was not kept.
func (t *trunk) handleDropped(f frame) error {
	switch f.kind {
	case frameCall:
		return t.refuse(f.number, kqcall.CauseShedGate)
	default:
		t.deliver(f.number, callResult{err: errors.Mark(errors.Mark(errors.New("answer was dropped"), ErrNoMemory), ErrLost)})
	}
	return nil
}

// discard gives the memory of a received payload back.
func (f frame) discard() {
	if f.release != nil {
		f.release()
	}
}

// recordProgress records that a frame or a piece of one has passed, so that the connection
// is not silent.
func (t *trunk) recordProgress() {
	t.mutex.Lock()
	t.lastReceived, t.pingedAt = t.now(), time.Time{}
	t.mutex.Unlock()
}
