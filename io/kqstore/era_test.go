package kqstore

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// TestAnswersOfAnEarlierEraAreRefused also checks that they are taken again when
// the newest era is not stated any more, since then the store is another one.
func TestAnswersOfAnEarlierEraAreRefused(t *testing.T) {
	now := time.Unix(0, 0)
	e := NewEras(func() time.Time { return now })
	for _, step := range []struct {
		after  time.Duration
		header string
		era    int64
		newest int64
		fails  bool
	}{
		{0, "", UnknownEra, UnknownEra, false},
		{0, "x", UnknownEra, UnknownEra, false},
		{0, "0", 0, 0, false},
		{time.Second, "1", 1, 1, false},
		{time.Second, "0", 0, 1, true},
		{time.Second, "", UnknownEra, 1, false},
		{time.Second, "1", 1, 1, false},
		{maxEarlierTime - 1, "0", 0, 1, true},
		{1, "0", 0, 0, false},
	} {
		now = now.Add(step.after)
		era, err := e.Record([]byte(step.header))
		if era != step.era || e.Newest() != step.newest || errors.Is(err, ErrExpired) != step.fails {
			t.Errorf("header %q at %s: got era %d, newest %d, error %v, want %d, %d, error %t", step.header, now, era, e.Newest(), err, step.era, step.newest, step.fails)
		}
	}
}

func TestLaterVersionComparesErasFirst(t *testing.T) {
	for _, c := range []struct {
		a, b string
		want bool
	}{
		{"9", "10", false},
		{"10", "9", true},
		{"2/3", "1/9", true},
		{"1/9", "2/3", false},
		{"2/3", "2/3", false},
		{"2/x", "2/3", false},
		{"0/1", "9", true},
	} {
		if got := LaterVersion(c.a, c.b); got != c.want {
			t.Errorf("%s later than %s: got %t, want %t", c.a, c.b, got, c.want)
		}
	}
	if era, revision := ParseVersion(FormatVersion(2, "17")); era != 2 || revision != "17" {
		t.Errorf("version of era 2: got era %d and revision %s, want 2 and 17", era, revision)
	}
}
