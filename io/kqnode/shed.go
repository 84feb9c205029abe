package kqnode

import (
	"sync"
	"time"

	"kumquatlink/core/kqadmit"
	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqshed"
)

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

// refuses gives the end of a call that is not sent, or nil.
func (s *shedder) refuses(q *call) *result {
	c := kqshed.Call{
		Service: q.head.Service, Class: q.head.Class, Upstreams: len(s.node.State().Members.Upstreams(q.head.Service)),
		Level: kqadmit.LevelOf(q.head), Started: kqadmit.Started(q.head),
	}
	s.mutex.Lock()
	refuses := s.table.Refuses(s.clock(), c)
	s.mutex.Unlock()
	if !refuses {
		return nil
	}
	end := kqcall.NotRun(kqcall.CauseShedEntry)
	end.RetryAfter = kqadmit.RetryAfter(c.Level)
	return &result{end: end, retriesLeft: q.head.Retries}
}

// heard takes the load that a gate put on its answer. An answer that no gate
// made has a limit of 0.
func (s *shedder) heard(q *call, upstream string, r *result) {
	if r.load.Limit == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.Heard(s.clock(), kqshed.Answer{
		Service: q.head.Service, Upstream: upstream, Class: q.head.Class, Onward: q.parent != nil,
		Cut: kqadmit.CutOf(r.load.Withheld), Deep: kqadmit.CutOf(r.load.DeepWithheld),
	})
}

// deep is the strictest cut behind this node's backend server for the class.
func (s *shedder) deep(class string) kqadmit.Level {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Deep(s.clock(), class)
}
