package kqfleet

import (
	"net"
	"runtime"
	"testing"
	"time"
)

// testTimeout ends a test that hangs.
const testTimeout = time.Minute

// openSocket opens a socket of a node and closes it at the end of the test.
func openSocket(t *testing.T, w *Network, node, region, domain string) net.PacketConn {
	t.Helper()
	s, err := w.Sockets(Place{NodeID: node, Region: region, FailureDomain: domain})("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func send(t *testing.T, from, to net.PacketConn, text string) {
	t.Helper()
	if _, err := from.WriteTo([]byte(text), to.LocalAddr()); err != nil {
		t.Fatal(err)
	}
}

func receive(t *testing.T, s net.PacketConn) string {
	t.Helper()
	if err := s.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 64)
	n, _, err := s.ReadFrom(buffer)
	if err != nil {
		t.Fatal(err)
	}
	return string(buffer[:n])
}

func TestDropFlowsAffectsOnlyKnownFlows(t *testing.T) {
	w := NewNetwork()
	a, b := openSocket(t, w, "orders-1", "lothian", "lothian-a"), openSocket(t, w, "packs-1", "lothian", "lothian-b")
	send(t, a, b, "before")
	if got, want := receive(t, b), "before"; got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
	if got, want := w.DropFlows("packs-1", "orders-1"), 1; got != want {
		t.Fatalf("dropped flows: got %d, want %d", got, want)
	}
	send(t, a, b, "swallowed")
	other := openSocket(t, w, "orders-1", "lothian", "lothian-a")
	send(t, other, b, "new flow")
	if got, want := receive(t, b), "new flow"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := w.Dropped(), int64(1); got != want {
		t.Errorf("dropped packets: got %d, want %d", got, want)
	}
}

func TestPausedHostReceivesPacketsAndTimeAfterResume(t *testing.T) {
	w := NewNetwork()
	a, b := openSocket(t, w, "orders-1", "lothian", "lothian-a"), openSocket(t, w, "packs-1", "clyde", "clyde-a")
	m := &Member{Place: Place{NodeID: "packs-1"}, network: w, clock: newClock()}
	m.Pause()
	send(t, a, b, "held")
	got := make(chan string, 1)
	go func() {
		buffer := make([]byte, 64)
		n, _, _ := b.ReadFrom(buffer)
		got <- string(buffer[:n])
	}()
	read := make(chan time.Time, 1)
	go func() { read <- m.clock.now() }()
	for started := time.Now(); m.BlockedReads() == 0; runtime.Gosched() {
		if time.Since(started) > testTimeout {
			t.Fatal("no read of the clock is blocked")
		}
	}
	select {
	case text := <-got:
		t.Errorf("got %q from a paused host, want nothing", text)
	case <-read:
		t.Error("got the time from a paused host, want nothing")
	default:
	}
	resumedAt := time.Now()
	m.Resume()
	if text, want := <-got, "held"; text != want {
		t.Errorf("got %q, want %q", text, want)
	}
	if at := <-read; at.Before(resumedAt) {
		t.Errorf("time read after the pause: got %v, want no earlier than %v", at, resumedAt)
	}
}

func TestRoundTripDependsOnRegionAndFailureDomain(t *testing.T) {
	here := Place{Region: "lothian", FailureDomain: "lothian-a"}
	for _, c := range []struct {
		there Place
		want  time.Duration
	}{
		{here, 0},
		{Place{Region: "lothian", FailureDomain: "lothian-b"}, DomainRoundTrip},
		{Place{Region: "clyde", FailureDomain: "clyde-a"}, RegionRoundTrip},
	} {
		if got := RoundTrip(here, c.there); got != c.want {
			t.Errorf("round trip to %+v: got %v, want %v", c.there, got, c.want)
		}
	}
}
