package kqanswer

import (
	"strings"

	"kumquatlink/core/kqgrammar"
)

// ParseChunkLine parses the line before the data of a chunk, with its line end, and
// returns the size of the chunk in bytes. The last chunk has the size 0.
func ParseChunkLine(line []byte) (int, error) {
	size, isValid := kqgrammar.ParseChunkLine(line)
	if !isValid {
		return 0, malformed("chunk", line)
	}
	return size, nil
}

// CheckChunkEnd checks the line after the data of a chunk, which is an empty one.
func CheckChunkEnd(line []byte) error {
	if !kqgrammar.IsChunkEnd(line) {
		return malformed("end of a chunk", line)
	}
	return nil
}

// CheckTrailerLine checks the next line of a trailer, with its line end, and reports
// whether the trailer is complete. Fields about the framing may not be in a trailer.
func CheckTrailerLine(line []byte) (isComplete bool, err error) {
	text, err := cutLineEnd(line)
	if err != nil {
		return false, err
	}
	if len(text) == 0 {
		return true, nil
	}
	f, err := ParseField(text)
	if err == nil && (strings.EqualFold(f.Name, kqgrammar.FieldLength) || strings.EqualFold(f.Name, kqgrammar.FieldEncoding)) {
		err = malformed("trailer", line)
	}
	return false, err
}
