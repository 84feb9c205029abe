package kqtrunk_test

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqtrunk"
)

// oddText holds each byte that a header value may have and that is no UTF-8.
const oddText = "lecteur d'\xe9cran \x80\xff\xfe\xc3"

// TestHeadWithOddBytesEndsTheLink guards against a head whose bytes are not UTF-8: it
// ended the connection, with all calls of other callers on it.
func TestHeadWithOddBytesEndsTheLink(t *testing.T) {
	p := newPeer(t)
	d := kqtrunk.NewDialer(kqtrunk.Handlers{})
	t.Cleanup(d.Close)
	ctx := testContext(t)
	waiting := make(chan error, 1)
	go func() {
		_, err := d.Call(ctx, p.server.Address(), kqtrunk.CallHead{Service: "wait", RequestID: "w", RunOnce: true}, nil)
		waiting <- err
	}()
	<-p.started
	// Odd heads are not sent before the peer has advertised its version, which it does
	// before its first answer.
	if _, err := d.Call(ctx, p.server.Address(), kqtrunk.CallHead{RequestID: "plain"}, nil); err != nil {
		t.Fatalf("call before: got %v, want its answer", err)
	}
	odd := kqtrunk.CallHead{RequestID: oddText, Path: "/" + oddText, Headers: []kqtrunk.Header{{Name: "X-Reader", Value: oddText}}}
	answer, err := d.Call(ctx, p.server.Address(), odd, []byte("body"))
	if err != nil || string(answer.Body) != "body" {
		t.Fatalf("call with odd bytes: got %+v, %v, want its body", answer, err)
	}
	if got := answer.Head.Headers; len(got) != 1 || got[0].Value != oddText {
		t.Errorf("headers of the answer: got %q, want those of the call, %q", got, oddText)
	}
	close(p.release)
	if err := <-waiting; err != nil {
		t.Errorf("call that waited meanwhile: got %v, want its answer", err)
	}
}

// TestOddHeadIsSentToAFormerBuild checks that a peer which would close the connection
// over a head never gets it.
func TestOddHeadIsSentToAFormerBuild(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err == nil {
			// The peer advertises a version from before odd heads.
			_, _ = c.Write(frame(6, 4, nil))
			_, _ = io.Copy(io.Discard, c)
		}
	}()
	d := kqtrunk.NewDialer(kqtrunk.Handlers{})
	t.Cleanup(d.Close)
	if _, err := d.Call(testContext(t), l.Addr().String(), kqtrunk.CallHead{Path: oddText}, nil); !errors.Is(err, kqtrunk.ErrNotSent) {
		t.Errorf("call with odd bytes to a former build: got %v, want ErrNotSent", err)
	}
}

// frame returns a frame of a kind, with the number of a call or a version.
func frame(kind byte, number uint64, payload []byte) []byte {
	f := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	f = append(f, kind)
	f = binary.BigEndian.AppendUint64(f, number)
	return append(f, payload...)
}

// TestUndecodableHeadEndsTheLink sends heads that can't be decoded in whole frames.
// Each call gets an answer, and the connection goes on.
func TestUndecodableHeadEndsTheLink(t *testing.T) {
	const call, answer, ping, pong = 1, 2, 5, 6
	p := newPeer(t)
	c, err := net.Dial("tcp", p.server.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	payloads := [][]byte{nil, {0, 0}, {0, 0, 0, 9, 1}, {0, 0, 0, 2, 0xff, 0xff}, {0, 0, 0, 1, 0x60}}
	for i, payload := range payloads {
		_, _ = c.Write(frame(call, uint64(i+1), payload))
	}
	_, _ = c.Write(frame(ping, 0, nil))
	reader := bufio.NewReader(c)
	answers := 0
	for {
		var prefix [13]byte
		if _, err := io.ReadFull(reader, prefix[:]); err != nil {
			t.Fatalf("connection after %d answers: got %v, want it open", answers, err)
		}
		_, _ = io.CopyN(io.Discard, reader, int64(binary.BigEndian.Uint32(prefix[:])))
		number := binary.BigEndian.Uint64(prefix[5:])
		if prefix[4] == answer {
			answers++
		}
		if prefix[4] == pong && number == 0 {
			break
		}
	}
	if want := len(payloads); answers != want {
		t.Errorf("answers to heads that can't be decoded: got %d, want %d", answers, want)
	}
}

// TestFullPoolEndsTheLink has the peer refuse to run one call for want of a place.
func TestFullPoolEndsTheLink(t *testing.T) {
	isFull := false
	server, err := kqtrunk.Listen("127.0.0.1:0", kqtrunk.Handlers{
		Call: func(_ context.Context, _ string, _ kqtrunk.CallHead, body []byte) (kqtrunk.AnswerHead, []byte) {
			return kqtrunk.AnswerHead{End: kqcall.Ran()}, body
		},
		Submit: func(task func()) error {
			if isFull = !isFull; isFull {
				return errors.New("pool is full")
			}
			go task()
			return nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	d := kqtrunk.NewDialer(kqtrunk.Handlers{})
	t.Cleanup(d.Close)
	first, err := d.Call(testContext(t), server.Address(), kqtrunk.CallHead{}, nil)
	if err != nil || first.Head.End != kqcall.NotRun(kqcall.CausePoolFull) {
		t.Errorf("call without a place: got %+v, %v, want the end %+v", first, err, kqcall.NotRun(kqcall.CausePoolFull))
	}
	if second, err := d.Call(testContext(t), server.Address(), kqtrunk.CallHead{}, []byte("b")); err != nil || string(second.Body) != "b" {
		t.Errorf("next call: got %+v, %v, want its body", second, err)
	}
}
