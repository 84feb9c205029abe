package kqmember

// Snapshot is an immutable view of the fleet.
type Snapshot struct {
	Own Record
	// Records are the nodes that are not removed, in the order of their names.
	Records []Record
	// Suspects names the nodes of Records that are suspected.
	Suspects map[string]bool
	// Gone holds the incarnations that have ended by their own word, by node.
	Gone map[string]uint64
	// Removed holds the incarnations that are taken for dead, by node.
	Removed  map[string]uint64
	services map[string][]Record
	known    map[string]bool
}

func newSnapshot(own Record, members []*Member) *Snapshot {
	s := &Snapshot{
		Own: own, Records: make([]Record, 0, len(members)), Suspects: map[string]bool{}, Gone: map[string]uint64{}, Removed: map[string]uint64{},
		services: map[string][]Record{}, known: map[string]bool{},
	}
	suspects := map[string][]Record{}
	for _, m := range members {
		r := m.Record
		if r.Service != "" {
			s.known[r.Service] = true
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
			suspects[r.Service] = append(suspects[r.Service], r)
			continue
		}
		s.services[r.Service] = append(s.services[r.Service], r)
	}
	s.keepSuspects(suspects)
	return s
}

// keepSuspects leaves the suspected upstreams of a service in use when they
// are more than the rest, so that the rest are not crushed by a mistake.
func (s *Snapshot) keepSuspects(suspects map[string][]Record) {
	for service, records := range suspects {
		if len(records) > len(s.services[service]) {
			s.services[service] = append(s.services[service], records...)
		}
	}
}

// Upstreams lists the nodes that take new work for the service. The caller
// must not change the slice.
func (s *Snapshot) Upstreams(service string) []Record {
	return s.services[service]
}

// KnowsService is whether any node, in whatever life, has the service.
func (s *Snapshot) KnowsService(service string) bool {
	return s.known[service]
}
