package kqcli

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqbackend"
	"kumquatlink/io/kqfleet"
)

// statusOK is the status of an answer to a request that succeeded.
const statusOK = fasthttp.StatusOK

// demoShares holds the share of each class in the load, the most important class
// first. The shares add up to 1.
var demoShares = []struct {
	class string
	share float64
}{{"purchase", 0.1}, {"download", 0.3}, {"browse", 0.6}}

// tally counts the requests of a class in one second of the load by their
// outcomes.
type tally struct {
	offered, succeeded, notRun, other int
}

// send sends a request of a class to a node. id is the request ID, and key the
// idempotency key or empty.
func (d *demo) send(entry *kqfleet.Member, class, id, key string) kqbackend.Answer {
	ctx, cancel := context.WithTimeout(d.ctx, demoCallTimeout)
	defer cancel()
	call := kqbackend.Call{
		Service: demoPlans()[class].Service, Class: class, RequestID: id, Key: key,
		Path: kqbackend.Position{Kind: class, CallID: id}.Path(), Body: []byte(id),
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	kqbackend.FillRequest(request, entry.Node.CallerAddress(), call)
	if err := d.pools[entry].Do(ctx, request, response); err != nil {
		return kqbackend.Answer{Err: err}
	}
	return kqbackend.ReadAnswer(response)
}

// runsOf returns the number of runs of a request on all backend servers.
func (d *demo) runsOf(id string) int {
	n := 0
	for _, m := range d.fleet.Members {
		for _, r := range m.Backend.Runs() {
			if r.RequestID == id {
				n++
			}
		}
	}
	return n
}

// surge sends load for a few seconds, in the middle of which the load is multiplied
// and licensing is slow, and prints the outcomes for each second.
func (d *demo) surge() error {
	total := demoBeforeSeconds + demoDuringSeconds + demoAfterSeconds
	tallies := make([]map[string]*tally, total)
	for i := range tallies {
		tallies[i] = map[string]*tally{}
		for _, s := range demoShares {
			tallies[i][s.class] = &tally{}
		}
	}
	d.printf("Load in whole requests: offered, whole, told not run; licensing %d times as slow and %d times the load in seconds %d to %d.",
		demoSlowFactor, demoSurgeFactor, demoBeforeSeconds+1, demoBeforeSeconds+demoDuringSeconds)
	var callers sync.WaitGroup
	var mutex sync.Mutex
	random := rand.New(rand.NewPCG(demoSeed, demoSeed))
	start := time.Now()
	for at, n := 0.0, 0; at < float64(total) && d.ctx.Err() == nil; n++ {
		d.updateFault(int(at))
		t := tallies[int(at)]
		class := classAt(random.Float64())
		entry := d.randomEntry(random)
		callers.Go(func() {
			a := d.send(entry, class, fmt.Sprintf("surge-%d", n), keyFor(class, n))
			mutex.Lock()
			defer mutex.Unlock()
			t[class].add(a)
		})
		at += random.ExpFloat64() / demoRateAt(int(at))
		time.Sleep(time.Until(start.Add(time.Duration(at * float64(time.Second)))))
	}
	d.updateFault(total)
	callers.Wait()
	for i, t := range tallies {
		line := fmt.Sprintf("  second %d:", i+1)
		for _, s := range demoShares {
			c := t[s.class]
			line += fmt.Sprintf("  %s %d, %d, %d", s.class, c.offered, c.succeeded, c.notRun)
		}
		d.printf("%s", line)
	}
	return nil
}

// updateFault makes licensing slow in the seconds of the surge, and takes the fault
// back in all others.
func (d *demo) updateFault(second int) {
	factor := 0.0
	if second >= demoBeforeSeconds && second < demoBeforeSeconds+demoDuringSeconds {
		factor = demoSlowFactor
	}
	for _, m := range d.members["licensing"] {
		if f := m.Backend.Faults(); f.Slow != factor {
			f.Slow = factor
			m.Backend.SetFaults(f)
		}
	}
}

// demoRateAt returns the requests per second that are sent in a second of the load.
func demoRateAt(second int) float64 {
	if second >= demoBeforeSeconds && second < demoBeforeSeconds+demoDuringSeconds {
		return demoRate * demoSurgeFactor
	}
	return demoRate
}

// classAt returns the class at a point from 0 to 1 of the load, so that a uniformly
// random point draws each class by its share.
func classAt(point float64) string {
	for _, s := range demoShares {
		if point < s.share {
			return s.class
		}
		point -= s.share
	}
	return demoShares[len(demoShares)-1].class
}

// randomEntry returns a random node of packs. These nodes take new work during the
// whole demo.
func (d *demo) randomEntry(random *rand.Rand) *kqfleet.Member {
	entries := d.members["packs"]
	return entries[random.IntN(len(entries))]
}

// keyFor returns the idempotency key of the request with a number, or no key for a
// class that may run more than once.
func keyFor(class string, n int) string {
	if class != demoShares[0].class {
		return ""
	}
	return fmt.Sprintf("surge-%d", n)
}

// add counts one answer.
func (t *tally) add(a kqbackend.Answer) {
	t.offered++
	switch {
	case a.Err == nil && a.Status == statusOK:
		t.succeeded++
	case a.Outcome == string(kqcall.OutcomeNotRun):
		t.notRun++
	default:
		t.other++
	}
}
