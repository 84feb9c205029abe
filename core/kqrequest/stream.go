package kqrequest

import "bytes"

// chunkEnd follows the data of each chunk.
const chunkEnd = "\r\n"

// part is a part of a request in a [Stream].
type part int

// The parts of a request. A body is one of a given length, or the data of a chunk.
const (
	partHead part = iota
	partBody
	partChunkLine
	partChunk
	partChunkEnd
	partTrailer
)

// Stream checks the bytes of a connection, on which requests follow each other. The zero
// value expects the first request.
type Stream struct {
	head Head
	part part
	// left is what is left of a body, of a chunk or of the end of a chunk, in bytes.
	left int
	// line is the begin of a line whose end has not come yet.
	line []byte
}

// Check checks the next bytes. At the first malformed line, it returns the number of bytes
// before its end and an error, so that whoever gets the valid bytes never has a
// complete malformed request. After an error the stream must not be used.
func (s *Stream) Check(p []byte) (valid int, err error) {
	for rest := p; len(rest) > 0; rest = p[valid:] {
		switch s.part {
		case partBody, partChunk:
			n := min(s.left, len(rest))
			valid += n
			if s.left -= n; s.left == 0 {
				s.endBody()
			}
		case partChunkEnd:
			if rest[0] != chunkEnd[len(chunkEnd)-s.left] {
				return valid, errChunkEnd
			}
			valid++
			if s.left--; s.left == 0 {
				s.part = partChunkLine
			}
		default:
			end := bytes.IndexByte(rest, '\n')
			if end < 0 {
				s.line = append(s.line, rest...)
				return len(p), nil
			}
			if err := s.addLine(rest[:end+1]); err != nil {
				return valid + end, err
			}
			valid += end + 1
		}
	}
	return valid, nil
}

// endBody begins what follows the body or the data of a chunk.
func (s *Stream) endBody() {
	if s.part == partBody {
		s.endRequest()
		return
	}
	s.part, s.left = partChunkEnd, len(chunkEnd)
}

// endRequest begins the next request.
func (s *Stream) endRequest() {
	s.part, s.left, s.head = partHead, 0, Head{}
}

// addLine checks a line, of which the first bytes may have come before.
func (s *Stream) addLine(line []byte) error {
	if len(s.line) > 0 {
		line = append(s.line, line...)
		s.line = line[:0]
	}
	switch s.part {
	case partChunkLine:
		return s.addChunkLine(line)
	case partTrailer:
		isComplete, err := CheckTrailerLine(line)
		if isComplete {
			s.endRequest()
		}
		return err
	}
	isComplete, err := s.head.AddLine(line)
	if isComplete && err == nil {
		s.beginBody()
	}
	return err
}

// addChunkLine checks the line before the data of a chunk.
func (s *Stream) addChunkLine(line []byte) error {
	size, err := ParseChunkLine(line)
	s.part, s.left = partChunk, size
	if size == 0 {
		s.part = partTrailer
	}
	return err
}

// beginBody begins what follows a complete head.
func (s *Stream) beginBody() {
	framing, length := s.head.Framing()
	switch {
	case framing == FramingChunks:
		s.part = partChunkLine
	case length > 0:
		s.part, s.left = partBody, length
	default:
		s.endRequest()
	}
}
