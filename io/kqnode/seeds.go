package kqnode

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"kumquatlink/core/kqseed"
	"kumquatlink/io/kqstore"
)

// Kind and name of the stored object that holds the list of seeds.
const (
	kindSeeds = "kumquatlink.dev/v1/seeds"
	nameSeeds = "fleet"
)

// seedCheckPeriod is the time between two checks whether the list is to be read.
const seedCheckPeriod = time.Second

// runSeeds reads the list of seeds when the node starts, and keeps the stored list
// up to date while the node is a seed itself, until ctx ends.
func (n *Node) runSeeds(ctx context.Context) {
	startedAt := n.now()
	seeder := kqseed.NewSeeder(0, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	ticker := time.NewTicker(seedCheckPeriod)
	defer ticker.Stop()
	for {
		if seeder.Due(n.now().Sub(startedAt), n.State().Members) {
			n.syncSeeds(ctx, seeder, startedAt)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// syncSeeds reads the list of seeds, passes its addresses to the control goroutine,
// and writes the list back if the seeder has changed it.
func (n *Node) syncSeeds(ctx context.Context, seeder *kqseed.Seeder, startedAt time.Time) {
	var list kqseed.List
	o, err := n.store.Get(ctx, kindSeeds, nameSeeds)
	if err == nil {
		err = json.Unmarshal(o.Value, &list)
	}
	now := n.now().Sub(startedAt)
	if err != nil && !errors.Is(err, kqstore.ErrNotFound) {
		seeder.RecordReadFailure(now)
		n.control.send(seedsEvent{})
		return
	}
	n.control.send(seedsEvent{addresses: list.Contacts()})
	next, write := seeder.Reconcile(now, n.State().Members, list)
	if !write {
		return
	}
	if err := n.writeSeeds(ctx, next, o.Version); err != nil {
		seeder.RecordWriteFailure(n.now().Sub(startedAt))
		n.log.Event(zerolog.InfoLevel, "list of seeds not written to the store", err)
	}
}

// writeSeeds stores the list, on condition that the stored object still has the
// given version.
func (n *Node) writeSeeds(ctx context.Context, list kqseed.List, version string) error {
	value, err := json.Marshal(list)
	if err != nil {
		return errors.Mark(err, ErrNode)
	}
	_, err = n.store.Put(ctx, kindSeeds, kqstore.Object{Name: nameSeeds, Version: version, Value: value})
	return err
}

// seedsEvent passes the addresses of the stored list to the control goroutine. It
// has none if the list is empty or the store can't be read. The node then stops
// waiting for the list, and joins through the addresses that it has: those of the
// settings, and of an earlier list.
type seedsEvent struct {
	addresses []string
}

// apply sets the addresses through which the node joins the fleet.
func (e seedsEvent) apply(c *control) bool {
	if len(e.addresses) > 0 {
		c.member.seeds = e.addresses
	}
	contacts := append(append([]string(nil), c.node.settings.Peers...), c.member.seeds...)
	c.member.spread.SetContacts(contacts, true)
	return false
}
