package kqtrunk

import (
	"bytes"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/flate"
)

// Bounds of the compression of heads, in bytes.
const (
	// dictionaryBytes is how much of the earlier heads a head may refer to, which
	// is some ten of them. This much is kept for each direction of a connection.
	dictionaryBytes = 4 << 10
	// maxCompressibleHead bounds the uncompressed size of a compressed head, so
	// that a few bytes can't make the receiver allocate a lot of memory.
	maxCompressibleHead = 16 << 10
	// maxBodyWithCompressedHead bounds the body in a frame with a compressed
	// head, since the body is copied. In larger frames the head is a small part.
	maxBodyWithCompressedHead = 64 << 10
)

// dictionary is the preset dictionary for deflate: the most recent heads that were
// sent compressed in one direction of a connection. Both ends hold the same bytes,
// since frames arrive in the order in which they are sent.
type dictionary struct {
	recent []byte
}

func (d *dictionary) add(head []byte) {
	d.recent = append(d.recent, head...)
	if over := len(d.recent) - dictionaryBytes; over > 0 {
		d.recent = append(d.recent[:0], d.recent[over:]...)
	}
}

// compress returns a head compressed with references into the dictionary, and adds
// the head to it. Names, routes, hosts and paths repeat from head to head; only
// IDs are new.
func (d *dictionary) compress(head []byte) ([]byte, error) {
	var out bytes.Buffer
	if err := flate.StatelessDeflate(&out, head, true, d.recent); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "compress head"), ErrFrame)
	}
	d.add(head)
	return out.Bytes(), nil
}

// inflaters pools the readers of compressed heads, since each allocates deflate's
// window of 32 KB (RFC 1951).
var inflaters = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// decompress reverses compress, and adds the head to the dictionary.
func (d *dictionary) decompress(data []byte) ([]byte, error) {
	r := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(data), d.recent); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decompress head"), ErrFrame)
	}
	head, err := io.ReadAll(io.LimitReader(r, maxCompressibleHead+1))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decompress head"), ErrFrame)
	}
	if len(head) > maxCompressibleHead {
		return nil, errors.Mark(errors.Newf("compressed head expands to more than %d bytes", maxCompressibleHead), ErrFrame)
	}
	d.add(head)
	return head, nil
}

// compressedKinds maps the kind of a plain frame to that with a compressed head.
var compressedKinds = map[frameKind]frameKind{frameCall: frameCallCompressed, frameAnswer: frameAnswerCompressed}

// plainKinds is the inverse of compressedKinds.
var plainKinds = map[frameKind]frameKind{frameCallCompressed: frameCall, frameAnswerCompressed: frameAnswer}

// compressHead returns the frame with its head compressed if the peer can read
// that and compression is on for it. The caller holds writeMutex.
func (t *trunk) compressHead(f frame) (frame, error) {
	kind, has := compressedKinds[f.kind]
	if !has || len(f.rest) > 0 || !t.compress.Load() || t.version.Load() < versionCompression {
		return f, nil
	}
	head, body, err := split(f.payload)
	if err != nil || len(head) > maxCompressibleHead || len(body) > maxBodyWithCompressedHead {
		return f, err
	}
	compressed, err := t.sent.compress(head)
	if err != nil {
		return f, err
	}
	return frame{kind: kind, number: f.number, payload: join(compressed, body)}, nil
}

// decompressHead reverses compressHead. A peer that sends compressed heads is sent
// compressed heads from then on.
func (t *trunk) decompressHead(f frame) (frame, error) {
	kind, is := plainKinds[f.kind]
	if !is {
		return f, nil
	}
	t.compress.Store(true)
	compressed, body, err := split(f.payload)
	if err != nil {
		return f, err
	}
	head, err := t.received.decompress(compressed)
	if err != nil {
		return f, err
	}
	return frame{kind: kind, number: f.number, payload: join(head, body), release: f.release}, nil
}
