// Package kqanswer decides whether bytes are an answer in HTTP/1.1. It answers the
// load of a faulty backend server that sends malformed answers.
//
// It follows the grammar of RFC 9112 and repairs nothing. Where the RFC lets a recipient
// trim, join or ignore something, the answer is malformed here: a caller must not get
// what its server has not sent. All code that reads answers decides by this package,
// before it uses any part of them.
//
// # Usage
//
// A [Head] takes the lines of a head one by one, each with its line end, and is
// complete after the empty one:
//
//	var head kqanswer.Head
//	for isComplete := false; !isComplete; {
//		line := ... // up to and with the next "\n"
//		isComplete, err = head.AddLine(line)
//	}
//
// The head is that of an interim answer unless [Head.IsFinal] holds. [Head.Framing] says
// how the body ends, and [Head.Closes] whether its connection takes another call. The lines
// of a body in chunks are parsed by [ParseChunkLine] before the data of a chunk,
// [CheckChunkEnd] after it, and [CheckTrailerLine] after the last chunk. Errors are marked
// [ErrMalformed].
//
// Answers that another node has read are checked with [IsFinalStatus] and [CheckField],
// since it may be of a build that accepts others.
package kqanswer

import (
	"strconv"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqgrammar"
)

// ErrMalformed marks the errors of malformed answers.
var ErrMalformed = errors.New("malformed answer")

// Statuses of answers. Status 101 is refused, since no call asks to switch protocols.
const (
	minStatus       = 100
	switchProtocols = 101
	minFinalStatus  = 200
	maxStatus       = 599
)

// Parts of a status line.
const (
	protocol     = "HTTP/1."
	statusAt     = len("HTTP/1.1 ")
	statusDigits = 3
	reasonAt     = statusAt + statusDigits + len(" ")
)

// cutLineEnd returns a line without its line end.
func cutLineEnd(line []byte) ([]byte, error) {
	text, hasEnd := kqgrammar.CutLineEnd(line)
	if !hasEnd {
		return nil, malformed("line end", line)
	}
	return text, nil
}

// malformed returns an error, marked [ErrMalformed], that names the malformed part and
// quotes the line.
func malformed(what string, line []byte) error {
	const maxQuoted = 80
	return errors.Mark(errors.Newf("malformed %s in %q", what, line[:min(len(line), maxQuoted)]), ErrMalformed)
}

// IsFinalStatus reports whether the status is one of a final answer.
func IsFinalStatus(status int) bool {
	return status >= minFinalStatus && status <= maxStatus
}

// Head is the head of an answer. The zero value has no lines yet.
type Head struct {
	// Status is 0 until the status line was added.
	Status int
	// Minor is the minor version of HTTP/1, 0 to 9.
	Minor int
	// Fields are in the order of their lines.
	Fields []Field

	// framing and length say how the body ends, isClosed and isKept what the fields say
	// about the connection.
	framing          Framing
	length           int
	isClosed, isKept bool
}

// Reset empties the head and keeps the memory for a usual number of fields.
func (h *Head) Reset() {
	const maxKept = 64
	if cap(h.Fields) > maxKept {
		h.Fields = nil
	}
	clear(h.Fields)
	*h = Head{Fields: h.Fields[:0]}
}

// AddLine adds the next line, with its line end. It reports whether the head is
// complete. After an error the head must not be used.
func (h *Head) AddLine(line []byte) (isComplete bool, err error) {
	text, err := cutLineEnd(line)
	switch {
	case err != nil:
		return false, err
	case h.Status == 0:
		return false, h.parseStatusLine(text)
	case len(text) == 0:
		return true, h.setFraming()
	}
	f, err := ParseField(text)
	if err != nil {
		return false, err
	}
	h.Fields = append(h.Fields, f)
	return false, nil
}

// parseStatusLine sets the version and the status. The reason may be empty, but the
// blank before it is required.
func (h *Head) parseStatusLine(line []byte) error {
	if len(line) < reasonAt || string(line[:len(protocol)]) != protocol || !kqgrammar.IsDigit(line[len(protocol)]) ||
		line[statusAt-1] != ' ' || line[reasonAt-1] != ' ' {
		return malformed("status line", line)
	}
	for _, c := range line[reasonAt:] {
		if !kqgrammar.IsTextByte(c) {
			return malformed("reason", line)
		}
	}
	status, err := strconv.ParseUint(string(line[statusAt:reasonAt-1]), 10, 16)
	if err != nil || status < minStatus || status > maxStatus || status == switchProtocols {
		return malformed("status", line)
	}
	h.Status, h.Minor = int(status), int(line[len(protocol)]-'0')
	return nil
}

// IsFinal reports whether the answer is a final one, and not an interim one.
func (h *Head) IsFinal() bool { return IsFinalStatus(h.Status) }
