package kqanswer

import (
	"bytes"
	"strconv"
	"strings"
)

// maxChunkDigits is the number of digits with which the size of a chunk fits into an
// int64.
const maxChunkDigits = 15

// ParseChunkLine parses the line before the data of a chunk, with its line end, and
// returns the size of the chunk in bytes. The last chunk has the size 0.
func ParseChunkLine(line []byte) (int, error) {
	text, err := cutLineEnd(line)
	if err != nil {
		return 0, err
	}
	digits := 0
	for digits < len(text) && isHexDigit(text[digits]) {
		digits++
	}
	significant := bytes.TrimLeft(text[:digits], "0")
	if digits == 0 || len(significant) > maxChunkDigits || !areExtensions(text[digits:]) {
		return 0, malformed("chunk", line)
	}
	if len(significant) == 0 {
		return 0, nil
	}
	size, err := strconv.ParseInt(string(significant), 16, 0)
	if err != nil {
		return 0, malformed("chunk size", line)
	}
	return int(size), nil
}

// CheckChunkEnd checks the line after the data of a chunk, which is an empty one.
func CheckChunkEnd(line []byte) error {
	if !bytes.Equal(line, lineEnd) {
		return malformed("end of a chunk", line)
	}
	return nil
}

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

func trimBlanks(text []byte) []byte { return bytes.TrimLeft(text, " \t") }

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
	for i := 1; i < len(text) && isTextByte(text[i]); i++ {
		switch text[i] {
		case '"':
			return text[i+1:], true
		case '\\':
			if i++; i == len(text) || !isTextByte(text[i]) {
				return nil, false
			}
		}
	}
	return nil, false
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
	if err == nil && (strings.EqualFold(f.Name, fieldLength) || strings.EqualFold(f.Name, fieldEncoding)) {
		err = malformed("trailer", line)
	}
	return false, err
}

func isHexDigit(c byte) bool {
	return isDigit(c) || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}
