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

// Habits of the stand-ins.
const (
	serviceSpread  = 0.3
	collapseFactor = 0.05
	collapseLimit  = 2
	renewPeriod    = time.Second
	settleTimeout  = 2 * time.Minute
	maxIdleCallers = 1024
	anyPort        = "127.0.0.1:0"
	// entryTries is how many entries a caller tries that it can't connect to.
	entryTries = 3
)

// host is a backend server stand-in and, under kumquatlink, its node.
type host struct {
	place   kqfleet.Place
	service string
	backend *kqbackend.Backend
	member  *kqfleet.Member
	log     *kqlog.Log
}

// world is the fleet, or the naive baseline, with the same stand-ins.
type world struct {
	profile Profile
	seed    uint64
	policy  string
	fleet   *kqfleet.Fleet
	store   *kqobject.Store
	naive   *naive
	log     *decisionCounter
	// send makes a caller's call from a region, and names the entry.
	send func(ctx context.Context, region string, c kqbackend.Call, random *rand.Rand) (kqbackend.Answer, string)

	mutex    sync.Mutex
	backends []*host
	entries  map[string][]*entry
	echo     *host
}

// entry is a node's address for callers.
type entry struct {
	host *host
	pool *kqhttp.Pool
	name string
}

func newWorld(ctx context.Context, p Profile, s Scenario, seed uint64, policy string) (*world, error) {
	w := &world{profile: p, seed: seed, policy: policy, log: newDecisionCounter(), entries: map[string][]*entry{}}
	var err error
	if policy == PolicyNaive {
		err = w.startNaive()
	} else {
		err = w.startFleet(ctx)
	}
	if err == nil && s.MeasureLatency && policy == PolicyKumquatlink {
		err = w.startEcho()
	}
	if err == nil && w.fleet != nil {
		settle, cancel := context.WithTimeout(ctx, settleTimeout)
		defer cancel()
		if err = w.fleet.AwaitConvergence(settle); err == nil {
			err = w.settleKeys(settle)
		}
	}
	if err != nil {
		return nil, errors.CombineErrors(err, w.close())
	}
	return w, nil
}

// places lists where the upstreams of a service stand: two failure domains in
// each region.
func places(p Profile, service string) []kqfleet.Place {
	var all []kqfleet.Place
	for i := range p.Upstreams {
		region := p.Regions[i%len(p.Regions)]
		domain := region + "-" + string(rune('a'+i/len(p.Regions)))
		all = append(all, kqfleet.Place{NodeID: service + "-" + string(rune('1'+i)), Region: region, FailureDomain: domain})
	}
	return all
}

func (w *world) settings(s Service, index int) kqbackend.Settings {
	return kqbackend.Settings{
		Service: s.Name, Slots: s.Slots, Queue: s.Queue, ServiceTime: s.Time, Spread: serviceSpread,
		Seed: w.seed<<16 + uint64(index), Collapse: collapseFactor, CollapseLimit: collapseLimit,
		RenewPeriod: renewPeriod, Plans: w.profile.plans(),
	}
}

func (w *world) startFleet(ctx context.Context) error {
	var err error
	if w.fleet, err = kqfleet.New(); err != nil {
		return err
	}
	w.store = w.fleet.Store
	w.send = w.sendToEntry
	if err := w.fleet.Configure(ctx, w.profile.Classes); err != nil {
		return err
	}
	for _, s := range w.profile.Services {
		for i, place := range places(w.profile, s.Name) {
			if err := w.addHost(place, w.settings(s, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

// addHost starts a node with its backend server and opens it to callers.
func (w *world) addHost(place kqfleet.Place, settings kqbackend.Settings) error {
	h := &host{place: place, service: settings.Service}
	h.log = kqlog.New(w.log.node(), kqlog.WithNode(place.NodeID, place.FailureDomain))
	var err error
	if h.member, err = w.fleet.AddBackend(place, settings, kqnode.WithLog(h.log)); err != nil {
		return err
	}
	h.backend = h.member.Backend
	address := h.member.Node.CallerAddress()
	e := &entry{host: h, name: place.NodeID, pool: kqhttp.NewPool(address, kqhttp.WithMaxIdle(maxIdleCallers))}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.backends = append(w.backends, h)
	w.entries[place.Region] = append(w.entries[place.Region], e)
	return nil
}

// forget takes a host's address from the callers.
func (w *world) forget(h *host) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.entries[h.place.Region] = slices.DeleteFunc(slices.Clone(w.entries[h.place.Region]), func(e *entry) bool { return e.host == h })
}

// sendToEntry sends a caller's call to a node of its region. A caller that
// can't connect tries another.
func (w *world) sendToEntry(ctx context.Context, region string, c kqbackend.Call, random *rand.Rand) (kqbackend.Answer, string) {
	var answer kqbackend.Answer
	var name string
	for range entryTries {
		w.mutex.Lock()
		open := w.entries[region]
		e := open[random.IntN(len(open))]
		w.mutex.Unlock()
		name = e.name
		answer = post(ctx, e.pool, e.name, c)
		if answer.Err == nil || !errors.Is(answer.Err, kqhttp.ErrNotSent) || ctx.Err() != nil {
			break
		}
	}
	return answer, name
}

// post makes one call.
func post(ctx context.Context, pool *kqhttp.Pool, name string, c kqbackend.Call) kqbackend.Answer {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	kqbackend.FillRequest(request, name, c)
	if err := pool.Do(ctx, request, response); err != nil {
		return kqbackend.Answer{Err: err}
	}
	return kqbackend.ReadAnswer(response)
}

// hosts lists the hosts of a service, or all.
func (w *world) hosts(service string) []*host {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var all []*host
	for _, h := range w.backends {
		if service == "" || h.service == service {
			all = append(all, h)
		}
	}
	return all
}

func (w *world) close() error {
	var err error
	if w.fleet != nil {
		err = w.fleet.Close()
	} else {
		for _, h := range w.backends {
			err = errors.CombineErrors(err, h.backend.Close())
		}
		if w.store != nil {
			err = errors.CombineErrors(err, w.store.Close())
		}
	}
	for _, h := range w.backends {
		if h.log != nil {
			h.log.Close()
		}
	}
	return err
}
