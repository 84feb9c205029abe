package kqmesh

import (
	"cmp"
	"fmt"
	"sync"
	"time"

	"kumquatlink/io/kqedge"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqmetric"
)

const (
	// defaultMemoryMegabytes is the memory of the smallest hosts.
	defaultMemoryMegabytes = 284
	// bodyShare is the part of the process's memory that bodies may take. The buffer that
	// a growing one replaces counts, garbage does not.
	bodyShare = 0.4
	// answerPatience is how long reading an answer of the backend server pauses for
	// memory. Servers cut off answers that stay unread for longer.
	answerPatience = 2 * time.Second
	// maxAnswerBytes is the largest body of an answer, the same as that of a request in
	// the platform's largest limits.
	maxAnswerBytes = 64 << 20
	// stalledLogPeriod is the least time between two log lines about stalled callers.
	stalledLogPeriod = time.Second
)

// bodyMemory returns the memory in bytes that bodies may take.
func (s Settings) bodyMemory() int {
	return int(bodyShare * float64(cmp.Or(s.MemoryMegabytes, defaultMemoryMegabytes)<<20))
}

// stalledCallers counts and logs the callers that were closed because they did not read
// their answers while memory was short.
type stalledCallers struct {
	node *Node

	mutex sync.Mutex
	// count and bytes are those of the callers closed since the last log line, which was
	// written at loggedAt, on the node's clock.
	count, bytes int
	loggedAt     time.Duration
}

// record counts a caller, and logs it with those before it unless a line was just written.
func (s *stalledCallers) record(c kqedge.Stalled) {
	n := s.node
	n.metrics.Count(kqmetric.StalledCallers)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.count++
	s.bytes += c.Bytes
	now := n.clock()
	if s.loggedAt > 0 && now-s.loggedAt < stalledLogPeriod {
		return
	}
	n.logEvent(eventCallersStalled, fmt.Sprintf("%d callers were closed that did not read their answers of %d bytes while memory was short, the last one %s", s.count, s.bytes, c.Address), nil,
		kqlog.Number("Callers", int64(s.count)), kqlog.Number("Bytes", int64(s.bytes)), kqlog.Text(fieldAddress, c.Address), kqlog.Micros(fieldTook, c.Time))
	s.count, s.bytes, s.loggedAt = 0, 0, now
}
