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

// loadRequestTimeout limits one request for the load of a gate.
const loadRequestTimeout = 500 * time.Millisecond

// shedder refuses calls early, by the admission thresholds that other gates have
// reported: at the entry before a call is sent, and at the gate before the
// backend server runs a call whose onward calls would be refused. mutex guards
// table.
type shedder struct {
	node   *Node
	mutex  sync.Mutex
	table  *kqshed.Table
	shares *shares
}

func newShedder(n *Node) *shedder {
	return &shedder{node: n, table: kqshed.New(), shares: newShares(n)}
}

// refuseAtEntry returns the answer to a call that is refused before it is sent,
// or nil. Calls that must run only once are not refused here but only by a gate
// that can't run them in time: the reported threshold may be outdated, and the
// gate might meanwhile admit less important calls.
func (s *shedder) refuseAtEntry(q *call) *callAnswer {
	if q.head.Depth > 0 {
		s.recordOnwardCall(q)
	}
	now := s.node.clock()
	s.mutex.Lock()
	reason, refuses := s.refuses(now, q)
	var stale []string
	if refuses {
		stale = s.table.StaleServices(now)
	}
	s.mutex.Unlock()
	if !refuses {
		return nil
	}
	s.requestLoads(stale)
	return refusal(q.head, kqcall.CauseShedEntry, reason)
}

// refuses reports whether the call is refused before it is sent, and for which
// threshold. The mutex is held.
func (s *shedder) refuses(now time.Duration, q *call) (kqshed.Reason, bool) {
	if q.head.RunOnce {
		return kqshed.Reason{}, false
	}
	level := levelOf(q.head)
	return s.table.Refuses(now, kqshed.Call{
		Service: q.head.Service, Class: q.head.Class, Upstreams: len(upstreamsOf(q.state, q.head.Service)), Level: level, OnwardLevel: level,
	})
}

// recordRun records that the backend server begins a call of the class.
func (s *shedder) recordRun(class string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.RecordRun(s.node.clock(), class)
}

// recordOnwardCall records which service the backend server calls for the class.
func (s *shedder) recordOnwardCall(q *call) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.RecordCall(s.node.clock(), q.head.Class, q.head.Service)
}

// refuseAtGate returns the answer to a call that is refused because a service
// further down the call chain would refuse its onward calls, so that the work of
// this node's backend server would be wasted. Otherwise it returns nil.
func (s *shedder) refuseAtGate(head kqtrunk.CallHead) *callAnswer {
	if head.RunOnce {
		return nil
	}
	s.mutex.Lock()
	reason, refuses := s.table.RefusesDownstream(s.node.clock(), head.Class, levelOf(head))
	s.mutex.Unlock()
	if !refuses {
		return nil
	}
	return refusal(head, kqcall.CauseShedGate, reason)
}

// refusal returns the answer to a call that is refused because of the threshold
// of another gate.
func refusal(head kqtrunk.CallHead, cause kqcall.Cause, r kqshed.Reason) *callAnswer {
	o := endOnly(refusalEnd(head, cause))
	o.shedBy = r
	return o
}

// refusalEnd returns the end of a refused call, with a retry time by its level.
func refusalEnd(head kqtrunk.CallHead, cause kqcall.Cause) kqcall.End {
	end := kqcall.NotRun(cause)
	end.RetryAfter = kqadmit.RetryAfter(levelOf(head))
	return end
}

// upstreamsOf returns the upstreams of a service, the nearest first.
func upstreamsOf(s *State, service string) []*kqroute.Upstream {
	if t := s.Upstreams[service]; t != nil {
		return t.Upstreams()
	}
	return nil
}

// recordLoad records the thresholds in the load report on a gate's answer.
func (s *shedder) recordLoad(q *call, upstream string, o *callAnswer) {
	if !o.fromGate {
		return
	}
	a := s.shedAnswer(q.head.Service, upstream, o.head.Load)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.RecordAnswer(s.node.clock(), a)
	if q.team != nil {
		s.shares.record(q.head.Class, a)
	}
}

// shedAnswer converts the load report of an upstream to its thresholds.
func (s *shedder) shedAnswer(service, upstream string, l kqtrunk.Load) kqshed.Answer {
	a := kqshed.Answer{
		Service: service, Upstream: upstream, Upstreams: len(upstreamsOf(s.node.State(), service)),
		Cut: kqadmit.ThresholdOf(max(l.Withheld, l.LimitWithheld)), OwnCut: l.LimitWithheld > 0,
	}
	for _, d := range l.Deep {
		a.Deep = append(a.Deep, kqshed.ClassThreshold{Class: d.Class, Level: kqadmit.ThresholdOf(d.Withheld), Service: d.Service, Age: d.Age})
	}
	return a
}

// downstreamThresholds returns, for each class, the strictest threshold among
// the services that this node's backend server calls. It also requests the load
// of services that currently refuse calls, since few of their answers come in.
func (s *shedder) downstreamThresholds() []kqtrunk.ClassThreshold {
	now := s.node.clock()
	s.mutex.Lock()
	thresholds := s.table.DownstreamThresholds(now)
	stale := s.table.StaleServices(now)
	s.mutex.Unlock()
	s.requestLoads(stale)
	var reported []kqtrunk.ClassThreshold
	for _, d := range thresholds {
		reported = append(reported, kqtrunk.ClassThreshold{Class: d.Class, Withheld: d.Level.Withheld(), Age: d.Age, Service: d.Service})
	}
	return reported
}

// requestLoads requests the load of one random gate of each service, in the
// background. It prefers gates of the own region, since these are the ones that
// decide on this node's calls.
func (s *shedder) requestLoads(services []string) {
	for _, name := range services {
		upstreams := upstreamsOf(s.node.State(), name)
		nearCount := 0
		for nearCount < len(upstreams) && upstreams[nearCount].Distance < kqroute.OtherRegion {
			nearCount++
		}
		if nearCount == 0 {
			nearCount = len(upstreams)
		}
		if nearCount == 0 {
			continue
		}
		u := upstreams[s.node.random()%uint64(nearCount)].Record
		if err := s.node.pool.Submit(func() { s.requestLoad(name, u) }); err != nil {
			s.node.logEvent(eventLoadNotAsked, "load can't be requested from service "+name, err, kqlog.Text(fieldService, name), kqlog.Text(fieldHost, u.NodeID))
		}
	}
}

// requestLoad requests the load of a gate and records its thresholds.
func (s *shedder) requestLoad(service string, u kqmember.Record) {
	l, err := s.fetchLoad(service, u)
	if err != nil {
		s.node.logEvent(eventLoadNotAsked, "ask "+u.NodeID+" for its load: request failed", err, kqlog.Text(fieldService, service), kqlog.Text(fieldHost, u.NodeID))
		return
	}
	a := s.shedAnswer(service, u.NodeID, l)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.RecordAnswer(s.node.clock(), a)
	s.shares.recordAll(a)
}

// fetchLoad returns the load report of a gate, which may be this node's own.
func (s *shedder) fetchLoad(service string, u kqmember.Record) (kqtrunk.Load, error) {
	if u.NodeID == s.node.settings.NodeID {
		return s.node.gate.load(), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), loadRequestTimeout)
	defer cancel()
	answer, err := s.node.dialer.Call(ctx, u.Address, kqtrunk.CallHead{Service: service, Budget: loadRequestTimeout, AskLoad: true}, nil)
	if err != nil {
		return kqtrunk.Load{}, err
	}
	defer answer.Head.Discard()
	return answer.Head.Load, nil
}
