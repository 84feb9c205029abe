package kqadmit

import "time"

// guard enforces the order of ranks: no call is refused while a less important
// one is admitted or holds a slot. For each rank it records the last admission,
// the last refusal and the number of calls in flight.
type guard struct {
	ranks []rankState
}

type rankState struct {
	// lastAdmitted is when a call of the rank was last admitted; it is valid
	// if everAdmitted is set.
	lastAdmitted time.Duration
	// blocksUntil is until when less important calls are not admitted; zero
	// means that none has been blocked.
	blocksUntil  time.Duration
	everAdmitted bool
	// inFlight is how many calls of the rank hold a slot.
	inFlight int
}

func (g *guard) rank(r int) *rankState {
	for len(g.ranks) <= r {
		g.ranks = append(g.ranks, rankState{})
	}
	return &g.ranks[r]
}

func (g *guard) recordAdmission(now time.Duration, rank int) {
	r := g.rank(rank)
	r.lastAdmitted, r.everAdmitted = now, true
	r.inFlight++
}

func (g *guard) recordEnd(rank int) {
	g.rank(rank).inFlight--
}

func (g *guard) recordRefusal(now time.Duration, rank int) {
	g.blockBelow(now, rank)
}

// blockBelow blocks all calls less important than the rank for GuardInterval.
func (g *guard) blockBelow(now time.Duration, rank int) {
	g.rank(rank).blocksUntil = now + GuardInterval
}

// blocked reports whether calls of the rank are blocked because a more
// important call was refused, or was due to be refused, within GuardInterval.
func (g *guard) blocked(now time.Duration, rank int) bool {
	for r := range min(rank, len(g.ranks)) {
		if now < g.ranks[r].blocksUntil {
			return true
		}
	}
	return false
}

// mayRefuse reports whether a call of the rank may be refused: no less
// important call holds a slot or was admitted within GuardInterval.
func (g *guard) mayRefuse(now time.Duration, rank int) bool {
	for r := rank + 1; r < len(g.ranks); r++ {
		if g.ranks[r].inFlight > 0 || g.ranks[r].everAdmitted && now-g.ranks[r].lastAdmitted < GuardInterval {
			return false
		}
	}
	return true
}
