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
)

// prefixBytes is the size of the fields before a payload: the length of the
// payload, the kind of the frame and the number of the call.
const prefixBytes = 4 + 1 + 8

// headLengthBytes is the size of the field that holds the length of a head.
const headLengthBytes = 4

// frame is a unit of transfer between two nodes. The number identifies a call among
// those of one end of a connection; an answer has the number of its call.
type frame struct {
	kind    frameKind
	number  uint64
	payload []byte
}

// pack encodes a head and a body as a payload.
func pack(head any, body []byte) ([]byte, error) {
	data, err := cbor.Marshal(head)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "encode head"), ErrFrame)
	}
	if len(data)+len(body)+headLengthBytes > MaxFrameBytes {
		return nil, errors.Mark(errors.Newf("body of %d bytes and its head exceed the %d bytes of a frame", len(body), MaxFrameBytes), ErrFrame)
	}
	return join(data, body), nil
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

func writeFrame(w *bufio.Writer, f frame) error {
	var prefix [prefixBytes]byte
	binary.BigEndian.PutUint32(prefix[:], uint32(len(f.payload)))
	prefix[4] = byte(f.kind)
	binary.BigEndian.PutUint64(prefix[5:], f.number)
	if _, err := w.Write(prefix[:]); err != nil {
		return err
	}
	if _, err := w.Write(f.payload); err != nil {
		return err
	}
	return w.Flush()
}

func readFrame(r *bufio.Reader) (frame, error) {
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
		// A faulty peer may announce more than it ever sends, so the buffer grows
		// with the bytes that arrive.
		body, err := kqbody.NewBudget(2*MaxFrameBytes).Read(io.LimitReader(r, int64(length)), int(length), int(length))
		if err == nil && len(body) < int(length) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return frame{}, err
		}
		f.payload = body
	case length > 0:
		f.payload = make([]byte, length)
		if _, err := io.ReadFull(r, f.payload); err != nil {
			return frame{}, err
		}
	}
	return f, nil
}
