package kqtrunk_test

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqbody"
	"kumquatlink/io/kqtrunk"
)

// maxReplies is the number of replies that wait at most while a peer takes none.
const (
	maxReplies  = 1024
	kindMessage = 4
)

// newUnbufferedLink returns the far end of a link on which each write waits until it is
// read. The node has advertised its version there.
func newUnbufferedLink(t *testing.T, handlers kqtrunk.Handlers) net.Conn {
	t.Helper()
	near, far := net.Pipe()
	d := kqtrunk.NewDialer(handlers, kqtrunk.WithDial(func(context.Context, string) (net.Conn, error) { return near, nil }))
	t.Cleanup(d.Close)
	t.Cleanup(func() { _ = far.Close() })
	if err := far.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	d.Warm("peer")
	if kind, _, _ := readReply(t, far); kind != kindPong {
		t.Fatalf("first frame: got kind %d, want %d", kind, kindPong)
	}
	return far
}

// readReply reads the next frame. The payload of an answer is its head.
func readReply(t *testing.T, c io.Reader) (kind byte, number uint64, head []byte) {
	t.Helper()
	prefix := make([]byte, prefixBytes)
	if _, err := io.ReadFull(c, prefix); err != nil {
		t.Fatalf("next frame: got %v, want one", err)
	}
	payload := make([]byte, binary.BigEndian.Uint32(prefix))
	if _, err := io.ReadFull(c, payload); err != nil {
		t.Fatalf("payload: got %v, want it whole", err)
	}
	if prefix[4] == kindAnswer {
		payload = payload[4:]
	}
	return prefix[4], binary.BigEndian.Uint64(prefix[5:]), payload
}

func callHead(t *testing.T) []byte {
	t.Helper()
	head, err := cbor.Marshal(kqtrunk.CallHead{Service: "any"})
	if err != nil {
		t.Fatal(err)
	}
	return head
}

// refuseAll is a handler for a node whose pool is full.
func refuseAll(func()) error { return errors.New("pool is full") }

func runNone(context.Context, string, kqtrunk.CallHead, []byte) (kqtrunk.AnswerHead, []byte) {
	return kqtrunk.AnswerHead{End: kqcall.Ran()}, nil
}

// TestNodeReadsOnWhileItsRepliesWait has a peer send frames that are replied to at once,
// and read nothing until it has sent all of them.
func TestNodeReadsOnWhileItsRepliesWait(t *testing.T) {
	const kindPing, frames = 5, 16
	spent := kqbody.NewBudget(memoryBytes)
	spent.Charge(memoryBytes)
	for _, c := range []struct {
		name       string
		handlers   kqtrunk.Handlers
		kind       byte
		head, body []byte
		wantKind   byte
		wantEnd    kqcall.End
	}{
		{"no memory", kqtrunk.Handlers{Call: runNone, Memory: spent}, kindCall, callHead(t), make([]byte, 2*kqbody.SmallBytes), kindAnswer, kqcall.NotRun(kqcall.CauseShedGate)},
		{"pool full", kqtrunk.Handlers{Call: runNone, Submit: refuseAll}, kindCall, callHead(t), nil, kindAnswer, kqcall.NotRun(kqcall.CausePoolFull)},
		{"malformed head", kqtrunk.Handlers{Call: runNone}, kindCall, []byte{0xff}, nil, kindAnswer, kqcall.NotRun(kqcall.CauseBadRequest)},
		{"ping", kqtrunk.Handlers{}, kindPing, nil, nil, kindPong, kqcall.End{}},
		{"message", kqtrunk.Handlers{Message: func(_ string, payload []byte, reply func([]byte)) { reply(payload) }}, kindMessage, nil, nil, kindMessage, kqcall.End{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			link := newUnbufferedLink(t, c.handlers)
			for number := range uint64(frames) {
				if _, err := link.Write(rawFrame(c.kind, number, c.head, c.body)); err != nil {
					t.Fatalf("frame %d, with no reply read: got %v, want it taken", number, err)
				}
			}
			for number := range uint64(frames) {
				kind, got, head := readReply(t, link)
				if kind == kindMessage {
					got = number
				}
				if kind != c.wantKind || got != number {
					t.Fatalf("reply: got kind %d for frame %d, want kind %d for frame %d", kind, got, c.wantKind, number)
				}
				var answer kqtrunk.AnswerHead
				if kind == kindAnswer {
					if err := cbor.Unmarshal(head, &answer); err != nil {
						t.Fatal(err)
					}
				}
				if answer.End != c.wantEnd {
					t.Errorf("answer to call %d: got %+v, want %+v", number, answer.End, c.wantEnd)
				}
			}
		})
	}
}

// TestPeerThatTakesNoRepliesIsClosed has a peer send pings and read nothing, until the link
// fails. The node must not have taken many more than it holds replies to.
func TestPeerThatTakesNoRepliesIsClosed(t *testing.T) {
	const kindPing, bufferBytes = 5, 4 << 10
	link := newUnbufferedLink(t, kqtrunk.Handlers{})
	ping := rawFrame(kindPing, 1, nil, nil)
	taken := 0
	for _, err := link.Write(ping); err == nil; _, err = link.Write(ping) {
		taken++
	}
	if want := maxReplies + bufferBytes/len(ping) + 2; taken > want {
		t.Errorf("frames taken: got %d, want at most %d", taken, want)
	}
}

// TestRepliesBeyondTheBoundAllArrive sends many more calls than a node holds replies to,
// and messages that are replied to with more bytes than it holds.
func TestRepliesBeyondTheBoundAllArrive(t *testing.T) {
	const calls, messages = 4 * maxReplies, 8
	longReply := make([]byte, 48<<10)
	link := newUnbufferedLink(t, kqtrunk.Handlers{
		Call: runNone, Submit: refuseAll, Message: func(_ string, _ []byte, reply func([]byte)) { reply(longReply) },
	})
	head := callHead(t)
	sent := make(chan error, 1)
	go func() {
		for number := range uint64(calls + messages) {
			kind := byte(kindCall)
			if number >= calls {
				kind = kindMessage
			}
			if _, err := link.Write(rawFrame(kind, number, head, nil)); err != nil {
				sent <- err
				return
			}
		}
		sent <- nil
	}()
	for number := range uint64(calls) {
		if kind, got, _ := readReply(t, link); kind != kindAnswer || got != number {
			t.Fatalf("reply: got kind %d for call %d, want an answer to call %d", kind, got, number)
		}
	}
	for range messages {
		if kind, _, payload := readReply(t, link); kind != kindMessage || len(payload) != len(longReply) {
			t.Fatalf("reply: got kind %d with %d bytes, want a message of %d", kind, len(payload), len(longReply))
		}
	}
	if err := <-sent; err != nil {
		t.Errorf("frames: got %v, want them taken", err)
	}
}
