package kqnode

import (
	"context"
	"testing"
	"time"

	"kumquatlink/core/kqhome"
	"kumquatlink/core/kqmember"
)

// TestHolderWithoutRecordIsDeadOnlyAfterTimeout guards against early claims by a
// node that has read the homes of keys from the store before gossip has delivered
// the records of their nodes. The node can't reach such a holder, so its claim
// would put all keys in doubt.
func TestHolderWithoutRecordIsDeadOnlyAfterTimeout(t *testing.T) {
	holder := kqhome.Node{NodeID: "orders-1", Incarnation: 7}
	for name, c := range map[string]struct {
		members kqmember.Snapshot
		after   time.Duration
		want    bool
	}{
		"without record, at once":                {want: false},
		"without record, holder timeout":         {after: holderTimeout, want: false},
		"without record, unknown holder timeout": {after: unknownHolderTimeout, want: true},
		"removed, at once":                       {members: kqmember.Snapshot{Removed: map[string]uint64{"orders-1": 7}}, want: false},
		"removed, holder timeout":                {members: kqmember.Snapshot{Removed: map[string]uint64{"orders-1": 7}}, after: holderTimeout, want: true},
		"an earlier incarnation removed":         {members: kqmember.Snapshot{Removed: map[string]uint64{"orders-1": 6}}, after: holderTimeout, want: false},
		"reported its own shutdown":              {members: kqmember.Snapshot{Gone: map[string]uint64{"orders-1": 7}}, want: true},
		"an earlier incarnation shut down":       {members: kqmember.Snapshot{Gone: map[string]uint64{"orders-1": 6}}, after: holderTimeout, want: false},
		"restarted since, by its record":         {members: kqmember.Snapshot{Records: []kqmember.Record{{NodeID: "orders-1", Incarnation: 8}}}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			startedAt := time.Unix(0, 0)
			now := startedAt
			k := newKeyManager(&Node{now: func() time.Time { return now }})
			s := &State{Members: &c.members}
			got := k.isDead(context.Background(), s, holder, true)
			if c.after > 0 {
				now = startedAt.Add(c.after)
				got = k.isDead(context.Background(), s, holder, true)
			}
			if got != c.want {
				t.Errorf("dead after %v: got %v, want %v", c.after, got, c.want)
			}
		})
	}
}
