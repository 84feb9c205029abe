package kqhome_test

import (
	"fmt"
	"slices"
	"testing"

	"kumquatlink/core/kqhome"
	"kumquatlink/core/kqledger"
)

// service is a service of four members, of which the first holds all buckets and
// does not use its own gate.
type service struct {
	table kqhome.Table
	homes []*kqhome.Home
}

func newService() *service {
	s := &service{}
	self := func(i int) kqhome.Node { return kqhome.Node{NodeID: fmt.Sprintf("n%d", i), Incarnation: 1} }
	s.table = kqhome.NewTable("orders", self(0), 0)
	for i := 1; i < 4; i++ {
		s.table = s.table.Register(self(i))
	}
	for i := range 4 {
		h := kqhome.New("orders", self(i), simulationLimits())
		h.AdoptCreated(s.table)
		s.homes = append(s.homes, h)
	}
	s.homes[0].EnforceRemote()
	s.table = s.homes[0].Table()
	for _, h := range s.homes {
		h.MergeTable(s.table)
	}
	return s
}

// setEra makes all members know that the store held their table in that era.
func (s *service) setEra(era uint64) {
	s.table.Era = era
	for _, h := range s.homes {
		h.MergeTable(s.table)
	}
}

// restart replaces a member by its next incarnation, which knows only the table
// that all members knew before the claim.
func (s *service) restart(i int) {
	self := s.homes[i].Self()
	self.Incarnation++
	s.homes[i] = kqhome.New("orders", self, simulationLimits())
	s.homes[i].MergeTable(s.table)
}

// syncFrom makes n1, which has restarted, sync with a member.
func (s *service) syncFrom(from int) {
	const to = 1
	t, synced := s.homes[from].AnswerSync(s.homes[to].Self())
	s.homes[to].RecordSyncReply(s.homes[from].Self().NodeID, synced, t)
}

// claim starts a claim of all buckets of the holder.
func (s *service) claim(t *testing.T, claimant, holder int) *kqhome.Claim {
	t.Helper()
	c, ok := kqhome.NewClaim(s.table, s.homes[claimant].Self(), s.homes[holder].Self(), kqhome.AllBuckets())
	if !ok {
		t.Fatal("claim: got nothing to claim, want buckets")
	}
	s.homes[claimant].Fence(0, c.Table(), c.Buckets())
	return c
}

// confirm lets member i apply the claim, and records its reply.
func (s *service) confirm(c *kqhome.Claim, i int) {
	c.RecordReply(s.homes[i].Fence(0, c.Table(), c.Buckets()))
}

func TestRestartedGateRefusesCallsUntilSynced(t *testing.T) {
	s := newService()
	if got, want := s.homes[1].Admit(0, 1), true; got != want {
		t.Fatalf("gate before the claim: got %v, want %v", got, want)
	}
	c := s.claim(t, 3, 0)
	for range 2 {
		s.confirm(c, 1)
		s.confirm(c, 2)
		c.Advance()
	}
	if got, want := c.OptionalMember(), "n0"; got != want {
		t.Fatalf("optional member: got %q, want %q", got, want)
	}
	s.restart(1)
	if got, want := s.homes[1].Admit(0, 1), false; got != want {
		t.Errorf("gate after the restart: got %v, want %v", got, want)
	}
	s.syncFrom(0)
	if got, want := s.homes[1].Admit(0, 1), false; got != want {
		t.Errorf("gate that synced with the former holder only: got %v, want %v", got, want)
	}
	s.syncFrom(2)
	if got, want := s.homes[1].Synced(), true; got != want {
		t.Errorf("synced with two members: got %v, want %v", got, want)
	}
	for generation, want := range map[uint64]bool{1: false, 2: true} {
		if got := s.homes[1].Admit(0, generation); got != want {
			t.Errorf("generation %d at the synced gate: got %v, want %v", generation, got, want)
		}
	}
}

// TestClaimStartsOverWhenMemberRestarts has a member apply a claim, restart, and
// sync with members that the claim has not reached, so that it does not know the
// claim any more.
func TestClaimStartsOverWhenMemberRestarts(t *testing.T) {
	s := newService()
	c := s.claim(t, 3, 0)
	s.confirm(c, 1)
	s.restart(1)
	s.syncFrom(0)
	s.syncFrom(2)
	if got, want := s.homes[1].Admit(0, 1), true; got != want {
		t.Fatalf("gate that synced with members the claim had not reached: got %v, want %v", got, want)
	}
	passes := 0
	for !c.Advance() {
		passes++
		s.confirm(c, 2)
		if passes > 1 {
			s.confirm(c, 1)
		}
		if passes > 8 {
			t.Fatal("claim is not complete after 8 passes")
		}
	}
	for i := 1; i < 4; i++ {
		if got, want := s.homes[i].Admit(0, 1), false; got != want {
			t.Errorf("gate of n%d after the claim: got %v, want %v", i, got, want)
		}
	}
}

func TestClaimNeedsEveryMemberButFormerHolder(t *testing.T) {
	s := newService()
	c := s.claim(t, 3, 0)
	for range 4 {
		s.confirm(c, 1)
		if c.Advance() {
			t.Fatal("claim is complete without the reply of n2")
		}
	}
	if got, want := fmt.Sprint(c.Pending()), "[n0 n2]"; got != want {
		t.Errorf("pending members: got %s, want %s", got, want)
	}
}

// keyIn returns a key of the bucket.
func keyIn(bucket int) string {
	for i := 0; ; i++ {
		if key := fmt.Sprintf("key-%d", i); kqhome.BucketOf(key) == bucket {
			return key
		}
	}
}

// TestClaimFromSelfKeepsHeldBuckets has the table assign one bucket to a node
// that does not hold it, as happens while its claim of that bucket is
// under way. A second claim must not put the node's other buckets in doubt.
func TestClaimFromSelfKeepsHeldBuckets(t *testing.T) {
	const unheld = 5
	s := newService()
	h := s.homes[0]
	if got := h.UnheldBuckets(); len(got) > 0 {
		t.Fatalf("unheld buckets: got %v, want none", got)
	}
	table := h.Table()
	table.Tokens[unheld].Epoch.Generation++
	h.MergeTable(table)
	if got, want := h.UnheldBuckets(), []int{unheld}; !slices.Equal(got, want) {
		t.Fatalf("unheld buckets: got %v, want %v", got, want)
	}
	c, ok := kqhome.NewClaim(h.Table(), h.Self(), h.Self(), h.UnheldBuckets())
	if !ok {
		t.Fatal("claim: got nothing to claim, want the unheld bucket")
	}
	if got, want := c.Buckets(), []int{unheld}; !slices.Equal(got, want) {
		t.Errorf("claimed buckets: got %v, want %v", got, want)
	}
	h.Fence(0, c.Table(), c.Buckets())
	for range 2 {
		for i := range s.homes {
			if i > 0 {
				s.confirm(c, i)
			}
		}
		c.Advance()
	}
	h.CompleteClaim(0, c)
	for bucket := range kqhome.Buckets {
		v := h.Begin(0, keyIn(bucket), 1)
		if got, want := v.Action == kqledger.ActionRun, bucket != unheld; got != want {
			t.Errorf("bucket %d runs a new key: got %v, want %v (%v)", bucket, got, want, v.End)
		}
	}
}

// TestClaimLeavesOutAMemberThatARestoreRemoved restores the store from a copy that
// was taken before n2 registered. The claimant has read the restored table; the
// former holder and n2 are out of its reach, and still know each other.
func TestClaimLeavesOutAMemberThatARestoreRemoved(t *testing.T) {
	s := newService()
	s.setEra(1)
	restored := s.table.Remove([]string{"n2"})
	restored.Version, restored.Era = s.table.Version-1, 2
	s.homes[3].Adopt(restored)
	c, ok := kqhome.NewClaim(s.homes[3].Table(), s.homes[3].Self(), s.homes[0].Self(), kqhome.AllBuckets())
	if !ok {
		t.Fatal("claim: got nothing to claim, want buckets")
	}
	c.RecordReply(s.homes[3].Fence(0, c.Table(), c.Buckets()))
	for range 4 {
		s.confirm(c, 1)
		if c.Advance() {
			break
		}
	}
	if got, want := c.Pending(), []string{"n0", "n2"}; !slices.Equal(got, want) {
		t.Errorf("members whose reply the claim needs: got %v, want %v", got, want)
	}
	if got, want := s.homes[2].Admit(0, 1), true; got != want {
		t.Fatalf("gate of n2 before it replies: got %t, want %t, or the claim need not wait for it", got, want)
	}
	for range 4 {
		s.confirm(c, 1)
		s.confirm(c, 2)
		if c.Advance() {
			break
		}
	}
	if got, want := c.LeftOut(), []string{"n0"}; !slices.Equal(got, want) {
		t.Errorf("members that the claim left out: got %v, want %v", got, want)
	}
	if got, want := s.homes[2].Admit(0, 1), false; got != want {
		t.Errorf("gate of n2 after it replied: got %t, want %t", got, want)
	}
}
