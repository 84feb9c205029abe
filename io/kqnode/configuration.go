package kqnode

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"kumquatlink/core/kqclass"
	"kumquatlink/io/kqstore"
)

// watchPause is how long the watch waits before it begins again.
const watchPause = 500 * time.Millisecond

// runConfigurationWatch follows the configuration in the store.
func (n *Node) runConfigurationWatch(ctx context.Context) {
	for ctx.Err() == nil {
		if err := n.followConfiguration(ctx); err != nil && ctx.Err() == nil {
			n.log.Event(zerolog.WarnLevel, "follow configuration", err)
		}
		select {
		case <-time.After(watchPause):
		case <-ctx.Done():
		}
	}
}

func (n *Node) followConfiguration(ctx context.Context) error {
	configuration, version, err := kqstore.ReadConfiguration(ctx, n.store)
	if err != nil {
		return err
	}
	n.control.send(configurationEvent{configuration: configuration})
	return n.store.Watch(ctx, kqstore.KindConfiguration, kqstore.NameConfiguration, version, func(o kqstore.Object) error {
		next, err := kqstore.DecodeConfiguration(o)
		if err != nil {
			return err
		}
		n.control.send(configurationEvent{configuration: next})
		return nil
	})
}

// configurationEvent is a configuration that was heard from the store or from
// a peer.
type configurationEvent struct {
	configuration kqclass.Configuration
}

// apply takes a configuration into force unless its version has passed.
func (e configurationEvent) apply(c *control) bool {
	if e.configuration.Version <= c.state.Configuration.Version {
		return false
	}
	if faults := e.configuration.Check(); len(faults) > 0 {
		c.node.log.Event(zerolog.ErrorLevel, "configuration refused: "+faults[0].String(), nil)
		return false
	}
	c.state.Configuration = e.configuration
	c.state.Classes = kqclass.NewTable(e.configuration)
	return true
}
