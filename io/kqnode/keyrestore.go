package kqnode

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"kumquatlink/core/kqhome"
	"kumquatlink/io/kqstore"
)

// maxReadDelay is the longest that a node leaves it to others of the service to
// read a restored table, which it then gets by gossip.
const maxReadDelay = 2 * time.Second

// followRestore reads the table again when the store was restored from a copy. The
// table may then lack members, which register again as soon as they hear of that,
// or may be gone altogether.
func (k *keyManager) followRestore(ctx context.Context, s *State) {
	k.mutex.Lock()
	known := max(k.home.Table().Era, k.loop.readEra)
	k.mutex.Unlock()
	era := max(eraNumber(k.node.store.CurrentEra()), k.storeEra.Load())
	switch {
	case era <= known:
		k.loop.readAt = 0
		return
	case k.loop.readAt == 0:
		k.loop.readAt = k.now() + rand.N(maxReadDelay)
	}
	if k.now() < max(k.loop.readAt, k.loop.joinAt) {
		return
	}
	if err := k.readTableAgain(ctx, s); err != nil {
		k.delayRetry(err)
		return
	}
	k.loop.readEra, k.loop.joinBackoff = era, minJoinBackoff
}

// readTableAgain merges the stored table into the known one, or writes that if the
// store has none.
func (k *keyManager) readTableAgain(ctx context.Context, s *State) error {
	o, err := k.node.store.Get(ctx, kqstore.KindLedger, k.service)
	if errors.Is(err, kqstore.ErrNotFound) {
		return k.createTable(ctx, s)
	}
	if err != nil {
		return err
	}
	stored, err := decodeTable(o)
	if err != nil {
		return err
	}
	k.node.log.Event(zerolog.InfoLevel, fmt.Sprintf("read the table of key homes again after a restore of the store: version %d with %d members", stored.Version, len(stored.Members)), nil)
	k.mergeTables([]kqhome.Table{stored})
	return nil
}

// createTable writes a table of the service to the store, which has none. If a
// node of the service knows one, the store has lost it, and that one is written.
// Otherwise it is the first one, with this node as the home of all buckets.
func (k *keyManager) createTable(ctx context.Context, s *State) error {
	if err := k.requestTables(ctx, s); err != nil {
		return err
	}
	era := eraNumber(k.node.store.CurrentEra())
	k.mutex.Lock()
	table := k.home.Table()
	k.mutex.Unlock()
	if len(table.Members) == 0 {
		table = kqhome.NewTable(k.service, k.self(), era)
	} else {
		k.node.log.Event(zerolog.WarnLevel, "store has lost the table of key homes of "+k.service+", writing the one that nodes of the service know back", nil)
		table = table.Register(k.self())
		table.Era = era
	}
	if err := k.writeTable(ctx, table, ""); err != nil {
		return err
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.home.AdoptCreated(table)
	k.publish()
	return nil
}

// requestTables requests the table of every other node that offers the service, and
// merges them. It fails if a node does not answer, since that may be the only one
// that knows the table, or if the fleet has not answered yet, since the other nodes
// of the service may not be known.
func (k *keyManager) requestTables(ctx context.Context, s *State) error {
	if !s.Fleet.Confirmed {
		return errors.Mark(errors.New("the fleet has not answered yet"), ErrNode)
	}
	self := k.self()
	for _, r := range s.Members.Upstreams(k.service) {
		if r.NodeID == self.NodeID {
			continue
		}
		reply, err := k.request(ctx, r, keyMessage{Sync: &self})
		if err != nil {
			return errors.Mark(errors.Wrapf(err, "ask node %s for its table of key homes", r.NodeID), ErrNode)
		}
		if reply.Table != nil && reply.Table.Service == k.service {
			k.mergeTables([]kqhome.Table{*reply.Table})
		}
	}
	return nil
}

// eraNumber returns an era of the store as a table counts it.
func eraNumber(era int64) uint64 {
	if era == kqstore.UnknownEra {
		return 0
	}
	return uint64(era) + 1
}
