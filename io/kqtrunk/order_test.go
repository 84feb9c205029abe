package kqtrunk_test

import (
	"context"
	"net"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqtrunk"
)

// orderedHead is the head of a call with a position and a header field.
func orderedHead() kqtrunk.CallHead {
	return kqtrunk.CallHead{RequestID: "a", Headers: []kqtrunk.Header{{Name: "X-A", Value: "1"}}, Order: 4_000_000_000}
}

// TestOrderReachesPeersThatKnowIt calls until the position arrives: the first calls may
// be sent before the peer's version has arrived.
func TestOrderReachesPeersThatKnowIt(t *testing.T) {
	heads := make(chan kqtrunk.CallHead, 1)
	s, err := kqtrunk.Listen("127.0.0.1:0", kqtrunk.Handlers{
		Call: func(_ context.Context, _ string, head kqtrunk.CallHead, _ []byte) (kqtrunk.AnswerHead, []byte) {
			heads <- head
			return kqtrunk.AnswerHead{End: kqcall.Ran(), Status: 200}, nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	d := kqtrunk.NewDialer(kqtrunk.Handlers{}, kqtrunk.WithCompression(func(string) bool { return true }))
	defer d.Close()
	ctx := testContext(t)
	for arrived := false; !arrived; {
		sent := orderedHead()
		if _, err := d.Call(ctx, s.Address(), sent, nil); err != nil {
			t.Fatal(err)
		}
		if len(sent.Headers) != 1 {
			t.Fatalf("header fields of the sender: got %+v, want them unchanged", sent.Headers)
		}
		got := <-heads
		if len(got.Headers) != 1 || got.Headers[0].Name != "X-A" {
			t.Fatalf("header fields: got %+v, want X-A alone", got.Headers)
		}
		if arrived = got.Order != 0; arrived && got.Order != sent.Order {
			t.Errorf("position: got %d, want %d", got.Order, sent.Order)
		}
	}
}

// TestOrderIsNotSentToAFormerBuild calls a node that advertises no version. Such a node
// would pass the element on to its backend server as a header field.
func TestOrderIsNotSentToAFormerBuild(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	d := kqtrunk.NewDialer(kqtrunk.Handlers{})
	defer d.Close()
	go func() { _, _ = d.Call(testContext(t), l.Addr().String(), orderedHead(), nil) }()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _, data := readRawFrame(t, c)
	var got kqtrunk.CallHead
	if err := cbor.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	if len(got.Headers) != 1 || got.Headers[0].Name != "X-A" {
		t.Errorf("header fields on the wire: got %+v, want X-A alone", got.Headers)
	}
}

// TestOrderThatIsNoNumberCountsAsNone has a peer send an element that can't be read.
func TestOrderThatIsNoNumberCountsAsNone(t *testing.T) {
	heads := make(chan kqtrunk.CallHead, 1)
	s, err := kqtrunk.Listen("127.0.0.1:0", kqtrunk.Handlers{
		Call: func(_ context.Context, _ string, head kqtrunk.CallHead, _ []byte) (kqtrunk.AnswerHead, []byte) {
			heads <- head
			return kqtrunk.AnswerHead{}, nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for _, value := range []string{"", "-1", "zzzzzzzzzz", "\xff"} {
		head := orderedHead()
		head.Headers = append(head.Headers, kqtrunk.Header{Value: value})
		writeRawFrame(t, c, kindCall, 1, head)
		if got := <-heads; got.Order != 0 || len(got.Headers) != 1 {
			t.Errorf("head with the element %q: got position %d and header fields %+v, want none and X-A alone", value, got.Order, got.Headers)
		}
	}
}
