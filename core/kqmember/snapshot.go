package kqmember

// Snapshot is an immutable copy of a [View].
type Snapshot struct {
	Own Record
	// Records holds the nodes that are not removed, in the order of their IDs.
	Records []Record
	// Suspects holds the IDs of the nodes in Records that are suspected.
	Suspects map[string]bool
	// Gone holds the incarnations that reported their own end, by node ID.
	Gone map[string]uint64
	// Removed holds the incarnations that count as dead or gone, by node ID.
	Removed map[string]uint64
	// upstreams holds the nodes that take new calls, by service.
	upstreams map[string][]Record
	// services holds the services that any node has.
	services map[string]bool
}

func newSnapshot(own Record, members []*Member) *Snapshot {
	s := &Snapshot{
		Own: own, Records: make([]Record, 0, len(members)), Suspects: map[string]bool{}, Gone: map[string]uint64{}, Removed: map[string]uint64{},
		upstreams: map[string][]Record{}, services: map[string]bool{},
	}
	suspected := map[string][]Record{}
	for _, m := range members {
		r := m.Record
		if r.Service != "" {
			s.services[r.Service] = true
		}
		if r.Life == LifeGone {
			s.Gone[r.NodeID] = r.Incarnation
		}
		if m.Status >= StatusRemoved {
			s.Removed[r.NodeID] = r.Incarnation
			continue
		}
		s.Records = append(s.Records, r)
		if m.Status == StatusSuspected {
			s.Suspects[r.NodeID] = true
		}
		if r.Service == "" || (r.Life != LifeServing && r.Life != LifeWarming) {
			continue
		}
		if m.Status == StatusSuspected {
			suspected[r.Service] = append(suspected[r.Service], r)
			continue
		}
		s.upstreams[r.Service] = append(s.upstreams[r.Service], r)
	}
	s.keepSuspected(suspected)
	return s
}

// keepSuspected keeps the suspected upstreams of a service in use when they
// outnumber the others. So many suspicions may be wrong, and the others would
// be overloaded by the traffic of all.
func (s *Snapshot) keepSuspected(suspected map[string][]Record) {
	for service, records := range suspected {
		if len(records) > len(s.upstreams[service]) {
			s.upstreams[service] = append(s.upstreams[service], records...)
		}
	}
}

// Upstreams lists the nodes that take new calls for the service. The caller
// must not change the slice.
func (s *Snapshot) Upstreams(service string) []Record {
	return s.upstreams[service]
}

// KnowsService reports whether any node has the service, in whatever lifecycle
// state.
func (s *Snapshot) KnowsService(service string) bool {
	return s.services[service]
}
