package kqtrunk

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"kumquatlink/io/kqbody"
)

// frameKind is the kind of a frame's payload. The values stand on the wire.
type frameKind byte

const (
	frameCall    frameKind = 1
	frameAnswer  frameKind = 2
	frameCancel  frameKind = 3
	frameMessage frameKind = 4
	framePing    frameKind = 5
	framePong    frameKind = 6
	// Known from versionCompression on.
	frameCallCompressed   frameKind = 7
	frameAnswerCompressed frameKind = 8
	// Known from versionUpdate on.
	frameUpdate frameKind = 9
	// Known from versionOffer on.
	frameOffer frameKind = 10
	frameGrant frameKind = 11
)

// prefixBytes is the size of the fields before a payload: the length of the
// payload, the kind of the frame and the number of the call.
const prefixBytes = 4 + 1 + 8

// headLengthBytes is the size of the field that holds the length of a head.
const headLengthBytes = 4

// pieceBytes is the size of the pieces in which large payloads are sent and received.
const pieceBytes = 256 << 10

// frame is a unit of transfer between two nodes. The number identifies a call among
// those of one end of a connection; an answer has the number of its call.
type frame struct {
	kind    frameKind
	number  uint64
	payload []byte
	// rest is the end of the payload of a frame that is sent, which is not copied.
	rest []byte
	// release gives the memory of a received payload back, nil if it is not counted.
	release func()
	// dropped reports whether the payload was not kept, since there was no memory for it.
	dropped bool
}

// pack encodes a head and a body as a payload. The body of a large one is its rest.
func pack(head any, body []byte) (payload, rest []byte, err error) {
	data, err := cbor.Marshal(head)
	if err != nil {
		return nil, nil, errors.Mark(errors.Wrap(err, "encode head"), ErrFrame)
	}
	if len(data)+len(body)+headLengthBytes > MaxFrameBytes {
		return nil, nil, errors.Mark(errors.Newf("body of %d bytes and its head exceed the %d bytes of a frame", len(body), MaxFrameBytes), ErrFrame)
	}
	if len(body) > kqbody.SmallBytes {
		return join(data, nil), body, nil
	}
	return join(data, body), nil, nil
}

// join builds a payload from an encoded head and a body.
func join(head, body []byte) []byte {
	payload := make([]byte, headLengthBytes, headLengthBytes+len(head)+len(body))
	binary.BigEndian.PutUint32(payload, uint32(len(head)))
	payload = append(payload, head...)
	return append(payload, body...)
}

// split returns the encoded head and the body of a payload, which share its
// memory.
func split(payload []byte) (head, body []byte, err error) {
	if len(payload) < headLengthBytes {
		return nil, nil, errors.Mark(errors.Newf("payload of %d bytes is too short for the length of a head", len(payload)), ErrFrame)
	}
	length := int(binary.BigEndian.Uint32(payload))
	rest := payload[headLengthBytes:]
	if length > len(rest) {
		return nil, nil, errors.Mark(errors.Newf("head of %d bytes announced in a payload of %d", length, len(payload)), ErrFrame)
	}
	return rest[:length], rest[length:], nil
}

// unpack decodes the head of a payload into head and returns the body, which
// shares the payload's memory.
func unpack(payload []byte, head any) ([]byte, error) {
	data, body, err := split(payload)
	if err != nil {
		return nil, err
	}
	if err := headMode.Unmarshal(data, head); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode head"), ErrFrame)
	}
	return body, nil
}

// headMode decodes heads. Header values, paths and queries are bytes, which HTTP
// does not require to be UTF-8, though they are encoded as text.
var headMode = newHeadMode()

func newHeadMode() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// writeFrame writes a frame. It calls progress before each piece of a large one.
func writeFrame(w *bufio.Writer, f frame, progress func() error) error {
	var prefix [prefixBytes]byte
	binary.BigEndian.PutUint32(prefix[:], uint32(len(f.payload)+len(f.rest)))
	prefix[4] = byte(f.kind)
	binary.BigEndian.PutUint64(prefix[5:], f.number)
	if _, err := w.Write(prefix[:]); err != nil {
		return err
	}
	if _, err := w.Write(f.payload); err != nil {
		return err
	}
	for rest := f.rest; len(rest) > 0; {
		piece := rest[:min(len(rest), pieceBytes)]
		rest = rest[len(piece):]
		if err := progress(); err != nil {
			return err
		}
		if _, err := w.Write(piece); err != nil {
			return err
		}
	}
	return w.Flush()
}

// readFrame reads a frame. Its large payload counts with hold, which reports whether there
// is memory for it; it is dropped if there is none. progress is called when a part of it
// has arrived.
func readFrame(r *bufio.Reader, hold func(f frame, bytes int) (release func(), ok bool), progress func()) (frame, error) {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return frame{}, err
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length > MaxFrameBytes {
		return frame{}, errors.Mark(errors.Newf("frame with a payload of %d bytes, at most %d are accepted", length, MaxFrameBytes), ErrFrame)
	}
	f := frame{kind: frameKind(prefix[4]), number: binary.BigEndian.Uint64(prefix[5:])}
	switch {
	case length > kqbody.SmallBytes:
		return f.readLarge(&progressReader{io.LimitReader(r, int64(length)), progress}, int(length), hold)
	case length > 0:
		f.payload = make([]byte, length)
		if _, err := io.ReadFull(r, f.payload); err != nil {
			return frame{}, err
		}
	}
	return f, nil
}

// readLarge reads a large payload, or drops it.
func (f frame) readLarge(r io.Reader, length int, hold func(f frame, bytes int) (release func(), ok bool)) (frame, error) {
	release, ok := hold(f, length)
	if !ok {
		f.dropped = true
		n, err := io.Copy(io.Discard, r)
		if err == nil && n < int64(length) {
			err = io.ErrUnexpectedEOF
		}
		return f, err
	}
	// A faulty peer may announce more than it ever sends, so the buffer grows
	// with the bytes that arrive.
	payload, err := kqbody.NewBudget(2*MaxFrameBytes).Read(r, length, length)
	if err == nil && len(payload) < length {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		release()
		return frame{}, err
	}
	f.payload, f.release = payload, release
	return f, nil
}

// progressReader calls progress when bytes have arrived.
type progressReader struct {
	io.Reader
	progress func()
}

// Read reads the next bytes.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p[:min(len(p), pieceBytes)])
	if n > 0 {
		r.progress()
	}
	return n, err
}
