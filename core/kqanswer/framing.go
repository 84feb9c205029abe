package kqanswer

import (
	"strconv"
	"strings"

	"kumquatlink/core/kqgrammar"
)

// Options of a connection.
const (
	optionClose = "close"
	optionKeep  = "keep-alive"
)

// Statuses of final answers that have no body.
const (
	statusNoContent   = 204
	statusNotModified = 304
)

// Framing says how the body of an answer ends.
type Framing int

// Ways in which a body ends.
const (
	// FramingNone is that of an answer that ends with its head.
	FramingNone Framing = iota
	// FramingLength is that of a body of a given length.
	FramingLength
	// FramingChunks is that of a body in chunks.
	FramingChunks
	// FramingClose is that of a body that ends when the server ends its stream.
	FramingClose
)

// setFraming decides how the body ends, when all fields are known. Repeated and
// contradicting fields are errors, since recipients would disagree on the end of the body.
// So are transfer codings other than chunked, since calls ask for none, and fields that
// the version or the status does not allow.
func (h *Head) setFraming() error {
	lengths, codings := 0, 0
	for _, f := range h.Fields {
		var err error
		switch {
		case strings.EqualFold(f.Name, kqgrammar.FieldLength):
			lengths++
			h.length, err = parseLength(f.Value)
		case strings.EqualFold(f.Name, kqgrammar.FieldEncoding):
			codings++
			if !strings.EqualFold(f.Value, kqgrammar.CodingChunked) {
				err = malformed("transfer coding", []byte(f.Value))
			}
		case strings.EqualFold(f.Name, kqgrammar.FieldOptions):
			h.isClosed = h.isClosed || hasOption(f.Value, optionClose)
			h.isKept = h.isKept || hasOption(f.Value, optionKeep)
		}
		if err != nil {
			return err
		}
	}
	switch {
	case lengths+codings > 1, codings > 0 && h.Minor == 0:
		return malformed("framing", []byte(kqgrammar.FieldLength+", "+kqgrammar.FieldEncoding))
	case (!h.IsFinal() || h.Status == statusNoContent) && (codings > 0 || h.length > 0):
		return malformed("framing without a body", []byte(strconv.Itoa(h.Status)))
	case !h.IsFinal(), h.Status == statusNoContent, h.Status == statusNotModified:
		h.framing = FramingNone
	case codings > 0:
		h.framing = FramingChunks
	case lengths > 0:
		h.framing = FramingLength
	default:
		h.framing = FramingClose
	}
	return nil
}

// Framing returns how the body of a complete head's answer ends, and its length in bytes
// for [FramingLength]. An answer to a HEAD request has no body.
func (h *Head) Framing(isHEAD bool) (Framing, int) {
	if isHEAD {
		return FramingNone, 0
	}
	return h.framing, h.length
}

// Closes reports whether the connection takes no other call after the answer of a
// complete head.
func (h *Head) Closes() bool {
	return h.isClosed || h.Minor == 0 && !h.isKept || h.framing == FramingClose
}

// hasOption reports whether a list of options has the option.
func hasOption(list, option string) bool {
	for o := range strings.SplitSeq(list, ",") {
		if strings.EqualFold(strings.Trim(o, kqgrammar.Blanks), option) {
			return true
		}
	}
	return false
}

// parseLength parses a length in bytes.
func parseLength(text string) (int, error) {
	for i := range len(text) {
		if !kqgrammar.IsDigit(text[i]) {
			return 0, malformed("length", []byte(text))
		}
	}
	length, err := strconv.Atoi(text)
	if err != nil {
		return 0, malformed("length", []byte(text))
	}
	return length, nil
}
