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

// loadRequestTimeout limits one request for the load of a gate.
const loadRequestTimeout = 500 * time.Millisecond

// shedder refuses calls early, by the admission thresholds that other gates have
// reported: at the entry before a call is sent, and at the gate before the
// backend server runs a call whose onward calls would be refused. mutex guards
// table.
type shedder struct {
	node  *Node
	begun time.Time

	mutex sync.Mutex
	table *kqshed.Table
}

func newShedder(n *Node) *shedder {
	return &shedder{node: n, begun: n.now(), table: kqshed.New()}
}

// clock returns the time since the shedder was created.
func (s *shedder) clock() time.Duration {
	return s.node.now().Sub(s.begun)
}

// refuseAtEntry returns the answer to a call that is refused before it is sent,
// or nil. Calls that must run only once are not refused here but only by a gate
// that can't run them in time: the reported threshold may be outdated, and the
// gate might meanwhile admit less important calls.
func (s *shedder) refuseAtEntry(q *call) *callAnswer {
	if q.parent != nil {
		s.recordOnwardCall(q)
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
	s.requestLoads(stale)
	return refusal(q, kqcall.CauseShedEntry)
}

// recordOnwardCall records which service the backend server calls for the class.
func (s *shedder) recordOnwardCall(q *call) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.RecordCall(s.clock(), q.head.Class, q.head.Service)
}

// refuseAtGate returns the answer to a call that is refused because a service
// further down the call chain would refuse its onward calls, so that the work of
// this node's backend server would be wasted. Otherwise it returns nil.
func (s *shedder) refuseAtGate(q *call) *callAnswer {
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
	return refusal(q, kqcall.CauseShedGate)
}

// refusal returns the answer to a call that is refused because of a reported
// threshold, with a retry time by the call's level.
func refusal(q *call, cause kqcall.Cause) *callAnswer {
	end := kqcall.NotRun(cause)
	end.RetryAfter = kqadmit.RetryAfter(kqadmit.LevelOf(q.head))
	return &callAnswer{end: end, retriesLeft: q.head.Retries}
}

// recordLoad records the thresholds in the load report on a gate's answer.
func (s *shedder) recordLoad(q *call, upstream string, r *callAnswer) {
	if !r.fromGate {
		return
	}
	a := shedAnswer(q.head.Service, upstream, r.load)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.RecordAnswer(s.clock(), a)
}

// shedAnswer converts the load report of an upstream to its thresholds.
func shedAnswer(service, upstream string, l kqlink.Load) kqshed.Answer {
	a := kqshed.Answer{Service: service, Upstream: upstream, Cut: kqadmit.ThresholdOf(l.Withheld)}
	for _, d := range l.Deep {
		a.Deep = append(a.Deep, kqshed.ClassThreshold{
			Class: d.Class, Level: kqadmit.ThresholdOf(d.Withheld), Age: time.Duration(d.AgeMilliseconds) * time.Millisecond,
		})
	}
	return a
}

// downstreamThresholds returns, for each class, the strictest threshold among
// the services that this node's backend server calls. It also requests the load
// of services that currently refuse calls, since few of their answers come in.
func (s *shedder) downstreamThresholds() []kqlink.ClassThreshold {
	now := s.clock()
	s.mutex.Lock()
	thresholds := s.table.DownstreamThresholds(now)
	stale := s.table.StaleServices(now)
	s.mutex.Unlock()
	s.requestLoads(stale)
	var reported []kqlink.ClassThreshold
	for _, d := range thresholds {
		reported = append(reported, kqlink.ClassThreshold{Class: d.Class, Withheld: d.Level.Withheld(), AgeMilliseconds: d.Age.Milliseconds()})
	}
	return reported
}

// requestLoads requests the load of one random gate of each service, in the
// background.
func (s *shedder) requestLoads(services []string) {
	for _, name := range services {
		upstreams := s.node.State().Members.Upstreams(name)
		if len(upstreams) == 0 {
			continue
		}
		u := upstreams[rand.IntN(len(upstreams))]
		if err := s.node.pool.Submit(func() { s.requestLoad(name, u) }); err != nil {
			s.node.log.Event(zerolog.DebugLevel, "load can't be requested from service "+name, err)
		}
	}
}

// requestLoad requests the load of a gate and records its thresholds.
func (s *shedder) requestLoad(service string, u kqmember.Record) {
	l, err := s.fetchLoad(service, u)
	if err != nil {
		s.node.log.Event(zerolog.DebugLevel, "ask "+u.NodeID+" for its load: request failed", err)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.RecordAnswer(s.clock(), shedAnswer(service, u.NodeID, l))
}

// fetchLoad returns the load report of a gate, which may be this node's own.
func (s *shedder) fetchLoad(service string, u kqmember.Record) (kqlink.Load, error) {
	if u.NodeID == s.node.settings.NodeID {
		return s.node.gate.load(), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), loadRequestTimeout)
	defer cancel()
	answer, err := s.node.dialer.Call(ctx, u.Address, kqlink.CallHead{
		Head: kqcall.Head{Service: service, Budget: loadRequestTimeout}, AskLoad: true,
	}, nil)
	if err != nil {
		return kqlink.Load{}, err
	}
	return answer.Head.Load, nil
}
