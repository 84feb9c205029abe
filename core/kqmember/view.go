package kqmember

import (
	"slices"
	"strings"
	"time"
)

// Times after which the status of a suspected, dead or gone node changes,
// counted from [Member.Since].
const (
	// RemoveAfter is the time after which a node counts as dead if it has not
	// refuted a suspicion.
	RemoveAfter = 15 * time.Second
	// HideAfter is how long the record of a dead or gone node is still sent to
	// other nodes.
	HideAfter = time.Hour
	// ForgetAfter is how long that record is kept, so that an older record of
	// the node is not accepted again.
	ForgetAfter = 4 * time.Hour
)

// Status is the state of a node in a view. Unlike [Life] it also counts what
// other nodes suspect, and time.
type Status int

// The statuses of a node, in the order in which time moves a node through them.
const (
	// StatusAlive is a node that is neither suspected nor gone.
	StatusAlive Status = iota
	// StatusSuspected is a node that has not yet refuted a suspicion.
	StatusSuspected
	// StatusRemoved is a node that counts as dead or has reported that it is
	// gone.
	StatusRemoved
	// StatusHidden is a removed node whose record is no longer sent to other
	// nodes.
	StatusHidden
)

// Member is the entry of one node in a view.
type Member struct {
	Record Record
	Status Status
	// Since is when the suspicion began or the node went, on the own clock.
	Since     time.Duration
	suspected bool
}

// Stamp returns the stamp of the record, with the suspicion if there is one.
func (m *Member) Stamp() Stamp {
	s := m.Record.Stamp()
	s.Suspected = m.suspected
	return s
}

// Suspected reports whether a suspicion of the record is not refuted.
func (m *Member) Suspected() bool {
	return m.suspected
}

// View holds what one node knows of the fleet, itself included.
type View struct {
	own     *Member
	members map[string]*Member
	// ordered holds the members in the order of their node IDs.
	ordered []*Member
	// timed holds the suspected, dead and gone members, whose status changes
	// with time alone.
	timed      map[string]*Member
	superseded bool
	// dirty is set by every change, and cleared by Snapshot.
	dirty    bool
	snapshot *Snapshot
	// OnChange is called with the old and the new entry of a member at every
	// change; either may be nil. Digests and hash rings are updated
	// incrementally with it.
	OnChange func(before, after *Member)
}

// NewView returns a view that holds only the node's own record.
func NewView(own Record) *View {
	v := &View{members: map[string]*Member{}, timed: map[string]*Member{}, dirty: true}
	v.own = &Member{Record: own}
	v.members[own.NodeID] = v.own
	v.ordered = []*Member{v.own}
	return v
}

// Own returns the node's own record.
func (v *View) Own() Record {
	return v.own.Record
}

// Superseded reports whether another start of this node, with a higher
// incarnation, has replaced it.
func (v *View) Superseded() bool {
	return v.superseded
}

// UpdateOwn applies a change to the node's own record and increments its
// version.
func (v *View) UpdateOwn(change func(*Record)) {
	next := *v.own
	change(&next.Record)
	next.Record.Version++
	v.put(&next)
	v.snapshot = nil
}

// Merge merges a received record and reports whether the view changed. The age
// says for how long the node has been suspected or gone. A received record of
// this node itself does not replace the own one: if it is not older, the own
// record is changed to a newer one that refutes it.
func (v *View) Merge(now time.Duration, r Record, suspected bool, age time.Duration) bool {
	stamp := r.Stamp()
	stamp.Suspected = suspected
	if r.NodeID == v.own.Record.NodeID {
		return v.refute(r, stamp)
	}
	current := v.members[r.NodeID]
	if current != nil && !current.Stamp().Less(stamp) {
		return false
	}
	next := &Member{Record: r, suspected: suspected, Since: now - age}
	next.Status = next.statusAt(now)
	v.put(next)
	return true
}

// Suspect records a suspicion of the record with the given stamp, and reports
// whether the view changed. A suspicion of another version or incarnation than
// the one held is ignored.
func (v *View) Suspect(now time.Duration, nodeID string, suspected Stamp, age time.Duration) bool {
	current := v.members[nodeID]
	suspected.Suspected = true
	if current == nil || current.Record.Incarnation != suspected.Incarnation || current.Record.Version != suspected.Version {
		return false
	}
	return v.Merge(now, current.Record, true, age)
}

// refute answers a received record of this node that is not older than the own
// record, and reports whether the view changed. The own record gets a newer
// version, or a newer incarnation if the received record is of an earlier start
// whose host had a faster clock.
func (v *View) refute(received Record, stamp Stamp) bool {
	own := v.own.Record
	if v.superseded || received == own && !stamp.Suspected || stamp.Less(own.Stamp()) {
		return false
	}
	if received.Incarnation > own.Incarnation && !v.mayReplace(received, stamp) {
		v.superseded = true
		return false
	}
	v.UpdateOwn(func(r *Record) {
		r.Version = max(r.Version, received.Version)
		if received.Incarnation > r.Incarnation {
			r.Incarnation = received.Incarnation + 1
		}
	})
	return true
}

// mayReplace reports whether this start replaces another one with a higher
// incarnation. A node that joins is the latest start, whatever the clocks say.
// A start that is suspected or gone may be replaced at any time.
func (v *View) mayReplace(received Record, stamp Stamp) bool {
	return v.own.Record.Life == LifeJoining || stamp.Suspected || received.Life == LifeGone
}

// Adopt copies the members of another view without comparing stamps. The own
// record is skipped.
func (v *View) Adopt(members []*Member) {
	for _, m := range members {
		if m.Record.NodeID != v.own.Record.NodeID {
			v.put(m)
		}
	}
}

// Advance updates the status of members that changes with time alone, and
// deletes those that ForgetAfter has passed for.
func (v *View) Advance(now time.Duration) {
	for id, m := range v.timed {
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
	elapsed := now - m.Since
	if !m.suspected && m.Record.Life != LifeGone {
		return StatusAlive
	}
	if elapsed >= HideAfter {
		return StatusHidden
	}
	if m.Record.Life == LifeGone || elapsed >= RemoveAfter {
		return StatusRemoved
	}
	return StatusSuspected
}

// put replaces the entry of a member, and keeps the indexes up to date.
func (v *View) put(next *Member) {
	id := next.Record.NodeID
	before := v.members[id]
	v.members[id] = next
	v.insertOrdered(next, before != nil)
	if id == v.own.Record.NodeID {
		v.own = next
	}
	delete(v.timed, id)
	if next.Status != StatusAlive {
		v.timed[id] = next
	}
	v.dirty = true
	if v.OnChange != nil {
		v.OnChange(before, next)
	}
}

// insertOrdered puts a member into the ordered list; replaces says whether the
// list already has an entry of that node.
func (v *View) insertOrdered(next *Member, replaces bool) {
	last := len(v.ordered) - 1
	if !replaces && compareMembers(v.ordered[last], next) < 0 {
		v.ordered = append(v.ordered, next)
		return
	}
	at, _ := slices.BinarySearchFunc(v.ordered, next, compareMembers)
	if replaces {
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
	delete(v.timed, id)
	v.dirty = true
	if v.OnChange != nil {
		v.OnChange(before, nil)
	}
}

// Find returns the entry of a node, or nil. The caller must not change it.
func (v *View) Find(nodeID string) *Member {
	return v.members[nodeID]
}

// Len returns the number of nodes in the view, in whatever status.
func (v *View) Len() int {
	return len(v.members)
}

// Members lists the members in the order of their node IDs. The caller must not
// change the slice, nor use it after the view has changed.
func (v *View) Members() []*Member {
	return v.ordered
}

// Dead counts, by failure domain, the nodes that died without an orderly
// shutdown and whose records are still sent to other nodes.
func (v *View) Dead() map[string]int {
	dead := map[string]int{}
	for _, m := range v.timed {
		if m.Status == StatusRemoved && m.Record.Life != LifeGone {
			dead[m.Record.FailureDomain]++
		}
	}
	return dead
}

// Dirty reports whether the view has changed since the last snapshot.
func (v *View) Dirty() bool {
	return v.dirty
}

// LastSnapshot returns the last snapshot even if other members have changed
// since. After a change of the node's own record by UpdateOwn it makes a new
// one.
func (v *View) LastSnapshot() *Snapshot {
	if v.snapshot == nil {
		return v.Snapshot()
	}
	return v.snapshot
}

// Snapshot returns an immutable copy for call traffic. It is made anew only if
// the view has changed.
func (v *View) Snapshot() *Snapshot {
	if v.dirty || v.snapshot == nil {
		v.snapshot = newSnapshot(v.own.Record, v.Members())
		v.dirty = false
	}
	return v.snapshot
}
