// Package kqjson splits JSON objects and arrays into the texts of their fields
// and elements, without decoding these. A document that holds entries of several
// writers can so be read entry by entry: one that is nested too deeply for
// [encoding/json], or has a field of an unexpected type, does not keep a reader
// from the others.
//
// # Usage
//
//	fields, err := kqjson.Fields(body)
//	items, err := kqjson.Elements(fields["items"])
//	for _, i := range items {
//		if err := json.Unmarshal(i, &entry); err != nil { ... } // skip this entry
//	}
//
// Only the document itself is checked: the texts that are returned may be
// malformed, and share the memory of the document. The time is linear in the
// length of the document, and the memory in the number of fields or elements,
// at any depth.
package kqjson

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// ErrMalformed marks the errors of this package.
var ErrMalformed = errors.New("JSON can't be split")

// Fields returns the texts of the fields of an object, by field name. An empty
// text and null have no fields. Of fields with the same name the last one counts.
func Fields(text []byte) (map[string][]byte, error) {
	s := scanner{text: text}
	fields := map[string][]byte{}
	err := s.entries('{', '}', func() error {
		name := ""
		if err := json.Unmarshal(s.value(), &name); err != nil {
			return s.malformed("a field name")
		}
		if s.next() != ':' {
			return s.malformed("a colon")
		}
		s.at++
		s.next()
		value := s.value()
		if len(value) == 0 {
			return s.malformed("a value")
		}
		fields[name] = value
		return nil
	})
	return fields, err
}

// Elements returns the texts of the elements of an array. An empty text and null
// have no elements.
func Elements(text []byte) ([][]byte, error) {
	s := scanner{text: text}
	var elements [][]byte
	err := s.entries('[', ']', func() error {
		elements = append(elements, s.value())
		return nil
	})
	return elements, err
}

// scanner reads a text from a position on.
type scanner struct {
	text []byte
	at   int
}

// entries calls read at the start of each entry of an object or array that is
// enclosed in the two brackets.
func (s *scanner) entries(first, last byte, read func() error) error {
	if trimmed := bytes.TrimSpace(s.text); len(trimmed) == 0 || string(trimmed) == "null" {
		return nil
	}
	if s.next() != first {
		return s.malformed("an opening bracket")
	}
	s.at++
	if s.next() == last {
		return nil
	}
	for {
		begun := s.at
		if err := read(); err != nil {
			return err
		}
		separator := s.next()
		switch {
		case s.at == begun || separator != ',' && separator != last:
			return s.malformed("an entry and a comma or a closing bracket")
		case separator == last:
			return nil
		}
		s.at++
		s.next()
	}
}

// next skips white space and returns the byte that follows, or 0 at the end.
func (s *scanner) next() byte {
	for s.at < len(s.text) && isSpace(s.text[s.at]) {
		s.at++
	}
	if s.at == len(s.text) {
		return 0
	}
	return s.text[s.at]
}

// value returns the text of the value that starts at the position, and moves to
// its end. Nested brackets are counted, not matched.
func (s *scanner) value() []byte {
	begun, depth := s.at, 0
	for s.at < len(s.text) {
		switch c := s.text[s.at]; {
		case c == '"':
			s.skipString()
			if depth == 0 {
				return s.text[begun:s.at]
			}
			continue
		case c == '{' || c == '[':
			depth++
		case depth == 0 && (c == ',' || c == ':' || c == '}' || c == ']' || isSpace(c)):
			return s.text[begun:s.at]
		case c == '}' || c == ']':
			depth--
			if depth == 0 {
				s.at++
				return s.text[begun:s.at]
			}
		}
		s.at++
	}
	return s.text[begun:s.at]
}

// skipString moves behind the string that starts at the position.
func (s *scanner) skipString() {
	for s.at++; s.at < len(s.text); s.at++ {
		switch s.text[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return
		}
	}
	s.at = min(s.at, len(s.text))
}

// malformed returns the error that the position does not hold what was wanted.
func (s *scanner) malformed(want string) error {
	return errors.Mark(errors.Newf("byte %d of %d: want %s", s.at, len(s.text), want), ErrMalformed)
}

func isSpace(c byte) bool {
	return c == ' ' || c == '\n' || c == '\t' || c == '\r'
}
