package kqtrunk_test

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqtrunk"
)

// absentPeer is the dial function of a peer that can't be reached for the first
// attempts.
type absentPeer struct {
	// absences is the number of attempts that fail.
	absences int64
	attempts atomic.Int64
}

func (p *absentPeer) dial(ctx context.Context, address string) (net.Conn, error) {
	if p.attempts.Add(1) <= p.absences {
		return nil, errors.New("peer is away")
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// TestPeerThatCouldNotBeDialedIsUnusableForGood guards against a peer that no call
// reaches again: calls pass over a peer that is not usable, and only a call dialed it.
func TestPeerThatCouldNotBeDialedIsUnusableForGood(t *testing.T) {
	for _, absences := range []int64{1, 2, 3} {
		p, away := newPeer(t), &absentPeer{absences: absences}
		d := kqtrunk.NewDialer(kqtrunk.Handlers{}, kqtrunk.WithDial(away.dial))
		defer d.Close()
		ctx := testContext(t)
		for away.attempts.Load() < min(absences, 2) {
			if _, err := d.Call(ctx, p.server.Address(), kqtrunk.CallHead{RequestID: "a"}, nil); !errors.Is(err, kqtrunk.ErrNotSent) {
				t.Fatalf("call to a peer that is away: got %v, want ErrNotSent", err)
			}
		}
		for !d.Usable(p.server.Address()) {
			if ctx.Err() != nil {
				t.Fatalf("peer that was away for %d attempts: got unusable after %s and %d attempts, want usable", absences, testTimeout, away.attempts.Load())
			}
			runtime.Gosched()
		}
		if _, err := d.Call(ctx, p.server.Address(), kqtrunk.CallHead{RequestID: "b"}, nil); err != nil {
			t.Errorf("call to a peer that was away for %d attempts: got %v, want an answer", absences, err)
		}
	}
}

// TestLongAbsenceOfAPeerFillsTheLog guards against a line for each attempt to connect
// to a peer that stays away.
func TestLongAbsenceOfAPeerFillsTheLog(t *testing.T) {
	const absences = 4
	p, away := newPeer(t), &absentPeer{absences: absences}
	var lost atomic.Int64
	connected := make(chan struct{})
	d := kqtrunk.NewDialer(kqtrunk.Handlers{ConnectionChanged: func(_ string, up bool, _ error) {
		if up {
			close(connected)
			return
		}
		lost.Add(1)
	}}, kqtrunk.WithDial(away.dial))
	defer d.Close()
	ctx := testContext(t)
	for isConnected := false; !isConnected; {
		d.Warm(p.server.Address())
		select {
		case <-connected:
			isConnected = true
		case <-ctx.Done():
			t.Fatalf("peer that was away for %d attempts: got no connection, want one", absences)
		default:
			runtime.Gosched()
		}
	}
	if got, want := lost.Load(), int64(2); got != want {
		t.Errorf("reports of %d failed attempts: got %d, want %d", absences, got, want)
	}
}
