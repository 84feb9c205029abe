package kqserver_test

import (
	"testing"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqserver"
)

func TestStatementIsDecoded(t *testing.T) {
	for _, c := range []struct {
		limit, leaving string
		want           kqserver.Statement
		readable       bool
	}{
		{"", "", kqserver.Statement{}, true},
		{"10.5", "", kqserver.Statement{Limited: true, Limit: 10.5}, true},
		{" 7 ", "1", kqserver.Statement{Limited: true, Limit: 7, Leaving: true}, true},
		{"0", "0", kqserver.Statement{Limited: true}, true},
		{"0.05", " 1 ", kqserver.Statement{Limited: true, Limit: 0.05, Leaving: true}, true},
		{"many", "1", kqserver.Statement{Leaving: true}, false},
		{"-1", "", kqserver.Statement{}, false},
		{"NaN", "", kqserver.Statement{}, false},
		{"Inf", "", kqserver.Statement{}, false},
		{"1e999", "", kqserver.Statement{}, false},
		{"10, 20", "", kqserver.Statement{}, false},
	} {
		got, err := kqserver.ParseStatement(c.limit, c.leaving)
		if got != c.want || (err == nil) != c.readable || err != nil && !errors.Is(err, kqserver.ErrStatement) {
			t.Errorf("limit %q, leaving %q: got %+v, %v, want %+v, readable %t", c.limit, c.leaving, got, err, c.want, c.readable)
		}
	}
}
