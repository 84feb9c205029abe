package kqlineage_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"kumquatlink/core/kqlineage"
)

// TestCallsFindTheirParents plays a busy backend server that runs two routes,
// of which one makes calls of its own, beside callers who send requests of
// both routes.
func TestCallsFindTheirParents(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	runs := kqlineage.New()
	right, wrong, missed, strangers, taken := 0, 0, 0, 0, 0
	type live struct {
		handle uint64
		root   string
		ends   time.Duration
		until  time.Duration
		calls  bool
	}
	var active []live
	for now := time.Duration(0); now < 20*time.Second; now += time.Millisecond {
		kept := active[:0]
		for _, a := range active {
			if now >= a.until {
				runs.End(a.handle)
				continue
			}
			kept = append(kept, a)
		}
		active = kept
		if len(active) < 36 && random.IntN(10) == 0 {
			calls := random.IntN(2) == 0
			route, left := "deliver", 2000*time.Millisecond
			if calls {
				route, left = "browse", 800*time.Millisecond
			}
			a := live{root: string(rune(len(active))) + now.String(), ends: now + left, until: now + 300*time.Millisecond, calls: calls}
			a.handle = runs.Begin(kqlineage.Run{Root: a.root, Class: route, Route: route, Ends: a.ends})
			active = append(active, a)
		}
		if len(active) > 0 && random.IntN(5) == 0 {
			if a := active[random.IntN(len(active))]; a.calls {
				late := time.Duration(random.IntN(1500)) * time.Microsecond
				p, found := runs.Parent("status", a.ends.Truncate(time.Millisecond)+late)
				switch {
				case !found:
					missed++
				case p.Root == a.root:
					right++
				default:
					wrong++
				}
			}
		}
		if random.IntN(20) == 0 {
			strangers++
			if _, found := runs.Parent("browse", now+time.Duration(3000+random.IntN(2000))*time.Millisecond); found {
				taken++
			}
		}
	}
	if right < 9*(wrong+missed) {
		t.Errorf("calls with their own parent: got %d right, %d wrong, %d missed, want nine in ten right", right, wrong, missed)
	}
	if taken > 0 {
		t.Errorf("callers' requests taken for onward calls: got %d of %d, want none", taken, strangers)
	}
	if !runs.IsOnward("status") || runs.IsOnward("browse") {
		t.Errorf("onward routes: got status %t, browse %t, want true, false", runs.IsOnward("status"), runs.IsOnward("browse"))
	}
}

// TestCallWithAShorterTimeOfItsOwn has a call whose own time ends before its
// parent's.
func TestCallWithAShorterTimeOfItsOwn(t *testing.T) {
	runs := kqlineage.New()
	runs.Begin(kqlineage.Run{Root: "deliver-1", Route: "deliver", Ends: 5 * time.Second})
	for i := range 10 {
		h := runs.Begin(kqlineage.Run{Root: "old", Route: "manifest", Ends: time.Duration(i) * time.Second})
		if _, found := runs.Parent("seat", time.Duration(i)*time.Second); !found {
			t.Fatalf("call %d that ends with its parent: got no parent", i)
		}
		runs.End(h)
	}
	runs.Begin(kqlineage.Run{Root: "manifest-1", Route: "manifest", Ends: 30 * time.Second})
	runs.Begin(kqlineage.Run{Root: "manifest-2", Route: "manifest", Ends: 31 * time.Second})
	for _, want := range []string{"manifest-1", "manifest-2", "manifest-1"} {
		p, found := runs.Parent("seat", 29*time.Second)
		if !found || p.Root != want {
			t.Errorf("parent of a shorter call: got %q, %t, want %q", p.Root, found, want)
		}
	}
}
