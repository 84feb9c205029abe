package kqanswer

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// Field is a field of a head or a trailer. The value has no blanks around it.
type Field struct {
	Name, Value string
}

// ParseField parses a field line without its line end. Folded lines, which continue the
// value of the line before them, are malformed.
func ParseField(line []byte) (Field, error) {
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	if !hasColon || !isToken(name) {
		return Field{}, malformed("field name", line)
	}
	if !isText(value) {
		return Field{}, malformed("field value", line)
	}
	return Field{Name: string(name), Value: string(bytes.Trim(value, " \t"))}, nil
}

// CheckField checks the name and the value of a field that were parsed elsewhere.
func CheckField(name, value string) error {
	if !isToken(name) || !isText(value) {
		return errors.Mark(errors.Newf("field %.80q with value %.80q", name, value), ErrMalformed)
	}
	return nil
}

// isToken reports whether the text is a token, such as a field name.
func isToken[T string | []byte](text T) bool {
	for i := range len(text) {
		if !isTokenByte[text[i]] {
			return false
		}
	}
	return len(text) > 0
}

// isText reports whether the text may be a field value.
func isText[T string | []byte](text T) bool {
	for i := range len(text) {
		if !isTextByte(text[i]) {
			return false
		}
	}
	return true
}

// isTokenByte holds the bytes that a token may contain.
var isTokenByte = func() (table [256]bool) {
	for c := range table {
		table[c] = isDigit(byte(c)) || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z'
	}
	for _, c := range []byte("!#$%&'*+-.^_`|~") {
		table[c] = true
	}
	return table
}()

// isTextByte reports whether a value or a reason may contain the byte: a visible
// character, a blank, a tab or a byte over 127.
func isTextByte(c byte) bool {
	const del = 0x7f
	return c == '\t' || c >= ' ' && c != del
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
