package kqsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"kumquatlink/io/kqmesh"
	"kumquatlink/io/kqobject"
	"kumquatlink/io/kqstore"
)

// Timing of the restores of the store from a copy.
const (
	// maxCopyAge is how old the copy is at most.
	maxCopyAge = 6 * time.Second
	// maxAwayTime is how long the store is away before it comes back.
	maxAwayTime = time.Second
	// meanRestorePause is the mean pause between two restores.
	meanRestorePause = 3 * time.Second
	// maxLateWrites and maxWriteDelay bound the writes that the store makes late,
	// some of them only after it was restored.
	maxLateWrites = 4
	maxWriteDelay = 4 * time.Second
	// operatorPeriod is how often the operator compares the routes in the store
	// with those that the store has acknowledged.
	operatorPeriod = 200 * time.Millisecond
)

// restoreStore restores the store from copies for the length of the soak.
func (s *soak) restoreStore(ctx context.Context, random *rand.Rand) {
	for until := time.Now().Add(s.options.Length); ; {
		sleep(ctx, time.Duration(random.Int64N(int64(2*meanRestorePause))))
		age := time.Duration(random.Int64N(int64(maxCopyAge))) + 1
		away := time.Duration(random.Int64N(int64(maxAwayTime)))
		late := kqobject.Faults{LateWrites: random.IntN(maxLateWrites), LateBy: time.Duration(random.Int64N(int64(maxWriteDelay)))}
		if ctx.Err() != nil || time.Now().After(until) {
			return
		}
		s.recordEvent("the store is restored from a copy of %s ago, %s after it went away", age.Round(time.Millisecond), away.Round(time.Millisecond))
		s.injectStoreFault(ctx, late, away)
		s.injectStoreFault(ctx, kqobject.Faults{Down: true}, away)
		for ctx.Err() == nil && s.store.setFaults(kqobject.Faults{RestoreAge: age}) != nil {
			sleep(ctx, meanFaultPause)
		}
	}
}

// runOperator writes the routes that the store has acknowledged again when it holds
// older ones, until ctx ends.
func (s *soak) runOperator(ctx context.Context) {
	client := kqstore.NewHTTP(s.store.address)
	for ; ctx.Err() == nil; sleep(ctx, operatorPeriod) {
		s.operator.Lock()
		if err := s.rewriteRoutes(ctx, client); err != nil && ctx.Err() == nil {
			s.recordEvent("could not write routes again: %v", err)
		}
		s.operator.Unlock()
	}
}

// rewriteRoutes writes the acknowledged routes if the store holds older ones or
// none. It does nothing while the store does not answer.
func (s *soak) rewriteRoutes(ctx context.Context, client *kqstore.Client) error {
	o, err := client.Get(ctx, kqmesh.NativeRoutesKind, kqmesh.NativeRoutesName)
	if kqstore.IsUnavailable(err) {
		return nil
	}
	var stored struct{ Version int64 }
	if err == nil {
		if err := json.Unmarshal(o.Value, &stored); err != nil {
			return err
		}
	}
	s.mutex.Lock()
	acknowledged := s.routes
	s.mutex.Unlock()
	if stored.Version >= acknowledged {
		return nil
	}
	value, err := json.Marshal(routesOf(acknowledged))
	if err != nil {
		return err
	}
	return s.writeRoutes(ctx, value)
}

// missingRecord returns the name of a serving host whose record the store lacks, or
// an empty string. Other nodes find the host by that record only.
func (s *soak) missingRecord(ctx context.Context) string {
	client := kqstore.NewHTTP(s.store.address)
	for _, h := range s.hosts {
		o, err := client.Get(ctx, kqstore.KindHosts, h.name)
		var record kqmesh.HostRecord
		if err == nil {
			err = json.Unmarshal(o.Value, &record)
		}
		if err != nil || !record.TakesWork() {
			return fmt.Sprintf("the store holds %q as the record of %s, %v", record.Life, h.name, err)
		}
	}
	return ""
}
