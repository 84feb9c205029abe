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
				runs.End(now, a.handle)
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
			a.handle, a.ends = runs.Begin(now, kqlineage.Run{Root: a.root, Class: route, Route: route, Deadline: a.ends})
			active = append(active, a)
		}
		if len(active) > 0 && random.IntN(5) == 0 {
			if a := active[random.IntN(len(active))]; a.calls {
				late := time.Duration(random.IntN(1500)) * time.Microsecond
				p, found := runs.AssignParent(now+late, "status", (a.ends - now).Truncate(time.Millisecond))
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
			if _, found := runs.AssignParent(now, "browse", time.Duration(3000+random.IntN(2000))*time.Millisecond); found {
				taken++
			}
		}
	}
	if right < 50*(wrong+missed) {
		t.Errorf("calls with their own parent: got %d right, %d wrong, %d missed, want all but one in fifty right", right, wrong, missed)
	}
	if taken > 0 {
		t.Errorf("callers' requests taken for onward calls: got %d of %d, want none", taken, strangers)
	}
	if !runs.IsOnward("status") || runs.IsOnward("browse") {
		t.Errorf("onward routes: got status %t, browse %t, want true, false", runs.IsOnward("status"), runs.IsOnward("browse"))
	}
}

// TestCallsWithAShorterTimeOfTheirOwn has calls whose own time is shorter than
// what their parents have left, at first.
func TestCallsWithAShorterTimeOfTheirOwn(t *testing.T) {
	const own = 700 * time.Millisecond
	random := rand.New(rand.NewPCG(3, 4))
	runs := kqlineage.New()
	right, wrong := 0, 0
	type live struct {
		handle uint64
		root   string
		ends   time.Duration
		until  time.Duration
	}
	var active []live
	for now := time.Duration(0); now < 30*time.Second; now += time.Millisecond {
		kept := active[:0]
		for _, a := range active {
			if now >= a.until {
				runs.End(now, a.handle)
				continue
			}
			kept = append(kept, a)
		}
		active = kept
		if random.IntN(40) == 0 {
			// One run in two is for a request that has been long on its way.
			left := time.Duration(600+300*random.IntN(2)) * time.Millisecond
			a := live{root: now.String(), until: now + 150*time.Millisecond}
			a.handle, a.ends = runs.Begin(now, kqlineage.Run{Root: a.root, Class: "c", Route: "manifest", Deadline: now + left})
			if a.ends > now+left || a.ends < now+left/2 {
				t.Fatalf("end of a run with %s left: got %s", left, a.ends-now)
			}
			active = append(active, a)
		}
		if len(active) == 0 || random.IntN(10) != 0 {
			continue
		}
		a := active[random.IntN(len(active))]
		given := min(own, (a.ends - now).Truncate(time.Millisecond))
		if p, found := runs.AssignParent(now, "seat", given); found && p.Root == a.root {
			right++
		} else if now > 10*time.Second {
			wrong++
		}
	}
	if right < 50*wrong {
		t.Errorf("calls with their own parent: got %d right, %d wrong, want all but one in fifty right", right, wrong)
	}
}

// TestSlowRunsKeepTheirTime has runs that take longer than their calls may.
func TestSlowRunsKeepTheirTime(t *testing.T) {
	runs := kqlineage.New()
	for now := time.Duration(0); now < 20*time.Second; now += 500 * time.Millisecond {
		handle, ends := runs.Begin(now, kqlineage.Run{Root: "r", Route: "report", Deadline: now + 5*time.Second})
		if ends < now+4900*time.Millisecond {
			t.Fatalf("end of a slow run: got %s, want nearly 5s", ends-now)
		}
		for i := range 5 {
			at := now + time.Duration(i)*100*time.Millisecond
			runs.AssignParent(at, "line", 100*time.Millisecond)
			runs.AssignParent(at, "line", ends-at)
		}
		runs.End(now+450*time.Millisecond, handle)
	}
}

// step is one moment of a run in a trial: it calls, or ends.
type step struct {
	at    time.Duration
	root  string
	calls int
	ends  time.Duration
	run   uint64
	// out is the parent that the run's last call was given.
	out kqlineage.Run
}

// TestCallsWhoseOwnTimeIsAlwaysTheShorterOne plays a server all of whose runs
// have long time left and make five calls one after the other, each of which is
// given a time of its own, not always the same. Nothing is known of them at
// first.
func TestCallsWhoseOwnTimeIsAlwaysTheShorterOne(t *testing.T) {
	const (
		left      = 2400 * time.Millisecond
		calls     = 5
		known     = 6 * time.Second
		mostWrong = 0.2
	)
	random := rand.New(rand.NewPCG(5, 6))
	runs := kqlineage.New()
	var active []*step
	right, all := 0, 0
	for now := time.Duration(0); now < 30*time.Second; now += 500 * time.Microsecond {
		if random.IntN(60) == 0 {
			s := &step{root: now.String(), at: now + time.Duration(5+random.IntN(20))*time.Millisecond}
			s.run, s.ends = runs.Begin(now, kqlineage.Run{Root: s.root, Class: "c", Route: "ledger", Deadline: now + left})
			active = append(active, s)
		}
		kept := active[:0]
		for _, s := range active {
			if now < s.at {
				kept = append(kept, s)
				continue
			}
			if s.calls > 0 {
				runs.Answered(now, s.out)
			}
			if s.calls == calls {
				runs.End(now, s.run)
				continue
			}
			own := time.Duration(595+random.IntN(105)) * time.Millisecond
			late := time.Duration(random.IntN(700)) * time.Microsecond
			p, found := runs.AssignParent(now+late, "stock", min(own, s.ends-now).Truncate(time.Millisecond))
			s.out, s.calls, s.at = p, s.calls+1, now+time.Duration(20+random.IntN(40))*time.Millisecond
			if now > known {
				all++
				if found && p.Root == s.root {
					right++
				}
			}
			kept = append(kept, s)
		}
		active = kept
	}
	if float64(all-right) > mostWrong*float64(all) {
		t.Errorf("calls with their own parent: got %d of %d, want all but %v", right, all, mostWrong)
	}
}
