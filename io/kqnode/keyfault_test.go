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

// copyServiceTime keeps a run going while its copies come.
const copyServiceTime = 20 * time.Millisecond

// keysOfFault is how many keys the fault tests use.
const keysOfFault = 96

// holders gives the homes that an entry knows, by bucket.
func (f *keyFleet) holders() [kqhome.Buckets]string {
	table, _ := f.entries[0].Node.KeyHomes("orders")
	var names [kqhome.Buckets]string
	for b, k := range table.Tokens {
		names[b] = k.Holder.NodeID
	}
	return names
}

// checkRuns fails when any key was run more than once.
func (f *keyFleet) checkRuns(t *testing.T) {
	t.Helper()
	for key, n := range f.runs() {
		if n > 1 {
			t.Errorf("runs of %s: got %d, want 1", key, n)
		}
	}
}

func TestPausedHomeLosesItsKeysToAClaimAndWakesHarmless(t *testing.T) {
	ctx := patient(t)
	f := startKeyFleet(ctx, t, 4, kqbackend.Settings{})
	eventually(ctx, t, "homes are balanced and leave their own gates unused", func() bool {
		table, _ := f.entries[0].Node.KeyHomes("orders")
		counts := map[string]int{}
		for _, k := range table.Tokens {
			if counts[k.Holder.NodeID]++; !k.Remote || counts[k.Holder.NodeID] > kqhome.Buckets/4 {
				return false
			}
		}
		return true
	})
	for i := range keysOfFault {
		call(t, f.entries[0].Node.CallerAddress(), purchase(fmt.Sprintf("key-%d", i), ""))
	}
	before := f.holders()
	f.orders[1].Pause()
	eventually(ctx, t, "the paused home's buckets are claimed", func() bool {
		for _, name := range f.holders() {
			if name == "orders-1" {
				return false
			}
		}
		return true
	})
	doubted := 0
	for i := range 2 * keysOfFault {
		key := fmt.Sprintf("key-%d", i)
		got := outcomeAndCause(call(t, f.entries[1].Node.CallerAddress(), purchase(key, "")))
		switch {
		case before[kqhome.BucketOf(key)] == "orders-1":
			if strings.HasPrefix(got, "ran ") {
				t.Errorf("%s, whose home was lost: got %q, want unknown", key, got)
			}
			if got == "unknown KeyInDoubt" {
				doubted++
			}
		case i < keysOfFault:
			if want := "ran KeyReplayed"; got != want {
				t.Errorf("%s: got %q, want %q", key, got, want)
			}
		}
	}
	if doubted == 0 {
		t.Error("keys in doubt: got 0, want some, else the test proves nothing")
	}
	eventually(ctx, t, "the node that was left out is no member", func() bool {
		table, _ := f.entries[0].Node.KeyHomes("orders")
		_, found := table.Member("orders-1")
		return !found
	})
	f.orders[1].Resume()
	eventually(ctx, t, "the node that woke is a home again", func() bool {
		for _, name := range f.holders() {
			if name == "orders-1" {
				return true
			}
		}
		return false
	})
	for i := range 2 * keysOfFault {
		call(t, f.entries[0].Node.CallerAddress(), purchase(fmt.Sprintf("key-%d", i), ""))
	}
	f.checkRuns(t)
}

func TestPurchasesGoOnWhileTheStoreIsDown(t *testing.T) {
	ctx := patient(t)
	f := startKeyFleet(ctx, t, 3, kqbackend.Settings{})
	f.Store.SetFaults(kqobject.Faults{Down: true, CutWatches: true})
	for i := range keysOfFault {
		key := fmt.Sprintf("key-%d", i)
		for j, want := range []string{"ran Done", "ran KeyReplayed"} {
			if got := outcomeAndCause(call(t, f.entries[j].Node.CallerAddress(), purchase(key, ""))); got != want {
				t.Errorf("copy %d of %s: got %q, want %q", j, key, got, want)
			}
		}
	}
	f.checkRuns(t)
}

func TestCopiesInTheNetworkAtOnceShareOneRun(t *testing.T) {
	ctx := patient(t)
	f := startKeyFleet(ctx, t, 3, kqbackend.Settings{ServiceTime: copyServiceTime})
	ends := make(chan string, 2*keysOfFault)
	for i := range keysOfFault {
		for j := range 2 {
			go func() {
				ends <- outcomeAndCause(call(t, f.entries[j].Node.CallerAddress(), purchase(fmt.Sprintf("key-%d", i), "")))
			}()
		}
	}
	counts := map[string]int{}
	for range 2 * keysOfFault {
		counts[<-ends]++
	}
	if got, want := counts["ran KeyReplayed"], counts["ran Done"]; got != want || got == 0 {
		t.Errorf("ends: got %v, want as many copies replayed as were run", counts)
	}
	f.checkRuns(t)
}

func TestMemberThatHasLeftIsTakenOutOfTheTable(t *testing.T) {
	ctx := patient(t)
	f := startKeyFleet(ctx, t, 3, kqbackend.Settings{})
	if err := f.orders[2].Node.Shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	eventually(ctx, t, "the table has two members", func() bool {
		table, _ := f.entries[0].Node.KeyHomes("orders")
		return len(table.Members) == 2
	})
}
