package kqnode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqconfig"
	"kumquatlink/io/kqstore"
)

// Periods of the configuration watch.
const (
	// maxWatchPause is the longest pause, chosen at random, between two watches.
	maxWatchPause = 200 * time.Millisecond
	// watchReadPeriod is how long a watch lasts before the configuration is read
	// again. It limits the delay when a watch stops delivering changes or
	// delivers outdated ones.
	watchReadPeriod = 2 * time.Second
	// roleCheckPeriod is how often a node that does not watch the store checks
	// whether it should.
	roleCheckPeriod = time.Second
)

// StoreView describes the store as this node sees it.
type StoreView struct {
	// Watching reports whether the node watches the store for its failure domain.
	Watching bool
	// Version is the configuration version in the last answer of the store.
	Version int64
	// AnsweredAt is when the store last answered this node, by the node's clock.
	AnsweredAt time.Time
	// Behind reports whether the store holds an older version than the one in
	// force.
	Behind bool
	// Repairs counts how often this node wrote the version in force back to
	// the store.
	Repairs int64
}

// runConfigurationWatch follows the configuration in the store while this node
// is one of the watchers of its failure domain, until ctx ends.
func (n *Node) runConfigurationWatch(ctx context.Context) {
	for ctx.Err() == nil {
		pause := time.Duration(rand.Float64() * float64(maxWatchPause))
		if n.shouldWatch() {
			n.followConfiguration(ctx)
		} else {
			n.control.send(watchingEvent{watching: false})
			pause = roleCheckPeriod
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// shouldWatch reports whether this node is a watcher of its failure domain, or
// has no configuration in force yet.
func (n *Node) shouldWatch() bool {
	s := n.State()
	return s.Classes == nil || kqconfig.ShouldWatch(s.Members)
}

// followConfiguration reads the configuration, repairs the store if it holds an
// older version, and then watches the store for watchReadPeriod.
func (n *Node) followConfiguration(ctx context.Context) {
	n.control.send(watchingEvent{watching: true})
	stored, version, err := kqstore.ReadConfiguration(ctx, n.store)
	if errors.Is(err, kqstore.ErrNotFound) {
		stored, version, err = kqclass.Configuration{}, "", nil
	}
	if err != nil {
		return
	}
	n.control.send(storedEvent{configuration: stored, at: n.now()})
	n.repairStore(ctx, stored, version)
	ctx, cancel := context.WithTimeout(ctx, watchReadPeriod)
	defer cancel()
	err = n.store.Watch(ctx, kqstore.KindConfiguration, kqstore.NameConfiguration, version, func(o kqstore.Object) error {
		next, err := kqstore.DecodeConfiguration(o)
		if err == nil {
			n.control.send(storedEvent{configuration: next, at: n.now()})
		}
		return err
	})
	if err != nil && ctx.Err() == nil {
		n.log.Event(zerolog.DebugLevel, "watch of the configuration in the store failed, starting another", err)
	}
}

// repairStore writes the configuration in force back to the store if the store
// holds an older one, which happens when it was restored from a backup. The
// write is conditional on the version that was read, so that it never
// overwrites a change that was accepted in the meantime.
func (n *Node) repairStore(ctx context.Context, stored kqclass.Configuration, version string) {
	s := n.State()
	if !kqconfig.Newer(s.Configuration, stored) {
		return
	}
	n.log.Event(zerolog.ErrorLevel, "store holds an older configuration than the one in force, writing the one in force back", nil)
	if _, err := kqstore.WriteConfiguration(ctx, n.store, s.Configuration, version); err != nil {
		n.log.Event(zerolog.WarnLevel, "configuration in force can't be written back to the store", err)
		return
	}
	n.control.send(repairedEvent{})
}

// configurationEvent delivers a configuration received from a peer.
type configurationEvent struct {
	configuration kqclass.Configuration
}

func (e configurationEvent) apply(c *control) bool {
	return c.applyConfiguration(e.configuration)
}

// storedEvent delivers the configuration read from the store, with the time of
// the answer. Version 0 means that the store holds none.
type storedEvent struct {
	configuration kqclass.Configuration
	at            time.Time
}

func (e storedEvent) apply(c *control) bool {
	if e.configuration.Version > 0 {
		c.applyConfiguration(e.configuration)
	}
	c.state.Store.Version = e.configuration.Version
	c.state.Store.AnsweredAt = e.at
	c.state.Store.Behind = kqconfig.Newer(c.holder.InForce(), e.configuration)
	return true
}

// watchingEvent records whether the node watches the store.
type watchingEvent struct {
	watching bool
}

func (e watchingEvent) apply(c *control) bool {
	changed := c.state.Store.Watching != e.watching
	c.state.Store.Watching = e.watching
	return changed
}

// repairedEvent records that the configuration was written back to the store.
type repairedEvent struct{}

func (repairedEvent) apply(c *control) bool {
	c.state.Store.Repairs++
	return true
}

// applyConfiguration puts a configuration into force, unless it is already in
// force or is refused. It reports whether the control state changed: a refusal
// counts as a change.
func (c *control) applyConfiguration(configuration kqclass.Configuration) bool {
	switch verdict := c.holder.Offer(configuration); verdict {
	case kqconfig.VerdictTaken:
		c.state.Configuration = c.holder.InForce()
		c.state.Classes = kqclass.NewTable(c.state.Configuration)
		c.state.InForceSince = c.node.now()
		return true
	case kqconfig.VerdictHeld:
		return false
	default:
		c.node.log.Event(zerolog.WarnLevel, "configuration refused, keeping the one in force: "+string(verdict), nil)
		c.state.Refusals = c.holder.Refusals()
		return true
	}
}
