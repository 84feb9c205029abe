package kqfair_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// room is how many calls of usual length the servers of a service can run in a second:
// four servers of 67 slots, with calls of 120 ms.
const room = 4 * 67 / 0.12

// hotFrom is when a team begins to send many times its usual.
const hotFrom = 5 * time.Second

// Bounds that every load is held to.
const (
	// promisedShare is the least part of the share of all requests at which each
	// team is served.
	promisedShare = 0.25
	// shareBound is how far the share of a team's requests that are served may lie
	// from its fair share.
	shareBound = 0.05
	// goodputBound is the least part of the room that is used for requests served
	// in time.
	goodputBound = 0.9
)

// load is a load on a fleet with too little room.
type load struct {
	name string
	// byWork counts demand in service time.
	byWork bool
	setUp  func(f *fleet)
}

var loads = []load{
	{name: "one of 85 at 7.5 times", setUp: func(f *fleet) {
		f.addTeams(zipf(85, 0.8*room))
		f.teams[1].rate = during(hotFrom, f.teams[1].rate(0), 7.5)
	}},
	{name: "largest at 7.5 times", setUp: func(f *fleet) {
		f.addTeams(zipf(85, 0.8*room))
		f.teams[0].rate = during(hotFrom, f.teams[0].rate(0), 7.5)
	}},
	{name: "all 85 at 1.6 times", setUp: func(f *fleet) { f.addTeams(zipf(85, 1.6*room)) }},
	{name: "a team of one client", setUp: func(f *fleet) {
		f.addTeams(append(zipf(85, 1.6*room), 10))
		f.teams[85].oneClient = true
	}},
	{name: "ten teams at one node", setUp: func(f *fleet) {
		f.addTeams(zipf(85, 1.6*room))
		for i := range 10 {
			f.teams[2*i].entry = 0
		}
	}},
	{name: "two ranks", setUp: func(f *fleet) {
		f.addTeams(zipf(85, 1.6*room))
		f.classes = []class{{name: "buy", rank: 0, part: 0.2, runOnce: true}, {name: "browse", rank: 1, part: 0.8}}
	}},
	{name: "second hop short", setUp: func(f *fleet) {
		f.addTeams(zipf(85, 1.6*room))
		f.gates[front] = nil
		f.addGates(front, 6*room)
		f.addGates(back, room)
	}},
}

// longCalls has a team whose calls take ten times as long as others. Demand is counted in
// service time, since it asks for a small part of the requests.
var longCalls = load{name: "calls of one take 10 times", byWork: true, setUp: func(f *fleet) {
	f.addTeams(zipf(85, 0.8*room))
	f.teams[4].slower = 10
}}

// during returns the rate of a team that sends its usual until a time and a multiple of
// it from then on.
func during(start time.Duration, usual, factor float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now < start {
			return usual
		}
		return usual * factor
	}
}

// simulate plays a load. The former rule places requests by a hash alone.
func (l load) simulate(seed uint64, former bool) *fleet {
	f := newFleet(seed)
	f.byWork, f.hash = l.byWork, former
	l.setUp(f)
	f.run()
	return f
}

// result is what the teams of a fleet got.
type result struct {
	// goodput is the part of the room, or of what was asked for if that is less, that
	// was used for requests served in time.
	goodput float64
	// important is the share of the requests of rank 0 that were served, and all that
	// of the requests of rank 1.
	important, all float64
	// least is the lowest share of a team's requests divided by that of all requests.
	least float64
	// off is the largest difference at rank 1 between a team's share and its fair share.
	off float64
	// early is the share that teams within their shares got in the second after
	// hotFrom.
	early float64
	// offTeam is the team with the largest difference, and got and want its shares.
	offTeam   string
	got, want float64
}

func (f *fleet) result() result {
	var demands []float64
	var served, offered, work, asked float64
	var first, early, total outcomes
	for _, t := range f.teams {
		w := f.weight(t)
		demands = append(demands, w*float64(t.measured[1].offered))
		served += w * float64(t.measured[1].served)
		offered += w * float64(t.measured[1].offered)
		work += t.slower * float64(t.measured[0].served+t.measured[1].served)
		asked += t.slower * float64(t.measured[0].offered+t.measured[1].offered)
		first.add(t.measured[0])
		total.add(t.both())
	}
	r := result{important: first.share(), all: served / offered, least: math.Inf(1)}
	r.goodput = work / min(asked, room*(f.to-f.from-settle).Seconds())
	for i, want := range fairShares(demands, min(1, r.all), promisedShare) {
		t := f.teams[i]
		got := t.measured[1].share()
		r.least = min(r.least, t.both().share()/total.share())
		if off := math.Abs(got - want); off > r.off {
			r.off, r.offTeam, r.got, r.want = off, t.name, got, want
		}
		if want > 0.99 {
			early.add(t.early)
		}
	}
	r.early = early.share()
	return r
}

func (r result) String() string {
	return fmt.Sprintf("%7.2f %6.2f %6.2f %6.2f %6.2f %6.2f", r.goodput, r.important, r.all, r.least, r.off, r.early)
}

// TestTeamsGetFairShares plays loads with too little room against the queues and
// thresholds of gates and entries, in virtual time, and checks what each team gets.
// The golden table has the results of the former rule, a hash, beside them. Its column
// "first" is the share of the more important requests that were served, "all" that of
// the others, "least" the share of the worst served team as part of that of all, "off"
// the largest difference between the share of a team and its fair share, and "early" what
// teams within their shares got in the second after a team began to send more.
func TestTeamsGetFairShares(t *testing.T) {
	tables := make([]string, len(loads))
	t.Run("loads", func(t *testing.T) {
		for i, l := range loads {
			t.Run(l.name, func(t *testing.T) {
				t.Parallel()
				for _, seed := range []uint64{1, 2} {
					tables[i] += l.check(t, seed)
				}
			})
		}
	})
	heading := fmt.Sprintf("%-26s %4s %-5s %7s %6s %6s %6s %6s %6s\n", "load", "seed", "rule", "goodput", "first", "all", "least", "off", "early")
	golden(t, "testdata/shares.txt", heading+strings.Join(tables, ""))
}

// TestTeamWithLongCallsGetsItsFairShare checks the same where calls of one team take ten
// times as long.
func TestTeamWithLongCallsGetsItsFairShare(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Log(longCalls.check(t, seed))
	}
}

// check plays a load with one seed and returns its lines of the table.
func (l load) check(t *testing.T, seed uint64) string {
	f := l.simulate(seed, false)
	r := f.result()
	if got, want := r.goodput, goodputBound; got < want {
		t.Errorf("seed %d: goodput: got %.3f, want at least %.2f", seed, got, want)
	}
	if got, want := r.important, 0.99; got < want {
		t.Errorf("seed %d: share of the more important requests that were served: got %.3f, want at least %.2f", seed, got, want)
	}
	if got, want := f.violations, 0; got != want {
		t.Errorf("seed %d: calls refused while less important ones were admitted: got %d, want %d", seed, got, want)
	}
	if got, want := r.least, promisedShare; got < want {
		t.Errorf("seed %d: share of the worst served team, as part of that of all: got %.3f, want at least %.2f", seed, got, want)
	}
	if r.off > shareBound {
		t.Errorf("seed %d: share of %s: got %.3f, want %.3f", seed, r.offTeam, r.got, r.want)
	}
	line := func(rule string, r result) string { return fmt.Sprintf("%-26s %4d %-5s %v\n", l.name, seed, rule, r) }
	if seed > 1 {
		return line("fair", r)
	}
	former := l.simulate(seed, true).result()
	if got, want := r.early, former.early; got < want {
		t.Errorf("seed %d: share in the first second of teams within their shares: got %.3f, want at least the %.3f of the former rule", seed, got, want)
	}
	return line("fair", r) + line("hash", former)
}

func golden(t *testing.T, name, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(name, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}
