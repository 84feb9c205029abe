package kqmesh

import (
	"sync"
	"time"

	"kumquatlink/core/kqadmit"
	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqfair"
	"kumquatlink/core/kqshed"
	"kumquatlink/io/kqlog"
)

// maxRooms bounds the rooms that an entry keeps.
const maxRooms = 256

// teamDemand is what an entry knows of the demand of teams.
type teamDemand struct {
	// curve summarizes the demand of all teams.
	curve []float32
	// requests is how many requests a second one team sends through all nodes.
	requests float64
	// age is the time since the figures were computed.
	age time.Duration
}

// shares orders the requests of teams by their fair shares. mutex guards rooms.
type shares struct {
	node *Node
	// demandOf returns what is known of the demand of a team, and false if nothing is. If
	// it is nil, positions follow from the IDs of requests alone.
	demandOf func(team string) (teamDemand, bool)
	mutex    sync.Mutex
	rooms    map[roomKey]*kqfair.Room
}

// roomKey identifies the requests of a class to a service.
type roomKey struct {
	service string
	class   string
}

func newShares(n *Node) *shares {
	return &shares{node: n, rooms: map[roomKey]*kqfair.Room{}}
}

// record records the thresholds on an answer to a request of a team.
func (s *shares) record(class string, a kqshed.Answer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	k := roomKey{a.Service, class}
	if s.rooms[k] == nil {
		if len(s.rooms) >= maxRooms {
			clear(s.rooms)
		}
		s.rooms[k] = &kqfair.Room{}
	}
	s.recordRoom(k, a)
}

// recordAll records thresholds that a gate of a service was asked for.
func (s *shares) recordAll(a kqshed.Answer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for k := range s.rooms {
		if k.service == a.Service {
			s.recordRoom(k, a)
		}
	}
}

// recordRoom records thresholds for the requests of one class. The mutex is held.
func (s *shares) recordRoom(k roomKey, a kqshed.Answer) {
	downstream := kqadmit.AdmitAll
	for _, d := range a.Deep {
		if d.Class == k.class {
			downstream = d.Level
		}
	}
	s.rooms[k].Record(s.node.clock(), a.Cut, downstream)
}

// place sets the position of a request that a caller of a team sent. Onward calls have
// that of the request that they belong to.
func (s *shares) place(q *call) {
	if q.team == nil || q.head.Depth > 0 || s.demandOf == nil {
		return
	}
	if d, known := s.demandOf(q.team.Name); known {
		s.order(q, d)
	}
}

// order sets the position of a request among those of its rank by the fair share of its
// team.
func (s *shares) order(q *call, d teamDemand) {
	now := s.node.clock()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	room := s.rooms[roomKey{q.head.Service, q.head.Class}]
	if room == nil {
		room = &kqfair.Room{}
	}
	q.head.Order = room.Order(now, d.curve, d.requests, q.head.Root, q.head.Rank)
	q.demand, q.fairShare = d, room.Limit(now, d.curve, q.head.Rank)
}

// addTeam adds the team of the call to a decision on it. If the call was refused for want
// of room and the team sends more than its share, it adds the figures.
func (q *call) addTeam(d *kqlog.Decision) {
	if q.team == nil {
		return
	}
	d.Team = q.team.Name
	if isShed(kqcall.Cause(d.Cause)) && q.fairShare > 0 && q.demand.requests > q.fairShare {
		d.Demand, d.Share, d.DemandAge = q.demand.requests, q.fairShare, q.demand.age
	}
}

// isShed reports whether a call was refused for want of room.
func isShed(cause kqcall.Cause) bool {
	return cause == kqcall.CauseShedEntry || cause == kqcall.CauseShedGate || cause == kqcall.CauseDisplaced || cause == kqcall.CauseHandedBack
}

// Results of calls in the metrics by team.
const (
	teamServed = "served"
	teamQuota  = "quota"
	teamShed   = "shed"
	teamFailed = "failed"
)

// teamResult returns how the metrics by team count an answer.
func teamResult(d kqlog.Decision) string {
	switch cause := kqcall.Cause(d.Cause); {
	case d.Outcome == string(kqcall.OutcomeRan):
		return teamServed
	case cause == kqcall.CauseQuota:
		return teamQuota
	case isShed(cause):
		return teamShed
	}
	return teamFailed
}
