package kqnode

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqhome"
	"kumquatlink/core/kqledger"
	"kumquatlink/io/kqlink"
)

// TestSpoiledAnswerOfAFormerPeerIsPassedOn guards against peers that pass on an answer
// whose status or fields are malformed.
func TestSpoiledAnswerOfAFormerPeerIsPassedOn(t *testing.T) {
	lost := kqcall.Unknown(kqcall.CauseBackendLost)
	for _, c := range []struct {
		status int
		field  kqlink.Header
		want   kqcall.End
	}{
		{200, kqlink.Header{Name: "X-Odd", Value: "a \xe9"}, kqcall.Ran()},
		{500, kqlink.Header{Name: "X-Odd"}, kqcall.Ran()},
		{0, kqlink.Header{Name: "X-Odd"}, lost},
		{101, kqlink.Header{Name: "X-Odd"}, lost},
		{200, kqlink.Header{Name: "X Odd", Value: "a"}, lost},
		{200, kqlink.Header{Name: "X-\x01Odd", Value: "a"}, lost},
		{200, kqlink.Header{Name: "X-Odd", Value: "a\r\nX-Other: b"}, lost},
	} {
		got := readPeerAnswer(kqlink.AnswerHead{End: kqcall.Ran(), Status: c.status, Headers: []kqlink.Header{c.field}}, []byte("body"))
		if got.end != c.want || (string(got.body) == "body") != (c.want == kqcall.Ran()) {
			t.Errorf("status %d, field %+v: got %+v, body %q, want %+v", c.status, c.field, got.end, got.body, c.want)
		}
	}
	refused := kqlink.AnswerHead{End: kqcall.NotRun(kqcall.CauseDraining)}
	if got := readPeerAnswer(refused, nil); got.end != refused.End {
		t.Errorf("refusal of a peer: got %+v, want %+v", got.end, refused.End)
	}
}

// TestSpoiledAnswerOfAFormerHomeIsReplayed guards against answers that a home of a former
// build has stored with a key, and handed over with the key's bucket.
func TestSpoiledAnswerOfAFormerHomeIsReplayed(t *testing.T) {
	for _, c := range []struct {
		stored storedAnswer
		want   kqcall.End
	}{
		{storedAnswer{Status: 201, Body: []byte("body")}, kqcall.Ran()},
		{storedAnswer{Status: 0, Body: []byte("body")}, kqcall.Unknown(kqcall.CauseBackendLost)},
		{storedAnswer{Status: 103, Body: []byte("body")}, kqcall.Unknown(kqcall.CauseBackendLost)},
		{storedAnswer{Status: 200, Headers: []kqlink.Header{{Name: "X Odd", Value: "a"}}, Body: []byte("body")}, kqcall.Unknown(kqcall.CauseBackendLost)},
	} {
		text, err := cbor.Marshal(c.stored)
		if err != nil {
			t.Fatal(err)
		}
		got := resultOfVerdict(&call{}, kqhome.Verdict{Verdict: kqledger.Verdict{End: kqcall.Ran(), Action: kqledger.ActionReplay, Answer: text}})
		if got.end != c.want || (string(got.body) == "body") != (c.want == kqcall.Ran()) {
			t.Errorf("stored status %d: got %+v, body %q, want %+v", c.stored.Status, got.end, got.body, c.want)
		}
	}
}
