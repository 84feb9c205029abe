package kqlink

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqhome"
)

// Limits on what is read from a peer.
const (
	MaxHeadBytes    = 64 << 10
	MaxMessageBytes = 1 << 20
)

// streamKind is the first byte of every stream.
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

// CallHead opens a call's stream; BodyLength bytes of body follow it.
type CallHead struct {
	Head    kqcall.Head
	Method  string
	Path    string
	Headers []Header
	// ToHome asks the node to act as the home of the call's key, not as the
	// gate of its backend server.
	ToHome bool `cbor:",omitempty"`
	// BodyLength is the exact number of body bytes; the stream ends there.
	BodyLength int
	// AskLoad is whether the stream only asks for the gate's load; nothing is
	// run then.
	AskLoad bool
}

// Load is what a gate tells about itself on every answer.
type Load struct {
	InFlight int
	Queued   int
	Limit    int
	// Withheld gives the gate's cut as kqadmit.Level.Withheld does; 0 lets
	// every call in.
	Withheld uint64
	// Deep lists the strictest cuts behind the gate, by class.
	Deep []ClassThreshold
}

// ClassThreshold is the strictest cut behind a gate for a class of work.
type ClassThreshold struct {
	Class    string
	Withheld uint64
	// AgeMilliseconds is how long ago the gate that set the cut told of it.
	AgeMilliseconds int64
}

// AnswerHead opens the answer; BodyLength bytes of body follow it.
type AnswerHead struct {
	End     kqcall.End
	Status  int
	Headers []Header
	// BodyLength is the exact number of body bytes; the stream ends there.
	BodyLength int
	// RetriesLeft is the part of the call's retry allowance not used.
	RetriesLeft int
	Load        Load
	// Token is the newest token of the key's bucket, when the node asked is not
	// its home.
	Token *kqhome.Token `cbor:",omitempty"`
}

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

// joinLimit is the size up to which a head and a body are written at once.
const joinLimit = 16 << 10

// joinSmall gives what to write, in as few pieces as is cheap.
func joinSmall(frame, body []byte) [][]byte {
	if len(body) == 0 {
		return [][]byte{frame}
	}
	if len(frame)+len(body) <= joinLimit {
		return [][]byte{append(frame, body...)}
	}
	return [][]byte{frame, body}
}

// readFrame reads a value that appendFrame wrote.
func readFrame(r io.Reader, limit int, value any) error {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return errors.Wrap(err, "read frame length")
	}
	length := binary.BigEndian.Uint32(size[:])
	if length > uint32(limit) {
		return errors.Mark(errors.Newf("frame of %d bytes, at most %d are taken", length, limit), ErrFrame)
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

// readBody reads exactly length bytes and the end of the stream.
func readBody(r io.Reader, length, limit int) ([]byte, error) {
	if length < 0 || length > limit {
		return nil, errors.Mark(errors.Newf("body of %d bytes, at most %d are taken", length, limit), ErrFrame)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	var extra [1]byte
	if n, err := r.Read(extra[:]); n != 0 || !errors.Is(err, io.EOF) {
		return nil, errors.Mark(errors.New("stream goes on behind the body"), ErrFrame)
	}
	return body, nil
}
