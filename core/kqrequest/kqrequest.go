// Package kqrequest decides whether bytes are a request in HTTP/1.1. It answers the load
// of callers that send malformed requests, by mistake or to have one request hidden
// in another.
//
// It follows the grammar of RFC 9112 and repairs nothing. Where the RFC leaves it to the
// recipient whether to accept something, the request is malformed here if another
// recipient could take it for a request of another length. All code that takes requests
// decides by this package, before it uses any part of them.
//
// # Usage
//
// A [Head] takes the lines of a head one by one, each with its line end, as they came
// from the connection. It is complete after the empty line:
//
//	var head kqrequest.Head
//	for isComplete := false; !isComplete; {
//		line := ... // up to and with the next "\n"
//		isComplete, err = head.AddLine(line)
//	}
//
// [Head.Framing] says how the body ends. The lines of a body in chunks are parsed by
// [ParseChunkLine] before the data of a chunk, [CheckChunkEnd] after it, and
// [CheckTrailerLine] after the last chunk. A Head keeps no line and allocates nothing.
//
// A server whose codec reads from the connection by itself gives that what a [Stream] has
// checked:
//
//	n, err := connection.Read(p)
//	valid, malformed := stream.Check(p[:n])
//
// Errors are marked [ErrMalformed]. [ReasonOf] says what is malformed. After an error
// nobody knows where the next request begins, so that the connection must be closed.
package kqrequest

import (
	"bytes"
	"math"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqgrammar"
)

// ErrMalformed marks the errors of malformed requests, and of those of a version of HTTP
// that is not spoken.
var ErrMalformed = errors.New("malformed request")

// Reason says what is malformed in a request.
type Reason string

// Reasons for which a request is refused. With [ReasonVersion] it may be a sound request
// of another version of HTTP.
const (
	ReasonRequestLine Reason = "RequestLine"
	ReasonTarget      Reason = "Target"
	ReasonVersion     Reason = "Version"
	ReasonLineEnd     Reason = "LineEnd"
	ReasonFolding     Reason = "Folding"
	ReasonFieldName   Reason = "FieldName"
	ReasonFieldValue  Reason = "FieldValue"
	ReasonHost        Reason = "Host"
	ReasonLength      Reason = "Length"
	ReasonCoding      Reason = "Coding"
	ReasonChunk       Reason = "Chunk"
	ReasonTrailer     Reason = "Trailer"
)

// refusal is an error with its reason. Its text quotes nothing of the request, since logs
// must not hold what callers keep secret.
type refusal struct {
	reason Reason
	text   string
}

// Error returns what is malformed.
func (r *refusal) Error() string { return "malformed request: " + r.text }

// Is reports whether the target is [ErrMalformed].
func (r *refusal) Is(target error) bool { return target == ErrMalformed }

// ErrChunkOverhead is the error of a body whose chunk lines take more than the reader
// allows.
var ErrChunkOverhead error = &refusal{ReasonChunk, "lines of chunks that are too long"}

// The errors of this package.
var (
	errRequestLine    = &refusal{ReasonRequestLine, "request line"}
	errTarget         = &refusal{ReasonTarget, "target"}
	errVersion        = &refusal{ReasonVersion, "version of HTTP other than 1.0 and 1.1"}
	errLineEnd        = &refusal{ReasonLineEnd, "line that does not end with CR and LF"}
	errFolding        = &refusal{ReasonFolding, "line that begins with a blank"}
	errFieldName      = &refusal{ReasonFieldName, "name of a field"}
	errFieldValue     = &refusal{ReasonFieldValue, "value of a field"}
	errHost           = &refusal{ReasonHost, "not one valid host"}
	errLength         = &refusal{ReasonLength, "not one length in digits"}
	errLengthCoding   = &refusal{ReasonLength, "length beside a transfer coding"}
	errCoding         = &refusal{ReasonCoding, "transfer coding other than chunked, once"}
	errCodingVersion  = &refusal{ReasonCoding, "transfer coding in HTTP/1.0"}
	errChunk          = &refusal{ReasonChunk, "line of a chunk"}
	errChunkEnd       = &refusal{ReasonChunk, "end of a chunk"}
	errTrailer        = &refusal{ReasonTrailer, "line of a trailer"}
	errTrailerFraming = &refusal{ReasonTrailer, "field about the length in a trailer"}
)

// ReasonOf returns the reason of an error of this package, and an empty one for any other.
func ReasonOf(err error) Reason {
	var r *refusal
	if errors.As(err, &r) {
		return r.reason
	}
	return ""
}

// Parts of a request line.
const (
	protocol = "HTTP/"
	version  = protocol + "1.x"
	minorAt  = len(version) - 1
)

// Names and values that the framing depends on.
var (
	fieldHost     = []byte("Host")
	fieldLength   = []byte(kqgrammar.FieldLength)
	fieldEncoding = []byte(kqgrammar.FieldEncoding)
	codingChunked = []byte(kqgrammar.CodingChunked)
)

// Framing says how the body of a request ends.
type Framing int

// Ways in which a body ends.
const (
	// FramingNone is that of a request that ends with its head.
	FramingNone Framing = iota
	// FramingLength is that of a body of a given length.
	FramingLength
	// FramingChunks is that of a body in chunks.
	FramingChunks
)

// Head is the head of a request, as far as it decides on the framing. The zero value has
// no lines yet.
type Head struct {
	isBegun            bool
	minor              byte
	hasHost, hasLength bool
	// isChunked reports whether the body is in chunks, and length its length otherwise.
	isChunked bool
	length    int
}

// AddLine adds the next line, with its line end. It reports whether the head is complete.
// Empty lines before the request line are skipped. After an error the head must not be
// used.
func (h *Head) AddLine(line []byte) (isComplete bool, err error) {
	text, hasEnd := kqgrammar.CutLineEnd(line)
	switch {
	case !hasEnd:
		return false, errLineEnd
	case len(text) == 0:
		if !h.isBegun {
			return false, nil
		}
		return true, h.checkFraming()
	case !h.isBegun:
		return false, h.parseRequestLine(text)
	}
	return false, h.addField(text)
}

// parseRequestLine parses the method, the target and the version, with one blank between
// them.
func (h *Head) parseRequestLine(line []byte) error {
	method, rest, hasTarget := bytes.Cut(line, []byte(" "))
	target, protocolText, hasVersion := bytes.Cut(rest, []byte(" "))
	if !hasTarget || !hasVersion {
		return errRequestLine
	}
	h.isBegun = true
	if !kqgrammar.IsToken(method) || !isVersion(protocolText) {
		return errRequestLine
	}
	h.minor = protocolText[minorAt]
	if string(protocolText[:minorAt]) != version[:minorAt] || h.minor != '0' && h.minor != '1' {
		return errVersion
	}
	if !isTarget(method, target) {
		return errTarget
	}
	return nil
}

// isVersion reports whether the text names any version of HTTP.
func isVersion(text []byte) bool {
	return len(text) == len(version) && string(text[:len(protocol)]) == protocol &&
		kqgrammar.IsDigit(text[len(protocol)]) && text[len(protocol)+1] == '.' && kqgrammar.IsDigit(text[minorAt])
}

// isTarget reports whether the target is in one of the four forms. Bytes over 127 are
// allowed, which callers send in place of encoded ones.
func isTarget(method, target []byte) bool {
	for _, c := range target {
		if c == '\t' || !kqgrammar.IsTextByte(c) {
			return false
		}
	}
	switch {
	case string(method) == "CONNECT":
		return isHost(target)
	case len(target) == 0:
		return false
	case target[0] == '/':
		return true
	case len(target) == 1 && target[0] == '*':
		return string(method) == "OPTIONS"
	}
	authority, _, isAbsolute := SplitTarget(target)
	return isAbsolute && isHost(authority)
}

// SplitTarget splits a target in absolute form into the authority and what follows it,
// which is empty or begins with a slash or a question mark.
func SplitTarget(target []byte) (authority, path []byte, isAbsolute bool) {
	scheme, rest, found := bytes.Cut(target, []byte("://"))
	if !found || !isScheme(scheme) {
		return nil, nil, false
	}
	end := bytes.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	return rest[:end], rest[end:], true
}

// isScheme reports whether the text may be the scheme of a target.
func isScheme(text []byte) bool {
	for i, c := range text {
		isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !isLetter && (i == 0 || !kqgrammar.IsDigit(c) && c != '+' && c != '-' && c != '.') {
			return false
		}
	}
	return len(text) > 0
}

// isHost reports whether the text may be a host with an optional port.
func isHost(text []byte) bool {
	for _, c := range text {
		if !isHostByte[c] {
			return false
		}
	}
	return len(text) > 0
}

// isHostByte holds the bytes that a host may contain: those of names and addresses, and
// bytes over 127.
var isHostByte = func() (table [256]bool) {
	for c := range table {
		table[c] = kqgrammar.IsDigit(byte(c)) || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z' || c > 0x7f
	}
	for _, c := range []byte("-._~!$&'()*+,;=:[]%") {
		table[c] = true
	}
	return table
}()

// addField checks a field line, and keeps what it says about the framing.
func (h *Head) addField(line []byte) error {
	name, value, err := cutField(line)
	if err != nil {
		return err
	}
	switch len(name) {
	case len(fieldHost):
		if bytes.EqualFold(name, fieldHost) {
			return h.addHost(value)
		}
	case len(fieldLength):
		if bytes.EqualFold(name, fieldLength) {
			return h.addLength(value)
		}
	case len(fieldEncoding):
		if bytes.EqualFold(name, fieldEncoding) {
			return h.addCoding(value)
		}
	}
	return nil
}

// cutField splits a field line, without its line end, into name and value.
func cutField(line []byte) (name, value []byte, err error) {
	if line[0] == ' ' || line[0] == '\t' {
		return nil, nil, errFolding
	}
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	if !hasColon || !kqgrammar.IsToken(name) {
		return nil, nil, errFieldName
	}
	if !kqgrammar.IsText(value) {
		return nil, nil, errFieldValue
	}
	return name, value, nil
}

// addHost adds a field Host. In HTTP/1.0 it may be empty.
func (h *Head) addHost(value []byte) error {
	value = bytes.Trim(value, kqgrammar.Blanks)
	if h.hasHost || !isHost(value) && (len(value) > 0 || h.minor != '0') {
		return errHost
	}
	h.hasHost = true
	return nil
}

// addLength adds a field Content-Length. One that is too large for an int counts as the
// largest.
func (h *Head) addLength(value []byte) error {
	value = bytes.Trim(value, kqgrammar.Blanks)
	if h.hasLength || len(value) == 0 {
		return errLength
	}
	h.hasLength = true
	for _, c := range value {
		if !kqgrammar.IsDigit(c) {
			return errLength
		}
		if digit := int(c - '0'); h.length > (math.MaxInt-digit)/10 {
			h.length = math.MaxInt
		} else {
			h.length = 10*h.length + digit
		}
	}
	return nil
}

// addCoding adds a field Transfer-Encoding.
func (h *Head) addCoding(value []byte) error {
	if h.isChunked || !bytes.EqualFold(bytes.Trim(value, kqgrammar.Blanks), codingChunked) {
		return errCoding
	}
	h.isChunked = true
	return nil
}

// checkFraming checks the fields of a complete head against each other.
func (h *Head) checkFraming() error {
	switch {
	case h.minor == '1' && !h.hasHost:
		return errHost
	case h.isChunked && h.minor == '0':
		return errCodingVersion
	case h.isChunked && h.hasLength:
		return errLengthCoding
	}
	return nil
}

// Framing returns how the body of a complete head's request ends, and its length in bytes
// for [FramingLength].
func (h *Head) Framing() (Framing, int) {
	switch {
	case h.isChunked:
		return FramingChunks, 0
	case h.hasLength:
		return FramingLength, h.length
	}
	return FramingNone, 0
}

// ParseChunkLine parses the line before the data of a chunk, with its line end, and
// returns the size of the chunk in bytes. The last chunk has the size 0.
func ParseChunkLine(line []byte) (int, error) {
	size, isValid := kqgrammar.ParseChunkLine(line)
	if !isValid {
		return 0, errChunk
	}
	return size, nil
}

// CheckChunkEnd checks the line after the data of a chunk, which is an empty one.
func CheckChunkEnd(line []byte) error {
	if !kqgrammar.IsChunkEnd(line) {
		return errChunkEnd
	}
	return nil
}

// CheckTrailerLine checks the next line of a trailer, with its line end, and reports
// whether the trailer is complete. Fields about the framing may not be in a trailer.
func CheckTrailerLine(line []byte) (isComplete bool, err error) {
	text, hasEnd := kqgrammar.CutLineEnd(line)
	switch {
	case !hasEnd:
		return false, errLineEnd
	case len(text) == 0:
		return true, nil
	}
	name, _, err := cutField(text)
	switch {
	case err != nil:
		return false, errTrailer
	case bytes.EqualFold(name, fieldLength), bytes.EqualFold(name, fieldEncoding):
		return false, errTrailerFraming
	}
	return false, nil
}
