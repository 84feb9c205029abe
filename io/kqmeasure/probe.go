package kqmeasure

import (
	"context"
	"strconv"
	"time"

	"kumquatlink/io/kqbackend"
	"kumquatlink/io/kqfleet"
	"kumquatlink/io/kqhttp"
)

// Constants of the echo service and of the pairs of calls to it, one straight
// and one through two nodes.
const (
	echoService  = "echo"
	echoSlots    = 36
	pairInterval = 5 * time.Millisecond
	callTimeout  = time.Second
)

// callPair holds the latencies of two calls to the same backend server, one
// straight and one through two nodes.
type callPair struct {
	direct   time.Duration
	viaNodes time.Duration
}

// startEcho starts an upstream of the echo service in the failure domain of
// another host, so that the pairs contain no latency between places.
func (tb *testbed) startEcho() error {
	place := places(tb.profile, echoService)[0]
	member, err := tb.fleet.AddBackend(place, kqbackend.Settings{
		Service: echoService, Slots: echoSlots, Plans: map[string]kqbackend.Step{echoService: {Service: echoService}},
	})
	if err != nil {
		return err
	}
	tb.echo = &host{place: place, service: echoService, backend: member.Backend, member: member}
	return nil
}

// measurePairs sends pairs of calls while callers send their load. The two calls
// of a pair take turns in going first. It returns the pairs whose calls were
// both answered.
func (tb *testbed) measurePairs(ctx context.Context, s Scenario, startedAt time.Time) []callPair {
	if tb.echo == nil {
		return nil
	}
	direct := kqhttp.NewPool(tb.echo.backend.Address())
	viaNodes := kqhttp.NewPool(tb.entryAddressNear(tb.echo.place))
	defer direct.Close()
	defer viaNodes.Close()
	var pairs []callPair
	sleep(ctx, time.Until(startedAt.Add(s.Warm)))
	for n := 0; time.Since(startedAt) < s.duration() && sleep(ctx, pairInterval); n++ {
		pools := []*kqhttp.Pool{direct, viaNodes}
		var took [2]time.Duration
		completed := true
		for i := range pools {
			i = (i + n) % len(pools)
			var ok bool
			took[i], ok = tb.timeCall(ctx, pools[i], n)
			completed = completed && ok
		}
		if completed {
			pairs = append(pairs, callPair{direct: took[0], viaNodes: took[1]})
		}
	}
	return pairs
}

// timeCall makes one call to the echo service and returns how long it took and
// whether its answer was complete and correct.
func (tb *testbed) timeCall(ctx context.Context, pool *kqhttp.Pool, n int) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := kqbackend.Call{
		Service: echoService, Class: tb.profile.Kinds[1].Name, RequestID: "p" + strconv.Itoa(n),
		Path: kqbackend.Position{Kind: echoService, CallID: "p" + strconv.Itoa(n)}.Path(),
	}
	startedAt := time.Now()
	answer := sendCall(ctx, pool, echoService, c)
	return time.Since(startedAt), answer.Err == nil && answer.Matches(c)
}

// entryAddressNear returns the caller address of a node in the failure domain of
// the place, or that of the echo service's own node if there is none.
func (tb *testbed) entryAddressNear(place kqfleet.Place) string {
	for _, e := range tb.entries[place.Region] {
		if e.host.place.FailureDomain == place.FailureDomain {
			return e.host.member.Node.CallerAddress()
		}
	}
	return tb.echo.member.Node.CallerAddress()
}
