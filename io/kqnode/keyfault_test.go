package kqnode_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"kumquatlink/core/kqhome"
	"kumquatlink/io/kqbackend"
	"kumquatlink/io/kqobject"
)

// copyServiceTime is how long a run takes, so that the other copy of its call
// arrives meanwhile.
const copyServiceTime = 20 * time.Millisecond

// faultTestKeys is the number of keys that the fault tests use.
const faultTestKeys = 96

// homeIDs returns the node IDs of the homes in an entry's table, by bucket.
func (f *keyFleet) homeIDs() [kqhome.Buckets]string {
	table, _ := f.entries[0].Node.KeyHomes("orders")
	var names [kqhome.Buckets]string
	for b, token := range table.Tokens {
		names[b] = token.Holder.NodeID
	}
	return names
}

// checkRunCounts fails the test if any key was run more than once.
func (f *keyFleet) checkRunCounts(t *testing.T) {
	t.Helper()
	for key, n := range f.runs() {
		if n > 1 {
			t.Errorf("runs of %s: got %d, want 1", key, n)
		}
	}
}

// TestKeysOfPausedHomeAreClaimedAndNeverRunTwice pauses a home until another node
// has claimed its buckets. The ledger is out of reach, so its keys are in doubt,
// and the home must not run keys with its old tokens after it resumes.
func TestKeysOfPausedHomeAreClaimedAndNeverRunTwice(t *testing.T) {
	ctx := testContext(t)
	f := startKeyFleet(ctx, t, 4, kqbackend.Settings{})
	eventually(ctx, t, "the buckets are balanced and no home uses the gate of its own node", func() bool {
		table, _ := f.entries[0].Node.KeyHomes("orders")
		counts := map[string]int{}
		for _, token := range table.Tokens {
			if counts[token.Holder.NodeID]++; !token.Remote || counts[token.Holder.NodeID] > kqhome.Buckets/4 {
				return false
			}
		}
		return true
	})
	for i := range faultTestKeys {
		call(t, f.entries[0].Node.CallerAddress(), purchase(fmt.Sprintf("key-%d", i), ""))
	}
	before := f.homeIDs()
	f.orders[1].Pause()
	eventually(ctx, t, "the paused home's buckets are claimed", func() bool {
		for _, name := range f.homeIDs() {
			if name == "orders-1" {
				return false
			}
		}
		return true
	})
	inDoubt := 0
	for i := range 2 * faultTestKeys {
		key := fmt.Sprintf("key-%d", i)
		got := outcomeAndCause(call(t, f.entries[1].Node.CallerAddress(), purchase(key, "")))
		switch {
		case before[kqhome.BucketOf(key)] == "orders-1":
			if strings.HasPrefix(got, "ran ") {
				t.Errorf("%s, whose home was paused: got %q, want unknown", key, got)
			}
			if got == "unknown KeyInDoubt" {
				inDoubt++
			}
		case i < faultTestKeys:
			if want := "ran KeyReplayed"; got != want {
				t.Errorf("%s: got %q, want %q", key, got, want)
			}
		}
	}
	if inDoubt == 0 {
		t.Error("keys in doubt: got 0, want at least one, or the test checks nothing")
	}
	eventually(ctx, t, "the paused node is removed from the table", func() bool {
		table, _ := f.entries[0].Node.KeyHomes("orders")
		_, found := table.Member("orders-1")
		return !found
	})
	f.orders[1].Resume()
	eventually(ctx, t, "the resumed node is a home again", func() bool {
		for _, name := range f.homeIDs() {
			if name == "orders-1" {
				return true
			}
		}
		return false
	})
	for i := range 2 * faultTestKeys {
		call(t, f.entries[0].Node.CallerAddress(), purchase(fmt.Sprintf("key-%d", i), ""))
	}
	f.checkRunCounts(t)
	eventually(ctx, t, "the answers that the paused home has kept are replayed", func() bool {
		for i := range faultTestKeys {
			if outcomeAndCause(call(t, f.entries[1].Node.CallerAddress(), purchase(fmt.Sprintf("key-%d", i), ""))) != "ran KeyReplayed" {
				return false
			}
		}
		return true
	})
}

func TestKeyedCallsRunWhileStoreIsDown(t *testing.T) {
	ctx := testContext(t)
	f := startKeyFleet(ctx, t, 3, kqbackend.Settings{})
	f.Store.SetFaults(kqobject.Faults{Down: true, CutWatches: true})
	for i := range faultTestKeys {
		key := fmt.Sprintf("key-%d", i)
		for j, want := range []string{"ran Done", "ran KeyReplayed"} {
			if got := outcomeAndCause(call(t, f.entries[j].Node.CallerAddress(), purchase(key, ""))); got != want {
				t.Errorf("copy %d of %s: got %q, want %q", j, key, got, want)
			}
		}
	}
	f.checkRunCounts(t)
}

// TestConcurrentCopiesShareOneRun sends two copies of each call through different
// entries at the same time. One copy must wait for the run of the other.
func TestConcurrentCopiesShareOneRun(t *testing.T) {
	ctx := testContext(t)
	f := startKeyFleet(ctx, t, 3, kqbackend.Settings{ServiceTime: copyServiceTime})
	ends := make(chan string, 2*faultTestKeys)
	for i := range faultTestKeys {
		for j := range 2 {
			go func() {
				ends <- outcomeAndCause(call(t, f.entries[j].Node.CallerAddress(), purchase(fmt.Sprintf("key-%d", i), "")))
			}()
		}
	}
	counts := map[string]int{}
	for range 2 * faultTestKeys {
		counts[<-ends]++
	}
	if got, want := counts["ran KeyReplayed"], counts["ran Done"]; got != want || got == 0 {
		t.Errorf("outcomes: got %v, want as many copies replayed as were run", counts)
	}
	f.checkRunCounts(t)
}

func TestMemberThatShutDownIsRemovedFromTable(t *testing.T) {
	ctx := testContext(t)
	f := startKeyFleet(ctx, t, 3, kqbackend.Settings{})
	if err := f.orders[2].Node.Shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	eventually(ctx, t, "the table has two members", func() bool {
		table, _ := f.entries[0].Node.KeyHomes("orders")
		return len(table.Members) == 2
	})
}
