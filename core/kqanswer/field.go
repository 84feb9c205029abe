package kqanswer

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqgrammar"
)

// Field is a field of a head or a trailer. The value has no blanks around it.
type Field struct {
	Name, Value string
}

// ParseField parses a field line without its line end. Folded lines, which continue the
// value of the line before them, are malformed.
func ParseField(line []byte) (Field, error) {
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	if !hasColon || !kqgrammar.IsToken(name) {
		return Field{}, malformed("field name", line)
	}
	if !kqgrammar.IsText(value) {
		return Field{}, malformed("field value", line)
	}
	return Field{Name: string(name), Value: string(bytes.Trim(value, kqgrammar.Blanks))}, nil
}

// CheckField checks the name and the value of a field that were parsed elsewhere.
func CheckField(name, value string) error {
	if !kqgrammar.IsToken(name) || !kqgrammar.IsText(value) {
		return errors.Mark(errors.Newf("field %.80q with value %.80q", name, value), ErrMalformed)
	}
	return nil
}
