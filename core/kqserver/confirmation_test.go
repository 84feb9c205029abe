package kqserver_test

import (
	"testing"
	"time"

	"kumquatlink/core/kqserver"
)

func ready(id string, born, sequence int64) kqserver.Notice {
	return kqserver.Notice{ServerID: id, Born: born, Sequence: sequence, State: kqserver.Ready}
}

// TestLateNoticeIsBelievedAfterARestart guards against a server that left in the time of
// the former process and gets requests again for a notice that it made before.
func TestLateNoticeIsBelievedAfterARestart(t *testing.T) {
	type step struct {
		after  time.Duration
		notice kqserver.Notice
		want   bool // whether the notice is held back
	}
	for name, steps := range map[string][]step{
		"one late notice":                  {{time.Second, ready("a", 1, 5), true}},
		"two late notices":                 {{time.Second, ready("a", 1, 5), true}, {3 * time.Second, ready("a", 1, 6), true}},
		"one very late notice":             {{20 * time.Second, ready("a", 1, 5), true}},
		"the same notice twice, very late": {{time.Second, ready("a", 1, 5), true}, {20 * time.Second, ready("a", 1, 5), true}},
		"out of order, very late":          {{time.Second, ready("a", 1, 5), true}, {20 * time.Second, ready("a", 1, 4), true}},
		"of another server":                {{time.Second, ready("a", 1, 5), true}, {20 * time.Second, ready("b", 1, 6), true}},
		"of another start":                 {{time.Second, ready("a", 1, 5), true}, {20 * time.Second, ready("a", 2, 6), true}},
		"a server that goes on":            {{time.Second, ready("a", 1, 5), true}, {7 * time.Second, ready("a", 1, 9), true}, {8500 * time.Millisecond, ready("a", 1, 10), false}, {9 * time.Second, ready("a", 1, 11), false}},
		"a server that does not number":    {{time.Second, ready("a", 0, 0), true}, {8500 * time.Millisecond, ready("a", 0, 0), false}},
	} {
		var c kqserver.Confirmation
		for i, s := range steps {
			if got := c.Hold(s.after, s.notice, true); got != s.want {
				t.Errorf("%s: notice %d held back: got %t, want %t", name, i, got, s.want)
			}
		}
	}
}

func TestConfirmationReleasesTheNoticesOfItsServer(t *testing.T) {
	var c kqserver.Confirmation
	for i := range int64(12) {
		c.Hold(time.Second, ready("a", 1, i+1), true)
		c.Hold(time.Second, ready("b", 1, i+1), true)
	}
	if c.IsGiven() {
		t.Error("confirmation before an answer: got given, want not")
	}
	held := c.Give("b")
	if got, want := len(held), 4; got != want {
		t.Fatalf("notices of b among the last 8: got %d, want %d", got, want)
	}
	if got, want := held[3], ready("b", 1, 12); got != want {
		t.Errorf("last notice: got %+v, want %+v", got, want)
	}
	if c.Hold(time.Second, ready("a", 1, 13), true) || !c.IsGiven() {
		t.Error("notice after the confirmation: got held back, want not")
	}
}

// TestNoticesDoNotConfirmBeforeTheFormerProcessIsKnown has a server go on to send notices
// while nobody tells what the former process knew of it.
func TestNoticesDoNotConfirmBeforeTheFormerProcessIsKnown(t *testing.T) {
	var c kqserver.Confirmation
	for i := range int64(10) {
		if !c.Hold(time.Duration(i)*3*time.Second, ready("a", 1, i+1), false) {
			t.Errorf("notice %d: got believed, want held back", i)
		}
	}
	if c.Hold(time.Minute, ready("a", 1, 20), true) {
		t.Error("notice once that is known: got held back, want believed")
	}
}
