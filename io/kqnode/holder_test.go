package kqnode

import (
	"context"
	"testing"
	"time"

	"kumquatlink/core/kqhome"
	"kumquatlink/core/kqmember"
)

// TestHolderWithoutRecordIsNotDeadAtOnce has a node that learned the homes of
// keys from the store before spreading told of the nodes themselves. It can't
// ask such a holder, so that its claim would put all keys in doubt.
func TestHolderWithoutRecordIsNotDeadAtOnce(t *testing.T) {
	holder := kqhome.Node{NodeID: "orders-1", Incarnation: 7}
	for name, c := range map[string]struct {
		members kqmember.Snapshot
		after   time.Duration
		want    bool
	}{
		"never heard of, at once":         {want: false},
		"never heard of, silence":         {after: holderSilence, want: false},
		"never heard of, long":            {after: unknownSilence, want: true},
		"removed, at once":                {members: kqmember.Snapshot{Removed: map[string]uint64{"orders-1": 7}}, want: false},
		"removed, silence":                {members: kqmember.Snapshot{Removed: map[string]uint64{"orders-1": 7}}, after: holderSilence, want: true},
		"an earlier start removed":        {members: kqmember.Snapshot{Removed: map[string]uint64{"orders-1": 6}}, after: holderSilence, want: false},
		"ended by its own word":           {members: kqmember.Snapshot{Gone: map[string]uint64{"orders-1": 7}}, want: true},
		"an earlier start ended":          {members: kqmember.Snapshot{Gone: map[string]uint64{"orders-1": 6}}, after: holderSilence, want: false},
		"started again since, as is told": {members: kqmember.Snapshot{Records: []kqmember.Record{{NodeID: "orders-1", Incarnation: 8}}}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			begun := time.Unix(0, 0)
			now := begun
			k := newKeyManager(&Node{now: func() time.Time { return now }})
			s := &State{Members: &c.members}
			got := k.isDead(context.Background(), s, holder, true)
			if c.after > 0 {
				now = begun.Add(c.after)
				got = k.isDead(context.Background(), s, holder, true)
			}
			if got != c.want {
				t.Errorf("dead after %v: got %v, want %v", c.after, got, c.want)
			}
		})
	}
}
