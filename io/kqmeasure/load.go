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

// Habits of callers.
const (
	// callerGrace is how much longer than its class's target a caller waits.
	callerGrace = 100 * time.Millisecond
	// hardPause is how long a caller that honours nothing waits before it
	// sends again.
	hardPause    = 20 * time.Millisecond
	minBodyBytes = 32
	maxBodyBytes = 512
)

// arrival is one request of the schedule.
type arrival struct {
	At     time.Duration
	Kind   string
	Region string
	Bytes  int
}

// newSchedule draws the requests of a trial: Poisson arrivals at the rate of
// each moment, the same for every policy.
func newSchedule(p Profile, s Scenario, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	rate := fullRate(p) * s.Load
	var schedule []arrival
	at := time.Duration(0)
	for {
		gap := random.ExpFloat64() / (rate * s.surgeAt(at))
		at += time.Duration(gap * float64(time.Second))
		if at >= s.length() {
			return schedule
		}
		schedule = append(schedule, arrival{
			At: at, Kind: p.draw(random.Float64()), Region: p.Regions[random.IntN(len(p.Regions))],
			Bytes: minBodyBytes + random.IntN(maxBodyBytes-minBodyBytes),
		})
	}
}

// draw gives the kind at a point of the shares.
func (p Profile) draw(point float64) string {
	for _, k := range p.Kinds {
		if point < k.Share {
			return k.Name
		}
		point -= k.Share
	}
	return p.Kinds[len(p.Kinds)-1].Name
}

// attempt is one sending of a request by its caller.
type attempt struct {
	CallID string
	Answer kqbackend.Answer
	Entry  string
	At     time.Duration
	Ended  time.Duration
	Wrong  bool
}

// root is a whole request as its caller sees it. Times count from the start.
type root struct {
	arrival
	ID       string
	Attempts []attempt
	// Done is when the whole answer came, or 0.
	Done time.Duration
}

// inTime is whether the whole answer came within the time given, counted from
// the intended time of sending.
func (r *root) inTime(within time.Duration) bool {
	return r.Done > 0 && r.Done-r.At <= within
}

// outcome is what the caller was told last.
func (r *root) outcome() kqcall.Outcome {
	if len(r.Attempts) == 0 {
		return kqcall.OutcomeNotRun
	}
	return kqcall.Outcome(r.Attempts[len(r.Attempts)-1].Answer.Outcome)
}

// load sends the schedule and waits for all callers.
func (w *world) load(ctx context.Context, schedule []arrival, s Scenario, begun time.Time) []*root {
	roots := make([]*root, len(schedule))
	var callers sync.WaitGroup
	for i, a := range schedule {
		roots[i] = &root{arrival: a, ID: "q" + strconv.Itoa(i)}
		select {
		case <-time.After(time.Until(begun.Add(a.At))):
		case <-ctx.Done():
			callers.Wait()
			return roots[:i]
		}
		random := rand.New(rand.NewPCG(w.seed, uint64(i)+2))
		callers.Go(func() { w.request(ctx, roots[i], s.Retries, begun, random) })
	}
	callers.Wait()
	return roots
}

// request is one caller's work.
func (w *world) request(ctx context.Context, r *root, retries int, begun time.Time, random *rand.Rand) {
	kind := w.profile.kind(r.Kind)
	body := make([]byte, r.Bytes)
	for i := range body {
		body[i] = byte('a' + random.IntN('z'-'a'))
	}
	for n := 0; n <= retries && ctx.Err() == nil; n++ {
		if n > 0 {
			time.Sleep(hardPause)
		}
		sending := r.ID + "." + strconv.Itoa(n)
		c := kqbackend.Call{Service: kind.Plan.Service, Class: kind.Name, RequestID: r.ID, Body: body, Attempt: sending}
		position := kqbackend.Position{Kind: kind.Name, CallID: sending}
		if kind.Key {
			// The same key must come with the same request.
			c.Key, position.CallID = r.ID, r.ID+".0"
		}
		c.Path = position.Path()
		if w.attempt(ctx, r, c, begun, random) {
			return
		}
	}
}

// attempt sends the request once and says whether the whole answer came.
func (w *world) attempt(ctx context.Context, r *root, c kqbackend.Call, begun time.Time, random *rand.Rand) bool {
	ctx, cancel := context.WithTimeout(ctx, w.profile.within(r.Kind)+callerGrace)
	defer cancel()
	a := attempt{CallID: c.Attempt, At: time.Since(begun)}
	a.Answer, a.Entry = w.send(ctx, r.Region, c, random)
	a.Ended = time.Since(begun)
	done := a.Answer.Err == nil && a.Answer.Status == fasthttp.StatusOK
	a.Wrong = done && !a.Answer.Matches(c)
	a.Answer.Body = nil
	r.Attempts = append(r.Attempts, a)
	if done {
		r.Done = a.Ended
	}
	return done
}
