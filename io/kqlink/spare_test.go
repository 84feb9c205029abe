package kqlink_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqlink"
	"kumquatlink/io/kqtrust"
)

func TestFullPoolRefusesCallsAndAnswersMessages(t *testing.T) {
	authority, err := kqtrust.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	identity, err := authority.Issue("node-1")
	if err != nil {
		t.Fatal(err)
	}
	var refusals, messages atomic.Int64
	server, err := kqlink.Listen("127.0.0.1:0", identity, kqlink.Handlers{
		Call: func(context.Context, string, kqlink.CallHead, []byte) (kqlink.AnswerHead, []byte) {
			t.Error("a call ran while the pool was full")
			return kqlink.AnswerHead{}, nil
		},
		Message: func(_ context.Context, _ string, message []byte) ([]byte, error) {
			messages.Add(1)
			return message, nil
		},
		Submit: func(func()) error {
			refusals.Add(1)
			return errors.New("full")
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	dialer := kqlink.NewDialer(identity)
	defer dialer.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for range 100 {
		reply, err := dialer.SendMessage(ctx, server.Address(), []byte("ping"))
		if err != nil {
			t.Fatal(err)
		}
		if got, want := string(reply), "ping"; got != want {
			t.Fatalf("reply: got %q, want %q", got, want)
		}
	}
	head := kqlink.CallHead{Head: kqcall.Head{RequestID: "request-1", Service: "catalog", Budget: time.Second}, Method: "GET", Path: "/"}
	_, err = dialer.Call(ctx, server.Address(), head, nil)
	if !errors.Is(err, kqlink.ErrNotSent) || !errors.Is(err, kqlink.ErrRefused) {
		t.Errorf("call: got %v, want an error marked ErrNotSent and ErrRefused", err)
	}
	// A ping of a link that is quiet for a moment, beside load, finds it full too.
	if got, want := refusals.Load(), int64(101); got < want {
		t.Errorf("streams that found the pool full: got %d, want at least %d", got, want)
	}
	if got, want := messages.Load(), int64(100); got != want {
		t.Errorf("messages that were handled: got %d, want %d", got, want)
	}
	// The refusal comes while the call is still being written.
	_, err = dialer.Call(ctx, server.Address(), head, make([]byte, 8<<20))
	if !errors.Is(err, kqlink.ErrNotSent) || !errors.Is(err, kqlink.ErrRefused) {
		t.Errorf("large call: got %v, want an error marked ErrNotSent and ErrRefused", err)
	}
}
