package kqsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqroutes"
	"kumquatlink/io/kqmesh"
)

// Teams of a soak, and their quotas. The team of the rotated keys has no quota; each
// of its keys is held in two versions of the routes. The limited team has one key.
const (
	teamRotated = "rotated"
	teamLimited = "limited"
	teamPath    = "/team/"
	keyPrefix   = "secret-"
	keyLimited  = keyPrefix + teamLimited
	keyNever    = keyPrefix + "never"
	// keyVersions is in how many versions of the routes a rotated key is held.
	keyVersions = 2
	// largeQuota and smallQuota are the limited team's rates in requests a second, in
	// turns, and quotaBurst is its burst in requests.
	largeQuota = 20
	smallQuota = 12
	quotaBurst = 20
	// quotaWindow, quotaOverage and quotaSlack bound the runs of a team: in a window
	// (rate x window + burst) x (1 + overage) + slack.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	// keyGrace is how long after a key was withdrawn a request with it may still be
	// taken while faults last.
	keyGrace = 10 * time.Second
	// teamThinkTime is the longest pause between two requests of a team's caller.
	teamThinkTime = 30 * time.Millisecond
	// teamStream is the first random stream of the callers of teams; those of faults
	// are smaller.
	teamStream = 1000
)

// teams holds what was observed of keys and quotas.
type teams struct {
	mutex sync.Mutex
	// written holds when the store had acknowledged each version of the routes.
	written map[int64]time.Time
	// runs are the times at which requests of the limited team began to run.
	runs []time.Time
}

// rotatedKey returns the key that the version of the routes adds.
func rotatedKey(version int64) string {
	return fmt.Sprintf("%s%d", keyPrefix, version)
}

// teamsOf returns the teams of a version of the routes.
func teamsOf(version int64) []kqroutes.Team {
	rotated := kqroutes.Team{Name: teamRotated}
	for v := max(1, version-keyVersions+1); v <= version; v++ {
		rotated.Keys = append(rotated.Keys, rotatedKey(v))
	}
	limited := kqroutes.Team{Name: teamLimited, Keys: []string{keyLimited}, Rate: largeQuota, Burst: quotaBurst, Rank: 1}
	if version%2 == 0 {
		limited.Rate = smallQuota
	}
	return []kqroutes.Team{rotated, limited}
}

// teamRoute returns the route whose requests need a key.
func teamRoute() kqroutes.Route {
	r := soakRoute(teamPath, services[1], false)
	r.Public = false
	return r
}

// recordWritten records that the store has acknowledged a version of the routes.
func (k *teams) recordWritten(version int64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.written == nil {
		k.written = map[int64]time.Time{}
	}
	if _, found := k.written[version]; !found {
		k.written[version] = time.Now()
	}
}

// withdrawnAt returns when the version that no longer holds a rotated key was
// acknowledged, or the zero time.
func (k *teams) withdrawnAt(key string) time.Time {
	var version int64
	if _, err := fmt.Sscanf(key, keyPrefix+"%d", &version); err != nil {
		return time.Time{}
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.written[version+keyVersions]
}

// checkRun checks the header fields of a request that a backend server begins.
func (k *teams) checkRun(l *ledger, q *fasthttp.Request, id string) {
	key, sentAt := l.keyOf(id)
	for name, value := range q.Header.All() {
		if strings.Contains(string(value), keyPrefix) {
			l.recordViolation("%s reached a server with a key in the field %s", id, name)
		}
	}
	want := ""
	switch {
	case key == keyLimited:
		want = teamLimited
		k.mutex.Lock()
		k.runs = append(k.runs, time.Now())
		k.mutex.Unlock()
	case key == keyNever:
		l.recordViolation("%s ran with a key that no team ever held", id)
	case key != "":
		want = teamRotated
		if at := k.withdrawnAt(key); !at.IsZero() && sentAt.Sub(at) > keyGrace {
			l.recordViolation("%s ran with a key that was withdrawn %s before it was sent", id, sentAt.Sub(at))
		}
	}
	if got := string(q.Header.Peek(kqmesh.HeaderTeam)); got != want {
		l.recordViolation("%s ran for the team %q, want %q", id, got, want)
	}
}

// checkQuotas records a violation if the limited team ran more in a window than its
// larger quota allows.
func (k *teams) checkQuotas(l *ledger) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	slices.SortFunc(k.runs, func(a, b time.Time) int { return a.Compare(b) })
	bound := (largeQuota*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	first := 0
	for i, last := range k.runs {
		for last.Sub(k.runs[first]) > quotaWindow {
			first++
		}
		if n := i + 1 - first; float64(n) > bound {
			l.recordViolation("team %s ran %d requests within %s, more than %.0f", teamLimited, n, quotaWindow, bound)
			return
		}
	}
}

// runTeamCaller sends requests with keys to a host until ctx ends: keys that are held,
// that were, and one that never was.
func (s *soak) runTeamCaller(ctx context.Context, h *host, random *rand.Rand) {
	pool := h.newCallerPool()
	defer pool.Close()
	for ctx.Err() == nil {
		c := call{id: s.ledger.newID("team"), path: teamPath, service: services[1], key: s.drawKey(random)}
		calling, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout+answerGrace)
		h.sendOver(calling, pool, c)
		cancel()
		sleep(ctx, time.Duration(random.Int64N(int64(teamThinkTime))))
	}
}

func (s *soak) drawKey(random *rand.Rand) string {
	s.mutex.Lock()
	version := s.routes
	s.mutex.Unlock()
	switch random.IntN(8) {
	case 0:
		return keyNever
	case 1:
		return rotatedKey(max(1, version-keyVersions))
	case 2:
		return rotatedKey(version)
	}
	return keyLimited
}

// checkKeys checks at each node, once the faults are over, that a withdrawn key is
// denied and one that is held is accepted.
func (s *soak) checkKeys(ctx context.Context) {
	s.mutex.Lock()
	version := s.routes
	s.mutex.Unlock()
	expected := map[string]int{rotatedKey(version): fasthttp.StatusOK, keyNever: fasthttp.StatusUnauthorized}
	if version > keyVersions {
		expected[rotatedKey(version-keyVersions)] = fasthttp.StatusUnauthorized
	}
	for _, h := range s.hosts {
		for key, want := range expected {
			got := answer{}
			for until := time.Now().Add(recoveryTimeout); got.status != want && time.Now().Before(until) && ctx.Err() == nil; sleep(ctx, openPollPeriod) {
				got = h.send(ctx, call{id: s.ledger.newID("key"), path: teamPath, service: services[1], key: key})
				if want == fasthttp.StatusUnauthorized && got.status == fasthttp.StatusOK {
					break
				}
			}
			if got.status != want && ctx.Err() == nil {
				s.ledger.recordViolation("%s answers %d for the key %s after the last fault, want %d", h.name, got.status, key, want)
			}
		}
	}
}
