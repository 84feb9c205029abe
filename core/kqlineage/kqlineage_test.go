package kqlineage_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"kumquatlink/core/kqlineage"
)

// TestOnwardCallsAreAssignedToTheirParents simulates a busy backend server that
// runs calls of two routes, one of which makes onward calls, while callers send
// requests of both routes.
func TestOnwardCallsAreAssignedToTheirParents(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	runs := kqlineage.New()
	correct, wrong, missed, callerRequests, mistaken := 0, 0, 0, 0, 0
	type liveRun struct {
		handle   uint64
		root     string
		deadline time.Duration
		until    time.Duration
		calls    bool
	}
	var active []liveRun
	for now := time.Duration(0); now < 20*time.Second; now += time.Millisecond {
		remaining := active[:0]
		for _, a := range active {
			if now >= a.until {
				runs.End(now, a.handle)
				continue
			}
			remaining = append(remaining, a)
		}
		active = remaining
		if len(active) < 36 && random.IntN(10) == 0 {
			calls := random.IntN(2) == 0
			route, left := "deliver", 2000*time.Millisecond
			if calls {
				route, left = "browse", 800*time.Millisecond
			}
			a := liveRun{root: string(rune(len(active))) + now.String(), deadline: now + left, until: now + 300*time.Millisecond, calls: calls}
			a.handle, a.deadline = runs.Begin(now, kqlineage.Run{Root: a.root, Class: route, Route: route, Deadline: a.deadline})
			active = append(active, a)
		}
		if len(active) > 0 && random.IntN(5) == 0 {
			if a := active[random.IntN(len(active))]; a.calls {
				delay := time.Duration(random.IntN(1500)) * time.Microsecond
				p, found := runs.AssignParent(now+delay, "status", (a.deadline - now).Truncate(time.Millisecond))
				switch {
				case !found:
					missed++
				case p.Root == a.root:
					correct++
				default:
					wrong++
				}
			}
		}
		if random.IntN(20) == 0 {
			callerRequests++
			if _, found := runs.AssignParent(now, "browse", time.Duration(3000+random.IntN(2000))*time.Millisecond); found {
				mistaken++
			}
		}
	}
	if correct < 50*(wrong+missed) {
		t.Errorf("calls assigned to their parent: got %d correct, %d wrong, %d without a parent, want all but one in fifty correct", correct, wrong, missed)
	}
	if mistaken > 0 {
		t.Errorf("callers' requests assigned to a parent: got %d of %d, want none", mistaken, callerRequests)
	}
	if !runs.IsOnward("status") || runs.IsOnward("browse") {
		t.Errorf("onward routes: got status %t, browse %t, want true, false", runs.IsOnward("status"), runs.IsOnward("browse"))
	}
}

// TestCallsWithOwnTimeoutThatIsSometimesShorter has calls with an own timeout of
// 700 ms. That is less than what one half of their parents have left at first
// (900 ms), and more than what the other half have (600 ms).
func TestCallsWithOwnTimeoutThatIsSometimesShorter(t *testing.T) {
	const ownTimeout = 700 * time.Millisecond
	random := rand.New(rand.NewPCG(3, 4))
	runs := kqlineage.New()
	correct, wrong := 0, 0
	type liveRun struct {
		handle   uint64
		root     string
		deadline time.Duration
		until    time.Duration
	}
	var active []liveRun
	for now := time.Duration(0); now < 30*time.Second; now += time.Millisecond {
		remaining := active[:0]
		for _, a := range active {
			if now >= a.until {
				runs.End(now, a.handle)
				continue
			}
			remaining = append(remaining, a)
		}
		active = remaining
		if random.IntN(40) == 0 {
			// One run in two is for a request that has used up much of its time
			// before.
			left := time.Duration(600+300*random.IntN(2)) * time.Millisecond
			a := liveRun{root: now.String(), until: now + 150*time.Millisecond}
			a.handle, a.deadline = runs.Begin(now, kqlineage.Run{Root: a.root, Class: "c", Route: "manifest", Deadline: now + left})
			if a.deadline > now+left || a.deadline < now+left/2 {
				t.Fatalf("deadline of a run with %s left: got %s, want at most that and at least half of it", left, a.deadline-now)
			}
			active = append(active, a)
		}
		if len(active) == 0 || random.IntN(10) != 0 {
			continue
		}
		a := active[random.IntN(len(active))]
		timeout := min(ownTimeout, (a.deadline - now).Truncate(time.Millisecond))
		if p, found := runs.AssignParent(now, "seat", timeout); found && p.Root == a.root {
			correct++
		} else if now > 10*time.Second {
			wrong++
		}
	}
	if correct < 50*wrong {
		t.Errorf("calls assigned to their parent: got %d correct, %d wrong, want all but one in fifty correct", correct, wrong)
	}
}

// TestDeadlineOfSlowRunsIsNotShortened has runs that take longer than the own
// timeout of their calls. If their deadline were moved before that timeout,
// they could not finish.
func TestDeadlineOfSlowRunsIsNotShortened(t *testing.T) {
	runs := kqlineage.New()
	for now := time.Duration(0); now < 20*time.Second; now += 500 * time.Millisecond {
		handle, deadline := runs.Begin(now, kqlineage.Run{Root: "r", Route: "report", Deadline: now + 5*time.Second})
		if deadline < now+4900*time.Millisecond {
			t.Fatalf("deadline of a slow run: got %s, want at least 4.9s", deadline-now)
		}
		for i := range 5 {
			at := now + time.Duration(i)*100*time.Millisecond
			runs.AssignParent(at, "line", 100*time.Millisecond)
			runs.AssignParent(at, "line", deadline-at)
		}
		runs.End(now+450*time.Millisecond, handle)
	}
}

// simRun is a run of a simulated backend server; at is when it makes its next
// call or ends.
type simRun struct {
	at       time.Duration
	root     string
	calls    int
	deadline time.Duration
	run      uint64
	// parent is the parent that the run's last call was assigned to.
	parent kqlineage.Run
}

// TestCallsWithOwnTimeoutThatIsAlwaysShorter simulates a server whose runs all
// have much time left and make five calls one after the other. Each call has a
// timeout of its own, not always the same, so at first none of them matches the
// deadline of its parent.
func TestCallsWithOwnTimeoutThatIsAlwaysShorter(t *testing.T) {
	const (
		left          = 2400 * time.Millisecond
		calls         = 5
		learningTime  = 6 * time.Second
		maxWrongShare = 0.2
	)
	random := rand.New(rand.NewPCG(5, 6))
	runs := kqlineage.New()
	var active []*simRun
	correct, total := 0, 0
	for now := time.Duration(0); now < 30*time.Second; now += 500 * time.Microsecond {
		if random.IntN(60) == 0 {
			s := &simRun{root: now.String(), at: now + time.Duration(5+random.IntN(20))*time.Millisecond}
			s.run, s.deadline = runs.Begin(now, kqlineage.Run{Root: s.root, Class: "c", Route: "ledger", Deadline: now + left})
			active = append(active, s)
		}
		remaining := active[:0]
		for _, s := range active {
			if now < s.at {
				remaining = append(remaining, s)
				continue
			}
			if s.calls > 0 {
				runs.Answered(now, s.parent)
			}
			if s.calls == calls {
				runs.End(now, s.run)
				continue
			}
			ownTimeout := time.Duration(595+random.IntN(105)) * time.Millisecond
			delay := time.Duration(random.IntN(700)) * time.Microsecond
			p, found := runs.AssignParent(now+delay, "stock", min(ownTimeout, s.deadline-now).Truncate(time.Millisecond))
			s.parent, s.calls, s.at = p, s.calls+1, now+time.Duration(20+random.IntN(40))*time.Millisecond
			if now > learningTime {
				total++
				if found && p.Root == s.root {
					correct++
				}
			}
			remaining = append(remaining, s)
		}
		active = remaining
	}
	if float64(total-correct) > maxWrongShare*float64(total) {
		t.Errorf("calls assigned to their parent: got %d of %d, want all but a share of %v", correct, total, maxWrongShare)
	}
}
