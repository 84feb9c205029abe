// Package kqgrammar has the parts of the grammar of HTTP/1.1 that requests and answers
// share, by RFC 9110, section 5, and RFC 9112, sections 2 to 7. It repairs nothing:
// what the grammar does not have is reported and not trimmed.
//
// # Usage
//
// The packages that decide about whole messages use it, and mark the errors that say
// what they refuse:
//
//	text, hasEnd := kqgrammar.CutLineEnd(line)
//	isName := kqgrammar.IsToken(name)
//	isValue := kqgrammar.IsText(value)
//	size, isChunk := kqgrammar.ParseChunkLine(line)
package kqgrammar

import (
	"bytes"
	"strconv"
)

// Names of the fields that say how a body ends and what becomes of its connection.
const (
	FieldLength   = "Content-Length"
	FieldEncoding = "Transfer-Encoding"
	FieldOptions  = "Connection"
)

// CodingChunked is the transfer coding of a body in chunks.
const CodingChunked = "chunked"

// Blanks are the bytes that may stand around a value.
const Blanks = " \t"

// maxChunkDigits is the number of digits with which the size of a chunk fits into an
// int64.
const maxChunkDigits = 15

// lineEnd ends each line.
var lineEnd = []byte("\r\n")

// CutLineEnd returns a line without its line end, and whether it has one.
func CutLineEnd(line []byte) (text []byte, hasEnd bool) {
	return bytes.CutSuffix(line, lineEnd)
}

// IsToken reports whether the text is a token, such as a field name or a method.
func IsToken[T string | []byte](text T) bool {
	for i := range len(text) {
		if !isTokenByte[text[i]] {
			return false
		}
	}
	return len(text) > 0
}

// IsText reports whether the text may be a field value.
func IsText[T string | []byte](text T) bool {
	for i := range len(text) {
		if !IsTextByte(text[i]) {
			return false
		}
	}
	return true
}

// isTokenByte holds the bytes that a token may contain.
var isTokenByte = func() (table [256]bool) {
	for c := range table {
		table[c] = IsDigit(byte(c)) || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z'
	}
	for _, c := range []byte("!#$%&'*+-.^_`|~") {
		table[c] = true
	}
	return table
}()

// IsTextByte reports whether a value or a reason may contain the byte: a visible
// character, a blank, a tab or a byte over 127.
func IsTextByte(c byte) bool {
	const del = 0x7f
	return c == '\t' || c >= ' ' && c != del
}

// IsDigit reports whether the byte is a decimal digit.
func IsDigit(c byte) bool { return c >= '0' && c <= '9' }

// ParseChunkLine parses the line before the data of a chunk, with its line end, and
// returns the size of the chunk in bytes. The last chunk has the size 0. It reports
// whether the line follows the grammar and the size can be represented.
func ParseChunkLine(line []byte) (size int, isValid bool) {
	text, hasEnd := CutLineEnd(line)
	digits := 0
	for digits < len(text) && isHexDigit(text[digits]) {
		digits++
	}
	significant := bytes.TrimLeft(text[:digits], "0")
	if !hasEnd || digits == 0 || len(significant) > maxChunkDigits || !areExtensions(text[digits:]) {
		return 0, false
	}
	if len(significant) == 0 {
		return 0, true
	}
	parsed, err := strconv.ParseInt(string(significant), 16, 0)
	return int(parsed), err == nil
}

// IsChunkEnd reports whether the line may follow the data of a chunk: it is empty.
func IsChunkEnd(line []byte) bool { return bytes.Equal(line, lineEnd) }

// areExtensions reports whether the text is a list of chunk extensions, which may be
// empty. Each has a semicolon, a name and optionally a value. The grammar allows blanks
// before and after the semicolon and the equals sign.
func areExtensions(text []byte) bool {
	for len(text) > 0 {
		rest, hasSeparator := bytes.CutPrefix(trimBlanks(text), []byte(";"))
		if !hasSeparator {
			return false
		}
		name, rest := cutToken(trimBlanks(rest))
		if len(name) == 0 {
			return false
		}
		text = rest
		if after, hasValue := bytes.CutPrefix(trimBlanks(rest), []byte("=")); hasValue {
			if text, hasValue = cutValue(trimBlanks(after)); !hasValue {
				return false
			}
		}
	}
	return true
}

func trimBlanks(text []byte) []byte { return bytes.TrimLeft(text, Blanks) }

// cutToken returns the token at the beginning of the text, and the rest.
func cutToken(text []byte) (token, rest []byte) {
	n := 0
	for n < len(text) && isTokenByte[text[n]] {
		n++
	}
	return text[:n], text[n:]
}

// cutValue returns what follows the token or quoted string at the beginning of the text.
func cutValue(text []byte) (rest []byte, isValue bool) {
	if len(text) == 0 || text[0] != '"' {
		token, rest := cutToken(text)
		return rest, len(token) > 0
	}
	for i := 1; i < len(text) && IsTextByte(text[i]); i++ {
		switch text[i] {
		case '"':
			return text[i+1:], true
		case '\\':
			if i++; i == len(text) || !IsTextByte(text[i]) {
				return nil, false
			}
		}
	}
	return nil, false
}

func isHexDigit(c byte) bool {
	return IsDigit(c) || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}
