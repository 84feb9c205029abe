package kqtrunk

import (
	"bytes"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/flate"
)

// Sizes of squeezed heads.
const (
	// windowBytes is how much of the heads sent before a head may refer to:
	// some ten of them. It is held for each direction of a connection.
	windowBytes = 4 << 10
	// maxSqueezed bounds a head that is squeezed, so that a few bytes can't
	// make a peer hold a lot.
	maxSqueezed = 16 << 10
	// maxBeside bounds the body beside a squeezed head, which is copied; with
	// more, a head is a small part of the frame.
	maxBeside = 64 << 10
)

// window holds the last heads of one direction of a connection. Both ends have
// the same one, since frames keep their order.
type window struct {
	held []byte
}

func (w *window) add(head []byte) {
	w.held = append(w.held, head...)
	if over := len(w.held) - windowBytes; over > 0 {
		w.held = append(w.held[:0], w.held[over:]...)
	}
}

// squeeze writes a head with references into the window: names, routes, hosts
// and paths come again and again, only IDs are new.
func (w *window) squeeze(head []byte) ([]byte, error) {
	var out bytes.Buffer
	if err := flate.StatelessDeflate(&out, head, true, w.held); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "squeeze head"), ErrFrame)
	}
	w.add(head)
	return out.Bytes(), nil
}

// inflaters are readers of squeezed heads; each holds deflate's window of 32 KB
// (RFC 1951).
var inflaters = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// expand gives the head that squeeze was given.
func (w *window) expand(data []byte) ([]byte, error) {
	r := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(data), w.held); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "expand head"), ErrFrame)
	}
	head, err := io.ReadAll(io.LimitReader(r, maxSqueezed+1))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "expand head"), ErrFrame)
	}
	if len(head) > maxSqueezed {
		return nil, errors.Mark(errors.Newf("head of more than %d bytes, squeezed", maxSqueezed), ErrFrame)
	}
	w.add(head)
	return head, nil
}

// squeezedKinds are the kinds of frames with a squeezed head, by the plain one.
var squeezedKinds = map[frameKind]frameKind{frameCall: frameCallSqueezed, frameAnswer: frameAnswerSqueezed}

// plainKinds is the way back.
var plainKinds = map[frameKind]frameKind{frameCallSqueezed: frameCall, frameAnswerSqueezed: frameAnswer}

// squeezed gives the frame with its head squeezed, if the peer reads such heads
// and bytes to it are dear. Writing is locked.
func (t *trunk) squeezed(f frame) (frame, error) {
	kind, has := squeezedKinds[f.kind]
	if !has || !t.thrifty.Load() || t.version.Load() < versionSqueezed {
		return f, nil
	}
	head, body, err := split(f.payload)
	if err != nil || len(head) > maxSqueezed || len(body) > maxBeside {
		return f, err
	}
	small, err := t.sent.squeeze(head)
	if err != nil {
		return f, err
	}
	return frame{kind: kind, number: f.number, payload: join(small, body)}, nil
}

// expanded gives a frame as it was before it was squeezed. Who squeezes heads
// gets them squeezed.
func (t *trunk) expanded(f frame) (frame, error) {
	kind, is := plainKinds[f.kind]
	if !is {
		return f, nil
	}
	t.thrifty.Store(true)
	small, body, err := split(f.payload)
	if err != nil {
		return f, err
	}
	head, err := t.got.expand(small)
	if err != nil {
		return f, err
	}
	return frame{kind: kind, number: f.number, payload: join(head, body)}, nil
}
