package kqmeasure

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqbackend"
	"kumquatlink/io/kqfleet"
	"kumquatlink/io/kqhttp"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqnode"
	"kumquatlink/io/kqobject"
)

// Constants of the stand-ins and of callers' connections.
const (
	serviceSpread  = 0.3
	collapseFactor = 0.05
	collapseLimit  = 2
	renewPeriod    = time.Second
	startTimeout   = 2 * time.Minute
	maxIdleCallers = 1024
	anyPort        = "127.0.0.1:0"
	// entryTries is how many entries a caller tries if it can't connect.
	entryTries = 3
)

// host is a backend server stand-in and, under [PolicyKumquatlink], its node.
type host struct {
	place   kqfleet.Place
	service string
	backend *kqbackend.Backend
	member  *kqfleet.Member
	log     *kqlog.Log
}

// testbed holds the backend servers of a trial and, depending on the policy, the
// fleet of nodes or the client of the naive policy.
type testbed struct {
	profile Profile
	seed    uint64
	policy  string
	fleet   *kqfleet.Fleet
	store   *kqobject.Store
	naive   *naiveClient
	retries *retryCounter
	// send makes a caller's call from a region. It returns the answer and the
	// name of the entry, which is empty under the naive policy.
	send func(ctx context.Context, region string, c kqbackend.Call, random *rand.Rand) (kqbackend.Answer, string)

	mutex    sync.Mutex
	backends []*host
	entries  map[string][]*entry
	echo     *host
}

// entry is a node that callers send to, with the connections to it.
type entry struct {
	host *host
	pool *kqhttp.Pool
	name string
}

// newTestbed starts the testbed and waits until its nodes agree on the
// configuration and on the homes of keys.
func newTestbed(ctx context.Context, p Profile, s Scenario, seed uint64, policy string) (*testbed, error) {
	tb := &testbed{profile: p, seed: seed, policy: policy, retries: newRetryCounter(), entries: map[string][]*entry{}}
	var err error
	if policy == PolicyNaive {
		err = tb.startNaive()
	} else {
		err = tb.startFleet(ctx)
	}
	if err == nil && s.MeasureLatency && policy == PolicyKumquatlink {
		err = tb.startEcho()
	}
	if err == nil && tb.fleet != nil {
		startCtx, cancel := context.WithTimeout(ctx, startTimeout)
		defer cancel()
		if err = tb.fleet.AwaitConvergence(startCtx); err == nil {
			err = tb.awaitKeyHomes(startCtx)
		}
	}
	if err != nil {
		return nil, errors.CombineErrors(err, tb.close())
	}
	return tb, nil
}

// places returns the place of each upstream of a service. Upstreams take turns
// over the regions, and each further turn uses the next failure domain.
func places(p Profile, service string) []kqfleet.Place {
	var all []kqfleet.Place
	for i := range p.Upstreams {
		region := p.Regions[i%len(p.Regions)]
		domain := region + "-" + string(rune('a'+i/len(p.Regions)))
		all = append(all, kqfleet.Place{NodeID: service + "-" + string(rune('1'+i)), Region: region, FailureDomain: domain})
	}
	return all
}

// settings returns the settings of a service's stand-in. The index makes the
// seed differ between upstreams.
func (tb *testbed) settings(s Service, index int) kqbackend.Settings {
	return kqbackend.Settings{
		Service: s.Name, Slots: s.Slots, Queue: s.Queue, ServiceTime: s.Time, Spread: serviceSpread,
		Seed: tb.seed<<16 + uint64(index), Collapse: collapseFactor, CollapseLimit: collapseLimit,
		RenewPeriod: renewPeriod, Plans: tb.profile.plans(),
	}
}

// startFleet configures a fleet and starts a host for each upstream.
func (tb *testbed) startFleet(ctx context.Context) error {
	var err error
	if tb.fleet, err = kqfleet.New(); err != nil {
		return err
	}
	tb.store = tb.fleet.Store
	tb.send = tb.sendToEntry
	if err := tb.fleet.Configure(ctx, tb.profile.Classes); err != nil {
		return err
	}
	for _, s := range tb.profile.Services {
		for i, place := range places(tb.profile, s.Name) {
			if err := tb.addHost(place, tb.settings(s, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

// addHost starts a node with its backend server and adds it to the entries.
func (tb *testbed) addHost(place kqfleet.Place, settings kqbackend.Settings) error {
	h := &host{place: place, service: settings.Service}
	h.log = kqlog.New(tb.retries.nodeLog(), kqlog.WithNode(place.NodeID, place.FailureDomain))
	var err error
	if h.member, err = tb.fleet.AddBackend(place, settings, kqnode.WithLog(h.log)); err != nil {
		return err
	}
	h.backend = h.member.Backend
	address := h.member.Node.CallerAddress()
	e := &entry{host: h, name: place.NodeID, pool: kqhttp.NewPool(address, kqhttp.WithMaxIdle(maxIdleCallers))}
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	tb.backends = append(tb.backends, h)
	tb.entries[place.Region] = append(tb.entries[place.Region], e)
	return nil
}

// removeHost removes a host from the entries.
func (tb *testbed) removeHost(h *host) {
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	tb.entries[h.place.Region] = slices.DeleteFunc(slices.Clone(tb.entries[h.place.Region]), func(e *entry) bool { return e.host == h })
}

// sendToEntry sends a caller's call to a random node of its region. If it can't
// connect, it selects again.
func (tb *testbed) sendToEntry(ctx context.Context, region string, c kqbackend.Call, random *rand.Rand) (kqbackend.Answer, string) {
	var answer kqbackend.Answer
	var name string
	for range entryTries {
		tb.mutex.Lock()
		entries := tb.entries[region]
		e := entries[random.IntN(len(entries))]
		tb.mutex.Unlock()
		name = e.name
		answer = sendCall(ctx, e.pool, e.name, c)
		if answer.Err == nil || !errors.Is(answer.Err, kqhttp.ErrNotSent) || ctx.Err() != nil {
			break
		}
	}
	return answer, name
}

// sendCall makes one call over HTTP.
func sendCall(ctx context.Context, pool *kqhttp.Pool, name string, c kqbackend.Call) kqbackend.Answer {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	kqbackend.FillRequest(request, name, c)
	if err := pool.Do(ctx, request, response); err != nil {
		return kqbackend.Answer{Err: err}
	}
	return kqbackend.ReadAnswer(response)
}

// hosts lists the hosts of a service, or all if the name is empty.
func (tb *testbed) hosts(service string) []*host {
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	var all []*host
	for _, h := range tb.backends {
		if service == "" || h.service == service {
			all = append(all, h)
		}
	}
	return all
}

// close stops all nodes, backend servers and logs.
func (tb *testbed) close() error {
	var err error
	if tb.fleet != nil {
		err = tb.fleet.Close()
	} else {
		for _, h := range tb.backends {
			err = errors.CombineErrors(err, h.backend.Close())
		}
		if tb.store != nil {
			err = errors.CombineErrors(err, tb.store.Close())
		}
	}
	for _, h := range tb.backends {
		if h.log != nil {
			h.log.Close()
		}
	}
	return err
}
