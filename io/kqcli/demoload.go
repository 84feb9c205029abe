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

// statusWhole is the status of a whole answer.
const statusWhole = fasthttp.StatusOK

// demoShares are the parts of the load, the most important class first.
var demoShares = []struct {
	class string
	share float64
}{{"purchase", 0.1}, {"download", 0.3}, {"browse", 0.6}}

// tally counts what became of a class's requests in one second.
type tally struct {
	offered, whole, notRun, other int
}

// send makes one request through an entry.
func (d *demo) send(entry *kqfleet.Member, class, id, key string) kqbackend.Answer {
	ctx, cancel := context.WithTimeout(d.ctx, demoPatience)
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

// runsOf counts the runs of a request on all backend servers.
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

// surge sends three times the load while licensing is slow.
func (d *demo) surge() error {
	total := demoBeforeSeconds + demoDuringSeconds + demoAfterSeconds
	tallies := make([]map[string]*tally, total)
	for i := range tallies {
		tallies[i] = map[string]*tally{}
		for _, s := range demoShares {
			tallies[i][s.class] = &tally{}
		}
	}
	d.say("Load in whole requests: offered, whole, told not run; licensing %d times as slow and %d times the load in seconds %d to %d.",
		demoSlow, demoSurge, demoBeforeSeconds+1, demoBeforeSeconds+demoDuringSeconds)
	var callers sync.WaitGroup
	var mutex sync.Mutex
	random := rand.New(rand.NewPCG(demoSeed, demoSeed))
	begun := time.Now()
	for at, n := 0.0, 0; at < float64(total) && d.ctx.Err() == nil; n++ {
		d.slow(int(at))
		t := tallies[int(at)]
		class := drawClass(random.Float64())
		entry := d.anyEntry(random)
		callers.Go(func() {
			a := d.send(entry, class, fmt.Sprintf("surge-%d", n), keyFor(class, n))
			mutex.Lock()
			defer mutex.Unlock()
			t[class].count(a)
		})
		at += random.ExpFloat64() / demoRateAt(int(at))
		time.Sleep(time.Until(begun.Add(time.Duration(at * float64(time.Second)))))
	}
	d.slow(total)
	callers.Wait()
	for i, t := range tallies {
		line := fmt.Sprintf("  second %d:", i+1)
		for _, s := range demoShares {
			c := t[s.class]
			line += fmt.Sprintf("  %s %d, %d, %d", s.class, c.offered, c.whole, c.notRun)
		}
		d.say("%s", line)
	}
	return nil
}

// slow makes licensing slow in the seconds of the trigger.
func (d *demo) slow(second int) {
	factor := 0.0
	if second >= demoBeforeSeconds && second < demoBeforeSeconds+demoDuringSeconds {
		factor = demoSlow
	}
	for _, m := range d.members["licensing"] {
		if f := m.Backend.Faults(); f.Slow != factor {
			f.Slow = factor
			m.Backend.SetFaults(f)
		}
	}
}

func demoRateAt(second int) float64 {
	if second >= demoBeforeSeconds && second < demoBeforeSeconds+demoDuringSeconds {
		return demoRate * demoSurge
	}
	return demoRate
}

func drawClass(point float64) string {
	for _, s := range demoShares {
		if point < s.share {
			return s.class
		}
		point -= s.share
	}
	return demoShares[len(demoShares)-1].class
}

// anyEntry chooses a node that takes new work.
func (d *demo) anyEntry(random *rand.Rand) *kqfleet.Member {
	open := d.members["packs"]
	return open[random.IntN(len(open))]
}

func keyFor(class string, n int) string {
	if class != demoShares[0].class {
		return ""
	}
	return fmt.Sprintf("surge-%d", n)
}

// count counts one answer.
func (t *tally) count(a kqbackend.Answer) {
	t.offered++
	switch {
	case a.Err == nil && a.Status == statusWhole:
		t.whole++
	case a.Outcome == string(kqcall.OutcomeNotRun):
		t.notRun++
	default:
		t.other++
	}
}
