package kqmeasure

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqbackend"
)

// Behaviour of callers.
const (
	// callerGrace is how much longer than its class's target time a caller waits.
	callerGrace = 100 * time.Millisecond
	// aggressivePause is how long a caller waits before it sends again, whatever
	// the answer says.
	aggressivePause = 20 * time.Millisecond
	minBodyBytes    = 32
	maxBodyBytes    = 512
)

// arrival is one request of the schedule.
type arrival struct {
	At     time.Duration
	Kind   string
	Region string
	Bytes  int
}

// newSchedule draws the requests of a trial: Poisson arrivals at a rate that
// follows the scenario's load. It depends on its arguments alone, so that every
// policy gets the same schedule.
func newSchedule(p Profile, s Scenario, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	rate := saturationRate(p) * s.Load
	var schedule []arrival
	at := time.Duration(0)
	for {
		gap := random.ExpFloat64() / (rate * s.surgeAt(at))
		at += time.Duration(gap * float64(time.Second))
		if at >= s.duration() {
			return schedule
		}
		schedule = append(schedule, arrival{
			At: at, Kind: p.kindAt(random.Float64()), Region: p.Regions[random.IntN(len(p.Regions))],
			Bytes: minBodyBytes + random.IntN(maxBodyBytes-minBodyBytes),
		})
	}
}

// kindAt returns the kind whose part of the cumulated shares contains the
// point, which lies in [0, 1).
func (p Profile) kindAt(point float64) string {
	for _, k := range p.Kinds {
		if point < k.Share {
			return k.Name
		}
		point -= k.Share
	}
	return p.Kinds[len(p.Kinds)-1].Name
}

// attempt is one of the times that a caller sent a request. Its times count from
// the trial's start.
type attempt struct {
	CallID string
	Answer kqbackend.Answer
	Entry  string
	At     time.Duration
	Ended  time.Duration
	Wrong  bool
}

// root is a request as its caller sees it, with all attempts. Its times count
// from the trial's start.
type root struct {
	arrival
	ID       string
	Attempts []attempt
	// Done is when the request completed, or 0.
	Done time.Duration
}

// inTime reports whether the request completed within the time given, counted
// from the intended send time.
func (r *root) inTime(within time.Duration) bool {
	return r.Done > 0 && r.Done-r.At <= within
}

// outcome returns the outcome of the last answer. A request that was never sent
// counts as not run.
func (r *root) outcome() kqcall.Outcome {
	if len(r.Attempts) == 0 {
		return kqcall.OutcomeNotRun
	}
	return kqcall.Outcome(r.Attempts[len(r.Attempts)-1].Answer.Outcome)
}

// runCallers sends the requests of the schedule at their times and waits for all
// callers. If ctx ends early, it returns those that were sent.
func (tb *testbed) runCallers(ctx context.Context, schedule []arrival, s Scenario, startedAt time.Time) []*root {
	roots := make([]*root, len(schedule))
	var callers sync.WaitGroup
	for i, a := range schedule {
		roots[i] = &root{arrival: a, ID: "q" + strconv.Itoa(i)}
		select {
		case <-time.After(time.Until(startedAt.Add(a.At))):
		case <-ctx.Done():
			callers.Wait()
			return roots[:i]
		}
		random := rand.New(rand.NewPCG(tb.seed, uint64(i)+2))
		callers.Go(func() { tb.sendRequest(ctx, roots[i], s.Retries, startedAt, random) })
	}
	callers.Wait()
	return roots
}

// sendRequest sends a request until it completes or the retries are used up.
func (tb *testbed) sendRequest(ctx context.Context, r *root, retries int, startedAt time.Time, random *rand.Rand) {
	kind := tb.profile.kind(r.Kind)
	body := make([]byte, r.Bytes)
	for i := range body {
		body[i] = byte('a' + random.IntN('z'-'a'))
	}
	for n := 0; n <= retries && ctx.Err() == nil; n++ {
		if n > 0 {
			time.Sleep(aggressivePause)
		}
		attemptID := r.ID + "." + strconv.Itoa(n)
		c := kqbackend.Call{Service: kind.Plan.Service, Class: kind.Name, RequestID: r.ID, Body: body, Attempt: attemptID}
		position := kqbackend.Position{Kind: kind.Name, CallID: attemptID}
		if kind.Key {
			// A key identifies one request, so that all attempts carry the same path.
			c.Key, position.CallID = r.ID, r.ID+".0"
		}
		c.Path = position.Path()
		if tb.sendAttempt(ctx, r, c, startedAt, random) {
			return
		}
	}
}

// sendAttempt sends the request once, records the attempt and reports whether
// the request completed.
func (tb *testbed) sendAttempt(ctx context.Context, r *root, c kqbackend.Call, startedAt time.Time, random *rand.Rand) bool {
	ctx, cancel := context.WithTimeout(ctx, tb.profile.targetTime(r.Kind)+callerGrace)
	defer cancel()
	a := attempt{CallID: c.Attempt, At: time.Since(startedAt)}
	a.Answer, a.Entry = tb.send(ctx, r.Region, c, random)
	a.Ended = time.Since(startedAt)
	done := a.Answer.Err == nil && a.Answer.Status == fasthttp.StatusOK
	a.Wrong = done && !a.Answer.Matches(c)
	a.Answer.Body = nil
	r.Attempts = append(r.Attempts, a)
	if done {
		r.Done = a.Ended
	}
	return done
}
