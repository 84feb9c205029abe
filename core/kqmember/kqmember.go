// Package kqmember keeps a node's view of the fleet. A record is written only
// by the node it describes; every other node merges what it hears and lets
// the newer incarnation, then the newer version, stand.
//
// # Usage
//
//	view := kqmember.NewView(own)
//	changed := view.Merge(records)
//	upstreams := view.Snapshot().Upstreams("orders")
//
// A View is owned by the control goroutine. A [Snapshot] is immutable and is
// what call traffic reads.
package kqmember

import (
	"slices"
	"strings"
)

// Life is the state of a node as its own chart gives it.
type Life string

// The lives of a node that routing tells apart.
const (
	LifeServing  Life = "Serving"
	LifeWarming  Life = "Warming"
	LifeDraining Life = "Draining"
	LifeGone     Life = "Gone"
)

// Record describes one node. Only that node writes it.
type Record struct {
	NodeID string
	// Incarnation counts the starts of the node; a higher one replaces all
	// records of lower ones.
	Incarnation uint64
	// Version counts the changes of the record within an incarnation.
	Version uint64
	Address string
	// OperatorAddress is where the node answers operators, or empty.
	OperatorAddress string
	FailureDomain   string
	Region          string
	Life            Life
	// Service is the service of the backend server beside the node, or empty.
	Service string
}

// Newer is whether r replaces other.
func (r Record) Newer(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Version > other.Version
}

// View is what one node knows of the fleet.
type View struct {
	own     Record
	records map[string]Record
}

// NewView makes a view that holds only the node's own record.
func NewView(own Record) *View {
	v := &View{own: own, records: map[string]Record{}}
	v.records[own.NodeID] = own
	return v
}

// Own is the node's own record.
func (v *View) Own() Record {
	return v.own
}

// UpdateOwn changes the node's own record and gives it the next version.
func (v *View) UpdateOwn(change func(*Record)) {
	change(&v.own)
	v.own.Version++
	v.records[v.own.NodeID] = v.own
}

// Merge takes in records that were heard and says whether any was newer.
// Nobody else's word changes the node's own record.
func (v *View) Merge(records []Record) bool {
	changed := false
	for _, r := range records {
		if r.NodeID == v.own.NodeID {
			continue
		}
		held, found := v.records[r.NodeID]
		if found && !r.Newer(held) {
			continue
		}
		v.records[r.NodeID] = r
		changed = true
	}
	return changed
}

// Records lists all records by node.
func (v *View) Records() []Record {
	records := make([]Record, 0, len(v.records))
	for _, r := range v.records {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.NodeID, b.NodeID) })
	return records
}

// Snapshot gives an immutable copy for call traffic.
func (v *View) Snapshot() *Snapshot {
	s := &Snapshot{Own: v.own, Records: v.Records(), services: map[string][]Record{}, known: map[string]bool{}}
	for _, r := range s.Records {
		if r.Service == "" {
			continue
		}
		s.known[r.Service] = true
		if r.Life == LifeServing || r.Life == LifeWarming {
			s.services[r.Service] = append(s.services[r.Service], r)
		}
	}
	return s
}

// Snapshot is an immutable view of the fleet.
type Snapshot struct {
	Own      Record
	Records  []Record
	services map[string][]Record
	known    map[string]bool
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
