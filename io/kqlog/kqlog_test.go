package kqlog_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"kumquatlink/io/kqlog"
)

// blockedOutput is a writer that blocks until open is closed.
type blockedOutput struct {
	open   chan struct{}
	buffer bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.open
	return b.buffer.Write(p)
}

func TestDecisionIsOneLineWithAllFields(t *testing.T) {
	var output bytes.Buffer
	log := kqlog.New(&output, kqlog.WithNode("node-1", "lothian-a"))
	log.Decision(kqlog.Decision{
		RequestID: "request-1", Class: "purchase", Service: "orders", Decision: "Route", Cause: "Done",
		Outcome: "ran", Chosen: "orders-2", Others: []string{"orders-1", "orders-3"},
		Team: "harbour-shop", Demand: 742.5, Share: 301.25, DemandAge: 410 * time.Millisecond,
	})
	log.Event(zerolog.WarnLevel, "something", errors.New("odd \"bytes\"\n"))
	log.Event(zerolog.DebugLevel, "not written", nil)
	log.Close()
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	if got, want := len(lines), 2; got != want {
		t.Fatalf("lines: got %d, want %d", got, want)
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(lines[0]), &fields); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]any{
		"Node": "node-1", "FailureDomain": "lothian-a", "RequestID": "request-1", "Class": "purchase", "Service": "orders",
		"Decision": "Route", "Cause": "Done", "Outcome": "ran", "Chosen": "orders-2",
		"Team": "harbour-shop", "Demand": 742.5, "Share": 301.25, "DemandAgeMicros": 410_000.0,
	} {
		if got := fields[name]; got != want {
			t.Errorf("%s: got %v, want %v", name, got, want)
		}
	}
}

func TestFullQueueDropsAndCountsLinesWithoutBlocking(t *testing.T) {
	const queue, sent = 8, 100
	output := &blockedOutput{open: make(chan struct{})}
	log := kqlog.New(output, kqlog.WithQueueLength(queue))
	var wait sync.WaitGroup
	for range 4 {
		wait.Go(func() {
			for range sent / 4 {
				log.Decision(kqlog.Decision{Decision: "Route"})
			}
		})
	}
	wait.Wait()
	dropped := log.Dropped()
	if dropped < sent-queue-1 {
		t.Errorf("dropped: got %d, want at least %d", dropped, sent-queue-1)
	}
	close(output.open)
	log.Close()
	written := int64(strings.Count(output.buffer.String(), `"Decision":"Route"`))
	if got, want := written+dropped, int64(sent); got != want {
		t.Errorf("sum of written and dropped lines: got %d, want %d", got, want)
	}
	if !strings.Contains(output.buffer.String(), "log lines were dropped") {
		t.Error("log: got no line about dropped lines, want one")
	}
	log.Decision(kqlog.Decision{Decision: "Route"})
	if got, want := log.Dropped(), dropped+1; got != want {
		t.Errorf("dropped after close: got %d, want %d", got, want)
	}
}

// TestCloseReturnsWhileOutputBlocks closes a log whose reader has stalled. A
// Close that waited for all lines would keep the process from ending.
func TestCloseReturnsWhileOutputBlocks(t *testing.T) {
	output := &blockedOutput{open: make(chan struct{})}
	defer close(output.open)
	log := kqlog.New(output)
	log.Event(zerolog.InfoLevel, "a line", nil)
	ended := make(chan struct{})
	go func() {
		log.Close()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("Close while the output blocks: still running after 10 s, want it to return")
	}
}
