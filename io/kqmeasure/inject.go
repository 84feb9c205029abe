package kqmeasure

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqobject"
	"kumquatlink/io/kqstore"
)

// Constants of the faults.
const (
	// maxSilentPairs bounds the pairs of hosts whose connections go silent.
	maxSilentPairs    = 8
	drainTimeout      = 5 * time.Second
	storeCheckTimeout = time.Second
	// naiveRegistryDelay is how long the naive policy's list of upstreams still
	// holds a host that has announced that it leaves.
	naiveRegistryDelay = time.Second
)

// drainingHost is a host that announced that it leaves, or that began to shut
// down, and when it did so.
type drainingHost struct {
	host *host
	at   time.Time
}

// faultSwitch switches a fault on or off. Its time counts from the trial's
// start.
type faultSwitch struct {
	at    time.Duration
	apply func(ctx context.Context)
}

// injector switches the faults of a scenario on and off. Each function in
// effects returns how often one fault was observed to take effect.
type injector struct {
	testbed  *testbed
	switches []faultSwitch
	leaving  []drainingHost
	effects  []func() int64
}

func newInjector(tb *testbed, s Scenario, seed uint64) *injector {
	j := &injector{testbed: tb}
	for _, f := range s.Faults {
		j.scheduleFault(f, s, seed)
	}
	slices.SortStableFunc(j.switches, func(a, b faultSwitch) int { return int(a.at - b.at) })
	return j
}

// schedule adds a switch at a time since the trial's start.
func (j *injector) schedule(t time.Duration, apply func(context.Context)) {
	j.switches = append(j.switches, faultSwitch{t, apply})
}

// scheduleFault schedules when a fault is switched on and off. The seed selects
// the host, and the kind of fault for FaultAny.
func (j *injector) scheduleFault(f Fault, s Scenario, seed uint64) {
	from, to := s.triggerStart()+f.From, s.triggerStart()+f.To
	index := int(seed % uint64(len(j.testbed.hosts(j.testbed.profile.Services[0].Name))))
	candidates := j.testbed.hosts(j.testbed.profile.Services[0].Name)
	switch f.Kind {
	case FaultAny:
		f.Kind = []FaultKind{FaultStoreOut, FaultLeave, FaultSilence, FaultPause}[seed%4]
		j.scheduleFault(f, s, seed)
	case FaultSlow:
		j.schedule(from, func(context.Context) { j.setSlowdown(f.Factor) })
		j.schedule(to, func(context.Context) { j.setSlowdown(0) })
	case FaultStoreOut:
		j.schedule(from, j.failStore)
		j.schedule(to, func(context.Context) { j.testbed.store.SetFaults(kqobject.Faults{}) })
	case FaultRestore:
		j.schedule(to, func(context.Context) { j.restoreStore(to - from) })
	case FaultLeave:
		j.schedule(from, func(ctx context.Context) { j.leave(ctx, candidates[index]) })
	case FaultReplace:
		other := j.testbed.hosts(j.testbed.profile.Services[1].Name)[index]
		j.schedule(from, func(ctx context.Context) { j.replace(ctx, other) })
	case FaultSilence:
		j.schedule(from, j.dropFlows)
	case FaultPause:
		j.schedule(from, func(context.Context) { j.setPaused(candidates[index], true) })
		j.schedule(to, func(context.Context) { j.setPaused(candidates[index], false) })
	}
}

// run applies the switches at their times, the earliest first.
func (j *injector) run(ctx context.Context, startedAt time.Time) {
	for _, c := range j.switches {
		sleep(ctx, time.Until(startedAt.Add(c.at)))
		c.apply(ctx)
	}
}

// faultsInjected sums the observed effects of all faults. It returns 0 if any
// one fault had none.
func (j *injector) faultsInjected() int64 {
	sum := int64(0)
	for _, e := range j.effects {
		n := e()
		if n == 0 {
			return 0
		}
		sum += n
	}
	return sum
}

// setSlowdown makes the deep service slower by a factor; 0 restores its speed.
func (j *injector) setSlowdown(factor float64) {
	hosts := j.testbed.hosts(j.testbed.profile.Deep)
	slowedAt := time.Now()
	for _, h := range hosts {
		f := h.backend.Faults()
		f.Slow = factor
		h.backend.SetFaults(f)
	}
	if factor == 0 {
		return
	}
	j.effects = append(j.effects, func() int64 {
		n := int64(0)
		for _, h := range hosts {
			for _, r := range h.backend.Runs() {
				if r.At.After(slowedAt) {
					n++
				}
			}
		}
		return n
	})
}

// failStore makes the configuration store unavailable and ends its watches.
func (j *injector) failStore(ctx context.Context) {
	j.testbed.store.SetFaults(kqobject.Faults{Down: true, CutWatches: true})
	ctx, cancel := context.WithTimeout(ctx, storeCheckTimeout)
	defer cancel()
	_, err := kqstore.NewHTTP(j.testbed.store.Address()).Get(ctx, kqstore.KindConfiguration, kqstore.NameConfiguration)
	j.effects = append(j.effects, func() int64 {
		if errors.Is(err, kqstore.ErrUnavailable) {
			return 1
		}
		return 0
	})
}

// restoreStore restores the store from a copy. Nodes whose configuration or keys
// depend on what it lost read it again.
func (j *injector) restoreStore(age time.Duration) {
	store := j.testbed.store
	store.SetFaults(kqobject.Faults{RestoreAge: age})
	before := store.Counts().Reads
	j.effects = append(j.effects, func() int64 {
		if j.testbed.naive != nil {
			return 1
		}
		return store.Counts().Reads - before
	})
}

// leave makes a backend server announce that it leaves. Under the naive policy
// the list of upstreams drops it after naiveRegistryDelay.
func (j *injector) leave(ctx context.Context, h *host) {
	j.leaving = append(j.leaving, drainingHost{h, time.Now()})
	failed := false
	if j.testbed.naive != nil {
		go func() {
			sleep(ctx, naiveRegistryDelay)
			j.testbed.naive.removeHost(h)
		}()
	} else if err := h.backend.Leave(); err != nil {
		failed = true
	}
	j.effects = append(j.effects, func() int64 {
		if failed {
			return 0
		}
		return 1
	})
}

// replace shuts a host down gracefully under load and starts another in its
// place.
func (j *injector) replace(ctx context.Context, h *host) {
	d := drainingHost{h, time.Now()}
	j.leaving = append(j.leaving, d)
	replaced := int64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := j.shutDown(ctx, h); err != nil {
			return
		}
		if err := j.startReplacement(h); err == nil {
			replaced = 1
		}
	}()
	j.effects = append(j.effects, func() int64 {
		<-done
		return replaced
	})
}

// shutDown drains a host and stops it. Under the naive policy it only removes
// the host from the list of upstreams.
func (j *injector) shutDown(ctx context.Context, h *host) error {
	tb := j.testbed
	if tb.naive != nil {
		sleep(ctx, naiveRegistryDelay)
		tb.naive.removeHost(h)
		return nil
	}
	tb.removeHost(h)
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	return tb.fleet.Stop(ctx, h.member)
}

// startReplacement starts a host with the same place and service.
func (j *injector) startReplacement(h *host) error {
	tb := j.testbed
	i := slices.IndexFunc(tb.profile.Services, func(s Service) bool { return s.Name == h.service })
	settings := tb.settings(tb.profile.Services[i], tb.profile.Upstreams)
	if tb.naive != nil {
		return tb.addNaiveHost(h.place, settings)
	}
	return tb.addHost(h.place, settings)
}

// dropFlows makes open connections silent: both ends still hold them, but what
// is sent on them is lost. It hits connections between hosts of the second
// service and hosts of the deep service, or under the naive policy all
// connections to two upstreams of the deep service.
func (j *injector) dropFlows(context.Context) {
	tb := j.testbed
	deepHosts, sourceHosts := tb.hosts(tb.profile.Deep), tb.hosts(tb.profile.Services[1].Name)
	if tb.naive != nil {
		for _, u := range tb.naive.upstreamsOf(tb.profile.Deep)[:2] {
			u.dropFlows()
			j.effects = append(j.effects, u.dropped.Load)
		}
		return
	}
	pairs := 0
	for _, a := range sourceHosts {
		for _, b := range deepHosts {
			if pairs < maxSilentPairs && tb.fleet.Network.DropFlows(a.place.NodeID, b.place.NodeID) > 0 {
				pairs++
			}
		}
	}
	j.effects = append(j.effects, tb.fleet.Network.Dropped)
}

// setPaused pauses or resumes a host: its node with its backend server, or under
// the naive policy the backend server alone.
func (j *injector) setPaused(h *host, paused bool) {
	switch {
	case h.member == nil:
		f := h.backend.Faults()
		f.Stall = paused
		h.backend.SetFaults(f)
	case paused:
		h.member.Pause()
	default:
		h.member.Resume()
	}
	if paused {
		j.effects = append(j.effects, func() int64 {
			if h.member == nil {
				return 1
			}
			return h.member.BlockedReads() + j.testbed.fleet.Network.Delayed()
		})
	}
}
