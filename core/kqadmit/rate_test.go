package kqadmit_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"kumquatlink/core/kqadmit"
	"kumquatlink/core/kqcall"
)

// rateLoad is a load of one class on a server with a rate, and what became of it.
type rateLoad struct {
	class    string
	rank     int
	waits    bool
	perTick  float64
	offered  int
	admitted int
	refused  int
	// earliest is the shortest time after which a refused call may return.
	earliest time.Duration
}

// rateRun plays loads against a queue with a rate on a server with many slots.
type rateRun struct {
	queue *kqadmit.Queue
	loads map[uint64]*rateLoad
	ends  map[time.Duration][]kqadmit.Completion
	items map[uint64]kqadmit.Item
	begun []time.Duration
}

// Times of a run of calls on a server with a rate.
const (
	rateTick    = 5 * time.Millisecond
	rateHold    = 50 * time.Millisecond
	rateRunTime = 30 * time.Second
)

func (r *rateRun) play(loads ...*rateLoad) {
	random := rand.New(rand.NewPCG(7, 7))
	id := uint64(0)
	for now := time.Duration(0); now < rateRunTime; now += rateTick {
		for _, c := range r.ends[now] {
			r.take(now, r.queue.Done(now, c))
		}
		delete(r.ends, now)
		for _, l := range loads {
			if random.Float64() >= l.perTick {
				continue
			}
			id++
			l.offered++
			i := kqadmit.Item{
				ID: id, Class: l.class, WaitUntilDeadline: l.waits, Deadline: now + 5*time.Second,
				Level: kqadmit.LevelOf(kqcall.Head{RequestID: strconv.FormatUint(id, 10), Rank: l.rank}),
			}
			r.loads[id], r.items[id] = l, i
			r.take(now, r.queue.Offer(now, i))
		}
		r.take(now, r.queue.Tick(now))
	}
}

func (r *rateRun) take(now time.Duration, verdicts []kqadmit.Verdict) {
	for _, v := range verdicts {
		l, i := r.loads[v.ID], r.items[v.ID]
		if !v.Run {
			l.refused++
			if l.earliest == 0 || v.RetryAfter < l.earliest {
				l.earliest = v.RetryAfter
			}
			continue
		}
		l.admitted++
		r.begun = append(r.begun, now)
		end := now + rateHold
		r.ends[end] = append(r.ends[end], kqadmit.Completion{Level: i.Level, Class: i.Class, Took: rateHold, IsSample: true})
	}
}

func newRateRun(rate float64) *rateRun {
	r := &rateRun{queue: kqadmit.New(), loads: map[uint64]*rateLoad{}, ends: map[time.Duration][]kqadmit.Completion{}, items: map[uint64]kqadmit.Item{}}
	r.queue.SetLimit(0, 36)
	r.queue.SetRate(0, rate)
	return r
}

// TestRateAdmitsImportantCallsFirst overloads a server with a rate five times by
// calls that may be refused.
func TestRateAdmitsImportantCallsFirst(t *testing.T) {
	const rate = 10.0
	buy := &rateLoad{class: "buy", rank: 0, waits: true, perTick: 0.02}
	browse := &rateLoad{class: "browse", rank: 2, perTick: 0.25}
	r := newRateRun(rate)
	r.play(buy, browse)
	if got, want := buy.admitted, buy.offered*95/100; got < want {
		t.Errorf("purchases admitted: got %d of %d, want at least %d", got, buy.offered, want)
	}
	total := int(rate * rateRunTime.Seconds())
	if got, want := len(r.begun), total*9/10; got < want {
		t.Errorf("calls admitted under overload: got %d, want at least %d of %d", got, want, total)
	}
	if got, want := len(r.begun), total+int(rate); got > want {
		t.Errorf("calls admitted: got %d, want at most %d", got, want)
	}
	if browse.earliest <= 0 {
		t.Errorf("refused calls may return after: got %s, want a time", browse.earliest)
	}
}

// TestRateBelowOneCallInFourSecondsRefusesEarly has a server take hardly any
// calls: those that it can't take soon are refused at once, so that another server
// can take them.
func TestRateBelowOneCallInFourSecondsRefusesEarly(t *testing.T) {
	buy := &rateLoad{class: "buy", rank: 0, waits: true, perTick: 0.05}
	r := newRateRun(0.1)
	r.play(buy)
	if got, want := r.queue.Waiting(), 2; got > want {
		t.Errorf("calls that wait: got %d, want at most %d", got, want)
	}
	if got, want := buy.earliest, 250*time.Millisecond; got < want {
		t.Errorf("refused calls may return after: got %s, want at least %s", got, want)
	}
	if got := buy.admitted; got == 0 || got > 10 {
		t.Errorf("calls admitted in %s: got %d, want 1 to 10", rateRunTime, got)
	}
}

// TestEndOfTheRateAdmitsWaitingCalls removes the rate while calls wait.
func TestEndOfTheRateAdmitsWaitingCalls(t *testing.T) {
	q := kqadmit.New()
	q.SetLimit(0, 4)
	q.SetRate(0, 10)
	if got := q.Offer(0, kqadmit.Item{ID: 1, Class: "browse", Deadline: time.Second}); len(got) != 0 {
		t.Fatalf("verdicts while the rate is used up: got %+v, want none", got)
	}
	got := q.RemoveRate(time.Millisecond)
	if len(got) != 1 || !got[0].Run {
		t.Errorf("verdicts when the rate ends: got %+v, want that the call runs", got)
	}
}
