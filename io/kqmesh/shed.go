package kqmesh

import (
	"context"
	"sync"
	"time"

	"kumquatlink/core/kqadmit"
	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqroute"
	"kumquatlink/core/kqshed"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqtrunk"
)

// askLoadTimeout bounds one question for a gate's load.
const askLoadTimeout = 500 * time.Millisecond

// shedder refuses calls at the entry by the cuts that gates told of.
type shedder struct {
	node  *Node
	mutex sync.Mutex
	table *kqshed.Table
}

func newShedder(n *Node) *shedder {
	return &shedder{node: n, table: kqshed.New()}
}

// refuses gives the outcome of a call that is not sent, or nil. What must not
// run twice is refused only by a gate that can't run it in time, since a cut
// that was heard a moment ago is no proof that nothing less important gets in.
func (s *shedder) refuses(q *call) *outcome {
	if q.head.Depth > 0 {
		s.called(q)
	}
	if q.head.RunOnce {
		return nil
	}
	level := levelOf(q.head)
	c := kqshed.Call{Service: q.head.Service, Class: q.head.Class, Upstreams: len(upstreamsOf(q.state, q.head.Service)), Level: level, OnwardLevel: level}
	now := s.node.clock()
	s.mutex.Lock()
	reason, refuses := s.table.Refuses(now, c)
	var stale []string
	if refuses {
		stale = s.table.StaleServices(now)
	}
	s.mutex.Unlock()
	if !refuses {
		return nil
	}
	s.ask(stale)
	return shedOutcome(q.head, kqcall.CauseShedEntry, reason)
}

// ran notes that the backend server begins a call of the class.
func (s *shedder) ran(class string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.RecordRun(s.node.clock(), class)
}

// called notes what a class calls while this node's backend server runs it.
func (s *shedder) called(q *call) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.RecordCall(s.node.clock(), q.head.Class, q.head.Service)
}

// refusesBehind gives the outcome of a call if a deeper service would refuse
// the request after this node's backend server had run the call, or nil.
func (s *shedder) refusesBehind(head kqtrunk.CallHead) *outcome {
	if head.RunOnce {
		return nil
	}
	s.mutex.Lock()
	reason, refuses := s.table.RefusesDownstream(s.node.clock(), head.Class, levelOf(head))
	s.mutex.Unlock()
	if !refuses {
		return nil
	}
	return shedOutcome(head, kqcall.CauseShedGate, reason)
}

// shedOutcome is that of a call which is refused for a cut that was heard of.
func shedOutcome(head kqtrunk.CallHead, cause kqcall.Cause, r kqshed.Reason) *outcome {
	o := ended(shedEnd(head, cause))
	o.shedBy = r
	return o
}

func shedEnd(head kqtrunk.CallHead, cause kqcall.Cause) kqcall.End {
	end := kqcall.NotRun(cause)
	end.RetryAfter = kqadmit.RetryAfter(levelOf(head))
	return end
}

func upstreamsOf(s *State, service string) []*kqroute.Upstream {
	if t := s.Upstreams[service]; t != nil {
		return t.Upstreams()
	}
	return nil
}

// heard takes the load that a gate put on its answer.
func (s *shedder) heard(q *call, upstream string, o *outcome) {
	if !o.heard {
		return
	}
	a := shedAnswer(q.head.Service, upstream, o.head.Load)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.RecordAnswer(s.node.clock(), a)
}

func shedAnswer(service, upstream string, l kqtrunk.Load) kqshed.Answer {
	a := kqshed.Answer{Service: service, Upstream: upstream, Cut: kqadmit.ThresholdOf(l.Withheld)}
	for _, d := range l.Deep {
		a.Deep = append(a.Deep, kqshed.ClassThreshold{Class: d.Class, Level: kqadmit.ThresholdOf(d.Withheld), Service: d.Service, Age: d.Age})
	}
	return a
}

// deep lists the strictest cuts behind this node's backend server.
func (s *shedder) deep() []kqtrunk.ClassCut {
	now := s.node.clock()
	s.mutex.Lock()
	held := s.table.DownstreamThresholds(now)
	stale := s.table.StaleServices(now)
	s.mutex.Unlock()
	s.ask(stale)
	var cuts []kqtrunk.ClassCut
	for _, d := range held {
		cuts = append(cuts, kqtrunk.ClassCut{Class: d.Class, Withheld: d.Level.Withheld(), Age: d.Age, Service: d.Service})
	}
	return cuts
}

// ask asks one gate of each service for its load, off the call's way. Near
// gates are asked, whose cuts are those that the calls of this node meet.
func (s *shedder) ask(services []string) {
	for _, name := range services {
		all := upstreamsOf(s.node.State(), name)
		near := 0
		for near < len(all) && all[near].Distance < kqroute.OtherRegion {
			near++
		}
		if near == 0 {
			near = len(all)
		}
		if near == 0 {
			continue
		}
		u := all[s.node.random()%uint64(near)].Record
		if err := s.node.pool.Submit(func() { s.askGate(name, u) }); err != nil {
			s.node.logEvent(eventLoadNotAsked, "ask for load of "+name, err, kqlog.Text(fieldService, name), kqlog.Text(fieldHost, u.NodeID))
		}
	}
}

func (s *shedder) askGate(service string, u kqmember.Record) {
	l, err := s.loadOf(service, u)
	if err != nil {
		s.node.logEvent(eventLoadNotAsked, "ask "+u.NodeID+" for its load", err, kqlog.Text(fieldService, service), kqlog.Text(fieldHost, u.NodeID))
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.RecordAnswer(s.node.clock(), shedAnswer(service, u.NodeID, l))
}

func (s *shedder) loadOf(service string, u kqmember.Record) (kqtrunk.Load, error) {
	if u.NodeID == s.node.settings.NodeID {
		return s.node.gate.load(), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), askLoadTimeout)
	defer cancel()
	answer, err := s.node.dialer.Call(ctx, u.Address, kqtrunk.CallHead{Service: service, Budget: askLoadTimeout, AskLoad: true}, nil)
	if err != nil {
		return kqtrunk.Load{}, err
	}
	return answer.Head.Load, nil
}
