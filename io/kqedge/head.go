package kqedge

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqrequest"
	"kumquatlink/io/kqbody"
)

// errCodec marks requests that follow the grammar but that the codec refuses, such as one
// with two types of content.
var errCodec = errors.New("request has fields that contradict each other")

// awaitHead waits until a whole head is in the buffer of reader, and checks that all of its
// bytes follow the grammar. If the head does not fit into the buffer, a larger one is
// used, which is returned.
func awaitHead(in *input, reader *bufio.Reader, limits Limits) (*bufio.Reader, kqrequest.Head, error) {
	var head kqrequest.Head
	checked := 0
	for {
		isComplete, err := addLines(&head, reader, &checked)
		if isComplete || err != nil {
			return reader, head, err
		}
		if reader.Buffered() == reader.Size() {
			if reader.Size() >= limits.HeaderBytes {
				return reader, head, errors.Mark(errors.Newf("head goes on after %d bytes", checked), ErrHeadTooLarge)
			}
			buffered, _ := reader.Peek(reader.Buffered())
			// The limit is the operator's and may be far larger than any head.
			size := min(2*reader.Size(), limits.HeaderBytes)
			reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), in), size)
		}
		if _, err := reader.Peek(reader.Buffered() + 1); err != nil {
			if errors.Is(err, io.EOF) && checked > 0 {
				err = io.ErrUnexpectedEOF
			}
			return reader, head, err
		}
	}
}

// addLines adds the complete lines that have arrived after the checked bytes.
func addLines(head *kqrequest.Head, reader *bufio.Reader, checked *int) (isComplete bool, err error) {
	buffered, _ := reader.Peek(reader.Buffered())
	for {
		end := bytes.IndexByte(buffered[*checked:], '\n') + 1
		if end == 0 {
			return false, nil
		}
		line := buffered[*checked : *checked+end]
		*checked += end
		if isComplete, err = head.AddLine(line); isComplete || err != nil {
			return isComplete, err
		}
	}
}

// decodeHead reads a complete head that follows the grammar with the codec. A target in
// absolute form gives the host and the path.
func decodeHead(request *fasthttp.Request, reader *bufio.Reader) error {
	h := &request.Header
	if err := h.Read(reader); err != nil {
		// The text of the error quotes the request.
		return errCodec
	}
	if h.RequestURI()[0] == '/' {
		return nil
	}
	if authority, path, isAbsolute := kqrequest.SplitTarget(h.RequestURI()); isAbsolute {
		h.SetHostBytes(authority)
		if len(path) == 0 || path[0] != '/' {
			path = append([]byte("/"), path...)
		}
		h.SetRequestURIBytes(path)
	}
	return nil
}

// maxChunkOverhead bounds what the lines of chunks take beyond freeLineBytes each and
// twice the bytes of the body, since extensions and small chunks cost time and not memory.
const (
	maxChunkOverhead = 16 << 10
	freeLineBytes    = 16
)

// chunkedBody reads a body in chunks of at most room bytes, and drops the trailer after
// it, of at most trailerRoom bytes.
type chunkedBody struct {
	reader            *bufio.Reader
	room, trailerRoom int
	// left is what is left of the chunk, and isBegun whether there was one.
	left    int
	isBegun bool
	// overhead is what counts against maxChunkOverhead.
	overhead int
	// err ends the body: io.EOF after its trailer.
	err error
}

// Read reads the next bytes of the body.
func (b *chunkedBody) Read(p []byte) (int, error) {
	for b.left == 0 && b.err == nil {
		b.err = b.beginChunk()
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	b.err = unexpectedEnd(err)
	return n, b.err
}

// beginChunk ends the chunk that was read, and begins the next one. It returns io.EOF
// after the last one.
func (b *chunkedBody) beginChunk() error {
	if b.isBegun {
		end, err := b.reader.Peek(len("\r\n"))
		if err != nil {
			return unexpectedEnd(err)
		}
		if err := kqrequest.CheckChunkEnd(end); err != nil {
			return err
		}
		_, _ = b.reader.Discard(len(end))
	}
	line, err := readLine(b.reader, maxChunkOverhead)
	if errors.Is(err, ErrHeadTooLarge) {
		return kqrequest.ErrChunkOverhead
	}
	if err != nil {
		return err
	}
	size, err := kqrequest.ParseChunkLine(line)
	if err != nil {
		return err
	}
	if size == 0 {
		return b.readTrailer()
	}
	if size > b.room {
		return errors.Mark(errors.Newf("chunk of %d bytes, room for %d", size, b.room), kqbody.ErrTooLarge)
	}
	b.isBegun, b.left = true, size
	b.room -= size
	b.overhead = max(0, b.overhead+len(line)-freeLineBytes-2*size)
	if b.overhead > maxChunkOverhead {
		return kqrequest.ErrChunkOverhead
	}
	return nil
}

// readTrailer reads and drops the trailer. It returns io.EOF at its end.
func (b *chunkedBody) readTrailer() error {
	for {
		line, err := readLine(b.reader, b.trailerRoom)
		if err != nil {
			return err
		}
		b.trailerRoom -= len(line)
		isComplete, err := kqrequest.CheckTrailerLine(line)
		if err != nil {
			return err
		}
		if isComplete {
			return io.EOF
		}
	}
}

// readLine reads the next line, with its line end, of at most limit bytes. The line is
// valid until the next read. An error is marked ErrHeadTooLarge if the line is longer.
func readLine(reader *bufio.Reader, limit int) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line = bytes.Clone(line)
		for errors.Is(err, bufio.ErrBufferFull) && len(line) <= limit {
			var part []byte
			part, err = reader.ReadSlice('\n')
			line = append(line, part...)
		}
	}
	if len(line) > limit {
		return line, errors.Mark(errors.Newf("line goes on after %d bytes", limit), ErrHeadTooLarge)
	}
	return line, unexpectedEnd(err)
}

// unexpectedEnd returns the error of a stream that ends where it must not.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
