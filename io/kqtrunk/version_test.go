package kqtrunk_test

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqtrunk"
)

// oldThreshold, oldLoad and oldAnswerHead are the wire formats of version 0, from
// before a threshold named its service. Nodes of that version decode only arrays
// of exactly this length.
type oldThreshold struct {
	_        struct{} `cbor:",toarray"`
	Class    string
	Withheld uint64
	Age      time.Duration
}

type oldLoad struct {
	_        struct{} `cbor:",toarray"`
	InFlight int
	Queued   int
	Limit    int
	Withheld uint64
	Deep     []oldThreshold
}

type oldAnswerHead struct {
	_             struct{} `cbor:",toarray"`
	End           kqcall.End
	Status        int
	Headers       []kqtrunk.Header
	Load          oldLoad
	ServerID      string
	Onward        int
	Queue         time.Duration
	Run           time.Duration
	RoutesVersion int64
}

// Kinds of frames that nodes of version 0 know, as they stand on the wire, and the
// size of the fields before a payload. Such nodes close a connection on which a
// frame of another kind arrives.
const (
	kindCall    = 1
	kindAnswer  = 2
	kindPong    = 6
	prefixBytes = 13
)

// rawFrame returns a frame as it stands on the wire.
func rawFrame(kind byte, number uint64, head, body []byte) []byte {
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(head)+len(body)+4))
	frame = append(frame, kind)
	frame = binary.BigEndian.AppendUint64(frame, number)
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(head)))
	return append(append(frame, head...), body...)
}

// writeRawFrame writes a frame with a head in CBOR and no body.
func writeRawFrame(t *testing.T, c net.Conn, kind byte, number uint64, head any) {
	t.Helper()
	data, err := cbor.Marshal(head)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write(rawFrame(kind, number, data, nil)); err != nil {
		t.Fatal(err)
	}
}

// readRawFrame reads frames up to the next that isn't a pong, and returns its kind,
// number and head. Like a node of version 0 it fails on kinds that it does not know.
func readRawFrame(t *testing.T, c net.Conn) (kind byte, number uint64, head []byte) {
	t.Helper()
	for {
		prefix := make([]byte, prefixBytes)
		if _, err := io.ReadFull(c, prefix); err != nil {
			t.Fatal(err)
		}
		payload := make([]byte, binary.BigEndian.Uint32(prefix))
		if _, err := io.ReadFull(c, payload); err != nil {
			t.Fatal(err)
		}
		switch kind = prefix[4]; kind {
		case kindCall, kindAnswer:
			return kind, binary.BigEndian.Uint64(prefix[5:]), payload[4 : 4+binary.BigEndian.Uint32(payload)]
		case kindPong:
		default:
			t.Fatalf("frame: got kind %d, which nodes of version 0 don't know", kind)
		}
	}
}

var sentThreshold = kqtrunk.ClassThreshold{Class: "browse", Withheld: 7, Age: time.Second, Service: "stock"}

// newThresholdServer returns a node whose answers report a downstream threshold.
func newThresholdServer(t *testing.T) *kqtrunk.Server {
	t.Helper()
	s, err := kqtrunk.Listen("127.0.0.1:0", kqtrunk.Handlers{
		Call: func(context.Context, string, kqtrunk.CallHead, []byte) (kqtrunk.AnswerHead, []byte) {
			return kqtrunk.AnswerHead{End: kqcall.Ran(), Status: 200, Load: kqtrunk.Load{Limit: 9, Deep: []kqtrunk.ClassThreshold{sentThreshold}}}, nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// TestVersion0NodeDecodesAnAnswerWithAThreshold covers an upgrade in which the
// called node is newer than the calling one.
func TestVersion0NodeDecodesAnAnswerWithAThreshold(t *testing.T) {
	c, err := net.Dial("tcp", newThresholdServer(t).Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	writeRawFrame(t, c, kindCall, 3, kqtrunk.CallHead{RequestID: "a"})
	kind, number, head := readRawFrame(t, c)
	if kind != kindAnswer || number != 3 {
		t.Fatalf("frame: got kind %d of call %d, want an answer to call 3", kind, number)
	}
	var got oldAnswerHead
	if err := cbor.Unmarshal(head, &got); err != nil {
		t.Fatal(err)
	}
	want := oldThreshold{Class: sentThreshold.Class, Withheld: sentThreshold.Withheld, Age: sentThreshold.Age}
	if len(got.Load.Deep) != 1 || got.Load.Deep[0] != want {
		t.Errorf("thresholds: got %+v, want %+v", got.Load.Deep, want)
	}
}

// TestAnswerOfAVersion0NodeIsDecoded covers an upgrade in which the calling node is
// newer than the called one.
func TestAnswerOfAVersion0NodeIsDecoded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	d := kqtrunk.NewDialer(kqtrunk.Handlers{}, kqtrunk.WithCompression(func(string) bool { return true }))
	defer d.Close()
	answered := make(chan *kqtrunk.Answer, 1)
	go func() {
		a, err := d.Call(testContext(t), l.Addr().String(), kqtrunk.CallHead{RequestID: "a"}, nil)
		if err != nil {
			t.Error(err)
		}
		answered <- a
	}()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	_, number, _ := readRawFrame(t, c)
	threshold := oldThreshold{Class: "browse", Withheld: 7, Age: time.Second}
	writeRawFrame(t, c, kindAnswer, number, oldAnswerHead{End: kqcall.Ran(), Status: 200, Load: oldLoad{Deep: []oldThreshold{threshold}}})
	a := <-answered
	if a == nil {
		t.FailNow()
	}
	if want := (kqtrunk.ClassThreshold{Class: "browse", Withheld: 7, Age: time.Second}); len(a.Head.Load.Deep) != 1 || a.Head.Load.Deep[0] != want {
		t.Errorf("thresholds: got %+v, want %+v", a.Head.Load.Deep, want)
	}
}

// TestThresholdServiceIsSentToPeersThatKnowIt calls until an answer names the
// service: the first answers may be sent before the caller's version has arrived.
func TestThresholdServiceIsSentToPeersThatKnowIt(t *testing.T) {
	s := newThresholdServer(t)
	d := kqtrunk.NewDialer(kqtrunk.Handlers{})
	defer d.Close()
	ctx := testContext(t)
	for {
		a, err := d.Call(ctx, s.Address(), kqtrunk.CallHead{RequestID: "a"}, nil)
		if err != nil {
			t.Fatal(err)
		}
		if a.Head.Load.Deep[0] == sentThreshold {
			return
		}
	}
}

func TestThresholdOfALaterVersionIsDecoded(t *testing.T) {
	data, err := cbor.Marshal([]any{sentThreshold.Class, sentThreshold.Withheld, sentThreshold.Age, sentThreshold.Service, "later"})
	if err != nil {
		t.Fatal(err)
	}
	var got kqtrunk.ClassThreshold
	if err := cbor.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	if got != sentThreshold {
		t.Errorf("threshold: got %+v, want %+v", got, sentThreshold)
	}
	if err := cbor.Unmarshal([]byte{0x82, 0x61, 'a', 1}, &got); err == nil {
		t.Error("threshold of two elements: got no error")
	}
}

// TestUpdatesAreSentOnlyToPeersThatKnowThem sends updates to a node that never
// advertises a version, and to one that does.
func TestUpdatesAreSentOnlyToPeersThatKnowThem(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c
		}
	}()
	received := make(chan string, 1)
	s, err := kqtrunk.Listen("127.0.0.1:0", kqtrunk.Handlers{Update: func(_ string, payload []byte, _ func([]byte)) { received <- string(payload) }})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	d := kqtrunk.NewDialer(kqtrunk.Handlers{})
	defer d.Close()
	d.Warm(l.Addr().String())
	oldPeer := <-accepted
	defer oldPeer.Close()
	for !d.Connected(l.Addr().String()) {
		runtime.Gosched()
	}
	if err := d.SendUpdate(l.Addr().String(), []byte("news")); !errors.Is(err, kqtrunk.ErrNotSent) {
		t.Errorf("update to a node of version 0: got %v, want an error marked ErrNotSent", err)
	}
	d.Warm(s.Address())
	for d.SendUpdate(s.Address(), []byte("news")) != nil {
		runtime.Gosched()
	}
	if got := <-received; got != "news" {
		t.Errorf("update: got %q, want %q", got, "news")
	}
}

// TestThresholdOfALimitReachesPeersThatKnowIt checks that the threshold of a
// server's limit is reported to a node of this version as such, and not at all to
// one before it, which would take it for the service's.
func TestThresholdOfALimitReachesPeersThatKnowIt(t *testing.T) {
	const withheld = 7
	sent := kqtrunk.Load{Deep: []kqtrunk.ClassThreshold{sentThreshold}, LimitWithheld: withheld}
	s, err := kqtrunk.Listen("127.0.0.1:0", kqtrunk.Handlers{
		Call: func(context.Context, string, kqtrunk.CallHead, []byte) (kqtrunk.AnswerHead, []byte) {
			return kqtrunk.AnswerHead{End: kqcall.Ran(), Status: 200, Load: sent}, nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	d := kqtrunk.NewDialer(kqtrunk.Handlers{})
	defer d.Close()
	ctx := testContext(t)
	for {
		a, err := d.Call(ctx, s.Address(), kqtrunk.CallHead{RequestID: "a"}, nil)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := len(a.Head.Load.Deep), 1; got != want {
			t.Fatalf("thresholds of services further down: got %d, want %d", got, want)
		}
		if a.Head.Load.LimitWithheld == withheld {
			break
		}
	}
	if !d.HoldsRateLimits(s.Address()) {
		t.Error("peer of this version: got that it holds no limits, want that it does")
	}
}
