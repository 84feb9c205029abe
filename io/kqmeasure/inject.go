package kqmeasure

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqobject"
	"kumquatlink/io/kqstore"
)

// Bounds of faults.
const (
	silentPairs     = 8
	drainTimeout    = 5 * time.Second
	storeProbeLimit = time.Second
	// naiveRegistryDelay is after what time the naive policy's list of
	// upstreams drops one that has announced that it leaves.
	naiveRegistryDelay = time.Second
)

// departure is a host that left, or was shut down.
type departure struct {
	host *host
	at   time.Time
}

// change is one switching of a fault at a time since the start.
type change struct {
	at   time.Duration
	make func(ctx context.Context)
}

// injector switches the faults of a scenario on and off.
type injector struct {
	world    *world
	changes  []change
	leaving  []departure
	evidence []func() int64
}

func newInjector(w *world, s Scenario, seed uint64) *injector {
	j := &injector{world: w}
	for _, f := range s.Faults {
		j.plan(f, s, seed)
	}
	slices.SortStableFunc(j.changes, func(a, b change) int { return int(a.at - b.at) })
	return j
}

func (j *injector) at(t time.Duration, make func(context.Context)) {
	j.changes = append(j.changes, change{t, make})
}

// plan notes when a fault is switched on and off.
func (j *injector) plan(f Fault, s Scenario, seed uint64) {
	from, to := s.trigger()+f.From, s.trigger()+f.To
	pick := int(seed % uint64(len(j.world.hosts(j.world.profile.Services[0].Name))))
	wide := j.world.hosts(j.world.profile.Services[0].Name)
	switch f.Kind {
	case FaultAny:
		f.Kind = []FaultKind{FaultStoreOut, FaultLeave, FaultSilence, FaultPause}[seed%4]
		j.plan(f, s, seed)
	case FaultSlow:
		j.at(from, func(context.Context) { j.slow(f.Factor) })
		j.at(to, func(context.Context) { j.slow(0) })
	case FaultStoreOut:
		j.at(from, j.storeOut)
		j.at(to, func(context.Context) { j.world.store.SetFaults(kqobject.Faults{}) })
	case FaultLeave:
		j.at(from, func(ctx context.Context) { j.leave(ctx, wide[pick]) })
	case FaultReplace:
		other := j.world.hosts(j.world.profile.Services[1].Name)[pick]
		j.at(from, func(ctx context.Context) { j.replace(ctx, other) })
	case FaultSilence:
		j.at(from, j.silence)
	case FaultPause:
		j.at(from, func(context.Context) { j.pause(wide[pick], true) })
		j.at(to, func(context.Context) { j.pause(wide[pick], false) })
	}
}

// run switches each fault when its time has come, and all back at the end.
func (j *injector) run(ctx context.Context, begun time.Time) {
	for _, c := range j.changes {
		pause(ctx, time.Until(begun.Add(c.at)))
		c.make(ctx)
	}
}

// injected sums the traces that the faults left.
func (j *injector) injected() int64 {
	sum := int64(0)
	for _, e := range j.evidence {
		n := e()
		if n == 0 {
			return 0
		}
		sum += n
	}
	return sum
}

func (j *injector) slow(factor float64) {
	hosts := j.world.hosts(j.world.profile.Deep)
	begun := time.Now()
	for _, h := range hosts {
		f := h.backend.Faults()
		f.Slow = factor
		h.backend.SetFaults(f)
	}
	if factor == 0 {
		return
	}
	j.evidence = append(j.evidence, func() int64 {
		n := int64(0)
		for _, h := range hosts {
			for _, r := range h.backend.Runs() {
				if r.At.After(begun) {
					n++
				}
			}
		}
		return n
	})
}

func (j *injector) storeOut(ctx context.Context) {
	j.world.store.SetFaults(kqobject.Faults{Down: true, CutWatches: true})
	ctx, cancel := context.WithTimeout(ctx, storeProbeLimit)
	defer cancel()
	_, err := kqstore.NewHTTP(j.world.store.Address()).Get(ctx, kqstore.KindConfiguration, kqstore.NameConfiguration)
	j.evidence = append(j.evidence, func() int64 {
		if errors.Is(err, kqstore.ErrUnavailable) {
			return 1
		}
		return 0
	})
}

// leave lets a backend server announce that it leaves.
func (j *injector) leave(ctx context.Context, h *host) {
	j.leaving = append(j.leaving, departure{h, time.Now()})
	failed := false
	if j.world.naive != nil {
		go func() {
			pause(ctx, naiveRegistryDelay)
			j.world.naive.forget(h)
		}()
	} else if err := h.backend.Leave(); err != nil {
		failed = true
	}
	j.evidence = append(j.evidence, func() int64 {
		if failed {
			return 0
		}
		return 1
	})
}

// replace shuts a host down gracefully under load and starts another in its
// place.
func (j *injector) replace(ctx context.Context, h *host) {
	d := departure{h, time.Now()}
	j.leaving = append(j.leaving, d)
	replaced := int64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := j.shutDown(ctx, h); err != nil {
			return
		}
		if err := j.startAgain(h); err == nil {
			replaced = 1
		}
	}()
	j.evidence = append(j.evidence, func() int64 {
		<-done
		return replaced
	})
}

func (j *injector) shutDown(ctx context.Context, h *host) error {
	w := j.world
	if w.naive != nil {
		pause(ctx, naiveRegistryDelay)
		w.naive.forget(h)
		return nil
	}
	w.forget(h)
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	return w.fleet.Stop(ctx, h.member)
}

func (j *injector) startAgain(h *host) error {
	w := j.world
	i := slices.IndexFunc(w.profile.Services, func(s Service) bool { return s.Name == h.service })
	settings := w.settings(w.profile.Services[i], w.profile.Upstreams)
	if w.naive != nil {
		return w.addNaive(h.place, settings)
	}
	return w.addHost(h.place, settings)
}

// silence lets the open connections between pairs of hosts go silent.
func (j *injector) silence(context.Context) {
	w := j.world
	deep, wide := w.hosts(w.profile.Deep), w.hosts(w.profile.Services[1].Name)
	if w.naive != nil {
		for _, u := range w.naive.list(w.profile.Deep)[:2] {
			u.silence()
			j.evidence = append(j.evidence, u.swallowed.Load)
		}
		return
	}
	pairs := 0
	for _, a := range wide {
		for _, b := range deep {
			if pairs < silentPairs && w.fleet.Network.DropFlows(a.place.NodeID, b.place.NodeID) > 0 {
				pairs++
			}
		}
	}
	j.evidence = append(j.evidence, w.fleet.Network.Dropped)
}

// pause stops or wakes a whole host.
func (j *injector) pause(h *host, paused bool) {
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
		j.evidence = append(j.evidence, func() int64 {
			if h.member == nil {
				return 1
			}
			return h.member.BlockedReads() + j.world.fleet.Network.Delayed()
		})
	}
}
