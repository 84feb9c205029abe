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

// Times of the configuration watch. A watcher also reads now and then, so that
// a watch that went silent or stale costs no more than that period.
const (
	watchPause      = 200 * time.Millisecond
	watchReadPeriod = 2 * time.Second
	notWatchPeriod  = time.Second
)

// StoreView is what a node knows of the store's configuration.
type StoreView struct {
	// Watching is whether the node watches the store for its failure domain.
	Watching bool
	// Version is the version that the store held when it last answered.
	Version int64
	// AnsweredAt is when the store last answered this node, by its own clock.
	AnsweredAt time.Time
	// Behind is whether the store holds an older version than is in force.
	Behind bool
	// Repairs counts the times that this node wrote the version in force back.
	Repairs int64
}

// runConfigurationWatch follows the configuration in the store while this node
// is one of the few of its failure domain that should.
func (n *Node) runConfigurationWatch(ctx context.Context) {
	for ctx.Err() == nil {
		pause := time.Duration(rand.Float64() * float64(watchPause))
		if n.shouldWatch() {
			n.followConfiguration(ctx)
		} else {
			n.control.send(watchingEvent{watching: false})
			pause = notWatchPeriod
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// shouldWatch is whether this node is a watcher of its failure domain, or has
// nothing in force yet.
func (n *Node) shouldWatch() bool {
	s := n.State()
	return s.Classes == nil || kqconfig.ShouldWatch(s.Members)
}

// followConfiguration reads the configuration, and watches it for the period
// after which it is read again.
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
		n.log.Event(zerolog.DebugLevel, "configuration watch ended", err)
	}
}

// repairStore writes the configuration in force back to a store that was
// restored from an older copy. The write is conditional, so that it never
// beats a change that was accepted meanwhile.
func (n *Node) repairStore(ctx context.Context, stored kqclass.Configuration, version string) {
	s := n.State()
	if !kqconfig.Newer(s.Configuration, stored) {
		return
	}
	n.log.Event(zerolog.ErrorLevel, "store holds an older configuration than is in force: writing it back", nil)
	if _, err := kqstore.WriteConfiguration(ctx, n.store, s.Configuration, version); err != nil {
		n.log.Event(zerolog.WarnLevel, "write configuration back", err)
		return
	}
	n.control.send(repairedEvent{})
}

// configurationEvent is a configuration that was heard from a peer.
type configurationEvent struct {
	configuration kqclass.Configuration
}

func (e configurationEvent) apply(c *control) bool {
	return c.offer(e.configuration)
}

// storedEvent is what the store holds.
type storedEvent struct {
	configuration kqclass.Configuration
	at            time.Time
}

func (e storedEvent) apply(c *control) bool {
	if e.configuration.Version > 0 {
		c.offer(e.configuration)
	}
	c.state.Store.Version = e.configuration.Version
	c.state.Store.AnsweredAt = e.at
	c.state.Store.Behind = kqconfig.Newer(c.holder.InForce(), e.configuration)
	return true
}

// watchingEvent says whether the node watches the store.
type watchingEvent struct {
	watching bool
}

func (e watchingEvent) apply(c *control) bool {
	changed := c.state.Store.Watching != e.watching
	c.state.Store.Watching = e.watching
	return changed
}

// repairedEvent says that the store was written back.
type repairedEvent struct{}

func (repairedEvent) apply(c *control) bool {
	c.state.Store.Repairs++
	return true
}

// offer takes a configuration into force unless its version has passed, and
// says whether it did.
func (c *control) offer(configuration kqclass.Configuration) bool {
	switch verdict := c.holder.Offer(configuration); verdict {
	case kqconfig.VerdictTaken:
		c.state.Configuration = c.holder.InForce()
		c.state.Classes = kqclass.NewTable(c.state.Configuration)
		c.state.InForceSince = c.node.now()
		return true
	case kqconfig.VerdictHeld:
		return false
	default:
		c.node.log.Event(zerolog.WarnLevel, "configuration refused: "+string(verdict), nil)
		c.state.Refusals = c.holder.Refusals()
		return true
	}
}
