package kqtrunk_test

import (
	"context"
	"testing"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqbody"
	"kumquatlink/io/kqtrunk"
)

// answeringNode is a node with a budget of memory that answers calls with long answers,
// which it holds from the time that the call begins.
type answeringNode struct {
	memory *kqbody.Budget
	server *kqtrunk.Server
	dialer *kqtrunk.Dialer
}

func newAnsweringNode(t *testing.T, began chan<- struct{}, held <-chan struct{}) *answeringNode {
	t.Helper()
	n := &answeringNode{memory: kqbody.NewBudget(8<<20, kqbody.WithLoneBodies())}
	var err error
	n.server, err = kqtrunk.Listen("127.0.0.1:0", kqtrunk.Handlers{Memory: n.memory, Call: func(ctx context.Context, _ string, _ kqtrunk.CallHead, _ []byte) (kqtrunk.AnswerHead, []byte) {
		release, err := n.memory.Reserve(longBytes)
		began <- struct{}{}
		<-held
		if err != nil {
			if release, err = n.memory.Await(ctx, longBytes); err != nil {
				return kqtrunk.AnswerHead{End: kqcall.Unknown(kqcall.CauseNoMemory)}, nil
			}
		}
		return kqtrunk.AnswerHead{End: kqcall.Ran(), Status: 200, Release: release}, make([]byte, longBytes)
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.server.Close() })
	n.dialer = kqtrunk.NewDialer(kqtrunk.Handlers{Memory: n.memory})
	t.Cleanup(n.dialer.Close)
	return n
}

// TestNodesThatAnswerEachOtherWaitForEachOther fills the budgets of two nodes with
// answers for each other. Each offers its answers, and has no room for those of the
// other until its own have been taken.
func TestNodesThatAnswerEachOtherWaitForEachOther(t *testing.T) {
	began, held := make(chan struct{}, 4), make(chan struct{})
	a, b := newAnsweringNode(t, began, held), newAnsweringNode(t, began, held)
	ctx := testContext(t)
	ended := make(chan error, 4)
	for _, p := range [][2]*answeringNode{{a, b}, {b, a}, {a, b}, {b, a}} {
		go func() {
			answer, err := p[0].dialer.Call(ctx, p[1].server.Address(), kqtrunk.CallHead{RunOnce: true, Budget: testTimeout}, nil)
			if err == nil {
				answer.Head.Discard()
			}
			ended <- err
		}()
	}
	for range 4 {
		<-began
	}
	close(held)
	for range 4 {
		if err := <-ended; err != nil {
			t.Errorf("answer: got %v, want it whole", err)
		}
	}
}
