package kqhttp

import (
	"io"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqanswer"
)

// body returns the body that follows the head that was read, and its length in bytes,
// negative if it is unknown. The body is nil if there is none. It returns [io.EOF] only at
// the end of the answer, and another error if the stream ends earlier.
func (c *connection) body(isHEAD bool) (body io.Reader, length int) {
	framing, length := c.head.Framing(isHEAD)
	switch framing {
	case kqanswer.FramingLength:
		return &sizedBody{connection: c, left: length}, length
	case kqanswer.FramingChunks:
		return &chunkedBody{connection: c}, -1
	case kqanswer.FramingClose:
		return c.reader, -1
	default:
		return nil, 0
	}
}

// sizedBody reads a body, or a chunk of one, of a known size.
type sizedBody struct {
	connection *connection
	// left is the number of bytes that have not been read.
	left int
}

// Read reads the next bytes of the body.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.connection.reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody reads a body in chunks, and the trailer after it.
type chunkedBody struct {
	connection *connection
	chunk      sizedBody
	// err ends the body: io.EOF after its trailer.
	err error
}

// Read reads the next bytes of the body.
func (b *chunkedBody) Read(p []byte) (int, error) {
	for b.err == nil {
		n, err := b.chunk.Read(p)
		if !errors.Is(err, io.EOF) {
			b.err = err
			return n, err
		}
		b.err = b.beginChunk()
	}
	return 0, b.err
}

// beginChunk ends the chunk that was read, and begins the next one. It returns io.EOF
// after the last one.
func (b *chunkedBody) beginChunk() error {
	c := b.connection
	if b.chunk.connection != nil {
		line, err := c.readLine(maxHeadBytes)
		if err != nil {
			return err
		}
		if err := kqanswer.CheckChunkEnd(line); err != nil {
			return err
		}
	}
	line, err := c.readLine(maxHeadBytes)
	if err != nil {
		return err
	}
	size, err := kqanswer.ParseChunkLine(line)
	if err != nil {
		return err
	}
	if size == 0 {
		return c.readTrailer()
	}
	b.chunk = sizedBody{connection: c, left: size}
	return nil
}

// readTrailer reads and drops the trailer of a body. It returns io.EOF at its end.
func (c *connection) readTrailer() error {
	left := maxHeadBytes
	for {
		line, err := c.readLine(left)
		if err != nil {
			return err
		}
		left -= len(line)
		isComplete, err := kqanswer.CheckTrailerLine(line)
		if err != nil {
			return err
		}
		if isComplete {
			return io.EOF
		}
	}
}
