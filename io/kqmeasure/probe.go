package kqmeasure

import (
	"context"
	"strconv"
	"time"

	"kumquatlink/io/kqbackend"
	"kumquatlink/io/kqfleet"
	"kumquatlink/io/kqhttp"
)

// The service that pairs of calls go to, straight and through two nodes.
const (
	echoService   = "echo"
	echoSlots     = 36
	probePause    = 5 * time.Millisecond
	probeDeadline = time.Second
)

// probe is a pair of calls to the same backend server.
type probe struct {
	direct time.Duration
	via    time.Duration
}

// startEcho starts the upstream for probes beside another host of its failure
// domain, so that no latency between places counts.
func (w *world) startEcho() error {
	place := places(w.profile, echoService)[0]
	member, err := w.fleet.AddBackend(place, kqbackend.Settings{
		Service: echoService, Slots: echoSlots, Plans: map[string]kqbackend.Step{echoService: {Service: echoService}},
	})
	if err != nil {
		return err
	}
	w.echo = &host{place: place, service: echoService, backend: member.Backend, member: member}
	return nil
}

// probe sends pairs of calls, straight to the backend server and through the
// nodes, while callers send their load.
func (w *world) probe(ctx context.Context, s Scenario, begun time.Time) []probe {
	if w.echo == nil {
		return nil
	}
	direct := kqhttp.NewPool(w.echo.backend.Address())
	via := kqhttp.NewPool(w.entryNear(w.echo.place))
	defer direct.Close()
	defer via.Close()
	var probes []probe
	pause(ctx, time.Until(begun.Add(s.Warm)))
	for n := 0; time.Since(begun) < s.length() && pause(ctx, probePause); n++ {
		pools := []*kqhttp.Pool{direct, via}
		var took [2]time.Duration
		whole := true
		for i := range pools {
			i = (i + n) % len(pools)
			var ok bool
			took[i], ok = w.probeOnce(ctx, pools[i], n)
			whole = whole && ok
		}
		if whole {
			probes = append(probes, probe{direct: took[0], via: took[1]})
		}
	}
	return probes
}

func (w *world) probeOnce(ctx context.Context, pool *kqhttp.Pool, n int) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, probeDeadline)
	defer cancel()
	c := kqbackend.Call{
		Service: echoService, Class: w.profile.Kinds[1].Name, RequestID: "p" + strconv.Itoa(n),
		Path: kqbackend.Position{Kind: echoService, CallID: "p" + strconv.Itoa(n)}.Path(),
	}
	begun := time.Now()
	answer := post(ctx, pool, echoService, c)
	return time.Since(begun), answer.Err == nil && answer.Matches(c)
}

// entryNear is the address for callers of a node in the same failure domain.
func (w *world) entryNear(place kqfleet.Place) string {
	for _, e := range w.entries[place.Region] {
		if e.host.place.FailureDomain == place.FailureDomain {
			return e.host.member.Node.CallerAddress()
		}
	}
	return w.echo.member.Node.CallerAddress()
}
