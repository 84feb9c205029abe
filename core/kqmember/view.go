package kqmember

import (
	"slices"
	"strings"
	"time"
)

// Times after which what is known of a node that has left changes.
const (
	// RemoveAfter is how long a suspicion stands before its node counts as
	// dead.
	RemoveAfter = 15 * time.Second
	// HideAfter is how long a dead or gone node is still told to others.
	HideAfter = time.Hour
	// ForgetAfter is how long its record guards against older ones.
	ForgetAfter = 4 * time.Hour
)

// Status is what a view holds of a node.
type Status int

// The states of a node in a view.
const (
	// StatusAlive is a node that nobody suspects.
	StatusAlive Status = iota
	// StatusSuspected is a node that has not refuted a suspicion yet.
	StatusSuspected
	// StatusRemoved is a node that is dead or has told that it is gone.
	StatusRemoved
	// StatusHidden is a removed node that is no longer told to others.
	StatusHidden
)

// Member is a node as a view holds it.
type Member struct {
	Record Record
	Status Status
	// Since is when the suspicion or the leaving was first heard of.
	Since     time.Duration
	suspected bool
}

// Stamp orders what is known of the node.
func (m *Member) Stamp() Stamp {
	s := m.Record.Stamp()
	s.Suspected = m.suspected
	return s
}

// Suspected is whether a suspicion of the record stands.
func (m *Member) Suspected() bool {
	return m.suspected
}

// View is what one node knows of the fleet.
type View struct {
	own     *Member
	members map[string]*Member
	// ordered holds the members in the order of their names.
	ordered []*Member
	// leaving holds the members that time alone changes.
	leaving    map[string]*Member
	superseded bool
	dirty      bool
	snapshot   *Snapshot
	// OnChange is told of every change of a member, before and after; either
	// may be nil. It lets digests and rings be kept step by step.
	OnChange func(before, after *Member)
}

// NewView makes a view that holds only the node's own record.
func NewView(own Record) *View {
	v := &View{members: map[string]*Member{}, leaving: map[string]*Member{}, dirty: true}
	v.own = &Member{Record: own}
	v.members[own.NodeID] = v.own
	v.ordered = []*Member{v.own}
	return v
}

// Own is the node's own record.
func (v *View) Own() Record {
	return v.own.Record
}

// Superseded is whether another start of this node has taken its place.
func (v *View) Superseded() bool {
	return v.superseded
}

// UpdateOwn changes the node's own record and gives it the next version.
func (v *View) UpdateOwn(change func(*Record)) {
	next := *v.own
	change(&next.Record)
	next.Record.Version++
	v.put(&next)
	v.snapshot = nil
}

// Merge takes in a record that was heard and says whether it replaced what was
// held. The age is for how long the node has been suspected or gone. Nobody
// else's word changes the node's own record: it is answered with a newer one.
func (v *View) Merge(now time.Duration, r Record, suspected bool, age time.Duration) bool {
	stamp := r.Stamp()
	stamp.Suspected = suspected
	if r.NodeID == v.own.Record.NodeID {
		return v.answer(r, stamp)
	}
	held := v.members[r.NodeID]
	if held != nil && !held.Stamp().Less(stamp) {
		return false
	}
	next := &Member{Record: r, suspected: suspected, Since: now - age}
	next.Status = next.statusAt(now)
	v.put(next)
	return true
}

// Suspect takes in a suspicion of the record with that stamp.
func (v *View) Suspect(now time.Duration, nodeID string, accused Stamp, age time.Duration) bool {
	held := v.members[nodeID]
	accused.Suspected = true
	if held == nil || held.Record.Incarnation != accused.Incarnation || held.Record.Version != accused.Version {
		return false
	}
	return v.Merge(now, held.Record, true, age)
}

// answer replies to what others hold of this node when it is not older than
// the node's own word: with a newer version, or a newer incarnation when what
// they hold is an earlier start whose host had a faster clock.
func (v *View) answer(heard Record, stamp Stamp) bool {
	own := v.own.Record
	if v.superseded || heard == own && !stamp.Suspected || stamp.Less(own.Stamp()) {
		return false
	}
	if heard.Incarnation > own.Incarnation && !v.mayReplace(heard, stamp) {
		v.superseded = true
		return false
	}
	v.UpdateOwn(func(r *Record) {
		r.Version = max(r.Version, heard.Version)
		if heard.Incarnation > r.Incarnation {
			r.Incarnation = heard.Incarnation + 1
		}
	})
	return true
}

// mayReplace is whether this start takes the place of another with a higher
// incarnation: a node that joins is the latest start, whatever the clocks say.
func (v *View) mayReplace(heard Record, stamp Stamp) bool {
	return v.own.Record.Life == LifeJoining || stamp.Suspected || heard.Life == LifeGone
}

// Adopt takes over members that another view holds, without a check.
func (v *View) Adopt(members []*Member) {
	for _, m := range members {
		if m.Record.NodeID != v.own.Record.NodeID {
			v.put(m)
		}
	}
}

// Advance moves members on that time alone changes.
func (v *View) Advance(now time.Duration) {
	for id, m := range v.leaving {
		if now-m.Since >= ForgetAfter {
			v.forget(id)
			continue
		}
		if status := m.statusAt(now); status != m.Status {
			next := *m
			next.Status = status
			v.put(&next)
		}
	}
}

func (m *Member) statusAt(now time.Duration) Status {
	stood := now - m.Since
	if !m.suspected && m.Record.Life != LifeGone {
		return StatusAlive
	}
	if stood >= HideAfter {
		return StatusHidden
	}
	if m.Record.Life == LifeGone || stood >= RemoveAfter {
		return StatusRemoved
	}
	return StatusSuspected
}

func (v *View) put(next *Member) {
	id := next.Record.NodeID
	before := v.members[id]
	v.members[id] = next
	v.place(next, before != nil)
	if id == v.own.Record.NodeID {
		v.own = next
	}
	delete(v.leaving, id)
	if next.Status != StatusAlive {
		v.leaving[id] = next
	}
	v.dirty = true
	if v.OnChange != nil {
		v.OnChange(before, next)
	}
}

// place puts a member where its name stands in the order.
func (v *View) place(next *Member, held bool) {
	last := len(v.ordered) - 1
	if !held && compareMembers(v.ordered[last], next) < 0 {
		v.ordered = append(v.ordered, next)
		return
	}
	at, _ := slices.BinarySearchFunc(v.ordered, next, compareMembers)
	if held {
		v.ordered[at] = next
		return
	}
	v.ordered = slices.Insert(v.ordered, at, next)
}

func compareMembers(a, b *Member) int {
	return strings.Compare(a.Record.NodeID, b.Record.NodeID)
}

func (v *View) forget(id string) {
	before := v.members[id]
	delete(v.members, id)
	if at, found := slices.BinarySearchFunc(v.ordered, before, compareMembers); found {
		v.ordered = slices.Delete(v.ordered, at, at+1)
	}
	delete(v.leaving, id)
	v.dirty = true
	if v.OnChange != nil {
		v.OnChange(before, nil)
	}
}

// Find gives what is held of a node, or nil. It must not be changed.
func (v *View) Find(nodeID string) *Member {
	return v.members[nodeID]
}

// Len is how many nodes are held, in whatever status.
func (v *View) Len() int {
	return len(v.members)
}

// Members lists what is held in the order of the nodes' names. It must not be
// changed, nor kept over a change of the view.
func (v *View) Members() []*Member {
	return v.ordered
}

// Dead counts the nodes that died without leaving in order and are still told
// to others, by failure domain.
func (v *View) Dead() map[string]int {
	dead := map[string]int{}
	for _, m := range v.leaving {
		if m.Status == StatusRemoved && m.Record.Life != LifeGone {
			dead[m.Record.FailureDomain]++
		}
	}
	return dead
}

// Dirty is whether the view has changed since the last snapshot.
func (v *View) Dirty() bool {
	return v.dirty
}

// LastSnapshot gives the last snapshot even if the view has changed since, unless
// the node's own record has.
func (v *View) LastSnapshot() *Snapshot {
	if v.snapshot == nil {
		return v.Snapshot()
	}
	return v.snapshot
}

// Snapshot gives an immutable copy for call traffic.
func (v *View) Snapshot() *Snapshot {
	if v.dirty || v.snapshot == nil {
		v.snapshot = newSnapshot(v.own.Record, v.Members())
		v.dirty = false
	}
	return v.snapshot
}
