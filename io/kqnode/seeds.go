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

// The one object that holds the list of seeds.
const (
	kindSeeds = "kumquatlink.dev/v1/seeds"
	nameSeeds = "fleet"
)

// seedLookPeriod is how often the node looks whether the list is due.
const seedLookPeriod = time.Second

// runSeeds reads the list of seeds when the node starts, and keeps it right
// while the node is a seed itself.
func (n *Node) runSeeds(ctx context.Context) {
	begun := n.now()
	seeder := kqseed.NewSeeder(0, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	ticker := time.NewTicker(seedLookPeriod)
	defer ticker.Stop()
	for {
		if seeder.Due(n.now().Sub(begun), n.State().Members) {
			n.readSeeds(ctx, seeder, begun)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) readSeeds(ctx context.Context, seeder *kqseed.Seeder, begun time.Time) {
	var list kqseed.List
	o, err := n.store.Get(ctx, kindSeeds, nameSeeds)
	if err == nil {
		err = json.Unmarshal(o.Value, &list)
	}
	now := n.now().Sub(begun)
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
		seeder.RecordWriteFailure(n.now().Sub(begun))
		n.log.Event(zerolog.InfoLevel, "write list of seeds", err)
	}
}

func (n *Node) writeSeeds(ctx context.Context, list kqseed.List, version string) error {
	value, err := json.Marshal(list)
	if err != nil {
		return errors.Mark(err, ErrNode)
	}
	_, err = n.store.Put(ctx, kindSeeds, kqstore.Object{Name: nameSeeds, Version: version, Value: value})
	return err
}

// seedsEvent tells control which addresses the store gave. Without any, the
// addresses of the settings are all that there is to wait for.
type seedsEvent struct {
	addresses []string
}

func (e seedsEvent) apply(c *control) bool {
	if len(e.addresses) > 0 {
		c.member.seeds = e.addresses
	}
	contacts := append(append([]string(nil), c.node.settings.Peers...), c.member.seeds...)
	c.member.spread.SetContacts(contacts, true)
	return false
}
