package kqadmit

import "time"

// guard remembers for each rank when a call was last let in and refused and
// how many are in flight, so that no call is refused while a less important
// one is let in or holds a slot.
type guard struct {
	ranks []rankTimes
}

type rankTimes struct {
	// let is when a call was last let in, and shut until when less important
	// ones are not; zero means never.
	let  time.Duration
	shut time.Duration
	seen bool
	// inFlight is how many calls of the rank hold a slot.
	inFlight int
}

func (g *guard) rank(r int) *rankTimes {
	for len(g.ranks) <= r {
		g.ranks = append(g.ranks, rankTimes{})
	}
	return &g.ranks[r]
}

func (g *guard) letIn(now time.Duration, rank int) {
	r := g.rank(rank)
	r.let, r.seen = now, true
	r.inFlight++
}

func (g *guard) ended(rank int) {
	g.rank(rank).inFlight--
}

func (g *guard) refused(now time.Duration, rank int) {
	g.close(now, rank)
}

// close refuses all that is less important than the rank for the guard time.
func (g *guard) close(now time.Duration, rank int) {
	g.rank(rank).shut = now + GuardInterval
}

// closed is whether a more important call was refused just before.
func (g *guard) closed(now time.Duration, rank int) bool {
	for r := range min(rank, len(g.ranks)) {
		if now < g.ranks[r].shut {
			return true
		}
	}
	return false
}

// mayRefuse is whether no less important call holds a slot or was let in just
// before.
func (g *guard) mayRefuse(now time.Duration, rank int) bool {
	for r := rank + 1; r < len(g.ranks); r++ {
		if g.ranks[r].inFlight > 0 || g.ranks[r].seen && now-g.ranks[r].let < GuardInterval {
			return false
		}
	}
	return true
}
