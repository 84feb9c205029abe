package kqserver

import (
	"math"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrStatement marks errors about statements that can't be decoded.
var ErrStatement = errors.New("statement of a backend server can't be decoded")

// leavingValue is the value of the header of a server that leaves.
const leavingValue = "1"

// Statement is what a backend server says about itself in an answer. It holds
// until a later answer says otherwise.
type Statement struct {
	// Limited reports whether the server names a limit, and Limit is that
	// limit: the requests a second that it takes from all nodes together.
	Limited bool
	Limit   float64
	// Leaving reports whether the server drains: it takes no new requests.
	Leaving bool
}

// ParseStatement decodes the two header values of an answer; an empty value
// means that the answer lacks the header. Errors are marked [ErrStatement].
func ParseStatement(limit, leaving string) (Statement, error) {
	s := Statement{Leaving: strings.TrimSpace(leaving) == leavingValue}
	limit = strings.TrimSpace(limit)
	if limit == "" {
		return s, nil
	}
	value, err := strconv.ParseFloat(limit, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		return s, errors.Mark(errors.Newf("rate limit %q, want a decimal number of requests a second that is not negative", limit), ErrStatement)
	}
	s.Limited, s.Limit = true, value
	return s, nil
}

// String returns the statement for the log.
func (s Statement) String() string {
	text := "limit " + s.FormatLimit()
	if s.Leaving {
		text += ", leaves"
	}
	return text
}

// FormatLimit returns the limit in requests a second for the log.
func (s Statement) FormatLimit() string {
	if !s.Limited {
		return "none"
	}
	return strconv.FormatFloat(s.Limit, 'g', -1, 64)
}
