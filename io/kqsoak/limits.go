package kqsoak

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqwire"
)

// Limits that backend servers name, and the bound on the requests that they get:
// boundFactor times the limit and boundExtra more in a window.
const (
	boundFactor = 1.5
	boundExtra  = 5
	boundWindow = 4 * time.Second
	// limitGrace is the time from the naming of a limit until it is checked.
	limitGrace = time.Second
	// maxLimit is the highest limit, in requests a second. A server gets more
	// without one.
	maxLimit = 12
	// minLimitLength and maxLimitLength bound how long a limit is named.
	minLimitLength = 2 * time.Second
	maxLimitLength = 7 * time.Second
	// limitSeries is how many servers name limits at the same time.
	limitSeries = 2
)

// The frame in which a node advertises its version, and the first version of nodes
// that hold limits (package kqtrunk).
const (
	versionFrameBytes = 13
	versionOffset     = 5
	versionRateLimit  = 4
)

// noLimit stands for the time in which a server names none.
const noLimit = -1

// namedLimit is a limit that a server names from a time on, or noLimit.
type namedLimit struct {
	from  time.Time
	value float64
}

// limits holds the limits that a server has named, and its arrivals, by time.
type limits struct {
	mutex    sync.Mutex
	named    []namedLimit
	arrivals []time.Time
}

func (l *limits) name(value float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.named = append(l.named, namedLimit{time.Now(), value})
}

// recordArrival records that the server received a request.
func (l *limits) recordArrival() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.arrivals = append(l.arrivals, time.Now())
}

// current returns the limit that the server names now, or noLimit.
func (l *limits) current() float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.named) == 0 {
		return noLimit
	}
	return l.named[len(l.named)-1].value
}

// largest returns the largest limit named from a time until another one, or
// noLimit if any moment between them had none. A limit of which limitGrace is not
// over does not count yet.
func (l *limits) largest(from, until time.Time) float64 {
	largest := float64(noLimit)
	covered := false
	for i, n := range l.named {
		end := until
		if i+1 < len(l.named) {
			end = l.named[i+1].from
		}
		if end.Before(from) || n.from.After(until) {
			continue
		}
		if n.value == noLimit {
			return noLimit
		}
		if i == 0 || l.named[i-1].value == noLimit {
			covered = !n.from.Add(limitGrace).After(from)
		} else {
			covered = covered || !n.from.After(from)
		}
		largest = max(largest, n.value)
	}
	if !covered {
		return noLimit
	}
	return largest
}

// check records a violation for the first window in which the server got more
// requests than its limits allow.
func (l *limits) check(server string, to *ledger) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	first := 0
	for i, at := range l.arrivals {
		for !l.arrivals[first].After(at.Add(-boundWindow)) {
			first++
		}
		// A window that begins before the grace is over is checked from then on.
		for from := first; from <= i; from++ {
			largest := l.largest(l.arrivals[from], at)
			if largest == noLimit {
				continue
			}
			if got, bound := i-from+1, boundFactor*largest*boundWindow.Seconds()+boundExtra; float64(got) > bound {
				to.recordViolation("server %s, which names a limit of %.2f a second, got %d requests within %s, more than %.0f", server, largest, got, boundWindow, bound)
				return
			}
			break
		}
	}
}

// checkLimits checks all servers of the soak.
func (s *soak) checkLimits() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, v := range s.servers {
		v.limits.check(v.id, s.ledger)
	}
}

// learnVersion finds out whether the process that was started holds limits, which
// those of an earlier build don't. Every node advertises its version in the first
// frame on a connection.
func (h *host) learnVersion(ctx context.Context) {
	h.holdsLimits.Store(false)
	for until := time.Now().Add(startTimeout); time.Now().Before(until) && ctx.Err() == nil; sleep(ctx, openPollPeriod) {
		c, err := net.DialTimeout("tcp", h.settings.PeerAddress, openPollPeriod)
		if err != nil {
			continue
		}
		var frame [versionFrameBytes]byte
		err = c.SetReadDeadline(time.Now().Add(noticeTimeout))
		if err == nil {
			_, err = io.ReadFull(c, frame[:])
		}
		_ = c.Close()
		if err == nil {
			h.holdsLimits.Store(binary.BigEndian.Uint64(frame[versionOffset:]) >= versionRateLimit)
			return
		}
	}
}

// nameLimits has servers name, change and end limits for the length of the soak,
// whatever else happens to their hosts.
func (s *soak) nameLimits(ctx context.Context, random *rand.Rand) {
	for until := time.Now().Add(s.options.Length); time.Now().Before(until) && ctx.Err() == nil; {
		h := s.hosts[random.IntN(len(s.hosts))]
		v := h.current()
		for range 1 + random.IntN(2) {
			value := random.Float64() * random.Float64() * maxLimit
			s.recordEvent("%s: server %s names a limit of %.2f", h.name, v.id, value)
			v.limits.name(value)
			sleep(ctx, minLimitLength+time.Duration(random.Int64N(int64(maxLimitLength-minLimitLength))))
		}
		s.recordEvent("%s: server %s names no limit any more", h.name, v.id)
		v.limits.name(noLimit)
	}
}

// statement returns the header lines by which the server states its limit and
// that it leaves.
func (v *server) statement() string {
	text := ""
	if limit := v.limits.current(); limit != noLimit {
		text = fmt.Sprintf("%s: %.3f\r\n", kqwire.HeaderRateLimit, limit)
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.state != kqserver.Ready {
		text += kqwire.HeaderLeaving + ": 1\r\n"
	}
	return text
}
