package kqnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"kumquatlink/core/kqadmit"
	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqshed"
	"kumquatlink/io/kqlink"
)

// askTimeout bounds one question for a gate's load.
const askTimeout = 500 * time.Millisecond

// shedder refuses calls at the entry by the cuts that gates told of.
type shedder struct {
	node  *Node
	begun time.Time

	mutex sync.Mutex
	table *kqshed.Table
}

func newShedder(n *Node) *shedder {
	return &shedder{node: n, begun: n.now(), table: kqshed.New()}
}

func (s *shedder) clock() time.Duration {
	return s.node.now().Sub(s.begun)
}

// refuses gives the end of a call that is not sent, or nil. Work that must not
// be repeated is refused only by a gate that can't run it in time, since a cut
// that was heard a moment ago is no proof that nothing less important gets in.
func (s *shedder) refuses(q *call) *callAnswer {
	if q.parent != nil {
		s.called(q)
	}
	if !q.head.Repeatable {
		return nil
	}
	c := kqshed.Call{
		Service: q.head.Service, Class: q.head.Class, Upstreams: len(s.node.State().Members.Upstreams(q.head.Service)),
		Level: kqadmit.LevelOf(q.head), OnwardLevel: kqadmit.OnwardLevel(q.head),
	}
	now := s.clock()
	s.mutex.Lock()
	_, refuses := s.table.Refuses(now, c)
	var stale []string
	if refuses {
		stale = s.table.StaleServices(now)
	}
	s.mutex.Unlock()
	if !refuses {
		return nil
	}
	s.ask(stale)
	return shedResult(q, kqcall.CauseShedEntry)
}

// called notes what a class calls while this node's backend server runs it.
func (s *shedder) called(q *call) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.RecordCall(s.clock(), q.head.Class, q.head.Service)
}

// refusesBehind gives the end of a call that a deeper service would refuse
// after this node's backend server had run it, or nil.
func (s *shedder) refusesBehind(q *call) *callAnswer {
	if !q.head.Repeatable {
		return nil
	}
	level := kqadmit.OnwardLevel(q.head)
	s.mutex.Lock()
	_, refuses := s.table.RefusesDownstream(s.clock(), q.head.Class, level)
	s.mutex.Unlock()
	if !refuses {
		return nil
	}
	return shedResult(q, kqcall.CauseShedGate)
}

func shedResult(q *call, cause kqcall.Cause) *callAnswer {
	end := kqcall.NotRun(cause)
	end.RetryAfter = kqadmit.RetryAfter(kqadmit.LevelOf(q.head))
	return &callAnswer{end: end, retriesLeft: q.head.Retries}
}

// heard takes the load that a gate put on its answer.
func (s *shedder) heard(q *call, upstream string, r *callAnswer) {
	if !r.heard {
		return
	}
	a := answerOf(q.head.Service, upstream, r.load)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.RecordAnswer(s.clock(), a)
}

func answerOf(service, upstream string, l kqlink.Load) kqshed.Answer {
	a := kqshed.Answer{Service: service, Upstream: upstream, Cut: kqadmit.ThresholdOf(l.Withheld)}
	for _, d := range l.Deep {
		a.Deep = append(a.Deep, kqshed.ClassThreshold{
			Class: d.Class, Level: kqadmit.ThresholdOf(d.Withheld), Age: time.Duration(d.AgeMilliseconds) * time.Millisecond,
		})
	}
	return a
}

// deep lists the strictest cuts behind this node's backend server.
func (s *shedder) deep() []kqlink.ClassThreshold {
	now := s.clock()
	s.mutex.Lock()
	held := s.table.DownstreamThresholds(now)
	stale := s.table.StaleServices(now)
	s.mutex.Unlock()
	s.ask(stale)
	var cuts []kqlink.ClassThreshold
	for _, d := range held {
		cuts = append(cuts, kqlink.ClassThreshold{Class: d.Class, Withheld: d.Level.Withheld(), AgeMilliseconds: d.Age.Milliseconds()})
	}
	return cuts
}

// ask asks one gate of each service for its load, off the call's way.
func (s *shedder) ask(services []string) {
	for _, name := range services {
		upstreams := s.node.State().Members.Upstreams(name)
		if len(upstreams) == 0 {
			continue
		}
		u := upstreams[rand.IntN(len(upstreams))]
		if err := s.node.pool.Submit(func() { s.askGate(name, u) }); err != nil {
			s.node.log.Event(zerolog.DebugLevel, "ask for load of "+name, err)
		}
	}
}

func (s *shedder) askGate(service string, u kqmember.Record) {
	l, err := s.loadOf(service, u)
	if err != nil {
		s.node.log.Event(zerolog.DebugLevel, "ask "+u.NodeID+" for its load", err)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.RecordAnswer(s.clock(), answerOf(service, u.NodeID, l))
}

func (s *shedder) loadOf(service string, u kqmember.Record) (kqlink.Load, error) {
	if u.NodeID == s.node.settings.NodeID {
		return s.node.gate.load(), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	answer, err := s.node.dialer.Call(ctx, u.Address, kqlink.CallHead{
		Head: kqcall.Head{Service: service, Budget: askTimeout}, AskLoad: true,
	}, nil)
	if err != nil {
		return kqlink.Load{}, err
	}
	return answer.Head.Load, nil
}
