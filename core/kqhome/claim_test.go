package kqhome_test

import (
	"fmt"
	"slices"
	"testing"

	"kumquatlink/core/kqhome"
	"kumquatlink/core/kqledger"
)

// service is a service of four members of which the first holds all buckets
// and leaves its own gate unused.
type service struct {
	table kqhome.Table
	homes []*kqhome.Home
}

func newService() *service {
	s := &service{}
	self := func(i int) kqhome.Node { return kqhome.Node{NodeID: fmt.Sprintf("n%d", i), Incarnation: 1} }
	s.table = kqhome.NewTable("orders", self(0))
	for i := 1; i < 4; i++ {
		s.table = s.table.Register(self(i))
	}
	for i := range 4 {
		h := kqhome.New("orders", self(i), worldLimits())
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

// restart gives a member a new incarnation without memory.
func (s *service) restart(i int) {
	self := s.homes[i].Self()
	self.Incarnation++
	s.homes[i] = kqhome.New("orders", self, worldLimits())
	s.homes[i].MergeTable(s.table)
}

// witness lets a member tell its table to n1, which has restarted.
func (s *service) witness(from int) {
	const to = 1
	t, synced := s.homes[from].AnswerSync(s.homes[to].Self())
	s.homes[to].RecordSyncReply(s.homes[from].Self().NodeID, synced, t)
}

func (s *service) claim(t *testing.T, claimant, holder int) *kqhome.Claim {
	t.Helper()
	c, some := kqhome.NewClaim(s.table, s.homes[claimant].Self(), s.homes[holder].Self(), kqhome.AllBuckets())
	if !some {
		t.Fatal("claim: got nothing to claim, want buckets")
	}
	s.homes[claimant].Fence(0, c.Table(), c.Buckets())
	return c
}

func (s *service) ask(c *kqhome.Claim, i int) {
	c.RecordReply(s.homes[i].Fence(0, c.Table(), c.Buckets()))
}

func TestRestartedGateRunsNothingBeforeItKnowsAllClaims(t *testing.T) {
	s := newService()
	if got, want := s.homes[1].Admit(0, 1), true; got != want {
		t.Fatalf("gate before the claim: got %v, want %v", got, want)
	}
	c := s.claim(t, 3, 0)
	for range 2 {
		s.ask(c, 1)
		s.ask(c, 2)
		c.Advance()
	}
	if got, want := c.OptionalMember(), "n0"; got != want {
		t.Fatalf("left out: got %q, want %q", got, want)
	}
	s.restart(1)
	if got, want := s.homes[1].Admit(0, 1), false; got != want {
		t.Errorf("gate that has just started: got %v, want %v", got, want)
	}
	s.witness(0)
	if got, want := s.homes[1].Admit(0, 1), false; got != want {
		t.Errorf("gate that heard only the former holder: got %v, want %v", got, want)
	}
	s.witness(2)
	if got, want := s.homes[1].Synced(), true; got != want {
		t.Errorf("synced with two: got %v, want %v", got, want)
	}
	for generation, want := range map[uint64]bool{1: false, 2: true} {
		if got := s.homes[1].Admit(0, generation); got != want {
			t.Errorf("generation %d at a synced gate: got %v, want %v", generation, got, want)
		}
	}
}

func TestClaimAsksAgainANodeThatRestartedUnderIt(t *testing.T) {
	s := newService()
	c := s.claim(t, 3, 0)
	s.ask(c, 1)
	s.restart(1)
	s.witness(0)
	s.witness(2)
	if got, want := s.homes[1].Admit(0, 1), true; got != want {
		t.Fatalf("gate that synced before the claim reached its witnesses: got %v, want %v", got, want)
	}
	asked := 0
	for !c.Advance() {
		asked++
		s.ask(c, 2)
		if asked > 1 {
			s.ask(c, 1)
		}
		if asked > 8 {
			t.Fatal("claim does not end")
		}
	}
	for i := 1; i < 4; i++ {
		if got, want := s.homes[i].Admit(0, 1), false; got != want {
			t.Errorf("gate of n%d when the claim is done: got %v, want %v", i, got, want)
		}
	}
}

func TestClaimWaitsForEveryMemberButTheHolder(t *testing.T) {
	s := newService()
	c := s.claim(t, 3, 0)
	for range 4 {
		s.ask(c, 1)
		if c.Advance() {
			t.Fatal("claim is done without the word of n2")
		}
	}
	if got, want := fmt.Sprint(c.Pending()), "[n0 n2]"; got != want {
		t.Errorf("missing: got %s, want %s", got, want)
	}
}

// keyIn gives a key of the bucket.
func keyIn(bucket int) string {
	for i := 0; ; i++ {
		if key := fmt.Sprintf("key-%d", i); kqhome.BucketOf(key) == bucket {
			return key
		}
	}
}

// TestClaimFromItselfLeavesHeldBucketsAlone has a node of which the table names
// one bucket that it does not hold, as while its claim of that bucket is under
// way: the others must not be put in doubt.
func TestClaimFromItselfLeavesHeldBucketsAlone(t *testing.T) {
	const stray = 5
	s := newService()
	h := s.homes[0]
	if got := h.UnheldBuckets(); len(got) > 0 {
		t.Fatalf("stray buckets: got %v, want none", got)
	}
	named := h.Table()
	named.Tokens[stray].Epoch.Generation++
	h.MergeTable(named)
	if got, want := h.UnheldBuckets(), []int{stray}; !slices.Equal(got, want) {
		t.Fatalf("stray buckets: got %v, want %v", got, want)
	}
	c, some := kqhome.NewClaim(h.Table(), h.Self(), h.Self(), h.UnheldBuckets())
	if !some {
		t.Fatal("claim: got nothing to claim, want the stray bucket")
	}
	if got, want := c.Buckets(), []int{stray}; !slices.Equal(got, want) {
		t.Errorf("claimed buckets: got %v, want %v", got, want)
	}
	h.Fence(0, c.Table(), c.Buckets())
	for range 2 {
		for i := range s.homes {
			if i > 0 {
				s.ask(c, i)
			}
		}
		c.Advance()
	}
	h.CompleteClaim(0, c)
	for bucket := range kqhome.Buckets {
		v := h.Begin(0, keyIn(bucket), 1)
		if got, want := v.Action == kqledger.ActionRun, bucket != stray; got != want {
			t.Errorf("bucket %d runs a fresh key: got %v, want %v (%v)", bucket, got, want, v.End)
		}
	}
}
