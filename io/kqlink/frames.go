package kqlink

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqhome"
)

// The largest frames, in bytes: the head of a call or an answer, and a control
// message.
const (
	MaxHeadBytes    = 64 << 10
	MaxMessageBytes = 1 << 20
)

// streamKind is the first byte of every stream to a server.
type streamKind byte

const (
	kindCall    streamKind = 1
	kindMessage streamKind = 2
	kindPing    streamKind = 3
)

// Header is one HTTP header field of a call or an answer.
type Header struct {
	Name  string
	Value string
}

// CallHead holds all of a call but its body, which follows it on the stream.
type CallHead struct {
	Head    kqcall.Head
	Method  string
	Path    string
	Headers []Header
	// ToHome reports whether the node is to process the call as the home of its
	// idempotency key, the node that keeps the key, and not as the gate of its
	// backend server.
	ToHome bool `cbor:",omitempty"`
	// BodyLength is the exact number of body bytes; the stream ends there.
	BodyLength int
	// AskLoad reports whether the call only requests the gate's load; the backend
	// server is not called then.
	AskLoad bool
}

// Load is the state of a gate, which it reports with every answer. InFlight and
// Queued count calls at the backend server and in the gate's queue; Limit is the
// gate's concurrency limit.
type Load struct {
	InFlight int
	Queued   int
	Limit    int
	// Withheld is the gate's admission threshold, encoded as by
	// kqadmit.Level.Withheld; 0 admits every call.
	Withheld uint64
	// Deep lists the downstream thresholds: for each class the strictest
	// admission threshold of the services further down the call chain.
	Deep []ClassThreshold
}

// ClassThreshold is the strictest admission threshold for a class among the
// services further down the call chain than a gate.
type ClassThreshold struct {
	Class string
	// Withheld is the threshold, encoded as by kqadmit.Level.Withheld.
	Withheld uint64
	// AgeMilliseconds is how long ago the gate that set the threshold reported
	// it, in milliseconds.
	AgeMilliseconds int64
}

// AnswerHead holds all of an answer but its body, which follows it on the stream.
type AnswerHead struct {
	End     kqcall.End
	Status  int
	Headers []Header
	// BodyLength is the exact number of body bytes; the stream ends there.
	BodyLength int
	// RetriesLeft is the part of the call's retry allowance that was not used.
	RetriesLeft int
	Load        Load
	// Token is the newest known token of the idempotency key's bucket, if the
	// answering node is not the home of the bucket.
	Token *kqhome.Token `cbor:",omitempty"`
}

// decodeMode bounds the nesting and sizes of what a peer sends.
var decodeMode = newDecodeMode()

func newDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 12,
		MaxNestedLevels:  8,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// appendFrame appends the CBOR of value, preceded by its length.
func appendFrame(buffer []byte, value any) ([]byte, error) {
	data, err := cbor.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(data)))
	return append(buffer, data...), nil
}

// maxJoinedBytes is the size up to which a frame and a body are copied into one
// buffer and written at once.
const maxJoinedBytes = 16 << 10

// joinBuffers returns the buffers to write. It joins a small frame and body, to
// save a write.
func joinBuffers(frame, body []byte) [][]byte {
	if len(body) == 0 {
		return [][]byte{frame}
	}
	if len(frame)+len(body) <= maxJoinedBytes {
		return [][]byte{append(frame, body...)}
	}
	return [][]byte{frame, body}
}

// readFrame reads a frame of at most limit bytes and decodes it into value.
func readFrame(r io.Reader, limit int, value any) error {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return errors.Wrap(err, "read frame length")
	}
	length := binary.BigEndian.Uint32(size[:])
	if length > uint32(limit) {
		return errors.Mark(errors.Newf("frame has %d bytes, the limit is %d", length, limit), ErrFrame)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(r, data); err != nil {
		return errors.Wrap(err, "read frame")
	}
	if err := decodeMode.Unmarshal(data, value); err != nil {
		return errors.Mark(errors.Wrap(err, "decode frame"), ErrFrame)
	}
	return nil
}

// readBody reads a body of exactly length bytes, and checks that the stream ends
// after it.
func readBody(r io.Reader, length, limit int) ([]byte, error) {
	if length < 0 || length > limit {
		return nil, errors.Mark(errors.Newf("body has %d bytes, the limit is %d", length, limit), ErrFrame)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	var extra [1]byte
	if n, err := r.Read(extra[:]); n != 0 || !errors.Is(err, io.EOF) {
		return nil, errors.Mark(errors.New("stream continues after the body"), ErrFrame)
	}
	return body, nil
}
